#include "core/placement/placement_state.h"

#include <math.h>

/*
 * Selects the endpoint for a request. Endpoints that are leaving, unreachable
 * or put aside are not eligible.
 */

/*
 * An engine reads prompts one after the other: this many unread prompt tokens
 * cost as much as a full engine.
 */
#define UNREAD_TOKENS_FULL 40000.0
/* Most of a short answer's time is the wait for the prompts before it. */
#define SHORT_UNREAD_FACTOR 10.0
#define PREFIX_BONUS 0.1
#define PREFIX_PROMPT_TOKENS 2000.0
#define FAILURE_COST 0.1
#define AVOIDED_COST 10.0
#define WATERMARK 0.99 /* engines reserve 1 % for running requests */
#define MIN_BATCH 4
#define SHORT_BATCH_DIVISOR 8 /* 1/8 of a batch is for short ones only */
#define SHORT_MARGIN_FACTOR 0.5
#define SHARE_MARGIN_FACTOR 1.7
#define MAX_SCAN 64	/* endpoints considered per decision */
#define ASIDE_DIVISOR 3 /* at most 1/3 of the endpoints are put aside */
#define STALL_US (4 * G_USEC_PER_SEC) /* progress may arrive only every 2 s */
#define SLOW_FACTOR 3.0		      /* times the median interval */
#define OUTLIER_MIN_ENDPOINTS 3

static bool book_is_unreachable(const struct endpoint_book *book)
{
	return endpoint_health_is_unreachable(&book->health);
}

/*
 * If more than half of the endpoints look unreachable, the fault is more
 * likely on this side. The polls are then ignored, since otherwise all
 * requests would be refused.
 */
static bool placement_trusts_polls(const struct placement *placement)
{
	guint unreachable = 0;

	for (guint i = 0; i < placement->books->len; i++)
		unreachable += book_is_unreachable(
			g_ptr_array_index(placement->books, i));
	return 2 * unreachable <= placement->books->len;
}

/* Whether an endpoint may receive new requests at all. */
bool placement_is_eligible(const struct placement *placement,
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
 * Puts an endpoint aside (out of rotation), but never more than a third of the
 * endpoints: if many look unhealthy at once, the others would be overloaded by
 * the load of those put aside.
 */
void placement_put_aside(struct placement *placement,
			 struct endpoint_book *book, int64_t now_us)
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

/* Median over the endpoints of the interval between tokens, in us. */
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
 * Puts aside endpoints that have stalled or are far slower than the others,
 * and lets endpoints return whose time aside has passed.
 */
void placement_check_endpoints(struct placement *placement, int64_t now_us)
{
	bool compare = placement->options.kind == SERVICE_GENERATION &&
		       placement->options.policy != PLACEMENT_NAIVE &&
		       placement->books->len >= OUTLIER_MIN_ENDPOINTS;
	int64_t median_us = compare ? placement_interval_us(placement) : 0;

	for (guint i = 0; i < placement->books->len; i++) {
		struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		endpoint_health_step(&book->health, now_us);
		if (!book->calls->len)
			endpoint_health_report_idle(&book->health);
		if (compare && book->health.state == HEALTH_GOOD &&
		    book_is_outlier(book, median_us, now_us))
			placement_put_aside(placement, book, now_us);
	}
}

static bool plain_has_free_slot(const struct placement *placement,
				const struct endpoint_book *book)
{
	return book->slots <= 0 ||
	       (int32_t)book->calls->len <
		       MAX(book->slots / placement->share_divisor, 1);
}

/*
 * Whether the interval between tokens stays within step_us with one more call.
 * Long calls leave a part of the batch to short ones.
 */
static bool batch_keeps_interval(const struct placement *placement,
				 const struct endpoint_book *book,
				 const struct placed_call *call)
{
	int32_t batch = (int32_t)book->calls->len * book->sharing_nodes + 1;

	if (batch <= MIN_BATCH)
		return true;
	if (call->entry.lane == QUEUE_LONG)
		batch += batch / SHORT_BATCH_DIVISOR;
	return pace_interval_us(&book->pace, batch) <=
	       placement->options.step_us;
}

/*
 * Relative error that all length estimates may have in common. While answers
 * outlast their estimates, the lengths may be shifting, so the part of the
 * shift that is not yet learned is added: each request that is admitted too
 * early in these seconds causes a preemption later.
 */
static double placement_common_deviation(const struct placement *placement)
{
	double overrun = 1 - length_estimate_shift(placement->lengths);

	return placement->options.common_deviation +
	       placement->options.common_deviation_by_shift * MAX(overrun, 0);
}

/*
 * On a local share of an engine the margin shrinks with the square root of the
 * share divisor, because the load of all shares together varies by less than
 * the sum of their deviations. SHARE_MARGIN_FACTOR keeps it wider than for
 * independent shares, since a node may already exceed its share with grants
 * that it got through the home before.
 */
static double placement_margin_deviations(const struct placement *placement)
{
	if (placement->share_divisor <= 1)
		return placement->deviations;
	return SHARE_MARGIN_FACTOR * placement->deviations /
	       sqrt(placement->share_divisor);
}

static double placement_peak(const struct placement *placement,
			     const struct endpoint_book *book,
			     const struct placed_call *call, int64_t now_us)
{
	struct admission_margin margin = {
		.deviations = placement_margin_deviations(placement),
		.common = placement_common_deviation(placement),
	};

	if (placement->options.policy == PLACEMENT_ORACLE)
		return endpoint_book_known_peak(book, call, now_us);
	if (call->entry.lane == QUEUE_SHORT)
		margin.deviations *= SHORT_MARGIN_FACTOR;
	return endpoint_book_peak(book, call, &margin);
}

static double book_cost(const struct endpoint_book *book,
			const struct placed_call *call, double fullness)
{
	double unread = (double)book->unread_tokens / UNREAD_TOKENS_FULL;
	double cost = fullness + FAILURE_COST * book->health.failures;

	cost += call->entry.lane == QUEUE_SHORT ? SHORT_UNREAD_FACTOR * unread
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
 * An engine of unknown memory size gets up to MIN_BATCH calls. Its first load
 * report gives the size, but a node on its local share requests no reports.
 */
static double unknown_capacity_cost(const struct endpoint_book *book,
				    const struct placed_call *call)
{
	if (book->calls->len >= MIN_BATCH)
		return G_MAXDOUBLE;
	return book_cost(book, call, book->calls->len);
}

/* Cost of placing a call on an endpoint; G_MAXDOUBLE: it does not fit. */
static double placement_cost(const struct placement *placement,
			     struct endpoint_book *book,
			     const struct placed_call *call, int64_t now_us)
{
	double capacity = WATERMARK * (double)book->capacity_tokens /
			  placement->share_divisor;
	double peak;

	if (placement->options.policy == PLACEMENT_NAIVE)
		return book->calls->len;
	if (placement->options.kind == SERVICE_PLAIN) {
		if (!plain_has_free_slot(placement, book))
			return G_MAXDOUBLE;
		return book_cost(book, call,
				 (double)book->calls->len /
					 MAX(book->slots, 1));
	}
	if (!batch_keeps_interval(placement, book, call))
		return G_MAXDOUBLE;
	if (capacity <= 0)
		return unknown_capacity_cost(book, call);
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
 * Returns the eligible endpoint with the lowest cost for a call, or NULL if it
 * fits on none. The scan starts at a random endpoint, so that equal endpoints
 * share the load, and covers at most MAX_SCAN endpoints, which bounds the time
 * of a decision.
 */
struct endpoint_book *placement_choose(struct placement *placement,
				       struct placed_call *call, int64_t now_us)
{
	guint count = placement->books->len;
	guint scan = MIN(count, MAX_SCAN);
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

		if (!placement_is_eligible(placement, book))
			continue;
		cost = placement_cost(placement, book, call, now_us);
		if (cost < best_cost) {
			best = book;
			best_cost = cost;
		}
	}
	return best;
}
