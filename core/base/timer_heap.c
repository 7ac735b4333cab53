#include "core/base/timer_heap.h"

struct timer_entry {
	int64_t due_us;
	uint64_t id;
};

struct timer_heap {
	GArray *entries; /* struct timer_entry, a binary heap */
};

static struct timer_entry *entry_at(const struct timer_heap *heap, guint i)
{
	return &g_array_index(heap->entries, struct timer_entry, i);
}

/* Equal times are ordered by id, so that a run can be repeated exactly. */
static bool entry_before(const struct timer_entry *a,
			 const struct timer_entry *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->id < b->id;
}

static void entry_swap(struct timer_heap *heap, guint a, guint b)
{
	struct timer_entry entry = *entry_at(heap, a);

	*entry_at(heap, a) = *entry_at(heap, b);
	*entry_at(heap, b) = entry;
}

static void timer_heap_sift_up(struct timer_heap *heap, guint i)
{
	while (i > 0) {
		guint parent = (i - 1) / 2;

		if (!entry_before(entry_at(heap, i), entry_at(heap, parent)))
			return;
		entry_swap(heap, i, parent);
		i = parent;
	}
}

static void timer_heap_sift_down(struct timer_heap *heap, guint i)
{
	guint count = heap->entries->len;

	for (;;) {
		guint earliest = i;

		for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
			if (child < count &&
			    entry_before(entry_at(heap, child),
					 entry_at(heap, earliest)))
				earliest = child;
		}
		if (earliest == i)
			return;
		entry_swap(heap, i, earliest);
		i = earliest;
	}
}

/* Creates an empty heap; the caller owns it. */
struct timer_heap *timer_heap_create(void)
{
	struct timer_heap *heap = g_new0(struct timer_heap, 1);

	heap->entries = g_array_new(FALSE, FALSE, sizeof(struct timer_entry));
	return heap;
}

/* Frees the heap; NULL is allowed. */
void timer_heap_destroy(struct timer_heap *heap)
{
	if (!heap)
		return;
	g_array_unref(heap->entries);
	g_free(heap);
}

/* Adds a timer for id; the heap may hold several timers of one id. */
void timer_heap_add(struct timer_heap *heap, int64_t due_us, uint64_t id)
{
	struct timer_entry entry = {.due_us = due_us, .id = id};

	g_array_append_val(heap->entries, entry);
	timer_heap_sift_up(heap, heap->entries->len - 1);
}

/* Returns when the earliest timer is due; INT64_MAX if there is none. */
int64_t timer_heap_next_due_us(const struct timer_heap *heap)
{
	return heap->entries->len ? entry_at(heap, 0)->due_us : INT64_MAX;
}

/* Removes the earliest timer if it is due at now_us; false: none is due. */
bool timer_heap_pop(struct timer_heap *heap, int64_t now_us, uint64_t *id)
{
	guint last = heap->entries->len - 1;

	if (timer_heap_next_due_us(heap) > now_us)
		return false;
	*id = entry_at(heap, 0)->id;
	entry_swap(heap, 0, last);
	g_array_set_size(heap->entries, last);
	timer_heap_sift_down(heap, 0);
	return true;
}
