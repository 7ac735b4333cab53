#ifndef CORE_GATEWAY_RUN_STOP_H
#define CORE_GATEWAY_RUN_STOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides when a run may continue at another engine: once its own engine is
 * known to have stopped it, or can't be reached. A closed connection proves
 * nothing, as an engine may notice it late or not at all. The caller asks the
 * engine to stop the run, reports what the engine answers and how its stream
 * ends, and calls run_stop_step a few dozen times a second.
 */

/* What is known of a run at the engine that it is to leave. */
enum run_stop_state {
	RUN_STOP_NONE,	   /* it runs there */
	RUN_STOP_ASKED,	   /* the engine was asked to stop it */
	RUN_STOP_CLOSING,  /* only its connection was closed, for sending */
	RUN_STOP_DONE,	   /* it has stopped */
	RUN_STOP_UNREACHED /* the engine does not answer */
};

/* Why the run is to leave its engine. */
enum run_stop_cause {
	RUN_STOP_LEAVING, /* the engine leaves, and works on */
	RUN_STOP_SILENCE, /* no event arrived for a while */
	RUN_STOP_BREAK	  /* its stream broke off, or was not valid */
};

enum run_stop_event {
	RUN_STOP_STREAM_ENDED, /* the engine closed its stream before the end */
	RUN_STOP_STREAM_CLOSED, /* the same, or it has sent all of it */
	RUN_STOP_STREAM_LOST,	/* the connection of its stream failed */
	RUN_STOP_ACCEPTED,	/* the engine has stopped the run */
	RUN_STOP_NO_RUN,	/* the engine has no such run */
	RUN_STOP_REFUSED,	/* the engine works on */
	RUN_STOP_IN_PROGRESS,	/* the same, or it works on another call */
	RUN_STOP_NO_ENGINE,	/* no process accepts connections there */
	RUN_STOP_NOT_ASKED,	/* the call was not sent */
	RUN_STOP_NO_ANSWER	/* the call failed, and may have been done */
};

enum run_stop_action {
	RUN_STOP_WAIT,
	RUN_STOP_ASK,	 /* ask the engine to stop the run, maybe again */
	RUN_STOP_CLOSE,	 /* close the stream's connection for sending */
	RUN_STOP_GO_ON,	 /* the run may continue elsewhere */
	RUN_STOP_STAY,	 /* the run goes on at its engine */
	RUN_STOP_GIVE_UP /* its stream is lost and the engine works on */
};

/* The stop of one run, from the request to it until it is known. */
struct run_stop {
	enum run_stop_state state;
	enum run_stop_cause cause;
	bool is_open;	       /* the stream of its engine */
	bool is_closed;	       /* by its engine, which works on it no more */
	bool has_ended;	       /* too late to be known for a stop */
	int64_t closed_us;     /* 0: not yet noted */
	bool can_ask;	       /* the engine takes calls to stop a run */
	bool was_accepted;     /* the engine says that it has stopped the run */
	bool was_refused;      /* the engine says that it works on */
	bool is_unanswered;    /* the newest call failed, or changed nothing */
	bool was_heard;	       /* the engine has answered or sent an event */
	bool is_reached;       /* it accepts connections, or uses another one */
	int32_t calls_ignored; /* accepted, and not answered in time */
	bool waits_anew;       /* the patience begins again */
	int64_t begun_us;      /* of the patience */
	int64_t asked_us;      /* the newest call */
	int64_t stepped_us;    /* the newest step */
};

enum run_stop_action run_stop_begin(struct run_stop *stop,
				    enum run_stop_cause cause, bool is_open,
				    bool can_ask, int64_t now_us);
enum run_stop_action run_stop_accept(struct run_stop *stop, bool is_open,
				     int64_t now_us);
enum run_stop_action run_stop_apply(struct run_stop *stop,
				    enum run_stop_event event);
void run_stop_note_event(struct run_stop *stop);
void run_stop_note_reached(struct run_stop *stop);
enum run_stop_action run_stop_step(struct run_stop *stop, int64_t now_us);
bool run_stop_is_pending(const struct run_stop *stop);
const char *run_stop_state_name(enum run_stop_state state);
const char *run_stop_cause_name(enum run_stop_cause cause);
const char *run_stop_event_name(enum run_stop_event event);

G_END_DECLS

#endif
