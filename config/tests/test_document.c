#include <check.h>
#include <string.h>

#include "burdockgrade/document.h"

#include "sample.h"
#include "suite.h"

static struct bg_error err;

/* A head of two services, and their contracts in the order of the head. */
static void
fill_sample(struct bg_head *head, struct bg_contract contracts[2])
{
	static const char *const names[] = {"catalogue", "orders"};
	struct bg_service svc;
	size_t i;

	bg_head_init(head);
	head->version = 5;
	for (i = 0; i < 2; i++) {
		sample_service(&svc, names[i], 4);
		*bg_head_add(head, names[i]) = svc.head;
		contracts[i] = svc.contract;
	}
}

static json_t *
make_document(void)
{
	struct bg_contract contracts[2];
	struct bg_head head;
	json_t *doc;

	fill_sample(&head, contracts);
	doc = bg_document_build(&head, contracts);
	bg_head_free(&head);
	ck_assert_ptr_nonnull(doc);
	return doc;
}

/* Guards against a head or contract that is changed by writing and reading a
 * document. */
START_TEST(document_keeps_head_and_contracts)
{
	struct bg_contract contracts[2];
	struct bg_contract *got;
	struct bg_head head;
	struct bg_head got_head;
	json_t *doc = make_document();

	fill_sample(&head, contracts);
	ck_assert_int_eq(bg_document_head(&got_head, doc, &err), 0);
	ck_assert_uint_eq(got_head.version, 5);
	ck_assert_uint_eq(bg_head_digest(&got_head), bg_head_digest(&head));
	ck_assert_int_eq(bg_document_contracts(&got, doc, &got_head, &err), 0);
	ck_assert_mem_eq(got, contracts, sizeof(contracts));
	free(got);
	bg_head_free(&got_head);
	bg_head_free(&head);
	json_decref(doc);
}
END_TEST

/* Guards against a valid document that gives no snapshot, or one with other
 * rules than those of its contracts. */
START_TEST(document_gives_a_valid_snapshot)
{
	const struct bg_rule *rule;
	struct bg_snapshot *snap;
	json_t *doc = make_document();

	ck_assert_msg(
	    bg_document_snapshot(&snap, doc, &err) == 0, "%s", err.message);
	ck_assert_uint_eq(snap->version, 5);
	ck_assert_int_eq(
	    bg_snapshot_route(&rule, snap, "", "POST", "/orders/jobs/1"), 0);
	ck_assert_str_eq(rule->targets[0].service, "orders");
	ck_assert_int_eq(rule->is_idempotent, 0);
	bg_snapshot_release(snap);
	json_decref(doc);
}
END_TEST

/* Guards against contracts that are lost when a step of a move replaces the
 * head. */
START_TEST(new_head_keeps_the_contracts)
{
	struct bg_contract contracts[2];
	struct bg_snapshot *snap;
	struct bg_head head;
	json_t *doc = make_document();
	json_t *next;

	fill_sample(&head, contracts);
	head.version = 6;
	next = bg_document_with_head(doc, &head);
	ck_assert_ptr_nonnull(next);
	ck_assert_int_eq(bg_document_snapshot(&snap, next, &err), 0);
	ck_assert_uint_eq(snap->version, 6);
	bg_snapshot_release(snap);
	bg_head_free(&head);
	json_decref(next);
	json_decref(doc);
}
END_TEST

static void
remove_head(json_t *doc)
{
	json_object_del(doc, "head");
}

static void
remove_contract(json_t *doc)
{
	json_object_del(json_object_get(doc, "contracts"), "orders");
}

static void
replace_contract(json_t *doc)
{
	json_t *contracts = json_object_get(doc, "contracts");

	json_object_set(
	    contracts, "orders", json_object_get(contracts, "catalogue"));
}

static void
set_invalid_contracts(json_t *doc)
{
	json_object_set_new(doc, "contracts", json_integer(1));
}

static void
set_invalid_head(json_t *doc)
{
	json_object_set_new(doc, "head", json_string("x"));
}

static void (*const CORRUPTIONS[])(json_t *doc) = {remove_head, remove_contract,
    replace_contract, set_invalid_contracts, set_invalid_head};

/* Guards against a snapshot from a document whose head or contract is missing,
 * belongs to another service or cannot be read. */
START_TEST(corrupted_document_is_refused)
{
	struct bg_snapshot *snap = NULL;
	json_t *doc = make_document();

	CORRUPTIONS[_i](doc);
	ck_assert_int_ne(bg_document_snapshot(&snap, doc, &err), 0);
	ck_assert_ptr_null(snap);
	ck_assert_uint_gt(strlen(err.message), 0);
	json_decref(doc);
}
END_TEST

/* Guards against a crash on a store object without a document, which another
 * program may have written. */
START_TEST(absent_document_is_refused)
{
	struct bg_snapshot *snap;

	ck_assert_int_eq(bg_document_snapshot(&snap, NULL, &err), BG_EPROTO);
	ck_assert_ptr_null(snap);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("document");

	tcase_add_test(tc, document_keeps_head_and_contracts);
	tcase_add_test(tc, document_gives_a_valid_snapshot);
	tcase_add_test(tc, new_head_keeps_the_contracts);
	tcase_add_loop_test(tc, corrupted_document_is_refused, 0,
	    (int)(sizeof(CORRUPTIONS) / sizeof(CORRUPTIONS[0])));
	tcase_add_test(tc, absent_document_is_refused);
	return run_suite("document", tc);
}
