// Properties of the replicated table.

#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

// In C++, a function with the name of a struct counts as shadowing.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
extern "C" {
#include "burdockgrade/members.h"
#include "burdockgrade/table.h"
}
#pragma GCC diagnostic pop

namespace {

struct Item {
	uint32_t kind;
	std::string key;
	uint64_t major;
	uint64_t minor;
	std::string value;
};

class Table {
      public:
	Table()
	{
		RC_ASSERT(bg_table_init(&table) == 0);
	}
	~Table()
	{
		bg_table_free(table);
	}
	Table(const Table &) = delete;
	Table &operator=(const Table &) = delete;

	void
	merge(const Item &in)
	{
		struct bg_item item = {};
		int changed;

		item.kind = in.kind;
		item.key = in.key.c_str();
		item.major = in.major;
		item.minor = in.minor;
		item.value = in.value.data();
		item.value_bytes = static_cast<uint32_t>(in.value.size());
		RC_ASSERT(bg_table_merge(&changed, table, &item) == 0);
	}

	std::vector<uint64_t>
	digests() const
	{
		std::vector<uint64_t> out(BG_DIGEST_BUCKETS);

		bg_table_digests(out.data(), table);
		return out;
	}

	// Returns all items, for comparison.
	std::map<std::string, std::string>
	content() const
	{
		std::map<std::string, std::string> out;

		for (uint32_t kind = 1; kind <= BG_ITEM_MOVE; kind++)
			bg_table_foreach(table, kind, add, &out);
		return out;
	}

	struct bg_table *table;

      private:
	static int
	add(void *arg, const struct bg_item *item)
	{
		auto *out =
		    static_cast<std::map<std::string, std::string> *>(arg);

		(*out)[std::to_string(item->kind) + "/" + item->key] =
		    std::to_string(item->major) + "." +
		    std::to_string(item->minor) + " " +
		    std::string(item->value, item->value_bytes);
		return 0;
	}
};

// Few kinds, keys and versions, so that items collide often.
rc::Gen<Item>
genItemOf(rc::Gen<uint32_t> kind)
{
	return rc::gen::build<Item>(rc::gen::set(&Item::kind, kind),
	    rc::gen::set(&Item::key,
		rc::gen::element<std::string>("a", "b", "c", "d", "e", "f")),
	    rc::gen::set(&Item::major, rc::gen::inRange<uint64_t>(0, 4)),
	    rc::gen::set(&Item::minor, rc::gen::inRange<uint64_t>(0, 4)),
	    rc::gen::set(&Item::value,
		rc::gen::element<std::string>("", "x", "xy", "z")));
}

rc::Gen<Item>
genItem()
{
	return genItemOf(rc::gen::element<uint32_t>(
	    BG_ITEM_CONFIG, BG_ITEM_MEMBER, BG_ITEM_MOVE));
}

// Items that are included in the digests.
rc::Gen<Item>
genDigestedItem()
{
	return genItemOf(
	    rc::gen::element<uint32_t>(BG_ITEM_MEMBER, BG_ITEM_MOVE));
}

rc::Gen<std::vector<Item>>
genItems()
{
	return rc::gen::container<std::vector<Item>>(genItem());
}

rc::Gen<std::vector<Item>>
genDigestedItems()
{
	return rc::gen::container<std::vector<Item>>(genDigestedItem());
}

// A reply in flight: the items after the requester's cursor.
struct Reply {
	struct bg_xitems items = {};
	uint64_t cursor = 0;
};

class Replica {
      public:
	Reply
	select(const Replica &requester) const
	{
		struct bg_table_select sel = {};
		Reply out;

		sel.cursor = requester.cursor;
		sel.max_bytes = 100;
		RC_ASSERT(bg_table_select(
			      &out.items, &out.cursor, table.table, &sel) == 0);
		return out;
	}

	void
	apply(const Reply &reply)
	{
		RC_ASSERT(bg_table_merge_list(table.table, &reply.items) >= 0);
		if (reply.cursor > cursor)
			cursor = reply.cursor;
	}

	Table table;
	uint64_t cursor = 0; // in the other replica's log
};

void
release(Reply &reply)
{
	xdr_free(reinterpret_cast<xdrproc_t>(xdr_bg_xitems),
	    reinterpret_cast<char *>(&reply.items));
}

// Exchanges items without faults until neither side has changes to send.
void
converge(Replica &a, Replica &b)
{
	for (int round = 0; round < 1000; round++) {
		Reply to_b = a.select(b);
		Reply to_a = b.select(a);
		bool is_converged =
		    to_b.cursor == b.cursor && to_a.cursor == a.cursor;

		b.apply(to_b);
		a.apply(to_a);
		release(to_b);
		release(to_a);
		if (is_converged)
			return;
	}
	RC_FAIL("replicas do not converge within 1000 rounds");
}

// One step of a run with faults.
struct Step {
	// 0, 1: merge the item into a, b; 2, 3: send a reply to a, b;
	// 4: deliver a reply; 5: lose it; 6: deliver it and keep a copy
	int action;
	Item item;
	size_t pick;
};

rc::Gen<Step>
genStep()
{
	return rc::gen::build<Step>(
	    rc::gen::set(&Step::action, rc::gen::inRange(0, 7)),
	    rc::gen::set(&Step::item, genItem()),
	    rc::gen::set(&Step::pick, rc::gen::inRange<size_t>(0, 100)));
}

// Runs one step. Delivery picks any reply in flight, so replies are reordered.
void
run_step(const Step &step, Replica &a, Replica &b,
    std::vector<std::pair<bool, Reply>> &in_flight)
{
	if (step.action == 0)
		a.table.merge(step.item);
	else if (step.action == 1)
		b.table.merge(step.item);
	else if (step.action == 2)
		in_flight.emplace_back(true, b.select(a));
	else if (step.action == 3)
		in_flight.emplace_back(false, a.select(b));
	else if (!in_flight.empty()) {
		auto it = in_flight.begin() +
		    static_cast<long>(step.pick % in_flight.size());

		if (step.action != 5)
			(it->first ? a : b).apply(it->second);
		if (step.action != 6) {
			release(it->second);
			in_flight.erase(it);
		}
	}
}

} // namespace

int
main()
{
	int is_ok = 1;

	// Guards against replicas that differ permanently after receiving items
	// in a different order or repeatedly.
	is_ok &= rc::check("merge is commutative and idempotent", [] {
		const auto items = *genItems();
		auto shuffled = items;
		const auto again = *genItems();
		Table a;
		Table b;

		for (const auto &item : again)
			shuffled.push_back(item);
		for (const auto &item : items)
			shuffled.push_back(item);
		const auto order = *rc::gen::container<std::vector<size_t>>(
		    shuffled.size(), rc::gen::inRange<size_t>(0, 1000));
		for (size_t i = 0; i < shuffled.size(); i++)
			std::swap(
			    shuffled[i], shuffled[order[i] % shuffled.size()]);
		for (const auto &item : items)
			a.merge(item);
		for (const auto &item : again)
			a.merge(item);
		for (const auto &item : shuffled)
			b.merge(item);
		RC_ASSERT(a.content() == b.content());
		RC_ASSERT(a.digests() == b.digests());
	});

	// Guards against a result that depends on which replicas synchronized
	// first.
	is_ok &= rc::check("merge is associative", [] {
		const auto x = *genItems();
		const auto y = *genItems();
		const auto z = *genItems();
		Table xy_z;
		Table x_yz;

		for (const auto *list : {&x, &y, &z})
			for (const auto &item : *list)
				xy_z.merge(item);
		for (const auto *list : {&y, &z, &x})
			for (const auto &item : *list)
				x_yz.merge(item);
		RC_ASSERT(xy_z.content() == x_yz.content());
		RC_ASSERT(xy_z.digests() == x_yz.digests());
	});

	// Guards against items that are missed because a reply was lost,
	// duplicated or delayed.
	is_ok &= rc::check("replicas converge despite faults", [] {
		const auto steps =
		    *rc::gen::container<std::vector<Step>>(genStep());
		std::vector<std::pair<bool, Reply>> in_flight;
		Replica a;
		Replica b;

		for (const auto &step : steps)
			run_step(step, a, b, in_flight);
		converge(a, b);
		for (auto &entry : in_flight) {
			(entry.first ? a : b).apply(entry.second);
			release(entry.second);
		}
		RC_ASSERT(a.table.content() == b.table.content());
		RC_ASSERT(a.table.digests() == b.table.digests());
	});

	// Guards against items that are missed when replicas reconnect.
	is_ok &= rc::check("exchange of differing buckets converges", [] {
		const auto mine = *genDigestedItems();
		const auto theirs = *genDigestedItems();
		struct bg_table_select sel = {};
		struct bg_xitems items;
		uint64_t cursor;
		Table a;
		Table b;

		for (const auto &item : mine)
			a.merge(item);
		for (const auto &item : theirs)
			b.merge(item);
		for (size_t i = 0; i < BG_DIGEST_BUCKETS; i++)
			if (a.digests()[i] != b.digests()[i])
				sel.bucket_mask |= 1ull << i;
		RC_ASSERT(
		    (sel.bucket_mask == 0) == (a.content() == b.content()));
		if (sel.bucket_mask == 0)
			return;
		for (auto *pair : {&a, &b}) {
			Table &to = pair == &a ? b : a;

			RC_ASSERT(bg_table_select(
				      &items, &cursor, pair->table, &sel) == 0);
			RC_ASSERT(bg_table_merge_list(to.table, &items) >= 0);
			xdr_free(reinterpret_cast<xdrproc_t>(xdr_bg_xitems),
			    reinterpret_cast<char *>(&items));
		}
		RC_ASSERT(a.content() == b.content());
		RC_ASSERT(a.digests() == b.digests());
	});

	// Guards against a difference that the periodic comparison misses.
	is_ok &= rc::check("different content has different digests", [] {
		const auto items = *genDigestedItems();
		Item one = *genDigestedItem();
		Table a;
		Table b;

		for (const auto &item : items) {
			a.merge(item);
			b.merge(item);
		}
		b.merge(one);
		RC_ASSERT((a.digests() == b.digests()) ==
		    (a.content() == b.content()));
		one.major = 9; // higher than every generated value
		a.merge(one);
		RC_ASSERT(a.digests() != b.digests());
	});
	return is_ok ? 0 : 1;
}
