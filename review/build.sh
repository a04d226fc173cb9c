#!/bin/bash
# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Builds the stand-ins of the review's scripts to review/bin. Needs the packages of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
compile="g++ -std=c++20 -O1 -Wall -Wextra -Wno-psabi -pthread"
$compile -c support/support.cpp -o bin/support.o
for case in [0-9]*/case.cpp; do
    $compile "$case" bin/support.o -o "bin/case-$(dirname "$case")"
done
