#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "drain/drain.h"
#include "gatekeeper/server.h"
#include "limiter/limiter.h"
#include "retry/retry.h"
#include "share/share.h"
#include "split/split.h"
}

/* For any sequence of calls, increases of the share and new move generations,
 * calls to the new version never exceed the current share of the calls of their
 * route and generation. Non-idempotent calls go to the new version only from
 * BG_SHARE_NON_IDEMPOTENT_PERMILLE on. */
static void
share_cap_holds(const std::vector<std::pair<uint8_t, uint8_t>> &events)
{
	static const uint32_t steps[] = {50, 100, 250, 500, 1000};
	static const char *const names[] = {"r0", "r1", "r2"};
	std::map<std::string, std::pair<uint64_t, uint64_t>> counts;
	struct bg_share shr;
	struct bg_move move;
	struct bg_rule routes[3];
	size_t step = 0;

	bg_share_init(&shr);
	memset(&move, 0, sizeof(move));
	memset(routes, 0, sizeof(routes));
	move.state = BG_MOVE_IN_PROGRESS;
	move.generation = 1;
	move.share_permille = steps[0];
	for (int i = 0; i < 3; i++) {
		routes[i].name = names[i];
		routes[i].is_idempotent = i != 2;
	}
	for (const auto &ev : events) {
		if (ev.first == 0 && step < 4)
			move.share_permille = steps[++step];
		else if (ev.first == 1) {
			step = 0;
			move.generation++;
			move.share_permille = steps[0];
			counts.clear();
		}
		const struct bg_rule *route = &routes[ev.second % 3];
		int is_new = bg_share_allows(&shr, "s", route, &move);
		/* The share cap may allow the new version although none of its
		 * servers can take the call. */
		if (ev.second > 250)
			is_new = 0;
		bg_share_count(&shr, "s", route, &move, is_new);
		auto &c = counts[route->name];
		c.first++;
		c.second += is_new;
		RC_ASSERT(c.second * 1000 <= c.first * move.share_permille);
		if (!route->is_idempotent && is_new)
			RC_ASSERT(move.share_permille >=
			    (uint32_t)BG_SHARE_NON_IDEMPOTENT_PERMILLE);
	}
	bg_share_free(&shr);
}

/* For any sequence of arrivals, completions and cancellations, at most as many
 * calls run as there are slots, none is queued while nothing runs, and no call
 * starts while a more urgent one is queued. */
static void
limiter_bounds_hold(
    const std::vector<std::pair<uint8_t, uint8_t>> &events, uint8_t raw_slots)
{
	uint32_t slots = 1 + raw_slots % 18;
	std::vector<struct bg_limiter_entry> entries(events.size() + 1);
	std::vector<struct bg_limiter_entry *> live;
	struct bg_limiter_entry *started;
	struct bg_limiter lim;
	uint64_t now_us = 1000;
	size_t used = 0;

	bg_limiter_init(&lim, slots);
	for (const auto &ev : events) {
		now_us += ev.second * 50;
		if (ev.first % 2 == 0 || live.empty()) {
			struct bg_limiter_entry *entry = &entries[used++];

			memset(entry, 0, sizeof(*entry));
			entry->priority = ev.second % 3;
			entry->is_dependency = ev.second % 5 == 0;
			entry->route = "r";
			entry->latest_start_us = now_us + 100000;
			if (bg_limiter_acquire(&lim, entry, now_us) !=
			    BG_LIMITER_REJECTED)
				live.push_back(entry);
		} else {
			size_t i = ev.second % live.size();

			bg_limiter_release(&lim, live[i], now_us,
			    (enum bg_limiter_sample)(ev.first % 4));
			live[i] = live.back();
			live.pop_back();
		}
		while (
		    (started = bg_limiter_start_next(&lim, now_us)) != nullptr)
			for (auto *e = lim.queue.head; e != nullptr;
			     e = e->next)
				RC_ASSERT(started->is_dependency ||
				    (!e->is_dependency &&
					e->priority >= started->priority));
		RC_ASSERT(lim.running <= slots);
		RC_ASSERT(lim.running + lim.queue.length == live.size());
		RC_ASSERT(lim.queue.length == 0 || lim.running > 0);
	}
}

/* Retries of the last 9 s stay within 10% of the calls of the last 10 s plus
 * the node's part of the slack. The window of 10 s advances in buckets of 1 s,
 * so it covers at least the last 9 s and at most the last 10 s. */
static void
retry_window_holds(const std::vector<std::pair<uint8_t, bool>> &events)
{
	static const struct bg_retry_settings settings = {100, 30, 10000};
	std::vector<uint64_t> calls;
	std::vector<uint64_t> retries;
	struct bg_retry_budget bud;
	uint64_t now_ms = 20000;

	bg_retry_init(&bud, &settings);
	bg_retry_set_nodes(&bud, 3);
	for (const auto &ev : events) {
		now_ms += ev.first * 4;
		if (ev.second) {
			bg_retry_count_call(&bud, "s", now_ms);
			calls.push_back(now_ms);
		} else if (bg_retry_take(&bud, "s", now_ms))
			retries.push_back(now_ms);
		uint64_t c = 0;
		uint64_t r = 0;
		for (uint64_t t : calls)
			c += now_ms - t < 10000;
		for (uint64_t t : retries)
			r += now_ms - t < 9000;
		RC_ASSERT(r <= 10 + calls.size() / 10);
		if (retries.empty() || retries.back() != now_ms)
			continue;
		RC_ASSERT(r <= 10 + c / 10);
	}
	bg_retry_free(&bud);
}

/* After any number of calls, each service has received its share of them by
 * weight, with a tolerance of one call for each service. */
static void
split_follows_weights(std::vector<uint8_t> weights, uint16_t calls)
{
	std::vector<struct bg_target> targets;
	std::map<std::string, uint64_t> counts;
	std::vector<std::string> names;
	struct bg_rule rule;
	struct bg_split spl;
	uint64_t total = 0;

	RC_PRE(weights.size() >= 2);
	if (weights.size() > 8)
		weights.resize(8);
	for (size_t i = 0; i < weights.size(); i++) {
		names.push_back("s" + std::to_string(i));
		total += weights[i];
	}
	RC_PRE(total > 0);
	for (size_t i = 0; i < weights.size(); i++)
		targets.push_back({names[i].c_str(), weights[i]});
	memset(&rule, 0, sizeof(rule));
	rule.name = "r";
	rule.targets = targets.data();
	rule.target_count = targets.size();
	bg_split_init(&spl, 5);
	for (uint16_t i = 0; i < calls; i++)
		counts[bg_split_next(&spl, &rule)]++;
	for (size_t i = 0; i < weights.size(); i++) {
		double share = static_cast<double>(calls) * weights[i] /
		    static_cast<double>(total);

		RC_ASSERT(std::abs(static_cast<double>(counts[names[i]]) -
			      share) <= static_cast<double>(weights.size()));
	}
	bg_split_free(&spl);
}

/* For any numbers of calls in flight, a drain passes through its states in
 * order, serves for the announce time, and then waits for the calls in flight
 * until its timeout. */
static void
drain_order_holds(const std::vector<std::pair<uint8_t, uint8_t>> &events)
{
	struct bg_drain drn;
	uint64_t now_ms = 1000;
	enum bg_drain_state previous = BG_DRAIN_SERVING;

	memset(&drn, 0, sizeof(drn));
	bg_drain_begin(&drn, 2000, 30000, now_ms);
	for (const auto &ev : events) {
		now_ms += ev.first * 8;
		bg_drain_step(&drn, ev.second % 3, now_ms);
		RC_ASSERT(drn.state == previous ||
		    (int)drn.state == (int)previous + 1);
		if (drn.state == BG_DRAIN_LEAVING &&
		    previous == BG_DRAIN_SERVING)
			RC_ASSERT(now_ms >= 3000);
		if (drn.state == BG_DRAIN_DONE && previous == BG_DRAIN_LEAVING)
			RC_ASSERT(ev.second % 3 == 0 || now_ms >= 31000);
		previous = drn.state;
	}
}

struct lifetime {
	const char *id;
	uint64_t started_ms;
	uint64_t sequence;
	bool has_left; /* reported and acknowledged */
};

static struct bg_announcement
make_announcement(
    struct lifetime &life, enum bg_announced_state state, bool is_late)
{
	struct bg_announcement ann;

	memset(&ann, 0, sizeof(ann));
	snprintf(ann.server_id, sizeof(ann.server_id), "%s", life.id);
	ann.started_ms = life.started_ms;
	ann.has_started_ms = 1;
	ann.sequence = is_late ? 1 : ++life.sequence;
	ann.slots = 6;
	ann.state = state;
	return ann;
}

/* For any order of heartbeats and deregistrations of three lifetimes of a
 * server, some of them late, and of restarts of the node, which keep what was
 * announced: a lifetime that has left is not used, and the newest one that has
 * not left is used once it reports to be ready. */
static void
lifetime_that_left_is_not_used(
    const std::vector<std::pair<uint8_t, uint8_t>> &events)
{
	struct lifetime lives[] = {
	    {"a", 50, 0, false}, {"a", 60, 0, false}, {"b", 70, 0, false}};
	uint64_t newest_ms = 0;
	struct bg_server srv;

	memset(&srv, 0, sizeof(srv));
	for (const auto &ev : events) {
		struct lifetime &life = lives[ev.second % 3];
		bool is_late = ev.second >= 128 && life.sequence > 0;
		int kind = ev.first % 5;

		if (kind == 4) {
			struct bg_server before = srv;
			struct bg_server_record record = {before.id,
			    before.version, before.started_ms,
			    before.leaving_since_ms != 0};

			memset(&srv, 0, sizeof(srv));
			bg_server_restore(&srv, &record, 1000);
			RC_ASSERT(srv.state != BG_SERVER_READY);
			continue;
		}
		enum bg_announced_state state = kind == 3 ? BG_ANNOUNCED_GONE
		    : kind == 2 ? BG_ANNOUNCED_DRAINING
				: BG_ANNOUNCED_READY;
		struct bg_announcement ann =
		    make_announcement(life, state, is_late);

		bg_server_update(&srv, &ann, 1000);
		if (state != BG_ANNOUNCED_READY && !is_late)
			life.has_left = true;
		if (life.started_ms > newest_ms)
			newest_ms = life.started_ms;
		for (const auto &l : lives) {
			if (l.has_left && l.started_ms == srv.started_ms)
				RC_ASSERT(srv.state != BG_SERVER_READY);
		}
		if (state == BG_ANNOUNCED_READY && !is_late && !life.has_left &&
		    life.started_ms == newest_ms)
			RC_ASSERT(srv.state == BG_SERVER_READY);
	}
}

int
main()
{
	bool ok = true;

	ok &= rc::check("share cap holds", share_cap_holds);
	ok &= rc::check("limiter bounds hold", limiter_bounds_hold);
	ok &= rc::check("split follows weights", split_follows_weights);
	ok &= rc::check("retry window holds", retry_window_holds);
	ok &= rc::check("drain order holds", drain_order_holds);
	ok &= rc::check(
	    "lifetime that left is not used", lifetime_that_left_is_not_used);
	return ok ? 0 : 1;
}
