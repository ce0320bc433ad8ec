#!/usr/bin/env bash
# Installs the missing Debian packages that the build and the scripts need.
set -euo pipefail
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
libpoco-dev libboost1.81-dev libboost-program-options1.81-dev
libgoogle-glog-dev libnng-dev libcppunit-dev libcoap3-dev
nlohmann-json3-dev libxxhash-dev librapidcheck-dev libsodium-dev
gnuplot-nox curl python3"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing
