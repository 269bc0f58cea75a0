#include <arpa/inet.h>
#include <ctype.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burdockgrade/settings.h"
#include "burdockgrade/toml.h"

#define DEFAULT_PLATFORM_TIMEOUT_MS 2000
#define PLATFORM_TIMEOUT_MIN_MS 10
#define PLATFORM_TIMEOUT_MAX_MS 60000
/* A slot is a running call. A larger number is taken for a typing error. */
#define SLOTS_MAX 10000
#define CONNECTIONS_MAX 10000
#define LINK_MAX_MBPS 400000
#define DEFAULT_BODY_BYTES (1024 * 1024)
#define BODY_MIN_BYTES 1024
#define BODY_MAX_BYTES (16 * 1024 * 1024)
#define DEFAULT_BUFFERED_BYTES (64 * 1024 * 1024)
/* Leaves room for the rest of the node, which may use 256 MB in total
 * (docs/design.md, section 1.3). */
#define BUFFERED_MAX_BYTES (192 * 1024 * 1024)
#define DEFAULT_DRAIN_MS 30000
#define DRAIN_MAX_MS 600000
/* An announcement reaches every node within 2 s of its confirmation. */
#define DEFAULT_ANNOUNCE_MS 2000
#define ANNOUNCE_MAX_MS 60000

/* Up to a tenth of the calls may be retries. */
#define DEFAULT_RETRY_PERMILLE 100
/* Retries of all nodes in a window that are allowed in addition, so that a
 * service with few calls can be retried. */
#define DEFAULT_RETRY_SLACK 30
#define DEFAULT_RETRY_WINDOW_MS 10000
#define RETRY_PERMILLE_MAX 1000
#define RETRY_SLACK_MAX 100000
#define RETRY_WINDOW_MIN_MS 1000
#define RETRY_WINDOW_MAX_MS 600000
#define DEFAULT_FIRST_SHARE_PERMILLE 50
/* An unproven version gets at most half of the calls. */
#define FIRST_SHARE_PERMILLE_MAX 500

/* One share of each cap for each data centre of a usual deployment. */
#define DEFAULT_QUOTA_SHARES 3
#define QUOTA_SHARES_MAX 16
/* Owners that divide the organisations of a data centre, so that none has to
 * answer all nodes for all of them. */
#define DEFAULT_QUOTA_GROUPS 4
#define QUOTA_GROUPS_MAX 64
#define QUOTA_WINDOW_MAX_MS 600000
#define QUOTA_PERMILLE_MAX 1000
#define QUOTA_SLACK_MAX 1000000

static const char *const LOG_LEVELS[] = {
    "error", "warn", "info", "debug", NULL};

static void
init_headers(struct bg_header_names *out)
{
	snprintf(out->request_id, sizeof(out->request_id), "X-Request-Id");
	snprintf(out->deadline_ms, sizeof(out->deadline_ms), "X-Deadline-Ms");
	snprintf(out->caller_service, sizeof(out->caller_service),
	    "Burdock-Caller-Service");
	snprintf(out->expected_server, sizeof(out->expected_server),
	    "Burdock-Expected-Server");
	snprintf(out->server_id, sizeof(out->server_id), "Burdock-Server-Id");
	snprintf(out->not_run, sizeof(out->not_run), "X-Shed");
	snprintf(out->server_load, sizeof(out->server_load), "X-Server-Load");
	snprintf(out->call_depth, sizeof(out->call_depth), "X-Call-Depth");
}

void
bg_settings_init(struct bg_settings *out)
{
	memset(out, 0, sizeof(*out));
	snprintf(out->node.region, sizeof(out->node.region), "default");
	out->platform.timeout_ms = DEFAULT_PLATFORM_TIMEOUT_MS;
	snprintf(
	    out->server.probe_path, sizeof(out->server.probe_path), "/health");
	out->limits.body_bytes = DEFAULT_BODY_BYTES;
	out->limits.buffered_bytes = DEFAULT_BUFFERED_BYTES;
	out->limits.drain_ms = DEFAULT_DRAIN_MS;
	out->limits.announce_ms = DEFAULT_ANNOUNCE_MS;
	init_headers(&out->headers);
	out->retry.share_permille = DEFAULT_RETRY_PERMILLE;
	out->retry.slack = DEFAULT_RETRY_SLACK;
	out->retry.window_ms = DEFAULT_RETRY_WINDOW_MS;
	out->move.first_share_permille = DEFAULT_FIRST_SHARE_PERMILLE;
	out->quota.shares = DEFAULT_QUOTA_SHARES;
	out->quota.groups = DEFAULT_QUOTA_GROUPS;
	snprintf(out->log.level, sizeof(out->log.level), "info");
}

static int
is_ip(const char *text)
{
	struct in_addr addr;

	return inet_pton(AF_INET, text, &addr) == 1;
}

/* Port 0 is not accepted, since this is an address to connect to. */
static int
is_ip_port(const char *text)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	size_t digits;
	long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return 0;
	digits = strspn(colon + 1, "0123456789");
	if (digits == 0 || digits > 5 || colon[1 + digits] != '\0')
		return 0;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtol(colon + 1, NULL, 10);
	return is_ip(ip) && port > 0 && port <= UINT16_MAX;
}

/* Names become parts of keys and of status lines, which are split at '/' and
 * ' '. */
static int
is_name(const char *text)
{
	for (; *text != '\0'; text++)
		if (!isalnum((unsigned char)*text) &&
		    strchr("-_.", *text) == NULL)
			return 0;
	return 1;
}

static int
is_path(const char *text)
{
	return text[0] == '/' && strpbrk(text, " ?#") == NULL;
}

/* Reads a string that is_valid has to accept; expected describes such strings
 * in the error message. */
static void
read_validated(char out[BG_SETTING_BYTES], struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence, int (*is_valid)(const char *),
    const char *expected)
{
	char text[BG_SETTING_BYTES];

	if (!bg_toml_string(text, sizeof(text), doc, tbl, key, presence))
		return;
	if (!is_valid(text)) {
		bg_toml_fail(
		    doc, tbl, key, "expected %s, found \"%s\"", expected, text);
		return;
	}
	memcpy(out, text, sizeof(text));
}

static void
read_name(char out[BG_SETTING_BYTES], struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence)
{
	read_validated(out, doc, tbl, key, presence, is_name,
	    "letters, digits, '-', '_' and '.'");
}

static void
read_ip_port(char out[BG_SETTING_BYTES], struct bg_toml *doc,
    const struct bg_toml_table *tbl, const char *key,
    enum bg_toml_presence presence)
{
	read_validated(out, doc, tbl, key, presence, is_ip_port,
	    "an IPv4 address and port such as \"10.0.0.1:7000\"");
}

static void
read_port(uint16_t *out, struct bg_toml *doc, const struct bg_toml_table *tbl,
    const char *key)
{
	uint32_t port;

	if (bg_toml_u32(&port, doc, tbl, key, 0, UINT16_MAX, BG_TOML_OPTIONAL))
		*out = (uint16_t)port;
}

static void
read_node(struct bg_settings *set, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	if (tbl == NULL)
		return;
	read_validated(set->node.address, doc, tbl, "address", BG_TOML_REQUIRED,
	    is_ip, "an IPv4 address such as \"10.0.0.1\"");
	read_name(
	    set->node.data_centre, doc, tbl, "data_centre", BG_TOML_REQUIRED);
	read_name(set->node.region, doc, tbl, "region", BG_TOML_OPTIONAL);
	read_port(&set->node.customer_port, doc, tbl, "customer_port");
	read_port(&set->node.mesh_port, doc, tbl, "mesh_port");
	read_ip_port(
	    set->node.advertise, doc, tbl, "advertise", BG_TOML_OPTIONAL);
	if (set->node.customer_port != 0 &&
	    set->node.customer_port == set->node.mesh_port)
		bg_toml_fail(doc, tbl, "mesh_port",
		    "expected another port than node.customer_port, found %u",
		    set->node.mesh_port);
}

static void
read_platform(struct bg_settings *set, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	read_ip_port(
	    set->platform.address, doc, tbl, "address", BG_TOML_REQUIRED);
	bg_toml_u32(&set->platform.timeout_ms, doc, tbl, "timeout_ms",
	    PLATFORM_TIMEOUT_MIN_MS, PLATFORM_TIMEOUT_MAX_MS, BG_TOML_OPTIONAL);
}

/* The table describes one backend server, so all keys without a default are
 * required if it is present. */
static void
read_server(struct bg_settings *set, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	int have_limits;

	if (tbl == NULL)
		return;
	read_ip_port(
	    set->server.address, doc, tbl, "address", BG_TOML_REQUIRED);
	read_name(set->server.service, doc, tbl, "service", BG_TOML_REQUIRED);
	read_name(set->server.version, doc, tbl, "version", BG_TOML_REQUIRED);
	read_validated(set->server.probe_path, doc, tbl, "probe_path",
	    BG_TOML_OPTIONAL, is_path, "a path that starts with '/'");
	have_limits = bg_toml_u32(&set->server.slots, doc, tbl, "slots", 1,
	    SLOTS_MAX, BG_TOML_REQUIRED);
	have_limits &= bg_toml_u32(&set->server.connections, doc, tbl,
	    "connections", 1, CONNECTIONS_MAX, BG_TOML_REQUIRED);
	/* Each running call occupies one connection. */
	if (have_limits && set->server.connections < set->server.slots)
		bg_toml_fail(doc, tbl, "connections",
		    "expected at least server.slots (%u), found %u",
		    set->server.slots, set->server.connections);
}

static void
read_limits(struct bg_settings *set, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	uint32_t buffered_bytes;

	bg_toml_u32(&set->limits.body_bytes, doc, tbl, "body_bytes",
	    BODY_MIN_BYTES, BODY_MAX_BYTES, BG_TOML_OPTIONAL);
	if (bg_toml_u32(&buffered_bytes, doc, tbl, "buffered_bytes",
		BODY_MIN_BYTES, BUFFERED_MAX_BYTES, BG_TOML_OPTIONAL))
		set->limits.buffered_bytes = buffered_bytes;
	/* The bodies of a request and its response are buffered together. */
	if (set->limits.buffered_bytes < 2ULL * set->limits.body_bytes)
		bg_toml_fail(doc, tbl, "buffered_bytes",
		    "expected at least twice limits.body_bytes (%u), found "
		    "%llu",
		    set->limits.body_bytes,
		    (unsigned long long)set->limits.buffered_bytes);
	bg_toml_u32(&set->limits.caller_connections, doc, tbl,
	    "caller_connections", 0, CONNECTIONS_MAX, BG_TOML_OPTIONAL);
	bg_toml_u32(&set->limits.link_mbps, doc, tbl, "link_mbps", 0,
	    LINK_MAX_MBPS, BG_TOML_OPTIONAL);
	bg_toml_u32(&set->limits.drain_ms, doc, tbl, "drain_ms", 0,
	    DRAIN_MAX_MS, BG_TOML_OPTIONAL);
	bg_toml_u32(&set->limits.announce_ms, doc, tbl, "announce_ms", 0,
	    ANNOUNCE_MAX_MS, BG_TOML_OPTIONAL);
}

static int
is_header_name(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!isalnum((unsigned char)*text) && *text != '-')
			return 0;
	}
	return 1;
}

static void
read_headers(struct bg_header_names *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	struct {
		const char *key;
		char *name;
	} keys[] = {
	    {"request_id", out->request_id},
	    {"deadline_ms", out->deadline_ms},
	    {"caller_service", out->caller_service},
	    {"expected_server", out->expected_server},
	    {"server_id", out->server_id},
	    {"not_run", out->not_run},
	    {"server_load", out->server_load},
	    {"call_depth", out->call_depth},
	    {"warmup_left", out->warmup_left},
	};
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		read_validated(keys[i].name, doc, tbl, keys[i].key,
		    BG_TOML_OPTIONAL, is_header_name,
		    "letters, digits and '-'");
}

static void
read_retry(struct bg_retry_settings *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	bg_toml_u32(&out->share_permille, doc, tbl, "share_permille", 0,
	    RETRY_PERMILLE_MAX, BG_TOML_OPTIONAL);
	bg_toml_u32(&out->slack, doc, tbl, "slack", 0, RETRY_SLACK_MAX,
	    BG_TOML_OPTIONAL);
	bg_toml_u32(&out->window_ms, doc, tbl, "window_ms", RETRY_WINDOW_MIN_MS,
	    RETRY_WINDOW_MAX_MS, BG_TOML_OPTIONAL);
}

static void
read_moves(struct bg_move_settings *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	bg_toml_u32(&out->first_share_permille, doc, tbl,
	    "first_share_permille", 1, FIRST_SHARE_PERMILLE_MAX,
	    BG_TOML_OPTIONAL);
}

static void
read_quota(struct bg_quota_settings *out, struct bg_toml *doc,
    const struct bg_toml_table *tbl)
{
	bg_toml_u32(&out->window_ms, doc, tbl, "window_ms", 0,
	    QUOTA_WINDOW_MAX_MS, BG_TOML_OPTIONAL);
	bg_toml_u32(&out->share_permille, doc, tbl, "share_permille", 0,
	    QUOTA_PERMILLE_MAX, BG_TOML_OPTIONAL);
	bg_toml_u32(&out->slack, doc, tbl, "slack", 0, QUOTA_SLACK_MAX,
	    BG_TOML_OPTIONAL);
	bg_toml_u32(&out->shares, doc, tbl, "shares", 1, QUOTA_SHARES_MAX,
	    BG_TOML_OPTIONAL);
	bg_toml_u32(&out->groups, doc, tbl, "groups", 1, QUOTA_GROUPS_MAX,
	    BG_TOML_OPTIONAL);
}

/* Other nodes connect to the node's own address, unless it is behind a proxy
 * and advertises the address of that. */
static void
set_default_advertise(struct bg_settings *set)
{
	if (set->node.advertise[0] == '\0' && set->node.mesh_port != 0)
		snprintf(set->node.advertise, sizeof(set->node.advertise),
		    "%.15s:%u", set->node.address, set->node.mesh_port);
}

static void
read_settings(struct bg_settings *set, struct bg_toml *doc)
{
	const struct bg_toml_table *root = bg_toml_root(doc);
	const struct bg_toml_table *headers;
	const struct bg_toml_table *limits;
	const struct bg_toml_table *retry;
	const struct bg_toml_table *moves;
	const struct bg_toml_table *emptying;
	const struct bg_toml_table *quota;
	const struct bg_toml_table *log;
	int level;

	read_node(
	    set, doc, bg_toml_subtable(doc, root, "node", BG_TOML_REQUIRED));
	read_platform(set, doc,
	    bg_toml_subtable(doc, root, "platform", BG_TOML_REQUIRED));
	read_server(
	    set, doc, bg_toml_subtable(doc, root, "server", BG_TOML_OPTIONAL));
	limits = bg_toml_subtable(doc, root, "limits", BG_TOML_OPTIONAL);
	if (limits != NULL)
		read_limits(set, doc, limits);
	headers = bg_toml_subtable(doc, root, "headers", BG_TOML_OPTIONAL);
	if (headers != NULL)
		read_headers(&set->headers, doc, headers);
	retry = bg_toml_subtable(doc, root, "retry", BG_TOML_OPTIONAL);
	if (retry != NULL)
		read_retry(&set->retry, doc, retry);
	moves = bg_toml_subtable(doc, root, "moves", BG_TOML_OPTIONAL);
	if (moves != NULL)
		read_moves(&set->move, doc, moves);
	emptying = bg_toml_subtable(doc, root, "emptying", BG_TOML_OPTIONAL);
	if (emptying != NULL)
		bg_toml_bool(&set->platform.follows_emptied, doc, emptying,
		    "follow", BG_TOML_OPTIONAL);
	quota = bg_toml_subtable(doc, root, "quota", BG_TOML_OPTIONAL);
	if (quota != NULL)
		read_quota(&set->quota, doc, quota);
	log = bg_toml_subtable(doc, root, "log", BG_TOML_OPTIONAL);
	if (bg_toml_enum(
		&level, doc, log, "level", LOG_LEVELS, BG_TOML_OPTIONAL))
		snprintf(set->log.level, sizeof(set->log.level), "%s",
		    LOG_LEVELS[level]);
	set_default_advertise(set);
}

int
bg_settings_load_report(struct bg_settings *out, char **out_report,
    const char *path, struct bg_error *err)
{
	struct bg_toml *doc;
	int error;

	*out_report = NULL;
	bg_settings_init(out);
	if ((error = bg_toml_load(&doc, path)) != 0)
		return bg_error_set(
		    err, error, "settings", NULL, "%s: out of memory", path);
	read_settings(out, doc);
	error = bg_toml_finish_report(out_report, doc, err);
	bg_toml_free(doc);
	return error;
}

int
bg_settings_load(
    struct bg_settings *out, const char *path, struct bg_error *err)
{
	char *report;
	int error;

	error = bg_settings_load_report(out, &report, path, err);
	free(report);
	return error;
}
