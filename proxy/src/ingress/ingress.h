#ifndef BG_PROXY_INGRESS_H
#define BG_PROXY_INGRESS_H

/** @file
 * HTTP server for calls from customers and from the backend server on the same
 * VM, and for the pages of the node.
 */

#include "../proxy_internal.h"

struct bg_ingress;

/** Binds the customer port and starts to accept connections.
 * @return 0, BG_ENOMEM, or BG_EIO if the port cannot be bound */
int bg_ingress_init(
    struct bg_ingress **out, struct bg_proxy *prx, struct bg_error *err);
void bg_ingress_free(struct bg_ingress *ing);
/** Stops accepting connections. Open ones are served until their next response,
 * after which they are closed. */
void bg_ingress_stop_listening(struct bg_ingress *ing);
/** Port on which the ingress listens. */
uint16_t bg_ingress_port(const struct bg_ingress *ing);
/** Registers a page; see bg_proxy_add_page.
 * @return 0, or BG_ELIMIT if too many pages are registered */
int bg_ingress_add_page(
    struct bg_ingress *ing, const char *path, bg_page_fn fn, void *arg);

#endif
