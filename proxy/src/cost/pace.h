#ifndef BG_PROXY_PACE_H
#define BG_PROXY_PACE_H

/** @file
 * How long work takes at one backend server: its speed, learned from its
 * answers, and the present slowness of its machine, as the server reports it.
 * Pure; the caller passes the time.
 */

#include <stdint.h>

/** Slowness of a machine on which work takes as long as usual. */
#define BG_SLOWNESS_USUAL_PERMILLE 1000

/** Slowness of a machine and the slowness it has on average. */
struct bg_slowness {
	uint32_t permille;     /**< as last reported; 0: never */
	double usual_permille; /**< mean of the reports */
	uint32_t reports;
	uint64_t reported_ms;
};

/** Zeroed: nothing is known. */
struct bg_pace {
	struct bg_slowness slowness;
	double log_speed; /**< log of the time that work takes here, of the
			       usual, without the slowness */
	uint32_t calls;	  /**< from which it was learned */
};

/** @param reported_ms when the server reported it; an older report than the
 *     last one is ignored */
void bg_slowness_report(
    struct bg_slowness *slw, uint32_t permille, uint64_t reported_ms);
/** Slowness expected at a time: the reported one, which tends to the usual one
 * as the report ages. @return 1000 if none was reported */
double bg_slowness_permille(const struct bg_slowness *slw, uint64_t now_ms);
/** The same where the usual slowness is known better than from the reports of
 * this server. */
double bg_slowness_permille_of(
    const struct bg_slowness *slw, double usual_permille, uint64_t now_ms);

/** Records an answer.
 * @param cost_us expected own time at a usual server; ignored if 0
 * @param own_us own time here
 * @param slowness_permille mean while it ran */
void bg_pace_record(struct bg_pace *pac, uint64_t cost_us, uint64_t own_us,
    double slowness_permille);
/** Time that work takes here, of the usual, without the slowness. */
double bg_pace_speed(const struct bg_pace *pac);

#endif
