#ifndef BURDOCKGRADE_SNAPSHOT_H
#define BURDOCKGRADE_SNAPSHOT_H

/** @file
 * The head, which lists the accepted revision of every service, and the
 * snapshot, which a node serves from: complete, validated and immutable.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"

#define BG_RETIRED_BYTES 256
#define BG_REASON_BYTES 128
#define BG_NONCE_BYTES 40

enum bg_move_state {
	BG_MOVE_NONE, /**< no server version has been chosen yet */
	BG_MOVE_IN_PROGRESS,
	BG_MOVE_DONE,
	BG_MOVE_ROLLED_BACK,
};

/** Share limit of a new version until its first verdict, 5%. */
#define BG_MOVE_FIRST_SHARE_PERMILLE 50

/** A move of traffic from one backend server version to another. Times are
 * wall clock times in ms since the epoch. */
struct bg_move {
	uint64_t generation; /**< increases with each move of the service */
	enum bg_move_state state;
	char from[BG_NAME_BYTES];
	char to[BG_NAME_BYTES];
	uint32_t step;		 /**< from 0 */
	uint32_t share_permille; /**< upper limit of the share of `to` */
	uint64_t started_ms;
	uint64_t deadline_ms; /**< the promised time */
	uint64_t step_since_ms;
	int is_late; /**< cannot be completed safely by the deadline */
	char reason[BG_REASON_BYTES]; /**< of a rollback, or empty */
	/** Versions of earlier moves, separated by spaces. Only an operator
	 * starts a move to one of them again. */
	char retired[BG_RETIRED_BYTES];
};

/** @return 1 if two states belong to the same step of the same move */
int bg_move_is_same_step(const struct bg_move *a, const struct bg_move *b);
/** @return the version that serves: `to` of a completed move, else `from` */
const char *bg_move_serving_version(const struct bg_move *move);
/** Fills the retired versions of a new move: those of the last move and both of
 * its versions. The oldest are dropped if they do not fit. */
void bg_move_retire_versions(struct bg_move *next, const struct bg_move *last);
/** @return 1 if the version belongs to this move or to an earlier one */
int bg_move_is_retired(const struct bg_move *move, const char *server_version);

/** The entry of one service in the head. */
struct bg_head_service {
	char name[BG_NAME_BYTES];
	uint64_t rev;	   /**< revision of the contract; object NAME.REV */
	uint64_t changed;  /**< head version of the last change */
	uint64_t digest;   /**< bg_contract_digest() of the contract */
	int is_withdrawn;  /**< the last accepted revision was withdrawn */
	uint64_t since_ms; /**< last change, wall clock since the epoch */
	struct bg_move move;
};

struct bg_head {
	uint64_t version;
	char writer[BG_NAME_BYTES]; /**< operator or node of the last update */
	/** Random value of the last update. A writer that got no response reads
	 * the head back and compares it. */
	char nonce[BG_NONCE_BYTES];
	struct bg_head_service *services; /**< sorted by name */
	size_t service_count;
};

/** Initializes an empty head. @return 0 */
int bg_head_init(struct bg_head *out);
/** Frees the services and empties the head. @param head may be NULL */
void bg_head_free(struct bg_head *head);
/** Makes a deep copy. @param out empty on error @return 0 or BG_ENOMEM */
int bg_head_copy(struct bg_head *out, const struct bg_head *head);
/** Finds a service by name. @return NULL if there is none */
struct bg_head_service *bg_head_find(
    const struct bg_head *head, const char *service);
/** Finds a service or adds an empty one. Pointers to services become invalid.
 * @return NULL if memory is exhausted */
struct bg_head_service *bg_head_add(struct bg_head *head, const char *service);
/** Removes a service if it is present. Pointers to services become invalid. */
void bg_head_remove(struct bg_head *head, const char *service);
/**
 * Converts a head to a JSON object with a checksum of its content.
 *
 * @return a new reference, or NULL if a string is not valid UTF-8, a number is
 *     above INT64_MAX or memory is exhausted
 */
json_t *bg_head_to_json(const struct bg_head *head);
/**
 * Reads a head from a JSON object. The checksum must match, and every key must
 * be present, known and of the expected type and size.
 *
 * @param out to be freed by bg_head_free(); empty on error
 * @param value NULL gives BG_EPROTO
 * @return 0, BG_EPROTO or BG_ENOMEM, with the reason in err
 */
int bg_head_from_json(
    struct bg_head *out, const json_t *value, struct bg_error *err);
/**
 * Encodes a head as compact JSON text with sorted keys.
 *
 * @param out to be freed by the caller; NULL on error
 * @return 0, BG_EINVAL if bg_head_to_json() fails, or BG_ENOMEM
 */
int bg_head_encode(char **out, const struct bg_head *head);
/** Reads a head from JSON text, as bg_head_from_json(). */
int bg_head_decode(struct bg_head *out, const char *json, size_t json_bytes,
    struct bg_error *err);
/**
 * Computes the digest over the name, the version of the last change and the
 * contract digest of every service.
 *
 * @return the digest, or 0 if memory is exhausted
 */
uint64_t bg_head_digest(const struct bg_head *head);

/** One service of a snapshot. */
struct bg_service {
	struct bg_head_service head;
	struct bg_contract contract;
	/** Health path of the backend servers, or empty. A server that sends
	 * heartbeats is asked there whether it serves, before it is used again
	 * (challenge.h); probes take the path from the node's settings. */
	char probe_path[BG_PREFIX_BYTES];
	/** Time for which a server that has started is cold. 0: unknown. */
	uint32_t warmup_ms;
	/** Calls that a cold server bears, in thousandths of a call a second.
	 * 0: no limit. */
	uint32_t warmup_milli_per_s;
};

/** An organisation, whose callers identify themselves by one of its keys. */
struct bg_organisation {
	const char *name;
	int has_priority;
	uint32_t priority; /**< goes before that of a rule; 0 is served first */
	/** Calls that all nodes together may admit, in thousandths of a call a
	 * second. 0: no limit. */
	uint32_t rate_milli_per_s;
	uint32_t burst; /**< calls that may come at once beyond the rate */
};

/** A service that gets a share of the calls of a rule. */
struct bg_target {
	const char *service;
	uint32_t weight; /**< relative to the sum of the rule's weights */
};

/** A routing rule: which calls it matches, where they go and how they are
 * handled. */
struct bg_rule {
	const char *name;
	const char *host;   /**< lower case; empty: any */
	const char *prefix; /**< "/a/" matches paths below it; "/a" matches
				 these and itself */
	uint32_t methods;   /**< enum bg_method bits; 0: all */
	int is_idempotent;
	uint32_t timeout_ms; /**< time limit of the response to the caller */
	uint32_t target_ms;  /**< a response within it has full value; 0: no
				  target */
	uint32_t priority;   /**< 0 is served first */
	uint32_t attempts;   /**< per call, including the first; refusals by a
				  gatekeeper do not count */
	const struct bg_target *targets;
	size_t target_count;
	int is_public; /**< callers need no key */
};

/** Limits on the requests of callers; 0: not given. Currently not enforced: the
 * ingress uses its own limits and those of the node's settings. */
struct bg_caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct bg_organisations;

struct bg_snapshot {
	uint32_t reference_count;
	uint64_t version;
	struct bg_service *services; /**< sorted by name */
	size_t service_count;
	struct bg_rule *rules; /**< sorted by host and prefix */
	size_t rule_count;
	struct bg_target *targets; /**< of all rules */
	char *strings;		   /**< of all rules and targets */
	/** Maps keys to organisations, shared by snapshots. NULL: the
	 * configuration has no table of organisations, and callers need no
	 * key. */
	struct bg_organisations *organisation_set;
	/** Sorted by name; owned by organisation_set. */
	struct bg_organisation *organisations;
	size_t organisation_count;
	struct bg_caller_limits limits;
};

/** Input of bg_snapshot_assemble(), which copies all of it, apart from the
 * organisations, to which it adds a reference. */
struct bg_snapshot_draft {
	uint64_t version;
	const struct bg_service *services;
	size_t service_count;
	const struct bg_rule *rules;
	size_t rule_count;
	struct bg_caller_limits limits;
	struct bg_organisations *organisations; /**< NULL: none */
};

/**
 * Builds a snapshot from services and rules. Checks that every rule has a path
 * prefix, a timeout, an attempt and a weighted target, that every target names
 * a service, and that no two rules have the same host and prefix and a common
 * method.
 *
 * @param out to be released by bg_snapshot_release(); NULL on error
 * @return 0, BG_EINVAL or BG_ENOMEM, with the reason in err
 */
int bg_snapshot_assemble(struct bg_snapshot **out,
    const struct bg_snapshot_draft *draft, struct bg_error *err);

/**
 * Builds a snapshot from the contracts of a head. Checks that every contract is
 * valid and matches its digest, that every move is valid, that every dependency
 * is present, that no two routes have the same prefix and a common method, and
 * that the services are exactly those of the head.
 *
 * @param out to be released by bg_snapshot_release(); NULL on error
 * @param version version of the head
 * @param head_digest bg_head_digest() of the head
 * @return 0, BG_EINVAL with the reason in err, or BG_ENOMEM
 */
int bg_snapshot_build(struct bg_snapshot **out, uint64_t version,
    uint64_t head_digest, const struct bg_service *services,
    size_t service_count, struct bg_error *err);
/** Adds a reference. @param snap may be NULL @return snap */
struct bg_snapshot *bg_snapshot_acquire(struct bg_snapshot *snap);
/** Drops a reference; the last one frees the snapshot.
 * @param snap may be NULL */
void bg_snapshot_release(struct bg_snapshot *snap);

/** Finds a service by name. @return NULL if there is none */
const struct bg_service *bg_snapshot_service(
    const struct bg_snapshot *snap, const char *name);
/**
 * Finds the rule for a call: the one with the longest matching prefix that
 * allows the method. Rules of the host are tried before rules of any host.
 *
 * @param out NULL on error
 * @param host lower case, without port; empty if unknown
 * @param method compared case-sensitively
 * @param path may have a query, which is ignored
 * @return 0, BG_EINVAL if only rules without this method match, or BG_ENOTFOUND
 *     if no rule matches or the path is not absolute, has a "." or ".." segment
 *     or is longer than 8191 bytes
 */
int bg_snapshot_route(const struct bg_rule **out,
    const struct bg_snapshot *snap, const char *host, const char *method,
    const char *path);

#endif
