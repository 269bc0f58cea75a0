#ifndef BURDOCKGRADE_CONTRACT_H
#define BURDOCKGRADE_CONTRACT_H

/** @file
 * The service contract: the configuration of one service, generated from the
 * operator's questionnaire.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "burdockgrade/error.h"

/* wire_xdr.h defines the same constants. */
#ifndef BG_NAME_BYTES
#define BG_NAME_BYTES 64
#define BG_ADDRESS_BYTES 64
#endif
#define BG_PREFIX_BYTES 128
#define BG_ROUTES_MAX 16
#define BG_DEPENDENCIES_MAX 16
/** Attempts per call of a route that comes from a contract, see bg_rule. */
#define BG_ATTEMPTS_DEFAULT 2

/** Importance of a route. An overloaded server refuses low criticality first.
 */
enum bg_criticality {
	BG_CRITICALITY_LOW, /**< for example browsing */
	BG_CRITICALITY_NORMAL,
	BG_CRITICALITY_HIGH, /**< for example checkouts */
};

/** HTTP methods of a route, as a bit set. */
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
	uint32_t deadline_ms; /**< time limit of a call */
	uint32_t slow_ms;     /**< target response time; a longer one is slow */
	enum bg_criticality criticality;
};

struct bg_contract {
	char name[BG_NAME_BYTES];
	struct bg_route routes[BG_ROUTES_MAX];
	size_t route_count;
	char dependencies[BG_DEPENDENCIES_MAX][BG_NAME_BYTES];
	size_t dependency_count;
	uint32_t slots;		     /**< concurrent calls per server */
	uint32_t connections;	     /**< connections per server */
	int move_auto_start;	     /**< moves start without an operator */
	uint32_t take_over_ms;	     /**< time limit of a move */
	uint32_t soak_ms;	     /**< monitoring time after a move */
	uint32_t max_error_permille; /**< tolerated share of failed calls */
	uint32_t slo_permyriad;	     /**< availability; 9990 is 99.9% */
	uint32_t slo_window_days;
};

/**
 * Converts a contract to a JSON object.
 *
 * @return a new reference, or NULL if a string is not valid UTF-8 or memory is
 *     exhausted
 */
json_t *bg_contract_to_json(const struct bg_contract *ctr);
/**
 * Reads a contract from a JSON object. Every key must be present, known and of
 * the expected type and size; bg_contract_validate() checks the ranges.
 *
 * @param out zeroed on error
 * @param value NULL gives BG_EPROTO
 * @return 0, or BG_EPROTO with the reason in err
 */
int bg_contract_from_json(
    struct bg_contract *out, const json_t *value, struct bg_error *err);
/**
 * Encodes a contract as compact JSON text with sorted keys.
 *
 * @param out to be freed by the caller; NULL on error
 * @return 0, BG_EINVAL if bg_contract_to_json() fails, or BG_ENOMEM
 */
int bg_contract_encode(char **out, const struct bg_contract *ctr);
/**
 * Reads a contract from JSON text, with the checks of bg_contract_from_json().
 *
 * @param out zeroed on error
 * @return 0, or BG_EPROTO with the reason in err
 */
int bg_contract_decode(struct bg_contract *out, const char *json,
    size_t json_bytes, struct bg_error *err);
/**
 * Computes the xxh64 digest (seed 0) of the encoded contract, which the head
 * stores for each service.
 *
 * @return 0, BG_EINVAL if bg_contract_to_json() fails, or BG_ENOMEM
 */
int bg_contract_digest(uint64_t *out, const struct bg_contract *ctr);
/**
 * Checks the ranges and the consistency of a single contract.
 *
 * @return 0, or BG_EINVAL with the reason in err
 */
int bg_contract_validate(const struct bg_contract *ctr, struct bg_error *err);

#endif
