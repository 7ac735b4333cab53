#include "adapters/endpoint_attempt_state.h"

/*
 * The events that an attempt delivers to the core. The attempt ends with its
 * last event, after which the owner destroys it.
 */

static void attempt_deliver(struct endpoint_attempt *attempt,
			    const struct event *event)
{
	const struct event_sink *sink = attempt->owner->sink;

	if (!attempt->closed && !attempt->cancelled)
		sink->deliver(sink->data, event);
}

/* Delivers the last event and has the owner destroy the attempt. */
static void attempt_end(struct endpoint_attempt *attempt,
			const struct event *event)
{
	if (attempt->closed)
		return;
	attempt_deliver(attempt, event);
	if (!attempt->closed)
		attempt->owner->ended(attempt->owner->data, attempt->number);
}

/* Ends the attempt with EVENT_ATTEMPT_FAILED at the given stage. */
void endpoint_attempt_fail(struct endpoint_attempt *attempt,
			   enum attempt_stage stage, const struct error *error)
{
	struct event event = {.type = EVENT_ATTEMPT_FAILED};

	event.failed.attempt = attempt->number;
	event.failed.stage = stage;
	event.failed.error = *error;
	attempt_end(attempt, &event);
}

/*
 * Ends the attempt with EVENT_ATTEMPT_FAILED after the request was sent, so
 * that the endpoint may have run it.
 */
void endpoint_attempt_fail_sent(struct endpoint_attempt *attempt,
				enum error_code code, const char *text)
{
	struct error error;

	error_set(&error, code, "endpoint.read", attempt->endpoint, "%s", text);
	endpoint_attempt_fail(attempt, ATTEMPT_SENT, &error);
}

/*
 * Delivers EVENT_ATTEMPT_STARTED: the engine has accepted the request or
 * resumed its generation.
 */
void endpoint_attempt_deliver_started(struct endpoint_attempt *attempt)
{
	struct event event = {.type = EVENT_ATTEMPT_STARTED};

	event.started.attempt = attempt->number;
	event.started.generation = attempt->generation;
	attempt_deliver(attempt, &event);
}

/* Delivers EVENT_ATTEMPT_CHUNK with the event's data unchanged. */
void endpoint_attempt_deliver_chunk(struct endpoint_attempt *attempt,
				    const struct sse_event *sse,
				    const struct engine_event *engine)
{
	struct event event = {.type = EVENT_ATTEMPT_CHUNK};

	event.chunk.attempt = attempt->number;
	event.chunk.first_token = engine->first_token;
	event.chunk.token_count = engine->token_count;
	event.chunk.data = g_bytes_new(sse->data, sse->data_length);
	attempt_deliver(attempt, &event);
	g_bytes_unref(event.chunk.data);
}

/* Ends the attempt with EVENT_ATTEMPT_DONE once its stream is complete. */
void endpoint_attempt_deliver_done(struct endpoint_attempt *attempt)
{
	struct event event = {.type = EVENT_ATTEMPT_DONE};

	event.done.attempt = attempt->number;
	event.done.token_count = attempt->total_tokens;
	event.done.finish_reason =
		attempt->finish_reason ? attempt->finish_reason : "stop";
	attempt_end(attempt, &event);
}

/* Ends the attempt with EVENT_ATTEMPT_ANSWER, the complete answer. */
void endpoint_attempt_deliver_answer(struct endpoint_attempt *attempt)
{
	struct event event = {.type = EVENT_ATTEMPT_ANSWER};

	event.answer.attempt = attempt->number;
	event.answer.status = attempt->status;
	event.answer.content_type = attempt->content_type;
	event.answer.replayed = attempt->replayed;
	event.answer.body =
		g_bytes_new(attempt->body->data, attempt->body->len);
	attempt_end(attempt, &event);
	g_bytes_unref(event.answer.body);
}
