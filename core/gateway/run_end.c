#include "core/gateway/run_end.h"

/* An event that was sent before an answer arrives this much later at most. */
#define REORDER_US (500 * 1000)

static const char *const verdict_names[] = {
	[RUN_END_WHOLE] = "whole",
	[RUN_END_NO_RUN] = "no_run",
	[RUN_END_STOPPED] = "stopped",
	[RUN_END_UNKNOWN] = "unknown",
};

static const char *const call_end_names[] = {
	[STOP_CALL_NOT_SENT] = "not_sent", [STOP_CALL_LOST] = "lost",
	[STOP_CALL_ACCEPTED] = "accepted", [STOP_CALL_NO_RUN] = "no_run",
	[STOP_CALL_REFUSED] = "refused",
};

/*
 * Notes that the engine continues the run after it has stopped it. Calls that
 * have no answer may stop it again.
 */
void run_end_note_run(struct run_end *end)
{
	*end = (struct run_end){
		.calls_open = end->calls_open,
		.calls_lost = end->calls_lost,
	};
}

/* Notes that a call to stop the run is about to be sent. */
void run_end_note_call(struct run_end *end)
{
	end->calls_open++;
}

/* Notes what became of a call that was noted before. */
void run_end_note_call_end(struct run_end *end, enum stop_call_end call_end,
			   int64_t now_us)
{
	end->calls_open--;
	switch (call_end) {
	case STOP_CALL_NOT_SENT:
		break;
	case STOP_CALL_LOST:
		end->calls_lost++;
		break;
	case STOP_CALL_ACCEPTED:
		end->was_accepted = true;
		break;
	case STOP_CALL_NO_RUN:
		end->had_no_run = true;
		break;
	case STOP_CALL_REFUSED:
		end->refused_us = now_us;
		break;
	}
}

/*
 * Notes that the run's connection was closed for sending: an engine that
 * notices ends the run and closes its own side.
 */
void run_end_note_half_close(struct run_end *end)
{
	end->is_half_closed = true;
}

/* Notes that an event of the run has arrived. */
void run_end_note_event(struct run_end *end, int64_t now_us)
{
	end->event_us = now_us;
}

/* Notes how many events the engine says it has made. */
void run_end_note_created(struct run_end *end, int64_t created)
{
	end->created = MAX(end->created, created);
}

/*
 * Whether a call that was answered, but not with success, may have stopped the
 * run: no event tells that it went on.
 */
static bool is_refusal_in_doubt(const struct run_end *end)
{
	return end->refused_us > 0 &&
	       end->event_us - end->refused_us < REORDER_US;
}

/* Whether this node has stopped the run, or may have. */
bool run_end_may_be_stopped(const struct run_end *end)
{
	return end->was_accepted || end->calls_open > 0 ||
	       end->calls_lost > 0 || end->is_half_closed ||
	       is_refusal_in_doubt(end);
}

/*
 * Returns how a run has ended of which received events have arrived. That there
 * is no run any more tells nothing if another call may have stopped it.
 */
enum run_end_verdict run_end_decide(const struct run_end *end, int64_t received)
{
	if (end->was_accepted || end->created > received)
		return RUN_END_STOPPED;
	if (run_end_may_be_stopped(end))
		return RUN_END_UNKNOWN;
	return end->had_no_run ? RUN_END_NO_RUN : RUN_END_WHOLE;
}

/* Returns the name of a verdict, a static string for logs. */
const char *run_end_verdict_name(enum run_end_verdict verdict)
{
	return verdict_names[verdict];
}

/* Returns the name of what became of a call, a static string for logs. */
const char *stop_call_end_name(enum stop_call_end call_end)
{
	return call_end_names[call_end];
}
