#include "core/placement/placement_state.h"

/*
 * Progress and end of placed requests, and what they add to the statistics of
 * lengths, durations, end rate and health.
 */

#define PLAIN_DECAY 0.95 /* per plain call: a window of about 20 */
#define HELD_DECAY 0.99	 /* per ended request: a window of about 100 */

static void placement_count_tokens(struct placed_call *call, int64_t tokens)
{
	if (tokens > call->counted_tokens) {
		length_class_count_progress(call->cls, call->counted_tokens,
					    tokens);
		call->counted_tokens = tokens;
	}
}

/*
 * Notes how many tokens a placed request has generated. Ignored if the request
 * is unknown or waiting, or if the count is not a plausible increase.
 */
void placement_report_progress(struct placement *placement, uint64_t ticket,
			       int64_t tokens, int64_t now_us)
{
	struct placed_call *call = placement_find_call(placement, ticket);

	if (!call || !call->book || tokens <= call->output_tokens ||
	    tokens > LENGTH_MAX_TOKENS)
		return;
	endpoint_book_record_progress(call->book, call, tokens, now_us);
	endpoint_health_report_success(&call->book->health, now_us);
	placement_count_tokens(call, tokens);
}

static void placement_learn_length(struct placed_call *call,
				   enum release_outcome outcome, int64_t tokens)
{
	bool reached_limit = call->max_tokens > 0 && tokens >= call->max_tokens;

	tokens = MIN(tokens, LENGTH_MAX_TOKENS);
	if (outcome == RELEASE_COMPLETE && !reached_limit && tokens > 0)
		length_class_count_end(call->cls, call->counted_tokens, tokens);
	else
		placement_count_tokens(call, tokens);
}

static void placement_learn_health(struct placement *placement,
				   struct endpoint_book *book,
				   enum release_outcome outcome, int64_t now_us)
{
	switch (outcome) {
	case RELEASE_COMPLETE:
		endpoint_health_report_success(&book->health, now_us);
		break;
	case RELEASE_FAILED:
	case RELEASE_UNREACHABLE:
		if (endpoint_health_report_failure(&book->health))
			placement_put_aside(placement, book, now_us);
		break;
	case RELEASE_CANCELLED:
	case RELEASE_NOT_SENT:
		break;
	}
}

/*
 * Counts a request that ended, and for how long it was held, weighted by its
 * size: tokens, or 1 for a plain call.
 */
static void placement_count_ended(struct placement *placement,
				  const struct placed_call *call, double used,
				  int64_t now_us)
{
	double held_s =
		(double)(now_us - call->placed_us) / (double)G_USEC_PER_SEC;

	placement->ended += used;
	placement->decayed_tokens =
		placement->decayed_tokens * HELD_DECAY + used;
	placement->decayed_token_s =
		placement->decayed_token_s * HELD_DECAY + used * held_s;
}

static void placement_learn_plain_duration(struct placement *placement,
					   const struct placed_call *call,
					   int64_t now_us)
{
	placement->plain_duration_us =
		placement->plain_duration_us * PLAIN_DECAY +
		(double)(now_us - call->placed_us) * (1 - PLAIN_DECAY);
}

/*
 * Ends a grant. tokens is how many were generated. Unknown tickets are ignored;
 * a waiting request is withdrawn.
 */
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
		placement_remove_call(placement, call);
		return;
	}
	tokens = MAX(tokens, call->output_tokens);
	if (placement->options.kind == SERVICE_GENERATION) {
		used = (double)(call->prompt_tokens + tokens);
		placement_learn_length(call, outcome, tokens);
	} else if (outcome == RELEASE_COMPLETE) {
		placement_learn_plain_duration(placement, call, now_us);
	}
	wait_queue_charge(placement->queue, call->entry.organisation,
			  used - call->charged_tokens, false);
	placement_count_ended(placement, call, used, now_us);
	placement_learn_health(placement, book, outcome, now_us);
	placement_remove_call(placement, call);
}
