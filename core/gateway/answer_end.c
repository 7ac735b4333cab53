#include "core/gateway/answer_end.h"

static const char *const end_names[] = {
	[ANSWER_WHOLE] = "whole",
	[ANSWER_CUT_WITHIN_EVENT] = "answer ended within an event",
	[ANSWER_CUT_BEFORE_EVENT] = "answer ended before its first event",
};

/*
 * Returns how an answer has ended. Each run that succeeds makes an event, so a
 * connection that closes before the first one has lost the answer. A stream
 * without events that ends by its own framing, and a body without events, are
 * whole as the endpoint sent them, even if they are empty.
 */
enum answer_end answer_end_decide(const struct answer_end_input *input)
{
	if (input->is_within_event)
		return ANSWER_CUT_WITHIN_EVENT;
	if (input->is_ended_by_close && input->expects_events &&
	    !input->has_event)
		return ANSWER_CUT_BEFORE_EVENT;
	return ANSWER_WHOLE;
}

/* Returns what to log of an end, a static string. */
const char *answer_end_name(enum answer_end end)
{
	return end_names[end];
}
