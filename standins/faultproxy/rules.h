#ifndef STANDIN_FAULT_RULES_H
#define STANDIN_FAULT_RULES_H

/** @file
 * Fault rules by source and target address. Pure.
 */

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define RULES_MAX 512
#define PREFIX_BYTES 24

/** What happens to bytes in one direction. */
struct faults {
	double delay_ms;
	double jitter_ms;
	uint64_t bytes_per_s; /**< 0: no limit */
	uint64_t
	    cut_after_bytes; /**< 0: never; then the connection is closed */
	uint32_t duplicate_permille; /**< of whole RPC messages */
	int is_partitioned;	     /**< bytes wait until this ends */
	int is_refused;		     /**< new connections are closed */
};

struct rule {
	char source[PREFIX_BYTES]; /**< address prefix; empty: any */
	char target[PREFIX_BYTES];
	struct faults faults;
	int drops;    /**< once: closes matching connections */
	int silences; /**< once: silences matching connections for good */
};

struct rules {
	struct rule list[RULES_MAX];
	size_t count;
};

/**
 * Reads {"rules": [{"source", "target", "delay_ms", "jitter_ms", "bytes_per_s",
 * "cut_after_bytes", "duplicate_permille", "partition", "refuse", "drop",
 * "silence"}]}.
 *
 * @return 0, or -1 with a message in error
 */
int rules_read(
    struct rules *out, json_t *root, char *error, size_t error_bytes);

/** Adds up the faults of all rules that match a direction. */
void rules_faults(struct faults *out, const struct rules *rules,
    const char *source, const char *target);

/** 1 if a rule matches and asks for the one-time action. */
int rules_drop(
    const struct rules *rules, const char *source, const char *target);
int rules_silence(
    const struct rules *rules, const char *source, const char *target);

#endif
