#ifndef BG_PROXY_SHAPE_H
#define BG_PROXY_SHAPE_H

/** @file
 * Distribution of the time that calls take, as a multiple of their expected
 * cost, and what it says of a call that has run for some time already. Pure and
 * of fixed size.
 */

/** Buckets of the distribution: four for each doubling, from 1/16 to 64. */
#define BG_SHAPE_BUCKETS 40

/** Zeroed: nothing is known. */
struct bg_shape {
	float weights[BG_SHAPE_BUCKETS]; /**< decayed counts */
};

/** Records a call. @param ratio time taken / expected cost, above 0 */
void bg_shape_record(struct bg_shape *shp, double ratio);
/** Mean of the ratios; 1 if nothing is known. */
double bg_shape_mean(const struct bg_shape *shp);
/** Expected further time of a call that runs since `ratio`, both as multiples
 * of its expected cost. Where too few calls took that long, a call is expected
 * to run as long again as it has run. */
double bg_shape_residual(const struct bg_shape *shp, double ratio);

/** 1 if enough calls were recorded for bg_shape_share_within(). */
int bg_shape_is_known(const struct bg_shape *shp);
/** Share of the calls that took at most `ratio`. */
double bg_shape_share_within(const struct bg_shape *shp, double ratio);

#endif
