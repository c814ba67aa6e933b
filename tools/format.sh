#!/usr/bin/env bash
# Checks formatting; `tools/format.sh --fix` rewrites the sources in place.
set -eu
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp' | xargs clang-format "${mode[@]}"
