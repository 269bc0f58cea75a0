#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"

#define SLOW_LOAD_FACTOR 10.0

static const struct {
	const char *name;
	double argument;
} KINDS[FAULT_KIND_COUNT] = {
    {"fail", 1.0},
    {"fail-after-s", 10.0},
    {"fail-after-calls", 100.0},
    {"slow", 4.0},
    {"slow-load", 3.0},
    {"die", 0.0},
    {"late", 0.0},
    {"truncate", 0.0},
    {"wrong-length", 0.0},
    {"crossed", 0.0},
    {"mute", 0.0},
    {"drip", 0.0},
    {"lie-health", 0.0},
};

int
faults_add(struct faults *flt, const char *text)
{
	size_t name_bytes = strcspn(text, ":@");
	const char *rest = text + name_bytes;
	struct fault *fault = &flt->list[flt->count];
	char *end;
	int kind;

	if (flt->count == FAULTS_MAX)
		return -1;
	for (kind = 0; kind < FAULT_KIND_COUNT; kind++) {
		if (strlen(KINDS[kind].name) == name_bytes &&
		    strncmp(KINDS[kind].name, text, name_bytes) == 0)
			break;
	}
	if (kind == FAULT_KIND_COUNT)
		return -1;
	memset(fault, 0, sizeof(*fault));
	fault->kind = (enum fault_kind)kind;
	fault->argument = KINDS[kind].argument;
	if (*rest == ':') {
		fault->argument = strtod(rest + 1, &end);
		if (end == rest + 1)
			return -1;
		rest = end;
	}
	if (*rest == '@') {
		snprintf(fault->route, sizeof(fault->route), "%s", rest + 1);
		rest += strlen(rest);
	}
	if (*rest != '\0')
		return -1;
	flt->count++;
	return 0;
}

const struct fault *
faults_find(const struct faults *flt, enum fault_kind kind, const char *path)
{
	const struct fault *fault;
	size_t i;

	for (i = 0; i < flt->count; i++) {
		fault = &flt->list[i];
		if (fault->kind == kind &&
		    strncmp(path, fault->route, strlen(fault->route)) == 0)
			return fault;
	}
	return NULL;
}

int
faults_fail(const struct faults *flt, const struct fault_input *in)
{
	const struct fault *fault;

	fault = faults_find(flt, FAULT_FAIL, in->path);
	if (fault != NULL && in->random < fault->argument)
		return 1;
	fault = faults_find(flt, FAULT_FAIL_AFTER_S, in->path);
	if (fault != NULL && (double)in->uptime_ms >= fault->argument * 1000.0)
		return 1;
	fault = faults_find(flt, FAULT_FAIL_AFTER_CALLS, in->path);
	return fault != NULL && (double)in->calls >= fault->argument;
}

double
faults_factor(const struct faults *flt, const struct fault_input *in)
{
	const struct fault *fault;
	double factor = 1.0;

	fault = faults_find(flt, FAULT_SLOW, in->path);
	if (fault != NULL)
		factor *= fault->argument;
	fault = faults_find(flt, FAULT_SLOW_LOAD, in->path);
	if (fault != NULL && (double)in->running > fault->argument)
		factor *= SLOW_LOAD_FACTOR;
	return factor;
}
