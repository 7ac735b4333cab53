#include "core/gateway/run_stop.h"

#define MS_US 1000

/*
 * A sound engine may be silent for a second, and a connection takes a second
 * longer if its first packet is lost.
 */
#define PATIENCE_US (1200 * MS_US)

/* Calls that an engine accepts and does not answer before a run is given up. */
#define MAX_IGNORED_CALLS 3

/*
 * Time for the answer to a call once the stream has been closed: it tells a run
 * that was stopped from one that has ended. A copy behind others takes longer.
 */
#define CLOSED_PATIENCE_US (150 * MS_US)

/*
 * An engine closes the stream as it stops the run. A close this long after the
 * call, which allows for a lost packet, may have another cause.
 */
#define CLOSE_DELAY_US (250 * MS_US)

/* Delay between two calls for a run, after one that did not stop it. */
#define ASK_AGAIN_US (150 * MS_US)

static const char *const state_names[] = {
	[RUN_STOP_NONE] = "runs",	    [RUN_STOP_ASKED] = "asked",
	[RUN_STOP_CLOSING] = "closing",	    [RUN_STOP_DONE] = "stopped",
	[RUN_STOP_UNREACHED] = "unreached",
};

static const char *const cause_names[] = {
	[RUN_STOP_LEAVING] = "leaving",
	[RUN_STOP_SILENCE] = "silence",
	[RUN_STOP_BREAK] = "break",
};

static const char *const event_names[] = {
	[RUN_STOP_STREAM_ENDED] = "stream_ended",
	[RUN_STOP_STREAM_CLOSED] = "stream_closed",
	[RUN_STOP_STREAM_LOST] = "stream_lost",
	[RUN_STOP_ACCEPTED] = "accepted",
	[RUN_STOP_NO_RUN] = "no_run",
	[RUN_STOP_REFUSED] = "refused",
	[RUN_STOP_IN_PROGRESS] = "in_progress",
	[RUN_STOP_NO_ENGINE] = "no_engine",
	[RUN_STOP_NOT_ASKED] = "not_asked",
	[RUN_STOP_NO_ANSWER] = "no_answer",
};

static enum run_stop_action set_state(struct run_stop *stop,
				      enum run_stop_state state,
				      enum run_stop_action action)
{
	stop->state = state;
	return action;
}

static enum run_stop_action go_on(struct run_stop *stop)
{
	return set_state(stop, RUN_STOP_DONE, RUN_STOP_GO_ON);
}

static enum run_stop_action stay(struct run_stop *stop)
{
	return set_state(stop, RUN_STOP_NONE, RUN_STOP_STAY);
}

/*
 * Begins to stop a run. is_open: its stream can still be read; can_ask: its
 * engine takes calls to stop a run. Without them, only the end of the stream
 * tells that the run has stopped. Returns the first action.
 */
enum run_stop_action run_stop_begin(struct run_stop *stop,
				    enum run_stop_cause cause, bool is_open,
				    bool can_ask, int64_t now_us)
{
	*stop = (struct run_stop){
		.state = RUN_STOP_ASKED,
		.cause = cause,
		.is_open = is_open,
		.can_ask = can_ask,
		.begun_us = now_us,
		.asked_us = now_us,
	};
	if (can_ask)
		return RUN_STOP_ASK;
	if (!is_open)
		return go_on(stop);
	return set_state(stop, RUN_STOP_CLOSING, RUN_STOP_CLOSE);
}

/*
 * Begins with a run that its engine has stopped, at a call that counted as
 * given up. is_open: its stream can still be read. Returns the first action.
 */
enum run_stop_action run_stop_accept(struct run_stop *stop, bool is_open,
				     int64_t now_us)
{
	*stop = (struct run_stop){
		.state = RUN_STOP_ASKED,
		.cause = RUN_STOP_LEAVING,
		.is_open = is_open,
		.can_ask = true,
		.was_accepted = true,
		.begun_us = now_us,
		.asked_us = now_us,
	};
	return is_open ? RUN_STOP_WAIT : go_on(stop);
}

/*
 * The engine does not stop the run at the call. One that still sends keeps the
 * run; a silent one is left to its connection.
 */
static enum run_stop_action apply_not_stopped(struct run_stop *stop)
{
	stop->is_unanswered = true;
	if (stop->is_closed)
		return go_on(stop);
	if (!stop->is_open)
		return RUN_STOP_WAIT;
	if (stop->cause == RUN_STOP_SILENCE)
		return set_state(stop, RUN_STOP_CLOSING, RUN_STOP_CLOSE);
	return stay(stop);
}

/*
 * A failed connection is no word of the engine, which may have refused to stop
 * the run: it is asked again. Without calls, nothing else can tell.
 */
static enum run_stop_action apply_lost(struct run_stop *stop)
{
	stop->is_open = false;
	stop->waits_anew = stop->was_heard;
	if (stop->was_accepted || !stop->can_ask)
		return go_on(stop);
	stop->is_unanswered |= stop->state == RUN_STOP_CLOSING;
	return set_state(stop, RUN_STOP_ASKED, RUN_STOP_WAIT);
}

/*
 * The stream has ended without its last event. Long after the call, a stop of
 * the run can't be told from a connection that was lost while the engine works
 * on: it is asked again, and an engine that has stopped the run says so at
 * once, while the answer to the first call waits for the copy.
 */
static enum run_stop_action apply_ended(struct run_stop *stop)
{
	if (stop->state != RUN_STOP_ASKED || stop->was_accepted ||
	    stop->stepped_us - stop->asked_us <= CLOSE_DELAY_US)
		return go_on(stop);
	stop->is_open = false;
	stop->has_ended = true;
	stop->is_unanswered = false;
	stop->waits_anew = true;
	return RUN_STOP_ASK;
}

/* Applies what the engine or its stream told, and returns the next action. */
enum run_stop_action run_stop_apply(struct run_stop *stop,
				    enum run_stop_event event)
{
	if (!run_stop_is_pending(stop))
		return RUN_STOP_WAIT;
	stop->was_heard |= event != RUN_STOP_STREAM_LOST &&
			   event != RUN_STOP_NOT_ASKED &&
			   event != RUN_STOP_NO_ANSWER;
	switch (event) {
	case RUN_STOP_STREAM_ENDED:
		return apply_ended(stop);
	case RUN_STOP_STREAM_CLOSED:
		stop->is_closed = true;
		return apply_lost(stop);
	case RUN_STOP_ACCEPTED:
		/* The last events may still be on their way. */
		stop->was_accepted = true;
		return stop->is_open ? RUN_STOP_WAIT : go_on(stop);
	case RUN_STOP_STREAM_LOST:
		return apply_lost(stop);
	case RUN_STOP_NO_RUN:
	case RUN_STOP_NO_ENGINE:
		return stop->is_open ? apply_not_stopped(stop) : go_on(stop);
	case RUN_STOP_IN_PROGRESS:
		/* The call before, which stops the run first. */
		if (stop->has_ended)
			return go_on(stop);
		G_GNUC_FALLTHROUGH;
	case RUN_STOP_REFUSED:
		stop->was_refused = true;
		return apply_not_stopped(stop);
	case RUN_STOP_NOT_ASKED:
	case RUN_STOP_NO_ANSWER:
		stop->is_unanswered = true;
		return stop->is_closed ? go_on(stop) : RUN_STOP_WAIT;
	}
	return RUN_STOP_WAIT;
}

/* Notes that an event of the run has arrived from its engine. */
void run_stop_note_event(struct run_stop *stop)
{
	stop->was_heard = true;
}

/*
 * Notes that the engine has accepted the connection of the call, even if it
 * then reset it, or has sent something to another request meanwhile.
 */
void run_stop_note_reached(struct run_stop *stop)
{
	stop->is_reached = true;
}

/* The stream was closed, and no call has told why for a moment. */
static bool is_closed_for_long(struct run_stop *stop, int64_t now_us)
{
	if (!stop->is_closed)
		return false;
	if (!stop->closed_us)
		stop->closed_us = now_us;
	return now_us - stop->closed_us >= CLOSED_PATIENCE_US;
}

static bool is_out_of_patience(const struct run_stop *stop, int64_t now_us)
{
	return now_us - stop->begun_us > PATIENCE_US;
}

/* Asks an engine once more that has accepted the call and not answered it. */
static enum run_stop_action ask_again(struct run_stop *stop, int64_t now_us)
{
	if (++stop->calls_ignored >= MAX_IGNORED_CALLS)
		return set_state(stop, RUN_STOP_NONE, RUN_STOP_GIVE_UP);
	stop->is_unanswered = false;
	stop->is_reached = false;
	stop->begun_us = now_us;
	stop->asked_us = now_us;
	return RUN_STOP_ASK;
}

/*
 * The time is over and nothing tells that the run has stopped. An engine that
 * accepts connections may work on, whatever it answers; only one that does not
 * is out of reach.
 */
static enum run_stop_action run_stop_expire(struct run_stop *stop,
					    int64_t now_us)
{
	bool is_reached = stop->was_heard || stop->is_reached ||
			  stop->state == RUN_STOP_CLOSING;

	if (stop->was_accepted)
		return go_on(stop);
	if (stop->is_open && (is_reached || stop->cause == RUN_STOP_LEAVING))
		return stay(stop);
	if (stop->was_refused)
		return set_state(stop, RUN_STOP_NONE, RUN_STOP_GIVE_UP);
	if (!stop->is_reached)
		return set_state(stop, RUN_STOP_UNREACHED, RUN_STOP_GO_ON);
	if (!stop->is_unanswered && now_us - stop->asked_us <= PATIENCE_US)
		return RUN_STOP_WAIT;
	return ask_again(stop, now_us);
}

/* Returns the next action of a stop that is under way, as time passes. */
enum run_stop_action run_stop_step(struct run_stop *stop, int64_t now_us)
{
	if (!run_stop_is_pending(stop))
		return RUN_STOP_WAIT;
	/* An engine heard before its stream was lost was in reach until then.
	 */
	if (stop->waits_anew)
		stop->begun_us = now_us;
	stop->waits_anew = false;
	stop->stepped_us = now_us;
	if (is_closed_for_long(stop, now_us))
		return go_on(stop);
	if (is_out_of_patience(stop, now_us))
		return run_stop_expire(stop, now_us);
	if (stop->state != RUN_STOP_ASKED || !stop->is_unanswered ||
	    now_us - stop->asked_us < ASK_AGAIN_US)
		return RUN_STOP_WAIT;
	stop->is_unanswered = false;
	stop->asked_us = now_us;
	return RUN_STOP_ASK;
}

/* Whether the run was asked to stop and it is not known what became of it. */
bool run_stop_is_pending(const struct run_stop *stop)
{
	return stop->state == RUN_STOP_ASKED || stop->state == RUN_STOP_CLOSING;
}

/* Returns the name of a state, a static string for logs. */
const char *run_stop_state_name(enum run_stop_state state)
{
	return state_names[state];
}

/* Returns the name of a cause, a static string for logs. */
const char *run_stop_cause_name(enum run_stop_cause cause)
{
	return cause_names[cause];
}

/* Returns the name of an event, a static string for logs. */
const char *run_stop_event_name(enum run_stop_event event)
{
	return event_names[event];
}
