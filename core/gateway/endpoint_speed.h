#ifndef CORE_GATEWAY_ENDPOINT_SPEED_H
#define CORE_GATEWAY_ENDPOINT_SPEED_H

#include "core/gateway/answered_load.h"
#include "core/gateway/service_speed.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define SPEED_RATIO_MIN 0.25
#define SPEED_RATIO_MAX 4.0

/*
 * How much longer work takes at one start of an endpoint than is usual at its
 * service, with as many requests in progress. Slowness by load is expected
 * there, and so it does not count as slow hardware. All zero: nothing is known.
 */
struct endpoint_speed {
	double ratio;	     /* moving average; 1: as usual */
	int64_t observed_us; /* last observation; 0: none */
	int64_t sampled_us;  /* last sample for the service; 0: none */
	int32_t evidence;    /* observations, since it was last unknown */
	double mean_time_us;
	double mean_requests;
	double stated_ratio; /* by the endpoint itself */
	int64_t stated_us;   /* 0: never */
	int32_t stated_requests;
	int64_t loaded_us;   /* when it stated its requests; 0: never */
	double shared_ratio; /* by what other nodes observed */
	int64_t shared_us;   /* their last observation; 0: none */
	int32_t shared_evidence;
	double sent_ratio; /* last sent to other nodes */
	int64_t sent_us;   /* the observation behind it; 0: never */
	bool is_away;	   /* from the usual speed, for logs */
};

/* Time that a token or a plain answer took. */
struct speed_observation {
	double time_us;
	double requests; /* in progress there, with this one */
	int64_t now_us;
};

/* What one node tells another of an endpoint's speed. */
struct speed_report {
	double time_us; /* of a token or a plain answer, without other load */
	int32_t evidence;
	int64_t observed_us;
};

void endpoint_speed_observe(struct endpoint_speed *speed,
			    struct service_speed *service,
			    const struct speed_observation *observation);
void endpoint_speed_note_load(struct endpoint_speed *speed,
			      struct service_speed *service,
			      const struct answered_load *load, int64_t now_us);
double endpoint_speed_ratio(const struct endpoint_speed *speed, int64_t now_us);
double endpoint_speed_lasting_ratio(const struct endpoint_speed *speed,
				    int64_t now_us);
double endpoint_speed_requests(const struct endpoint_speed *speed,
			       int32_t counted, int64_t now_us);
int32_t endpoint_speed_evidence(const struct endpoint_speed *speed,
				int64_t now_us);
int64_t endpoint_speed_observed_us(const struct endpoint_speed *speed,
				   int64_t now_us);
bool endpoint_speed_is_stated(const struct endpoint_speed *speed,
			      int64_t now_us);
void endpoint_speed_add_report(struct endpoint_speed *speed,
			       struct service_speed *service,
			       const struct speed_report *report,
			       int64_t now_us);
void endpoint_speed_merge(struct endpoint_speed *speed,
			  const struct service_speed *service,
			  const struct speed_report *report, int64_t now_us);
bool endpoint_speed_take_news(struct endpoint_speed *speed,
			      const struct service_speed *service,
			      bool with_shared, struct speed_report *report,
			      int64_t now_us);
bool endpoint_speed_update_away(struct endpoint_speed *speed, int64_t now_us);

G_END_DECLS

#endif
