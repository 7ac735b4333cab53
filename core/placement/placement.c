#include "core/placement/placement_state.h"

/*
 * Creation of a placement, and submission, withdrawal and recording of the
 * requests in it. The margins and their values are explained in
 * docs/POLICY.md, "Admission by future peak".
 */

/* The constant margin of PLACEMENT_FIXED. */
#define FIXED_DEVIATIONS 2.5
#define FIXED_COMMON_DEVIATION 0.1
#define NO_COMMON_BY_SHIFT 1e-9 /* not 0, which selects the default */

#define DEFAULT_COMMON_DEVIATION 0.3
#define DEFAULT_COMMON_BY_SHIFT 3.0
/* docs/POLICY.md, "Order of waiting" */
#define DEFAULT_MIN_DEADLINE_CHANCE 0.5
#define DEFAULT_MAX_WAITING 1024 /* requests */
#define MARGIN_INITIAL 2.5	 /* deviations; then adapts to preemptions */

#define DEMAND_MAX_AGE_US G_USEC_PER_SEC /* an older estimate is recomputed */
#define SHORT_DIVISOR 100 /* short: at most 1/100 of the largest memory */
/* Latest useful start of a request without a deadline, from its arrival. */
#define DEFAULT_START_WITHIN_US (60 * G_USEC_PER_SEC)
#define INITIAL_PLAIN_DURATION_US 100000.0

static void placed_call_free(gpointer data)
{
	struct placed_call *call = data;

	length_class_unref(call->cls);
	g_free(call);
}

static void placement_set_defaults(struct placement_options *options)
{
	if (options->policy == PLACEMENT_FIXED) {
		options->deviations = FIXED_DEVIATIONS;
		options->common_deviation = FIXED_COMMON_DEVIATION;
		options->common_deviation_by_shift = NO_COMMON_BY_SHIFT;
	}
	if (options->step_us <= 0)
		options->step_us = PLACEMENT_TOKEN_INTERVAL_US;
	if (options->max_waiting <= 0)
		options->max_waiting = DEFAULT_MAX_WAITING;
	if (options->common_deviation == 0)
		options->common_deviation = DEFAULT_COMMON_DEVIATION;
	if (options->min_deadline_chance == 0)
		options->min_deadline_chance = DEFAULT_MIN_DEADLINE_CHANCE;
	if (options->common_deviation_by_shift == 0)
		options->common_deviation_by_shift = DEFAULT_COMMON_BY_SHIFT;
}

/* Creates an empty placement; the caller owns it. The options are copied. */
struct placement *placement_create(const struct placement_options *options)
{
	struct placement *placement = g_new0(struct placement, 1);
	struct length_estimate_options lengths;

	placement->options = *options;
	placement_set_defaults(&placement->options);
	placement->deviations = placement->options.deviations > 0
					? placement->options.deviations
					: MARGIN_INITIAL;
	length_estimate_options_default(&lengths);
	placement->lengths = options->lengths
				     ? options->lengths
				     : length_estimate_create(&lengths);
	placement->queue = wait_queue_create();
	placement->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, placed_call_free);
	placement->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	placement->books = g_ptr_array_new();
	placement->submitted = g_ptr_array_new();
	placement->rand = g_rand_new_with_seed((guint32)options->seed);
	placement->share_divisor = 1;
	placement->plain_duration_us = INITIAL_PLAIN_DURATION_US;
	placement->interval_us = placement->options.step_us;
	return placement;
}

/*
 * Frees the placement with its endpoints and requests, but not a shared length
 * estimate; NULL is allowed.
 */
void placement_destroy(struct placement *placement)
{
	if (!placement)
		return;
	for (guint i = 0; i < placement->books->len; i++)
		endpoint_book_destroy(g_ptr_array_index(placement->books, i));
	g_ptr_array_unref(placement->books);
	g_ptr_array_unref(placement->submitted);
	g_hash_table_unref(placement->by_address);
	g_hash_table_unref(placement->calls);
	wait_queue_destroy(placement->queue);
	if (!placement->options.lengths)
		length_estimate_destroy(placement->lengths);
	g_rand_free(placement->rand);
	g_free(placement);
}

/* Looks up a request. Counts an unknown ticket and returns NULL for it. */
struct placed_call *placement_find_call(struct placement *placement,
					uint64_t ticket)
{
	struct placed_call *call =
		g_hash_table_lookup(placement->calls, &ticket);

	if (!call)
		placement->counts.unknown++;
	return call;
}

/* Removes a call from the queue or its endpoint and frees it. */
void placement_remove_call(struct placement *placement,
			   struct placed_call *call)
{
	if (call->book)
		endpoint_book_remove(call->book, call);
	wait_queue_remove(placement->queue, &call->entry);
	g_ptr_array_remove(placement->submitted, call);
	if (placement->reserved_for == call->ticket)
		placement->reserved = NULL;
	g_hash_table_remove(placement->calls, &call->ticket);
	placement->recheck = true;
}

static double placed_call_cost(const struct placement *placement,
			       const struct placed_call *call)
{
	if (placement->options.kind == SERVICE_PLAIN)
		return 1;
	return (double)call->prompt_tokens +
	       length_curve_mean_remaining(length_class_curve(call->cls),
					   call->output_tokens,
					   call->max_tokens);
}

static void placed_call_set_order(const struct placement *placement,
				  struct placed_call *call, int64_t now_us)
{
	struct queue_entry *entry = &call->entry;
	double remaining = entry->tokens - (double)call->prompt_tokens;

	entry->arrival_us = now_us;
	entry->lane = QUEUE_SHORT;
	entry->start_by_us = now_us + DEFAULT_START_WITHIN_US;
	if (placement->options.kind == SERVICE_PLAIN) {
		if (call->deadline_us > 0)
			entry->start_by_us =
				call->deadline_us -
				(int64_t)placement->plain_duration_us;
		return;
	}
	if (call->deadline_us > 0)
		entry->start_by_us =
			call->deadline_us -
			(int64_t)(remaining *
				  (double)placement->options.step_us / 2);
	/*
	 * Calls of unknown length use the short lane. A new home that replaces
	 * a lost one has no length statistics yet: if short checks waited
	 * behind long reports, they would miss their deadlines and their
	 * lengths would be learned too late.
	 */
	if (((double)call->prompt_tokens +
	     remaining * length_class_confidence(call->cls)) *
		    SHORT_DIVISOR >
	    (double)placement->largest_tokens)
		entry->lane = QUEUE_LONG;
}

static void placed_call_fill_demand(struct placed_call *call, int64_t now_us)
{
	admission_demand_fill(&call->demand, length_class_curve(call->cls),
			      call->prompt_tokens, call->output_tokens,
			      call->max_tokens);
	call->demand_at_tokens = call->output_tokens;
	call->demand_filled_us = now_us;
}

/*
 * Recomputes the expected memory demand of a waiting call if it is older than
 * DEMAND_MAX_AGE_US. Otherwise a call that arrived before a shift of lengths
 * would be admitted on outdated estimates.
 */
void placement_refresh_demand(struct placed_call *call, int64_t now_us)
{
	if (now_us - call->demand_filled_us > DEMAND_MAX_AGE_US)
		placed_call_fill_demand(call, now_us);
}

static struct placed_call *
placement_add_call(struct placement *placement,
		   const struct placement_request *request,
		   int64_t output_tokens, int64_t now_us)
{
	const char *name = request->organisation ? request->organisation : "";
	struct placed_call *call;

	if (g_hash_table_contains(placement->calls, &request->ticket))
		return NULL;
	call = g_new0(struct placed_call, 1);
	call->ticket = request->ticket;
	call->prompt_tokens =
		CLAMP(request->prompt_tokens, 1, LENGTH_MAX_TOKENS);
	call->max_tokens = MAX(request->max_tokens, 0);
	call->true_tokens = request->true_tokens;
	call->deadline_us = request->deadline_us;
	call->prefix_hash = request->prefix_hash;
	call->avoid_hash = request->avoid_hash;
	call->output_tokens = CLAMP(output_tokens, 0, LENGTH_MAX_TOKENS);
	call->counted_tokens = call->output_tokens;
	call->cls = length_estimate_get_class(placement->lengths, name,
					      call->prompt_tokens,
					      call->prefix_hash);
	call->entry.organisation = wait_queue_organisation(
		placement->queue, name, request->weight);
	call->entry.priority = CLAMP(request->priority, 0, 9);
	call->entry.tokens = placed_call_cost(placement, call);
	placed_call_fill_demand(call, now_us);
	g_hash_table_insert(placement->calls, &call->ticket, call);
	return call;
}

/*
 * Queues a request; the next placement_step() decides on it. A ticket that is
 * already known is ignored.
 */
void placement_submit(struct placement *placement,
		      const struct placement_request *request, int64_t now_us)
{
	struct placed_call *call =
		placement_add_call(placement, request, 0, now_us);

	if (!call)
		return;
	placed_call_set_order(placement, call, now_us);
	wait_queue_push(placement->queue, &call->entry);
	g_ptr_array_add(placement->submitted, call);
	placement->recheck = true;
}

/* Removes a waiting request; placed and unknown tickets are ignored. */
void placement_withdraw(struct placement *placement, uint64_t ticket,
			G_GNUC_UNUSED int64_t now_us)
{
	struct placed_call *call = placement_find_call(placement, ticket);

	if (call && !call->book)
		placement_remove_call(placement, call);
}

/*
 * Assigns a call that is not in the queue to an endpoint, and charges its
 * expected cost to its organisation.
 */
void placement_assign(struct placement *placement, struct placed_call *call,
		      struct endpoint_book *book, int64_t now_us)
{
	struct queue_organisation *organisation = call->entry.organisation;

	call->charged_tokens = call->entry.tokens;
	endpoint_book_add(book, call, now_us);
	endpoint_health_count_placed(&book->health);
	endpoint_book_set_prefix(book, call->prefix_hash, true);
	wait_queue_charge(placement->queue, organisation, call->charged_tokens,
			  true);
}

/*
 * Records a grant that was made elsewhere: by an earlier home, or on a node's
 * local share. A call that waits, or is placed on another endpoint, moves to
 * this one. An unknown address is counted and ignored.
 */
void placement_record_grant(struct placement *placement,
			    const struct placement_request *request,
			    const char *address, int64_t tokens, int64_t now_us)
{
	struct endpoint_book *book =
		placement_find_endpoint(placement, address);
	struct placed_call *call;

	if (!book)
		return;
	call = g_hash_table_lookup(placement->calls, &request->ticket);
	if (call && call->book == book)
		return;
	if (call)
		placement_remove_call(placement, call);
	call = placement_add_call(placement, request, tokens, now_us);
	placement_assign(placement, call, book, now_us);
}

/* The counters since creation; owned by the placement. */
const struct placement_counts *
placement_counts(const struct placement *placement)
{
	return &placement->counts;
}

/* Number of waiting requests. */
uint32_t placement_waiting_count(const struct placement *placement)
{
	return wait_queue_length(placement->queue);
}
