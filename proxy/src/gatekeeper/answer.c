#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <string.h>
#include <strings.h>

#include "answer.h"

static const char *const LOCAL_HEADERS[] = {"Connection", "Keep-Alive",
    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
    "Host", "X-Request-Id", "X-Deadline-Ms", "X-Call-Depth", "Burdock-Outcome",
    "Burdock-Request-Id"};

int
bg_header_is_local(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(LOCAL_HEADERS) / sizeof(LOCAL_HEADERS[0]); i++) {
		if (strcasecmp(LOCAL_HEADERS[i], name) == 0)
			return 1;
	}
	return 0;
}

static int
count_header(struct evkeyvalq *headers, const char *name)
{
	struct evkeyval *kv;
	int n = 0;

	TAILQ_FOREACH(kv, headers, next)
	n += strcasecmp(kv->key, name) == 0;
	return n;
}

/* An answer without framing ends when the connection closes, so that a
 * truncated one cannot be told from a whole one. */
static int
is_framed(struct evhttp_request *req, int is_head)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	int status = evhttp_request_get_response_code(req);
	int lengths = count_header(headers, "Content-Length");
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	if (lengths > 1 || (lengths == 1 && coding != NULL))
		return 0;
	if (is_head || status == 204 || status == 304 || lengths == 1)
		return 1;
	return coding != NULL && strcasecmp(coding, "chunked") == 0;
}

/* Bytes behind the answer belong to another request or to none. */
static int
has_more_bytes(struct evhttp_connection *evcon)
{
	return evbuffer_get_length(bufferevent_get_input(
		   evhttp_connection_get_bufferevent(evcon))) > 0;
}

/* Probes have a connection of their own, on which there is no other answer. A
 * refusal for load may come from a part of the server that has not read the
 * identity; it carries nothing that belongs to a caller. */
static int
is_shed(struct evhttp_request *req)
{
	struct bg_xheader headers[BG_HEADERS_MAX];
	uint32_t count = bg_answer_headers(headers, BG_HEADERS_MAX, req);

	return bg_answer_is_shed(
	    (uint32_t)evhttp_request_get_response_code(req), headers, count);
}

int
bg_answer_check(enum bg_discard *out_why, struct evhttp_request *req,
    struct evhttp_connection *evcon, const char *request_id, int is_head,
    int may_lack_identity)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *id = evhttp_find_header(headers, "X-Request-Id");

	*out_why = BG_DISCARD_FOREIGN;
	if (has_more_bytes(evcon) ||
	    (id == NULL ? !may_lack_identity && !is_shed(req)
			: strcmp(id, request_id) != 0 ||
			count_header(headers, "X-Request-Id") != 1))
		return -1;
	*out_why = BG_DISCARD_UNFRAMED;
	return is_framed(req, is_head) ? 0 : -1;
}

int
bg_answer_is_shed(uint32_t http_status, const struct bg_xheader *headers,
    uint32_t header_count)
{
	uint32_t i;

	if (http_status == 429)
		return 1;
	if (http_status != 503)
		return 0;
	for (i = 0; i < header_count; i++) {
		if (strcasecmp(headers[i].name, "Retry-After") == 0 ||
		    strcasecmp(headers[i].name, "X-Shed") == 0)
			return 1;
	}
	return 0;
}

uint32_t
bg_answer_headers(
    struct bg_xheader *out, uint32_t max, struct evhttp_request *req)
{
	struct evkeyval *kv;
	uint32_t n = 0;

	TAILQ_FOREACH(kv, evhttp_request_get_input_headers(req), next)
	{
		if (n == max)
			break;
		if (bg_header_is_local(kv->key) || strlen(kv->key) > 255 ||
		    strlen(kv->value) > 4095)
			continue;
		out[n].name = kv->key;
		out[n].value = kv->value;
		n++;
	}
	return n;
}
