#ifndef BG_PROXY_GATE_STATUS_H
#define BG_PROXY_GATE_STATUS_H

/** @file
 * Status of the backend server, asked for at the health path of its service
 * before a server that may have left is used again (challenge.h). Internal to
 * the gatekeeper.
 */

#include "gate_call.h"

/** @return 0 or BG_ENOMEM */
int bg_gate_status_init(struct bg_gatekeeper *gk);
void bg_gate_status_free(struct bg_gatekeeper *gk);
/** Takes the health path from a new snapshot, and asks the server if that had
 * to wait for the path. */
void bg_gate_status_configure(
    struct bg_gatekeeper *gk, const struct bg_service *svc);
/**
 * Asks the server, unless it is being asked: at once, or as soon as a snapshot
 * with its service is in force. The answer goes to bg_gate_on_status().
 *
 * @return 0, BG_ENOTFOUND if the service has no health path, or BG_ELIMIT or
 *     BG_ENOMEM if the request cannot be sent
 */
int bg_gate_status_ask(struct bg_gatekeeper *gk);
/** 1 if a response says that the server with the id serves calls.
 * @param id_header name of the header that identifies the server */
int bg_gate_status_is_serving(const struct bg_exchange_result *res,
    const char *id_header, const char *id);

#endif
