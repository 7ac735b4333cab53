#include "core/placement/placement_state.h"

#include "core/placement/home.h"

#define FIXED_DEVIATIONS 2.5
#define FIXED_SHARED 0.1
#define NO_SHARED_BY_SHIFT 1e-9
#define DEFAULT_SHARED 0.3
#define DEFAULT_SHARED_BY_SHIFT 3.0
#define DEFAULT_LEAST_CHANCE 0.5
#define DEFAULT_STEP_US 28000
#define DEFAULT_MAX_WAITING 1024

#define MARGIN_START 2.5
#define MARGIN_UP 0.1 /* by each preemption; down: see placement_step.c */
#define MARGIN_MOST 4.0
#define PREEMPTED_SPARE 16 /* requests that ended since the last report */

#define REFILL_US G_USEC_PER_SEC
#define SHORT_DIVISOR 100 /* short: under this part of an engine's memory */
#define PATIENCE_US (60 * G_USEC_PER_SEC) /* of a request without deadline */
#define PLAIN_START_US 100000.0
#define PLAIN_FADE 0.95
#define HELD_FADE 0.99

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
		options->shared = FIXED_SHARED;
		options->shared_by_shift = NO_SHARED_BY_SHIFT;
	}
	if (options->step_us <= 0)
		options->step_us = DEFAULT_STEP_US;
	if (options->max_waiting <= 0)
		options->max_waiting = DEFAULT_MAX_WAITING;
	if (options->shared == 0)
		options->shared = DEFAULT_SHARED;
	if (options->least_chance == 0)
		options->least_chance = DEFAULT_LEAST_CHANCE;
	if (options->shared_by_shift == 0)
		options->shared_by_shift = DEFAULT_SHARED_BY_SHIFT;
}

/* An empty placement. The options are copied. */
struct placement *placement_create(const struct placement_options *options)
{
	struct placement *placement = g_new0(struct placement, 1);
	struct length_estimate_options lengths;

	placement->options = *options;
	placement_set_defaults(&placement->options);
	placement->deviations = placement->options.deviations > 0
					? placement->options.deviations
					: MARGIN_START;
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
	placement->divisor = 1;
	placement->plain_us = PLAIN_START_US;
	placement->interval_us = placement->options.step_us;
	return placement;
}

/* Frees the placement and all it holds; NULL is allowed. */
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

static struct endpoint_book *placement_find(struct placement *placement,
					    const char *address)
{
	struct endpoint_book *book =
		g_hash_table_lookup(placement->by_address, address);

	if (!book)
		placement->counts.unknown++;
	return book;
}

static struct placed_call *placement_find_call(struct placement *placement,
					       uint64_t ticket)
{
	struct placed_call *call =
		g_hash_table_lookup(placement->calls, &ticket);

	if (!call)
		placement->counts.unknown++;
	return call;
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

/* Takes a call out of queue or book and frees it. */
void placement_forget(struct placement *placement, struct placed_call *call)
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

/* Removes an endpoint and forgets what it held. */
void placement_remove_endpoint(struct placement *placement, const char *address,
			       G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint_book *book = placement_find(placement, address);

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
	struct endpoint_book *book = placement_find(placement, address);

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
	struct endpoint_book *book = placement_find(placement, address);
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
	struct endpoint_book *book = placement_find(placement, address);

	if (!book)
		return;
	endpoint_health_report_poll(&book->health, false, now_us);
}

static double placed_call_cost(const struct placement *placement,
			       const struct placed_call *call)
{
	if (placement->options.kind == SERVICE_PLAIN)
		return 1;
	return (double)call->prompt_tokens +
	       length_curve_mean_left(length_class_curve(call->cls), call->made,
				      call->max_tokens);
}

static void placed_call_set_order(const struct placement *placement,
				  struct placed_call *call, int64_t now_us)
{
	struct queue_entry *entry = &call->entry;
	double left = entry->tokens - (double)call->prompt_tokens;

	entry->arrival_us = now_us;
	entry->lane = QUEUE_SHORT;
	entry->start_by_us = now_us + PATIENCE_US;
	if (placement->options.kind == SERVICE_PLAIN) {
		if (call->deadline_us > 0)
			entry->start_by_us = call->deadline_us -
					     (int64_t)placement->plain_us;
		return;
	}
	if (call->deadline_us > 0)
		entry->start_by_us =
			call->deadline_us -
			(int64_t)(left * (double)placement->options.step_us /
				  2);
	/*
	 * What is not known to be long goes with the short ones. After a home
	 * is lost the next one knows nothing yet; checks that waited with the
	 * reports would run into their deadlines, and so be learned too late.
	 */
	if (((double)call->prompt_tokens +
	     left * length_class_known(call->cls)) *
		    SHORT_DIVISOR >
	    (double)placement->largest_tokens)
		entry->lane = QUEUE_LONG;
}

static void placed_call_fill(struct placed_call *call, int64_t now_us)
{
	admission_demand_fill(&call->demand, length_class_curve(call->cls),
			      call->prompt_tokens, call->made,
			      call->max_tokens);
	call->demand_made = call->made;
	call->demand_us = now_us;
}

/*
 * Brings what a waiting call is expected to need up to date: one that came
 * before a shift of lengths would be let in by what was known then.
 */
void placement_refill(struct placed_call *call, int64_t now_us)
{
	if (now_us - call->demand_us > REFILL_US)
		placed_call_fill(call, now_us);
}

static struct placed_call *
placement_add(struct placement *placement,
	      const struct placement_request *request, int64_t made,
	      int64_t now_us)
{
	const char *name = request->organisation ? request->organisation : "";
	struct placed_call *call;

	if (g_hash_table_contains(placement->calls, &request->ticket))
		return NULL;
	call = g_new0(struct placed_call, 1);
	call->ticket = request->ticket;
	call->prompt_tokens = CLAMP(request->prompt_tokens, 1, LENGTH_LONGEST);
	call->max_tokens = MAX(request->max_tokens, 0);
	call->true_tokens = request->true_tokens;
	call->deadline_us = request->deadline_us;
	call->prefix_hash = request->prefix_hash;
	call->avoid_hash = request->avoid_hash;
	call->made = CLAMP(made, 0, LENGTH_LONGEST);
	call->counted = call->made;
	call->cls =
		length_estimate_class(placement->lengths, name,
				      call->prompt_tokens, call->prefix_hash);
	call->entry.organisation = wait_queue_organisation(
		placement->queue, name, request->weight);
	call->entry.priority = CLAMP(request->priority, 0, 9);
	call->entry.tokens = placed_call_cost(placement, call);
	placed_call_fill(call, now_us);
	g_hash_table_insert(placement->calls, &call->ticket, call);
	return call;
}

/*
 * Puts a request in the queue; the next step decides on it. A ticket that is
 * known already is ignored.
 */
void placement_submit(struct placement *placement,
		      const struct placement_request *request, int64_t now_us)
{
	struct placed_call *call = placement_add(placement, request, 0, now_us);

	if (!call)
		return;
	placed_call_set_order(placement, call, now_us);
	wait_queue_push(placement->queue, &call->entry);
	g_ptr_array_add(placement->submitted, call);
	placement->recheck = true;
}

/* Takes a request out of the queue; unknown tickets are ignored. */
void placement_withdraw(struct placement *placement, uint64_t ticket,
			G_GNUC_UNUSED int64_t now_us)
{
	struct placed_call *call = placement_find_call(placement, ticket);

	if (call && !call->book)
		placement_forget(placement, call);
}

/* Books a call that is not in the queue on an endpoint. */
void placement_put(struct placement *placement, struct placed_call *call,
		   struct endpoint_book *book, int64_t now_us)
{
	struct queue_organisation *organisation = call->entry.organisation;

	call->charged = call->entry.tokens;
	endpoint_book_add(book, call, now_us);
	endpoint_health_count_placed(&book->health);
	endpoint_book_prefix(book, call->prefix_hash, true);
	wait_queue_charge(placement->queue, organisation, call->charged, true);
}

/* Books a grant that was made elsewhere: by an earlier home, or on a share. */
void placement_hold(struct placement *placement,
		    const struct placement_request *request,
		    const char *address, int64_t tokens, int64_t now_us)
{
	struct endpoint_book *book = placement_find(placement, address);
	struct placed_call *call;

	if (!book)
		return;
	call = g_hash_table_lookup(placement->calls, &request->ticket);
	if (call && call->book == book)
		return;
	if (call)
		placement_forget(placement, call);
	call = placement_add(placement, request, tokens, now_us);
	placement_put(placement, call, book, now_us);
}

static void placement_count_tokens(struct placed_call *call, int64_t tokens)
{
	if (tokens > call->counted) {
		length_class_count_progress(call->cls, call->counted, tokens);
		call->counted = tokens;
	}
}

/* Notes how many tokens a placed request has made. */
void placement_progress(struct placement *placement, uint64_t ticket,
			int64_t tokens, int64_t now_us)
{
	struct placed_call *call = placement_find_call(placement, ticket);

	if (!call || !call->book || tokens <= call->made ||
	    tokens > LENGTH_LONGEST)
		return;
	endpoint_book_progress(call->book, call, tokens, now_us);
	endpoint_health_report_success(&call->book->health, now_us);
	placement_count_tokens(call, tokens);
}

static void placement_learn_length(struct placed_call *call,
				   enum release_outcome outcome, int64_t tokens)
{
	bool cut = call->max_tokens > 0 && tokens >= call->max_tokens;

	tokens = MIN(tokens, LENGTH_LONGEST);
	if (outcome == RELEASE_WHOLE && !cut && tokens > 0)
		length_class_count_end(call->cls, call->counted, tokens);
	else
		placement_count_tokens(call, tokens);
}

static void placement_learn_health(struct placement *placement,
				   struct endpoint_book *book,
				   enum release_outcome outcome, int64_t now_us)
{
	switch (outcome) {
	case RELEASE_WHOLE:
		endpoint_health_report_success(&book->health, now_us);
		break;
	case RELEASE_FAILED:
	case RELEASE_LOST:
		if (endpoint_health_report_failure(&book->health))
			placement_suspect(placement, book, now_us);
		break;
	case RELEASE_CANCELLED:
	case RELEASE_NOT_SENT:
		break;
	}
}

/* What ends, and how long it held its place, weighed by its size. */
static void placement_learn_drain(struct placement *placement,
				  const struct placed_call *call, double used,
				  int64_t now_us)
{
	double held_s =
		(double)(now_us - call->placed_us) / (double)G_USEC_PER_SEC;

	placement->drained += used;
	placement->used_memory = placement->used_memory * HELD_FADE + used;
	placement->held_memory =
		placement->held_memory * HELD_FADE + used * held_s;
}

static void placement_learn_plain(struct placement *placement,
				  const struct placed_call *call,
				  int64_t now_us)
{
	placement->plain_us =
		placement->plain_us * PLAIN_FADE +
		(double)(now_us - call->placed_us) * (1 - PLAIN_FADE);
}

/* Ends a grant; unknown tickets are ignored, one that waits is withdrawn. */
void placement_release(struct placement *placement, uint64_t ticket,
		       enum release_outcome outcome, int64_t tokens,
		       int64_t now_us)
{
	struct placed_call *call = placement_find_call(placement, ticket);
	struct endpoint_book *book;
	double used = 1;

	if (!call)
		return;
	book = call->book;
	if (!book) {
		placement_forget(placement, call);
		return;
	}
	tokens = MAX(tokens, call->made);
	if (placement->options.kind == SERVICE_GENERATION) {
		used = (double)(call->prompt_tokens + tokens);
		placement_learn_length(call, outcome, tokens);
	} else if (outcome == RELEASE_WHOLE) {
		placement_learn_plain(placement, call, now_us);
	}
	wait_queue_charge(placement->queue, call->entry.organisation,
			  used - call->charged, false);
	placement_learn_drain(placement, call, used, now_us);
	placement_learn_health(placement, book, outcome, now_us);
	placement_forget(placement, call);
}

/* A hint that an endpoint holds a prompt's prefix, or no longer does. */
void placement_prefix_cached(struct placement *placement, const char *address,
			     uint64_t prefix_hash, bool cached)
{
	struct endpoint_book *book = placement_find(placement, address);

	if (book)
		endpoint_book_prefix(book, prefix_hash, cached);
}

/* What was counted since the start. */
const struct placement_counts *
placement_counts(const struct placement *placement)
{
	return &placement->counts;
}

/* Requests that wait. */
uint32_t placement_waiting(const struct placement *placement)
{
	return wait_queue_length(placement->queue);
}

static void dump_book(GVariantBuilder *list, const struct endpoint_book *book)
{
	GVariantDict dict;

	g_variant_dict_init(&dict, NULL);
	g_variant_dict_insert(&dict, "address", "s", book->address);
	g_variant_dict_insert(&dict, "calls", "u", book->calls->len);
	g_variant_dict_insert(&dict, "tokens", "x",
			      (int64_t)book->load.mean[0]);
	g_variant_dict_insert(&dict, "foreign_tokens", "x",
			      book->foreign_tokens);
	g_variant_dict_insert(&dict, "capacity_tokens", "x",
			      book->capacity_tokens);
	g_variant_dict_insert(&dict, "interval_us", "x",
			      (int64_t)book->interval_us);
	g_variant_dict_insert(&dict, "leaving", "b",
			      book->leaving || book->reported_leaving);
	g_variant_dict_insert(&dict, "health", "s",
			      health_state_name(book->health.state));
	g_variant_builder_add_value(list, g_variant_dict_end(&dict));
}

/* What the placement holds, for the dump of a node. */
GVariant *placement_dump(const struct placement *placement,
			 G_GNUC_UNUSED int64_t now_us)
{
	const struct placement_counts *counts = &placement->counts;
	GVariantBuilder list;
	GVariantDict dict;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (guint i = 0; i < placement->books->len; i++)
		dump_book(&list, g_ptr_array_index(placement->books, i));
	g_variant_dict_init(&dict, NULL);
	g_variant_dict_insert(&dict, "waiting", "u",
			      placement_waiting(placement));
	g_variant_dict_insert(&dict, "placed", "t", counts->placed);
	g_variant_dict_insert(&dict, "refused", "t", counts->refused);
	g_variant_dict_insert(&dict, "put_aside", "t", counts->put_aside);
	g_variant_dict_insert(&dict, "reports_older", "t",
			      counts->reports_older);
	g_variant_dict_insert(&dict, "reports_absurd", "t",
			      counts->reports_absurd);
	g_variant_dict_insert(&dict, "unknown", "t", counts->unknown);
	g_variant_dict_insert(&dict, "deviations", "d", placement->deviations);
	g_variant_dict_insert(&dict, "length_shift", "d",
			      length_estimate_shift(placement->lengths));
	g_variant_dict_insert_value(&dict, "endpoints",
				    g_variant_builder_end(&list));
	return g_variant_dict_end(&dict);
}
