#include "core/placement/placement_state.h"

#include "core/placement/home.h"

/*
 * The endpoints of a placement: configuration, load reports and reachability.
 */

/*
 * Margin in deviations; placement_step.c narrows it. docs/POLICY.md gives the
 * reasons.
 */
#define MARGIN_UP_PER_PREEMPTION 0.1
#define MARGIN_MAX 4.0
#define PREEMPTED_SLACK 16 /* requests that ended since the last report */

/* Looks up an endpoint. Counts an unknown address and returns NULL for it. */
struct endpoint_book *placement_find_endpoint(struct placement *placement,
					      const char *address)
{
	struct endpoint_book *book =
		g_hash_table_lookup(placement->by_address, address);

	if (!book)
		placement->counts.unknown++;
	return book;
}

/* Adds an endpoint, or updates the settings of a known one. */
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
		book->sharing_nodes = placement->share_divisor;
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

/* Removes an endpoint and frees the calls placed on it. */
void placement_remove_endpoint(struct placement *placement, const char *address,
			       G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (!book)
		return;
	while (book->calls->len > 0)
		placement_remove_call(placement,
				      g_ptr_array_index(book->calls, 0));
	if (placement->reserved == book)
		placement->reserved = NULL;
	g_hash_table_remove(placement->by_address, address);
	g_ptr_array_remove(placement->books, book);
	endpoint_book_destroy(book);
}

/* A leaving endpoint keeps its calls but receives no new ones. */
void placement_set_leaving(struct placement *placement, const char *address,
			   bool leaving)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (book)
		book->leaving = leaving;
	placement->recheck = true;
}

/*
 * Sets the part of every endpoint that may be used: 1/share_divisor, for one
 * of share_divisor nodes that place without a home. 1 uses all of it.
 */
void placement_set_share(struct placement *placement, int32_t share_divisor)
{
	placement->share_divisor = MAX(share_divisor, 1);
	for (guint i = 0; i < placement->books->len; i++) {
		struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		book->sharing_nodes = placement->share_divisor;
	}
	placement->recheck = true;
}

/*
 * Widens the margin by MARGIN_UP_PER_PREEMPTION for each preemption, up to
 * MARGIN_MAX; docs/POLICY.md gives the reasons.
 */
static void placement_widen_margin(struct placement *placement,
				   int64_t preempted)
{
	if (placement->options.deviations > 0)
		return;
	placement->deviations =
		MIN(placement->deviations +
			    MARGIN_UP_PER_PREEMPTION * (double)preempted,
		    MARGIN_MAX);
}

/*
 * Applies an endpoint's load report. Older and implausible reports are counted
 * and ignored. A report never lowers the load below the sum of the grants.
 *
 * More preemptions at once than the engine can have had requests mean a wrong
 * counter. They don't widen the margin, since the use of all engines would
 * shrink because of one that reports wrong values.
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
	switch (endpoint_book_apply_report(book, report, now_us, &preempted)) {
	case REPORT_ACCEPTED:
		placement->counts.reports_taken++;
		placement->largest_tokens =
			MAX(placement->largest_tokens, book->capacity_tokens);
		if (preempted <=
		    2 * (int64_t)book->calls->len + PREEMPTED_SLACK)
			placement_widen_margin(placement, preempted);
		break;
	case REPORT_OUTDATED:
		placement->counts.reports_older++;
		break;
	case REPORT_IMPLAUSIBLE:
		placement->counts.reports_absurd++;
		break;
	}
}

/* Notes that a poll of the endpoint's load failed. */
void placement_report_unreachable(struct placement *placement,
				  const char *address, int64_t now_us)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (!book)
		return;
	endpoint_health_report_poll(&book->health, false, now_us);
}

/* Hint that an endpoint caches the prefix of a prompt, or no longer does. */
void placement_report_prefix(struct placement *placement, const char *address,
			     uint64_t prefix_hash, bool cached)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);

	if (book)
		endpoint_book_set_prefix(book, prefix_hash, cached);
}
