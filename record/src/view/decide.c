#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/error.h"

#include "view/view.h"

/* Members in the home data centre: the holder and one more. */
#define HOME_MEMBERS 2
#define REMOTE_MEMBERS 1
/* Groups that one decision moves only to even out the load; each of them
 * starts a new epoch, which interrupts begins that are under way. */
#define REBALANCE_MAX 8
/* A node with this many groups fewer than another one takes over some. */
#define REBALANCE_GAP 2

struct plan {
	const struct bg_view_input *in;
	uint32_t *held;	  /* groups that a candidate holds */
	uint32_t *copies; /* groups that a candidate is in */
	size_t moves_left;
};

static const struct bg_view_candidate *
find_candidate(const struct plan *plan, const struct bg_record_node *node)
{
	size_t i;

	for (i = 0; i < plan->in->candidate_count; i++) {
		if (bg_record_node_equal(&plan->in->candidates[i].node, node))
			return &plan->in->candidates[i];
	}
	return NULL;
}

static size_t
candidate_index(
    const struct plan *plan, const struct bg_view_candidate *candidate)
{
	return (size_t)(candidate - plan->in->candidates);
}

static int
is_alive(const struct plan *plan, const struct bg_record_node *node)
{
	const struct bg_view_candidate *c = find_candidate(plan, node);

	return c != NULL && c->is_alive;
}

/* Alive and not about to stop. */
static int
is_lasting(const struct plan *plan, const struct bg_record_node *node)
{
	const struct bg_view_candidate *c = find_candidate(plan, node);

	return c != NULL && c->is_alive && !c->is_draining;
}

static int
is_home(const struct plan *plan, const struct bg_record_node *node)
{
	const struct bg_view_candidate *c = find_candidate(plan, node);

	return c != NULL && c->is_home;
}

static int
lists_node(const struct bg_record_node *list, size_t count,
    const struct bg_record_node *node)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (bg_record_node_equal(&list[i], node))
			return 1;
	}
	return 0;
}

static uint32_t
load_of(const struct plan *plan, const uint32_t *load,
    const struct bg_record_node *node)
{
	const struct bg_view_candidate *c = find_candidate(plan, node);

	return c == NULL ? 0 : load[candidate_index(plan, c)];
}

static void
count_view(struct plan *plan, const struct bg_view *view, int delta)
{
	const struct bg_view_candidate *c;
	size_t i;

	if (view->epoch == 0)
		return;
	if ((c = find_candidate(plan, &view->holder)) != NULL)
		plan->held[candidate_index(plan, c)] += (uint32_t)delta;
	for (i = 0; i < view->member_count + view->joining_count; i++) {
		c = find_candidate(plan,
		    i < view->member_count
			? &view->members[i]
			: &view->joining[i - view->member_count]);
		if (c != NULL)
			plan->copies[candidate_index(plan, c)] +=
			    (uint32_t)delta;
	}
}

/* Finds the least loaded node that may be added to a view, or NULL. */
static const struct bg_view_candidate *
pick_node(const struct plan *plan, const struct bg_view *view, int home,
    const uint32_t *load)
{
	const struct bg_view_candidate *best = NULL;
	const struct bg_view_candidate *c;
	size_t i;
	size_t at;

	for (i = 0; i < plan->in->candidate_count; i++) {
		c = &plan->in->candidates[i];
		if (!c->is_alive || c->is_draining || c->is_suspect ||
		    c->is_home != home || bg_view_has_member(view, &c->node) ||
		    bg_view_has_joining(view, &c->node))
			continue;
		at = best == NULL ? 0 : candidate_index(plan, best);
		if (best == NULL || load[i] < load[at] ||
		    (load[i] == load[at] && plan->copies[i] < plan->copies[at]))
			best = c;
	}
	return best;
}

static void
add_member(struct bg_view *view, const struct bg_record_node *node)
{
	assert(view->member_count < BG_RECORD_MEMBERS);
	view->members[view->member_count++] = *node;
}

static void
remove_member(struct bg_view *view, size_t at)
{
	view->member_count--;
	memmove(&view->members[at], &view->members[at + 1],
	    (view->member_count - at) * sizeof(view->members[0]));
}

/* Members of a group without records need not be filled. */
static int
start_group(struct plan *plan, struct bg_view *view, uint64_t lost_ms)
{
	const struct bg_view_candidate *c;

	view->member_count = 0;
	view->joining_count = 0;
	if ((c = pick_node(plan, view, 1, plan->held)) == NULL)
		return 0;
	view->lost_ms = lost_ms;
	view->holder = c->node;
	add_member(view, &c->node);
	if ((c = pick_node(plan, view, 1, plan->copies)) != NULL)
		add_member(view, &c->node);
	if ((c = pick_node(plan, view, 0, plan->copies)) != NULL)
		add_member(view, &c->node);
	return 1;
}

static int
is_lost(const struct plan *plan, const struct bg_view *view)
{
	const struct bg_view_candidate *c;
	size_t i;

	for (i = 0; i < view->member_count; i++) {
		c = find_candidate(plan, &view->members[i]);
		if (c == NULL || !c->is_gone)
			return 0;
	}
	return 1;
}

static void
keep_members(const struct plan *plan, struct bg_view *next,
    const struct bg_view *cur, const struct bg_view_report *rep)
{
	int heed = rep != NULL && is_alive(plan, &cur->holder);
	size_t i;

	next->member_count = 0;
	for (i = 0; i < cur->member_count; i++) {
		if (!is_alive(plan, &cur->members[i]))
			continue;
		/* The holder cannot report itself. */
		if (heed &&
		    !bg_record_node_equal(&cur->members[i], &cur->holder) &&
		    lists_node(
			rep->silent, rep->silent_count, &cur->members[i]))
			continue;
		add_member(next, &cur->members[i]);
	}
}

/* Makes room for a new member of the same kind: draining members go first,
 * then the one with most groups. The holder stays. */
static int
replace_member(const struct plan *plan, struct bg_view *next,
    const struct bg_view *cur, const struct bg_record_node *node)
{
	size_t best = BG_RECORD_MEMBERS;
	size_t i;
	uint64_t rank;
	uint64_t best_rank = 0;

	for (i = 0; i < next->member_count; i++) {
		if (bg_record_node_equal(&next->members[i], &cur->holder))
			continue;
		rank = 1 + load_of(plan, plan->copies, &next->members[i]);
		if (is_home(plan, &next->members[i]) == is_home(plan, node))
			rank += 1ull << 32;
		if (!is_lasting(plan, &next->members[i]))
			rank += 1ull << 33;
		if (rank > best_rank) {
			best_rank = rank;
			best = i;
		}
	}
	if (best == BG_RECORD_MEMBERS)
		return 0;
	remove_member(next, best);
	return 1;
}

static void
promote_joining(const struct plan *plan, struct bg_view *next,
    const struct bg_view *cur, const struct bg_view_report *rep)
{
	const struct bg_record_node *node;
	size_t i;

	next->joining_count = 0;
	for (i = 0; i < cur->joining_count; i++) {
		node = &cur->joining[i];
		/* Only the present holder can fill a joining node. */
		if (!is_lasting(plan, node) || !is_alive(plan, &cur->holder) ||
		    (rep != NULL &&
			lists_node(rep->silent, rep->silent_count, node)))
			continue;
		if (rep == NULL ||
		    !lists_node(rep->complete, rep->complete_count, node))
			next->joining[next->joining_count++] = *node;
		else if (next->member_count < BG_RECORD_MEMBERS ||
		    replace_member(plan, next, cur, node))
			add_member(next, node);
	}
}

/* Chooses a holder among the members of the previous view: only they have all
 * records for certain. */
static void
choose_holder(
    struct plan *plan, struct bg_view *next, const struct bg_view *cur)
{
	size_t best = BG_RECORD_MEMBERS;
	uint64_t best_rank = UINT64_MAX;
	uint64_t rank;
	size_t i;

	for (i = 0; i < next->member_count; i++) {
		if (!bg_view_has_member(cur, &next->members[i]))
			continue;
		rank = 2ull * load_of(plan, plan->held, &next->members[i]) + 1;
		if (bg_record_node_equal(&next->members[i], &cur->holder))
			rank--;
		if (!is_home(plan, &next->members[i]))
			rank += 1ull << 40;
		if (!is_lasting(plan, &next->members[i]))
			rank += 1ull << 41;
		if (rank < best_rank) {
			best_rank = rank;
			best = i;
		}
	}
	assert(best < BG_RECORD_MEMBERS);
	next->holder = next->members[best];
}

/* The holder stays unless it leaves, or the load is uneven. */
static int
must_move_holder(
    struct plan *plan, const struct bg_view *next, const struct bg_view *cur)
{
	uint32_t own = load_of(plan, plan->held, &cur->holder);
	size_t i;

	if (!bg_view_has_member(next, &cur->holder))
		return 1;
	for (i = 0; i < next->member_count; i++) {
		if (!bg_view_has_member(cur, &next->members[i]) ||
		    !is_lasting(plan, &next->members[i]))
			continue;
		if (!is_lasting(plan, &cur->holder))
			return 1;
		if (!is_home(plan, &next->members[i]))
			continue;
		if (!is_home(plan, &cur->holder))
			return 1;
		if (plan->moves_left > 0 &&
		    load_of(plan, plan->held, &next->members[i]) +
			    REBALANCE_GAP <=
			own) {
			plan->moves_left--;
			return 1;
		}
	}
	return 0;
}

static size_t
count_kind(const struct plan *plan, const struct bg_view *view, int home)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < view->member_count; i++)
		count += is_lasting(plan, &view->members[i]) &&
		    is_home(plan, &view->members[i]) == home;
	for (i = 0; i < view->joining_count; i++)
		count += is_home(plan, &view->joining[i]) == home;
	return count;
}

static void
add_joining(struct plan *plan, struct bg_view *next)
{
	const struct bg_view_candidate *c;
	size_t missing;
	int home;

	for (home = 1; home >= 0; home--) {
		missing = home ? HOME_MEMBERS : REMOTE_MEMBERS;
		while (next->joining_count < BG_RECORD_JOINING &&
		    count_kind(plan, next, home) < missing) {
			c = pick_node(plan, next, home, plan->copies);
			if (c == NULL)
				break;
			next->joining[next->joining_count++] = c->node;
		}
	}
}

/* Lets a node with few groups join in place of one with many. */
static void
rebalance_member(struct plan *plan, struct bg_view *next)
{
	const struct bg_view_candidate *c;
	size_t i;

	if (plan->moves_left == 0 || next->joining_count > 0)
		return;
	for (i = 0; i < next->member_count; i++) {
		if (bg_record_node_equal(&next->members[i], &next->holder))
			continue;
		c = pick_node(
		    plan, next, is_home(plan, &next->members[i]), plan->copies);
		if (c == NULL ||
		    plan->copies[candidate_index(plan, c)] + REBALANCE_GAP >
			load_of(plan, plan->copies, &next->members[i]))
			continue;
		next->joining[next->joining_count++] = c->node;
		plan->moves_left--;
		return;
	}
}

/* Lets draining members go once two others have all records, or one if no
 * other node can join. */
static void
release_draining(
    const struct plan *plan, struct bg_view *next, const struct bg_view *cur)
{
	size_t lasting = 0;
	size_t previous = 0;
	size_t i;

	for (i = 0; i < next->member_count; i++) {
		if (!is_lasting(plan, &next->members[i]))
			continue;
		lasting++;
		previous += (size_t)bg_view_has_member(cur, &next->members[i]);
	}
	if (previous == 0 || lasting == next->member_count ||
	    (lasting < HOME_MEMBERS &&
		(next->joining_count > 0 ||
		    pick_node(plan, next, 1, plan->copies) != NULL ||
		    pick_node(plan, next, 0, plan->copies) != NULL)))
		return;
	for (i = next->member_count; i > 0; i--) {
		if (!is_lasting(plan, &next->members[i - 1]))
			remove_member(next, i - 1);
	}
}

static int
is_same(const struct bg_view *a, const struct bg_view *b)
{
	size_t i;

	if (a->member_count != b->member_count ||
	    a->joining_count != b->joining_count ||
	    !bg_record_node_equal(&a->holder, &b->holder))
		return 0;
	for (i = 0; i < a->member_count; i++) {
		if (!bg_view_has_member(b, &a->members[i]))
			return 0;
	}
	for (i = 0; i < a->joining_count; i++) {
		if (!bg_view_has_joining(b, &a->joining[i]))
			return 0;
	}
	return 1;
}

static int
decide_group(struct plan *plan, struct bg_view *next, const struct bg_view *cur,
    const struct bg_view_report *rep)
{
	*next = *cur;
	if (cur->epoch == 0)
		return start_group(plan, next, 0);
	if (rep->epoch != cur->epoch)
		rep = NULL;
	keep_members(plan, next, cur, rep);
	if (next->member_count == 0) {
		*next = *cur;
		return is_lost(plan, cur) &&
		    start_group(plan, next, plan->in->now_wall_ms);
	}
	promote_joining(plan, next, cur, rep);
	release_draining(plan, next, cur);
	if (must_move_holder(plan, next, cur))
		choose_holder(plan, next, cur);
	/* A new holder starts to fill the joining nodes from the beginning. */
	add_joining(plan, next);
	if (is_same(next, cur))
		rebalance_member(plan, next);
	return !is_same(next, cur);
}

int
bg_view_decide(struct bg_views *next, size_t *out_changed,
    const struct bg_views *current, const struct bg_view_input *in)
{
	struct plan plan = {in, NULL, NULL, REBALANCE_MAX};
	struct bg_view *view;
	size_t g;
	int error = BG_ENOMEM;

	*out_changed = 0;
	*next = *current;
	plan.held = calloc(in->candidate_count + 1, sizeof(*plan.held));
	plan.copies = calloc(in->candidate_count + 1, sizeof(*plan.copies));
	if (plan.held == NULL || plan.copies == NULL)
		goto done;
	for (g = 0; g < BG_RECORD_GROUPS; g++)
		count_view(&plan, &current->groups[g], 1);
	for (g = 0; g < BG_RECORD_GROUPS; g++) {
		view = &next->groups[g];
		if (!decide_group(
			&plan, view, &current->groups[g], &in->reports[g])) {
			*view = current->groups[g];
			continue;
		}
		view->epoch = current->groups[g].epoch + 1;
		count_view(&plan, &current->groups[g], -1);
		count_view(&plan, view, 1);
		(*out_changed)++;
	}
	error = 0;
done:
	free(plan.held);
	free(plan.copies);
	return error;
}
