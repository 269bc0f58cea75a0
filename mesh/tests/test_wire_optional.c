#include <stdlib.h>
#include <string.h>

#include "burdockgrade/wire_xdr.h"

#include "suite.h"

/* Guards against a fleet of mixed builds whose nodes reject each other's
 * messages: an extension that is absent decodes to its empty value. */

#define BUFFER_BYTES 4096

static struct bg_xcall_args
make_args(char *organisation)
{
	struct bg_xcall_args args;

	memset(&args, 0, sizeof(args));
	args.request_id = args.service = args.route = args.server_version =
	    args.caller_service = args.method = args.host = args.path = "";
	args.config_version = 7;
	args.extension.organisation = organisation;
	args.extension.cost_us = 4000;
	return args;
}

/* Returns the encoded bytes. */
static u_int
encode(char *buf, xdrproc_t proc, void *message)
{
	XDR xdrs;
	u_int bytes;

	xdrmem_create(&xdrs, buf, BUFFER_BYTES, XDR_ENCODE);
	ck_assert(proc(&xdrs, message));
	bytes = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	return bytes;
}

static void
decode(char *buf, u_int bytes, xdrproc_t proc, void *out)
{
	XDR xdrs;

	xdrmem_create(&xdrs, buf, bytes, XDR_DECODE);
	ck_assert(proc(&xdrs, out));
	xdr_destroy(&xdrs);
}

START_TEST(call_keeps_its_extension)
{
	struct bg_xcall_args args = make_args("acme");
	struct bg_xcall_args out = {0};
	char buf[BUFFER_BYTES];
	u_int bytes = encode(buf, (xdrproc_t)xdr_bg_xcall_args, &args);

	decode(buf, bytes, (xdrproc_t)xdr_bg_xcall_args, &out);
	ck_assert_str_eq(out.extension.organisation, "acme");
	ck_assert_uint_eq(out.extension.cost_us, 4000);
	xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)&out);
}
END_TEST

START_TEST(call_of_an_earlier_build_has_no_extension)
{
	struct bg_xcall_args args = make_args("");
	struct bg_xcall_args out = {0};
	char buf[BUFFER_BYTES];
	u_int extension_bytes =
	    encode(buf, (xdrproc_t)xdr_bg_xcall_extension, &args.extension);
	u_int bytes = encode(buf, (xdrproc_t)xdr_bg_xcall_args, &args);

	decode(
	    buf, bytes - extension_bytes, (xdrproc_t)xdr_bg_xcall_args, &out);
	ck_assert_uint_eq(out.config_version, 7);
	ck_assert_str_eq(out.extension.organisation, "");
	ck_assert_uint_eq(out.extension.cost_us, 0);
	xdr_free((xdrproc_t)xdr_bg_xcall_args, (char *)&out);
}
END_TEST

START_TEST(reply_of_an_earlier_build_has_no_extension)
{
	struct bg_xload_extension load = {1, 2, 3, 4, 5, 6};
	struct bg_xload_extension out = {9, 9, 9, 9, 9, 9};
	char buf[BUFFER_BYTES];
	u_int bytes =
	    encode(buf, (xdrproc_t)xdr_bg_xoptional_load_extension, &load);

	decode(buf, bytes, (xdrproc_t)xdr_bg_xoptional_load_extension, &out);
	ck_assert_uint_eq(out.cold_starts_left, 6);
	decode(buf, 0, (xdrproc_t)xdr_bg_xoptional_load_extension, &out);
	ck_assert_uint_eq(out.cold_starts_left, 0);
	ck_assert_uint_eq(out.work_left_us, 0);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("wire_optional");

	tcase_add_test(tc, call_keeps_its_extension);
	tcase_add_test(tc, call_of_an_earlier_build_has_no_extension);
	tcase_add_test(tc, reply_of_an_earlier_build_has_no_extension);
	return run_suite("wire_optional", tc);
}
