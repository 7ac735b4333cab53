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

/*
 * The hardware of one start doesn't change, so for streams that would pause too
 * long there the last estimate holds for longer: an endpoint that they avoid is
 * seldom observed, and with the estimate of above it gets them every 10 s.
 */
#define LASTING_US (30 * G_USEC_PER_SEC)

/* A stated slowdown changes many times a second. */
#define STATED_US (300 * 1000)

/* Keeps one busy endpoint from being the usual one of its service. */
#define SAMPLE_INTERVAL_US (2 * G_USEC_PER_SEC)

/* More observations of one node don't outweigh those of the others further. */
#define EVIDENCE_MAX 16

/* Change of an estimate that other nodes are told. */
#define NEWS_SHARE 0.1

/* Distance from the usual speed at which it is logged, and no longer is. */
#define AWAY_RATIO 1.5
#define RETURNED_RATIO 1.25

#define PERCENT 100.0

/* An estimate and its last observation; at_us is 0 if there is none. */
struct estimate {
	double ratio;
	int64_t at_us;
	int32_t evidence;
};

static bool is_known(int64_t at_us, int64_t now_us)
{
	return at_us && now_us - at_us < FORGOTTEN_US;
}

static struct estimate own_estimate(const struct endpoint_speed *speed)
{
	return (struct estimate){speed->ratio, speed->observed_us,
				 speed->evidence};
}

static struct estimate shared_estimate(const struct endpoint_speed *speed)
{
	return (struct estimate){speed->shared_ratio, speed->shared_us,
				 speed->shared_evidence};
}

/* What this node observed while that is fresh, else the newer one. */
static struct estimate best_estimate(const struct endpoint_speed *speed,
				     int64_t now_us)
{
	bool is_fresh =
		speed->observed_us && now_us - speed->observed_us <= FULL_US;

	return is_fresh || speed->observed_us >= speed->shared_us
		       ? own_estimate(speed)
		       : shared_estimate(speed);
}

/* Returns a ratio drawn towards 1 as its last observation ages. */
static double faded_ratio(double ratio, int64_t at_us, int64_t now_us)
{
	int64_t age_us = now_us - at_us;

	if (!is_known(at_us, now_us))
		return 1;
	if (age_us <= FULL_US)
		return ratio;
	return 1 + (ratio - 1) * (double)(FORGOTTEN_US - age_us) /
			   (FORGOTTEN_US - FULL_US);
}

static double observed_ratio(const struct endpoint_speed *speed, int64_t now_us)
{
	struct estimate best = best_estimate(speed, now_us);

	return faded_ratio(best.ratio, best.at_us, now_us);
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
	if (!is_known(speed->observed_us, observation->now_us)) {
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

static void add_sample(struct endpoint_speed *speed,
		       struct service_speed *service,
		       const struct speed_observation *observation)
{
	int64_t now_us = observation->now_us;

	if (speed->sampled_us &&
	    now_us - speed->sampled_us < SAMPLE_INTERVAL_US)
		return;
	speed->sampled_us = now_us;
	service_speed_add_sample(service, observation->time_us,
				 observation->requests);
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
	add_sample(speed, service, observation);
	expected_us = service_speed_expected_us(service, observation->requests);
	speed->ratio =
		ratio + weight * (CLAMP(observation->time_us / expected_us,
					SPEED_RATIO_MIN, SPEED_RATIO_MAX) -
				  ratio);
	if (!is_known(speed->observed_us, now_us))
		speed->evidence = 0;
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

/* Whether the endpoint stated its slowdown a moment ago. */
bool endpoint_speed_is_stated(const struct endpoint_speed *speed,
			      int64_t now_us)
{
	return speed->stated_us && now_us - speed->stated_us < STATED_US;
}

/*
 * Returns how much longer work takes there than is usual. What the endpoint
 * stated counts by its age, the rest is what was observed.
 */
double endpoint_speed_ratio(const struct endpoint_speed *speed, int64_t now_us)
{
	double ratio = observed_ratio(speed, now_us);
	double age_us = (double)MAX(now_us - speed->stated_us, 0);

	if (!endpoint_speed_is_stated(speed, now_us))
		return ratio;
	return ratio + (speed->stated_ratio - ratio) * (1 - age_us / STATED_US);
}

/*
 * Returns how much longer work took there than is usual when that was last
 * observed, in the last LASTING_US; 1 if it was not.
 */
double endpoint_speed_lasting_ratio(const struct endpoint_speed *speed,
				    int64_t now_us)
{
	struct estimate best = best_estimate(speed, now_us);

	return best.at_us && now_us - best.at_us < LASTING_US ? best.ratio : 1;
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
	struct estimate best = best_estimate(speed, now_us);

	return is_known(best.at_us, now_us) ? best.evidence : 0;
}

/* Returns when the last observation behind the estimate was made; 0: never. */
int64_t endpoint_speed_observed_us(const struct endpoint_speed *speed,
				   int64_t now_us)
{
	return best_estimate(speed, now_us).at_us;
}

/* The weight of one of several estimates that are averaged at a time. */
static double estimate_weight(int32_t evidence, int64_t at_us, int64_t now_us)
{
	double age_us = (double)MAX(now_us - at_us, 0);

	if (!is_known(at_us, now_us))
		return 0;
	return MIN(evidence, EVIDENCE_MAX) * AVERAGE_US / (AVERAGE_US + age_us);
}

/*
 * Adds what another node observed to what is usual at the service. All of a
 * record is added before any of it is merged: compared with itself alone, the
 * first endpoint of a record would count as the usual one.
 */
void endpoint_speed_add_report(struct endpoint_speed *speed,
			       struct service_speed *service,
			       const struct speed_report *report,
			       int64_t now_us)
{
	const struct speed_observation sample = {.time_us = report->time_us,
						 .now_us = now_us};

	if (is_known(report->observed_us, now_us))
		add_sample(speed, service, &sample);
}

/*
 * Merges what another node observed, by evidence and age. It counts while this
 * node has observed nothing for a while.
 */
void endpoint_speed_merge(struct endpoint_speed *speed,
			  const struct service_speed *service,
			  const struct speed_report *report, int64_t now_us)
{
	double weight =
		estimate_weight(report->evidence, report->observed_us, now_us);
	double known = estimate_weight(speed->shared_evidence, speed->shared_us,
				       now_us);
	double ratio;

	if (weight <= 0 || service->centre_us <= 0)
		return;
	ratio = CLAMP(report->time_us / service->centre_us, SPEED_RATIO_MIN,
		      SPEED_RATIO_MAX);
	speed->shared_ratio = (weight * ratio + known * speed->shared_ratio) /
			      (weight + known);
	speed->shared_us = MAX(speed->shared_us, report->observed_us);
	speed->shared_evidence =
		known > 0 ? MAX(speed->shared_evidence, report->evidence)
			  : report->evidence;
}

/*
 * Fills the report with what this node observed, or with_shared also others,
 * and returns true if other nodes have to know: it differs by a tenth from what
 * they were told, which they forget as this node does.
 */
bool endpoint_speed_take_news(struct endpoint_speed *speed,
			      const struct service_speed *service,
			      bool with_shared, struct speed_report *report,
			      int64_t now_us)
{
	struct estimate news = with_shared ? best_estimate(speed, now_us)
					   : own_estimate(speed);
	double told = faded_ratio(speed->sent_ratio, speed->sent_us, now_us);
	double ratio = faded_ratio(news.ratio, news.at_us, now_us);

	if (!is_known(news.at_us, now_us) || news.at_us <= speed->sent_us ||
	    ABS(ratio - told) < NEWS_SHARE * told)
		return false;
	speed->sent_ratio = news.ratio;
	speed->sent_us = news.at_us;
	*report = (struct speed_report){
		.time_us = news.ratio * service->centre_us,
		.evidence = news.evidence,
		.observed_us = news.at_us,
	};
	return true;
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
