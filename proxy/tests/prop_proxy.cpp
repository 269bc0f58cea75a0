#include <rapidcheck.h>

#include <cstdio>
#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "breaker/breaker.h"
#include "drain/drain.h"
#include "limiter/limiter.h"
#include "retry/retry.h"
#include "share/share.h"
}

/* For any interleaving of routes, steps that rise and generations that change,
 * calls to the new version stay within the highest share so far, per route and
 * generation. */
static void
share_cap_holds(const std::vector<std::pair<uint8_t, uint8_t>> &events)
{
	static const uint32_t steps[] = {50, 100, 250, 500, 1000};
	std::map<std::string, std::pair<uint64_t, uint64_t>> counts;
	struct bg_share shr;
	struct bg_move move;
	struct bg_route routes[3];
	size_t step = 0;

	bg_share_init(&shr);
	memset(&move, 0, sizeof(move));
	memset(routes, 0, sizeof(routes));
	move.state = BG_MOVE_IN_PROGRESS;
	move.generation = 1;
	move.share_permille = steps[0];
	for (int i = 0; i < 3; i++) {
		snprintf(routes[i].name, sizeof(routes[i].name), "r%d", i);
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
		const struct bg_route *route = &routes[ev.second % 3];
		int is_new = bg_share_allows(&shr, "s", route, &move);
		/* A route may lack a new server although the cap allows it. */
		if (ev.second > 250)
			is_new = 0;
		bg_share_count(&shr, "s", route, &move, is_new);
		auto &c = counts[route->name];
		c.first++;
		c.second += is_new;
		RC_ASSERT(c.second * 1000 <= c.first * move.share_permille);
		if (!route->is_idempotent && is_new)
			RC_ASSERT(move.share_permille >=
			    (uint32_t)BG_SHARE_UNSAFE_PERMILLE);
	}
	bg_share_free(&shr);
}

/* For any order of arrivals, ends, cancels and changes of the slots: never
 * more running than slots, never more queued than twice the slots, and the
 * queue is in order of criticality. */
static void
limiter_bounds_hold(
    const std::vector<std::pair<uint8_t, uint8_t>> &events, uint8_t raw_slots)
{
	uint32_t slots = 1 + raw_slots % 18;
	std::vector<struct bg_limiter_entry> entries(events.size() + 1);
	std::vector<struct bg_limiter_entry *> live;
	struct bg_limiter lim;
	uint64_t now_us = 1000;
	size_t used = 0;

	bg_limiter_init(&lim, slots);
	for (const auto &ev : events) {
		now_us += ev.second * 50;
		if (ev.first % 2 == 0 || live.empty()) {
			struct bg_limiter_entry *e = &entries[used++];
			struct bg_limiter_entry *refused;

			memset(e, 0, sizeof(*e));
			e->criticality = (enum bg_criticality)(ev.second % 3);
			e->route = "r";
			e->deadline_us = now_us + 100000;
			auto v = bg_limiter_enter(&lim, e, now_us, &refused);
			if (v == BG_LIMITER_RUN || v == BG_LIMITER_QUEUED)
				live.push_back(e);
			if (refused != NULL) {
				RC_ASSERT(
				    refused->criticality < e->criticality);
				for (auto &l : live) {
					if (l == refused) {
						l = live.back();
						live.pop_back();
						break;
					}
				}
			}
		} else {
			size_t i = ev.second % live.size();

			bg_limiter_leave(&lim, live[i], now_us, 500,
			    (enum bg_limiter_sample)(ev.first % 4));
			live[i] = live.back();
			live.pop_back();
		}
		while (bg_limiter_next(&lim, now_us) != NULL)
			;
		RC_ASSERT(lim.running <= slots);
		RC_ASSERT(lim.queued <= 2 * slots);
		RC_ASSERT(lim.running + lim.queued == live.size());
		RC_ASSERT(lim.queued == 0 || lim.running > 0);
		for (auto *e = lim.head; e != NULL && e->next != NULL;
		     e = e->next)
			RC_ASSERT(e->criticality >= e->next->criticality);
	}
}

/* A chain of 8 services of which the last one always fails: the calls that
 * reach it are at most those of the entry node's retries, not a power of the
 * number of attempts. */
static uint64_t
call_chain(
    std::vector<struct bg_retry_budget> &nodes, uint32_t depth, uint64_t now_ms)
{
	struct bg_retry_case rc;
	uint64_t reached = 0;

	bg_retry_call(&nodes[depth], now_ms);
	memset(&rc, 0, sizeof(rc));
	rc.outcome = BG_XOUTCOME_UNKNOWN;
	rc.http_status = 502;
	rc.depth = depth;
	rc.is_idempotent = 1;
	do {
		rc.attempt++;
		reached += depth + 1 == nodes.size()
		    ? 1
		    : call_chain(nodes, depth + 1, now_ms);
	} while (
	    bg_retry_is_permitted(&rc) && bg_retry_take(&nodes[depth], now_ms));
	return reached;
}

static void
retries_do_not_multiply(uint16_t raw_calls)
{
	std::vector<struct bg_retry_budget> nodes(8);
	uint64_t calls = 1 + raw_calls % 2000;
	uint64_t reached = 0;

	for (auto &n : nodes)
		bg_retry_init(&n);
	for (uint64_t i = 0; i < calls; i++)
		reached += call_chain(nodes, 0, 50000);
	RC_ASSERT(reached <= calls + calls / 10 + BG_RETRY_FLOOR);
}

/* Within any 10 s the retries stay within a tenth of the calls of the window
 * before and the floor. */
static void
retry_window_holds(const std::vector<std::pair<uint8_t, bool>> &events)
{
	std::vector<uint64_t> calls;
	std::vector<uint64_t> retries;
	struct bg_retry_budget bud;
	uint64_t now_ms = 20000;

	bg_retry_init(&bud);
	for (const auto &ev : events) {
		now_ms += ev.first * 4;
		if (ev.second) {
			bg_retry_call(&bud, now_ms);
			calls.push_back(now_ms);
		} else if (bg_retry_take(&bud, now_ms))
			retries.push_back(now_ms);
		uint64_t c = 0;
		uint64_t r = 0;
		for (uint64_t t : calls)
			c += now_ms - t < 10000;
		for (uint64_t t : retries)
			r += now_ms - t < 9000;
		RC_ASSERT(r <= BG_RETRY_FLOOR + calls.size() / 10);
		if (retries.empty() || retries.back() != now_ms)
			continue;
		RC_ASSERT(r <= BG_RETRY_FLOOR + c / 10);
	}
}

/* Whatever happens, a drain goes through its states in order, does not leave
 * before its news could spread, and ends at the bound. */
static void
drain_order_holds(const std::vector<std::pair<uint8_t, uint8_t>> &events)
{
	struct bg_drain drn;
	uint64_t now_ms = 1000;
	uint64_t announced_ms = 0;
	enum bg_drain_state last = BG_DRAIN_ANNOUNCING;

	memset(&drn, 0, sizeof(drn));
	bg_drain_begin(&drn, 2000, 30000, now_ms);
	for (const auto &ev : events) {
		int is_announced = ev.second % 4 == 0;

		now_ms += ev.first * 8;
		if (is_announced && announced_ms == 0)
			announced_ms = now_ms;
		bg_drain_step(&drn, is_announced, ev.second % 3, now_ms);
		RC_ASSERT(drn.state == last || (int)drn.state == (int)last + 1);
		if (drn.state == BG_DRAIN_LEAVING &&
		    last == BG_DRAIN_ANNOUNCING)
			RC_ASSERT(now_ms >= 1000 + 15000 ||
			    (announced_ms != 0 &&
				now_ms >= announced_ms + 2000));
		if (drn.state == BG_DRAIN_DONE && last == BG_DRAIN_LEAVING)
			RC_ASSERT(ev.second % 3 == 0 || now_ms >= 31000);
		last = drn.state;
	}
}

int
main()
{
	bool ok = true;

	ok &= rc::check("share cap holds", share_cap_holds);
	ok &= rc::check("limiter bounds hold", limiter_bounds_hold);
	ok &= rc::check("retries do not multiply", retries_do_not_multiply);
	ok &= rc::check("retry window holds", retry_window_holds);
	ok &= rc::check("drain order holds", drain_order_holds);
	return ok ? 0 : 1;
}
