#include <stddef.h>
#include <strings.h>

#include "headers.h"

#define STATUS_MISDIRECTED 421

static const char *const HOP_BY_HOP_HEADERS[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade"};

int
bg_header_is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0;
	     i < sizeof(HOP_BY_HOP_HEADERS) / sizeof(HOP_BY_HOP_HEADERS[0]);
	     i++) {
		if (strcasecmp(HOP_BY_HOP_HEADERS[i], name) == 0)
			return 1;
	}
	return 0;
}

int
bg_header_is_set_by_proxy(const char *name, const struct bg_header_names *names)
{
	const char *const set_by_proxy[] = {"Host", "Content-Length", "Expect",
	    names->call_depth, names->deadline_ms, names->caller_service,
	    names->expected_server, names->key, names->organisation};
	size_t i;

	for (i = 0; i < sizeof(set_by_proxy) / sizeof(set_by_proxy[0]); i++) {
		if (strcasecmp(set_by_proxy[i], name) == 0)
			return 1;
	}
	return bg_header_is_hop_by_hop(name);
}

const char *
bg_header_find(
    const struct bg_xheader *headers, uint32_t header_count, const char *name)
{
	uint32_t i;

	for (i = 0; i < header_count; i++) {
		if (strcasecmp(headers[i].name, name) == 0)
			return headers[i].value;
	}
	return NULL;
}

int
bg_response_is_not_run(uint32_t http_status, const struct bg_xheader *headers,
    uint32_t header_count, const struct bg_header_names *names)
{
	return http_status == STATUS_MISDIRECTED ||
	    bg_header_find(headers, header_count, names->not_run) != NULL;
}
