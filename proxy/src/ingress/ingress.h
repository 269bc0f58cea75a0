#ifndef BG_PROXY_INGRESS_H
#define BG_PROXY_INGRESS_H

/** @file
 * HTTP server for customers and for the backend server's own calls.
 */

#include "../proxy_internal.h"

struct bg_ingress;

int bg_ingress_init(
    struct bg_ingress **out, struct bg_proxy *prx, struct bg_error *err);
void bg_ingress_free(struct bg_ingress *ing);
/** Refuses new connections; open ones are served on and closed with their next
 * answer. */
void bg_ingress_stop_listening(struct bg_ingress *ing);
uint16_t bg_ingress_port(const struct bg_ingress *ing);
int bg_ingress_add_page(
    struct bg_ingress *ing, const char *path, bg_page_fn fn, void *arg);

#endif
