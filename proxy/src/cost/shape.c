#include <math.h>

#include "shape.h"

#define BUCKETS_PER_DOUBLING 4
#define FIRST_BUCKET_LOG2 (-4)
/* Factor of all counts at each call. About 500 calls count, enough to hold
 * several of a kind that is 1% of the calls. */
#define DECAY 0.998F
/* The assumption about calls that run long has the weight of this many calls.
 */
#define PRIOR_CALLS 2.0
/* Weight from which the shares are used: fewer calls say nothing about the few
 * that cost a multiple. */
#define KNOWN_CALLS 50.0F

static int
bucket_of(double ratio)
{
	double position;

	if (!(ratio > 0))
		return 0;
	position = (log2(ratio) - FIRST_BUCKET_LOG2) * BUCKETS_PER_DOUBLING;
	if (position < 0)
		return 0;
	if (position >= BG_SHAPE_BUCKETS)
		return BG_SHAPE_BUCKETS - 1;
	return (int)position;
}

/* Geometric middle of a bucket. */
static double
bucket_ratio(int i)
{
	return exp2((i + 0.5) / BUCKETS_PER_DOUBLING + FIRST_BUCKET_LOG2);
}

void
bg_shape_record(struct bg_shape *shp, double ratio)
{
	int i;

	for (i = 0; i < BG_SHAPE_BUCKETS; i++)
		shp->weights[i] *= DECAY;
	shp->weights[bucket_of(ratio)] += 1;
}

/* Sums the calls that took more than `ratio`. @return their weight */
static double
sum_above(double *out_excess, const struct bg_shape *shp, double ratio)
{
	double weight = 0;
	double middle;
	int i;

	*out_excess = 0;
	for (i = bucket_of(ratio); i < BG_SHAPE_BUCKETS; i++) {
		middle = bucket_ratio(i);
		if (middle <= ratio)
			continue;
		weight += (double)shp->weights[i];
		*out_excess += (double)shp->weights[i] * (middle - ratio);
	}
	return weight;
}

double
bg_shape_mean(const struct bg_shape *shp)
{
	double excess;
	double weight = sum_above(&excess, shp, 0);

	return (excess + PRIOR_CALLS) / (weight + PRIOR_CALLS);
}

double
bg_shape_residual(const struct bg_shape *shp, double ratio)
{
	double prior = ratio > 1 ? ratio : 1;
	double excess;
	double weight = sum_above(&excess, shp, ratio);

	return (excess + PRIOR_CALLS * prior) / (weight + PRIOR_CALLS);
}

static float
total_weight(const struct bg_shape *shp)
{
	float weight = 0;
	int i;

	for (i = 0; i < BG_SHAPE_BUCKETS; i++)
		weight += shp->weights[i];
	return weight;
}

int
bg_shape_is_known(const struct bg_shape *shp)
{
	return total_weight(shp) >= KNOWN_CALLS;
}

double
bg_shape_share_within(const struct bg_shape *shp, double ratio)
{
	float total = total_weight(shp);
	double position;
	double weight = 0;
	int last;
	int i;

	if (!(ratio > 0) || !(total > 0))
		return 0;
	position = (log2(ratio) - FIRST_BUCKET_LOG2) * BUCKETS_PER_DOUBLING;
	last = bucket_of(ratio);
	for (i = 0; i < last; i++)
		weight += (double)shp->weights[i];
	if (position >= BG_SHAPE_BUCKETS)
		return 1;
	if (position > 0)
		weight += (double)shp->weights[last] * (position - last);
	return weight / (double)total;
}
