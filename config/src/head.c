#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

/* Index of the first service whose name is not less than the given one. */
static size_t
lower_bound(const struct bg_head *head, const char *service)
{
	size_t low = 0;
	size_t high = head->service_count;
	size_t mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (strcmp(head->services[mid].name, service) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

int
bg_head_init(struct bg_head *out)
{
	memset(out, 0, sizeof(*out));
	return 0;
}

void
bg_head_free(struct bg_head *head)
{
	if (head == NULL)
		return;
	free(head->services);
	memset(head, 0, sizeof(*head));
}

int
bg_head_copy(struct bg_head *out, const struct bg_head *head)
{
	size_t bytes = head->service_count * sizeof(*head->services);

	*out = *head;
	out->services = NULL;
	if (bytes == 0)
		return 0;
	if ((out->services = malloc(bytes)) == NULL) {
		memset(out, 0, sizeof(*out));
		return BG_ENOMEM;
	}
	memcpy(out->services, head->services, bytes);
	return 0;
}

struct bg_head_service *
bg_head_find(const struct bg_head *head, const char *service)
{
	size_t pos = lower_bound(head, service);

	if (pos == head->service_count ||
	    strcmp(head->services[pos].name, service) != 0)
		return NULL;
	return &head->services[pos];
}

struct bg_head_service *
bg_head_add(struct bg_head *head, const char *service)
{
	size_t pos = lower_bound(head, service);
	struct bg_head_service *grown;

	if (pos < head->service_count &&
	    strcmp(head->services[pos].name, service) == 0)
		return &head->services[pos];
	grown =
	    realloc(head->services, (head->service_count + 1) * sizeof(*grown));
	if (grown == NULL)
		return NULL;
	head->services = grown;
	memmove(&grown[pos + 1], &grown[pos],
	    (head->service_count - pos) * sizeof(*grown));
	head->service_count++;
	memset(&grown[pos], 0, sizeof(grown[pos]));
	snprintf(grown[pos].name, sizeof(grown[pos].name), "%s", service);
	return &grown[pos];
}

void
bg_head_remove(struct bg_head *head, const char *service)
{
	struct bg_head_service *svc = bg_head_find(head, service);
	size_t pos;

	if (svc == NULL)
		return;
	pos = (size_t)(svc - head->services);
	head->service_count--;
	memmove(svc, svc + 1, (head->service_count - pos) * sizeof(*svc));
}
