#include <math.h>
#include <stddef.h>

#include "value.h"

/* Standard deviation of the logarithm of service times: about half of the calls
 * take between 0.5 and 1.3 times the mean. */
#define SIGMA 0.7

/* Probability that a call is answered within the time, for log-normally
 * distributed service times with the given mean. */
static double
probability_within(double time_us, double mean_us)
{
	double z;

	if (time_us <= 0)
		return 0;
	z = log(time_us / mean_us) / SIGMA + SIGMA / 2;
	return 0.5 * erfc(-z / sqrt(2));
}

static double
answer_probability(const struct bg_value_input *in, uint64_t time_us)
{
	return probability_within(
	    (double)time_us - (double)in->delay_us, (double)in->service_us);
}

/* Probability of an answer by the deadline. Whether the few expensive calls end
 * by then is seen in the distribution only. The target is left to the
 * log-normal one: by a distribution in which nearly all calls are well within
 * it, servers of different speed would be equal. */
static double
deadline_probability(const struct bg_value_input *in)
{
	double left_us = (double)in->left_us - (double)in->delay_us;

	if (in->shape == NULL)
		return answer_probability(in, in->left_us);
	return bg_shape_share_within(
	    in->shape, left_us / (double)in->service_us * in->shape_mean);
}

double
bg_expected_value(const struct bg_value_input *in)
{
	uint64_t target_us = in->target_us;
	double on_time;
	double answered;
	double value;

	if (target_us > in->left_us)
		target_us = in->left_us;
	answered = deadline_probability(in);
	on_time = target_us == 0 ? 0 : answer_probability(in, target_us);
	if (on_time > answered)
		on_time = answered;
	value = on_time + (answered - on_time) * BG_VALUE_LATE;
	value *= 1 - in->bad_permille / 1000.0;
	return in->is_remote ? value - BG_VALUE_REMOTE_COST : value;
}
