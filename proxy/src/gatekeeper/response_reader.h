#ifndef BG_PROXY_RESPONSE_READER_H
#define BG_PROXY_RESPONSE_READER_H

/** @file
 * Incremental reader of one HTTP response of a backend server. It rejects what
 * RFC 9110 and 9112 forbid, since a recipient could read it differently. No
 * I/O.
 */

#include <event2/buffer.h>

#include "burdockgrade/wire_xdr.h"

#include "response_progress.h"

/** Bounds of bg_xcall_res, which carries the response to the caller's node. */
#define BG_RESPONSE_HEADERS_MAX BG_HEADERS_MAX
#define BG_RESPONSE_HEADER_NAME_BYTES 256
#define BG_RESPONSE_HEADER_VALUE_BYTES 8192

struct bg_response_reader;

/**
 * @param body_max_bytes largest body that is accepted
 * @return 0 or BG_ENOMEM
 */
int bg_response_reader_init(
    struct bg_response_reader **out, uint32_t body_max_bytes);
void bg_response_reader_free(struct bg_response_reader *rd);
/**
 * Discards what was read, to read another response.
 *
 * @param is_head 1 if the request was a HEAD
 */
void bg_response_reader_reset(struct bg_response_reader *rd, int is_head);
/** Consumes bytes from the buffer, but none after the end of the response.
 * Interim responses (1xx) are skipped. */
enum bg_response_progress bg_response_reader_feed(
    struct bg_response_reader *rd, struct evbuffer *in);

/** Status code; 0 until the headers are complete. */
uint32_t bg_response_reader_status(const struct bg_response_reader *rd);
/**
 * Headers in the order of the response, valid until the next reset.
 *
 * @return number of headers
 */
uint32_t bg_response_reader_headers(
    struct bg_xheader **out, const struct bg_response_reader *rd);
/** Value of a header, valid until the next reset, or NULL. */
const char *bg_response_reader_header(
    const struct bg_response_reader *rd, const char *name);
/** Body read so far; owned by the reader. */
struct evbuffer *bg_response_reader_body(const struct bg_response_reader *rd);
/** 1 if the connection may carry another request. */
int bg_response_reader_keeps_alive(const struct bg_response_reader *rd);
/** Idle timeout of the server from its Keep-Alive header, in milliseconds; 0 if
 * it gives none. */
uint32_t bg_response_reader_idle_timeout_ms(
    const struct bg_response_reader *rd);

#endif
