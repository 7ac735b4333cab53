#include "core/gateway/answer_end.h"

static const char *const end_names[] = {
	[ANSWER_WHOLE] = "whole",
	[ANSWER_CUT_WITHIN_EVENT] = "answer ended within an event",
	[ANSWER_CUT_BEFORE_EVENT] = "answer ended before its first event",
	[ANSWER_CUT_UNFRAMED] = "node ended its answer by a close",
};

/*
 * Returns how an answer has ended. Each run that succeeds makes an event, so a
 * connection that closes before the first one has lost the answer. A node
 * frames what it relays, so its close is never an end. Whole as the endpoint
 * sent them, even if they are empty, are a stream without events that ends by
 * its own framing, and a body that is no stream.
 */
enum answer_end answer_end_decide(const struct answer_end_input *input)
{
	if (input->is_ended_by_close && input->is_from_node)
		return ANSWER_CUT_UNFRAMED;
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
