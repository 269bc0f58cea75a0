#include <rapidcheck.h>

#include "world.h"

static const uint64_t RUN_MS = 70000;

/* One disturbance at random. */
static void
disturb(World &w)
{
	int i = (int)w.below(w.opts.nodes);
	int j = (int)w.below(w.opts.nodes);
	uint64_t until = w.now + w.below(8000);

	switch (w.below(6)) {
	case 0:
		w.nodes[i].paused_until = until;
		break;
	case 1:
		/* Killed; a new process starts at the same address. */
		w.nodes[i].is_alive = false;
		w.events.emplace(
		    w.now + w.below(3000), [&w, i] { w.start(i); });
		break;
	case 2:
		w.cut_until[i][j] = until;
		break;
	case 3:
		for (int n = 0; n < w.opts.nodes; n++)
			w.cut_until[i][n] = w.cut_until[n][i] = until;
		break;
	case 4:
		w.store_down_until = until;
		break;
	default:
		/* The fleet restarts at once. */
		if (w.chance() < 0.2)
			for (int n = 0; n < w.opts.nodes; n++)
				w.start(n);
		break;
	}
}

/* For any order of loss, delay, doubling, pause, restart, cut and outage of the
 * store, with more demand than the cap, no window has more calls than the rule
 * allows. */
static void
sum_stays_under_the_bound(uint64_t seed)
{
	World::Options o;

	o.seed = seed;
	World w(o);
	w.set_cap(10000 + (uint32_t)w.below(40000), (uint32_t)w.below(400));
	double troubled = w.chance() < 0.3 ? 0 : 0.4 * w.chance();

	if (w.chance() < 0.6) {
		w.opts.loss = 0.2 * w.chance();
		w.opts.doubled = 0.3 * w.chance();
		w.opts.late = 0.1 * w.chance();
	}
	while (w.now < RUN_MS) {
		/* Without demand, buckets fill up. Moderate demand leaves
		 * tokens with the nodes. */
		double kind = w.chance();

		w.opts.load = kind < 0.4 ? 0 : kind < 0.7 ? 0.6 : 12;
		if (w.chance() < troubled)
			disturb(w);
		w.run(200 + w.below(5000));
	}
	RC_LOG() << "worst " << w.worst_window() << " of " << w.bound()
		 << " admitted " << w.admitted.size();
	RC_ASSERT(w.worst_window() <= w.bound());
}

/* All processes are started again while full buckets are being emptied: the
 * new owners must not grant the same capacity a second time. */
static void
restart_grants_no_second_capacity(uint64_t seed)
{
	World::Options o;

	o.seed = seed;
	World w(o);
	w.set_cap(10000 + (uint32_t)w.below(40000), (uint32_t)w.below(400));
	w.opts.load = 0;
	w.run(30000);
	w.opts.load = 12;
	w.run(300 + w.below(2000));
	for (int n = 0; n < w.opts.nodes; n++)
		w.start(n);
	w.run(10000);
	RC_LOG() << "worst " << w.worst_window() << " of " << w.bound();
	RC_ASSERT(w.worst_window() <= w.bound());
}

/* Without disturbance, an organisation that stays below its cap loses nearly
 * nothing. */
static void
little_is_refused_below_the_cap(uint64_t seed)
{
	World::Options o;

	o.seed = seed;
	o.load = 0.625;
	o.nodes = 12;
	o.shares = 3;
	World w(o);
	w.run(8000);
	w.refused = 0;
	w.admitted.clear();
	w.run(30000);
	RC_LOG() << "refused " << w.refused << " of " << w.admitted.size();
	RC_ASSERT(w.refused * 200 <= w.admitted.size());
	RC_ASSERT(w.worst_window() <= w.bound());
}

/* The owner of a share stops as planned while calls of an organisation wait for
 * tokens: another node owns it after asks, of which a candidate heeds one a
 * second, and two calls to the store; long before candidates poll. */
static void
planned_stop_leaves_no_long_gap(uint64_t seed)
{
	static const uint64_t TAKEOVER_MS = 1500;
	World::Options o;

	o.seed = seed;
	o.load = 0.8;
	o.nodes = 12;
	o.shares = 3;
	World w(o);
	w.run(10000);

	int stopped = (int)w.below(o.shares);

	w.leave(stopped);
	w.run(TAKEOVER_MS);
	RC_ASSERT(w.owner_of((uint32_t)stopped) >= 0);
	RC_ASSERT(w.owner_of((uint32_t)stopped) != stopped);
	w.run(10000);
	RC_ASSERT(w.worst_window() <= w.bound());
}

int
main()
{
	bool ok = true;

	ok &= rc::check("sum stays under the bound", sum_stays_under_the_bound);
	ok &= rc::check("restart grants no second capacity",
	    restart_grants_no_second_capacity);
	ok &= rc::check(
	    "little is refused below the cap", little_is_refused_below_the_cap);
	ok &= rc::check(
	    "planned stop leaves no long gap", planned_stop_leaves_no_long_gap);
	return ok ? 0 : 1;
}
