#include "bench/region_state.h"

#include "codec/peer_codec.h"

#include <string.h>

static void region_queue_chunk(struct region *region, const struct flow *flow,
			       int64_t tokens)
{
	struct item *item = region_item_create(
		flow->node, region->now_us + tokens * region->options.token_us,
		EVENT_ATTEMPT_CHUNK);

	item->event.chunk.attempt = flow->attempt;
	item->event.chunk.first_token = flow->made;
	item->event.chunk.token_count = tokens;
	item->data = g_bytes_ref(region->chunk);
	item->event.chunk.data = item->data;
	region_queue_push(region, item);
}

/* A generation, by who asked for it. */
uint64_t region_flow_key(int32_t node, uint64_t attempt)
{
	return ((uint64_t)node << 48) | attempt;
}

/* What a generation makes next, or its end. */
void region_flow_next(struct region *region, struct flow *flow)
{
	int64_t left = region->options.output_tokens - flow->made;
	uint64_t key = region_flow_key(flow->node, flow->attempt);
	struct item *item;

	if (left > 0) {
		region_queue_chunk(region, flow,
				   MIN(left, region->options.chunk_tokens));
		return;
	}
	item = region_item_create(flow->node, region->now_us,
				  EVENT_ATTEMPT_DONE);
	item->event.done.attempt = flow->attempt;
	item->event.done.token_count = flow->made;
	item->event.done.finish_reason = "stop";
	region_queue_push(region, item);
	g_hash_table_remove(region->flows, &key);
}

static void region_send(struct region *region, int32_t node,
			const struct action_attempt_send *send)
{
	struct flow *flow = g_new0(struct flow, 1);
	uint64_t key = region_flow_key(node, send->attempt);
	struct item *item =
		region_item_create(node, region->now_us, EVENT_ATTEMPT_STARTED);

	flow->node = node;
	flow->attempt = send->attempt;
	g_hash_table_insert(region->flows, g_memdup2(&key, sizeof(key)), flow);
	item->event.started.attempt = send->attempt;
	item->text = g_strdup_printf("g%" G_GUINT64_FORMAT, send->attempt);
	item->event.started.generation = item->text;
	region_queue_push(region, item);
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
		item = region_item_create(
			GPOINTER_TO_INT(to) - 1,
			region->now_us + region->options.delay_us, EVENT_PEER);
		item->data = record;
		region_queue_push(region, item);
		return;
	}
	g_bytes_unref(record);
}

static void region_answer_kv(struct region *region, int32_t node,
			     const struct kv_request *request)
{
	struct item *item = region_item_create(
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
	region_queue_push(region, item);
}

static void region_answer_poll(struct region *region, int32_t node,
			       const char *endpoint)
{
	struct item *item = region_item_create(
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
	region_queue_push(region, item);
}

/* A state of the watched key, as the service sends it. */
void region_send_watch(struct region *region, int32_t node)
{
	struct item *item = region_item_create(
		node, region->now_us + region->options.delay_us,
		EVENT_KV_WATCH);

	item->data = g_bytes_ref(region->document);
	item->event.kv_watch.key = CONFIG_KEY;
	item->event.kv_watch.mod_revision = region->revision;
	item->event.kv_watch.value = item->data;
	region_queue_push(region, item);
}

/* Carries out what a node asks for. */
void region_apply(struct region *region, int32_t node)
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
