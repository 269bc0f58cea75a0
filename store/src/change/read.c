#include <string.h>

#include "burdockgrade/change.h"

#include "../session/session.h"

static int
read_spec(json_t **out, uint64_t *out_revision,
    const struct bg_store_factory *factory, const char *name,
    struct bg_error *err)
{
	struct bg_session_response response;
	struct bg_session ses;
	int error;

	*out = NULL;
	*out_revision = 0;
	if ((error = bg_session_init(&ses, factory, err)) != 0)
		return error;
	error = bg_session_get(&response, &ses, BG_KIND_CONFIG, name, err);
	if (error == 0) {
		*out = json_incref(response.spec);
		*out_revision = response.revision;
	}
	bg_session_response_free(&response);
	bg_session_free(&ses);
	return error;
}

int
bg_read_document(json_t **out, uint64_t *out_revision,
    const struct bg_store_factory *factory, struct bg_error *err)
{
	int error =
	    read_spec(out, out_revision, factory, BG_NAME_DOCUMENT, err);

	return error == BG_ENOTFOUND ? 0 : error;
}

int
bg_read_history(struct bg_history *out, const struct bg_store_factory *factory,
    struct bg_error *err)
{
	uint64_t revision;
	json_t *spec;
	int error;

	memset(out, 0, sizeof(*out));
	error = read_spec(&spec, &revision, factory, BG_NAME_HISTORY, err);
	if (error == BG_ENOTFOUND)
		return 0;
	if (error == 0 && (error = bg_history_decode(out, spec)) != 0)
		bg_error_set(err, error, "read", factory->options.address,
		    BG_KIND_CONFIG "/" BG_NAME_HISTORY ": invalid history");
	json_decref(spec);
	return error;
}
