#include <stdlib.h>
#include <string.h>

#include "burdockgrade/mesh.h"

#include "status/cold.h"
#include "suite.h"

#define NOW_MS 1790000000000ULL

static struct bg_service services[2];
static struct bg_snapshot snap;
static struct bg_member members[2];
static struct bg_roster roster;
static char *text;

static void
setup(void)
{
	memset(services, 0, sizeof(services));
	memset(members, 0, sizeof(members));
	snprintf(services[0].head.name, BG_NAME_BYTES, "atelier");
	services[0].warmup_ms = 3000;
	services[0].warmup_milli_per_s = 7200;
	snprintf(services[1].head.name, BG_NAME_BYTES, "catalogue");
	services[1].warmup_ms = 3000;
	snap.services = services;
	snap.service_count = 2;
	roster.members = members;
	roster.member_count = 2;
}

static void
add_server(int i, const char *service, uint64_t age_ms)
{
	snprintf(members[i].service, BG_NAME_BYTES, "%s", service);
	snprintf(members[i].address, BG_ADDRESS_BYTES, "10.0.0.%d:1", i);
	snprintf(members[i].data_centre, BG_NAME_BYTES, "bureau");
	members[i].state = BG_MEMBER_READY;
	members[i].server_started_ms = NOW_MS - age_ms;
}

static const char *
print(void)
{
	size_t bytes;
	FILE *fp;

	free(text);
	fp = open_memstream(&text, &bytes);
	bg_status_print_cold(fp, &snap, &roster, NOW_MS);
	fclose(fp);
	return text;
}

/* Guards against a ramp that the status does not show. */
START_TEST(server_in_its_warmup_is_named)
{
	add_server(0, "atelier", 1000);
	add_server(1, "atelier", 3000);
	ck_assert_str_eq(
	    print(), "# cold atelier node=10.0.0.0:1 dc=bureau left=2000ms\n");
}
END_TEST

/* Guards against a script that reads the JSON and does not see the ramp. */
START_TEST(server_in_its_warmup_is_in_the_json)
{
	const char *node;
	json_int_t left_ms;
	json_t *cold;

	add_server(0, "atelier", 1000);
	add_server(1, "catalogue", 1000);
	cold = bg_status_cold_json(&snap, &roster, NOW_MS);
	ck_assert_uint_eq(json_array_size(cold), 1);
	ck_assert_int_eq(json_unpack(json_array_get(cold, 0), "{s:s, s:I}",
			     "node", &node, "left_ms", &left_ms),
	    0);
	ck_assert_str_eq(node, "10.0.0.0:1");
	ck_assert_int_eq(left_ms, 2000);
	json_decref(cold);
}
END_TEST

/* Guards against comments for deployments without a rate, and for services and
 * starts that are not known. */
START_TEST(other_servers_are_not_named)
{
	add_server(0, "catalogue", 1000);
	add_server(1, "expedition", 1000);
	ck_assert_str_eq(print(), "");
	add_server(0, "atelier", 1000);
	members[0].server_started_ms = NOW_MS + 1;
	ck_assert_str_eq(print(), "");
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("cold status");
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, server_in_its_warmup_is_named);
	tcase_add_test(tc, server_in_its_warmup_is_in_the_json);
	tcase_add_test(tc, other_servers_are_not_named);
	failed = run_suite("cold status", tc);
	free(text);
	return failed;
}
