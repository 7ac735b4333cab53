#ifndef CORE_PLACEMENT_WAIT_QUEUE_H
#define CORE_PLACEMENT_WAIT_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Waiting requests, grouped by organisation. Requests of one organisation are
 * ordered by their latest useful start, earlier for a higher priority. Between
 * organisations the order is by priority, which rises with waiting time, then
 * by tokens served so far per weight (start-time fair queueing, Goyal et al.,
 * 1997). Short requests have their own lane, so that long requests that do not
 * fit do not block them.
 */
enum queue_lane { QUEUE_SHORT, QUEUE_LONG, QUEUE_LANES };

struct queue_organisation {
	char *name;
	int32_t weight;
	double virtual_finish; /* served tokens per weight */
	GSequence *lanes[QUEUE_LANES];
	uint32_t waiting;
	double waiting_tokens;
};

/* Embedded in each object that waits. */
struct queue_entry {
	struct queue_organisation *organisation;
	enum queue_lane lane;
	int32_t priority;
	int64_t arrival_us;
	int64_t start_by_us; /* latest useful start */
	double tokens;	     /* expected cost */
	GSequenceIter *iter; /* NULL: not in the queue */
};

struct wait_queue;

struct wait_queue *wait_queue_create(void);
void wait_queue_destroy(struct wait_queue *queue);
struct queue_organisation *wait_queue_organisation(struct wait_queue *queue,
						   const char *name,
						   int32_t weight);
void wait_queue_push(struct wait_queue *queue, struct queue_entry *entry);
void wait_queue_remove(struct wait_queue *queue, struct queue_entry *entry);
void wait_queue_charge(struct wait_queue *queue,
		       struct queue_organisation *organisation, double tokens,
		       bool served);
uint32_t wait_queue_heads(struct wait_queue *queue, enum queue_lane lane,
			  int64_t now_us, struct queue_entry **heads,
			  uint32_t max_heads);
struct queue_entry *wait_queue_pick_overflow(const struct wait_queue *queue);
double wait_queue_tokens_ahead(const struct wait_queue *queue,
			       const struct queue_entry *entry);
uint32_t wait_queue_length(const struct wait_queue *queue);
void wait_queue_foreach(struct wait_queue *queue, GFunc visit, gpointer data);

G_END_DECLS

#endif
