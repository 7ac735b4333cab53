#include "core/gateway/service_speed.h"

#include <stdlib.h>
#include <string.h>

/*
 * Endpoints state their slowdown with each answer, so a service whose endpoints
 * have not done so for this long has changed.
 */
#define IN_USE_US (60 * G_USEC_PER_SEC)

/*
 * Weight of the assumption that requests don't slow each other down: the square
 * of the deviations of about ten observations at varying load.
 */
#define SLOPE_PRIOR 50.0

/* Weight that older deviations keep: about the last 2,000 count. */
#define SLOPE_KEEP 0.9995
#define REQUESTS_WEIGHT 0.01

/*
 * Fewer gaps during prompts say little: many of them are in part before or
 * after the prompt, and only the longest ones show what a whole step takes.
 */
#define READING_LEAST 8
#define READING_QUANTILE 0.9

/* A single request never adds more than a tenth of the time of an idle one. */
#define SLOPE_MAX 0.1

static bool is_recent(int64_t at_us, int64_t now_us)
{
	return at_us && now_us - at_us < IN_USE_US;
}

/* Whether endpoints of the service lately stated a slowdown to this node. */
bool service_speed_is_stated(const struct service_speed *speed, int64_t now_us)
{
	return speed && is_recent(speed->stated_us, now_us);
}

/*
 * Whether endpoints of the service are chosen by their speed. A home chooses
 * for others also where it has no callers itself.
 */
bool service_speed_is_in_use(const struct service_speed *speed, int64_t now_us)
{
	return service_speed_is_stated(speed, now_us) ||
	       (speed && is_recent(speed->told_us, now_us));
}

/* Returns how much longer work takes beside so many requests. */
double service_speed_load_factor(const struct service_speed *speed,
				 double requests)
{
	return 1 + speed->load_slope * MAX(requests, 0);
}

/* Returns the usual time with so many requests in progress; 0: not known. */
double service_speed_expected_us(const struct service_speed *speed,
				 double requests)
{
	return speed->centre_us * service_speed_load_factor(speed, requests);
}

static int compare_times(const void *a, const void *b)
{
	double left = *(const double *)a, right = *(const double *)b;

	return (left > right) - (left < right);
}

static void sort_samples(const double *samples, guint count, double *sorted)
{
	memcpy(sorted, samples, count * sizeof(*samples));
	qsort(sorted, count, sizeof(*sorted), compare_times);
}

static double median(const double *samples, guint count)
{
	double sorted[SERVICE_SPEED_SAMPLES];

	sort_samples(samples, count, sorted);
	return (sorted[(count - 1) / 2] + sorted[count / 2]) / 2;
}

/* Adds a time that was observed with so many requests in progress. */
void service_speed_add_sample(struct service_speed *speed, double time_us,
			      double requests)
{
	speed->samples[speed->sample_count++ % SERVICE_SPEED_SAMPLES] =
		time_us / service_speed_load_factor(speed, requests);
	speed->centre_us = median(speed->samples, MIN(speed->sample_count,
						      SERVICE_SPEED_SAMPLES));
}

/*
 * Adds the time that a token took at an endpoint that read a prompt, divided by
 * how much longer work takes there than is usual.
 */
void service_speed_add_reading(struct service_speed *speed, double time_us)
{
	double sorted[SERVICE_SPEED_SAMPLES];
	guint count;

	speed->reading_samples[speed->reading_count++ % SERVICE_SPEED_SAMPLES] =
		time_us;
	count = MIN(speed->reading_count, SERVICE_SPEED_SAMPLES);
	if (count < READING_LEAST)
		return;
	sort_samples(speed->reading_samples, count, sorted);
	speed->reading_us = sorted[(guint)((count - 1) * READING_QUANTILE)];
}

/*
 * Adds how far a time differs from the average of its endpoint, as a fraction,
 * and how many more requests than on average were in progress. Comparing an
 * endpoint only with itself keeps a slow endpoint, which gets fewer requests,
 * from hiding what a request costs.
 */
void service_speed_add_deviation(struct service_speed *speed, double time_share,
				 double more_requests, double requests)
{
	double slope;

	speed->sum_squares =
		speed->sum_squares * SLOPE_KEEP + more_requests * more_requests;
	speed->sum_products =
		speed->sum_products * SLOPE_KEEP + more_requests * time_share;
	speed->mean_requests +=
		REQUESTS_WEIGHT * (requests - speed->mean_requests);
	/* The fraction is of the time at the mean, not of that when idle. */
	slope = speed->sum_products / (speed->sum_squares + SLOPE_PRIOR);
	slope = slope / MAX(1 - slope * speed->mean_requests, 0.1);
	speed->load_slope = CLAMP(slope, 0, SLOPE_MAX);
}
