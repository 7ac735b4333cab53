#ifndef CORE_GATEWAY_SERVICE_SPEED_H
#define CORE_GATEWAY_SERVICE_SPEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define SERVICE_SPEED_SAMPLES 31

/*
 * The usual time of a service's endpoints, as this node observes it: per token
 * of a generation, or per plain answer. The time of one endpoint is compared
 * with it, at the same number of requests in progress.
 */
struct service_speed {
	int64_t stated_us; /* when an endpoint last stated a slowdown; 0: never
			    */
	int64_t told_us;   /* when another node last said so; 0: never */
	double samples[SERVICE_SPEED_SAMPLES]; /* us, with nothing else running
						*/
	guint sample_count;		       /* of all time */
	double centre_us;		       /* their median; 0: none */

	/* The same while the endpoint reads a prompt beside the generation. */
	double reading_samples[SERVICE_SPEED_SAMPLES];
	guint reading_count; /* of all time */
	double reading_us;   /* a high quantile of them; 0: none */

	/* Regression of relative time on requests, within endpoints. */
	double sum_squares;
	double sum_products;
	double mean_requests;
	double load_slope; /* time that each request adds, as a fraction */
};

bool service_speed_is_stated(const struct service_speed *speed, int64_t now_us);
bool service_speed_is_in_use(const struct service_speed *speed, int64_t now_us);
double service_speed_load_factor(const struct service_speed *speed,
				 double requests);
double service_speed_expected_us(const struct service_speed *speed,
				 double requests);
void service_speed_add_sample(struct service_speed *speed, double time_us,
			      double requests);
void service_speed_add_reading(struct service_speed *speed, double time_us);
void service_speed_add_deviation(struct service_speed *speed, double time_share,
				 double more_requests, double requests);

G_END_DECLS

#endif
