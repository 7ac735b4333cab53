#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Priority queue of simulation events, ordered by time. Events of the same time
 * run in the order in which they were added.
 */
struct world;

typedef void (*event_callback)(struct world *world, void *data);

struct queued_event {
	int64_t at_us;
	uint64_t sequence; /* set by event_queue_add */
	int32_t node;	   /* the event is dropped if it is dead; -1: no node */
	uint64_t incarnation;
	event_callback run;
	void *data;
	GDestroyNotify destroy; /* of data; NULL: none */
};

struct event_queue;

struct event_queue *event_queue_create(void);
void event_queue_destroy(struct event_queue *queue);
void event_queue_add(struct event_queue *queue,
		     const struct queued_event *item);
int64_t event_queue_next_us(const struct event_queue *queue);
void event_queue_pop(struct event_queue *queue, struct queued_event *item);
void queued_event_clear(struct queued_event *item);

G_END_DECLS

#endif
