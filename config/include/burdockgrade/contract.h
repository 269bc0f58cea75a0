#ifndef BURDOCKGRADE_CONTRACT_H
#define BURDOCKGRADE_CONTRACT_H

/** @file
 * The service contract: what the system generates from a questionnaire.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

#ifndef BG_NAME_BYTES
#define BG_NAME_BYTES 64
#define BG_ADDRESS_BYTES 64
#endif
#define BG_PREFIX_BYTES 128
#define BG_ROUTES_MAX 16
#define BG_DEPENDENCIES_MAX 16
/** Servers that may be tried for one call. */
#define BG_ATTEMPTS_DEFAULT 2

/** Order in which calls are refused when a server is full: low first. */
enum bg_criticality {
	BG_CRITICALITY_LOW, /**< browsing */
	BG_CRITICALITY_NORMAL,
	BG_CRITICALITY_HIGH, /**< checkouts */
};

/** Methods of a route, as bits. */
enum bg_method {
	BG_METHOD_GET = 1 << 0,
	BG_METHOD_HEAD = 1 << 1,
	BG_METHOD_POST = 1 << 2,
	BG_METHOD_PUT = 1 << 3,
	BG_METHOD_DELETE = 1 << 4,
	BG_METHOD_PATCH = 1 << 5,
};

struct bg_route {
	char name[BG_NAME_BYTES];
	char prefix[BG_PREFIX_BYTES]; /**< path prefix, starts with '/' */
	uint32_t methods;	      /**< enum bg_method bits */
	int is_idempotent;
	uint32_t deadline_ms;
	uint32_t slow_ms; /**< an answer above this counts as slow */
	enum bg_criticality criticality;
};

struct bg_contract {
	char name[BG_NAME_BYTES];
	struct bg_route routes[BG_ROUTES_MAX];
	size_t route_count;
	char dependencies[BG_DEPENDENCIES_MAX][BG_NAME_BYTES];
	size_t dependency_count;
	uint32_t slots;	      /**< for each server */
	uint32_t connections; /**< for each server */
	int move_auto_start;
	uint32_t take_over_ms;	     /**< promised time of a move */
	uint32_t soak_ms;	     /**< a done move stays watched this long */
	uint32_t max_error_permille; /**< above this a version is bad */
	uint32_t slo_permyriad;	     /**< objective, 9990 is 99.9% */
	uint32_t slo_window_days;
};

/** @return NULL if a string is not UTF-8 or memory is exhausted */
json_t *bg_contract_to_json(const struct bg_contract *ctr);
/** Reads JSON strictly. @param value may be NULL, which is refused
 * @return 0 or BG_EPROTO with the reason in err */
int bg_contract_from_json(
    struct bg_contract *out, const json_t *value, struct bg_error *err);
/** Encodes as text with sorted keys. @param out free() it */
int bg_contract_encode(char **out, const struct bg_contract *ctr);
/** The same from text. @return 0 or BG_EPROTO with the reason in err */
int bg_contract_decode(struct bg_contract *out, const char *json,
    size_t json_bytes, struct bg_error *err);
/** xxh64 (seed 0) of the encoded form, as in the head. @return 0, BG_EINVAL if
 * a string is not UTF-8, or BG_ENOMEM */
int bg_contract_digest(uint64_t *out, const struct bg_contract *ctr);
/** Checks limits and consistency of one contract. */
int bg_contract_validate(const struct bg_contract *ctr, struct bg_error *err);

#endif
