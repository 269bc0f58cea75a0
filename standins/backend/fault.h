#ifndef STANDIN_BACKEND_FAULT_H
#define STANDIN_BACKEND_FAULT_H

/** @file
 * Faults of a backend server. Pure.
 */

#include <stddef.h>
#include <stdint.h>

#define FAULTS_MAX 8
#define FAULT_ROUTE_BYTES 96

enum fault_kind {
	FAULT_FAIL,		/**< answers 500; argument: ratio, default 1 */
	FAULT_FAIL_AFTER_S,	/**< fails from N seconds after start */
	FAULT_FAIL_AFTER_CALLS, /**< fails from the Nth call on */
	FAULT_SLOW,		/**< service time times the argument */
	FAULT_SLOW_LOAD,	/**< ten times slower above N running calls */
	FAULT_DIE,	/**< the process ends after a run, before its answer */
	FAULT_LATE,	/**< answers after the deadline */
	FAULT_TRUNCATE, /**< half of the body, then the connection closes */
	FAULT_WRONG_LENGTH, /**< declares more bytes than it sends */
	FAULT_CROSSED,	    /**< the answer carries another request's id */
	FAULT_MUTE,	    /**< runs and never answers */
	FAULT_DRIP,	    /**< sends the answer byte by byte */
	FAULT_LIE_HEALTH,   /**< probe and load say idle whatever happens */
	FAULT_KIND_COUNT,
};

struct fault {
	enum fault_kind kind;
	double argument;
	char route[FAULT_ROUTE_BYTES]; /**< path prefix; empty: all */
};

struct faults {
	struct fault list[FAULTS_MAX];
	size_t count;
};

/** Adds "KIND[:NUMBER][@PATH-PREFIX]". @return 0 or -1 */
int faults_add(struct faults *flt, const char *text);

/** Finds a fault of a kind for a path, or NULL. */
const struct fault *faults_find(
    const struct faults *flt, enum fault_kind kind, const char *path);

/** What the server is doing when a call begins. */
struct fault_input {
	const char *path;
	uint64_t uptime_ms;
	uint64_t calls;
	uint32_t running;
	double random; /**< in [0, 1) */
};

/** 1 if the call is to fail. */
int faults_fail(const struct faults *flt, const struct fault_input *in);
/** Factor of the service time. */
double faults_factor(const struct faults *flt, const struct fault_input *in);

#endif
