#include <stdio.h>
#include <string.h>

#include "burdockgrade/questionnaire.h"

#include "contract_limits.h"

/* clang-format off */
static const char TEMPLATE[] =
"# Questionnaire of the service %s.\n"
"#\n"
"# Answer each question, then run:\n"
"#   burdockgrade check FILE     checks the answers\n"
"#   burdockgrade plan FILE      shows what would change\n"
"#   burdockgrade accept FILE    puts it in force on all nodes\n"
"# An empty string, an empty list of methods and a 0 mean that the answer is\n"
"# still missing; only soak_s may be 0. Keep this file in version control.\n"
"\n"
"# Name of the service: letters, digits, '-', '_' and '.'. The name is what\n"
"# dependencies of other services and the status text refer to.\n"
"name = \"%s\"\n"
"\n"
"# Services that this one calls while it handles a call. Each has to exist or\n"
"# be accepted together with this one, and there must be no cycle. Time spent\n"
"# waiting for them does not count when a version of this service is judged.\n"
"dependencies = []\n"
"\n"
"# One [[route]] for each kind of call, at most 16. Of those that match the path\n"
"# and the method of a call, the one with the longest path applies.\n"
"[[route]]\n"
"# A short name, used in the status, in reports and in metrics.\n"
"name = \"\"\n"
"# The path and everything below it, for example \"/orders/checkouts\".\n"
"path = \"\"\n"
"# One or more of \"GET\", \"HEAD\", \"POST\", \"PUT\", \"DELETE\", \"PATCH\".\n"
"methods = []\n"
"# true: running the call twice has the same effect as once, so it may be\n"
"# retried. false: each call carries an Idempotency-Key and runs at most once\n"
"# (orders, payments, prints, shipments). Must be true with GET or HEAD.\n"
"idempotent = false\n"
"# Time limit of a call in milliseconds, 1 to 600000. After it the caller has no\n"
"# more use for the response.\n"
"deadline_ms = 0\n"
"# Target response time in milliseconds, at most deadline_ms. It includes the\n"
"# time spent waiting for dependencies. While no response times of other server\n"
"# versions are known, a new version is judged by it: a call is slow if it takes\n"
"# this long without that waiting time.\n"
"slow_ms = 0\n"
"# Which calls are refused first when the servers are full: \"low\" (browsing),\n"
"# then \"normal\", \"high\" last (checkouts, releases).\n"
"criticality = \"\"\n"
"\n"
"[servers]\n"
"# Calls that one backend server runs at the same time, 1 to 10000.\n"
"slots = 0\n"
"# Connections that one backend server accepts; at least slots.\n"
"connections = 0\n"
"\n"
"[move]\n"
"# \"auto\": traffic begins to move as soon as servers of a new version are\n"
"# ready. \"operator\": it waits for `burdockgrade move`.\n"
"start = \"\"\n"
"# Promised duration of a move in seconds, 1 to 86400, counted from its start. A\n"
"# new version that has not taken over by then is rolled back.\n"
"take_over_s = 0\n"
"# Time after the move during which the version is monitored, and rolled back if\n"
"# it turns bad, in seconds, 0 (not monitored) to 86400. 600 if left out.\n"
"soak_s = 600\n"
"# Largest acceptable share of failed calls in percent, 0.1 to 50.\n"
"max_error_percent = 0\n"
"\n"
"[objective]\n"
"# Smallest acceptable share of successful calls in percent, 50 to 99.99.\n"
"availability_percent = 0\n"
"# Period over which the objective holds, 1 to 90 days. 30 if left out.\n"
"window_days = 30\n";
/* clang-format on */

int
bg_questionnaire_template(char **out, const char *service)
{
	*out = NULL;
	if (!bg_is_name(service) || strlen(service) >= BG_NAME_BYTES)
		return BG_EINVAL;
	/* NOLINTNEXTLINE(clang-diagnostic-format-nonliteral) */
	if (asprintf(out, TEMPLATE, service, service) < 0) {
		*out = NULL;
		return BG_ENOMEM;
	}
	return 0;
}
