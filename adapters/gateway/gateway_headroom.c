#include "adapters/gateway/gateway_state.h"

/*
 * Memory that deferrable requests leave free for the runs of engines that will
 * leave, by service. Services without such routes have no forecast.
 */

/* Engines leave at least 1.5 s after their notice. */
#define SAMPLE_INTERVAL_US (200 * 1000)

static double leaving_share(const struct gateway *gateway, const char *name)
{
	const struct config_service *service =
		gateway->table ? route_table_find_service(gateway->table, name)
			       : NULL;
	const struct endpoint_criteria criteria = {
		.service = name,
		.engine = service ? &service->engine : NULL,
		.now_us = gateway->now_us,
	};

	return endpoint_choice_leaving_share(gateway->registry, &criteria);
}

/* Notes what leaves now, of each service that has a forecast. */
void gateway_headroom_step(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer name, forecast;

	if (gateway->now_us - gateway->headroom_sampled_us < SAMPLE_INTERVAL_US)
		return;
	gateway->headroom_sampled_us = gateway->now_us;
	g_hash_table_iter_init(&iter, gateway->forecasts);
	while (g_hash_table_iter_next(&iter, &name, &forecast))
		leaving_forecast_note(forecast, leaving_share(gateway, name),
				      gateway->now_us);
}

/*
 * Returns the share of the service's memory that deferrable requests leave
 * free; 0 for a service without deferrable routes.
 */
double gateway_headroom_share(struct gateway *gateway, const char *service)
{
	struct leaving_forecast *forecast;

	if (!gateway->table || !route_table_gives_way(gateway->table, service))
		return 0;
	forecast = g_hash_table_lookup(gateway->forecasts, service);
	if (!forecast) {
		forecast = g_new0(struct leaving_forecast, 1);
		g_hash_table_insert(gateway->forecasts, g_strdup(service),
				    forecast);
	}
	return leaving_forecast_share(forecast, gateway->now_us);
}
