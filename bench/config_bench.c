#include "core/config/config_json.h"
#include "core/plan/plan.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum { SERVICES = 11, REGIONS = 10, DOMAINS = 22, ORGANISATIONS = 310 };

static struct config *build_config(int endpoints)
{
	struct config *config = config_create();
	char text[64];

	for (int i = 0; i < SERVICES; i++) {
		g_snprintf(text, sizeof(text), "model-%d", i);
		config_add_service(config, text, SERVICE_GENERATION);
	}
	for (int i = 0; i < endpoints; i++) {
		struct config_service *service =
			g_ptr_array_index(config->services, i % SERVICES);
		struct config_endpoint *endpoint;

		g_snprintf(text, sizeof(text), "10.%d.%d.%d:8000", i % REGIONS,
			   i / 256, i % 256);
		endpoint = config_service_add_endpoint(service, text);
		g_free(endpoint->region);
		g_free(endpoint->failure_domain);
		endpoint->region = g_strdup_printf("region-%d", i % REGIONS);
		endpoint->failure_domain =
			g_strdup_printf("domain-%d", i % DOMAINS);
	}
	for (int i = 0; i < ORGANISATIONS; i++) {
		struct config_organisation *organisation;

		g_snprintf(text, sizeof(text), "organisation-%d", i);
		organisation = config_add_organisation(config, text);
		g_free(organisation->key_sha256);
		organisation->key_sha256 = g_compute_checksum_for_string(
			G_CHECKSUM_SHA256, text, -1);
	}
	return config;
}

static int64_t min_elapsed_us(int64_t shortest_us, int64_t started_us)
{
	return MIN(shortest_us, g_get_monotonic_time() - started_us);
}

/* Prints a row: the document's size and the shortest time of each step. */
static void measure_size(int endpoints, int runs)
{
	static const char text[] =
		"{\"organisations\":[{\"name\":\"organisation-1\"}]}";
	GBytes *intent = g_bytes_new_static(text, sizeof(text) - 1);
	struct config *config = build_config(endpoints);
	int64_t format_us = INT64_MAX;
	int64_t parse_us = INT64_MAX;
	int64_t plan_us = INT64_MAX;
	size_t bytes = 0;

	for (int i = 0; i < runs; i++) {
		int64_t started_us = g_get_monotonic_time();
		GBytes *document = config_json_format(config);
		struct config *parsed;

		format_us = min_elapsed_us(format_us, started_us);
		bytes = g_bytes_get_size(document);
		started_us = g_get_monotonic_time();
		parsed = config_json_parse(document, 1, NULL);
		parse_us = min_elapsed_us(parse_us, started_us);
		started_us = g_get_monotonic_time();
		plan_destroy(
			plan_create(parsed, intent, "id", "bench", 0, NULL));
		plan_us = min_elapsed_us(plan_us, started_us);
		config_unref(parsed);
		g_bytes_unref(document);
	}
	printf("%9d %9zu %9" PRId64 " %9" PRId64 " %9" PRId64 "%s\n", endpoints,
	       bytes, format_us, parse_us, plan_us,
	       bytes > CONFIG_JSON_MAX_BYTES ? "  over the limit" : "");
	config_unref(config);
	g_bytes_unref(intent);
}

/*
 * Measures how the size of the configuration document, and the time to format,
 * parse and plan it, grow with the number of endpoints.
 */
int main(int argc, char **argv)
{
	int runs = argc > 1 ? atoi(argv[1]) : 5;

	printf("%9s %9s %9s %9s %9s\n", "endpoints", "bytes", "format_us",
	       "parse_us", "plan_us");
	for (int endpoints = 10; endpoints < 12000; endpoints *= 4)
		measure_size(endpoints, runs);
	measure_size(12000, runs);
	return 0;
}
