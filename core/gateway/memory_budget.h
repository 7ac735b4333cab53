#ifndef CORE_GATEWAY_MEMORY_BUDGET_H
#define CORE_GATEWAY_MEMORY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Requests of at most this size may use all of the memory, others a part. */
#define MEMORY_SMALL_BYTES ((size_t)64 * 1024)

/*
 * Bounds the memory that the requests of a process hold together. A part is
 * kept free for small requests. An organisation may hold a multiple of what is
 * left, so one alone gets most of the memory and many get equal parts, and some
 * is always left for another one (dynamic thresholds: Choudhury and Hahne,
 * IEEE/ACM Transactions on Networking 6(2), 1998).
 */
struct memory_budget;

/* The memory of one request. */
struct memory_grant;

struct memory_budget *memory_budget_create(size_t max_bytes);
void memory_budget_destroy(struct memory_budget *budget);
void memory_budget_set_max(struct memory_budget *budget, size_t max_bytes);
size_t memory_budget_max(const struct memory_budget *budget);
size_t memory_budget_held(const struct memory_budget *budget);
bool memory_budget_may_fit(const struct memory_budget *budget, size_t bytes);
int64_t memory_budget_wait_us(const struct memory_budget *budget, size_t bytes);

struct memory_grant *memory_grant_create(struct memory_budget *budget,
					 const char *organisation, size_t bytes,
					 int64_t now_us);
bool memory_grant_resize(struct memory_grant *grant, size_t bytes);
void memory_grant_destroy(struct memory_grant *grant, int64_t now_us);

G_END_DECLS

#endif
