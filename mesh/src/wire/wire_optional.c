#include <string.h>

#include "burdockgrade/wire_xdr.h"

/* 1 if a message that is being decoded has ended. A node of an earlier build
 * sends no extension, and the last fields of its messages come before it. */
static int
is_absent(const XDR *xdrs)
{
	return xdrs->x_op == XDR_DECODE && xdrs->x_handy == 0;
}

bool_t
xdr_bg_xoptional_call_extension(XDR *xdrs, bg_xoptional_call_extension *out)
{
	if (!is_absent(xdrs))
		return xdr_bg_xcall_extension(xdrs, out);
	memset(out, 0, sizeof(*out));
	out->organisation = strdup("");
	return out->organisation != NULL;
}

bool_t
xdr_bg_xoptional_load_extension(XDR *xdrs, bg_xoptional_load_extension *out)
{
	if (!is_absent(xdrs))
		return xdr_bg_xload_extension(xdrs, out);
	memset(out, 0, sizeof(*out));
	return TRUE;
}

bool_t
xdr_bg_xoptional_state_extension(XDR *xdrs, bg_xoptional_state_extension *out)
{
	if (!is_absent(xdrs))
		return xdr_bg_xstate_extension(xdrs, out);
	memset(out, 0, sizeof(*out));
	return TRUE;
}
