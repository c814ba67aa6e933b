#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linter need.
set -eu
packages=(cmake make g++ clang-format clang-tidy ccache librestinio-dev libasio-dev libjsonrpccpp-dev
    libcurl4-openssl-dev prometheus-cpp-dev libpopt-dev libspdlog-dev libboost-dev
    libtrompeloeil-cpp-dev catch2 libinih-dev nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev
    python3)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}\n' "$package" 2>/dev/null | grep -q 'install ok installed' ||
        missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
