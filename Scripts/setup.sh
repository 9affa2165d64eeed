#!/usr/bin/env bash
# Installs the packages required to build sycamorereach. Does nothing if all of
# them are installed.
set -euo pipefail
Packages=(g++ cmake ninja-build pkg-config ccache curl clang-format clang-tidy
  libevent-dev libcereal-dev libboost-dev libboost-log-dev libboost-test-dev
  libdocopt-dev libabsl-dev libhttp-parser-dev nlohmann-json3-dev libxxhash-dev libssl-dev
  libzstd-dev)
Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q 'ok installed' || Missing+=("$Package")
done
[ ${#Missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${Missing[@]}" >/dev/null
