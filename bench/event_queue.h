#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What is still to happen, earliest first; of the same time, first queued
 * first.
 */
struct world;

typedef void (*event_callback)(struct world *world, void *data);

struct queued {
	int64_t at_us;
	uint64_t sequence;
	int32_t node; /* dropped when this node is dead; -1: not bound */
	uint64_t incarnation;
	event_callback run;
	void *data;
	GDestroyNotify destroy; /* of data; NULL: none */
};

struct event_queue;

struct event_queue *event_queue_create(void);
void event_queue_destroy(struct event_queue *queue);
void event_queue_add(struct event_queue *queue, const struct queued *item);
int64_t event_queue_next_us(const struct event_queue *queue);
void event_queue_pop(struct event_queue *queue, struct queued *item);
void queued_clear(struct queued *item);

G_END_DECLS

#endif
