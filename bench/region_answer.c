#include "bench/region_state.h"

#include "codec/peer_codec.h"

#include <string.h>

static void region_queue_chunk(struct region *region,
			       const struct generation *generation,
			       int64_t tokens)
{
	struct item *item = region_item_create(
		generation->node,
		region->now_us + tokens * region->options.token_us,
		EVENT_ATTEMPT_CHUNK);

	item->event.chunk.attempt = generation->attempt;
	item->event.chunk.first_token = generation->generated;
	item->event.chunk.token_count = tokens;
	item->data = g_bytes_ref(region->chunk);
	item->event.chunk.data = item->data;
	region_queue_push(region, item);
}

/* Returns the key of a generation: node in the upper 16 bits, then attempt. */
uint64_t region_generation_key(int32_t node, uint64_t attempt)
{
	return ((uint64_t)node << 48) | attempt;
}

/*
 * Queues the next chunk of a generation, or its end. After the end the
 * generation is removed and freed.
 */
void region_generation_continue(struct region *region,
				struct generation *generation)
{
	int64_t remaining =
		region->options.output_tokens - generation->generated;
	uint64_t key =
		region_generation_key(generation->node, generation->attempt);
	struct item *item;

	if (remaining > 0) {
		region_queue_chunk(
			region, generation,
			MIN(remaining, region->options.chunk_tokens));
		return;
	}
	item = region_item_create(generation->node, region->now_us,
				  EVENT_ATTEMPT_DONE);
	item->event.done.attempt = generation->attempt;
	item->event.done.token_count = generation->generated;
	item->event.done.finish_reason = "stop";
	region_queue_push(region, item);
	g_hash_table_remove(region->generations, &key);
}

static void region_start_generation(struct region *region, int32_t node,
				    const struct action_attempt_send *send)
{
	struct generation *generation = g_new0(struct generation, 1);
	uint64_t key = region_generation_key(node, send->attempt);
	struct item *item =
		region_item_create(node, region->now_us, EVENT_ATTEMPT_STARTED);

	generation->node = node;
	generation->attempt = send->attempt;
	g_hash_table_insert(region->generations, g_memdup2(&key, sizeof(key)),
			    generation);
	item->event.started.attempt = send->attempt;
	item->text = g_strdup_printf("g%" G_GUINT64_FORMAT, send->attempt);
	item->event.started.generation = item->text;
	region_queue_push(region, item);
	region_queue_chunk(region, generation, 1);
}

static void region_send_record(struct region *region, int32_t from,
			       struct action_peer_send *send)
{
	gpointer to = g_hash_table_lookup(region->node_by_address,
					  send->peer_address);
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

/* Queues an update of the watched configuration key for a node. */
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

/* Executes and clears the actions that a node has requested. */
void region_execute_actions(struct region *region, int32_t node)
{
	for (size_t i = 0; i < action_list_count(region->actions); i++) {
		struct action *action = action_list_get(region->actions, i);

		switch (action->type) {
		case ACTION_PEER_SEND:
			region_send_record(region, node, &action->peer_send);
			break;
		case ACTION_ATTEMPT_SEND:
			region_start_generation(region, node, &action->send);
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
