#include "bench/event_queue.h"

struct event_queue {
	GArray *heap; /* struct queued_event, binary heap */
	uint64_t sequence;
};

/* Creates an empty queue. */
struct event_queue *event_queue_create(void)
{
	struct event_queue *queue = g_new0(struct event_queue, 1);

	queue->heap = g_array_new(FALSE, FALSE, sizeof(struct queued_event));
	return queue;
}

/* Frees the data of an item with its destroy function, if it has one. */
void queued_event_clear(struct queued_event *item)
{
	if (item->destroy)
		item->destroy(item->data);
}

/* Frees the queue and the data of its items; NULL is allowed. */
void event_queue_destroy(struct event_queue *queue)
{
	if (!queue)
		return;
	for (guint i = 0; i < queue->heap->len; i++)
		queued_event_clear(
			&g_array_index(queue->heap, struct queued_event, i));
	g_array_unref(queue->heap);
	g_free(queue);
}

static bool queued_event_before(const struct queued_event *a,
				const struct queued_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

/* Adds a copy of the item and sets its sequence. */
void event_queue_add(struct event_queue *queue, const struct queued_event *item)
{
	struct queued_event added = *item;
	struct queued_event *heap;
	guint i = queue->heap->len;

	added.sequence = queue->sequence++;
	g_array_append_val(queue->heap, added);
	heap = (struct queued_event *)queue->heap->data;
	while (i > 0 && queued_event_before(&added, &heap[(i - 1) / 2])) {
		heap[i] = heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap[i] = added;
}

/* Time of the first item; INT64_MAX for an empty queue. */
int64_t event_queue_next_us(const struct event_queue *queue)
{
	if (!queue->heap->len)
		return INT64_MAX;
	return g_array_index(queue->heap, struct queued_event, 0).at_us;
}

/* Moves the first item to *item. The queue must not be empty. */
void event_queue_pop(struct event_queue *queue, struct queued_event *item)
{
	struct queued_event *heap = (struct queued_event *)queue->heap->data;
	guint count = queue->heap->len - 1;
	struct queued_event last = heap[count];
	guint i = 0;

	*item = heap[0];
	g_array_set_size(queue->heap, count);
	if (!count)
		return;
	for (;;) {
		guint child = 2 * i + 1;

		if (child >= count)
			break;
		if (child + 1 < count &&
		    queued_event_before(&heap[child + 1], &heap[child]))
			child++;
		if (!queued_event_before(&heap[child], &last))
			break;
		heap[i] = heap[child];
		i = child;
	}
	heap[i] = last;
}
