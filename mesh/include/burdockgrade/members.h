#ifndef BURDOCKGRADE_MEMBERS_H
#define BURDOCKGRADE_MEMBERS_H

/** @file
 * Typed MEMBER items: the nodes and the backend servers beside them.
 */

#include <stdint.h>

#include "burdockgrade/contract.h"
#include "burdockgrade/table.h"

enum bg_member_state {
	BG_MEMBER_STARTING,
	BG_MEMBER_READY,
	BG_MEMBER_DRAINING,
	BG_MEMBER_LEAVING,
};

/** A node and its backend server, as the node announces them. */
struct bg_member {
	char address[BG_ADDRESS_BYTES]; /**< mesh address "ip:port"; identity */
	char data_centre[BG_NAME_BYTES];
	char region[BG_NAME_BYTES];
	char service[BG_NAME_BYTES];
	char server_version[BG_NAME_BYTES];
	uint64_t incarnation;
	uint64_t seq;
	enum bg_member_state state;
	uint32_t slots;
	uint32_t connections;
	uint64_t ready_since_ms; /**< wall clock, for slow start */
	int is_dead;
	uint64_t dead_observed_ms; /**< local monotonic clock, not replicated */
};

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
/** Rebuilds from a table. @param now_ms monotonic clock */
int bg_roster_rebuild(
    struct bg_roster *ros, const struct bg_table *tbl, uint64_t now_ms);
/** Members of a service. @return count; *out points to the first */
size_t bg_roster_service(const struct bg_member **out,
    const struct bg_roster *ros, const char *service);
/** Finds a member by address, or NULL. */
const struct bg_member *bg_roster_find(
    const struct bg_roster *ros, const char *address);

/** Servers marked dead this recently remain candidates of last resort. */
#define BG_MEMBER_LAST_RESORT_MS 600000

/** 1 if fewer than half of a service's known servers are live; then those that
 * died recently remain candidates, since stale data is better than none.
 * @param members as returned by bg_roster_service */
int bg_members_below_half(
    const struct bg_member *members, size_t count, uint64_t now_ms);
/** 1 if calls may go to a member in state ready.
 * @param below_half result of bg_members_below_half */
int bg_member_is_candidate(
    const struct bg_member *member, int below_half, uint64_t now_ms);

#endif
