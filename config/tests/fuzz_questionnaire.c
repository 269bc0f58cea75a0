/* Fuzzes the parser of questionnaires. */

#include <stdint.h>
#include <stdlib.h>

#include "burdockgrade/questionnaire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bg_questionnaire qn;
	struct bg_error err;
	char *report;
	char *json;
	int error;

	error = bg_questionnaire_parse(
	    &qn, &report, "fuzz.toml", (const char *)data, size, &err);
	/* Invalid answers give a report, valid ones a usable contract. */
	if (error == 0) {
		if (report != NULL ||
		    bg_contract_validate(&qn.contract, &err) != 0 ||
		    bg_contract_encode(&json, &qn.contract) != 0)
			abort();
		free(json);
	} else if (error != BG_EINVAL || report == NULL) {
		abort();
	}
	free(report);
	return 0;
}
