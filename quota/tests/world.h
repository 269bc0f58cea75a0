#ifndef BG_QUOTA_TEST_WORLD_H
#define BG_QUOTA_TEST_WORLD_H

/* Nodes with one organisation, a store and a network that loses, delays and
 * doubles messages, on simulated time. Runs the pure modules as the task does.
 * All times are in ms. */

#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

/* In C++, a function with the name of a struct counts as shadowing. */
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C" {
#include "bucket/bucket.h"
#include "tenure/tenure.h"
#include "wallet/wallet.h"
}
#pragma GCC diagnostic pop

static const uint32_t WINDOW_MS = 5000;
static const uint64_t STEP_MS = 10;
static const uint64_t STORE_TIMEOUT_MS = 1500;

struct World {
	struct Options {
		uint64_t seed = 1;
		int nodes = 6;
		uint32_t shares = 2;
		uint32_t rate_milli_per_s = 40000;
		uint32_t burst = 10;
		double load = 2; /* arrivals, of the rate */
		double loss = 0;
		double doubled = 0;
		double late = 0; /* messages that take up to 3 s */
	};

	struct Share {
		struct bg_tenure tenure = {};
		struct bg_bucket bucket = {};
		uint64_t bucket_tenure = 0;
		struct bg_wallet wallet = {};
		uint64_t tenure_seen = 0;
		uint64_t seq = 0;
		uint64_t sent_ms = 0;
		bool is_asking = false;
		std::vector<uint32_t> waiting; /* shares that each one tried */
		uint64_t store_call = 0;       /* 0: none is pending */
		uint64_t store_sent_ms = 0;
		int owner = 0; /* node that is asked */
	};

	struct Node {
		std::string address;
		uint64_t process = 0;
		bool is_alive = true;
		bool is_leaving = false;
		uint64_t paused_until = 0;
		std::vector<Share> shares;
	};

	Options opts;
	std::mt19937_64 rng;
	uint64_t now = 1000;
	std::multimap<uint64_t, std::function<void()>> events;
	std::vector<Node> nodes;
	std::vector<struct bg_tenure_record> objects;
	std::vector<std::vector<uint64_t>> cut_until; /* from, to */
	uint64_t store_down_until = 0;
	uint64_t revision = 0;
	uint64_t next_id = 1;
	std::vector<uint64_t> admitted;
	uint64_t refused = 0;
	uint64_t messages = 0;
	struct bg_quota_rule rule;
	struct bg_bucket_limits limits;

	explicit World(const Options &o) : opts(o), rng(o.seed)
	{
		rule = {WINDOW_MS, 100, 20, o.shares};
		set_cap(o.rate_milli_per_s, o.burst);
		objects.resize(o.shares);
		cut_until.assign(o.nodes, std::vector<uint64_t>(o.nodes, 0));
		nodes.resize(o.nodes);
		for (int i = 0; i < o.nodes; i++) {
			nodes[i].address = "n" + std::to_string(i);
			start(i);
		}
	}

	~World()
	{
		for (Node &node : nodes)
			for (Share &sh : node.shares)
				bg_bucket_free(&sh.bucket);
	}

	double
	chance()
	{
		return (double)(rng() >> 11) / (double)(1ull << 53);
	}
	uint64_t
	below(uint64_t n)
	{
		return rng() % n;
	}

	void
	set_cap(uint32_t rate_milli_per_s, uint32_t burst)
	{
		opts.rate_milli_per_s = rate_milli_per_s;
		opts.burst = burst;
		bg_bucket_limits_init(&limits, &rule, rate_milli_per_s, burst);
		for (Node &node : nodes)
			for (Share &sh : node.shares)
				if (sh.bucket_tenure != 0)
					bg_bucket_set_limits(
					    &sh.bucket, &limits, 0, now);
	}

	/* A new process at the address of a node. */
	void
	start(int i)
	{
		Node &node = nodes[i];

		for (Share &sh : node.shares)
			bg_bucket_free(&sh.bucket);
		node.process = next_id++;
		node.is_alive = true;
		node.is_leaving = false;
		node.paused_until = 0;
		node.shares.assign(opts.shares, Share());
		for (Share &sh : node.shares) {
			bg_tenure_init(&sh.tenure, node.address.c_str(),
			    node.process, now);
			sh.owner = (int)below(opts.nodes);
		}
	}

	/* A process stops as planned: it gives its slots up, answers for a
	 * while and is a candidate for nothing. */
	void
	leave(int i)
	{
		nodes[i].is_leaving = true;
		for (uint32_t k = 0; k < opts.shares; k++) {
			Share &sh = nodes[i].shares[k];

			if (!bg_tenure_is_owner(&sh.tenure, now))
				continue;
			bg_tenure_release(&sh.tenure);
			call_store(i, k, true);
		}
	}

	/* Node that owns a share, or -1. */
	int
	owner_of(uint32_t k) const
	{
		for (int i = 0; i < opts.nodes; i++)
			if (bg_tenure_is_owner(&nodes[i].shares[k].tenure, now))
				return i;
		return -1;
	}

	/* A process gets a message, after its pause if it is paused. */
	void
	deliver(int to, uint64_t process, std::function<void()> fn)
	{
		Node &node = nodes[to];

		if (!node.is_alive || (process != 0 && node.process != process))
			return;
		if (node.paused_until > now) {
			events.emplace(node.paused_until,
			    [=] { deliver(to, process, fn); });
			return;
		}
		fn();
	}

	uint64_t
	delay()
	{
		return chance() < opts.late ? below(3000) : 1 + below(15);
	}

	void
	post(const std::function<void()> &fn)
	{
		if (chance() < opts.loss)
			return;
		events.emplace(now + delay(), fn);
		if (chance() < opts.doubled)
			events.emplace(now + delay(), fn);
	}

	void
	send(int from, int to, uint64_t process, std::function<void()> fn)
	{
		messages++;
		if (cut_until[from][to] > now)
			return;
		post([=] { deliver(to, process, fn); });
	}

	/* The owner's side of an ask; see owner.c. */
	void
	answer(int i, uint32_t k, int from, uint64_t from_process,
	    const struct bg_bucket_ask &sent, uint64_t tenure_seen)
	{
		Share &sh = nodes[i].shares[k];
		struct bg_bucket_ask ask = sent;
		struct bg_bucket_grant grant = {};
		struct bg_wallet_grant reply = {};
		bool is_owner = bg_tenure_is_owner(&sh.tenure, now);

		if (is_owner) {
			if (sh.bucket_tenure != sh.tenure.tenure) {
				bg_bucket_free(&sh.bucket);
				bg_bucket_start(&sh.bucket, &limits, WINDOW_MS,
				    sh.tenure.clean_ms, now);
				sh.bucket_tenure = sh.tenure.tenure;
			}
			if (tenure_seen != sh.tenure.tenure)
				ask.held = 0;
			bg_bucket_ask(&grant, &sh.bucket, &ask, now);
		} else
			bg_tenure_asked(&sh.tenure);
		reply = {sh.tenure.tenure, grant.kept, grant.granted,
		    grant.valid_ms, grant.retry_after_ms};
		send(i, from, from_process,
		    [=] { handle_reply(from, k, ask.seq, is_owner, reply); });
	}

	void
	handle_reply(int i, uint32_t k, uint64_t seq, bool is_owner,
	    const struct bg_wallet_grant &reply)
	{
		Share &sh = nodes[i].shares[k];
		uint32_t tokens;

		if (!sh.is_asking || sh.seq != seq)
			return;
		sh.is_asking = false;
		if (!is_owner) {
			sh.owner = (int)below(opts.nodes);
			ask(i, k);
			return;
		}
		sh.tenure_seen = reply.tenure;
		tokens = bg_wallet_settle(&sh.wallet, &reply, sh.sent_ms, now);
		for (; tokens > 0 && !sh.waiting.empty(); tokens--) {
			sh.waiting.erase(sh.waiting.begin());
			admitted.push_back(now);
		}
		if (bg_wallet_is_dry(&sh.wallet, now))
			move_on(i, k);
		ask(i, k);
	}

	/* Lets the calls that wait at a share try the others. */
	void
	move_on(int i, uint32_t k)
	{
		std::vector<uint32_t> calls;

		calls.swap(nodes[i].shares[k].waiting);
		for (uint32_t tried : calls)
			admit(i, tried);
	}

	void
	ask(int i, uint32_t k)
	{
		Node &node = nodes[i];
		Share &sh = node.shares[k];
		struct bg_wallet_ask want;
		struct bg_bucket_ask ask;
		uint64_t seen = sh.tenure_seen;
		uint64_t process = node.process;
		int to = sh.owner;

		if (sh.is_asking ||
		    (sh.waiting.empty() && !bg_wallet_is_low(&sh.wallet, now)))
			return;
		bg_wallet_fill_ask(
		    &want, &sh.wallet, (uint32_t)sh.waiting.size(), now);
		sh.seq = next_id++;
		sh.sent_ms = now;
		sh.is_asking = true;
		ask = {
		    node.process, sh.seq, want.held, want.waiting, want.spare};
		if (sh.wallet.tenure != seen)
			ask.held = 0;
		send(i, to, 0, [=] { answer(to, k, i, process, ask, seen); });
	}

	/* See bg_client_advance(). */
	void
	admit(int i, uint32_t tried)
	{
		Node &node = nodes[i];

		for (uint32_t n = 0; n < opts.shares; n++) {
			uint32_t k = ((uint32_t)i + n) % opts.shares;
			Share &sh = node.shares[k];

			if (tried & 1u << k)
				continue;
			tried |= 1u << k;
			if (bg_wallet_take(&sh.wallet, now)) {
				admitted.push_back(now);
				ask(i, k);
				return;
			}
			if (bg_wallet_is_dry(&sh.wallet, now))
				continue;
			sh.waiting.push_back(tried);
			ask(i, k);
			return;
		}
		refused++;
	}

	void
	arrive(int i)
	{
		uint32_t home = (uint32_t)i % opts.shares;

		bg_wallet_count(&nodes[i].shares[home].wallet, now);
		admit(i, 0);
	}

	/* One call to the store: a write if record is set. See slots.c. */
	void
	call_store(int i, uint32_t k, bool is_write)
	{
		Share &sh = nodes[i].shares[k];
		struct bg_tenure_record mine = {};
		uint64_t expected = sh.tenure.record.revision;
		uint64_t process = nodes[i].process;
		uint64_t call = next_id++;
		uint64_t sent = now;

		snprintf(mine.owner, sizeof(mine.owner), "%s",
		    nodes[i].address.c_str());
		mine.process = process;
		mine.is_released = nodes[i].is_leaving;
		sh.store_call = call;
		sh.store_sent_ms = now;
		if (store_down_until > now)
			return;
		post([=] {
			struct bg_tenure_record &obj = objects[k];
			bool is_done = is_write && obj.revision == expected;

			if (is_done) {
				obj = mine;
				obj.revision = ++revision;
			}
			struct bg_tenure_record now_there = obj;
			post([=] {
				deliver(i, process, [=] {
					handle_store(i, k, call, is_write,
					    is_done, now_there, sent);
				});
			});
		});
	}

	void
	handle_store(int i, uint32_t k, uint64_t call, bool is_write,
	    bool is_done, const struct bg_tenure_record &record, uint64_t sent)
	{
		Share &sh = nodes[i].shares[k];

		if (sh.store_call != call)
			return;
		sh.store_call = 0;
		if (is_done && nodes[i].is_leaving)
			return;
		if (is_done) {
			bg_tenure_written(
			    &sh.tenure, record.revision, sent, now);
			return;
		}
		if (is_write)
			bg_tenure_forget(&sh.tenure, now);
		bg_tenure_observe(&sh.tenure, &record, now);
	}

	/* See own_rank() in slots.c. */
	int
	rank_of(int i, uint32_t k) const
	{
		const struct bg_tenure_record &rec =
		    nodes[i].shares[k].tenure.record;
		int rank = (i + opts.nodes - (int)k) % opts.nodes;
		int gone = rec.is_released ? std::atoi(rec.owner + 1) : -1;
		int gone_rank = gone < 0
		    ? opts.nodes
		    : (gone + opts.nodes - (int)k) % opts.nodes;

		if (nodes[i].is_leaving || rank >= 3)
			return -1;
		return rank > gone_rank ? rank - 1 : rank;
	}

	void
	step_share(int i, uint32_t k)
	{
		Share &sh = nodes[i].shares[k];
		int rank = rank_of(i, k);

		if (sh.is_asking &&
		    now >= sh.sent_ms + BG_QUOTA_ASK_TIMEOUT_MS) {
			sh.is_asking = false;
			sh.owner = (int)below(opts.nodes);
			move_on(i, k);
		}
		if (sh.store_call != 0 &&
		    now >= sh.store_sent_ms + STORE_TIMEOUT_MS) {
			sh.store_call = 0;
			bg_tenure_forget(&sh.tenure, now);
		}
		if (sh.store_call != 0)
			return;
		switch (bg_tenure_next(&sh.tenure, rank, now)) {
		case BG_TENURE_READ:
			call_store(i, k, false);
			break;
		case BG_TENURE_WRITE:
			call_store(i, k, true);
			break;
		case BG_TENURE_WAIT:
			break;
		}
	}

	void
	step()
	{
		double mean = opts.load * opts.rate_milli_per_s / 1000 *
		    STEP_MS / 1000 / opts.nodes;

		while (!events.empty() && events.begin()->first <= now) {
			auto fn = events.begin()->second;

			events.erase(events.begin());
			fn();
		}
		for (int i = 0; i < opts.nodes; i++) {
			if (!nodes[i].is_alive || nodes[i].paused_until > now)
				continue;
			for (uint32_t k = 0; k < opts.shares; k++)
				step_share(i, k);
			std::poisson_distribution<int> arrivals(mean);
			for (int n = arrivals(rng); n > 0; n--)
				arrive(i);
		}
		now += STEP_MS;
	}

	void
	run(uint64_t ms)
	{
		for (uint64_t end = now + ms; now < end;)
			step();
	}

	/* Most calls admitted in any window that begins after a time. */
	uint64_t
	worst_window(uint64_t since = 0) const
	{
		uint64_t worst = 0;
		size_t first = 0;

		for (size_t last = 0; last < admitted.size(); last++) {
			while (admitted[first] < since ||
			    admitted[first] + WINDOW_MS < admitted[last])
				if (++first > last)
					break;
			if (first <= last && last - first + 1 > worst)
				worst = last - first + 1;
		}
		return worst;
	}

	uint64_t
	bound() const
	{
		double calls =
		    opts.rate_milli_per_s / 1000.0 * WINDOW_MS / 1000;

		return (uint64_t)((calls + opts.burst) * 1.1 + 20);
	}
};

#endif
