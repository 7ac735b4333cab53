#include "core/placement/placement_state.h"

/*
 * One step of a placement: assigns waiting requests to endpoints, and refuses
 * those that gain nothing by waiting.
 */

#define CHECK_PERIOD_US (200 * 1000)
#define RATE_DECAY 0.96 /* per period: a window of five seconds */
#define MAX_HEADS 16
#define RESERVE_AFTER_US (2 * G_USEC_PER_SEC)
#define MAX_WAIT_US (300 * G_USEC_PER_SEC)
#define PREFILL_US_PER_TOKEN 50.0
#define RETRY_MIN_US G_USEC_PER_SEC
#define RETRY_MAX_US (120 * G_USEC_PER_SEC)
#define NO_ENDPOINT_RETRY_US (2 * G_USEC_PER_SEC)
/* In deviations; one preemption per 2000 grants offsets it. */
#define MARGIN_DOWN_PER_GRANT 0.00005
#define MARGIN_MIN 1.0
#define REPORT_FRESH_US (5 * G_USEC_PER_SEC)

struct step {
	struct placement *placement;
	int64_t now_us;
	GArray *decisions;
	bool has_endpoint; /* at least one is not leaving */
};

static struct placed_call *entry_call(struct queue_entry *entry)
{
	return (struct placed_call *)entry;
}

/*
 * Adds a random part of up to half of the wait, so that refused callers do not
 * retry at the same time.
 */
static int64_t retry_after_us(struct placement *placement, double wait_us)
{
	double spread = 1 + g_rand_double(placement->rand) / 2;
	int64_t us = (int64_t)(MIN(wait_us, RETRY_MAX_US) * spread);

	return CLAMP(us, RETRY_MIN_US, RETRY_MAX_US);
}

/*
 * Time in us until that many waiting tokens are served at the present rate;
 * RETRY_MIN_US if the rate is not known yet.
 */
static double placement_backlog_us(const struct placement *placement,
				   double tokens)
{
	if (tokens <= 0)
		return 0;
	if (placement->ended_per_s <= 0)
		return RETRY_MIN_US;
	return tokens / placement->ended_per_s * G_USEC_PER_SEC;
}

static void step_refuse(struct step *step, struct placed_call *call,
			enum refusal refusal, double wait_us)
{
	struct placement_decision decision = {
		.verdict = PLACEMENT_REFUSED,
		.ticket = call->ticket,
		.refusal = refusal,
		.retry_after_us = retry_after_us(step->placement, wait_us),
	};

	placement_remove_call(step->placement, call);
	step->placement->counts.refused++;
	g_array_append_val(step->decisions, decision);
}

/*
 * Narrows the margin a little for each grant, but only if the endpoint's load
 * reports are recent and count preemptions: without reports, the absence of
 * preemptions doesn't show that there is free memory.
 */
static void step_narrow_margin(struct step *step,
			       const struct endpoint_book *book)
{
	struct placement *placement = step->placement;

	if (placement->options.deviations > 0 || book->report_us == 0 ||
	    book->report.preemptions_total < 0 ||
	    step->now_us - book->report_us > REPORT_FRESH_US)
		return;
	placement->deviations =
		MAX(placement->deviations - MARGIN_DOWN_PER_GRANT, MARGIN_MIN);
}

static void step_place(struct step *step, struct placed_call *call,
		       struct endpoint_book *book)
{
	struct placement *placement = step->placement;
	struct placement_decision decision = {
		.verdict = PLACEMENT_PLACED,
		.ticket = call->ticket,
		.endpoint = book->address,
	};

	wait_queue_remove(placement->queue, &call->entry);
	if (placement->reserved_for == call->ticket)
		placement->reserved = NULL;
	placement_assign(placement, call, book, step->now_us);
	placement->counts.placed++;
	step_narrow_margin(step, book);
	g_array_append_val(step->decisions, decision);
}

/*
 * Reserves the least loaded endpoint for a long request that has waited while
 * smaller ones overtook it. Otherwise smaller requests take each piece of
 * memory that becomes free before it adds up to what the long one needs. Only
 * one endpoint is reserved at a time: with one for the first request of each
 * organisation, the engines stayed half empty while requests waited.
 */
static void step_reserve(struct step *step, const struct placed_call *call)
{
	struct placement *placement = step->placement;
	struct endpoint_book *best = NULL;

	if (placement->reserved ||
	    step->now_us - call->entry.arrival_us < RESERVE_AFTER_US)
		return;
	for (guint i = 0; i < placement->books->len; i++) {
		struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		if (placement_is_eligible(placement, book) &&
		    (!best || book->load.mean[0] < best->load.mean[0]))
			best = book;
	}
	placement->reserved = best;
	placement->reserved_for = call->ticket;
}

/*
 * Places one request: of the first requests in a lane, one per organisation,
 * the first that fits on an endpoint. Returns false if none fits.
 */
static bool step_place_one(struct step *step, enum queue_lane lane)
{
	struct placement *placement = step->placement;
	struct queue_entry *heads[MAX_HEADS];
	uint32_t count = wait_queue_heads(placement->queue, lane, step->now_us,
					  heads, MAX_HEADS);

	for (uint32_t i = 0; i < count; i++) {
		struct placed_call *call = entry_call(heads[i]);
		struct endpoint_book *book;

		placement_refresh_demand(call, step->now_us);
		book = placement_choose(placement, call, step->now_us);
		if (book) {
			step_place(step, call, book);
			return true;
		}
		if (lane == QUEUE_LONG && i == 0)
			step_reserve(step, call);
	}
	return false;
}

/*
 * Probability that a request completes by its deadline if it starts at
 * start_us. The lengths of a class with few observations hardly lower it: if
 * all its requests were refused as too long, they could never be observed to
 * be short.
 */
double placement_deadline_chance(struct placement *placement,
				 struct placed_call *call, int64_t start_us)
{
	double left_us = (double)(call->deadline_us - start_us);
	int64_t tokens;

	if (placement->options.kind == SERVICE_PLAIN)
		return left_us >= placement->plain_duration_us ? 1 : 0;
	left_us -= PREFILL_US_PER_TOKEN * (double)call->prompt_tokens;
	tokens = (int64_t)(left_us / (double)placement->interval_us);
	if (tokens <= 0)
		return 0;
	if (placement->options.policy == PLACEMENT_ORACLE)
		return tokens >= call->true_tokens ? 1 : 0;
	if (call->max_tokens > 0 && tokens >= call->max_tokens)
		return 1;
	return 1 - length_class_confidence(call->cls) *
			   length_curve_survival(length_class_curve(call->cls),
						 tokens);
}

/*
 * Refuses a request that is unlikely to meet its deadline after waiting for
 * wait_us, or that has waited for more than MAX_WAIT_US. With an early refusal
 * the caller can go elsewhere or retry, and its capacity goes to a request
 * that can still complete in time.
 */
static void step_check_deadline(struct step *step, struct placed_call *call,
				double wait_us)
{
	struct placement *placement = step->placement;
	int64_t start_us = step->now_us + (int64_t)wait_us;

	if (call->deadline_us > 0 &&
	    placement_deadline_chance(placement, call, start_us) <
		    placement->options.min_deadline_chance)
		step_refuse(step, call, REFUSAL_DEADLINE, wait_us);
	else if (step->now_us - call->entry.arrival_us > MAX_WAIT_US)
		step_refuse(step, call, REFUSAL_NO_ENDPOINT, wait_us);
}

static bool placement_has_endpoint(const struct placement *placement)
{
	for (guint i = 0; i < placement->books->len; i++) {
		const struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		if (!book->leaving && !book->reported_leaving)
			return true;
	}
	return false;
}

/*
 * Applies step_check_deadline() to a waiting request, or refuses it if all
 * endpoints are leaving meanwhile, since waiting doesn't help then.
 */
static void step_check_waiting(gpointer data, gpointer user)
{
	struct step *step = user;

	if (step->has_endpoint)
		step_check_deadline(step, entry_call(data), 0);
	else
		step_refuse(step, entry_call(data), REFUSAL_NO_ENDPOINT,
			    NO_ENDPOINT_RETRY_US);
}

static bool placement_could_fit(const struct placement *placement,
				const struct placed_call *call)
{
	bool known = false;

	if (placement->options.kind == SERVICE_PLAIN)
		return true;
	for (guint i = 0; i < placement->books->len; i++) {
		const struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		known = known || book->capacity_tokens > 0;
		if (book->capacity_tokens > call->prompt_tokens)
			return true;
	}
	return !known;
}

/* Checks the newly submitted requests that were not placed at once. */
static void step_check_submitted(struct step *step)
{
	struct placement *placement = step->placement;

	while (placement->submitted->len > 0) {
		struct placed_call *call =
			g_ptr_array_index(placement->submitted, 0);

		g_ptr_array_remove_index(placement->submitted, 0);
		if (call->book)
			continue;
		if (!placement_has_endpoint(placement))
			step_refuse(step, call, REFUSAL_NO_ENDPOINT,
				    NO_ENDPOINT_RETRY_US);
		else if (!placement_could_fit(placement, call))
			step_refuse(step, call, REFUSAL_TOO_LARGE, 0);
		else
			step_check_deadline(
				step, call,
				placement_backlog_us(placement,
						     wait_queue_tokens_ahead(
							     placement->queue,
							     &call->entry)));
	}
}

static void step_trim_queue(struct step *step)
{
	struct placement *placement = step->placement;

	while (wait_queue_length(placement->queue) >
	       (uint32_t)placement->options.max_waiting) {
		struct queue_entry *entry =
			wait_queue_pick_overflow(placement->queue);
		double wait_us = placement_backlog_us(
			placement, entry->organisation->waiting_tokens);

		step_refuse(step, entry_call(entry), REFUSAL_QUEUE_FULL,
			    wait_us);
	}
}

static double placement_total_capacity(const struct placement *placement)
{
	double capacity = 0;

	for (guint i = 0; i < placement->books->len; i++) {
		const struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		if (!placement_is_eligible(placement, book))
			continue;
		capacity += placement->options.kind == SERVICE_PLAIN
				    ? MAX(book->slots, 1)
				    : (double)book->capacity_tokens;
	}
	return capacity / placement->share_divisor;
}

/*
 * Updates the rate at which requests end. While nothing waits, the observed
 * rate shows the offered load and not what the endpoints can do, and a burst
 * after a quiet time would be refused because of it. The rate is then the total
 * capacity divided by the mean time for which it is held.
 */
static void placement_update_rate(struct placement *placement,
				  int64_t elapsed_us)
{
	double seen = placement->ended * G_USEC_PER_SEC / (double)elapsed_us;

	placement->ended = 0;
	if (wait_queue_length(placement->queue) > 0 &&
	    placement->ended_per_s > 0)
		placement->ended_per_s = placement->ended_per_s * RATE_DECAY +
					 seen * (1 - RATE_DECAY);
	else if (placement->decayed_token_s > 0)
		placement->ended_per_s = placement_total_capacity(placement) *
					 placement->decayed_tokens /
					 placement->decayed_token_s;
}

static void step_periodic(struct step *step)
{
	struct placement *placement = step->placement;
	int64_t elapsed_us = step->now_us - placement->rate_updated_us;

	if (elapsed_us < CHECK_PERIOD_US)
		return;
	placement_update_rate(placement, elapsed_us);
	placement->rate_updated_us = step->now_us;
	placement->interval_us = placement_interval_us(placement);
	placement_check_endpoints(placement, step->now_us);
	step->has_endpoint = placement_has_endpoint(placement);
	wait_queue_foreach(placement->queue, step_check_waiting, step);
	placement->recheck = true;
}

/*
 * Places and refuses all requests on which a decision is possible now, and
 * appends a struct placement_decision for each to decisions.
 */
void placement_step(struct placement *placement, int64_t now_us,
		    GArray *decisions)
{
	struct step step = {
		.placement = placement,
		.now_us = now_us,
		.decisions = decisions,
	};

	step_periodic(&step);
	if (!placement->recheck)
		return;
	placement->recheck = false;
	while (step_place_one(&step, QUEUE_SHORT))
		;
	while (step_place_one(&step, QUEUE_LONG))
		;
	step_check_submitted(&step);
	step_trim_queue(&step);
	placement->recheck = false;
}

/*
 * Time of the next placement_step() if nothing changes before; 0: at once,
 * INT64_MAX: none is needed.
 */
int64_t placement_next_due_us(const struct placement *placement)
{
	if (wait_queue_length(placement->queue) == 0)
		return INT64_MAX;
	return placement->recheck
		       ? 0
		       : placement->rate_updated_us + CHECK_PERIOD_US;
}
