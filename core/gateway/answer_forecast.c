#include "core/gateway/answer_forecast.h"

/* Adds an answer, in place of the oldest one. */
void answer_forecast_add(struct answer_forecast *forecast,
			 const struct answer_times *times)
{
	forecast->samples[forecast->count++ % ANSWER_FORECAST_SAMPLES] = *times;
}

/*
 * Returns how long an answer takes that may have so many tokens, in us; 0: not
 * known. A generation takes the mean time; an answer without tokens as long as
 * the slowest, as most of them are short. A request that allows less than
 * others have made may use all of it.
 */
int64_t answer_forecast_us(const struct answer_forecast *forecast,
			   int64_t stated)
{
	uint32_t count = MIN(forecast->count, ANSWER_FORECAST_SAMPLES);
	struct answer_times sum = {0};
	int64_t slowest_us = 0, made;

	for (uint32_t i = 0; i < count; i++) {
		const struct answer_times *times = &forecast->samples[i];

		slowest_us = MAX(slowest_us, times->begin_us);
		sum.begin_us += times->begin_us;
		sum.rest_us += times->rest_us;
		sum.made += times->made;
		sum.stated += times->stated;
	}
	if (stated == 0)
		return slowest_us;
	if (sum.made == 0 || sum.stated == 0)
		return 0;
	made = MIN(stated,
		   MAX(sum.made / count, stated * sum.made / sum.stated));
	return sum.begin_us / count + sum.rest_us * made / sum.made;
}
