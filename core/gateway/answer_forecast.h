#ifndef CORE_GATEWAY_ANSWER_FORECAST_H
#define CORE_GATEWAY_ANSWER_FORECAST_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define ANSWER_FORECAST_SAMPLES 16

/* Times of one answer that was whole. */
struct answer_times {
	int64_t begin_us; /* to its first event; to its end without events */
	int64_t rest_us;  /* from there to its end */
	int64_t made;	  /* tokens; 0: no generation */
	int64_t stated;	  /* tokens that its request allowed */
};

/*
 * Forecasts how long an answer takes, from recent ones of the same service. The
 * length of answers is not known ahead: it is taken from the share that others
 * have made of the tokens that their requests allowed. All zero: nothing is
 * known.
 */
struct answer_forecast {
	struct answer_times samples[ANSWER_FORECAST_SAMPLES];
	uint32_t count; /* of all time */
};

void answer_forecast_add(struct answer_forecast *forecast,
			 const struct answer_times *times);
int64_t answer_forecast_us(const struct answer_forecast *forecast,
			   int64_t stated);

G_END_DECLS

#endif
