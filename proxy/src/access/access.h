#ifndef BG_PROXY_ACCESS_H
#define BG_PROXY_ACCESS_H

/** @file
 * Decides whether a caller may use a route, and for which organisation. Pure,
 * apart from the count of refusals.
 */

#include "burdockgrade/organisations.h"

enum bg_access {
	BG_ACCESS_GRANTED,
	BG_ACCESS_NO_KEY,
	BG_ACCESS_UNKNOWN_KEY,
	BG_ACCESS_SEVERAL_KEYS,
	/** It has no key and may be a call of a request that the backend server
	 * no longer runs, or that an earlier process of this node knew. */
	BG_ACCESS_NO_PARENT,
	BG_ACCESS_COUNT,
};

/** Who made a call. Customers and the backend server share an address, so the
 * id of the call tells. */
enum bg_origin {
	BG_ORIGIN_CUSTOMER,
	BG_ORIGIN_SERVER, /**< a request that runs at the backend server */
	BG_ORIGIN_ENDED,  /**< the id has the form of such a call, and no such
			     request runs */
};

struct bg_caller {
	const char *key;     /**< the first one; NULL: none */
	int is_contradicted; /**< another key differs from it */
	enum bg_origin origin;
};

/** Adds a key that the request carries. It must stay valid as long as the
 * caller. */
void bg_caller_add_key(struct bg_caller *caller, const char *key);
/**
 * Determines who made a call. A call of a server has the id of its request,
 * followed by a dot and a suffix. An equal id is not enough: a customer repeats
 * its own.
 *
 * @param extends_running the id extends that of a request that the backend
 *     server is running
 */
enum bg_origin bg_access_origin(const char *request_id, int extends_running);

/**
 * Decides on a call. Those that backend servers make carry no key; neither they
 * nor those on a public route belong to an organisation.
 *
 * @param out the caller's organisation, owned by the snapshot, or NULL
 */
enum bg_access bg_access_decide(const struct bg_organisation **out,
    const struct bg_snapshot *snap, const struct bg_rule *rule,
    const struct bg_caller *caller);
/** Rank of a call: that of its organisation, if it has one, goes before that of
 * the rule. 0 is served first. */
uint32_t bg_access_priority(
    const struct bg_organisation *org, const struct bg_rule *rule);

/** Text of a decision, for the response to the caller and for logs. */
const char *bg_access_text(enum bg_access access);
/** Counts a call that was not granted. */
void bg_access_count(enum bg_access access);

#endif
