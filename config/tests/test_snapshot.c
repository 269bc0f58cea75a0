#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/snapshot.h"

#include "sample.h"

#include "suite.h"

static struct bg_error err;

static uint64_t
digest_of(const struct bg_service *services, size_t count)
{
	struct bg_head head;
	uint64_t digest;
	size_t i;

	bg_head_init(&head);
	for (i = 0; i < count; i++)
		*bg_head_add(&head, services[i].head.name) = services[i].head;
	digest = bg_head_digest(&head);
	bg_head_free(&head);
	return digest;
}

static int
build(struct bg_snapshot **out, uint64_t version,
    const struct bg_service *services, size_t count)
{
	return bg_snapshot_build(
	    out, version, digest_of(services, count), services, count, &err);
}

static void
fill_head(struct bg_head *head)
{
	struct bg_head_service *svc;

	bg_head_init(head);
	head->version = 42;
	strcpy(head->writer, "anna@salle-coupe");
	strcpy(head->nonce, "f00d");
	svc = bg_head_add(head, "orders");
	svc->rev = 7;
	svc->changed = 41;
	svc->digest = UINT64_MAX;
	svc->since_ms = 1790000000000;
	svc->is_withdrawn = 1;
	svc->move.generation = 3;
	svc->move.state = BG_MOVE_ROLLED_BACK;
	strcpy(svc->move.from, "1.0");
	strcpy(svc->move.to, "1.1");
	svc->move.step = 2;
	svc->move.share_permille = 100;
	svc->move.started_ms = 1790000000001;
	svc->move.deadline_ms = 1790000000002;
	svc->move.step_since_ms = 1790000000003;
	svc->move.is_late = 1;
	strcpy(svc->move.reason, "errors 12% on \"jobs\"");
	bg_head_add(head, "catalogue");
}

/* Guards against unsorted or duplicate services, which would break the binary
 * search by name. */
START_TEST(head_keeps_services_sorted_and_unique)
{
	static const char *const names[] = {"m", "c", "x", "c", "a", "m"};
	struct bg_head head;
	struct bg_head copy;
	size_t i;

	bg_head_init(&head);
	for (i = 0; i < 6; i++)
		bg_head_add(&head, names[i])->rev++;
	ck_assert_uint_eq(head.service_count, 4);
	for (i = 1; i < head.service_count; i++)
		ck_assert_int_lt(
		    strcmp(head.services[i - 1].name, head.services[i].name),
		    0);
	ck_assert_uint_eq(bg_head_find(&head, "c")->rev, 2);
	ck_assert_ptr_null(bg_head_find(&head, "b"));
	ck_assert_int_eq(bg_head_copy(&copy, &head), 0);
	bg_head_remove(&head, "a");
	bg_head_remove(&head, "x");
	bg_head_remove(&head, "none");
	ck_assert_uint_eq(head.service_count, 2);
	ck_assert_ptr_null(bg_head_find(&head, "a"));
	ck_assert_ptr_nonnull(bg_head_find(&head, "m"));
	ck_assert_uint_eq(copy.service_count, 4);
	ck_assert_ptr_nonnull(bg_head_find(&copy, "a"));
	bg_head_free(&copy);
	bg_head_free(&head);
}
END_TEST

/* Guards against a field of the head or of a move that is lost or changed by
 * encoding and decoding. */
START_TEST(head_is_unchanged_by_encoding)
{
	struct bg_head head;
	struct bg_head got;
	char *json;

	fill_head(&head);
	ck_assert_int_eq(bg_head_encode(&json, &head), 0);
	ck_assert_int_eq(bg_head_decode(&got, json, strlen(json), &err), 0);
	ck_assert_uint_eq(got.version, 42);
	ck_assert_str_eq(got.writer, head.writer);
	ck_assert_str_eq(got.nonce, head.nonce);
	ck_assert_uint_eq(got.service_count, 2);
	ck_assert_mem_eq(
	    got.services, head.services, 2 * sizeof(struct bg_head_service));
	ck_assert_uint_eq(bg_head_digest(&got), bg_head_digest(&head));
	free(json);
	bg_head_free(&got);
	bg_head_free(&head);
}
END_TEST

/* Guards against a number above INT64_MAX, the largest JSON integer of the
 * library, that would be decoded as another one. */
START_TEST(head_refuses_numbers_above_the_range)
{
	struct bg_head head;
	char *json;

	fill_head(&head);
	head.version = (uint64_t)INT64_MAX + 1;
	ck_assert_int_eq(bg_head_encode(&json, &head), BG_EINVAL);
	head.version = 1;
	head.services[1].move.deadline_ms = UINT64_MAX;
	ck_assert_int_eq(bg_head_encode(&json, &head), BG_EINVAL);
	ck_assert_ptr_null(json);
	bg_head_free(&head);
}
END_TEST

/* Guards against a head digest that misses a change of a service's name,
 * version of the last change or contract, or that depends on other fields. */
START_TEST(head_digest_covers_name_changed_and_digest)
{
	struct bg_head head;
	uint64_t digest;

	fill_head(&head);
	digest = bg_head_digest(&head);
	head.services[1].move.step++;
	ck_assert_uint_eq(bg_head_digest(&head), digest);
	head.services[1].changed++;
	ck_assert_uint_ne(bg_head_digest(&head), digest);
	head.services[1].changed--;
	head.services[1].digest--;
	ck_assert_uint_ne(bg_head_digest(&head), digest);
	head.services[1].digest++;
	head.services[1].name[0]++;
	ck_assert_uint_ne(bg_head_digest(&head), digest);
	head.services[1].name[0]--;
	head.service_count = 1;
	ck_assert_uint_ne(bg_head_digest(&head), digest);
	bg_head_free(&head);
}
END_TEST

/* Guards against a snapshot that shares memory with its input, or that is freed
 * while a call still holds a reference. */
START_TEST(snapshot_is_a_sorted_copy_with_references)
{
	struct bg_service svcs[3];
	struct bg_snapshot *snap;

	sample_service(&svcs[0], "printing", 3);
	sample_service(&svcs[1], "catalogue", 1);
	sample_service(&svcs[2], "orders", 2);
	ck_assert_msg(build(&snap, 3, svcs, 3) == 0, "%s", err.message);
	memset(svcs, 0, sizeof(svcs));
	ck_assert_str_eq(snap->services[0].head.name, "catalogue");
	ck_assert_str_eq(snap->services[2].head.name, "printing");
	ck_assert_ptr_eq(
	    bg_snapshot_service(snap, "orders"), &snap->services[1]);
	ck_assert_ptr_null(bg_snapshot_service(snap, "order"));
	ck_assert_ptr_eq(bg_snapshot_acquire(snap), snap);
	bg_snapshot_release(snap);
	ck_assert_uint_eq(snap->version, 3);
	bg_snapshot_release(snap);
	ck_assert_ptr_null(bg_snapshot_acquire(NULL));
	bg_snapshot_release(NULL);
}
END_TEST

/* Guards against an error on a new platform, on which nothing has been accepted
 * yet. */
START_TEST(snapshot_without_services_is_valid)
{
	const struct bg_rule *rule;
	struct bg_snapshot *snap;

	ck_assert_int_eq(build(&snap, 0, NULL, 0), 0);
	ck_assert_int_eq(
	    bg_snapshot_route(&rule, snap, "", "GET", "/"), BG_ENOTFOUND);
	bg_snapshot_release(snap);
}
END_TEST

static void
expect_refusal(const struct bg_service *svcs, size_t count, const char *text)
{
	struct bg_snapshot *snap = NULL;

	ck_assert_int_eq(build(&snap, 9, svcs, count), BG_EINVAL);
	ck_assert_ptr_null(snap);
	ck_assert_msg(strstr(err.message, text) != NULL, "%s", err.message);
}

static void
update_digest(struct bg_service *svc)
{
	ck_assert_int_eq(
	    bg_contract_digest(&svc->head.digest, &svc->contract), 0);
}

/* Guards against an incomplete or inconsistent snapshot that is put in force.
 */
START_TEST(snapshot_is_refused_as_a_whole)
{
	struct bg_service svcs[2];
	struct bg_snapshot *snap;

	sample_service(&svcs[0], "catalogue", 1);
	sample_service(&svcs[1], "orders", 2);
	sample_add_dependency(&svcs[1].contract, "printing");
	update_digest(&svcs[1]);
	expect_refusal(svcs, 2, "dependency printing");

	sample_service(&svcs[1], "orders", 2);
	strcpy(svcs[1].contract.routes[1].prefix, "/catalogue/jobs");
	update_digest(&svcs[1]);
	expect_refusal(svcs, 2, "route jobs: expected a path and method");

	sample_service(&svcs[1], "orders", 2);
	svcs[1].contract.slots = 0;
	update_digest(&svcs[1]);
	expect_refusal(svcs, 2, "slots");

	sample_service(&svcs[1], "orders", 2);
	svcs[1].contract.slots++;
	expect_refusal(svcs, 2, "contract of the digest");

	sample_service(&svcs[1], "orders", 10);
	expect_refusal(svcs, 2, "head version");

	sample_service(&svcs[1], "orders", 2);
	strcpy(svcs[1].head.name, "other");
	expect_refusal(svcs, 2, "contract of this service");

	sample_service(&svcs[1], "orders", 2);
	svcs[1].head.move.state = BG_MOVE_IN_PROGRESS;
	expect_refusal(svcs, 2, "server version");
	strcpy(svcs[1].head.move.to, "2");
	svcs[1].head.move.share_permille = 1001;
	expect_refusal(svcs, 2, "share");
	svcs[1].head.move.state = (enum bg_move_state)4;
	expect_refusal(svcs, 2, "move state");

	sample_service(&svcs[1], "catalogue", 1);
	ck_assert_int_eq(
	    bg_snapshot_build(&snap, 9, 0, svcs, 2, &err), BG_EINVAL);
	ck_assert_ptr_nonnull(strstr(err.message, "once"));

	sample_service(&svcs[1], "orders", 2);
	ck_assert_int_eq(
	    bg_snapshot_build(&snap, 9, digest_of(svcs, 2) + 1, svcs, 2, &err),
	    BG_EINVAL);
	ck_assert_ptr_nonnull(strstr(err.message, "head digest"));
	/* The head digest covers the set of services as well. */
	ck_assert_int_eq(
	    bg_snapshot_build(&snap, 9, digest_of(svcs, 2), svcs, 1, &err),
	    BG_EINVAL);
}
END_TEST

static const struct {
	const char *method;
	const char *path;
	const char *route; /* NULL: not found, "": method not allowed */
} ROUTES[] = {
    {"GET", "/shop", "shop"},
    {"GET", "/shop/stock", "stock"},
    {"GET", "/shop/stock/bolt?size=4", "stock"},
    {"GET", "/shop/stock?size=4", "stock"},
    {"GET", "/shop/stock#top", "stock"},
    {"GET", "/shop/stock/", "stock"},
    /* A prefix matches whole segments. */
    {"GET", "/shop/stockings", "shop"},
    {"GET", "/shopping", NULL},
    {"GET", "/sho", NULL},
    /* A shorter prefix that allows the method goes before a longer one that
     * does not. */
    {"POST", "/shop/stock", "jobs"},
    {"POST", "/shop", "jobs"},
    {"DELETE", "/shop/stock", ""},
    {"get", "/shop/stock", ""},
    {"", "/shop", ""},
    {"GET", "/other", NULL},
    {"GET", "", NULL},
    {"GET", "shop", NULL},
    {"GET", "http://x/shop", NULL},
    /* Another encoding of a path must not match another route. */
    {"GET", "/shop/%73tock", "stock"},
    {"GET", "/%73%68op", "shop"},
    {"GET", "/other/../shop", NULL},
    {"GET", "/shop/stock/..", NULL},
    {"GET", "/shop/stock/%2e%2E/x", NULL},
    {"GET", "/shop/./stock", NULL},
    {"GET", "/shop/%2e", NULL},
    {"GET", "/shop/..x", "shop"},
    {"GET", "/shop/%", "shop"},
    {"GET", "/shop/%7", "shop"},
    {"GET", "/shop/%zz", "shop"},
    {"GET", "/shop/%00", "shop"},
    {"GET", "/shop%2fstock", NULL},
};

/* Guards against a call that is routed to another service than that of the
 * longest matching prefix. */
START_TEST(route_is_the_longest_prefix)
{
	const struct bg_rule *rule;
	struct bg_service svcs[2];
	struct bg_snapshot *snap;
	int code;

	sample_service(&svcs[0], "a", 1);
	svcs[0].contract.route_count = 0;
	sample_add_route(&svcs[0].contract, "stock", "/shop/stock",
	    BG_METHOD_GET | BG_METHOD_HEAD);
	update_digest(&svcs[0]);
	sample_service(&svcs[1], "b", 1);
	svcs[1].contract.route_count = 0;
	sample_add_route(&svcs[1].contract, "shop", "/shop", BG_METHOD_GET);
	sample_add_route(&svcs[1].contract, "jobs", "/shop", BG_METHOD_POST);
	update_digest(&svcs[1]);
	ck_assert_msg(build(&snap, 1, svcs, 2) == 0, "%s", err.message);

	code = bg_snapshot_route(
	    &rule, snap, "", ROUTES[_i].method, ROUTES[_i].path);
	if (ROUTES[_i].route == NULL) {
		ck_assert_int_eq(code, BG_ENOTFOUND);
	} else if (ROUTES[_i].route[0] == '\0') {
		ck_assert_int_eq(code, BG_EINVAL);
	} else {
		ck_assert_int_eq(code, 0);
		ck_assert_str_eq(rule->name, ROUTES[_i].route);
		ck_assert_uint_eq(rule->target_count, 1);
		ck_assert_str_eq(rule->targets[0].service,
		    strcmp(rule->name, "stock") == 0 ? "a" : "b");
	}
	if (code != 0)
		ck_assert_ptr_null(rule);
	bg_snapshot_release(snap);
}
END_TEST

/* Guards against a buffer overflow by a long path, and against a root route
 * that matches no path. */
START_TEST(root_route_and_long_paths)
{
	const struct bg_rule *rule;
	struct bg_service one;
	struct bg_snapshot *snap;
	char path[9000];

	sample_service(&one, "a", 1);
	strcpy(one.contract.routes[0].prefix, "/");
	update_digest(&one);
	ck_assert_msg(build(&snap, 1, &one, 1) == 0, "%s", err.message);
	ck_assert_int_eq(bg_snapshot_route(&rule, snap, "", "GET", "/x"), 0);
	memset(path, 'x', sizeof(path));
	path[0] = '/';
	path[8191] = '\0';
	ck_assert_int_eq(bg_snapshot_route(&rule, snap, "", "GET", path), 0);
	path[8191] = 'x';
	path[8192] = '\0';
	ck_assert_int_eq(
	    bg_snapshot_route(&rule, snap, "", "GET", path), BG_ENOTFOUND);
	bg_snapshot_release(snap);
}
END_TEST

/* A rule with valid values in the fields that the tests do not check. */
static struct bg_rule
make_rule(const char *name, const char *host, const char *prefix,
    const struct bg_target *targets, size_t count)
{
	struct bg_rule rule = {0};

	rule.name = name;
	rule.host = host;
	rule.prefix = prefix;
	rule.timeout_ms = 1000;
	rule.attempts = 1;
	rule.targets = targets;
	rule.target_count = count;
	return rule;
}

static int
assemble(struct bg_snapshot **out, const struct bg_rule *rules, size_t count)
{
	static struct bg_service svcs[2];
	struct bg_snapshot_draft draft = {0};

	strcpy(svcs[0].head.name, "stock");
	strcpy(svcs[1].head.name, "orders");
	draft.version = 12;
	draft.services = svcs;
	draft.service_count = 2;
	draft.rules = rules;
	draft.rule_count = count;
	draft.limits.max_body_bytes = 4096;
	return bg_snapshot_assemble(out, &draft, &err);
}

static const struct bg_target TO_STOCK[] = {{"stock", 1}};
static const struct bg_target TO_BOTH[] = {{"orders", 30}, {"stock", 70}};

static const struct {
	const char *host;
	const char *path;
	const char *rule; /* NULL: not found */
} HOSTS[] = {
    {"a.example", "/x/1", "a-x"},
    {"a.example", "/x/deep/1", "a-deep"},
    {"a.example", "/x/deep", "a-x"},
    {"a.example", "/x", NULL},
    {"a.example", "/xy/1", NULL},
    {"b.example", "/x/1", "b-x"},
    {"b.example", "/x/deep/1", "b-x"},
    /* A rule of any host applies if no rule of the host matches. */
    {"a.example", "/any/1", "any"},
    {"c.example", "/x/1", NULL},
    {"c.example", "/any/1", "any"},
    {"", "/any/1", "any"},
    {"", "/x/1", NULL},
};

/* Guards against a call that matches a rule of another host, and against a
 * prefix that matches a part of a segment. */
START_TEST(host_and_prefix_select_the_rule)
{
	struct bg_rule rules[] = {
	    make_rule("b-x", "b.example", "/x/", TO_STOCK, 1),
	    make_rule("any", "", "/any/", TO_STOCK, 1),
	    make_rule("a-deep", "a.example", "/x/deep/", TO_STOCK, 1),
	    make_rule("a-x", "a.example", "/x/", TO_STOCK, 1),
	};
	const struct bg_rule *rule;
	struct bg_snapshot *snap;
	int code;

	ck_assert_msg(assemble(&snap, rules, 4) == 0, "%s", err.message);
	code = bg_snapshot_route(
	    &rule, snap, HOSTS[_i].host, "GET", HOSTS[_i].path);
	if (HOSTS[_i].rule == NULL) {
		ck_assert_int_eq(code, BG_ENOTFOUND);
	} else {
		ck_assert_int_eq(code, 0);
		ck_assert_str_eq(rule->name, HOSTS[_i].rule);
	}
	bg_snapshot_release(snap);
}
END_TEST

/* Guards against a snapshot that keeps pointers into its draft, and against
 * fields of rules and targets that are lost. */
START_TEST(assembled_rules_are_copies)
{
	struct bg_rule rules[1] = {
	    make_rule("r", "h.example", "/p/", TO_BOTH, 2)};
	const struct bg_rule *rule;
	struct bg_snapshot *snap;
	char name[] = "short-lived";

	rules[0].name = name;
	rules[0].priority = 3;
	rules[0].target_ms = 400;
	rules[0].attempts = 2;
	ck_assert_int_eq(assemble(&snap, rules, 1), 0);
	memset(name, 'x', sizeof(name) - 1);
	memset(rules, 0, sizeof(rules));
	ck_assert_uint_eq(snap->version, 12);
	ck_assert_uint_eq(snap->limits.max_body_bytes, 4096);
	ck_assert_int_eq(
	    bg_snapshot_route(&rule, snap, "h.example", "PUT", "/p/1"), 0);
	ck_assert_str_eq(rule->name, "short-lived");
	ck_assert_uint_eq(rule->priority, 3);
	ck_assert_uint_eq(rule->target_ms, 400);
	ck_assert_uint_eq(rule->attempts, 2);
	ck_assert_uint_eq(rule->target_count, 2);
	ck_assert_str_eq(rule->targets[0].service, "orders");
	ck_assert_uint_eq(rule->targets[0].weight, 30);
	ck_assert_str_eq(rule->targets[1].service, "stock");
	ck_assert_uint_eq(rule->targets[1].weight, 70);
	bg_snapshot_release(snap);
}
END_TEST

/* Guards against rules that are put in force without a usable target, timeout
 * or prefix, or although they conflict. */
START_TEST(assembly_is_refused_as_a_whole)
{
	static const struct bg_target missing[] = {{"printing", 1}};
	static const struct bg_target weightless[] = {{"stock", 0}};
	struct bg_rule rules[] = {
	    make_rule("one", "h", "/p/", TO_STOCK, 1),
	    make_rule("two", "h", "/q/", TO_STOCK, 1),
	};
	struct bg_snapshot *snap;

	ck_assert_int_eq(assemble(&snap, rules, 2), 0);
	bg_snapshot_release(snap);
	rules[1].prefix = "/p/";
	ck_assert_int_eq(assemble(&snap, rules, 2), BG_EINVAL);
	ck_assert_ptr_null(snap);
	rules[1].host = "g";
	ck_assert_int_eq(assemble(&snap, rules, 2), 0);
	bg_snapshot_release(snap);
	rules[1].targets = missing;
	ck_assert_int_eq(assemble(&snap, rules, 2), BG_EINVAL);
	ck_assert_ptr_nonnull(strstr(err.message, "printing"));
	rules[1].targets = weightless;
	ck_assert_int_eq(assemble(&snap, rules, 2), BG_EINVAL);
	rules[1].targets = TO_STOCK;
	rules[1].timeout_ms = 0;
	ck_assert_int_eq(assemble(&snap, rules, 2), BG_EINVAL);
	rules[1].timeout_ms = 1;
	rules[1].attempts = 0;
	ck_assert_int_eq(assemble(&snap, rules, 2), BG_EINVAL);
	rules[1].attempts = 1;
	rules[1].prefix = "p/";
	ck_assert_int_eq(assemble(&snap, rules, 2), BG_EINVAL);
}
END_TEST

/* Guards against rules that conflict unnoticed because another rule stands
 * between them in the sort order. */
START_TEST(conflict_is_found_across_other_rules)
{
	struct bg_rule rules[] = {
	    make_rule("a", "h", "/p", TO_STOCK, 1),
	    make_rule("b", "h", "/p/", TO_STOCK, 1),
	    make_rule("c", "h", "/p", TO_STOCK, 1),
	};
	struct bg_snapshot *snap;

	ck_assert_int_eq(assemble(&snap, rules, 3), BG_EINVAL);
	ck_assert_int_eq(assemble(&snap, rules, 2), 0);
	bg_snapshot_release(snap);
	rules[1].prefix = "/p";
	rules[0].methods = rules[2].methods = BG_METHOD_GET;
	rules[1].methods = BG_METHOD_POST;
	ck_assert_int_eq(assemble(&snap, rules, 3), BG_EINVAL);
	rules[2].methods = BG_METHOD_PUT;
	ck_assert_int_eq(assemble(&snap, rules, 3), 0);
	bg_snapshot_release(snap);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("snapshot");

	tcase_add_test(tc, head_keeps_services_sorted_and_unique);
	tcase_add_test(tc, head_is_unchanged_by_encoding);
	tcase_add_test(tc, head_refuses_numbers_above_the_range);
	tcase_add_test(tc, head_digest_covers_name_changed_and_digest);
	tcase_add_test(tc, snapshot_is_a_sorted_copy_with_references);
	tcase_add_test(tc, snapshot_without_services_is_valid);
	tcase_add_test(tc, snapshot_is_refused_as_a_whole);
	tcase_add_loop_test(tc, route_is_the_longest_prefix, 0,
	    (int)(sizeof(ROUTES) / sizeof(ROUTES[0])));
	tcase_add_test(tc, root_route_and_long_paths);
	tcase_add_loop_test(tc, host_and_prefix_select_the_rule, 0,
	    (int)(sizeof(HOSTS) / sizeof(HOSTS[0])));
	tcase_add_test(tc, assembled_rules_are_copies);
	tcase_add_test(tc, assembly_is_refused_as_a_whole);
	tcase_add_test(tc, conflict_is_found_across_other_rules);
	return run_suite("snapshot", tc);
}
