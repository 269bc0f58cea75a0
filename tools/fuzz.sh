#!/bin/sh
# Runs every fuzz target for an equal part of SECONDS_TOTAL and every property
# program with more cases than the tests use. Builds with clang into
# build-fuzz; corpora and crashing inputs stay there. Inputs to start from are
# in PACKAGE/tests/corpus/TARGET and, for questionnaires, in examples/.
#
# SECONDS_TOTAL  time of all fuzz targets together (default 60)
# SEED           seed of libFuzzer and RapidCheck (default 7)
# MAX_SUCCESS    cases of each property (default 1000)
set -eu

cd "$(dirname "$0")/.."
SECONDS_TOTAL=${SECONDS_TOTAL:-60}
SEED=${SEED:-7}
MAX_SUCCESS=${MAX_SUCCESS:-1000}
build="build-fuzz"

CC=clang CXX=clang++ cmake -S . -B $build -G Ninja -DBG_FUZZ=ON \
    -DBG_SANITIZE=ON >/dev/null
sources=$(ls ./*/tests/fuzz_*.c)
fuzzers=$(for s in ./*/tests/fuzz_*.c; do basename "$s" .c; done)
props=$(for s in ./*/tests/prop_*.cpp; do basename "$s" .cpp; done)
# Only these programs: the rest of the tree is built by gcc.
# shellcheck disable=SC2086
ninja -C $build --quiet $fuzzers $props

export ASAN_OPTIONS=detect_leaks=1
export UBSAN_OPTIONS=print_stacktrace=1
count=$(echo "$fuzzers" | wc -l)
seconds=$((SECONDS_TOTAL / count))
[ $seconds -ge 1 ] || seconds=1
failed=""
for source in $sources; do
	name=$(basename "$source" .c)
	inputs=$build/corpus/$name
	mkdir -p "$inputs" $build/artifacts
	[ ! -d "$(dirname "$source")/corpus/$name" ] ||
	    inputs="$inputs $(dirname "$source")/corpus/$name"
	[ "$name" != fuzz_questionnaire ] || inputs="$inputs examples"
	log=$build/$name.log
	# shellcheck disable=SC2086
	if $build/bin/"$name" -seed="$SEED" -max_total_time=$seconds \
	    -timeout=10 -artifact_prefix=$build/artifacts/"$name"- \
	    -print_final_stats=1 $inputs >"$log" 2>&1; then
		echo "$name: ok," \
		    "$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")" \
		    "inputs in $seconds s, coverage" \
		    "$(sed -n 's/.* cov: \([0-9]*\) .*/\1/p' "$log" | tail -1)"
	else
		echo "$name: FAILED, see $log"
		tail -n 40 "$log"
		failed="$failed $name"
	fi
done
for name in $props; do
	log=$build/$name.log
	if RC_PARAMS="seed=$SEED max_success=$MAX_SUCCESS" \
	    $build/bin/"$name" >"$log" 2>&1; then
		echo "$name: ok, $MAX_SUCCESS cases of each property"
	else
		echo "$name: FAILED, see $log"
		tail -n 40 "$log"
		failed="$failed $name"
	fi
done
if [ -n "$failed" ]; then
	echo "fuzz: failed:$failed"
	exit 1
fi
echo "fuzz: clean"
