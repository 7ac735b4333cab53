#include "fakes/fake_engine_state.h"

#include "core/json/json_writer.h"

#include <string.h>

/*
 * The fake engine's HTTP handlers for homes and operators: load metrics,
 * prefix cache events, and orders that set the engine's target.
 */

/* Handles GET /metrics: the load as the model reports it. */
void fake_engine_metrics(void *data, SoupServerMessage *message,
			 const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	struct load_report load;

	engine_model_report(engine->model, fake_engine_now_us(engine), &load);

	const struct fake_metric metrics[] = {
		{"engine_requests_running", load.running},
		{"engine_requests_waiting", load.waiting},
		{"engine_tokens_used", load.tokens_used},
		{"engine_tokens_capacity", load.tokens_capacity},
		{"engine_preemptions_total", load.preemptions_total},
		{"engine_report_time_us", load.reported_at_us},
		{"engine_leaving", engine->leaving},
	};

	fake_message_answer_metrics(message, metrics, G_N_ELEMENTS(metrics));
}

/* Handles GET /v1/cache_events?after=N: events with a number above N. */
void fake_engine_cache_events(void *data, SoupServerMessage *message,
			      const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	const char *query =
		g_uri_get_query(soup_server_message_get_uri(message));
	int64_t after = 0;
	g_autoptr(GArray) events =
		g_array_new(FALSE, FALSE, sizeof(struct prefix_cache_event));
	JsonBuilder *builder = json_builder_new();

	if (query && g_str_has_prefix(query, "after="))
		after = g_ascii_strtoll(query + strlen("after="), NULL, 10);
	engine_model_cache_events(engine->model, after, events);
	json_builder_begin_array(builder);
	for (guint i = 0; i < events->len; i++) {
		const struct prefix_cache_event *event =
			&g_array_index(events, struct prefix_cache_event, i);
		g_autofree char *hash = g_strdup_printf(
			"%016" G_GINT64_MODIFIER "x", event->prefix_hash);

		json_builder_begin_object(builder);
		json_writer_add_int(builder, "number", event->number);
		json_writer_add_string(builder, "prefix_hash", hash);
		json_builder_set_member_name(builder, "stored");
		json_builder_add_boolean_value(builder, event->stored);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	fake_message_answer_json(message, 200, builder);
}

/*
 * Returns the number of generations that applying an order would interrupt:
 * those waiting or running, and those whose reader has not received the
 * complete answer.
 */
static int64_t engine_count_unfinished(const struct fake_engine *engine)
{
	int64_t count = 0;
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, engine->streams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct engine_stream *stream = value;

		count += stream->state == ENGINE_STREAM_WAITING ||
			 stream->state == ENGINE_STREAM_RUNNING ||
			 (stream->reader && !stream->response_complete);
	}
	return count;
}

static void answer_target(const struct fake_engine *engine,
			  SoupServerMessage *message, unsigned status)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_add_string(builder, "target",
			       engine_model_target(engine->model));
	json_writer_add_int(builder, "requests_running",
			    engine_count_unfinished(engine));
	json_builder_end_object(builder);
	fake_message_answer_json(message, status, builder);
}

/*
 * Handles /v1/orders: GET returns the target, POST sets it. A POST with an
 * outdated fencing number is answered with 409.
 */
void fake_engine_orders(void *data, SoupServerMessage *message,
			const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	enum engine_order_outcome outcome;
	const char *target;
	JsonObject *body;

	if (strcmp(soup_server_message_get_method(message), "GET") == 0) {
		answer_target(engine, message, 200);
		return;
	}
	body = fake_message_read_json(message);
	if (!body)
		return;
	target = json_object_get_string_member_with_default(body, "target", "");
	outcome = engine_model_set_target(
		engine->model,
		json_object_get_int_member_with_default(body, "fence", 0),
		target);
	answer_target(engine, message,
		      outcome == ENGINE_ORDER_STALE ? 409 : 200);
	json_object_unref(body);
}
