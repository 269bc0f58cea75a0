#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "burdockgrade/change.h"

static void
advance_version(
    struct bg_head *head, struct bg_head_service *svc, uint64_t now_wall_ms)
{
	svc->changed = ++head->version;
	svc->since_ms = now_wall_ms;
}

static int
set_not_found(struct bg_error *err, const char *service)
{
	return bg_error_set(err, BG_ENOTFOUND, "change", NULL,
	    "service %s: not accepted yet", service);
}

int
bg_change_accept(struct bg_head *head, const struct bg_contract *ctr,
    uint64_t rev, uint64_t now_wall_ms, struct bg_error *err)
{
	struct bg_head_service *svc;
	uint64_t digest;
	int error;

	if ((error = bg_contract_validate(ctr, err)) != 0 ||
	    (error = bg_contract_digest(&digest, ctr)) != 0)
		return error;
	svc = bg_head_find(head, ctr->name);
	if (rev == 0 || (svc != NULL && svc->rev == rev))
		return bg_error_set(err, BG_EINVAL, "accept", NULL,
		    "service %s: expected a new revision, not %" PRIu64,
		    ctr->name, rev);
	if ((svc = bg_head_add(head, ctr->name)) == NULL)
		return bg_error_set(
		    err, BG_ENOMEM, "accept", NULL, "out of memory");
	svc->rev = rev;
	svc->digest = digest;
	svc->is_withdrawn = 0;
	advance_version(head, svc, now_wall_ms);
	return 0;
}

int
bg_change_withdraw(struct bg_head *head, const struct bg_contract *earlier,
    uint64_t earlier_rev, uint64_t now_wall_ms, struct bg_error *err)
{
	struct bg_head_service *svc = bg_head_find(head, earlier->name);
	uint64_t digest;
	int error;

	if (svc == NULL)
		return set_not_found(err, earlier->name);
	if (earlier_rev == 0 || earlier_rev >= svc->rev)
		return bg_error_set(err, BG_EINVAL, "withdraw", NULL,
		    "service %s: expected a revision before %" PRIu64
		    ", not %" PRIu64,
		    earlier->name, svc->rev, earlier_rev);
	if ((error = bg_contract_validate(earlier, err)) != 0 ||
	    (error = bg_contract_digest(&digest, earlier)) != 0)
		return error;
	svc->rev = earlier_rev;
	svc->digest = digest;
	svc->is_withdrawn = 1;
	advance_version(head, svc, now_wall_ms);
	return 0;
}

/* Server versions are printed as words of the status text. */
static int
is_valid_version(const char *text)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (text[i] <= ' ' || text[i] > '~')
			return 0;
	}
	return i > 0 && i < BG_NAME_BYTES;
}

int
bg_change_move(struct bg_head *head, const char *service, const char *to,
    uint32_t take_over_ms, uint64_t now_wall_ms, struct bg_error *err)
{
	struct bg_head_service *svc = bg_head_find(head, service);
	struct bg_move next = {0};

	if (svc == NULL)
		return set_not_found(err, service);
	if (!is_valid_version(to))
		return bg_error_set(err, BG_EINVAL, "move", NULL,
		    "service %s: expected a server version of printable ASCII "
		    "without spaces",
		    service);
	if (svc->move.state == BG_MOVE_IN_PROGRESS)
		return bg_error_set(err, BG_ECONFLICT, "move", NULL,
		    "service %s: a move to %s is in progress", service,
		    svc->move.to);
	if (strcmp(bg_move_serving_version(&svc->move), to) == 0)
		return bg_error_set(err, BG_EINVAL, "move", NULL,
		    "service %s: version %s is serving already", service, to);
	bg_move_retire_versions(&next, &svc->move);
	next.generation = svc->move.generation + 1;
	next.state = BG_MOVE_IN_PROGRESS;
	snprintf(next.from, sizeof(next.from), "%s",
	    bg_move_serving_version(&svc->move));
	snprintf(next.to, sizeof(next.to), "%s", to);
	next.share_permille = BG_MOVE_FIRST_SHARE_PERMILLE;
	next.started_ms = now_wall_ms;
	next.deadline_ms = now_wall_ms + take_over_ms;
	next.step_since_ms = now_wall_ms;
	svc->move = next;
	advance_version(head, svc, now_wall_ms);
	return 0;
}

int
bg_change_move_state(struct bg_head *head, const char *service,
    const struct bg_move *move, uint64_t now_wall_ms, struct bg_error *err)
{
	struct bg_head_service *svc = bg_head_find(head, service);

	if (svc == NULL)
		return set_not_found(err, service);
	if (move->generation < svc->move.generation)
		return bg_error_set(err, BG_ESTALE, "move", NULL,
		    "service %s: move generation %" PRIu64 " is superseded",
		    service, move->generation);
	svc->move = *move;
	advance_version(head, svc, now_wall_ms);
	return 0;
}
