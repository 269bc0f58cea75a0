#ifndef BG_TEST_NODE_H
#define BG_TEST_NODE_H

/* Node under test: the real proxy and link server with a stubbed mesh and a
 * backend server, all on one event loop. */

#include <check.h>
#include <stdio.h>

#include "burdockgrade/clock.h"
#include "burdockgrade/proxy.h"

#include "backend.h"
#include "client.h"
#include "stub_mesh.h"

/* Assertions of check work within a test only, so measure_proxy.c defines its
 * own. */
#ifndef NODE_ASSERT
#define NODE_ASSERT(cond) ck_assert(cond)
#endif

/* Timeout of WAIT, so that a lost event fails the test instead of hanging it.
 */
#define WAIT_TIMEOUT_MS 8000

struct counting_observer {
	struct bg_observer observer; /* first member */
	int count;
	int failed;
	int slow;
	int cold;
	int dependency_faults;
	uint32_t last_own_us;
};

struct node {
	struct event_base *base;
	struct bg_settings settings;
	struct bg_mesh mesh;
	struct bg_link_server *server;
	struct bg_link_pool *links;
	struct bg_proxy *proxy;
	struct backend backend;
	struct counting_observer observed;
	int is_drained;
};

/* Shared by all nodes of a test. */
static struct bg_snapshot *snapshot;

/* Runs the event loop until the condition holds. */
#define WAIT(base, cond)                                                    \
	do {                                                                \
		uint64_t wait_end_ms = bg_clock_now_ms() + WAIT_TIMEOUT_MS; \
		struct timeval wait_step = {0, 5000};                       \
		while (!(cond) && bg_clock_now_ms() < wait_end_ms) {        \
			event_base_loopexit(base, &wait_step);              \
			event_base_dispatch(base);                          \
		}                                                           \
		NODE_ASSERT(cond);                                          \
	} while (0)

static inline void
count_observation(
    struct bg_observer *obs, const struct bg_observation *observation)
{
	struct counting_observer *counts = (struct counting_observer *)obs;

	counts->count++;
	counts->failed += observation->is_failed;
	counts->slow += observation->is_slow;
	counts->cold += observation->is_cold;
	counts->dependency_faults += observation->is_dependency_fault;
	counts->last_own_us = observation->own_time_us;
}

/* Builds a rule that routes to the only service. */
static inline struct bg_rule
make_rule(const char *name, const char *prefix, int is_idempotent,
    uint32_t timeout_ms, uint32_t priority)
{
	static const struct bg_target target[] = {{"atelier", 1}};
	struct bg_rule rule;

	memset(&rule, 0, sizeof(rule));
	rule.name = name;
	rule.host = "";
	rule.prefix = prefix;
	rule.methods =
	    is_idempotent ? BG_METHOD_GET | BG_METHOD_HEAD : BG_METHOD_POST;
	rule.is_idempotent = is_idempotent;
	rule.timeout_ms = timeout_ms;
	rule.target_ms = timeout_ms / 2;
	rule.priority = priority;
	rule.attempts = 2;
	rule.targets = target;
	rule.target_count = 1;
	return rule;
}

static inline void
build_snapshot(void)
{
	static struct bg_service services[1];
	struct bg_rule rules[] = {
	    make_rule("lookup", "/lookup", 1, 1000, 2),
	    make_rule("cut", "/cut", 0, 1000, 0),
	    make_rule("quick", "/quick", 1, 100, 1),
	};
	struct bg_snapshot_draft draft;

	memset(services, 0, sizeof(services));
	memset(&draft, 0, sizeof(draft));
	snprintf(services[0].head.name, BG_NAME_BYTES, "atelier");
	services[0].contract.slots = 4;
	draft.version = 1;
	draft.services = services;
	draft.service_count = 1;
	draft.rules = rules;
	draft.rule_count = sizeof(rules) / sizeof(rules[0]);
	NODE_ASSERT(bg_snapshot_assemble(&snapshot, &draft, NULL) == 0);
}

static inline void
node_init_settings(struct node *nd)
{
	struct bg_settings *set = &nd->settings;

	bg_settings_init(set);
	snprintf(set->node.address, BG_SETTING_BYTES, "127.0.0.1");
	snprintf(set->node.data_centre, BG_SETTING_BYTES, "a");
	snprintf(set->server.address, BG_SETTING_BYTES, "127.0.0.1:%u",
	    nd->backend.port);
	snprintf(set->server.service, BG_SETTING_BYTES, "atelier");
	snprintf(set->server.version, BG_SETTING_BYTES, "v1");
	snprintf(set->server.probe_path, BG_SETTING_BYTES, "/health");
	set->server.slots = 4;
	set->server.connections = 20;
	set->limits.body_bytes = 1 << 20;
	set->limits.buffered_bytes = 64 << 20;
	set->limits.link_mbps = 11;
	set->limits.drain_ms = 2000;
	set->limits.announce_ms = 100;
}

/* Starts a node for the backend server at a port, or for one of its own if the
 * port is 0. Returns once that server is ready. */
static inline void
node_start_with_backend(
    struct node *nd, struct event_base *base, uint16_t backend_port)
{
	struct bg_proxy_options opts = BG_PROXY_OPTIONS_INIT;
	struct bg_link_options link = BG_LINK_OPTIONS_INIT;
	struct bg_error err;

	memset(nd, 0, sizeof(*nd));
	nd->base = base;
	nd->backend.port = backend_port;
	if (backend_port == 0)
		backend_listen(&nd->backend, base);
	node_init_settings(nd);
	NODE_ASSERT(
	    bg_link_server_init(&nd->server, base, "127.0.0.1:0", NULL) == 0);
	snprintf(nd->mesh.address, sizeof(nd->mesh.address), "127.0.0.1:%u",
	    bg_link_server_port(nd->server));
	NODE_ASSERT(bg_link_pool_init(&nd->links, base, &link) == 0);
	nd->mesh.snapshot = snapshot;
	nd->mesh.is_synced = 1;
	nd->observed.observer.observe = count_observation;
	opts.base = base;
	opts.settings = &nd->settings;
	opts.mesh = &nd->mesh;
	opts.server = nd->server;
	opts.links = nd->links;
	opts.observer = &nd->observed.observer;
	NODE_ASSERT(bg_proxy_init(&nd->proxy, &opts, &err) == 0);
	WAIT(base, nd->mesh.state == BG_MEMBER_READY);
}

/* Starts a node with a backend server of its own. */
static inline void
node_start(struct node *nd, struct event_base *base)
{
	node_start_with_backend(nd, base, 0);
}

static inline void
node_on_drained(void *arg)
{
	struct node *nd = arg;

	nd->is_drained = 1;
}

/* Begins a graceful stop; is_drained shows its end. */
static inline void
node_drain(struct node *nd)
{
	bg_proxy_drain(nd->proxy, node_on_drained, nd);
}

static inline void
node_stop(struct node *nd)
{
	bg_link_pool_free(nd->links);
	bg_proxy_free(nd->proxy);
	bg_link_server_free(nd->server);
	backend_stop(&nd->backend);
	free(nd->mesh.roster.members);
}

/* Sets the roster of a node to the servers of some nodes. */
static inline void
node_set_roster(struct node *nd, struct node **others, size_t count)
{
	struct bg_member *m;
	size_t i;

	free(nd->mesh.roster.members);
	nd->mesh.roster.members = calloc(count, sizeof(*m));
	nd->mesh.roster.member_count = count;
	for (i = 0; i < count; i++) {
		m = &nd->mesh.roster.members[i];
		snprintf(m->address, sizeof(m->address), "%s",
		    others[i]->mesh.address);
		snprintf(m->data_centre, sizeof(m->data_centre), "%s",
		    others[i]->settings.node.data_centre);
		snprintf(m->service, sizeof(m->service), "atelier");
		snprintf(m->server_version, sizeof(m->server_version), "%s",
		    others[i]->settings.server.version);
		m->state = BG_MEMBER_READY;
		m->slots = 4;
	}
}

#endif
