#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/wire_xdr.h"

#include "bucket/bucket.h"
#include "wallet/wallet.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static const struct bg_bucket_limits LIMITS = {40000, 20 * BG_QUOTA_MICRO};

/* An owner answers asks with any numbers in them. */
static void
answer(const struct bg_xquota_args *args)
{
	struct bg_bucket bucket;
	struct bg_bucket_grant grant;
	struct bg_bucket_ask ask;
	uint64_t now_ms = 1000;
	u_int i;

	bg_bucket_init(&bucket, &LIMITS, LIMITS.capacity_micro, now_ms);
	for (i = 0; i < args->asks.asks_len; i++) {
		ask.holder = args->holder + i % 3;
		ask.seq = args->seq + i;
		ask.held = args->asks.asks_val[i].held;
		ask.waiting = args->asks.asks_val[i].waiting;
		ask.spare = args->asks.asks_val[i].spare;
		if (bg_bucket_ask(&grant, &bucket, &ask, now_ms) != 0)
			abort();
		if (bg_bucket_usable_micro(&bucket) > LIMITS.capacity_micro)
			abort();
		now_ms += ask.spare % 1000;
	}
	bg_bucket_free(&bucket);
}

/* A node gets any reply to its ask. */
static void
settle(const struct bg_xquota_res *res)
{
	struct bg_wallet_grant grant;
	struct bg_wallet_ask ask;
	struct bg_wallet wal;
	uint64_t now_ms = 1000;
	u_int i;

	memset(&wal, 0, sizeof(wal));
	for (i = 0; i < res->grants.grants_len; i++) {
		bg_wallet_fill_ask(&ask, &wal, i % 5, now_ms);
		grant.tenure = res->tenure;
		grant.kept = res->grants.grants_val[i].kept;
		grant.granted = res->grants.grants_val[i].granted;
		grant.valid_ms = res->grants.grants_val[i].valid_ms;
		grant.retry_after_ms = res->grants.grants_val[i].retry_after_ms;
		/* Never more than waited. */
		if (bg_wallet_settle(&wal, &grant, now_ms, now_ms + i) > i % 5)
			abort();
		now_ms += 10;
	}
}

/* Guards against asks that take a bucket beyond its capacity, replies that
 * admit more calls than waited, and reads outside of the message. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	struct bg_xquota_args args;
	struct bg_xquota_res res;
	XDR xdrs;

	memset(&args, 0, sizeof(args));
	xdrmem_create(&xdrs, (char *)data, (u_int)bytes, XDR_DECODE);
	if (xdr_bg_xquota_args(&xdrs, &args))
		answer(&args);
	xdr_free((xdrproc_t)xdr_bg_xquota_args, (char *)&args);
	xdr_destroy(&xdrs);
	memset(&res, 0, sizeof(res));
	xdrmem_create(&xdrs, (char *)data, (u_int)bytes, XDR_DECODE);
	if (xdr_bg_xquota_res(&xdrs, &res))
		settle(&res);
	xdr_free((xdrproc_t)xdr_bg_xquota_res, (char *)&res);
	xdr_destroy(&xdrs);
	return 0;
}
