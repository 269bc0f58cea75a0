#!/bin/sh
# Checks the format, then runs clang-tidy and cppcheck.
set -eu

cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard '*.c' '*.h' '*.cpp' |
    grep -v wire_xdr)
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files
cmake -S . -B build -G Ninja >/dev/null
sources=$(git ls-files -co --exclude-standard '*.c' | grep -v wire_xdr |
    grep -v '/fuzz_')
echo "$sources" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet \
    2>/dev/null
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
    -j "$(nproc)" --enable=warning,performance,portability \
    --library=tools/cppcheck.cfg \
    --suppress=missingInclude --suppress=normalCheckLevelMaxBranches \
    -I core/include -I config/include -I store/include -I mesh/include \
    -I quota/include -I proxy/include -I moves/include -I platform/include $sources
echo "lint: clean"
