#include "core/placement/endpoint_book.h"

/* Ages after which the sums and the demand of a call are recomputed. */
#define SUMS_REFRESH_US (200 * 1000)
#define DEMAND_REFRESH_US (2 * G_USEC_PER_SEC)
/*
 * A demand is filled again when the output has grown by more than this number
 * of tokens plus this fraction of its length: the demand depends on the
 * logarithm of the length.
 */
#define REFILL_GROWTH_TOKENS 16
#define REFILL_GROWTH_DIVISOR 32
#define MAX_PROJECTED_TOKENS 256
#define INTERVAL_DECAY 0.98 /* weight of the average so far */
#define MIN_OBSERVED_TOKENS 4
#define MAX_PREFIXES 256
/* Foreign memory is the least value over this many load reports. */
#define FOREIGN_WINDOW_REPORTS 4
#define MAX_CAPACITY_TOKENS ((int64_t)1 << 40)
#define MAX_USED_PER_CAPACITY 4 /* a report of more is implausible */
#define CLOCK_RESET_US (10 * G_USEC_PER_SEC)

/*
 * Creates a book without calls; the caller frees it with
 * endpoint_book_destroy. step_us is the interval between tokens that an engine
 * may reach; the estimates of the interval start from it.
 */
struct endpoint_book *endpoint_book_create(const char *address, int64_t step_us,
					   int64_t now_us)
{
	struct endpoint_book *book = g_new0(struct endpoint_book, 1);

	book->address = g_strdup(address);
	book->sharing_nodes = 1;
	book->calls = g_ptr_array_new();
	book->prefixes =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
	g_queue_init(&book->prefix_order);
	book->interval_us = (double)step_us / 2;
	book->progress_us = now_us;
	pace_init(&book->pace, step_us);
	endpoint_health_init(&book->health);
	return book;
}

/* Frees the book but not its calls; NULL is allowed. */
void endpoint_book_destroy(struct endpoint_book *book)
{
	if (!book)
		return;
	g_hash_table_unref(book->prefixes);
	g_queue_clear_full(&book->prefix_order, g_free);
	g_ptr_array_unref(book->calls);
	g_free(book->address);
	g_free(book);
}

/*
 * Estimates the output tokens of a call at now_us from its last progress and
 * the interval between tokens. The engine generates further tokens between two
 * progress messages; without them the book would be too low by that growth for
 * every call of the batch. Returns 0 before the first output.
 */
int64_t endpoint_book_estimate_tokens(const struct endpoint_book *book,
				      const struct placed_call *call,
				      int64_t now_us)
{
	int64_t projected;

	if (call->output_tokens <= 0)
		return 0;
	projected = (int64_t)((double)(now_us - call->progress_us) /
			      book->interval_us);
	return call->output_tokens + CLAMP(projected, 0, MAX_PROJECTED_TOKENS);
}

static void endpoint_book_fill_demand(const struct endpoint_book *book,
				      struct placed_call *call, int64_t now_us)
{
	call->demand_at_tokens =
		endpoint_book_estimate_tokens(book, call, now_us);
	call->demand_filled_us = now_us;
	admission_demand_fill(&call->demand, length_class_curve(call->cls),
			      call->prompt_tokens, call->demand_at_tokens,
			      call->max_tokens);
}

/* Adds a call, which stays the caller's; its demand must be filled. */
void endpoint_book_add(struct endpoint_book *book, struct placed_call *call,
		       int64_t now_us)
{
	call->book = book;
	call->placed_us = now_us;
	call->progress_us = now_us;
	if (book->calls->len == 0)
		book->progress_us = now_us;
	if (call->output_tokens == 0)
		book->unread_tokens += call->prompt_tokens;
	g_ptr_array_add(book->calls, call);
	admission_load_add(&book->load, &call->demand);
}

/* Removes a call without freeing it. */
void endpoint_book_remove(struct endpoint_book *book, struct placed_call *call)
{
	if (call->output_tokens == 0)
		book->unread_tokens -= call->prompt_tokens;
	g_ptr_array_remove_fast(book->calls, call);
	admission_load_remove(&book->load, &call->demand);
	call->book = NULL;
}

static void endpoint_book_observe_interval(struct endpoint_book *book,
					   int64_t tokens, int64_t elapsed_us)
{
	if (tokens < MIN_OBSERVED_TOKENS)
		return;
	pace_observe(&book->pace,
		     (int32_t)book->calls->len * book->sharing_nodes, tokens,
		     elapsed_us);
	book->interval_us =
		book->interval_us * INTERVAL_DECAY +
		(double)elapsed_us / (double)tokens * (1 - INTERVAL_DECAY);
}

/* Records the output tokens of a call, unless more are already known. */
void endpoint_book_record_progress(struct endpoint_book *book,
				   struct placed_call *call, int64_t tokens,
				   int64_t now_us)
{
	if (tokens <= call->output_tokens)
		return;
	if (call->output_tokens == 0)
		book->unread_tokens -= call->prompt_tokens;
	else
		endpoint_book_observe_interval(book,
					       tokens - call->output_tokens,
					       now_us - call->progress_us);
	call->output_tokens = tokens;
	call->progress_us = now_us;
	book->progress_us = now_us;
}

static bool placed_call_demand_is_stale(const struct endpoint_book *book,
					const struct placed_call *call,
					int64_t now_us)
{
	int64_t output_tokens =
		endpoint_book_estimate_tokens(book, call, now_us);

	return output_tokens - call->demand_at_tokens >
		       REFILL_GROWTH_TOKENS +
			       output_tokens / REFILL_GROWTH_DIVISOR ||
	       now_us - call->demand_filled_us > DEMAND_REFRESH_US;
}

/*
 * Updates stale demands and sums all demands again, at most once every
 * SUMS_REFRESH_US. Sums are computed from zero each time, so that rounding
 * errors do not accumulate over the life of a home.
 */
void endpoint_book_refresh(struct endpoint_book *book, int64_t now_us)
{
	if (now_us - book->refreshed_us < SUMS_REFRESH_US)
		return;
	book->refreshed_us = now_us;
	book->load = (struct admission_load){0};
	for (guint i = 0; i < book->calls->len; i++) {
		struct placed_call *call = g_ptr_array_index(book->calls, i);

		if (placed_call_demand_is_stale(book, call, now_us))
			endpoint_book_fill_demand(book, call, now_us);
		admission_load_add(&book->load, &call->demand);
	}
}

/* Returns the peak memory expected with one more call, in tokens. */
double endpoint_book_peak(const struct endpoint_book *book,
			  const struct placed_call *extra,
			  const struct admission_margin *margin)
{
	return admission_peak(&book->load, &extra->demand, margin) +
	       (double)book->foreign_tokens;
}

static void admission_known_append(GArray *known,
				   const struct placed_call *call,
				   int64_t output_tokens)
{
	struct admission_known_run item = {
		.held = call->prompt_tokens + output_tokens,
		.remaining = MAX(call->true_tokens - output_tokens, 1),
	};

	g_array_append_val(known, item);
}

/* Returns the peak memory with one more call from true lengths, in tokens. */
double endpoint_book_known_peak(const struct endpoint_book *book,
				const struct placed_call *extra, int64_t now_us)
{
	GArray *known =
		g_array_new(FALSE, FALSE, sizeof(struct admission_known_run));
	double peak;

	admission_known_append(known, extra, 0);
	for (guint i = 0; i < book->calls->len; i++) {
		const struct placed_call *call =
			g_ptr_array_index(book->calls, i);

		admission_known_append(
			known, call,
			endpoint_book_estimate_tokens(book, call, now_us));
	}
	peak = admission_exact_peak(known);
	g_array_unref(known);
	return peak;
}

static bool load_report_is_implausible(const struct endpoint_book *book,
				       const struct load_report *report)
{
	int64_t max_used =
		book->capacity_tokens > 0
			? MAX_USED_PER_CAPACITY * book->capacity_tokens
			: MAX_CAPACITY_TOKENS;

	return report->running < -1 || report->waiting < -1 ||
	       report->tokens_used < -1 || report->tokens_used > max_used ||
	       report->tokens_capacity < -1 ||
	       report->tokens_capacity > MAX_CAPACITY_TOKENS ||
	       report->preemptions_total < -1;
}

/*
 * Estimates the memory held for calls that this book does not hold: calls
 * granted by a second home, or sent by nodes on their local shares. A report
 * is older than the book, so that an excess over the book may belong to calls
 * that have just ended; the least excess of several reports is taken. Nothing
 * is estimated where the placement divides the capacity among several nodes,
 * since the calls of the others then use their own parts.
 */
static void endpoint_book_estimate_foreign(struct endpoint_book *book,
					   int64_t tokens_used)
{
	int64_t excess = tokens_used - (int64_t)book->load.mean[0];

	if (tokens_used < 0 || book->sharing_nodes > 1)
		return;
	if (book->foreign_reports == 0)
		book->foreign_min = excess;
	book->foreign_min = MIN(book->foreign_min, excess);
	if (++book->foreign_reports < FOREIGN_WINDOW_REPORTS)
		return;
	book->foreign_reports = 0;
	book->foreign_tokens = MAX(book->foreign_min, 0);
}

/*
 * Accepts a load report of the endpoint if it is plausible and newer than the
 * last one. Sets preempted to the preemptions since the last accepted report.
 * A report with an older time is accepted as well when none was accepted for
 * CLOCK_RESET_US: the endpoint has then restarted with a new clock, and the
 * report is not an old one.
 */
enum report_result endpoint_book_apply_report(struct endpoint_book *book,
					      const struct load_report *report,
					      int64_t now_us,
					      int64_t *preempted)
{
	*preempted = 0;
	if (load_report_is_implausible(book, report))
		return REPORT_IMPLAUSIBLE;
	if (book->report_us > 0 &&
	    report->reported_at_us <= book->report.reported_at_us &&
	    now_us - book->report_us < CLOCK_RESET_US)
		return REPORT_OUTDATED;
	if (book->report_us > 0 && book->report.preemptions_total >= 0 &&
	    report->preemptions_total > book->report.preemptions_total)
		*preempted = report->preemptions_total -
			     book->report.preemptions_total;
	if (!book->capacity_configured && report->tokens_capacity > 0)
		book->capacity_tokens = report->tokens_capacity;
	book->reported_leaving = report->leaving;
	book->report = *report;
	book->report_us = now_us;
	endpoint_book_estimate_foreign(book, report->tokens_used);
	return REPORT_ACCEPTED;
}

static void endpoint_book_evict_prefix(struct endpoint_book *book)
{
	uint64_t *oldest = g_queue_pop_head(&book->prefix_order);

	g_hash_table_remove(book->prefixes, oldest);
	g_free(oldest);
}

/*
 * Records that a prefix is cached at the endpoint, or no longer. At most
 * MAX_PREFIXES are kept; the one recorded longest ago is evicted first. A
 * prefix_hash of 0 means no prefix and is ignored.
 */
void endpoint_book_set_prefix(struct endpoint_book *book, uint64_t prefix_hash,
			      bool cached)
{
	GList *link = g_hash_table_lookup(book->prefixes, &prefix_hash);
	uint64_t *stored;

	if (prefix_hash == 0)
		return;
	if (link && !cached) {
		stored = link->data;
		g_hash_table_remove(book->prefixes, stored);
		g_queue_delete_link(&book->prefix_order, link);
		g_free(stored);
		return;
	}
	if (!cached)
		return;
	if (link) {
		g_queue_unlink(&book->prefix_order, link);
		g_queue_push_tail_link(&book->prefix_order, link);
		return;
	}
	if (g_queue_get_length(&book->prefix_order) >= MAX_PREFIXES)
		endpoint_book_evict_prefix(book);
	stored = g_new(uint64_t, 1);
	*stored = prefix_hash;
	g_queue_push_tail(&book->prefix_order, stored);
	g_hash_table_insert(book->prefixes, stored, book->prefix_order.tail);
}

/* Whether a prefix is recorded as cached at the endpoint. */
bool endpoint_book_has_prefix(const struct endpoint_book *book,
			      uint64_t prefix_hash)
{
	return prefix_hash != 0 &&
	       g_hash_table_contains(book->prefixes, &prefix_hash);
}
