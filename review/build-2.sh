#!/usr/bin/env bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Builds what the scripts of the second review start beside the gateway of the deploy file: one
# program with a store, replicas and clients. It needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread review/support-2/fixture.cpp -o target/review-2/fixture
