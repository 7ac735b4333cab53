#ifndef CORE_BASE_TIMER_HEAP_H
#define CORE_BASE_TIMER_HEAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Priority queue of pending timers, earliest first. Entries can't be removed:
 * the owner checks each popped entry against its own state and ignores stale
 * ones.
 */
struct timer_heap;

struct timer_heap *timer_heap_create(void);
void timer_heap_destroy(struct timer_heap *heap);
void timer_heap_add(struct timer_heap *heap, int64_t due_us, uint64_t id);
int64_t timer_heap_next_due_us(const struct timer_heap *heap);
bool timer_heap_pop(struct timer_heap *heap, int64_t now_us, uint64_t *id);

G_END_DECLS

#endif
