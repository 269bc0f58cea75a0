#ifndef BURDOCKGRADE_SNAPSHOT_H
#define BURDOCKGRADE_SNAPSHOT_H

/** @file
 * The head (the accepted version of everything) and the snapshot that a proxy
 * serves from: complete, validated and immutable.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/contract.h"

#define BG_RETIRED_BYTES 256
#define BG_REASON_BYTES 128
#define BG_NONCE_BYTES 40

enum bg_move_state {
	BG_MOVE_NONE, /**< no server version was chosen yet */
	BG_MOVE_IN_PROGRESS,
	BG_MOVE_DONE,
	BG_MOVE_ROLLED_BACK,
};

/** Cap on the share of an unproven version before the first verdict: 5%. */
#define BG_MOVE_FIRST_SHARE_PERMILLE 50

/** A move of traffic from one backend server version to another. */
struct bg_move {
	uint64_t generation; /**< rises with each move of the service */
	enum bg_move_state state;
	char from[BG_NAME_BYTES];
	char to[BG_NAME_BYTES];
	uint32_t step;
	uint32_t share_permille; /**< cap on the share of `to` */
	uint64_t started_ms;	 /**< wall clock */
	uint64_t deadline_ms;	 /**< wall clock, the promised time */
	uint64_t step_since_ms;	 /**< wall clock */
	int is_late; /**< cannot be done safely by the promised time */
	char reason[BG_REASON_BYTES];
	/** Versions that served or were tried before, separated by spaces; only
	 * an operator starts one of them again. */
	char retired[BG_RETIRED_BYTES];
};

/** 1 if two states of a move are the same step of the same move. */
int bg_move_is_same_step(const struct bg_move *a, const struct bg_move *b);
/** Version that serves: `to` of a done move, else `from`. */
const char *bg_move_serving_version(const struct bg_move *move);
/** Carries the versions of the last move over into the next one; the oldest
 * are dropped if there are too many. */
void bg_move_retire_versions(struct bg_move *next, const struct bg_move *last);
/** 1 if the version served or was tried before. */
int bg_move_is_retired(const struct bg_move *move, const char *server_version);

/** What the head says of one service. */
struct bg_head_service {
	char name[BG_NAME_BYTES];
	uint64_t rev;	   /**< revision of config/service/NAME/REV */
	uint64_t changed;  /**< head version of the last change */
	uint64_t digest;   /**< xxh64 of the contract's JSON */
	int is_withdrawn;  /**< the last accept was withdrawn */
	uint64_t since_ms; /**< wall clock of the last change */
	struct bg_move move;
};

struct bg_head {
	uint64_t version;
	char writer[BG_NAME_BYTES];	  /**< of the last update */
	char nonce[BG_NONCE_BYTES];	  /**< settles a lost answer */
	struct bg_head_service *services; /**< sorted by name */
	size_t service_count;
};

int bg_head_init(struct bg_head *out);
void bg_head_free(struct bg_head *head);
int bg_head_copy(struct bg_head *out, const struct bg_head *head);
struct bg_head_service *bg_head_find(
    const struct bg_head *head, const char *service);
/** Adds a service or returns the one present. @return NULL if out of memory */
struct bg_head_service *bg_head_add(struct bg_head *head, const char *service);
void bg_head_remove(struct bg_head *head, const char *service);
/** With a check of its content. @return NULL if a string is not UTF-8 or memory
 * is exhausted */
json_t *bg_head_to_json(const struct bg_head *head);
/** Reads JSON strictly. @param value may be NULL, which is refused
 * @param out empty after an error
 * @return 0, BG_EPROTO with the reason in err, or BG_ENOMEM */
int bg_head_from_json(
    struct bg_head *out, const json_t *value, struct bg_error *err);
/** Encodes as text. @param out free() it */
int bg_head_encode(char **out, const struct bg_head *head);
int bg_head_decode(struct bg_head *out, const char *json, size_t json_bytes,
    struct bg_error *err);
/** Digest over names, changed versions and digests of all services. */
uint64_t bg_head_digest(const struct bg_head *head);

/** One service of a snapshot. */
struct bg_service {
	struct bg_head_service head;
	struct bg_contract contract;
	/** Where the backend servers answer probes; empty: the settings say. */
	char probe_path[BG_PREFIX_BYTES];
};

/** A service that serves a part of a route's calls. */
struct bg_target {
	const char *service;
	uint32_t weight; /**< its part among all weights of the route */
};

/** Where the calls of one path go and what they are owed. */
struct bg_rule {
	const char *name;
	const char *host;   /**< lower case; empty: any */
	const char *prefix; /**< one that ends with '/' matches what is below
				 it, any other one itself as well */
	uint32_t methods;   /**< enum bg_method bits; 0: all */
	int is_idempotent;
	uint32_t timeout_ms; /**< longest time a caller is kept waiting */
	uint32_t target_ms;  /**< an answer within this time is worth most; 0:
				  none was set */
	uint32_t priority;   /**< 0 is served first */
	uint32_t attempts;   /**< servers that may be tried for one call */
	const struct bg_target *targets;
	size_t target_count;
};

/** Bounds on what a caller may send; 0: the settings say. */
struct bg_caller_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct bg_snapshot {
	uint32_t reference_count;
	uint64_t version;
	struct bg_service *services; /**< sorted by name */
	size_t service_count;
	struct bg_rule *rules; /**< sorted by host and prefix */
	size_t rule_count;
	struct bg_target *targets; /**< of all rules */
	char *strings;		   /**< strings of rules and targets */
	struct bg_caller_limits limits;
};

/** What a snapshot is made of; nothing is kept of it. */
struct bg_snapshot_draft {
	uint64_t version;
	const struct bg_service *services;
	size_t service_count;
	const struct bg_rule *rules;
	size_t rule_count;
	struct bg_caller_limits limits;
};

/**
 * Builds a snapshot and checks that each target names a service and no two
 * rules match the same calls.
 *
 * @return 0, BG_EINVAL with the reason in err, or BG_ENOMEM; nothing is built
 */
int bg_snapshot_assemble(struct bg_snapshot **out,
    const struct bg_snapshot_draft *draft, struct bg_error *err);

/**
 * Builds and validates a snapshot from the contracts of a head: every service
 * complete, every route and dependency present, no two routes alike, limits
 * sane, digests match.
 *
 * @param version head version that the services make up
 * @param head_digest expected bg_head_digest
 * @return 0, or BG_EINVAL/BG_EPROTO with the reason in err; nothing is built
 */
int bg_snapshot_build(struct bg_snapshot **out, uint64_t version,
    uint64_t head_digest, const struct bg_service *services,
    size_t service_count, struct bg_error *err);
struct bg_snapshot *bg_snapshot_acquire(struct bg_snapshot *snap);
void bg_snapshot_release(struct bg_snapshot *snap);

/** Finds a service by name, or NULL. */
const struct bg_service *bg_snapshot_service(
    const struct bg_snapshot *snap, const char *name);
/**
 * Finds the rule with the longest prefix for a call; a rule of the host goes
 * before one of any host.
 *
 * @param host without port, lower case; empty if unknown
 * @return 0, BG_ENOTFOUND (no such path) or BG_EINVAL (method not allowed)
 */
int bg_snapshot_route(const struct bg_rule **out,
    const struct bg_snapshot *snap, const char *host, const char *method,
    const char *path);

#endif
