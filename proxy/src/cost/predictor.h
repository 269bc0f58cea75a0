#ifndef BG_PROXY_PREDICTOR_H
#define BG_PROXY_PREDICTOR_H

/** @file
 * Predicts what a request will cost a backend server, from its route and from
 * whichever of organisation, path and size has predicted cost on that route so
 * far. Pure and of fixed size: cells of values that are not seen again are
 * taken over by others.
 */

#include <stdint.h>

#include "shape.h"

/** Routes that are tracked; the one that was used least recently is replaced.
 */
#define BG_PREDICTOR_ROUTES 16
/** Cells for each of organisation, path and size, over all routes. */
#define BG_PREDICTOR_CELLS 256

enum bg_cost_trait {
	BG_COST_ORGANISATION,
	BG_COST_PATH,
	BG_COST_SIZE,
	BG_COST_TRAITS,
};

/** What is known of a request before it runs. */
struct bg_cost_query {
	const char *route;
	const char *organisation; /**< empty: none */
	const char *path;	  /**< with its query string */
	uint32_t body_bytes;
};

struct bg_cost_cell {
	uint64_t tag;	 /**< hash of route and value; 0: free */
	double mean_log; /**< of the costs, in log of microseconds */
	double calls;	 /**< falls when others use the cell */
};

struct bg_cost_route {
	uint64_t tag; /**< hash of the name; 0: free */
	uint64_t last_use;
	uint64_t calls;
	double mean_us;
	double mean_log;
	struct bg_shape shape; /**< of the time taken, of that expected at the
				    server */
	double error;	       /**< mean squared error of mean_log
				*/
	double trait_error[BG_COST_TRAITS]; /**< the same with each trait */
};

/** Zeroed: nothing is known. */
struct bg_predictor {
	struct bg_cost_route routes[BG_PREDICTOR_ROUTES];
	struct bg_cost_cell cells[BG_COST_TRAITS][BG_PREDICTOR_CELLS];
	uint64_t uses;
};

struct bg_cost_prediction {
	uint32_t cost_us;	/**< 0: unknown */
	uint32_t route_mean_us; /**< 0: unknown */
	int trait;		/**< enum bg_cost_trait that was used; -1:
				     none, the route's mean */
};

/** Predicts the time a request takes at a usual backend server. */
void bg_predictor_predict(struct bg_cost_prediction *out,
    const struct bg_predictor *prd, const struct bg_cost_query *q);
/** Records a request that was run. @param cost_us its own time at the backend
 *     server, corrected for the server's slowness; ignored if 0 */
void bg_predictor_record(
    struct bg_predictor *prd, const struct bg_cost_query *q, uint64_t cost_us);
/** Records the time that a call of a route took, of that which was expected of
 * a mean call at that server. Ignored for a route without a recorded cost. */
void bg_predictor_record_ratio(
    struct bg_predictor *prd, const struct bg_cost_query *q, double ratio);
/** Distribution of these times; NULL while too little is known. */
const struct bg_shape *bg_predictor_shape(
    const struct bg_predictor *prd, const struct bg_cost_query *q);
/** Name of a trait for logs. @param trait of struct bg_cost_prediction */
const char *bg_cost_trait_name(int trait);

#endif
