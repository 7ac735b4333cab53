#include "core/gateway/endpoint_speed.h"

/*
 * Time constant of the average: a change is followed to nine tenths within
 * 1.2 s where observations are frequent.
 */
#define AVERAGE_US (500 * 1000)

/* Most that one observation counts, however long ago the last one was. */
#define WEIGHT_MAX 0.5

/*
 * An estimate counts in full for 2 s, and then less and less. After 10 s it is
 * forgotten: an endpoint that gets nothing because it was slow is tried again.
 */
#define FULL_US (2 * G_USEC_PER_SEC)
#define FORGOTTEN_US (10 * G_USEC_PER_SEC)

/* A stated slowdown changes many times a second. */
#define STATED_US (300 * 1000)

/* Keeps one busy endpoint from being the usual one of its service. */
#define SAMPLE_INTERVAL_US (2 * G_USEC_PER_SEC)

/* Distance from the usual speed at which it is logged, and no longer is. */
#define AWAY_RATIO 1.5
#define RETURNED_RATIO 1.25

#define PERCENT 100.0

/* The observed ratio, drawn towards 1 as its last observation ages. */
static double observed_ratio(const struct endpoint_speed *speed, int64_t now_us)
{
	int64_t age_us = now_us - speed->observed_us;
	double rest;

	if (!speed->observed_us || age_us >= FORGOTTEN_US)
		return 1;
	if (age_us <= FULL_US)
		return speed->ratio;
	rest = (double)(FORGOTTEN_US - age_us) / (FORGOTTEN_US - FULL_US);
	return 1 + (speed->ratio - 1) * rest;
}

/* Returns the weight of an observation after a time without one. */
static double observation_weight(const struct endpoint_speed *speed,
				 int64_t now_us)
{
	double age_us = (double)MAX(now_us - speed->observed_us, 0);

	if (!speed->observed_us)
		return WEIGHT_MAX;
	return MIN(age_us / (AVERAGE_US + age_us), WEIGHT_MAX);
}

/* Compares the observation with the endpoint's own average, then adds it. */
static void add_to_averages(struct endpoint_speed *speed,
			    struct service_speed *service,
			    const struct speed_observation *observation,
			    double weight)
{
	if (endpoint_speed_evidence(speed, observation->now_us) == 0) {
		speed->mean_time_us = observation->time_us;
		speed->mean_requests = observation->requests;
		return;
	}
	service_speed_add_deviation(
		service, observation->time_us / speed->mean_time_us - 1,
		observation->requests - speed->mean_requests,
		observation->requests);
	speed->mean_time_us +=
		weight * (observation->time_us - speed->mean_time_us);
	speed->mean_requests +=
		weight * (observation->requests - speed->mean_requests);
}

/* Adds what was observed at the endpoint to its average and its service's. */
void endpoint_speed_observe(struct endpoint_speed *speed,
			    struct service_speed *service,
			    const struct speed_observation *observation)
{
	int64_t now_us = observation->now_us;
	double weight = observation_weight(speed, now_us);
	double ratio = observed_ratio(speed, now_us);
	double expected_us;

	if (observation->time_us <= 0)
		return;
	add_to_averages(speed, service, observation, weight);
	if (!speed->sampled_us ||
	    now_us - speed->sampled_us >= SAMPLE_INTERVAL_US) {
		speed->sampled_us = now_us;
		service_speed_add_sample(service, observation->time_us,
					 observation->requests);
	}
	expected_us = service_speed_expected_us(service, observation->requests);
	speed->ratio =
		ratio + weight * (CLAMP(observation->time_us / expected_us,
					SPEED_RATIO_MIN, SPEED_RATIO_MAX) -
				  ratio);
	speed->evidence = endpoint_speed_evidence(speed, now_us);
	speed->evidence = MIN(speed->evidence, G_MAXINT32 - 1) + 1;
	speed->observed_us = now_us;
}

/* Notes the figures that the endpoint stated in an answer that arrives now. */
void endpoint_speed_note_load(struct endpoint_speed *speed,
			      struct service_speed *service,
			      const struct answered_load *load, int64_t now_us)
{
	if (load->statement != LOAD_STATED)
		return;
	speed->stated_requests = load->running + load->waiting;
	speed->loaded_us = now_us;
	if (load->slowdown_percent == 0)
		return;
	speed->stated_ratio = CLAMP(load->slowdown_percent / PERCENT,
				    SPEED_RATIO_MIN, SPEED_RATIO_MAX);
	speed->stated_us = now_us;
	service->stated_us = now_us;
}

/*
 * Returns how much longer work takes there than is usual. What the endpoint
 * stated counts by its age, the rest is what was observed.
 */
double endpoint_speed_ratio(const struct endpoint_speed *speed, int64_t now_us)
{
	double ratio = observed_ratio(speed, now_us);
	int64_t age_us = now_us - speed->stated_us;

	if (!speed->stated_us || age_us >= STATED_US)
		return ratio;
	return ratio + (speed->stated_ratio - ratio) *
			       (1 - (double)MAX(age_us, 0) / STATED_US);
}

/*
 * Returns the requests in progress: those that the nodes counted, or more, if
 * the endpoint stated more a moment ago.
 */
double endpoint_speed_requests(const struct endpoint_speed *speed,
			       int32_t counted, int64_t now_us)
{
	if (!speed->loaded_us || now_us - speed->loaded_us >= STATED_US)
		return counted;
	return MAX(counted, speed->stated_requests);
}

/* Returns the number of observations behind the estimate; 0: unknown. */
int32_t endpoint_speed_evidence(const struct endpoint_speed *speed,
				int64_t now_us)
{
	if (!speed->observed_us || now_us - speed->observed_us >= FORGOTTEN_US)
		return 0;
	return speed->evidence;
}

/*
 * Notes whether the endpoint is away from the usual speed by half. Returns
 * whether that changed.
 */
bool endpoint_speed_update_away(struct endpoint_speed *speed, int64_t now_us)
{
	double ratio = observed_ratio(speed, now_us);
	double bound = speed->is_away ? RETURNED_RATIO : AWAY_RATIO;
	bool is_away = ratio >= bound || ratio <= 1 / bound;

	if (is_away == speed->is_away)
		return false;
	speed->is_away = is_away;
	return true;
}
