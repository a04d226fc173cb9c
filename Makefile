# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Drives CMake. `make demo` and `make test` do all set-up on a fresh machine.

PRESET ?= release
BUILD = build/$(PRESET)
JOBS ?= $(shell nproc)

.PHONY: all deps build demo test unit whole asan tsan format check-format lint bench clean

all: build

deps:
	@./src/build-scripts/install-deps.bash

build: deps
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@BIN=$(CURDIR)/$(BUILD)/bin ./src/build-scripts/demo.bash

test: unit whole

unit: build
	@./src/build-scripts/unit-tests.bash $(BUILD)/bin/reachlead-tests

whole: build
	@BIN=$(CURDIR)/$(BUILD)/bin ./testsuite/run-all

# The sanitizers run the unit tests alone.
asan tsan: deps
	@cmake --preset $@ >/dev/null
	@cmake --build build/$@ -j $(JOBS) --target reachlead-tests
	@./src/build-scripts/unit-tests.bash build/$@/bin/reachlead-tests

SOURCES = $(shell git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' \
	'platform/*.cpp' 'platform/*.h')

format: deps
	@clang-format-19 -i $(SOURCES)

check-format: deps
	@clang-format-19 --dry-run -Werror $(SOURCES)

lint: deps
	@./src/build-scripts/lint.bash

bench: build
	@BIN=$(CURDIR)/$(BUILD)/bin ./src/build-scripts/bench.bash

clean:
	@rm -rf build
