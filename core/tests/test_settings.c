#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "burdockgrade/settings.h"
#include "burdockgrade/toml.h"

#include "suite.h"

static const char COMPLETE[] = "[node]\n"
			       "address = \"127.1.0.1\"\n"
			       "data_centre = \"kgl-a\"\n"
			       "region = \"kigali\"\n"
			       "customer_port = 8000\n"
			       "mesh_port = 7000\n"
			       "[platform]\n"
			       "address = \"127.0.0.1:9000\"\n"
			       "timeout_ms = 500\n"
			       "[server]\n"
			       "address = \"127.1.0.1:8080\"\n"
			       "service = \"orders\"\n"
			       "version = \"2.1\"\n"
			       "slots = 18\n"
			       "connections = 110\n"
			       "probe_path = \"/ready\"\n"
			       "[limits]\n"
			       "body_bytes = 65536\n"
			       "buffered_bytes = 131072\n"
			       "drain_ms = 1000\n"
			       "announce_ms = 0\n"
			       "[headers]\n"
			       "request_id = \"A-Id\"\n"
			       "deadline_ms = \"A-Deadline\"\n"
			       "caller_service = \"A-Caller\"\n"
			       "expected_server = \"A-Expected\"\n"
			       "server_id = \"A-Server\"\n"
			       "not_run = \"A-Not-Run\"\n"
			       "server_load = \"A-Load\"\n"
			       "call_depth = \"A-Depth\"\n"
			       "warmup_left = \"A-Warmup\"\n"
			       "[retry]\n"
			       "share_permille = 200\n"
			       "slack = 60\n"
			       "window_ms = 5000\n"
			       "[moves]\n"
			       "first_share_permille = 100\n"
			       "[quota]\n"
			       "window_ms = 4000\n"
			       "share_permille = 110\n"
			       "slack = 21\n"
			       "shares = 6\n"
			       "groups = 16\n"
			       "[log]\n"
			       "level = \"debug\"\n";

static char path[64];
static struct bg_settings set;
static struct bg_error err;
static char *report;

static void
write_file(const char *text, size_t text_bytes)
{
	FILE *fp;
	int fd;

	snprintf(path, sizeof(path), "/tmp/bg-settings-XXXXXX");
	fd = mkstemp(path);
	ck_assert_int_ge(fd, 0);
	fp = fdopen(fd, "w");
	ck_assert_ptr_nonnull(fp);
	ck_assert_uint_eq(fwrite(text, 1, text_bytes, fp), text_bytes);
	fclose(fp);
}

static int
load_bytes(const char *text, size_t text_bytes)
{
	int error;

	free(report);
	memset(&err, 0, sizeof(err));
	write_file(text, text_bytes);
	error = bg_settings_load_report(&set, &report, path, &err);
	unlink(path);
	return error;
}

static int
load(const char *text)
{
	return load_bytes(text, strlen(text));
}

/* Asserts that the report has the line "PATH:" followed by this text. */
static void
expect_line(const char *line)
{
	char full_line[512];

	snprintf(full_line, sizeof(full_line), "%s:%s\n", path, line);
	ck_assert_ptr_nonnull(report);
	ck_assert_msg(strstr(report, full_line) != NULL,
	    "no line \"%s\" in:\n%s", full_line, report);
}

static size_t
count_lines(void)
{
	size_t lines = 0;
	const char *c;

	for (c = report; c != NULL && *c != '\0'; c++)
		lines += *c == '\n';
	return lines;
}

/* Guards against a key that is ignored or stored in the wrong field. */
START_TEST(complete_file_sets_every_field)
{
	ck_assert_msg(load(COMPLETE) == 0, "%s", err.message);
	ck_assert_ptr_null(report);
	ck_assert_str_eq(set.node.address, "127.1.0.1");
	ck_assert_str_eq(set.node.data_centre, "kgl-a");
	ck_assert_str_eq(set.node.region, "kigali");
	ck_assert_uint_eq(set.node.customer_port, 8000);
	ck_assert_uint_eq(set.node.mesh_port, 7000);
	ck_assert_str_eq(set.node.advertise, "127.1.0.1:7000");
	ck_assert_str_eq(set.platform.address, "127.0.0.1:9000");
	ck_assert_uint_eq(set.platform.timeout_ms, 500);
	ck_assert_str_eq(set.server.address, "127.1.0.1:8080");
	ck_assert_str_eq(set.server.service, "orders");
	ck_assert_str_eq(set.server.version, "2.1");
	ck_assert_uint_eq(set.server.slots, 18);
	ck_assert_uint_eq(set.server.connections, 110);
	ck_assert_str_eq(set.server.probe_path, "/ready");
	ck_assert_uint_eq(set.limits.body_bytes, 65536);
	ck_assert_uint_eq(set.limits.buffered_bytes, 131072);
	ck_assert_uint_eq(set.limits.drain_ms, 1000);
	ck_assert_uint_eq(set.limits.announce_ms, 0);
	ck_assert_str_eq(set.headers.request_id, "A-Id");
	ck_assert_str_eq(set.headers.deadline_ms, "A-Deadline");
	ck_assert_str_eq(set.headers.caller_service, "A-Caller");
	ck_assert_str_eq(set.headers.expected_server, "A-Expected");
	ck_assert_str_eq(set.headers.server_id, "A-Server");
	ck_assert_str_eq(set.headers.not_run, "A-Not-Run");
	ck_assert_str_eq(set.headers.server_load, "A-Load");
	ck_assert_str_eq(set.headers.call_depth, "A-Depth");
	ck_assert_str_eq(set.headers.warmup_left, "A-Warmup");
	ck_assert_uint_eq(set.retry.share_permille, 200);
	ck_assert_uint_eq(set.retry.slack, 60);
	ck_assert_uint_eq(set.retry.window_ms, 5000);
	ck_assert_uint_eq(set.move.first_share_permille, 100);
	ck_assert_uint_eq(set.quota.window_ms, 4000);
	ck_assert_uint_eq(set.quota.share_permille, 110);
	ck_assert_uint_eq(set.quota.slack, 21);
	ck_assert_uint_eq(set.quota.shares, 6);
	ck_assert_uint_eq(set.quota.groups, 16);
	ck_assert_str_eq(set.log.level, "debug");
}
END_TEST

/* Guards against settings that have no default if the file omits them. */
START_TEST(minimal_file_gets_defaults)
{
	ck_assert_int_eq(load("node = { address = \"127.0.0.1\", "
			      "data_centre = \"a\" }\n"
			      "platform.address = \"127.0.0.1:1\"\n"),
	    0);
	ck_assert_str_eq(set.node.region, "default");
	ck_assert_str_eq(set.node.advertise, "");
	ck_assert_str_eq(set.server.address, "");
	ck_assert_uint_eq(set.platform.timeout_ms, 2000);
	ck_assert_str_eq(set.headers.request_id, "X-Request-Id");
	ck_assert_uint_eq(set.retry.share_permille, 100);
	ck_assert_uint_eq(set.retry.slack, 30);
	ck_assert_uint_eq(set.retry.window_ms, 10000);
	ck_assert_uint_eq(set.move.first_share_permille, 50);
	ck_assert_uint_eq(set.quota.window_ms, 0);
	ck_assert_uint_eq(set.quota.shares, 3);
	ck_assert_uint_eq(set.quota.groups, 4);
	ck_assert_uint_eq(set.limits.body_bytes, 1024 * 1024);
	ck_assert_uint_eq(set.limits.buffered_bytes, 64 * 1024 * 1024);
	ck_assert_uint_eq(set.limits.drain_ms, 30000);
	ck_assert_str_eq(set.log.level, "info");
}
END_TEST

/* Guards against a report that stops at the first error or omits an error. */
START_TEST(all_errors_are_reported_with_line_and_key)
{
	ck_assert_int_eq(load("[node]\n"
			      "address = \"localhost\"\n"
			      "data_centre = \"a/b\"\n"
			      "mesh_port = 70000\n"
			      "colour = \"red\"\n"
			      "[platform]\n"
			      "address = \"127.0.0.1\"\n"
			      "timeout_ms = \"fast\"\n"
			      "[server]\n"
			      "service = \"s\"\nversion = \"1\"\n"
			      "address = \"127.0.0.1:0\"\n"
			      "slots = 1\nconnections = 1\n"
			      "[headers]\n"
			      "request_id = \"a b\"\n"
			      "[retry]\n"
			      "share_permille = 1001\n"
			      "[log]\n"
			      "level = \"loud\"\n"
			      "[extra]\n"),
	    BG_EINVAL);
	expect_line("2: node.address: expected an IPv4 address such as "
		    "\"10.0.0.1\", found \"localhost\"");
	expect_line("3: node.data_centre: expected letters, digits, '-', '_' "
		    "and '.', found \"a/b\"");
	expect_line("4: node.mesh_port: expected an integer from 0 to 65535, "
		    "found 70000");
	expect_line("5: node.colour: expected no such key");
	expect_line("7: platform.address: expected an IPv4 address and port "
		    "such as \"10.0.0.1:7000\", found \"127.0.0.1\"");
	expect_line("8: platform.timeout_ms: expected an integer from 10 to "
		    "60000, found \"fast\"");
	expect_line(
	    "12: server.address: expected an IPv4 address and port such "
	    "as \"10.0.0.1:7000\", found \"127.0.0.1:0\"");
	expect_line("16: headers.request_id: expected letters, digits and "
		    "'-', found \"a b\"");
	expect_line("18: retry.share_permille: expected an integer from 0 to "
		    "1000, found 1001");
	expect_line("20: log.level: expected one of \"error\", \"warn\", "
		    "\"info\", \"debug\", found \"loud\"");
	expect_line("21: extra: expected no such key");
	ck_assert_uint_eq(count_lines(), 11);
	/* The message of fixed size has whole lines, then a count. */
	ck_assert_ptr_nonnull(strstr(err.message, "node.address"));
	ck_assert_ptr_nonnull(strstr(err.message, " more"));
}
END_TEST

/* Guards against a backend server without address or version, or with limits of
 * 0. */
START_TEST(server_keys_are_required_together)
{
	ck_assert_int_eq(load("[node]\naddress = \"127.0.0.1\"\n"
			      "data_centre = \"a\"\n"
			      "[platform]\naddress = \"127.0.0.1:1\"\n"
			      "[server]\nservice = \"orders\"\n"
			      "connections = 3\n"),
	    BG_EINVAL);
	expect_line("6: server.address: expected a string, found no such key");
	expect_line("6: server.version: expected a string, found no such key");
	expect_line("6: server.slots: expected an integer from 1 to 10000, "
		    "found no such key");
	ck_assert_uint_eq(count_lines(), 3);
}
END_TEST

/* Guards against settings that contradict each other. */
START_TEST(conflicting_values_name_both_keys)
{
	ck_assert_int_eq(load("[node]\naddress = \"127.0.0.1\"\n"
			      "data_centre = \"a\"\n"
			      "customer_port = 7\nmesh_port = 7\n"
			      "[platform]\naddress = \"127.0.0.1:1\"\n"
			      "[server]\naddress = \"127.0.0.1:80\"\n"
			      "service = \"s\"\nversion = \"1\"\n"
			      "slots = 9\nconnections = 8\n"
			      "[limits]\nbody_bytes = 4096\n"
			      "buffered_bytes = 8191\n"),
	    BG_EINVAL);
	expect_line("5: node.mesh_port: expected another port than "
		    "node.customer_port, found 7");
	expect_line("13: server.connections: expected at least server.slots "
		    "(9), found 8");
	expect_line("16: limits.buffered_bytes: expected at least twice "
		    "limits.body_bytes (4096), found 8191");
	ck_assert_uint_eq(count_lines(), 3);
}
END_TEST

/* Guards against a node that has no source of configuration. */
START_TEST(platform_is_required)
{
	ck_assert_int_eq(
	    load("[node]\naddress = \"127.0.0.1\"\ndata_centre = \"a\"\n"),
	    BG_EINVAL);
	expect_line("1: platform: expected a table, found no such key");
}
END_TEST

static const struct {
	const char *text;
	const char *line;
} BLANK_FILES[] = {
    {"", "1: file: expected TOML keys, found an empty file"},
    {" \n\t\r\n", "1: file: expected TOML keys, found an empty file"},
};

/* Guards against a list of missing keys if the whole file is blank. */
START_TEST(blank_files_give_one_error)
{
	ck_assert_int_eq(
	    load_bytes(BLANK_FILES[_i].text, strlen(BLANK_FILES[_i].text)),
	    BG_EINVAL);
	expect_line(BLANK_FILES[_i].line);
	ck_assert_uint_eq(count_lines(), 1);
}
END_TEST

/* Guards against settings with bytes that are not UTF-8. */
START_TEST(invalid_utf8_is_rejected_with_its_line)
{
	char prefix[128];

	ck_assert_int_eq(
	    load("[node]\naddress = \"127.0.0.\xff\"\n"), BG_EINVAL);
	snprintf(prefix, sizeof(prefix),
	    "%s:2: file: expected TOML in UTF-8, found: ", path);
	ck_assert_msg(strstr(report, prefix) == report, "%s", report);
	ck_assert_uint_eq(count_lines(), 1);
}
END_TEST

/* Guards against accepting a syntax error, a duplicate key or a NUL byte. */
START_TEST(syntax_errors_report_their_line)
{
	static const struct {
		const char *text;
		size_t bytes;
		const char *line;
	} cases[] = {
	    {"[node\n", 6, ":1: file: expected TOML"},
	    {"a = 1\na = 2\n", 12, ":2: file: expected TOML"},
	    {"a = 1\n\0b = 2\n", 13, ":2: file: expected TOML"},
	};

	ck_assert_int_eq(
	    load_bytes(cases[_i].text, cases[_i].bytes), BG_EINVAL);
	ck_assert_msg(strstr(report, cases[_i].line) != NULL, "%s", report);
	ck_assert_uint_eq(count_lines(), 1);
}
END_TEST

/* Guards against undefined behaviour of toml++ 3.3.0, which reaches code marked
 * as unreachable on letters from U+00A1 to U+0499 outside strings; found by
 * fuzzing. */
START_TEST(non_ascii_letters_outside_strings_are_rejected)
{
	static const char *const texts[] = {"b\xc3\xa9 = 1\n", "pa \xd0\xa3\n",
	    "a = \xc3\xa9\n", "a = 1 \xe3\x81\x81\n", "a = 1 \xef\xb9\xb0\n"};
	char prefix[128];

	ck_assert_int_eq(load(texts[_i]), BG_EINVAL);
	snprintf(prefix, sizeof(prefix), "%s:1: file: expected TOML", path);
	ck_assert_msg(strstr(report, prefix) == report, "%s", report);
}
END_TEST

/* Guards against rejecting non-ASCII letters in comments and strings, for
 * example in names of places. */
START_TEST(non_ascii_letters_in_comments_and_strings_are_accepted)
{
	struct bg_toml *doc;
	char text[32];
	const char *toml = "# Moustiquaires B\xc3\xa9langer\n"
			   "x = \"Montr\xc3\xa9"
			   "al\"\n";

	ck_assert_int_eq(bg_toml_parse(&doc, "f", toml, strlen(toml)), 0);
	ck_assert_int_eq(bg_toml_string(text, sizeof(text), doc,
			     bg_toml_root(doc), "x", BG_TOML_REQUIRED),
	    1);
	ck_assert_str_eq(text,
	    "Montr\xc3\xa9"
	    "al");
	ck_assert_int_eq(bg_toml_finish(doc, &err), 0);
	bg_toml_free(doc);
}
END_TEST

/* Guards against a string with an escaped NUL, which C code would truncate. */
START_TEST(control_characters_in_strings_are_rejected)
{
	ck_assert_int_eq(load("[node]\naddress = \"127.0.0.1\\u0000x\"\n"
			      "data_centre = \"a\"\n"
			      "[platform]\naddress = \"127.0.0.1:1\"\n"),
	    BG_EINVAL);
	expect_line("2: node.address: expected a string of 1 to 63 bytes "
		    "without control characters, found \"127.0.0.1?x\"");
}
END_TEST

/* Guards against reading files of unlimited size. The limit is exact. */
START_TEST(file_size_is_limited)
{
	size_t bytes = BG_TOML_MAX_BYTES + 1;
	char *text = malloc(bytes);

	memset(text, '\n', bytes);
	text[0] = 'a';
	text[1] = '=';
	text[2] = '1';
	ck_assert_int_eq(load_bytes(text, bytes), BG_EINVAL);
	expect_line("1: file: expected at most 1 MiB, found more");
	ck_assert_uint_eq(count_lines(), 1);
	ck_assert_int_eq(load_bytes(text, bytes - 1), BG_EINVAL);
	expect_line("1: a: expected no such key");
	free(text);
}
END_TEST

/* Guards against reporting a file that cannot be read as an invalid one. */
START_TEST(unreadable_file_is_an_io_error)
{
	ck_assert_int_eq(
	    bg_settings_load(&set, "/nonexistent/x.toml", &err), BG_EIO);
	ck_assert_str_eq(err.message,
	    "/nonexistent/x.toml: file: expected a readable file, found: No "
	    "such file or directory");
	/* Opening a directory succeeds, reading it fails. */
	ck_assert_int_eq(bg_settings_load(&set, "/tmp", &err), BG_EIO);
}
END_TEST

/* Guards against a stack overflow on deeply nested brackets. */
START_TEST(deep_nesting_is_rejected)
{
	char text[20000];

	memset(text, '[', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	text[0] = 'a';
	text[1] = '=';
	ck_assert_int_eq(load(text), BG_EINVAL);
	ck_assert_uint_eq(count_lines(), 1);
}
END_TEST

static size_t
append_dotted_key(char *out, size_t parts)
{
	size_t len = 0;

	out[len++] = 'a';
	while (--parts > 0) {
		out[len++] = '.';
		out[len++] = 'a';
	}
	return len;
}

/* Guards against a stack overflow when tables nested by a dotted key are freed.
 * A key of 500,000 parts crashed the process. */
START_TEST(deep_dotted_keys_are_rejected)
{
	size_t bytes = BG_TOML_MAX_BYTES - 16;
	char *text = malloc(bytes + 16);
	size_t len = 0;

	text[len++] = '\n';
	if (_i == 1)
		text[len++] = '[';
	len += append_dotted_key(text + len, bytes / 2);
	text[len++] = _i == 1 ? ']' : '=';
	text[len++] = '1';
	ck_assert_int_eq(load_bytes(text, len), BG_EINVAL);
	expect_line("2: file: expected at most 32 dots in a key or text, "
		    "found more");
	free(text);
}
END_TEST

/* Guards against a stack overflow when the deepest nesting is freed that the
 * limits of dots and of brackets allow together. */
START_TEST(deepest_allowed_nesting_is_freed)
{
	const size_t brackets = 254;
	char *text = malloc(brackets * 128);
	size_t len = 0;
	size_t i;

	for (i = 0; i < brackets; i++) {
		if (i > 0)
			text[len++] = '{';
		len += append_dotted_key(text + len, 33);
		text[len++] = '=';
	}
	text[len++] = '1';
	for (i = 1; i < brackets; i++)
		text[len++] = '}';
	ck_assert_int_eq(load_bytes(text, len), BG_EINVAL);
	expect_line("1: a: expected no such key");
	free(text);
}
END_TEST

/* Guards against taking a comment with a line of dots for a dotted key. */
START_TEST(dots_in_comment_lines_are_accepted)
{
	ck_assert_int_eq(
	    load("  # .............................................."
		 "\n#................................. node\n"
		 "node = { address = \"127.0.0.1\", "
		 "data_centre = \"a\" }\n"
		 "platform.address = \"127.0.0.1:1\"\n"),
	    0);
}
END_TEST

/* Guards against an objective that is changed by rounding, and against NaN. */
START_TEST(scaled_numbers_are_exact)
{
	static const struct {
		const char *text;
		int valid;
		uint32_t value;
	} cases[] = {
	    {"x = 99.9\n", 1, 9990},
	    {"x = 99.99\n", 1, 9999},
	    {"x = 99\n", 1, 9900},
	    {"x = 99.995\n", 0, 0},
	    {"x = 100.01\n", 0, 0},
	    {"x = nan\n", 0, 0},
	    {"x = -inf\n", 0, 0},
	    {"x = 9223372036854775807\n", 0, 0},
	    {"x = \"99\"\n", 0, 0},
	};
	struct bg_toml *doc;
	uint32_t value = 0;

	ck_assert_int_eq(
	    bg_toml_parse(&doc, "f", cases[_i].text, strlen(cases[_i].text)),
	    0);
	ck_assert_int_eq(bg_toml_scaled(&value, doc, bg_toml_root(doc), "x",
			     100, 5000, 10000, BG_TOML_REQUIRED),
	    cases[_i].valid);
	ck_assert_uint_eq(value, cases[_i].value);
	ck_assert_int_eq(
	    bg_toml_finish(doc, &err), cases[_i].valid ? 0 : BG_EINVAL);
	bg_toml_free(doc);
}
END_TEST

int
main(void)
{
	TCase *tc = tcase_create("settings");
	int failed;

	tcase_add_test(tc, complete_file_sets_every_field);
	tcase_add_test(tc, minimal_file_gets_defaults);
	tcase_add_test(tc, all_errors_are_reported_with_line_and_key);
	tcase_add_test(tc, server_keys_are_required_together);
	tcase_add_test(tc, conflicting_values_name_both_keys);
	tcase_add_test(tc, platform_is_required);
	tcase_add_loop_test(tc, blank_files_give_one_error, 0, 2);
	tcase_add_test(tc, invalid_utf8_is_rejected_with_its_line);
	tcase_add_loop_test(tc, syntax_errors_report_their_line, 0, 3);
	tcase_add_loop_test(
	    tc, non_ascii_letters_outside_strings_are_rejected, 0, 5);
	tcase_add_test(
	    tc, non_ascii_letters_in_comments_and_strings_are_accepted);
	tcase_add_test(tc, control_characters_in_strings_are_rejected);
	tcase_add_test(tc, file_size_is_limited);
	tcase_add_test(tc, unreadable_file_is_an_io_error);
	tcase_add_test(tc, deep_nesting_is_rejected);
	tcase_add_loop_test(tc, deep_dotted_keys_are_rejected, 0, 2);
	tcase_add_test(tc, deepest_allowed_nesting_is_freed);
	tcase_add_test(tc, dots_in_comment_lines_are_accepted);
	tcase_add_loop_test(tc, scaled_numbers_are_exact, 0, 9);
	failed = run_suite("settings", tc);
	free(report);
	return failed;
}
