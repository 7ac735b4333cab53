#include "core/placement/placement_state.h"

#include <math.h>

/*
 * Which endpoint takes a request, and which are kept out of the choice: those
 * that leave, cannot be reached, or were put aside.
 */

/* Prompts wait for each other: so many cost as much as a full engine. */
#define UNREAD_TOKENS_FULL 40000.0
/* A short answer takes mostly its wait for the prompts before it. */
#define SHORT_UNREAD 10.0
#define PREFIX_BONUS 0.1
#define PREFIX_PROMPT_TOKENS 2000.0
#define FAILURE_COST 0.1
#define AVOIDED_COST 10.0
#define WATERMARK 0.99 /* engines keep a hundredth free for what runs */
#define SMALLEST_BATCH 4
#define SHORT_BATCH_DIVISOR 8 /* part of a batch kept for short requests */
#define SHORT_MARGIN 0.5
#define SHARE_MARGIN 1.7
#define SCAN_ALL 64 /* endpoints; of more, so many are drawn */
#define ASIDE_DIVISOR 3
#define STALL_US (4 * G_USEC_PER_SEC) /* progress may come every 2 s */
#define SLOW_FACTOR 3.0
#define WATCH_LEAST 3

static bool book_is_unreachable(const struct endpoint_book *book)
{
	return endpoint_health_is_unreachable(&book->health);
}

/*
 * When most endpoints seem out of reach the fault is more likely on this
 * side: the polls' word is then not taken, or all work would be refused.
 */
static bool placement_trusts_polls(const struct placement *placement)
{
	guint lost = 0;

	for (guint i = 0; i < placement->books->len; i++)
		lost += book_is_unreachable(
			g_ptr_array_index(placement->books, i));
	return 2 * lost <= placement->books->len;
}

/* Whether an endpoint may get new work at all. */
bool placement_may_serve(const struct placement *placement,
			 const struct endpoint_book *book)
{
	if (book->leaving || book->reported_leaving)
		return false;
	if (placement->options.policy == PLACEMENT_NAIVE)
		return true;
	if (book_is_unreachable(book) && placement_trusts_polls(placement))
		return false;
	return endpoint_health_allows(&book->health);
}

/*
 * Puts an endpoint aside, but never more than a third: if many look bad at
 * once, the others would fall over under the load of those set aside.
 */
void placement_suspect(struct placement *placement, struct endpoint_book *book,
		       int64_t now_us)
{
	guint aside = 1;

	if (book->health.state == HEALTH_ASIDE)
		return;
	for (guint i = 0; i < placement->books->len; i++) {
		const struct endpoint_book *other =
			g_ptr_array_index(placement->books, i);

		aside += other->health.state == HEALTH_ASIDE;
	}
	if (aside * ASIDE_DIVISOR > placement->books->len)
		return;
	endpoint_health_put_aside(&book->health, now_us);
	placement->counts.put_aside++;
}

static gint interval_compare(gconstpointer a, gconstpointer b)
{
	const double *x = a;
	const double *y = b;

	return *x < *y ? -1 : *x > *y;
}

/* Median time between tokens over the endpoints, in us. */
int64_t placement_interval_us(const struct placement *placement)
{
	GArray *intervals;
	int64_t median = placement->options.step_us;

	if (placement->books->len == 0)
		return median;
	intervals = g_array_new(FALSE, FALSE, sizeof(double));
	for (guint i = 0; i < placement->books->len; i++) {
		const struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		g_array_append_val(intervals, book->interval_us);
	}
	g_array_sort(intervals, interval_compare);
	median = (int64_t)g_array_index(intervals, double, intervals->len / 2);
	g_array_unref(intervals);
	return median;
}

static bool book_is_outlier(const struct endpoint_book *book, int64_t median_us,
			    int64_t now_us)
{
	if (book->calls->len == 0)
		return false;
	if (now_us - book->progress_us > STALL_US)
		return true;
	return book->interval_us > SLOW_FACTOR * (double)median_us;
}

/*
 * Looks for endpoints that stand still or are far slower than the rest, and
 * lets those whose time aside is over come back.
 */
void placement_watch_endpoints(struct placement *placement, int64_t now_us)
{
	bool compare = placement->options.kind == SERVICE_GENERATION &&
		       placement->options.policy != PLACEMENT_NAIVE &&
		       placement->books->len >= WATCH_LEAST;
	int64_t median_us = compare ? placement_interval_us(placement) : 0;

	for (guint i = 0; i < placement->books->len; i++) {
		struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		endpoint_health_step(&book->health, now_us);
		if (!book->calls->len)
			endpoint_health_report_idle(&book->health);
		if (compare && book->health.state == HEALTH_GOOD &&
		    book_is_outlier(book, median_us, now_us))
			placement_suspect(placement, book, now_us);
	}
}

static bool plain_has_room(const struct placement *placement,
			   const struct endpoint_book *book)
{
	return book->slots <= 0 ||
	       (int32_t)book->calls->len <
		       MAX(book->slots / placement->divisor, 1);
}

/*
 * Whether the time between tokens stays in bounds with one call more. Long
 * ones leave a part of the batch to short ones.
 */
static bool batch_has_room(const struct placement *placement,
			   const struct endpoint_book *book,
			   const struct placed_call *call)
{
	int32_t batch = (int32_t)book->calls->len * book->sharers + 1;

	if (batch <= SMALLEST_BATCH)
		return true;
	if (call->entry.lane == QUEUE_LONG)
		batch += batch / SHORT_BATCH_DIVISOR;
	return pace_interval_us(&book->pace, batch) <=
	       placement->options.step_us;
}

/*
 * How far all lengths may be misjudged at once. While answers outlast the
 * estimate a shift may be under way, and what it has yet to learn is added:
 * each request admitted too early in these seconds is one preempted later.
 */
static double placement_shared(const struct placement *placement)
{
	double late = 1 - length_estimate_shift(placement->lengths);

	return placement->options.shared +
	       placement->options.shared_by_shift * MAX(late, 0);
}

/*
 * On a share of an engine the margin shrinks with its root: what the shares
 * hold together varies by less than the sum of their deviations. It stays
 * wider than for independent ones, since a share may be overdrawn by what its
 * node got through the home before.
 */
static double placement_deviations(const struct placement *placement)
{
	if (placement->divisor <= 1)
		return placement->deviations;
	return SHARE_MARGIN * placement->deviations / sqrt(placement->divisor);
}

static double placement_peak(const struct placement *placement,
			     const struct endpoint_book *book,
			     const struct placed_call *call, int64_t now_us)
{
	struct admission_margin margin = {
		.deviations = placement_deviations(placement),
		.shared = placement_shared(placement),
	};

	if (placement->options.policy == PLACEMENT_ORACLE)
		return endpoint_book_known_peak(book, call, now_us);
	if (call->entry.lane == QUEUE_SHORT)
		margin.deviations *= SHORT_MARGIN;
	return endpoint_book_peak(book, call, &margin);
}

static double book_cost(const struct endpoint_book *book,
			const struct placed_call *call, double fullness)
{
	double unread = (double)book->unread_tokens / UNREAD_TOKENS_FULL;
	double cost = fullness + FAILURE_COST * book->health.failures;

	cost += call->entry.lane == QUEUE_SHORT ? SHORT_UNREAD * unread
						: unread;

	if (endpoint_book_has_prefix(book, call->prefix_hash))
		cost -= PREFIX_BONUS *
			MIN((double)call->prompt_tokens / PREFIX_PROMPT_TOKENS,
			    1);
	if (call->avoid_hash && call->avoid_hash == book->hash)
		cost += AVOIDED_COST;
	return cost;
}

/*
 * An engine whose memory nobody told yet takes a few calls: its first load
 * report will say, but a node on its share asks for none.
 */
static double unknown_cost(const struct endpoint_book *book,
			   const struct placed_call *call)
{
	if (book->calls->len >= SMALLEST_BATCH)
		return G_MAXDOUBLE;
	return book_cost(book, call, book->calls->len);
}

/* Cost of placing a call there; G_MAXDOUBLE: it has no room. */
static double placement_cost(const struct placement *placement,
			     struct endpoint_book *book,
			     const struct placed_call *call, int64_t now_us)
{
	double capacity =
		WATERMARK * (double)book->capacity_tokens / placement->divisor;
	double peak;

	if (placement->options.policy == PLACEMENT_NAIVE)
		return book->calls->len;
	if (placement->options.kind == SERVICE_PLAIN) {
		if (!plain_has_room(placement, book))
			return G_MAXDOUBLE;
		return book_cost(book, call,
				 (double)book->calls->len /
					 MAX(book->slots, 1));
	}
	if (!batch_has_room(placement, book, call))
		return G_MAXDOUBLE;
	if (capacity <= 0)
		return unknown_cost(book, call);
	if (call->entry.lane == QUEUE_LONG && placement->reserved == book &&
	    placement->reserved_for != call->ticket)
		return G_MAXDOUBLE;
	endpoint_book_refresh(book, now_us);
	peak = placement_peak(placement, book, call, now_us);
	if (peak > capacity && book->calls->len > 0)
		return G_MAXDOUBLE;
	return book_cost(book, call, peak / capacity);
}

/*
 * The endpoint on which a call costs least, or NULL when none has room. The
 * start is drawn at random, so that equal ones share the load; of very many
 * only some are looked at, which keeps a decision's time bounded.
 */
struct endpoint_book *placement_choose(struct placement *placement,
				       struct placed_call *call, int64_t now_us)
{
	guint count = placement->books->len;
	guint scan = MIN(count, SCAN_ALL);
	struct endpoint_book *best = NULL;
	double best_cost = G_MAXDOUBLE;
	guint start;

	if (count == 0)
		return NULL;
	start = (guint)g_rand_int_range(placement->rand, 0, (gint32)count);
	for (guint i = 0; i < scan; i++) {
		struct endpoint_book *book = g_ptr_array_index(
			placement->books, (start + i) % count);
		double cost;

		if (!placement_may_serve(placement, book))
			continue;
		cost = placement_cost(placement, book, call, now_us);
		if (cost < best_cost) {
			best = book;
			best_cost = cost;
		}
	}
	return best;
}
