#ifndef BG_MESH_ATTACH_H
#define BG_MESH_ATTACH_H

/** @file
 * Which parent a node tries next. Pure.
 */

#include "burdockgrade/clock.h"
#include "burdockgrade/members.h"
#include "burdockgrade/settings.h"

/** An address that failed is passed over for this long. */
#define BG_ATTACH_AVOID_MS 3000
/** Failed addresses that are remembered. */
#define BG_ATTACH_FAILED_MAX 64
/** A node that found no parent and no platform for this long may lead. Above
 * the time a lease needs to lapse, so that leased relays are preferred. */
#define BG_ATTACH_LEAD_MS 1500

struct bg_attach {
	struct bg_backoff backoff;
	struct bg_rand rand;
	struct {
		char address[BG_ADDRESS_BYTES];
		uint64_t until_ms;
	} failed[BG_ATTACH_FAILED_MAX];
	size_t failed_next;
	size_t next_seed;
	char hint[BG_ADDRESS_BYTES]; /**< from a redirect or the lease object */
	uint64_t not_before_ms;
	uint64_t unattached_since_ms;
};

struct bg_attach_input {
	const struct bg_settings *settings;
	const struct bg_roster *roster;
	const char *self;
	int is_platform_down; /**< the last call failed, or there is none */
	uint64_t now_ms;
};

enum bg_attach_action {
	BG_ATTACH_WAIT,
	BG_ATTACH_TRY,	/**< open a link to the address */
	BG_ATTACH_LEAD, /**< no platform, and no other live member below */
};

void bg_attach_init(struct bg_attach *out, uint64_t seed, uint64_t now_ms);
/** Next step of a node without parent.
 * @param out address to try, for BG_ATTACH_TRY */
enum bg_attach_action bg_attach_next(char out[BG_ADDRESS_BYTES],
    struct bg_attach *att, const struct bg_attach_input *in);
/** Takes the address that a parent or the lease object named.
 * @return 1 if there is one that may be tried now */
int bg_attach_hint(char out[BG_ADDRESS_BYTES], struct bg_attach *att,
    const struct bg_attach_input *in);
/** The address did not answer as a parent. @param retry_ms the parent's wish,
 * 0: back-off */
void bg_attach_failed(struct bg_attach *att, const char *address,
    uint32_t retry_ms, uint64_t now_ms);
/** A parent or the lease object named another address. */
void bg_attach_redirected(
    struct bg_attach *att, const char *address, uint64_t now_ms);
void bg_attach_succeeded(struct bg_attach *att);
/** The parent was lost; the search begins at once. */
void bg_attach_lost(struct bg_attach *att, uint64_t now_ms);
/** 1 if the address failed recently. */
int bg_attach_is_avoided(
    const struct bg_attach *att, const char *address, uint64_t now_ms);

#endif
