#include "core/placement/endpoint_book.h"

/* How old what is summed up may get. */
#define REFRESH_US (200 * 1000)
#define DEMAND_REFRESH_US (2 * G_USEC_PER_SEC)
/* A demand is filled anew after so much growth: it depends on its logarithm. */
#define GROWTH_TOKENS 16
#define GROWTH_DIVISOR 32
#define PROJECT_MAX_TOKENS 256
#define INTERVAL_FADE 0.98
#define OBSERVED_TOKENS 4
#define PREFIXES 256
#define FOREIGN_REPORTS 4
#define MAX_CAPACITY_TOKENS ((int64_t)1 << 40)
#define ABSURD_FACTOR 4
#define CLOCK_RESET_US (10 * G_USEC_PER_SEC)

/* A book that holds nothing. step_us: the interval to start from. */
struct endpoint_book *endpoint_book_create(const char *address, int64_t step_us,
					   int64_t now_us)
{
	struct endpoint_book *book = g_new0(struct endpoint_book, 1);

	book->address = g_strdup(address);
	book->sharers = 1;
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

/* Frees the book, not the calls in it; NULL is allowed. */
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
 * Tokens a call has made by now. Progress comes late; between two reports the
 * engine went on, and a book without that would be short by its whole batch.
 */
int64_t endpoint_book_made(const struct endpoint_book *book,
			   const struct placed_call *call, int64_t now_us)
{
	int64_t since;

	if (call->made <= 0)
		return 0;
	since = (int64_t)((double)(now_us - call->progress_us) /
			  book->interval_us);
	return call->made + CLAMP(since, 0, PROJECT_MAX_TOKENS);
}

static void endpoint_book_fill(const struct endpoint_book *book,
			       struct placed_call *call, int64_t now_us)
{
	call->demand_made = endpoint_book_made(book, call, now_us);
	call->demand_us = now_us;
	admission_demand_fill(&call->demand, length_class_curve(call->cls),
			      call->prompt_tokens, call->demand_made,
			      call->max_tokens);
}

/* Books a call; its demand must be filled. */
void endpoint_book_add(struct endpoint_book *book, struct placed_call *call,
		       int64_t now_us)
{
	call->book = book;
	call->placed_us = now_us;
	call->progress_us = now_us;
	if (book->calls->len == 0)
		book->progress_us = now_us;
	if (call->made == 0)
		book->unread_tokens += call->prompt_tokens;
	g_ptr_array_add(book->calls, call);
	admission_load_add(&book->load, &call->demand);
}

/* Takes a call out. */
void endpoint_book_remove(struct endpoint_book *book, struct placed_call *call)
{
	if (call->made == 0)
		book->unread_tokens -= call->prompt_tokens;
	g_ptr_array_remove_fast(book->calls, call);
	admission_load_remove(&book->load, &call->demand);
	call->book = NULL;
}

static void endpoint_book_observe(struct endpoint_book *book, int64_t tokens,
				  int64_t elapsed_us)
{
	if (tokens < OBSERVED_TOKENS)
		return;
	pace_observe(&book->pace, (int32_t)book->calls->len * book->sharers,
		     tokens, elapsed_us);
	book->interval_us =
		book->interval_us * INTERVAL_FADE +
		(double)elapsed_us / (double)tokens * (1 - INTERVAL_FADE);
}

/* Notes tokens of a call of this book; fewer than known are ignored. */
void endpoint_book_progress(struct endpoint_book *book,
			    struct placed_call *call, int64_t tokens,
			    int64_t now_us)
{
	if (tokens <= call->made)
		return;
	if (call->made == 0)
		book->unread_tokens -= call->prompt_tokens;
	else
		endpoint_book_observe(book, tokens - call->made,
				      now_us - call->progress_us);
	call->made = tokens;
	call->progress_us = now_us;
	book->progress_us = now_us;
}

static bool placed_call_is_stale(const struct endpoint_book *book,
				 const struct placed_call *call, int64_t now_us)
{
	int64_t made = endpoint_book_made(book, call, now_us);

	return made - call->demand_made >
		       GROWTH_TOKENS + made / GROWTH_DIVISOR ||
	       now_us - call->demand_us > DEMAND_REFRESH_US;
}

/*
 * Brings the sums up to date. Summed anew each time, so that rounding does
 * not gather over the life of a home.
 */
void endpoint_book_refresh(struct endpoint_book *book, int64_t now_us)
{
	if (now_us - book->refreshed_us < REFRESH_US)
		return;
	book->refreshed_us = now_us;
	book->load = (struct admission_load){0};
	for (guint i = 0; i < book->calls->len; i++) {
		struct placed_call *call = g_ptr_array_index(book->calls, i);

		if (placed_call_is_stale(book, call, now_us))
			endpoint_book_fill(book, call, now_us);
		admission_load_add(&book->load, &call->demand);
	}
}

/* The most memory it will need with one call more, in tokens. */
double endpoint_book_peak(const struct endpoint_book *book,
			  const struct placed_call *extra,
			  const struct admission_margin *margin)
{
	return admission_peak(&book->load, &extra->demand, margin) +
	       (double)book->foreign_tokens;
}

static void known_add(GArray *known, const struct placed_call *call,
		      int64_t made)
{
	struct admission_known item = {
		.held = call->prompt_tokens + made,
		.left = MAX(call->true_tokens - made, 1),
	};

	g_array_append_val(known, item);
}

/* The same where true lengths are known. */
double endpoint_book_known_peak(const struct endpoint_book *book,
				const struct placed_call *extra, int64_t now_us)
{
	GArray *known =
		g_array_new(FALSE, FALSE, sizeof(struct admission_known));
	double peak;

	known_add(known, extra, 0);
	for (guint i = 0; i < book->calls->len; i++) {
		const struct placed_call *call =
			g_ptr_array_index(book->calls, i);

		known_add(known, call, endpoint_book_made(book, call, now_us));
	}
	peak = admission_known_peak(known);
	g_array_unref(known);
	return peak;
}

static bool load_report_is_absurd(const struct endpoint_book *book,
				  const struct load_report *report)
{
	int64_t most = book->capacity_tokens > 0
			       ? ABSURD_FACTOR * book->capacity_tokens
			       : MAX_CAPACITY_TOKENS;

	return report->running < -1 || report->waiting < -1 ||
	       report->tokens_used < -1 || report->tokens_used > most ||
	       report->tokens_capacity < -1 ||
	       report->tokens_capacity > MAX_CAPACITY_TOKENS ||
	       report->preemptions_total < -1;
}

/*
 * Memory held for others: by a second home, or by nodes on their shares. A
 * report is older than the book, so one that shows more than the book may
 * only show what has just ended; the least of several is what stays. Where
 * nodes share on purpose, each has its part of the capacity already.
 */
static void endpoint_book_learn_foreign(struct endpoint_book *book,
					int64_t tokens_used)
{
	int64_t more = tokens_used - (int64_t)book->load.mean[0];

	if (tokens_used < 0 || book->sharers > 1)
		return;
	if (book->foreign_reports == 0)
		book->foreign_low = more;
	book->foreign_low = MIN(book->foreign_low, more);
	if (++book->foreign_reports < FOREIGN_REPORTS)
		return;
	book->foreign_reports = 0;
	book->foreign_tokens = MAX(book->foreign_low, 0);
}

/*
 * Takes an endpoint's report, if it is newer than the last and not absurd.
 * preempted gets the preemptions since the last report. An order that goes
 * back by itself for long is a restarted endpoint's new clock, not an old
 * report, and is taken.
 */
enum report_verdict endpoint_book_report(struct endpoint_book *book,
					 const struct load_report *report,
					 int64_t now_us, int64_t *preempted)
{
	*preempted = 0;
	if (load_report_is_absurd(book, report))
		return REPORT_ABSURD;
	if (book->report_us > 0 &&
	    report->reported_at_us <= book->report.reported_at_us &&
	    now_us - book->report_us < CLOCK_RESET_US)
		return REPORT_OLDER;
	if (book->report_us > 0 && book->report.preemptions_total >= 0 &&
	    report->preemptions_total > book->report.preemptions_total)
		*preempted = report->preemptions_total -
			     book->report.preemptions_total;
	if (!book->capacity_configured && report->tokens_capacity > 0)
		book->capacity_tokens = report->tokens_capacity;
	book->reported_leaving = report->leaving;
	book->report = *report;
	book->report_us = now_us;
	endpoint_book_learn_foreign(book, report->tokens_used);
	return REPORT_TAKEN;
}

static void endpoint_book_forget_prefix(struct endpoint_book *book)
{
	uint64_t *oldest = g_queue_pop_head(&book->prefix_order);

	g_hash_table_remove(book->prefixes, oldest);
	g_free(oldest);
}

/* Notes that a prefix is cached there, or no longer; bounded, oldest first. */
void endpoint_book_prefix(struct endpoint_book *book, uint64_t prefix_hash,
			  bool cached)
{
	GList *link = g_hash_table_lookup(book->prefixes, &prefix_hash);
	uint64_t *kept;

	if (prefix_hash == 0)
		return;
	if (link && !cached) {
		kept = link->data;
		g_hash_table_remove(book->prefixes, kept);
		g_queue_delete_link(&book->prefix_order, link);
		g_free(kept);
		return;
	}
	if (!cached)
		return;
	if (link) {
		g_queue_unlink(&book->prefix_order, link);
		g_queue_push_tail_link(&book->prefix_order, link);
		return;
	}
	if (g_queue_get_length(&book->prefix_order) >= PREFIXES)
		endpoint_book_forget_prefix(book);
	kept = g_new(uint64_t, 1);
	*kept = prefix_hash;
	g_queue_push_tail(&book->prefix_order, kept);
	g_hash_table_insert(book->prefixes, kept, book->prefix_order.tail);
}

/* Whether a prefix is believed to be cached there. */
bool endpoint_book_has_prefix(const struct endpoint_book *book,
			      uint64_t prefix_hash)
{
	return prefix_hash != 0 &&
	       g_hash_table_contains(book->prefixes, &prefix_hash);
}
