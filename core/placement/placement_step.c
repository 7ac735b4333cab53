#include "core/placement/placement_state.h"

/*
 * One step of a placement: who of those that wait goes where now, and who is
 * told at once that waiting is of no use.
 */

#define TICK_US (200 * 1000)
#define DRAIN_FADE 0.96 /* per tick: a memory of five seconds */
#define MAX_HEADS 16
#define RESERVE_AFTER_US (2 * G_USEC_PER_SEC)
#define MAX_WAIT_US (300 * G_USEC_PER_SEC)
#define PREFILL_US_PER_TOKEN 50.0
#define RETRY_LEAST_US G_USEC_PER_SEC
#define RETRY_MOST_US (120 * G_USEC_PER_SEC)
#define NO_ENDPOINT_RETRY_US (2 * G_USEC_PER_SEC)
#define MARGIN_DOWN 0.00005 /* one preemption in two thousand keeps it */
#define MARGIN_LEAST 1.0
#define REPORT_FRESH_US (5 * G_USEC_PER_SEC)

struct step {
	struct placement *placement;
	int64_t now_us;
	GArray *decisions;
	bool can_serve; /* an endpoint is left that takes new work */
};

static struct placed_call *entry_call(struct queue_entry *entry)
{
	return (struct placed_call *)entry;
}

/* Spread over half to all of the wait, so that callers do not come in step. */
static int64_t retry_after_us(struct placement *placement, double wait_us)
{
	double spread = 1 + g_rand_double(placement->rand) / 2;
	int64_t us = (int64_t)(MIN(wait_us, RETRY_MOST_US) * spread);

	return CLAMP(us, RETRY_LEAST_US, RETRY_MOST_US);
}

/* How long until so many tokens will have ended at the present rate. */
static double placement_drain_us(const struct placement *placement,
				 double tokens)
{
	if (tokens <= 0)
		return 0;
	if (placement->drained_per_s <= 0)
		return RETRY_LEAST_US;
	return tokens / placement->drained_per_s * G_USEC_PER_SEC;
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

	placement_forget(step->placement, call);
	step->placement->counts.refused++;
	g_array_append_val(step->decisions, decision);
}

/*
 * Each placement without a preemption narrows the margin a little. Only where
 * the endpoint's reports come and count them: silence is no sign of room.
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
		MAX(placement->deviations - MARGIN_DOWN, MARGIN_LEAST);
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
	placement_put(placement, call, book, step->now_us);
	placement->counts.placed++;
	step_narrow_margin(step, book);
	g_array_append_val(step->decisions, decision);
}

/*
 * A long request that waited while smaller ones went by gets the emptiest
 * endpoint kept for it: otherwise each bit of room that comes free is taken
 * before it adds up to what it needs. One endpoint at a time: with one kept
 * for each organisation's head the engines stood half empty before a queue.
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

		if (placement_may_serve(placement, book) &&
		    (!best || book->load.mean[0] < best->load.mean[0]))
			best = book;
	}
	placement->reserved = best;
	placement->reserved_for = call->ticket;
}

/* Places the first of a lane's heads that fits somewhere; false: none did. */
static bool step_place_one(struct step *step, enum queue_lane lane)
{
	struct placement *placement = step->placement;
	struct queue_entry *heads[MAX_HEADS];
	uint32_t count = wait_queue_heads(placement->queue, lane, step->now_us,
					  heads, MAX_HEADS);

	for (uint32_t i = 0; i < count; i++) {
		struct placed_call *call = entry_call(heads[i]);
		struct endpoint_book *book;

		placement_refill(call, step->now_us);
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
 * Chance that a request is whole by its deadline if it starts then. What is
 * not known to be too long gets the benefit: a class of which all requests
 * were refused as too long would never be seen to be short.
 */
double placement_chance(struct placement *placement, struct placed_call *call,
			int64_t start_us)
{
	double left_us = (double)(call->deadline_us - start_us);
	int64_t tokens;

	if (placement->options.kind == SERVICE_PLAIN)
		return left_us >= placement->plain_us ? 1 : 0;
	left_us -= PREFILL_US_PER_TOKEN * (double)call->prompt_tokens;
	tokens = (int64_t)(left_us / (double)placement->interval_us);
	if (tokens <= 0)
		return 0;
	if (placement->options.policy == PLACEMENT_ORACLE)
		return tokens >= call->true_tokens ? 1 : 0;
	if (call->max_tokens > 0 && tokens >= call->max_tokens)
		return 1;
	return 1 - length_class_known(call->cls) *
			   length_curve_survival(length_class_curve(call->cls),
						 tokens);
}

/*
 * Refuses a request whose deadline is out of reach after so long a wait. Said
 * at once, the caller can go elsewhere or come back, and its room goes to one
 * that can still be in time.
 */
static void step_judge(struct step *step, struct placed_call *call,
		       double wait_us)
{
	struct placement *placement = step->placement;
	int64_t start_us = step->now_us + (int64_t)wait_us;

	if (call->deadline_us > 0 &&
	    placement_chance(placement, call, start_us) <
		    placement->options.least_chance)
		step_refuse(step, call, REFUSAL_DEADLINE, wait_us);
	else if (step->now_us - call->entry.arrival_us > MAX_WAIT_US)
		step_refuse(step, call, REFUSAL_NO_ENDPOINT, wait_us);
}

static bool placement_can_serve(const struct placement *placement)
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
 * A waiting request may see its last endpoint leave; then no wait helps it.
 */
static void step_judge_waiting(gpointer data, gpointer user)
{
	struct step *step = user;

	if (step->can_serve)
		step_judge(step, entry_call(data), 0);
	else
		step_refuse(step, entry_call(data), REFUSAL_NO_ENDPOINT,
			    NO_ENDPOINT_RETRY_US);
}

static bool placement_could_hold(const struct placement *placement,
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

/* Looks at the new ones that found no room. */
static void step_judge_submitted(struct step *step)
{
	struct placement *placement = step->placement;

	while (placement->submitted->len > 0) {
		struct placed_call *call =
			g_ptr_array_index(placement->submitted, 0);

		g_ptr_array_remove_index(placement->submitted, 0);
		if (call->book)
			continue;
		if (!placement_can_serve(placement))
			step_refuse(step, call, REFUSAL_NO_ENDPOINT,
				    NO_ENDPOINT_RETRY_US);
		else if (!placement_could_hold(placement, call))
			step_refuse(step, call, REFUSAL_TOO_LARGE, 0);
		else
			step_judge(step, call,
				   placement_drain_us(
					   placement,
					   wait_queue_ahead(placement->queue,
							    &call->entry)));
	}
}

static void step_bound_queue(struct step *step)
{
	struct placement *placement = step->placement;

	while (wait_queue_length(placement->queue) >
	       (uint32_t)placement->options.max_waiting) {
		struct queue_entry *entry = wait_queue_excess(placement->queue);
		double wait_us = placement_drain_us(
			placement, entry->organisation->waiting_tokens);

		step_refuse(step, entry_call(entry), REFUSAL_QUEUE_FULL,
			    wait_us);
	}
}

static double placement_room(const struct placement *placement)
{
	double room = 0;

	for (guint i = 0; i < placement->books->len; i++) {
		const struct endpoint_book *book =
			g_ptr_array_index(placement->books, i);

		if (!placement_may_serve(placement, book))
			continue;
		room += placement->options.kind == SERVICE_PLAIN
				? MAX(book->slots, 1)
				: (double)book->capacity_tokens;
	}
	return room / placement->divisor;
}

/*
 * How much ends per second. While nothing waits this shows the load, not what
 * the endpoints can do, and a burst after quiet would be refused for it: then
 * it is what they hold when full over how long it is held.
 */
static void placement_learn_rate(struct placement *placement,
				 int64_t elapsed_us)
{
	double seen = placement->drained * G_USEC_PER_SEC / (double)elapsed_us;

	placement->drained = 0;
	if (wait_queue_length(placement->queue) > 0 &&
	    placement->drained_per_s > 0)
		placement->drained_per_s =
			placement->drained_per_s * DRAIN_FADE +
			seen * (1 - DRAIN_FADE);
	else if (placement->held_memory > 0)
		placement->drained_per_s = placement_room(placement) *
					   placement->used_memory /
					   placement->held_memory;
}

static void step_tick(struct step *step)
{
	struct placement *placement = step->placement;
	int64_t elapsed_us = step->now_us - placement->drain_us;

	if (elapsed_us < TICK_US)
		return;
	placement_learn_rate(placement, elapsed_us);
	placement->drain_us = step->now_us;
	placement->interval_us = placement_interval_us(placement);
	placement_watch_endpoints(placement, step->now_us);
	step->can_serve = placement_can_serve(placement);
	wait_queue_foreach(placement->queue, step_judge_waiting, step);
	placement->recheck = true;
}

/* Appends struct placement_decision for all that can be decided now. */
void placement_step(struct placement *placement, int64_t now_us,
		    GArray *decisions)
{
	struct step step = {
		.placement = placement,
		.now_us = now_us,
		.decisions = decisions,
	};

	step_tick(&step);
	if (!placement->recheck)
		return;
	placement->recheck = false;
	while (step_place_one(&step, QUEUE_SHORT))
		;
	while (step_place_one(&step, QUEUE_LONG))
		;
	step_judge_submitted(&step);
	step_bound_queue(&step);
	placement->recheck = false;
}

/* When to step again though nothing happens; INT64_MAX: not needed. */
int64_t placement_next_due_us(const struct placement *placement)
{
	if (wait_queue_length(placement->queue) == 0)
		return INT64_MAX;
	return placement->recheck ? 0 : placement->drain_us + TICK_US;
}
