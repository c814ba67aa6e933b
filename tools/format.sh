#!/usr/bin/env bash
# Checks the formatting of the C++ sources; with --fix rewrites them in place.
set -eu
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files --cached --others --exclude-standard -- '*.cpp' '*.hpp' | xargs clang-format "${mode[@]}"
