#ifndef BG_STORE_SESSION_H
#define BG_STORE_SESSION_H

/** @file
 * Blocking calls on one loop and one client of their own.
 */

#include "burdockgrade/store.h"

struct bg_session {
	struct event_base *base;
	struct bg_store *store;
	char peer[BG_ERROR_PEER_BYTES];
};

/** The answer to a blocking call. */
struct bg_session_response {
	int code;
	int is_outcome_unknown;
	uint64_t revision; /**< of the object */
	json_t *spec;	   /**< of the object, or NULL; owned */
};

int bg_session_init(struct bg_session *out,
    const struct bg_store_factory *factory, struct bg_error *err);
void bg_session_free(struct bg_session *ses);

/** Each waits for the answer, released by bg_session_answer_free.
 * @return the code of the answer */
int bg_session_get(struct bg_session_response *out, struct bg_session *ses,
    const char *kind, const char *name, struct bg_error *err);
/** @param expected_revision 0: the object must not exist
 * @param spec borrowed */
int bg_session_put(struct bg_session_response *out, struct bg_session *ses,
    const char *kind, const char *name, uint64_t expected_revision,
    json_t *spec, struct bg_error *err);
int bg_session_delete(struct bg_session *ses, const char *kind,
    const char *name, uint64_t expected_revision, struct bg_error *err);
/** Calls fn for each object of a kind, page by page. */
int bg_session_foreach(struct bg_session *ses, const char *kind,
    void (*fn)(void *arg, const struct bg_store_object *obj), void *arg,
    struct bg_error *err);
/** Lets time pass. */
void bg_session_sleep(struct bg_session *ses, uint32_t ms);
void bg_session_response_free(struct bg_session_response *response);

#endif
