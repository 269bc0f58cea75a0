#include <stdarg.h>
#include <stdio.h>

#include "burdockgrade/error.h"

int
bg_error_set(struct bg_error *err, int code, const char *step, const char *peer,
    const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return code;
	err->code = code;
	snprintf(err->step, sizeof(err->step), "%s", step);
	snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return code;
}

const char *
bg_error_name(int code)
{
	switch (code) {
	case BG_OK:
		return "ok";
	case BG_EINVAL:
		return "invalid";
	case BG_ENOTFOUND:
		return "not-found";
	case BG_ECONFLICT:
		return "conflict";
	case BG_ETIMEOUT:
		return "timeout";
	case BG_EUNAVAILABLE:
		return "unavailable";
	case BG_ELIMIT:
		return "limit";
	case BG_EPROTO:
		return "protocol";
	case BG_ENOMEM:
		return "no-memory";
	case BG_EIO:
		return "io";
	case BG_ESTALE:
		return "stale";
	case BG_ECANCELED:
		return "canceled";
	case BG_EAGAIN:
		return "again";
	default:
		return "unknown";
	}
}
