#include "core/gateway/leaving_forecast.h"

/*
 * Largest share that is kept free. Where more leaves at once, most of the runs
 * are lost in any case, and keeping the rest idle would help nobody.
 */
#define MAX_SHARE 0.3

static void advance(struct leaving_forecast *forecast, int64_t now_us)
{
	int64_t second = now_us / G_USEC_PER_SEC;
	int64_t passed = MIN(second - forecast->second, LEAVING_FORECAST_SLOTS);

	for (int64_t i = 0; i < passed; i++)
		forecast->highest[(second - i) % LEAVING_FORECAST_SLOTS] = 0;
	forecast->second = MAX(forecast->second, second);
}

/*
 * Notes the share of all engines' memory that runs on leaving engines use at
 * now_us, which must never decrease and is above 0.
 */
void leaving_forecast_note(struct leaving_forecast *forecast, double share,
			   int64_t now_us)
{
	double *highest;

	advance(forecast, now_us);
	highest = &forecast->highest[forecast->second % LEAVING_FORECAST_SLOTS];
	*highest = MAX(*highest, share);
}

/* Returns the share of all engines' memory to keep free, 0 to MAX_SHARE. */
double leaving_forecast_share(struct leaving_forecast *forecast, int64_t now_us)
{
	double highest = 0;

	advance(forecast, now_us);
	for (int i = 0; i < LEAVING_FORECAST_SLOTS; i++)
		highest = MAX(highest, forecast->highest[i]);
	return MIN(highest, MAX_SHARE);
}
