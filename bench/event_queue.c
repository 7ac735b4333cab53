#include "bench/event_queue.h"

struct event_queue {
	GArray *heap; /* struct queued, binary heap */
	uint64_t sequence;
};

/* Creates an empty queue. */
struct event_queue *event_queue_create(void)
{
	struct event_queue *queue = g_new0(struct event_queue, 1);

	queue->heap = g_array_new(FALSE, FALSE, sizeof(struct queued));
	return queue;
}

/* Frees the data of an item with its destroy function, if it has one. */
void queued_clear(struct queued *item)
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
		queued_clear(&g_array_index(queue->heap, struct queued, i));
	g_array_unref(queue->heap);
	g_free(queue);
}

static bool queued_before(const struct queued *a, const struct queued *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

/* Adds a copy of the item and sets its sequence. */
void event_queue_add(struct event_queue *queue, const struct queued *item)
{
	struct queued added = *item;
	struct queued *heap;
	guint i = queue->heap->len;

	added.sequence = queue->sequence++;
	g_array_append_val(queue->heap, added);
	heap = (struct queued *)queue->heap->data;
	while (i > 0 && queued_before(&added, &heap[(i - 1) / 2])) {
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
	return g_array_index(queue->heap, struct queued, 0).at_us;
}

/* Moves the first item to *item. The queue must not be empty. */
void event_queue_pop(struct event_queue *queue, struct queued *item)
{
	struct queued *heap = (struct queued *)queue->heap->data;
	guint count = queue->heap->len - 1;
	struct queued last = heap[count];
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
		    queued_before(&heap[child + 1], &heap[child]))
			child++;
		if (!queued_before(&heap[child], &last))
			break;
		heap[i] = heap[child];
		i = child;
	}
	heap[i] = last;
}
