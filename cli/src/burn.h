#ifndef BG_CLI_BURN_H
#define BG_CLI_BURN_H

/** @file
 * The error-budget burn report: built from the counts of the nodes, the
 * accepted configuration and its history, and rendered as text, HTML or JSON.
 * No I/O.
 */

#include <jansson.h>

#include "burdockgrade/burn.h"
#include "burdockgrade/change.h"

#include "conditions.h"
#include "node_list.h"

/** Windows of the burn rates. */
enum bg_cli_window {
	BG_CLI_WINDOW_5M,
	BG_CLI_WINDOW_1H,
	BG_CLI_WINDOW_6H,
	BG_CLI_WINDOW_3D,
	BG_CLI_WINDOW_COUNT,
};

extern const char *const BG_CLI_WINDOW_NAMES[BG_CLI_WINDOW_COUNT];

/** Points of the plot, one for each hour of the longest window. */
#define BG_CLI_PLOT_HOURS 72
_Static_assert(BG_CLI_PLOT_HOURS * 60 == BG_BURN_MINUTES, "hours of the plot");

struct bg_cli_burn_route {
	char service[BG_NAME_BYTES];
	char route[BG_NAME_BYTES];
	int has_objective; /**< 0 if the service is not accepted; then rates and
				alert are not set */
	uint32_t slo_permyriad; /**< objective in 1/10000: 9990 is 99.9% */
	struct bg_burn_sum sums[BG_CLI_WINDOW_COUNT];
	double rates[BG_CLI_WINDOW_COUNT];
	enum bg_burn_alert alert;
	double hourly_rates[BG_CLI_PLOT_HOURS]; /**< the oldest hour first */
};

struct bg_cli_burn_move {
	char service[BG_NAME_BYTES];
	char from[BG_NAME_BYTES]; /**< empty if unknown */
	char to[BG_NAME_BYTES];
	/** The state in the head; "replaced" if the move is only in the
	 * history; "not recorded" if it is inferred from calls. */
	const char *state;
	char reason[BG_REASON_BYTES]; /**< of a rollback, else empty */
	/** Wall clock; the minute of the first call if the state is "not
	 * recorded". */
	uint64_t started_ms;
	/** Calls of the new version, from the start of the move until the next
	 * move to the same version. */
	struct bg_burn_sum sum;
	int has_budget_share;
	double budget_share; /**< failures as a share of the error budget that
				  the service has for its calls of the last
				  3 days; 1.0 is all of it */
};

struct bg_cli_burn_report {
	uint64_t now_ms;		  /**< wall clock */
	struct bg_cli_burn_route *routes; /**< sorted by service and route */
	size_t route_count;
	struct bg_cli_burn_move *moves; /**< sorted by start time */
	size_t move_count;
	const struct bg_cli_nodes *nodes;    /**< borrowed */
	struct bg_cli_conditions conditions; /**< borrowed */
};

struct bg_cli_burn_input {
	const struct bg_burn *counts; /**< sum of the nodes that responded */
	const struct bg_head *head;
	const struct bg_contract *contracts; /**< of the services of the head,
						  in the same order */
	const struct bg_history *history;
	const struct bg_cli_nodes *nodes;
	uint64_t now_ms; /**< wall clock */
};

/**
 * Builds the report.
 *
 * @param out refers to in->nodes; empty after an error
 * @return 0 or BG_ENOMEM
 */
int bg_cli_burn_report_build(
    struct bg_cli_burn_report *out, const struct bg_cli_burn_input *in);
void bg_cli_burn_report_free(struct bg_cli_burn_report *rep);

/** @return "ok", "ticket", "page" or "no objective" */
const char *bg_cli_burn_alert_name(const struct bg_cli_burn_route *rt);
/** Number of nodes whose calls are not in the report. */
size_t bg_cli_burn_missing_nodes(const struct bg_cli_burn_report *rep);

/** Renders the report as text. @param out free() it @return 0 or BG_ENOMEM */
int bg_cli_burn_report_text(char **out, const struct bg_cli_burn_report *rep);
/** Renders the report as an HTML page with plots; see bg_cli_burn_report_text.
 */
int bg_cli_burn_report_html(char **out, const struct bg_cli_burn_report *rep);
/** Renders the report as JSON. @return a new reference */
json_t *bg_cli_burn_report_json(const struct bg_cli_burn_report *rep);

#endif
