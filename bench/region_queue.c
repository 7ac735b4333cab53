#include "bench/region_state.h"

/* Creates an event for a node at at_us; the caller owns it and fills it in. */
struct item *region_item_create(int32_t node, int64_t at_us,
				enum event_type type)
{
	struct item *item = g_new0(struct item, 1);

	item->node = node;
	item->at_us = at_us;
	item->event.type = type;
	return item;
}

/* Frees an item and everything that it owns. */
void region_item_destroy(gpointer data)
{
	struct item *item = data;

	peer_message_destroy(item->message);
	g_free(item->text);
	if (item->data)
		g_bytes_unref(item->data);
	kv_answer_clear(&item->kv);
	g_free(item);
}

static bool item_before(const struct item *a, const struct item *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->order < b->order;
}

/* Queues an item, after those of the same time; the queue owns it. */
void region_queue_push(struct region *region, struct item *item)
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

/* Removes and returns the earliest item; the queue must not be empty. */
struct item *region_queue_pop(struct region *region)
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
