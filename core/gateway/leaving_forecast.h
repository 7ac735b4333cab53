#ifndef CORE_GATEWAY_LEAVING_FORECAST_H
#define CORE_GATEWAY_LEAVING_FORECAST_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Forecasts how much memory the runs of engines that leave will need elsewhere.
 * Engines are often replaced in groups at about equal intervals, and their runs
 * have to move within two seconds: where other requests have taken all memory
 * by then, these runs are lost with their engines. The forecast is the largest
 * share that left at once within the last LEAVING_FORECAST_SLOTS seconds, so it
 * is nothing where no engine leaves.
 */
enum { LEAVING_FORECAST_SLOTS = 10 };

struct leaving_forecast {
	int64_t second; /* of the newest slot */
	double highest[LEAVING_FORECAST_SLOTS];
};

void leaving_forecast_note(struct leaving_forecast *forecast, double share,
			   int64_t now_us);
double leaving_forecast_share(struct leaving_forecast *forecast,
			      int64_t now_us);

G_END_DECLS

#endif
