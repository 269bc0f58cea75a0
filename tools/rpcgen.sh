#!/bin/sh
# Regenerates the committed XDR code from mesh/src/wire/wire_xdr.x.
set -eu

cd "$(dirname "$0")/../mesh/src/wire"
rm -f wire_xdr.c ../../include/burdockgrade/wire_xdr.h
rpcgen -h -o ../../include/burdockgrade/wire_xdr.h wire_xdr.x
rpcgen -c -o wire_xdr.c wire_xdr.x
sed -i 's|"wire_xdr.h"|"burdockgrade/wire_xdr.h"|' wire_xdr.c
