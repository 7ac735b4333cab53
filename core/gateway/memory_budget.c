#include "core/gateway/memory_budget.h"

/* One part in so many is kept free for small requests. */
#define SMALL_DIVISOR 8

/* An organisation may hold this many times of what is left. */
#define FACTOR 8

/* Weight of a request in the mean time that memory is held: one in so many. */
#define MEAN_DIVISOR 8

/* What an organisation holds. */
struct holder {
	size_t small_bytes;
	size_t large_bytes;
	size_t grants;
};

struct memory_budget {
	GHashTable *holders; /* organisation to struct holder */
	size_t max_bytes;
	size_t held_bytes;
	size_t large_bytes;   /* of these, of large requests */
	int64_t mean_held_us; /* by large requests; 0: none has ended */
};

struct memory_grant {
	struct memory_budget *budget;
	char *organisation;
	struct holder *holder;
	size_t bytes;
	int64_t since_us;
};

/* Creates a budget of max_bytes; freed after all of its grants. */
struct memory_budget *memory_budget_create(size_t max_bytes)
{
	struct memory_budget *budget = g_new0(struct memory_budget, 1);

	budget->holders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	budget->max_bytes = max_bytes;
	return budget;
}

/* Frees the budget; NULL is allowed. */
void memory_budget_destroy(struct memory_budget *budget)
{
	if (!budget)
		return;
	g_hash_table_unref(budget->holders);
	g_free(budget);
}

/* Changes the limit; grants keep what they have. */
void memory_budget_set_max(struct memory_budget *budget, size_t max_bytes)
{
	budget->max_bytes = max_bytes;
}

/* The limit on all requests together, in bytes. */
size_t memory_budget_max(const struct memory_budget *budget)
{
	return budget->max_bytes;
}

/* What all requests hold, in bytes. */
size_t memory_budget_held(const struct memory_budget *budget)
{
	return budget->held_bytes;
}

static bool is_large(size_t bytes)
{
	return bytes > MEMORY_SMALL_BYTES;
}

static size_t subtract(size_t from, size_t bytes)
{
	return from > bytes ? from - bytes : 0;
}

static size_t large_max(const struct memory_budget *budget)
{
	return budget->max_bytes - budget->max_bytes / SMALL_DIVISOR;
}

/* What is left for requests of the size class, in bytes. */
static size_t budget_left(const struct memory_budget *budget, bool large)
{
	size_t left = subtract(budget->max_bytes, budget->held_bytes);

	if (!large)
		return left;
	return MIN(left, subtract(large_max(budget), budget->large_bytes));
}

/*
 * Whether the budget has room for a request of so many bytes, of an
 * organisation that holds own bytes for others of its class.
 */
static bool budget_has_room(const struct memory_budget *budget, size_t own,
			    size_t bytes)
{
	size_t left = budget_left(budget, is_large(bytes));

	return bytes <= left && own + bytes <= FACTOR * (left - bytes);
}

/* Whether a request of so many bytes finds room while no other holds any. */
bool memory_budget_may_fit(const struct memory_budget *budget, size_t bytes)
{
	size_t max = is_large(bytes) ? large_max(budget) : budget->max_bytes;

	return bytes <= max && bytes <= FACTOR * (max - bytes);
}

/*
 * Estimates the time until so many bytes become free, in us: requests end at a
 * rate of what they hold by the mean time that they hold it. -1: no large
 * request has ended yet.
 */
int64_t memory_budget_wait_us(const struct memory_budget *budget, size_t bytes)
{
	double share;

	if (budget->mean_held_us == 0)
		return -1;
	share = (double)bytes / (double)MAX(budget->held_bytes, bytes);
	return (int64_t)(share * (double)budget->mean_held_us);
}

static struct holder *budget_find_holder(struct memory_budget *budget,
					 const char *organisation)
{
	struct holder *holder =
		g_hash_table_lookup(budget->holders, organisation);

	if (!holder) {
		holder = g_new0(struct holder, 1);
		g_hash_table_insert(budget->holders, g_strdup(organisation),
				    holder);
	}
	return holder;
}

static size_t *holder_bytes(struct holder *holder, bool large)
{
	return large ? &holder->large_bytes : &holder->small_bytes;
}

static void grant_add(struct memory_grant *grant)
{
	bool large = is_large(grant->bytes);

	*holder_bytes(grant->holder, large) += grant->bytes;
	grant->budget->held_bytes += grant->bytes;
	grant->budget->large_bytes += large ? grant->bytes : 0;
}

static void grant_subtract(struct memory_grant *grant)
{
	bool large = is_large(grant->bytes);

	*holder_bytes(grant->holder, large) -= grant->bytes;
	grant->budget->held_bytes -= grant->bytes;
	grant->budget->large_bytes -= large ? grant->bytes : 0;
}

static void grant_free(struct memory_grant *grant)
{
	if (--grant->holder->grants == 0)
		g_hash_table_remove(grant->budget->holders,
				    grant->organisation);
	g_free(grant->organisation);
	g_free(grant);
}

/*
 * Grants a request of the organisation its memory; NULL if there is no room.
 * The result is freed with memory_grant_destroy.
 */
struct memory_grant *memory_grant_create(struct memory_budget *budget,
					 const char *organisation, size_t bytes,
					 int64_t now_us)
{
	struct memory_grant *grant = g_new0(struct memory_grant, 1);

	grant->budget = budget;
	grant->organisation = g_strdup(organisation);
	grant->holder = budget_find_holder(budget, organisation);
	grant->holder->grants++;
	grant->since_us = now_us;
	if (!memory_grant_resize(grant, bytes)) {
		grant_free(grant);
		return NULL;
	}
	return grant;
}

/*
 * Changes the memory of a request. Returns false, and leaves it as it is, if
 * there is no room for more.
 */
bool memory_grant_resize(struct memory_grant *grant, size_t bytes)
{
	size_t before = grant->bytes;
	bool fits;

	grant_subtract(grant);
	fits = bytes <= before ||
	       budget_has_room(grant->budget,
			       *holder_bytes(grant->holder, is_large(bytes)),
			       bytes);
	grant->bytes = fits ? bytes : before;
	grant_add(grant);
	return fits;
}

static void grant_note_time(const struct memory_grant *grant, int64_t now_us)
{
	struct memory_budget *budget = grant->budget;
	int64_t held_us = MAX(now_us - grant->since_us, 1);

	if (!is_large(grant->bytes))
		return;
	if (budget->mean_held_us == 0)
		budget->mean_held_us = held_us;
	budget->mean_held_us += (held_us - budget->mean_held_us) / MEAN_DIVISOR;
}

/* Gives the memory of a request back; NULL is allowed. */
void memory_grant_destroy(struct memory_grant *grant, int64_t now_us)
{
	if (!grant)
		return;
	grant_note_time(grant, now_us);
	grant_subtract(grant);
	grant_free(grant);
}
