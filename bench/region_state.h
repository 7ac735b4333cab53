#ifndef BENCH_REGION_STATE_H
#define BENCH_REGION_STATE_H

#include "bench/region.h"
#include "core/node/node.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Internals that the source files of the region share. region.c creates, runs
 * and frees it and counts the cost. region_queue.c is the queue of pending
 * events. region_answer.c simulates the answers of engines and of the
 * key-value service, and carries records between nodes.
 */

#define CONFIG_KEY "/siskinlink/config"

/* A pending event; ordered by time, then by order of queueing. */
struct item {
	int64_t at_us;
	uint64_t order;
	int32_t node;
	struct event event;
	struct peer_message *message; /* owned; EVENT_PEER */
	char *text;   /* owned; address of a load report, or generation */
	GBytes *data; /* owned; records, chunks, watched values */
	struct kv_answer kv; /* owned; EVENT_KV */
};

/* A generation at a simulated engine. */
struct generation {
	int32_t node;
	uint64_t attempt;
	int64_t generated;
};

struct region {
	struct region_options options;
	struct node **nodes;
	struct action_list *actions;
	GHashTable *node_by_address; /* peer address to node number + 1 */
	GPtrArray *heap;	     /* struct item, a binary heap */
	GHashTable *generations;     /* node and attempt to struct generation */
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
	uint64_t bytes_by_type[PEER_MESSAGE_TYPE_COUNT];
	uint64_t kv_calls;
	uint64_t polls;
	uint64_t calls;
};

/* region_queue.c */
struct item *region_item_create(int32_t node, int64_t at_us,
				enum event_type type);
void region_item_destroy(gpointer data);
void region_queue_push(struct region *region, struct item *item);
struct item *region_queue_pop(struct region *region);

/* region_answer.c */
uint64_t region_generation_key(int32_t node, uint64_t attempt);
void region_generation_continue(struct region *region,
				struct generation *generation);
void region_send_watch(struct region *region, int32_t node);
void region_execute_actions(struct region *region, int32_t node);

G_END_DECLS

#endif
