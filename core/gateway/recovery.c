#include "core/gateway/recovery.h"

/*
 * Sends of one request, including those that endpoints refused without running
 * it. Each draws on the retry budget, and a fourth endpoint would also refuse a
 * request that three endpoints refused.
 */
#define MAX_SENDS 3

static const char *const result_names[] = {
	[RESULT_NOT_SENT] = "not_sent", [RESULT_NOT_RUN] = "not_run",
	[RESULT_ERROR] = "error",	[RESULT_SLOW] = "slow",
	[RESULT_BROKEN] = "broken",	[RESULT_NO_COPY] = "no_copy",
};

static const char *const recovery_names[] = {
	[RECOVERY_SEND_AGAIN] = "send_again",
	[RECOVERY_TAKE_OVER] = "take_over",
	[RECOVERY_RESUME] = "resume",
	[RECOVERY_FORWARD] = "pass_on",
	[RECOVERY_REFUSE] = "refuse",
	[RECOVERY_FAIL] = "fail",
	[RECOVERY_ABORT] = "break",
};

static bool may_send_again(const struct recovery_input *input)
{
	return input->budget_left && input->sends < MAX_SENDS;
}

static bool may_run_again(const struct recovery_input *input)
{
	return may_send_again(input) &&
	       (input->kind == ROUTE_IDEMPOTENT || input->is_resumable) &&
	       input->runs < input->max_attempts;
}

static enum recovery decide_unanswered(const struct recovery_input *input)
{
	switch (input->result) {
	case RESULT_NOT_SENT:
	case RESULT_NOT_RUN:
		if (may_send_again(input) &&
		    (input->runs == 0 || may_run_again(input)))
			return RECOVERY_SEND_AGAIN;
		return input->runs == 0 ? RECOVERY_REFUSE : RECOVERY_FAIL;
	case RESULT_ERROR:
		return may_run_again(input) ? RECOVERY_SEND_AGAIN
					    : RECOVERY_FORWARD;
	case RESULT_SLOW:
	case RESULT_BROKEN:
		if (input->kind == ROUTE_STREAM && input->copy_is_ready &&
		    input->budget_left)
			return RECOVERY_TAKE_OVER;
		return may_run_again(input) ? RECOVERY_SEND_AGAIN
					    : RECOVERY_FAIL;
	case RESULT_NO_COPY:
		return input->is_resumable && may_run_again(input)
			       ? RECOVERY_SEND_AGAIN
			       : RECOVERY_FAIL;
	}
	return RECOVERY_FAIL;
}

/*
 * Returns the next step for a request without a complete answer. A stream that
 * has begun is only ever continued from a copy of its own memory: a new run
 * would generate other text after the part that the caller has, and nobody
 * could tell where the two were joined. A resumable stream has the same events
 * in every run, so that it may go on elsewhere after any of them.
 */
enum recovery recovery_decide(const struct recovery_input *input)
{
	if (!input->answer_begun)
		return decide_unanswered(input);
	if (input->kind == ROUTE_STREAM && input->copy_is_ready &&
	    input->budget_left && input->result != RESULT_NO_COPY)
		return RECOVERY_TAKE_OVER;
	if (input->is_resumable && input->has_event_id && may_run_again(input))
		return RECOVERY_RESUME;
	return RECOVERY_ABORT;
}

/* Returns the name of a result, a static string for logs. */
const char *attempt_result_name(enum attempt_result result)
{
	return result_names[result];
}

/* Returns the name of a decision, a static string for logs. */
const char *recovery_name(enum recovery recovery)
{
	return recovery_names[recovery];
}
