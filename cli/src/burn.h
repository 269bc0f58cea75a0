#ifndef BG_CLI_BURN_H
#define BG_CLI_BURN_H

/** @file
 * The burn report: decided from what was gathered, then rendered. Pure.
 */

#include <jansson.h>

#include "burdockgrade/burn.h"
#include "burdockgrade/change.h"

#include "node_list.h"

enum bg_cli_window {
	BG_CLI_WINDOW_5M,
	BG_CLI_WINDOW_1H,
	BG_CLI_WINDOW_6H,
	BG_CLI_WINDOW_3D,
	BG_CLI_WINDOW_COUNT,
};

extern const char *const BG_CLI_WINDOW_NAMES[BG_CLI_WINDOW_COUNT];

/** Hours of the longest window, one point of the plot each. */
#define BG_CLI_PLOT_HOURS 72
_Static_assert(BG_CLI_PLOT_HOURS * 60 == BG_BURN_MINUTES, "hours of the plot");

struct bg_cli_burn_route {
	char service[BG_NAME_BYTES];
	char route[BG_NAME_BYTES];
	int has_objective; /**< 0: not accepted, so no rates and no alert */
	uint32_t slo_permyriad;
	struct bg_burn_sum sums[BG_CLI_WINDOW_COUNT];
	double rates[BG_CLI_WINDOW_COUNT];
	enum bg_burn_alert alert;
	double hourly_rates[BG_CLI_PLOT_HOURS]; /**< rate of each hour, the
						   oldest first */
};

struct bg_cli_burn_move {
	char service[BG_NAME_BYTES];
	char from[BG_NAME_BYTES]; /**< empty if no longer known */
	char to[BG_NAME_BYTES];
	/** As in the status; "replaced" if only the history has the move; "not
	 * recorded" if only calls show it, then started_ms is the first one. */
	const char *state;
	char reason[BG_REASON_BYTES];
	uint64_t started_ms;
	/** Calls and failures of the new version from the start of the move,
	 * until the next move to the same version. */
	struct bg_burn_sum sum;
	int has_budget_share;
	double budget_share; /**< of the service's budget of the 3 days; 1.0 is
				all */
};

struct bg_cli_burn_report {
	uint64_t now_ms;
	struct bg_cli_burn_route *routes; /**< sorted by service and route */
	size_t route_count;
	struct bg_cli_burn_move *moves; /**< the oldest first */
	size_t move_count;
	const struct bg_cli_nodes *nodes; /**< those with a fault are named */
};

struct bg_cli_burn_input {
	const struct bg_burn *counts; /**< of all nodes that answered */
	const struct bg_head *head;
	const struct bg_contract *contracts; /**< one a service of the head */
	const struct bg_history *history;
	const struct bg_cli_nodes *nodes;
	uint64_t now_ms; /**< wall clock */
};

/** @return 0 or BG_ENOMEM */
int bg_cli_burn_report_build(
    struct bg_cli_burn_report *out, const struct bg_cli_burn_input *in);
void bg_cli_burn_report_free(struct bg_cli_burn_report *rep);

const char *bg_cli_burn_alert_name(const struct bg_cli_burn_route *rt);
/** Nodes that are missing from the sums. */
size_t bg_cli_burn_missing_nodes(const struct bg_cli_burn_report *rep);

/** @param out free() it @return 0 or BG_ENOMEM */
int bg_cli_burn_report_text(char **out, const struct bg_cli_burn_report *rep);
int bg_cli_burn_report_html(char **out, const struct bg_cli_burn_report *rep);
json_t *bg_cli_burn_report_json(const struct bg_cli_burn_report *rep);

#endif
