#ifndef BG_PROXY_ANSWER_READER_H
#define BG_PROXY_ANSWER_READER_H

/** @file
 * Reads one answer of a backend server from the bytes of its connection. The
 * parser is libevhtp's. Pure.
 */

#include <event2/buffer.h>

#include "burdockgrade/wire_xdr.h"

/** Bounds of bg_xcall_res. */
#define BG_ANSWER_HEADERS BG_HEADERS_MAX
#define BG_ANSWER_NAME_BYTES 256
#define BG_ANSWER_VALUE_BYTES 8192

enum bg_answer_progress {
	BG_ANSWER_MORE,	     /**< more bytes are needed */
	BG_ANSWER_COMPLETE,  /**< the whole answer was read */
	BG_ANSWER_TO_END,    /**< everything so far; the body ends with the
				  connection */
	BG_ANSWER_INVALID,   /**< no HTTP answer, or with two framings */
	BG_ANSWER_OVERSIZED, /**< above the limits */
};

struct bg_answer_reader;

/** @param body_max_bytes largest body */
int bg_answer_reader_init(
    struct bg_answer_reader **out, uint32_t body_max_bytes);
void bg_answer_reader_free(struct bg_answer_reader *rd);
/** Begins another answer. @param is_head 1 if the request was a HEAD */
void bg_answer_reader_reset(struct bg_answer_reader *rd, int is_head);
/** Takes bytes from the buffer, none behind the answer. Interim answers (1xx)
 * are skipped. */
enum bg_answer_progress bg_answer_reader_feed(
    struct bg_answer_reader *rd, struct evbuffer *in);

/** What was read; valid until the next reset. */
uint32_t bg_answer_reader_status(const struct bg_answer_reader *rd);
/** Headers in order, with their values. @return their number */
uint32_t bg_answer_reader_headers(
    struct bg_xheader **out, const struct bg_answer_reader *rd);
/** Value of a header, or NULL. */
const char *bg_answer_reader_header(
    const struct bg_answer_reader *rd, const char *name);
struct evbuffer *bg_answer_reader_body(const struct bg_answer_reader *rd);
/** 1 if the connection may carry another request. */
int bg_answer_reader_keeps_alive(const struct bg_answer_reader *rd);
/** Idle time after which the server closes, in milliseconds, as it says in
 * Keep-Alive; 0 if it does not say. */
uint32_t bg_answer_reader_idle_ms(const struct bg_answer_reader *rd);

#endif
