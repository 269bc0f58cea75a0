#!/bin/sh
# Installs the Debian packages that are missing.
set -eu

PACKAGES="gcc g++ make cmake ninja-build pkg-config git clang clang-format
clang-tidy cppcheck libevent-dev libevhtp-dev libtirpc-dev rpcsvc-proto
libtomlplusplus-dev libjansson-dev liblog4c-dev check librapidcheck-dev
libclang-rt-14-dev libxxhash-dev libzstd-dev uthash-dev libgsl-dev
python3 curl"

missing=""
for p in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null |
	    grep -q 'ok installed' || missing="$missing $p"
done
if [ -n "$missing" ]; then
	echo "packages: installing$missing"
	apt-get update -qq
	# shellcheck disable=SC2086
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing \
	    >/dev/null
fi
