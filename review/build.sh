#!/usr/bin/env bash
# The stand-ins of the cases are Python programs that use the standard library only, so there is
# nothing to compile. Checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "lib"); import standins'
