# make demo, make test, make bench, make lint: see README.md.
BUILD	?= build
JOBS	?= $(shell nproc)
SECONDS	?= 60
SEED	?= 7

.PHONY: all packages build asan demo test bench bench-compare lint format fuzz
all: build

packages:
	@./tools/packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@ninja -C $(BUILD) -j $(JOBS) --quiet

# The sanitizer build runs the unit, property and process tests.
asan: packages
	@cmake -S . -B build-asan -G Ninja -DBG_SANITIZE=ON >/dev/null
	@ninja -C build-asan -j $(JOBS) --quiet

demo: build
	@BG_BIN=$(CURDIR)/$(BUILD)/bin ./tools/demo.sh

test: asan
	@./tools/run_tests.sh build-asan

bench: build
	@BG_BIN=$(CURDIR)/$(BUILD)/bin ./tools/bench.sh

bench-compare:
	@./tools/bench_compare.py $(OLD) build/bench/report.json

lint: packages
	@./tools/lint.sh

format: packages
	@clang-format -i $$(git ls-files '*.c' '*.h' '*.cpp' | grep -v wire_xdr)

fuzz: packages
	@SECONDS_TOTAL=$(SECONDS) SEED=$(SEED) ./tools/fuzz.sh
