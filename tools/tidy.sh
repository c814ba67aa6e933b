#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the sources given as arguments. Skips a source if an earlier run
# found no problem in the same preprocessed text with the same .clang-tidy.
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cache=${XDG_CACHE_HOME:-$HOME/.cache}/fulmarwind-tidy
mkdir -p "$cache"
export build cache
lint() {
    local command key
    command=$(python3 - "$build/compile_commands.json" "$1" <<'P'
import json, os, sys
for entry in json.load(open(sys.argv[1])):
    if os.path.samefile(entry["file"], sys.argv[2]):
        words = entry["command"].split()
        words = words[1:] if words[0].endswith("ccache") else words
        words[words.index("-o") + 1] = "-"
        print(" ".join(w for w in words if w != "-c"), "-E")
        break
P
    )
    key=$( (eval "$command" 2>/dev/null | sed 's/^# [0-9]* "[^"]*"/#/'; cat .clang-tidy) | sha256sum | cut -d' ' -f1)
    [ -f "$cache/$key" ] && return 0
    clang-tidy --quiet -p "$build" "$1" 2>/dev/null || { echo "tidy: $1 failed"; return 1; }
    touch "$cache/$key"
}
export -f lint
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -- '*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint {}'
