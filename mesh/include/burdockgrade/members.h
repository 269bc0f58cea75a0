#ifndef BURDOCKGRADE_MEMBERS_H
#define BURDOCKGRADE_MEMBERS_H

/** @file
 * Typed MEMBER items: the nodes and their backend servers.
 */

#include <jansson.h>
#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/table.h"

enum bg_member_state {
	BG_MEMBER_STARTING, /**< no backend server is ready yet */
	BG_MEMBER_READY,
	BG_MEMBER_DRAINING, /**< the backend server is shutting down */
	BG_MEMBER_LEAVING,  /**< the node itself is stopping */
};

/** A node's evaluation of the version of its backend server during a move. */
/** Step of the verdicts of nodes that do not announce it. */
#define BG_VERDICT_STEP_UNKNOWN UINT32_MAX

enum bg_verdict {
	BG_VERDICT_NONE, /**< too few calls for a decision */
	BG_VERDICT_GOOD,
	BG_VERDICT_BAD,
	BG_VERDICT_IDLE, /**< no calls arrived recently */
};

/** A node and its backend server, as announced by the node. */
struct bg_member {
	char address[BG_ADDRESS_BYTES]; /**< mesh address "ip:port"; the key */
	char data_centre[BG_NAME_BYTES];
	char region[BG_NAME_BYTES];
	char service[BG_NAME_BYTES];
	char server_id[BG_NAME_BYTES]; /**< identifies a server, mostly one
					  start of it */
	uint64_t server_started_ms;    /**< start of the server as it reports
					  it; 0: unknown */
	int server_has_left;	       /**< the server reported that it is
					  leaving; final for this start */
	char server_version[BG_NAME_BYTES];
	uint64_t incarnation; /**< rises with each start of the node */
	uint64_t seq;	      /**< rises with each announcement */
	enum bg_member_state state;
	uint32_t slots; /**< concurrent calls of the backend server */
	enum bg_verdict verdict;
	uint32_t verdict_step;	     /**< step of the move that it is on, or
					BG_VERDICT_STEP_UNKNOWN */
	uint64_t verdict_generation; /**< generation of the evaluated move */
};

/** Encodes a member without its address, incarnation and seq.
 * @return a new reference, or NULL if out of memory or a name is not UTF-8 */
json_t *bg_member_to_json(const struct bg_member *member);
/** Decodes the output of bg_member_to_json. Address, incarnation and seq of out
 * are left unchanged. @return 0 or BG_EPROTO */
int bg_member_from_json(struct bg_member *out, const json_t *json);

/** Encodes a member as a MEMBER item.
 * @param out the caller frees out->value; out->key points into member
 * @return 0, BG_EINVAL (no memory for the JSON object, or a name is not UTF-8)
 *     or BG_ENOMEM */
int bg_member_encode(struct bg_item *out, const struct bg_member *member);
/** Decodes a MEMBER item. @return 0 or BG_EPROTO */
int bg_member_decode(struct bg_member *out, const struct bg_item *item);

/** The membership list: all decoded members, rebuilt when the table changes. */
struct bg_roster {
	struct bg_member *members; /**< sorted by service, then address */
	size_t member_count;
	uint64_t generation;  /**< rises with each rebuild */
	uint32_t *by_address; /**< indices into members, sorted by address */
};

/** Initializes an empty roster. @return 0 */
int bg_roster_init(struct bg_roster *out);
void bg_roster_free(struct bg_roster *ros);
/** Rebuilds the roster from a table; unchanged after an error.
 * @return 0 or BG_ENOMEM */
int bg_roster_rebuild(struct bg_roster *ros, const struct bg_table *tbl);
/** Finds the members of a service.
 * @param out set to the first of them; valid until the next rebuild
 * @return their number */
size_t bg_roster_service(const struct bg_member **out,
    const struct bg_roster *ros, const char *service);
/** Finds a member by address.
 * @return the member, valid until the next rebuild, or NULL */
const struct bg_member *bg_roster_find(
    const struct bg_roster *ros, const char *address);

#endif
