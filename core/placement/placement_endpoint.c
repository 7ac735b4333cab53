#include "core/placement/placement_state.h"

#include "core/placement/home.h"

/*
 * The endpoints of a placement: which there are, and what is heard of them.
 */

/* Deviations; why so, and the way down in placement_step.c: docs/POLICY.md. */
#define MARGIN_UP 0.1 /* by each preemption */
#define MARGIN_MOST 4.0
#define PREEMPTED_SPARE 16 /* requests that ended since the last report */

/* An endpoint's book; unknown addresses are counted and give NULL. */
struct endpoint_book *placement_find_endpoint(struct placement *placement,
					      const char *address)
{
	struct endpoint_book *book =
		g_hash_table_lookup(placement->by_address, address);

	if (!book)
		placement->counts.unknown++;
	return book;
}

/* Adds an endpoint or takes over its new settings. */
void placement_set_endpoint(struct placement *placement,
			    const struct config_endpoint *endpoint,
			    int64_t now_us)
{
	struct endpoint_book *book =
		g_hash_table_lookup(placement->by_address, endpoint->address);

	if (!book) {
		book = endpoint_book_create(endpoint->address,
					    placement->options.step_us, now_us);
		book->hash = home_hash(endpoint->address, "", 0);
		book->sharers = placement->divisor;
		g_ptr_array_add(placement->books, book);
		g_hash_table_insert(placement->by_address, book->address, book);
	}
	book->capacity_configured = endpoint->capacity_tokens > 0;
	if (book->capacity_configured)
		book->capacity_tokens = endpoint->capacity_tokens;
	placement->largest_tokens =
		MAX(placement->largest_tokens, book->capacity_tokens);
	book->slots = endpoint->slots;
	book->leaving = endpoint->leaving;
	placement->recheck = true;
}

/* Removes an endpoint and forgets what it held. */
void placement_remove_endpoint(struct placement *placement, const char *address,
			       G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (!book)
		return;
	while (book->calls->len > 0)
		placement_forget(placement, g_ptr_array_index(book->calls, 0));
	if (placement->reserved == book)
		placement->reserved = NULL;
	g_hash_table_remove(placement->by_address, address);
	g_ptr_array_remove(placement->books, book);
	endpoint_book_destroy(book);
}

/* A leaving endpoint keeps what it holds and gets nothing new. */
void placement_set_leaving(struct placement *placement, const char *address,
			   bool leaving)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (book)
		book->leaving = leaving;
	placement->recheck = true;
}

/* Without a home each of divisor nodes uses that part of every endpoint. */
void placement_set_share(struct placement *placement, int32_t divisor)
{
	placement->divisor = MAX(divisor, 1);
	for (guint i = 0; i < placement->books->len; i++) {
		struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		book->sharers = placement->divisor;
	}
	placement->recheck = true;
}

/*
 * The margin follows what preemptions cost: see docs/POLICY.md. More of them
 * at once than an engine runs requests are a wrong counter, and would narrow
 * the use of all engines for one that lies.
 */
static void placement_learn_margin(struct placement *placement,
				   int64_t preempted)
{
	if (placement->options.deviations > 0)
		return;
	placement->deviations =
		MIN(placement->deviations + MARGIN_UP * (double)preempted,
		    MARGIN_MOST);
}

/*
 * Takes an endpoint's own report. Older and absurd ones are counted and
 * ignored; what is taken never makes an endpoint look emptier than the book.
 */
void placement_report_load(struct placement *placement, const char *address,
			   const struct load_report *report, int64_t now_us)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);
	int64_t preempted;

	if (!book)
		return;
	endpoint_health_report_poll(&book->health, true, now_us);
	placement->recheck = true;
	switch (endpoint_book_report(book, report, now_us, &preempted)) {
	case REPORT_TAKEN:
		placement->counts.reports_taken++;
		placement->largest_tokens =
			MAX(placement->largest_tokens, book->capacity_tokens);
		if (preempted <=
		    2 * (int64_t)book->calls->len + PREEMPTED_SPARE)
			placement_learn_margin(placement, preempted);
		break;
	case REPORT_OLDER:
		placement->counts.reports_older++;
		break;
	case REPORT_ABSURD:
		placement->counts.reports_absurd++;
		break;
	}
}

/* The endpoint gave no report. */
void placement_report_unreachable(struct placement *placement,
				  const char *address, int64_t now_us)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (!book)
		return;
	endpoint_health_report_poll(&book->health, false, now_us);
}

/* A hint that an endpoint holds a prompt's prefix, or no longer does. */
void placement_prefix_cached(struct placement *placement, const char *address,
			     uint64_t prefix_hash, bool cached)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (book)
		endpoint_book_prefix(book, prefix_hash, cached);
}
