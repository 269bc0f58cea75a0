/* Properties of contracts, documents, heads and snapshots. */

#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "burdockgrade/document.h"
#include "burdockgrade/snapshot.h"
}

/* Few values, so that conflicts and missing services are likely. */
static const char *const NAMES[] = {"a", "b", "c", "d", "e", "f"};
static const char *const PREFIXES[] = {
    "/", "/a", "/a/0", "/a/0/c", "/b", "/ab", "/c/1", "/c"};
static const char *const METHODS[] = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"};

template <size_t N>
static void
set_text(char (&out)[N], const std::string &text)
{
	snprintf(out, N, "%s", text.c_str());
}

static std::string
gen_text(size_t bytes)
{
	auto chars = *rc::gen::container<std::string>(
	    rc::gen::inRange<char>(0x20, 0x7f));

	return chars.substr(0, bytes - 1);
}

static uint64_t
gen_u64()
{
	/* JSON carries integers up to INT64_MAX. */
	return *rc::gen::arbitrary<uint64_t>() & INT64_MAX;
}

/* A contract with any field values that the struct can hold. */
static bg_contract
gen_contract()
{
	bg_contract ctr = {};

	set_text(ctr.name, gen_text(BG_NAME_BYTES));
	ctr.route_count = *rc::gen::inRange<size_t>(0, BG_ROUTES_MAX + 1);
	for (size_t i = 0; i < ctr.route_count; i++) {
		bg_route &rt = ctr.routes[i];

		set_text(rt.name, gen_text(BG_NAME_BYTES));
		set_text(rt.prefix, gen_text(BG_PREFIX_BYTES));
		rt.methods = *rc::gen::inRange<uint32_t>(0, 64);
		rt.is_idempotent = *rc::gen::inRange(0, 2);
		rt.deadline_ms = *rc::gen::arbitrary<uint32_t>();
		rt.slow_ms = *rc::gen::arbitrary<uint32_t>();
		rt.criticality = static_cast<bg_criticality>(
		    *rc::gen::inRange(0, BG_CRITICALITY_HIGH + 1));
	}
	ctr.dependency_count =
	    *rc::gen::inRange<size_t>(0, BG_DEPENDENCIES_MAX + 1);
	for (size_t i = 0; i < ctr.dependency_count; i++)
		set_text(ctr.dependencies[i], gen_text(BG_NAME_BYTES));
	ctr.slots = *rc::gen::arbitrary<uint32_t>();
	ctr.connections = *rc::gen::arbitrary<uint32_t>();
	ctr.move_auto_start = *rc::gen::inRange(0, 2);
	ctr.take_over_ms = *rc::gen::arbitrary<uint32_t>();
	ctr.soak_ms = *rc::gen::arbitrary<uint32_t>();
	ctr.max_error_permille = *rc::gen::arbitrary<uint32_t>();
	ctr.slo_permyriad = *rc::gen::arbitrary<uint32_t>();
	ctr.slo_window_days = *rc::gen::arbitrary<uint32_t>();
	return ctr;
}

static bg_head_service
gen_head_service(const std::string &name)
{
	bg_head_service svc = {};

	set_text(svc.name, name);
	svc.rev = gen_u64();
	svc.changed = gen_u64();
	svc.digest = *rc::gen::arbitrary<uint64_t>();
	svc.is_withdrawn = *rc::gen::inRange(0, 2);
	svc.since_ms = gen_u64();
	svc.move.generation = gen_u64();
	svc.move.state = static_cast<bg_move_state>(
	    *rc::gen::inRange(0, BG_MOVE_ROLLED_BACK + 1));
	set_text(svc.move.from, gen_text(BG_NAME_BYTES));
	set_text(svc.move.to, gen_text(BG_NAME_BYTES));
	svc.move.step = *rc::gen::arbitrary<uint32_t>();
	svc.move.share_permille = *rc::gen::arbitrary<uint32_t>();
	svc.move.started_ms = gen_u64();
	svc.move.deadline_ms = gen_u64();
	svc.move.step_since_ms = gen_u64();
	svc.move.is_late = *rc::gen::inRange(0, 2);
	set_text(svc.move.reason, gen_text(BG_REASON_BYTES));
	return svc;
}

/* A service with a valid contract. Seven of eight have routes of their own and
 * depend on present services only, so that many sets are consistent. */
static bg_service
gen_service(const std::string &name, size_t present)
{
	bg_service svc = {};
	bg_contract &ctr = svc.contract;
	size_t routes = *rc::gen::inRange<size_t>(1, 4);
	uint32_t dependencies = *rc::gen::inRange<uint32_t>(0, 64);
	bool is_consistent = *rc::gen::inRange(0, 8) != 0;

	set_text(ctr.name, name);
	for (size_t i = 0; i < routes; i++) {
		bg_route &rt = ctr.routes[ctr.route_count++];

		set_text(rt.name, "r" + std::to_string(i));
		set_text(rt.prefix,
		    is_consistent ? "/" + name + "/" + std::to_string(i)
				  : PREFIXES[*rc::gen::inRange(0, 8)]);
		rt.methods = 1U << *rc::gen::inRange(0, 6);
		rt.is_idempotent = 1;
		rt.deadline_ms = 100;
		rt.slow_ms = 10;
	}
	for (size_t i = 0; i < (is_consistent ? present : 6); i++)
		if ((dependencies & (1U << i)) != 0 && name != NAMES[i])
			set_text(
			    ctr.dependencies[ctr.dependency_count++], NAMES[i]);
	ctr.slots = 1;
	ctr.connections = 1;
	ctr.take_over_ms = 1000;
	ctr.max_error_permille = 1;
	ctr.slo_permyriad = 9900;
	ctr.slo_window_days = 1;
	set_text(svc.head.name, name);
	svc.head.changed = 1;
	bg_contract_digest(&svc.head.digest, &ctr);
	return svc;
}

static uint64_t
digest_of(const std::vector<bg_service> &services)
{
	bg_head head;
	uint64_t digest;

	bg_head_init(&head);
	for (const bg_service &svc : services)
		*bg_head_add(&head, svc.head.name) = svc.head;
	digest = bg_head_digest(&head);
	bg_head_free(&head);
	return digest;
}

/* Corrupts text at one to three places: replaces, inserts or removes a byte, or
 * truncates the text. */
static std::string
corrupt(const std::string &text)
{
	std::string out = text;
	int places = *rc::gen::inRange(1, 4);

	for (int i = 0; i < places && !out.empty(); i++) {
		size_t at = *rc::gen::inRange<size_t>(0, out.size());
		char c = *rc::gen::arbitrary<char>();

		switch (*rc::gen::inRange(0, 4)) {
		case 0:
			out[at] = c;
			break;
		case 1:
			out.insert(at, 1, c);
			break;
		case 2:
			out.erase(at, 1);
			break;
		default:
			out.resize(at);
		}
	}
	return out;
}

/* Copies text to a string and frees it. */
static std::string
take_string(char *text)
{
	std::string out(text);

	free(text);
	return out;
}

/* The rule of a call must be part of the snapshot and match the method and the
 * path, and its targets must exist. */
static void
check_rule(const bg_snapshot *snap, const bg_rule *rule, size_t method,
    const char *path)
{
	RC_ASSERT(rule >= snap->rules && rule < snap->rules + snap->rule_count);
	RC_ASSERT((rule->methods & (1U << method)) != 0);
	RC_ASSERT(strncmp(path, rule->prefix, strlen(rule->prefix)) == 0);
	for (size_t i = 0; i < rule->target_count; i++)
		RC_ASSERT(bg_snapshot_service(snap, rule->targets[i].service) !=
		    nullptr);
}

static void
check_routes(const bg_snapshot *snap)
{
	const bg_rule *rule;

	for (const char *path : PREFIXES)
		for (size_t m = 0; m < 6; m++)
			if (bg_snapshot_route(
				&rule, snap, "", METHODS[m], path) == 0)
				check_rule(snap, rule, m, path);
}

/* Checks without the code under test whether all dependencies are present and
 * no two routes have the same prefix and method. */
static bool
is_consistent(const std::vector<bg_service> &services)
{
	std::vector<std::pair<std::string, uint32_t>> keys;

	for (const bg_service &svc : services) {
		const bg_contract &ctr = svc.contract;

		for (size_t i = 0; i < ctr.dependency_count; i++)
			if (std::none_of(services.begin(), services.end(),
				[&](const bg_service &other) {
					return strcmp(other.head.name,
						   ctr.dependencies[i]) == 0;
				}))
				return false;
		for (size_t i = 0; i < ctr.route_count; i++)
			keys.emplace_back(
			    ctr.routes[i].prefix, ctr.routes[i].methods);
	}
	std::sort(keys.begin(), keys.end());
	return std::adjacent_find(keys.begin(), keys.end()) == keys.end();
}

/* Guards against a snapshot with a route or dependency whose service is
 * missing, and against a consistent set that is refused. */
static void
snapshot_has_no_dangling_reference()
{
	std::vector<bg_service> services;
	bg_snapshot *snap;
	bg_error err;
	size_t count = *rc::gen::inRange<size_t>(0, 7);
	int code;

	for (size_t i = 0; i < count; i++)
		services.push_back(gen_service(NAMES[i], count));
	code = bg_snapshot_build(&snap, 1, digest_of(services), services.data(),
	    services.size(), &err);
	RC_CLASSIFY(code == 0 && count > 1, "accepted, more than one service");
	RC_ASSERT((code == 0) == is_consistent(services));
	if (code != 0) {
		RC_ASSERT(snap == nullptr);
		return;
	}
	for (size_t i = 0; i < snap->service_count; i++)
		for (size_t j = 0;
		     j < snap->services[i].contract.dependency_count; j++)
			RC_ASSERT(
			    bg_snapshot_service(snap,
				snap->services[i].contract.dependencies[j]) !=
			    nullptr);
	check_routes(snap);
	bg_snapshot_release(snap);
}

/* Guards against a snapshot of a set in which one service is missing, changed
 * or of another version. */
static void
incomplete_sets_are_refused()
{
	std::vector<bg_service> services;
	bg_snapshot *snap;
	size_t count = *rc::gen::inRange<size_t>(1, 7);
	uint64_t digest;

	for (size_t i = 0; i < count; i++)
		services.push_back(gen_service(NAMES[i], count));
	digest = digest_of(services);
	size_t at = *rc::gen::inRange<size_t>(0, count);
	switch (*rc::gen::inRange(0, 3)) {
	case 0:
		services.erase(
		    services.begin() + static_cast<std::ptrdiff_t>(at));
		break;
	case 1:
		services[at].head.changed = 0;
		break;
	default:
		services[at].contract.soak_ms++;
		bg_contract_digest(
		    &services[at].head.digest, &services[at].contract);
	}
	RC_ASSERT(bg_snapshot_build(&snap, 1, digest, services.data(),
		      services.size(), nullptr) == BG_EINVAL);
	RC_ASSERT(snap == nullptr);
}

/* Guards against a field of a contract that is lost or changed by encoding and
 * decoding. */
static void
contract_is_unchanged_by_encoding()
{
	bg_contract ctr = gen_contract();
	bg_contract got;
	char *json;

	RC_ASSERT(bg_contract_encode(&json, &ctr) == 0);
	std::string text = take_string(json);
	RC_ASSERT(
	    bg_contract_decode(&got, text.data(), text.size(), nullptr) == 0);
	RC_ASSERT(memcmp(&got, &ctr, sizeof(ctr)) == 0);
}

/* A document of services with valid contracts. */
static json_t *
gen_document(std::vector<bg_service> &services)
{
	size_t count = *rc::gen::inRange<size_t>(1, 7);
	std::vector<bg_contract> contracts;
	bg_head head;

	bg_head_init(&head);
	head.version = 1;
	for (size_t i = 0; i < count; i++) {
		services.push_back(gen_service(NAMES[i], count));
		*bg_head_add(&head, NAMES[i]) = services[i].head;
		contracts.push_back(services[i].contract);
	}
	json_t *doc = bg_document_build(&head, contracts.data());
	bg_head_free(&head);
	RC_ASSERT(doc != nullptr);
	return doc;
}

/* Guards against a document that is accepted in part or with other values after
 * bytes changed in transit. */
static void
corrupted_document_is_refused()
{
	std::vector<bg_service> services;
	bg_snapshot *whole;
	bg_snapshot *got;
	json_t *doc = gen_document(services);
	std::string text = take_string(json_dumps(doc, JSON_COMPACT));

	json_decref(doc);
	text = corrupt(text);
	doc = json_loadb(text.data(), text.size(), 0, nullptr);
	int code = bg_document_snapshot(&got, doc, nullptr);
	json_decref(doc);
	RC_TAG(code == 0 ? "same content" : "refused");
	if (code != 0) {
		RC_ASSERT(got == nullptr);
		return;
	}
	/* The change added white space between values or undid itself. */
	RC_ASSERT(bg_snapshot_build(&whole, 1, digest_of(services),
		      services.data(), services.size(), nullptr) == 0);
	RC_ASSERT(got->version == whole->version);
	RC_ASSERT(got->service_count == whole->service_count);
	RC_ASSERT(memcmp(got->services, whole->services,
		      whole->service_count * sizeof(*whole->services)) == 0);
	bg_snapshot_release(whole);
	bg_snapshot_release(got);
}

static bg_head
gen_head()
{
	size_t count = *rc::gen::inRange<size_t>(0, 7);
	bg_head head;

	bg_head_init(&head);
	head.version = gen_u64();
	set_text(head.writer, gen_text(BG_NAME_BYTES));
	set_text(head.nonce, gen_text(BG_NONCE_BYTES));
	for (size_t i = 0; i < count; i++) {
		bg_head_service svc = gen_head_service(NAMES[i]);

		*bg_head_add(&head, NAMES[i]) = svc;
	}
	return head;
}

static bool
are_equal(const bg_head &a, const bg_head &b)
{
	return a.version == b.version && strcmp(a.writer, b.writer) == 0 &&
	    strcmp(a.nonce, b.nonce) == 0 &&
	    a.service_count == b.service_count &&
	    (a.service_count == 0 ||
		memcmp(a.services, b.services,
		    a.service_count * sizeof(*a.services)) == 0);
}

/* Guards against a head that is changed by encoding and decoding, or that is
 * accepted with other values after bytes changed. */
static void
head_is_unchanged_by_encoding_or_refused()
{
	bg_head head = gen_head();
	bg_head got;
	char *json;
	int code;

	RC_ASSERT(bg_head_encode(&json, &head) == 0);
	std::string text = take_string(json);
	RC_ASSERT(bg_head_decode(&got, text.data(), text.size(), nullptr) == 0);
	RC_ASSERT(are_equal(got, head));
	bg_head_free(&got);
	text = corrupt(text);
	code = bg_head_decode(&got, text.data(), text.size(), nullptr);
	if (code == 0)
		RC_ASSERT(are_equal(got, head));
	else
		RC_ASSERT(code == BG_EPROTO && got.services == nullptr);
	bg_head_free(&got);
	bg_head_free(&head);
}

int
main()
{
	bool ok = true;

	ok &= rc::check("a snapshot has no reference to a missing service",
	    snapshot_has_no_dangling_reference);
	ok &= rc::check("a set that differs from that of the head is refused",
	    incomplete_sets_are_refused);
	ok &= rc::check("a contract is unchanged by encoding",
	    contract_is_unchanged_by_encoding);
	ok &= rc::check(
	    "a corrupted document is refused", corrupted_document_is_refused);
	ok &= rc::check("a head is unchanged by encoding or refused",
	    head_is_unchanged_by_encoding_or_refused);
	return ok ? 0 : 1;
}
