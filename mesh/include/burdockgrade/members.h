#ifndef BURDOCKGRADE_MEMBERS_H
#define BURDOCKGRADE_MEMBERS_H

/** @file
 * Typed MEMBER items: the nodes and the backend servers beside them.
 */

#include <jansson.h>
#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/table.h"

enum bg_member_state {
	BG_MEMBER_STARTING, /**< no backend server is ready yet */
	BG_MEMBER_READY,
	BG_MEMBER_DRAINING, /**< the backend server is leaving */
	BG_MEMBER_LEAVING,  /**< the node itself is stopping */
};

/** What a node found about the version of the server beside it during a move.
 */
enum bg_verdict {
	BG_VERDICT_NONE, /**< too few calls */
	BG_VERDICT_GOOD,
	BG_VERDICT_BAD,
	BG_VERDICT_IDLE, /**< no call came for a while */
};

/** A node and its backend server, as the node announces them. */
struct bg_member {
	char address[BG_ADDRESS_BYTES]; /**< mesh address "ip:port"; identity */
	char data_centre[BG_NAME_BYTES];
	char region[BG_NAME_BYTES];
	char service[BG_NAME_BYTES];
	char server_id[BG_NAME_BYTES]; /**< of this start of the server */
	char server_version[BG_NAME_BYTES];
	uint64_t incarnation; /**< of the node's process */
	uint64_t seq;	      /**< of its announcements */
	enum bg_member_state state;
	uint32_t slots;
	enum bg_verdict verdict;
	uint64_t verdict_generation; /**< move that the verdict is about */
};

/** Encodes what a member announces, without address, incarnation and seq.
 * @return a new reference, or NULL if out of memory or a name is not UTF-8 */
json_t *bg_member_to_json(const struct bg_member *member);
/** Reads what bg_member_to_json wrote. @return 0 or BG_EPROTO */
int bg_member_from_json(struct bg_member *out, const json_t *json);

/** Encodes a member as an item. @param out value is allocated, free() it */
int bg_member_encode(struct bg_item *out, const struct bg_member *member);
/** Decodes an item. @return 0 or BG_EPROTO */
int bg_member_decode(struct bg_member *out, const struct bg_item *item);

/** The decoded members, rebuilt from the table when it changes. */
struct bg_roster {
	struct bg_member *members; /**< sorted by service, then address */
	size_t member_count;
	uint64_t generation;  /**< rises with each rebuild */
	uint32_t *by_address; /**< indices into members, by address */
};

int bg_roster_init(struct bg_roster *out);
void bg_roster_free(struct bg_roster *ros);
/** Rebuilds from a table. */
int bg_roster_rebuild(struct bg_roster *ros, const struct bg_table *tbl);
/** Members of a service. @return count; *out points to the first */
size_t bg_roster_service(const struct bg_member **out,
    const struct bg_roster *ros, const char *service);
/** Finds a member by address, or NULL. */
const struct bg_member *bg_roster_find(
    const struct bg_roster *ros, const char *address);

#endif
