#include <stdio.h>
#include <string.h>

#include "session.h"

/* A call whose response the session waits for. */
struct pending_call {
	struct bg_session *session;
	struct bg_session_response *out;
	void (*object_fn)(void *arg, const struct bg_store_object *obj);
	void *object_arg;
	int is_done;
	int has_more;
	char last_name[BG_STORE_NAME_BYTES];
};

int
bg_session_init(struct bg_session *out, const struct bg_store_factory *factory,
    struct bg_error *err)
{
	int error;

	memset(out, 0, sizeof(*out));
	snprintf(out->peer, sizeof(out->peer), "%s",
	    factory->options.address == NULL ? "" : factory->options.address);
	if ((out->base = event_base_new()) == NULL)
		return bg_error_set(err, BG_ENOMEM, "store", out->peer,
		    "cannot create an event base");
	error = factory->open(&out->store, out->base, &factory->options, err);
	if (error != 0)
		bg_session_free(out);
	return error;
}

void
bg_session_free(struct bg_session *ses)
{
	bg_store_free(ses->store);
	if (ses->base != NULL)
		event_base_free(ses->base);
	ses->store = NULL;
	ses->base = NULL;
}

static void
process_objects(
    struct pending_call *call, const struct bg_store_response *response)
{
	size_t i;

	for (i = 0; i < response->object_count; i++) {
		if (call->object_fn != NULL)
			call->object_fn(
			    call->object_arg, &response->objects[i]);
		snprintf(call->last_name, sizeof(call->last_name), "%s",
		    response->objects[i].name);
	}
	call->has_more = response->has_more;
}

static void
on_response(void *arg, const struct bg_store_response *response)
{
	struct pending_call *call = arg;
	struct bg_session_response *out = call->out;

	out->code = response->code;
	out->is_outcome_unknown = response->is_outcome_unknown;
	if (response->code == 0 && response->object_count == 1) {
		out->revision = response->objects[0].revision;
		out->spec = json_incref(response->objects[0].spec);
	}
	process_objects(call, response);
	call->is_done = 1;
	event_base_loopbreak(call->session->base);
}

static const char *
describe_code(int code)
{
	switch (code) {
	case BG_ENOTFOUND:
		return "object does not exist";
	case BG_ECONFLICT:
		return "object was changed by another writer";
	case BG_ETIMEOUT:
		return "timed out waiting for the response";
	case BG_EUNAVAILABLE:
		return "store is unavailable";
	case BG_ELIMIT:
		return "rate or size limit exceeded";
	default:
		return "store call failed";
	}
}

static int
wait_for_response(struct pending_call *call, int error, const char *step,
    const char *kind, const char *name, struct bg_error *err)
{
	struct bg_session *ses = call->session;

	while (error == 0 && !call->is_done) {
		if (event_base_dispatch(ses->base) != 0)
			error = BG_EIO;
	}
	if (error == 0)
		error = call->out->code;
	else
		call->out->code = error;
	if (error != 0)
		bg_error_set(err, error, step, ses->peer, "%s/%s: %s", kind,
		    name, describe_code(error));
	return error;
}

int
bg_session_get(struct bg_session_response *out, struct bg_session *ses,
    const char *kind, const char *name, struct bg_error *err)
{
	struct pending_call call = {ses, out, NULL, NULL, 0, 0, ""};
	struct bg_store_query query = {0};

	memset(out, 0, sizeof(*out));
	query.kind = kind;
	query.name = name;
	return wait_for_response(&call,
	    bg_store_read(ses->store, &query, on_response, &call), "read", kind,
	    name, err);
}

int
bg_session_put(struct bg_session_response *out, struct bg_session *ses,
    const char *kind, const char *name, uint64_t expected_revision,
    json_t *spec, struct bg_error *err)
{
	struct pending_call call = {ses, out, NULL, NULL, 0, 0, ""};
	struct bg_store_change change = {0};

	memset(out, 0, sizeof(*out));
	change.action =
	    expected_revision == 0 ? BG_STORE_CREATE : BG_STORE_REPLACE;
	change.kind = kind;
	change.name = name;
	change.expected_revision = expected_revision;
	change.value = spec;
	return wait_for_response(&call,
	    bg_store_write(ses->store, &change, on_response, &call), "write",
	    kind, name, err);
}

int
bg_session_delete(struct bg_session *ses, const char *kind, const char *name,
    uint64_t expected_revision, struct bg_error *err)
{
	struct bg_session_response response = {0};
	struct pending_call call = {ses, &response, NULL, NULL, 0, 0, ""};
	struct bg_store_change change = {0};
	int error;

	change.action = BG_STORE_REMOVE;
	change.kind = kind;
	change.name = name;
	change.expected_revision = expected_revision;
	error = wait_for_response(&call,
	    bg_store_write(ses->store, &change, on_response, &call), "delete",
	    kind, name, err);
	bg_session_response_free(&response);
	return error;
}

int
bg_session_foreach(struct bg_session *ses, const char *kind,
    void (*fn)(void *arg, const struct bg_store_object *obj), void *arg,
    struct bg_error *err)
{
	struct bg_session_response response = {0};
	struct pending_call call = {ses, &response, fn, arg, 0, 0, ""};
	struct bg_store_query query = {0};
	int error;

	query.kind = kind;
	do {
		call.is_done = 0;
		query.after_name =
		    call.last_name[0] == '\0' ? NULL : call.last_name;
		error = wait_for_response(&call,
		    bg_store_read(ses->store, &query, on_response, &call),
		    "list", kind, "", err);
		bg_session_response_free(&response);
	} while (error == 0 && call.has_more);
	return error;
}

void
bg_session_sleep(struct bg_session *ses, uint32_t ms)
{
	struct timeval tv = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

	event_base_loopexit(ses->base, &tv);
	event_base_dispatch(ses->base);
}

void
bg_session_response_free(struct bg_session_response *response)
{
	json_decref(response->spec);
	memset(response, 0, sizeof(*response));
}
