#include "core/config/config_json.h"
#include "core/plan/plan.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* An accepted document must survive formatting and parsing unchanged. */
static void check_round_trip(const struct config *config)
{
	GBytes *once = config_json_format(config);
	struct config *again = config_json_parse(once, 1, NULL);
	GBytes *twice = again ? config_json_format(again) : NULL;

	if (!twice || !g_bytes_equal(once, twice))
		g_error("an accepted document does not round-trip");
	g_bytes_unref(once);
	g_bytes_unref(twice);
	config_unref(again);
}

/*
 * Parses the input as a stored document, and plans the same input as an intent
 * that changes it.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *text = g_bytes_new(data, size);
	struct error error;
	struct config *config = config_json_parse(text, 1, &error);
	struct plan *plan;

	if (config)
		check_round_trip(config);
	plan = plan_create(config, text, "n1:1:1:1", "fuzz", 0, &error);
	if (plan)
		g_bytes_unref(plan_format_json(plan));
	plan_destroy(plan);
	config_unref(config);
	g_bytes_unref(text);
	return 0;
}
