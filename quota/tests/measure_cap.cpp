/* Compares designs of the cap on the same traces; run by hand:
 *   measure_cap NODES ORGANISATIONS CALLS_PER_S ZONES
 * Replies take no time here, so that the figures show the designs and not the
 * network. The trace: skewed organisations at 0.625 of their caps; the second
 * one at 7.5 times its usual from 10 s to 16 s; the first zone cut off from 20
 * s to 25 s; 60% of the processes killed at 30 s and back at 31 s. */

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <vector>

// In C++, a function with the name of a struct counts as shadowing.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C" {
#include "bucket/bucket.h"
#include "wallet/wallet.h"
}
#pragma GCC diagnostic pop

static const uint32_t WINDOW_MS = 5000;
static const uint64_t STEP_MS = 10;
static const uint64_t END_MS = 40000;
static const uint64_t RESTART_MS = 1000;
static const double CAP_X = 1.6, HOT_X = 7.5, SKEW = 1.2, KILLED = 0.6;

struct Trace {
	int nodes, orgs, zones;
	double calls_per_s;
	std::vector<double> usual; /* calls a second of each organisation */
	std::vector<uint32_t> cap; /* thousandths a second */
	std::vector<char> killed;
	uint64_t now = 0;

	Trace(int n, int o, double c, int z)
	    : nodes(n), orgs(o), zones(z), calls_per_s(c)
	{
		std::mt19937 rng(7);
		double sum = 0;

		for (int i = 0; i < o; i++)
			sum += pow(i + 1, -SKEW);
		for (int i = 0; i < o; i++) {
			usual.push_back(c * pow(i + 1, -SKEW) / sum);
			cap.push_back((uint32_t)(CAP_X * 1000 * usual[i]));
		}
		for (int i = 0; i < n; i++)
			killed.push_back(rng() % 1000 < KILLED * 1000);
	}
	int
	zone(int node) const
	{
		return node % zones;
	}
	bool
	is_cut(int a, int b) const
	{
		return now >= 20000 && now < 25000 &&
		    (zone(a) == 0) != (zone(b) == 0);
	}
	bool
	is_down(int node) const
	{
		return killed[node] && now >= 30000 && now < 30000 + RESTART_MS;
	}
	bool
	restarts(int node) const
	{
		return killed[node] && now == 30000 + RESTART_MS;
	}
	double
	rate(int org) const
	{
		return usual[org] *
		    (org == 1 && now >= 10000 && now < 16000 ? HOT_X : 1);
	}
};

static struct bg_bucket_limits
part_of(const Trace &t, int org, uint32_t parts)
{
	struct bg_quota_rule rule = {WINDOW_MS, 100, 20, parts};
	struct bg_bucket_limits out;

	bg_bucket_limits_init(&out, &rule, t.cap[org], t.cap[org] / 1000);
	return out;
}

/* Token bucket without leases. */
struct Plain {
	double tokens = 0, rate = 0, capacity = 0;
	uint64_t at = 0;

	void
	set(const struct bg_bucket_limits &l, uint64_t now, bool is_full)
	{
		rate = (double)l.rate_milli_per_s / 1e6;
		capacity = (double)l.capacity_micro / 1e6;
		tokens = is_full ? capacity : 0;
		at = now;
	}
	bool
	take(uint64_t now)
	{
		tokens = std::min(capacity, tokens + (double)(now - at) * rate);
		at = now;
		if (tokens < 1)
			return false;
		tokens--;
		return true;
	}
};

struct Design {
	const Trace &t;
	uint64_t asks = 0;

	explicit Design(const Trace &tr) : t(tr)
	{
	}
	virtual ~Design()
	{
	}
	virtual const char *name() const = 0;
	virtual bool admit(int node, int org) = 0;
	virtual void
	restart(int)
	{
	}
};

/* What one bucket that all nodes reach at once would admit. */
struct Ideal : Design {
	std::vector<Plain> all;

	explicit Ideal(const Trace &tr) : Design(tr), all(tr.orgs)
	{
		for (int o = 0; o < t.orgs; o++)
			all[o].set(part_of(t, o, 1), 0, true);
	}
	const char *
	name() const override
	{
		return "ideal";
	}
	bool
	admit(int, int org) override
	{
		return all[org].take(t.now);
	}
};

struct FixedShares : Design {
	std::vector<Plain> own;

	explicit FixedShares(const Trace &tr)
	    : Design(tr), own((size_t)tr.orgs * tr.nodes)
	{
		for (int n = 0; n < t.nodes; n++)
			fill(n, true);
	}
	const char *
	name() const override
	{
		return "fixed shares";
	}
	void
	fill(int node, bool is_full)
	{
		for (int o = 0; o < t.orgs; o++)
			own[(size_t)node * t.orgs + o].set(
			    part_of(t, o, (uint32_t)t.nodes), t.now, is_full);
	}
	void
	restart(int node) override
	{
		fill(node, false);
	}
	bool
	admit(int node, int org) override
	{
		return own[(size_t)node * t.orgs + org].take(t.now);
	}
};

/* Fixed shares; an empty node asks up to three peers for half of theirs. */
struct Peers : FixedShares {
	std::mt19937 rng{9};

	explicit Peers(const Trace &tr) : FixedShares(tr)
	{
	}
	const char *
	name() const override
	{
		return "asking peers";
	}
	bool
	admit(int node, int org) override
	{
		Plain &mine = own[(size_t)node * t.orgs + org];

		if (mine.take(t.now))
			return true;
		for (int i = 0; i < 3; i++) {
			int peer = (int)(rng() % (unsigned)t.nodes);
			Plain &other = own[(size_t)peer * t.orgs + org];

			asks++;
			if (t.is_cut(node, peer) || t.is_down(peer))
				continue;
			if (other.take(t.now))
				other.tokens++;
			mine.tokens += other.tokens / 2;
			other.tokens /= 2;
			if (mine.take(t.now))
				return true;
		}
		return false;
	}
};

/* The node that a hash chooses has the only bucket, and is asked each time. */
struct Home : Design {
	std::vector<Plain> all;

	explicit Home(const Trace &tr) : Design(tr), all(tr.orgs)
	{
		for (int o = 0; o < t.orgs; o++)
			all[o].set(part_of(t, o, 1), 0, true);
	}
	const char *
	name() const override
	{
		return "home node";
	}
	int
	home(int org) const
	{
		return (int)((org * 2654435761u) % t.nodes);
	}
	void
	restart(int node) override
	{
		for (int o = 0; o < t.orgs; o++)
			if (home(o) == node)
				all[o].set(part_of(t, o, 1), t.now, false);
	}
	bool
	admit(int node, int org) override
	{
		asks += home(org) != node;
		return !t.is_cut(node, home(org)) && !t.is_down(home(org)) &&
		    all[org].take(t.now);
	}
};

/* The design in use: a share for each zone, leases ahead of steady demand. */
struct Leased : Design {
	uint32_t groups;
	std::vector<struct bg_bucket> buckets; /* zone, organisation */
	std::vector<struct bg_wallet> wallets; /* node, zone, organisation */
	std::vector<uint64_t> asked;	       /* node, zone, group */
	std::vector<uint64_t> holder;
	uint64_t seq = 0, waits = 0;

	Leased(const Trace &tr, uint32_t g)
	    : Design(tr), groups(g), buckets((size_t)tr.zones * tr.orgs),
	      wallets((size_t)tr.nodes * tr.zones * tr.orgs),
	      asked((size_t)tr.nodes * tr.zones * g), holder(tr.nodes)
	{
		for (int n = 0; n < t.nodes; n++)
			holder[n] = (uint64_t)n + 1;
		for (int z = 0; z < t.zones; z++)
			for (int o = 0; o < t.orgs; o++)
				start(z, o, true);
	}
	~Leased()
	{
		for (struct bg_bucket &b : buckets)
			bg_bucket_free(&b);
	}
	const char *
	name() const override
	{
		return "leased shares";
	}
	uint32_t
	group(int org) const
	{
		return (uint32_t)org % groups;
	}
	int
	owner(int z, uint32_t g) const
	{
		return z + t.zones * (int)((g * 7 + 3) % (t.nodes / t.zones));
	}
	void
	start(int z, int o, bool is_full)
	{
		struct bg_bucket_limits l = part_of(t, o, (uint32_t)t.zones);
		struct bg_bucket &b = buckets[(size_t)z * t.orgs + o];

		bg_bucket_free(&b);
		if (is_full)
			bg_bucket_init(&b, &l, l.capacity_micro, t.now);
		else
			bg_bucket_start(&b, &l, WINDOW_MS, t.now, t.now);
	}
	void
	restart(int node) override
	{
		holder[node] += 1000000;
		for (int i = 0; i < t.zones * t.orgs; i++)
			wallets[(size_t)node * t.zones * t.orgs + i] = {};
		for (int z = 0; z < t.zones; z++)
			for (int o = 0; o < t.orgs; o++)
				if (owner(z, group(o)) == node)
					start(z, o, false);
	}
	struct bg_wallet &
	wallet(int node, int z, int o)
	{
		return wallets[((size_t)node * t.zones + z) * t.orgs + o];
	}
	/* One message for all organisations of the group. */
	bool
	ask(int node, int z, int org, uint32_t waiting)
	{
		uint32_t g = group(org);
		uint32_t tokens = 0;
		int to = owner(z, g);

		asks += to != node;
		asked[((size_t)node * t.zones + z) * groups + g] = t.now;
		if (t.is_cut(node, to) || t.is_down(to))
			return false;
		seq++;
		for (int o = (int)g; o < t.orgs; o += (int)groups) {
			struct bg_wallet &w = wallet(node, z, o);
			uint32_t n = o == org ? waiting : 0;

			if (n != 0 ||
			    (w.arrived_ms != 0 && bg_wallet_is_low(&w, t.now)))
				tokens += exchange(w, node, z, o, n);
		}
		return tokens != 0;
	}
	uint32_t
	exchange(struct bg_wallet &w, int node, int z, int o, uint32_t waiting)
	{
		struct bg_wallet_ask want;
		struct bg_bucket_grant grant;
		struct bg_wallet_grant reply;

		bg_wallet_fill_ask(&want, &w, waiting, t.now);
		struct bg_bucket_ask a = {
		    holder[node], seq, want.held, want.waiting, want.spare};
		bg_bucket_ask(
		    &grant, &buckets[(size_t)z * t.orgs + o], &a, t.now);
		reply = {1, grant.kept, grant.granted, grant.valid_ms,
		    grant.retry_after_ms};
		return bg_wallet_settle(&w, &reply, t.now, t.now);
	}
	bool
	admit(int node, int org) override
	{
		int home = t.zone(node);
		struct bg_wallet &own = wallet(node, home, org);
		uint64_t last = asked[((size_t)node * t.zones + home) * groups +
		    group(org)];

		bg_wallet_count(&own, t.now);
		for (int z = 0; z < t.zones; z++) {
			if (!bg_wallet_take(&wallet(node, z, org), t.now))
				continue;
			if (z == home && bg_wallet_is_low(&own, t.now) &&
			    t.now >= last + 100)
				ask(node, home, org, 0);
			return true;
		}
		for (int i = 0; i < t.zones; i++) {
			int z = (home + i) % t.zones;

			if (bg_wallet_is_dry(&wallet(node, z, org), t.now))
				continue;
			waits++;
			if (ask(node, z, org, 1))
				return true;
		}
		return false;
	}
};

/* Largest number of calls in a window beyond what the rule allows. */
static double
worst_excess(const Trace &t, const std::vector<std::vector<uint32_t>> &steps)
{
	const size_t width = WINDOW_MS / STEP_MS;
	double worst = 0;

	for (int o = 0; o < t.orgs; o++) {
		double cap = t.cap[o] / 1000.0;
		double allowed =
		    (cap * WINDOW_MS / 1000 + t.cap[o] / 1000) * 1.1 + 20;
		uint64_t sum = 0;

		for (size_t i = 0; i < steps[o].size(); i++) {
			sum += steps[o][i];
			if (i >= width)
				sum -= steps[o][i - width];
			worst = std::max(worst, (double)sum - allowed);
		}
	}
	return worst;
}

static void
run(Trace &t, Design &d)
{
	std::vector<std::vector<uint32_t>> steps(
	    t.orgs, std::vector<uint32_t>(END_MS / STEP_MS, 0));
	/* Calm, hot organisation, cut, killed. */
	static const uint64_t PART_MS = 10000;
	double owed[4] = {}, lost[4] = {};
	std::vector<std::vector<int64_t>> missing(
	    4, std::vector<int64_t>(t.orgs, 0));
	uint64_t calls = 0;
	std::mt19937_64 rng(3);
	Ideal ideal(t);

	for (t.now = 0; t.now < END_MS; t.now += STEP_MS) {
		for (int n = 0; n < t.nodes; n++)
			if (t.restarts(n))
				d.restart(n);
		for (int o = 0; o < t.orgs; o++) {
			std::poisson_distribution<int> arrivals(
			    t.rate(o) * STEP_MS / 1000);
			for (int k = arrivals(rng); k > 0; k--) {
				int n = (int)(rng() % (unsigned)t.nodes);

				if (t.is_down(n))
					continue;
				bool is_owed = ideal.admit(n, o);
				bool is_in = d.admit(n, o);
				calls++;
				owed[t.now / PART_MS] += is_owed;
				missing[t.now / PART_MS][o] += is_owed - is_in;
				steps[o][t.now / STEP_MS] += is_in;
			}
		}
	}
	printf("%-13s above %4.0f, asks/s %6.0f, a node %5.2f; refused below:",
	    d.name(), worst_excess(t, steps), (double)d.asks * 1000 / END_MS,
	    (double)d.asks * 1000 / END_MS / t.nodes);
	/* An organisation over its cap may lose other calls than the ideal one.
	 */
	for (int i = 0; i < 4; i++) {
		for (int64_t n : missing[i])
			lost[i] += n > 0 ? (double)n : 0;
		printf(" %6.2f%%", 100 * lost[i] / owed[i]);
	}
	printf("\n");
	if (Leased *l = dynamic_cast<Leased *>(&d))
		printf("              asks that a call waits for: %.1f%% of "
		       "calls\n",
		    100.0 * (double)l->waits / (double)calls);
}

int
main(int argc, char **argv)
{
	if (argc < 5)
		return 2;
	Trace t(atoi(argv[1]), atoi(argv[2]), atof(argv[3]), atoi(argv[4]));
	uint32_t groups = t.nodes > 300 ? 16 : 4;
	std::unique_ptr<Design> designs[] = {std::make_unique<FixedShares>(t),
	    std::make_unique<Peers>(t), std::make_unique<Home>(t),
	    std::make_unique<Leased>(t, groups)};

	for (auto &d : designs)
		run(t, *d);
	return 0;
}
