#ifndef BG_STORE_SESSION_H
#define BG_STORE_SESSION_H

/** @file
 * Blocking calls to the store. Each session has its own event loop and client.
 */

#include "burdockgrade/store.h"

struct bg_session {
	struct event_base *base;
	struct bg_store *store;
	char peer[BG_ERROR_PEER_BYTES]; /**< address, for errors */
};

/** Result of a blocking call. */
struct bg_session_response {
	int code;
	int is_outcome_unknown; /**< as in struct bg_store_response */
	uint64_t revision;	/**< of the object */
	json_t *spec;		/**< of the object, or NULL; owned */
};

/** @return 0 or a code of bg_store_open_fn with the reason in err */
int bg_session_init(struct bg_session *out,
    const struct bg_store_factory *factory, struct bg_error *err);
void bg_session_free(struct bg_session *ses);

/**
 * Reads an object.
 *
 * @param out release it with bg_session_response_free, also after an error
 * @return the code of the response, with the reason in err
 */
int bg_session_get(struct bg_session_response *out, struct bg_session *ses,
    const char *kind, const char *name, struct bg_error *err);
/**
 * Creates or replaces an object.
 *
 * @param out as for bg_session_get
 * @param expected_revision 0: create the object, which must not exist
 * @param spec borrowed
 */
int bg_session_put(struct bg_session_response *out, struct bg_session *ses,
    const char *kind, const char *name, uint64_t expected_revision,
    json_t *spec, struct bg_error *err);
int bg_session_delete(struct bg_session *ses, const char *kind,
    const char *name, uint64_t expected_revision, struct bg_error *err);
/** Calls fn for each object of a kind, in pages of the store. */
int bg_session_foreach(struct bg_session *ses, const char *kind,
    void (*fn)(void *arg, const struct bg_store_object *obj), void *arg,
    struct bg_error *err);
/** Runs the event loop for this many milliseconds. */
void bg_session_sleep(struct bg_session *ses, uint32_t ms);
void bg_session_response_free(struct bg_session_response *response);

#endif
