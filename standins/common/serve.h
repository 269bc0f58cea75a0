#ifndef BG_STANDIN_SERVE_H
#define BG_STANDIN_SERVE_H

/** @file
 * HTTP server of a stand-in: listens, prints its address, ends on SIGTERM.
 */

#include <evhtp/evhtp.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define SERVE_IP_BYTES 48

/** An open connection. */
struct serve_connection {
	evhtp_connection_t *conn;
	struct serve_connection *next;
};

struct serve {
	struct event_base *base;
	evhtp_t *htp;
	struct event *sigterm;
	struct event *sigint;
	struct serve_connection *connections;
	uint16_t port;
};

/** Creates the base, ignores SIGPIPE and ends the loop on SIGTERM. */
int serve_init(struct serve *out);
/**
 * Listens and prints "listening IP:PORT" on standard output.
 *
 * @param address "ip:port"; port 0 takes a free one
 * @return 0, or -1 after a message on standard error
 */
int serve_listen(
    struct serve *srv, const char *address, evhtp_callback_cb fn, void *arg);

/** The connections that are open now are not read or written any more, and
 * stay open; new ones are served. */
void serve_mute_open(struct serve *srv);

/** Splits "ip:port". @return 0 or -1 */
int serve_split_address(
    char ip[SERVE_IP_BYTES], uint16_t *port, const char *address);
/** Writes the IP address of the request's sender. */
void serve_peer_ip(char out[SERVE_IP_BYTES], const evhtp_request_t *req);
/** Value of a request header, or NULL. */
const char *serve_header(evhtp_request_t *req, const char *name);
/** Percent-decoded value of a query parameter. @return malloc'd, or NULL */
char *serve_query(evhtp_request_t *req, const char *name);

/** Runs fn once when the request is released: answered, or its peer gone. */
void serve_on_gone(evhtp_request_t *req,
    evhtp_res (*fn)(evhtp_request_t *req, void *arg), void *arg);

void serve_add_header(
    evhtp_request_t *req, const char *name, const char *value);
void serve_reply(
    evhtp_request_t *req, evhtp_res code, const char *body, size_t body_bytes);
/** The same in chunks, without a length. */
void serve_reply_chunked(
    evhtp_request_t *req, evhtp_res code, const char *body, size_t body_bytes);
/** The answer says that the connection closes, and it does. */
void serve_close_after(evhtp_request_t *req);
/** Replies with JSON and releases the value. */
void serve_reply_json(evhtp_request_t *req, evhtp_res code, json_t *body);
/** Reads the body as a JSON object. @return NULL after a 400 was sent */
json_t *serve_read_json(evhtp_request_t *req);

#endif
