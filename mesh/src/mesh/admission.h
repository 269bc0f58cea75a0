#ifndef BG_MESH_ADMISSION_H
#define BG_MESH_ADMISSION_H

#include <stdint.h>

/** Attaches a parent admits; each costs it a digest comparison and a list. */
#define BG_ATTACHES_PER_S 200
/** Attaches admitted at once after a quiet time. */
#define BG_ATTACH_BURST 50

/** Admission of attaches: a token bucket, and a queue of retry times for those
 * who find it empty. */
struct bg_admission {
	uint64_t refilled_ms;
	uint64_t next_retry_ms;
	uint32_t tokens_milli;
	int is_started;
};

/** @return 1 if admitted; else 0 and the time to wait in *out_retry_ms */
int bg_admission_take(
    uint32_t *out_retry_ms, struct bg_admission *adm, uint64_t now_ms);

#endif
