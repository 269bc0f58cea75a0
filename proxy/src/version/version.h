#ifndef BG_PROXY_VERSION_H
#define BG_PROXY_VERSION_H

/** @file
 * Chooses the backend server version of a call from the service's move, the
 * share cap and the versions banned as bad. Pure.
 */

#include "burdockgrade/snapshot.h"

#include "../ban/ban.h"
#include "../share/share.h"

struct bg_version_service;

struct bg_versions {
	struct bg_version_service *services;
	struct bg_share share;
	struct bg_bans bans;
};

void bg_versions_init(struct bg_versions *out);
void bg_versions_free(struct bg_versions *vs);

/** Sets the move of a service. @return 0 or BG_ENOMEM */
int bg_versions_set_move(
    struct bg_versions *vs, const char *service, const struct bg_move *move);
/** @return the move of a service, or NULL if none was set. The pointer is valid
 * until bg_versions_free(); bg_versions_set_move() overwrites the move it
 * points to. */
const struct bg_move *bg_versions_get_move(
    const struct bg_versions *vs, const char *service);

/** Restricts the servers that a call may be sent to, by version. The pointers
 * refer to the move that bg_versions_get_move() returns. */
struct bg_version_choice {
	const char *only;   /**< this version; NULL: any */
	const char *except; /**< not this version; NULL: none */
	int is_new;	    /**< the new version was chosen */
	/** The move if the new version was chosen, else NULL. While it is in
	 * progress, its share limits the number of servers that are used, and
	 * its bad verdicts exclude some of them. Servers of other versions have
	 * neither. */
	const struct bg_move *move;
};

/** Chooses the version for the next call of a route. */
void bg_versions_choose(struct bg_version_choice *out,
    const struct bg_versions *vs, const char *service,
    const struct bg_rule *rule);
/** Chooses the version to use if no server of the primary choice can take the
 * call. @return 0, or BG_ENOTFOUND if there is no other version */
int bg_versions_choose_fallback(struct bg_version_choice *out,
    const struct bg_versions *vs, const char *service,
    const struct bg_version_choice *primary);
/** Counts a call that is being sent. */
void bg_versions_sent(struct bg_versions *vs, const char *service,
    const struct bg_rule *rule, const char *server_version);

#endif
