#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Installs the Debian packages that the build, the tests and the checks require.
# Does nothing if all of them are installed.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache curl make
    libboost1.81-dev libboost-json1.81-dev libboost-program-options1.81-dev
    libcereal-dev libfmt-dev libcppunit-dev libssl-dev libxxhash-dev librapidcheck-dev
    clang-format-19 clang-tidy-19 gnuplot-nox
)

missing=()
for it in "${packages[@]}"; do
    if ! dpkg-query -W -f '${Status}' "$it" 2>/dev/null | grep -q '^install ok installed$'; then
        missing+=("$it")
    fi
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi

sudo=""
if [ "$(id -u)" -ne 0 ]; then
    sudo="sudo"
fi
echo "installing: ${missing[*]}" >&2
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
