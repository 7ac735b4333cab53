#include "bench/region_state.h"

#include "codec/peer_codec.h"
#include "core/config/config_json.h"
#include "core/node/node.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define PROPAGATION_LIMIT_US (60 * G_USEC_PER_SEC)
#define FIRST_REVISION 2

/* Sets the defaults: one region with 1/10 of each of the required numbers. */
void region_options_default(struct region_options *options)
{
	memset(options, 0, sizeof(*options));
	options->nodes = 8;
	options->engines = 200;
	options->services = 11;
	options->organisations = 310;
	options->requests_per_s = 79;
	options->output_tokens = 368;
	options->chunk_tokens = 8;
	options->token_us = 28000;
	options->capacity_tokens = 400000;
	options->delay_us = 500;
	options->seed = 1;
}

static uint64_t thread_cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (uint64_t)time.tv_sec * 1000000000u + (uint64_t)time.tv_nsec;
}

static bool event_is_data(const struct event *event)
{
	switch (event->type) {
	case EVENT_CALL:
	case EVENT_CALL_GONE:
	case EVENT_CALL_FLOW:
	case EVENT_ATTEMPT_STARTED:
	case EVENT_ATTEMPT_CHUNK:
	case EVENT_ATTEMPT_DONE:
	case EVENT_ATTEMPT_ANSWER:
	case EVENT_ATTEMPT_FAILED:
		return true;
	default:
		return false;
	}
}

/*
 * Runs one step of a node. Its time counts as control unless a caller or an
 * engine caused the step. Encoding and decoding of records count as control.
 */
static void region_step(struct region *region, int32_t node,
			const struct event *event)
{
	uint64_t start_ns = thread_cpu_ns();
	uint64_t spent_ns;

	node_step(region->nodes[node], region->now_us, event, region->actions);
	spent_ns = thread_cpu_ns() - start_ns;
	if (event_is_data(event))
		region->data_ns += spent_ns;
	else
		region->control_ns += spent_ns;
	if (event->type == EVENT_PEER && event->peer->type == PEER_PLACE) {
		region->grant_ns += spent_ns;
		region->grants++;
	}
	start_ns = thread_cpu_ns();
	region_execute_actions(region, node);
	region->control_ns += thread_cpu_ns() - start_ns;
}

static void region_deliver(struct region *region, struct item *item)
{
	struct generation *generation;
	struct error error;
	uint64_t key;
	uint64_t start_ns = thread_cpu_ns();

	if (item->event.type == EVENT_PEER) {
		item->message = peer_codec_decode(item->data, &error);
		if (!item->message)
			g_error("%s: %s", error.step, error.detail);
		item->event.peer = item->message;
		region->control_ns += thread_cpu_ns() - start_ns;
	}
	if (item->event.type == EVENT_KV)
		item->event.kv = &item->kv;
	region_step(region, item->node, &item->event);
	if (item->event.type != EVENT_ATTEMPT_CHUNK)
		return;
	key = region_generation_key(item->node, item->event.chunk.attempt);
	generation = g_hash_table_lookup(region->generations, &key);
	if (!generation)
		return;
	generation->generated += item->event.chunk.token_count;
	region_generation_continue(region, generation);
}

static void region_add_call(struct region *region, int32_t node)
{
	const struct region_options *options = &region->options;
	struct request *request = request_create(REQUEST_GENERATION);
	struct event event = {.type = EVENT_CALL};
	int32_t organisation =
		g_rand_int_range(region->random, 0, options->organisations);
	int32_t service =
		g_rand_int_range(region->random, 0, options->services);

	request->bearer = g_strdup_printf("key-%d", organisation);
	request->service = g_strdup_printf("model-%d", service);
	request->stream = true;
	request->prompt_tokens = 500;
	event.call.call = ++region->next_call;
	event.call.request = request;
	region->calls++;
	region_step(region, node, &event);
	request_unref(request);
}

static int64_t region_interarrival_us(struct region *region)
{
	double mean_us = G_USEC_PER_SEC / region->options.requests_per_s;

	return (int64_t)(-log(1 - g_rand_double(region->random)) * mean_us) + 1;
}

static int32_t region_next_node(const struct region *region, int64_t *at_us,
				bool *is_call)
{
	int32_t next = 0;

	*at_us = INT64_MAX;
	for (int32_t i = 0; i < region->options.nodes; i++) {
		int64_t due_us = node_next_due_us(region->nodes[i]);

		if (due_us < *at_us) {
			*at_us = due_us;
			*is_call = false;
			next = i;
		}
		if (region->next_arrival_us[i] < *at_us) {
			*at_us = region->next_arrival_us[i];
			*is_call = true;
			next = i;
		}
	}
	return next;
}

/* Runs the region for duration_us of virtual time. */
void region_run(struct region *region, int64_t duration_us)
{
	int64_t until_us = region->now_us + duration_us;
	struct event timer = {.type = EVENT_TIMER};

	for (;;) {
		const struct item *first =
			region->heap->len ? region->heap->pdata[0] : NULL;
		bool is_call = false;
		int64_t at_us;
		int32_t node = region_next_node(region, &at_us, &is_call);
		struct item *item;

		if (MIN(at_us, first ? first->at_us : INT64_MAX) > until_us)
			break;
		if (first && first->at_us <= at_us) {
			item = region_queue_pop(region);
			region->now_us = MAX(region->now_us, item->at_us);
			region_deliver(region, item);
			region_item_destroy(item);
			continue;
		}
		region->now_us = MAX(region->now_us, at_us);
		if (!is_call) {
			region_step(region, node, &timer);
			continue;
		}
		region->next_arrival_us[node] =
			region->now_us + region_interarrival_us(region);
		region_add_call(region, node);
	}
	region->now_us = until_us;
}

static GBytes *region_format_config(const struct region *region)
{
	const struct region_options *options = &region->options;
	struct config *config = config_create();
	GBytes *document;

	for (int32_t i = 0; i < options->services; i++) {
		char *name = g_strdup_printf("model-%d", i);
		struct config_service *service =
			config_add_service(config, name, SERVICE_GENERATION);

		for (int32_t k = i; k < options->engines;
		     k += options->services) {
			char *address = g_strdup_printf("10.%d.%d.1:9000",
							k / 250, k % 250);
			struct config_endpoint *endpoint =
				config_service_add_endpoint(service, address);

			endpoint->capacity_tokens = options->capacity_tokens;
			g_free(address);
		}
		g_free(name);
	}
	for (int32_t i = 0; i < options->organisations; i++) {
		char *name = g_strdup_printf("organisation-%d", i);
		char *key = g_strdup_printf("key-%d", i);
		struct config_organisation *organisation =
			config_add_organisation(config, name);

		g_free(organisation->key_sha256);
		organisation->key_sha256 = g_compute_checksum_for_string(
			G_CHECKSUM_SHA256, key, -1);
		organisation->requests_per_s = 1000000;
		organisation->concurrent_tokens = 1000000000;
		g_free(name);
		g_free(key);
	}
	document = config_json_format(config);
	config_unref(config);
	return document;
}

static void region_create_node(struct region *region, int32_t i,
			       const char *const *seeds)
{
	struct node_options options;
	char *name = g_strdup_printf("entry-%d", i);
	char *http = g_strdup_printf("10.250.0.%d:8080", i + 1);
	char *peer = g_strdup_printf("10.250.0.%d:8090", i + 1);

	node_options_default(&options);
	options.name = name;
	options.region = "region-0";
	options.failure_domain = i % 2 ? "a" : "b";
	options.http_address = http;
	options.peer_address = peer;
	options.seeds = seeds;
	options.incarnation = 1000 + (uint64_t)i;
	options.seed = region->options.seed * 1000 + (uint64_t)i;
	options.event_key = "bench-event-key-0001";
	region->nodes[i] = node_create(&options);
	g_hash_table_insert(region->node_by_address, g_strdup(peer),
			    GINT_TO_POINTER(i + 1));
	node_start(region->nodes[i], region->now_us, region->actions);
	region_execute_actions(region, i);
	g_free(name);
	g_free(http);
	g_free(peer);
}

/*
 * Creates a region of nodes that have just started, with a configuration in
 * the store. The caller owns it and frees it with region_destroy().
 */
struct region *region_create(const struct region_options *options)
{
	static const char *const seeds[] = {"10.250.0.1:8090",
					    "10.250.0.2:8090", NULL};
	struct region *region = g_new0(struct region, 1);

	region->options = *options;
	region->actions = action_list_create();
	region->node_by_address =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	region->heap = g_ptr_array_new_with_free_func(region_item_destroy);
	region->generations = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	region->now_us = G_USEC_PER_SEC;
	region->random = g_rand_new_with_seed(options->seed);
	region->chunk = g_bytes_new_static("{\"tokens\":8}", 12);
	region->document = region_format_config(region);
	region->revision = FIRST_REVISION;
	region->nodes = g_new0(struct node *, options->nodes);
	region->watching = g_new0(bool, options->nodes);
	region->next_arrival_us = g_new0(int64_t, options->nodes);
	for (int32_t i = 0; i < options->nodes; i++) {
		region->next_arrival_us[i] =
			options->requests_per_s > 0
				? region->now_us + 5 * G_USEC_PER_SEC +
					  region_interarrival_us(region)
				: INT64_MAX;
		region_create_node(region, i, seeds);
	}
	return region;
}

/* Frees the region; NULL is allowed. */
void region_destroy(struct region *region)
{
	if (!region)
		return;
	for (int32_t i = 0; i < region->options.nodes; i++)
		node_destroy(region->nodes[i]);
	g_free(region->nodes);
	g_free(region->watching);
	g_free(region->next_arrival_us);
	g_ptr_array_unref(region->heap);
	g_hash_table_destroy(region->generations);
	g_hash_table_destroy(region->node_by_address);
	action_list_destroy(region->actions);
	g_bytes_unref(region->chunk);
	g_bytes_unref(region->document);
	g_rand_free(region->random);
	g_free(region);
}

/* Resets all counters. */
void region_start_measure(struct region *region)
{
	region->measure_from_us = region->now_us;
	region->control_ns = 0;
	region->data_ns = 0;
	region->grant_ns = 0;
	region->grants = 0;
	region->records = 0;
	region->bytes = 0;
	region->kv_calls = 0;
	region->polls = 0;
	region->calls = 0;
	memset(region->bytes_by_type, 0, sizeof(region->bytes_by_type));
}

/* Fills in the cost per node since region_start_measure(). */
void region_stop_measure(struct region *region, struct region_cost *cost)
{
	double seconds = (double)(region->now_us - region->measure_from_us) /
			 G_USEC_PER_SEC;
	double node_seconds = seconds * region->options.nodes;

	cost->control_cpu = (double)region->control_ns / 1e9 / node_seconds;
	cost->data_cpu = (double)region->data_ns / 1e9 / node_seconds;
	cost->bytes_per_s = (double)region->bytes / node_seconds;
	cost->records_per_s = (double)region->records / node_seconds;
	cost->kv_calls_per_s = (double)region->kv_calls / node_seconds;
	cost->polls_per_s = (double)region->polls / node_seconds;
	cost->calls_per_s = (double)region->calls / node_seconds;
	cost->open_calls = (double)g_hash_table_size(region->generations) /
			   region->options.nodes;
	cost->grant_us = region->grants ? (double)region->grant_ns / 1e3 /
						  (double)region->grants
					: 0;
	for (guint i = 0; i < G_N_ELEMENTS(cost->bytes_by_type); i++)
		cost->bytes_by_type[i] =
			(double)region->bytes_by_type[i] / node_seconds;
}

/* Returns the bytes that the process has allocated and not freed. */
int64_t region_allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (int64_t)(info.uordblks + info.hblkhd);
}

static bool region_has_config(const struct region *region, int64_t revision)
{
	for (int32_t i = 0; i < region->options.nodes; i++) {
		GVariant *dump = g_variant_ref_sink(
			node_dump(region->nodes[i], region->now_us));
		int64_t own = 0;

		g_variant_lookup(dump, "config_revision", "x", &own);
		g_variant_unref(dump);
		if (own < revision)
			return false;
	}
	return true;
}

/*
 * Writes a new configuration revision and runs until all nodes have it, at
 * most PROPAGATION_LIMIT_US. Returns the time that passed, in us of virtual
 * time.
 */
int64_t region_propagate_config(struct region *region)
{
	int64_t start_us = region->now_us;

	region->revision++;
	for (int32_t i = 0; i < region->options.nodes; i++) {
		if (region->watching[i])
			region_send_watch(region, i);
	}
	while (!region_has_config(region, region->revision) &&
	       region->now_us < start_us + PROPAGATION_LIMIT_US)
		region_run(region, 5000);
	return region->now_us - start_us;
}
