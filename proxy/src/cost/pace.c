#include <math.h>

#include "pace.h"

/* The machines that servers share become slow or usual again several times a
 * second. After this time, half of what a report said is gone. */
#define SLOWNESS_HALF_LIFE_MS 300.0
/* About 200 reports count for the usual slowness and about 50 answers for the
 * speed. The assumption that the server is a usual one has the weight of a few.
 */
#define USUAL_WEIGHT_MIN 0.005
#define SPEED_WEIGHT_MIN 0.02
#define PRIOR_WEIGHT 8.0

static double
weight_of(uint32_t count, double min)
{
	double weight = 1 / (count + 1 + PRIOR_WEIGHT);

	return weight < min ? min : weight;
}

void
bg_slowness_report(
    struct bg_slowness *slw, uint32_t permille, uint64_t reported_ms)
{
	if (permille == 0 || reported_ms < slw->reported_ms)
		return;
	if (slw->reports == 0)
		slw->usual_permille = BG_SLOWNESS_USUAL_PERMILLE;
	slw->usual_permille += (permille - slw->usual_permille) *
	    weight_of(slw->reports++, USUAL_WEIGHT_MIN);
	slw->permille = permille;
	slw->reported_ms = reported_ms;
}

double
bg_slowness_permille_of(
    const struct bg_slowness *slw, double usual_permille, uint64_t now_ms)
{
	double age_ms =
	    now_ms > slw->reported_ms ? (double)(now_ms - slw->reported_ms) : 0;

	if (slw->reports == 0)
		return usual_permille;
	return usual_permille +
	    (slw->permille - usual_permille) *
	    exp2(-age_ms / SLOWNESS_HALF_LIFE_MS);
}

double
bg_slowness_permille(const struct bg_slowness *slw, uint64_t now_ms)
{
	return bg_slowness_permille_of(slw,
	    slw->reports == 0 ? BG_SLOWNESS_USUAL_PERMILLE
			      : slw->usual_permille,
	    now_ms);
}

void
bg_pace_record(struct bg_pace *pac, uint64_t cost_us, uint64_t own_us,
    double slowness_permille)
{
	double ratio;

	if (cost_us == 0 || own_us == 0 || !(slowness_permille > 0))
		return;
	ratio = (double)own_us * BG_SLOWNESS_USUAL_PERMILLE /
	    slowness_permille / (double)cost_us;
	/* The mean of the logarithm is hardly moved by the few requests that
	 * cost a multiple of the others. */
	pac->log_speed += (log(ratio) - pac->log_speed) *
	    weight_of(pac->calls++, SPEED_WEIGHT_MIN);
}

double
bg_pace_speed(const struct bg_pace *pac)
{
	return exp(pac->log_speed);
}
