#include "bench/region.h"

#include "core/config/config_json.h"
#include "codec/peer_codec.h"
#include "core/node/node.h"

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define CONFIG_KEY "/siskinlink/config"
#define SPREAD_LIMIT_US (60 * G_USEC_PER_SEC)
#define REVISION_FIRST 2

/* What is still to happen; earliest first, then first queued first. */
struct item {
	int64_t at_us;
	uint64_t order;
	int32_t node;
	struct event event;
	struct peer_message *message; /* owned; EVENT_PEER */
	char *text;		      /* owned; load's endpoint, generation */
	GBytes *data;		      /* owned; chunks, watched values */
	struct kv_answer kv;	      /* owned; EVENT_KV */
};

/* One generation at an engine that only answers. */
struct flow {
	int32_t node;
	uint64_t attempt;
	int64_t made;
};

struct region {
	struct region_options options;
	struct node **nodes;
	struct action_list *actions;
	GHashTable *by_peer; /* peer address to node number + 1 */
	GPtrArray *heap;     /* struct item, a binary heap */
	GHashTable *flows;   /* node and attempt to struct flow */
	uint64_t order;
	uint64_t next_call;
	int64_t now_us;
	GRand *random;
	GBytes *chunk;
	GBytes *document;
	int64_t revision;
	bool *watching;
	int64_t *next_arrival_us;

	int64_t measure_from_us;
	uint64_t control_ns;
	uint64_t data_ns;
	uint64_t grant_ns;
	uint64_t grants;
	uint64_t records;
	uint64_t bytes;
	uint64_t bytes_by_type[16];
	uint64_t kv_calls;
	uint64_t polls;
	uint64_t calls;
};

/* The letter's ratios, of one region: 1/10 of each of its numbers. */
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

static bool item_before(const struct item *a, const struct item *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

static void heap_push(struct region *region, struct item *item)
{
	GPtrArray *heap = region->heap;
	guint i = heap->len;

	item->order = region->order++;
	g_ptr_array_add(heap, item);
	while (i > 0 && item_before(item, heap->pdata[(i - 1) / 2])) {
		heap->pdata[i] = heap->pdata[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap->pdata[i] = item;
}

static struct item *heap_pop(struct region *region)
{
	GPtrArray *heap = region->heap;
	struct item *top = heap->pdata[0];
	struct item *last = g_ptr_array_steal_index(heap, heap->len - 1);
	guint i = 0;

	if (top == last)
		return top;
	for (;;) {
		guint child = 2 * i + 1;

		if (child >= heap->len)
			break;
		if (child + 1 < heap->len &&
		    item_before(heap->pdata[child + 1], heap->pdata[child]))
			child++;
		if (!item_before(heap->pdata[child], last))
			break;
		heap->pdata[i] = heap->pdata[child];
		i = child;
	}
	heap->pdata[i] = last;
	return top;
}

static void item_destroy(gpointer data)
{
	struct item *item = data;

	peer_message_destroy(item->message);
	g_free(item->text);
	if (item->data)
		g_bytes_unref(item->data);
	kv_answer_clear(&item->kv);
	g_free(item);
}

static struct item *item_create(int32_t node, int64_t at_us,
				enum event_type type)
{
	struct item *item = g_new0(struct item, 1);

	item->node = node;
	item->at_us = at_us;
	item->event.type = type;
	return item;
}

static uint64_t thread_ns(void)
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

static void region_queue_chunk(struct region *region, const struct flow *flow,
			       int64_t tokens)
{
	struct item *item = item_create(
		flow->node, region->now_us + tokens * region->options.token_us,
		EVENT_ATTEMPT_CHUNK);

	item->event.chunk.attempt = flow->attempt;
	item->event.chunk.first_token = flow->made;
	item->event.chunk.token_count = tokens;
	item->data = g_bytes_ref(region->chunk);
	item->event.chunk.data = item->data;
	heap_push(region, item);
}

static uint64_t flow_key(int32_t node, uint64_t attempt)
{
	return ((uint64_t)node << 48) | attempt;
}

static void region_flow_next(struct region *region, struct flow *flow)
{
	int64_t left = region->options.output_tokens - flow->made;
	uint64_t key = flow_key(flow->node, flow->attempt);
	struct item *item;

	if (left > 0) {
		region_queue_chunk(region, flow,
				   MIN(left, region->options.chunk_tokens));
		return;
	}
	item = item_create(flow->node, region->now_us, EVENT_ATTEMPT_DONE);
	item->event.done.attempt = flow->attempt;
	item->event.done.token_count = flow->made;
	item->event.done.finish_reason = "stop";
	heap_push(region, item);
	g_hash_table_remove(region->flows, &key);
}

static void region_send(struct region *region, int32_t node,
			const struct action_attempt_send *send)
{
	struct flow *flow = g_new0(struct flow, 1);
	uint64_t key = flow_key(node, send->attempt);
	struct item *item =
		item_create(node, region->now_us, EVENT_ATTEMPT_STARTED);

	flow->node = node;
	flow->attempt = send->attempt;
	g_hash_table_insert(region->flows, g_memdup2(&key, sizeof(key)), flow);
	item->event.started.attempt = send->attempt;
	item->text = g_strdup_printf("g%" G_GUINT64_FORMAT, send->attempt);
	item->event.started.generation = item->text;
	heap_push(region, item);
	region_queue_chunk(region, flow, 1);
}

static void region_send_record(struct region *region, int32_t from,
			       struct action_peer_send *send)
{
	gpointer to = g_hash_table_lookup(region->by_peer, send->peer_address);
	GBytes *record = peer_codec_encode(send->message);
	struct item *item;

	(void)from;
	region->records++;
	region->bytes += g_bytes_get_size(record);
	region->bytes_by_type[send->message->type] += g_bytes_get_size(record);
	if (to) {
		item = item_create(GPOINTER_TO_INT(to) - 1,
				   region->now_us + region->options.delay_us,
				   EVENT_PEER);
		item->data = record;
		heap_push(region, item);
		return;
	}
	g_bytes_unref(record);
}

static void region_answer_kv(struct region *region, int32_t node,
			     const struct kv_request *request)
{
	struct item *item = item_create(
		node, region->now_us + region->options.delay_us, EVENT_KV);

	region->kv_calls++;
	item->kv.id = request->id;
	item->kv.op = request->op;
	item->kv.outcome = KV_OK;
	item->kv.lease = 1;
	if (request->op == KV_GET && region->document) {
		item->kv.entries = kv_entries_create();
		kv_entries_add(item->kv.entries, request->key, region->document,
			       region->revision, region->revision);
	}
	heap_push(region, item);
}

static void region_answer_poll(struct region *region, int32_t node,
			       const char *endpoint)
{
	struct item *item = item_create(
		node, region->now_us + region->options.delay_us, EVENT_LOAD);
	struct load_report *report = &item->event.load.report;

	region->polls++;
	item->text = g_strdup(endpoint);
	item->event.load.endpoint = item->text;
	item->event.load.reached = true;
	*report = (struct load_report){
		.reported_at_us = region->now_us,
		.running = -1,
		.waiting = -1,
		.tokens_used = -1,
		.tokens_capacity = region->options.capacity_tokens,
		.preemptions_total = -1,
	};
	heap_push(region, item);
}

static void region_send_watch(struct region *region, int32_t node)
{
	struct item *item =
		item_create(node, region->now_us + region->options.delay_us,
			    EVENT_KV_WATCH);

	item->data = g_bytes_ref(region->document);
	item->event.kv_watch.key = CONFIG_KEY;
	item->event.kv_watch.mod_revision = region->revision;
	item->event.kv_watch.value = item->data;
	heap_push(region, item);
}

static void region_apply(struct region *region, int32_t node)
{
	for (size_t i = 0; i < action_list_count(region->actions); i++) {
		struct action *action = action_list_get(region->actions, i);

		switch (action->type) {
		case ACTION_PEER_SEND:
			region_send_record(region, node, &action->peer_send);
			break;
		case ACTION_ATTEMPT_SEND:
			region_send(region, node, &action->send);
			break;
		case ACTION_KV:
			region_answer_kv(region, node, &action->kv);
			break;
		case ACTION_KV_WATCH:
			region->watching[node] = true;
			region_send_watch(region, node);
			break;
		case ACTION_POLL_LOAD:
			region_answer_poll(region, node,
					   action->poll_load.endpoint);
			break;
		default:
			break;
		}
	}
	action_list_clear(region->actions);
}

/*
 * The time of a step counts as control unless a caller or an engine caused
 * it; encoding and decoding of records count with the step they belong to.
 */
static void region_step(struct region *region, int32_t node,
			const struct event *event)
{
	uint64_t start_ns = thread_ns();
	uint64_t spent_ns;

	node_step(region->nodes[node], region->now_us, event, region->actions);
	spent_ns = thread_ns() - start_ns;
	if (event_is_data(event))
		region->data_ns += spent_ns;
	else
		region->control_ns += spent_ns;
	if (event->type == EVENT_PEER && event->peer->type == PEER_PLACE) {
		region->grant_ns += spent_ns;
		region->grants++;
	}
	start_ns = thread_ns();
	region_apply(region, node);
	region->control_ns += thread_ns() - start_ns;
}

static void region_deliver(struct region *region, struct item *item)
{
	struct flow *flow;
	struct error error;
	uint64_t key;
	uint64_t start_ns = thread_ns();

	if (item->event.type == EVENT_PEER) {
		item->message = peer_codec_decode(item->data, &error);
		if (!item->message)
			g_error("%s: %s", error.step, error.detail);
		item->event.peer = item->message;
		region->control_ns += thread_ns() - start_ns;
	}
	if (item->event.type == EVENT_KV)
		item->event.kv = &item->kv;
	region_step(region, item->node, &item->event);
	if (item->event.type != EVENT_ATTEMPT_CHUNK)
		return;
	key = flow_key(item->node, item->event.chunk.attempt);
	flow = g_hash_table_lookup(region->flows, &key);
	if (!flow)
		return;
	flow->made += item->event.chunk.token_count;
	region_flow_next(region, flow);
}

static void region_call(struct region *region, int32_t node)
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

/* Runs for so long, in us of virtual time. */
void region_run(struct region *region, int64_t for_us)
{
	int64_t until_us = region->now_us + for_us;
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
			item = heap_pop(region);
			region->now_us = MAX(region->now_us, item->at_us);
			region_deliver(region, item);
			item_destroy(item);
			continue;
		}
		region->now_us = MAX(region->now_us, at_us);
		if (!is_call) {
			region_step(region, node, &timer);
			continue;
		}
		region->next_arrival_us[node] =
			region->now_us + region_interarrival_us(region);
		region_call(region, node);
	}
	region->now_us = until_us;
}

static GBytes *region_document(const struct region *region)
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
	g_hash_table_insert(region->by_peer, g_strdup(peer),
			    GINT_TO_POINTER(i + 1));
	node_start(region->nodes[i], region->now_us, region->actions);
	region_apply(region, i);
	g_free(name);
	g_free(http);
	g_free(peer);
}

/* Nodes that have just started, with a configuration to read. */
struct region *region_create(const struct region_options *options)
{
	static const char *const seeds[] = {"10.250.0.1:8090",
					    "10.250.0.2:8090", NULL};
	struct region *region = g_new0(struct region, 1);

	region->options = *options;
	region->actions = action_list_create();
	region->by_peer =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	region->heap = g_ptr_array_new_with_free_func(item_destroy);
	region->flows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	region->now_us = G_USEC_PER_SEC;
	region->random = g_rand_new_with_seed(options->seed);
	region->chunk = g_bytes_new_static("{\"tokens\":8}", 12);
	region->document = region_document(region);
	region->revision = REVISION_FIRST;
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
	g_hash_table_destroy(region->flows);
	g_hash_table_destroy(region->by_peer);
	action_list_destroy(region->actions);
	g_bytes_unref(region->chunk);
	g_bytes_unref(region->document);
	g_rand_free(region->random);
	g_free(region);
}

/* Forgets what was counted so far. */
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

/* What was counted since the start of the measurement, for each node. */
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
	cost->open_calls = (double)g_hash_table_size(region->flows) /
			   region->options.nodes;
	cost->grant_us = region->grants ? (double)region->grant_ns / 1e3 /
						  (double)region->grants
					: 0;
	for (guint i = 0; i < G_N_ELEMENTS(cost->bytes_by_type); i++)
		cost->bytes_by_type[i] =
			(double)region->bytes_by_type[i] / node_seconds;
}

/* Bytes that the process has allocated and not freed. */
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

/* Writes a new revision and waits until it is in force everywhere. */
int64_t region_spread_config(struct region *region)
{
	int64_t start_us = region->now_us;

	region->revision++;
	for (int32_t i = 0; i < region->options.nodes; i++) {
		if (region->watching[i])
			region_send_watch(region, i);
	}
	while (!region_has_config(region, region->revision) &&
	       region->now_us < start_us + SPREAD_LIMIT_US)
		region_run(region, 5000);
	return region->now_us - start_us;
}
