#ifndef CORE_GATEWAY_RUN_END_H
#define CORE_GATEWAY_RUN_END_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides whether an answer that ended by the close of its connection is whole.
 * A run that its engine was asked to stop ends in the same way. It is told each
 * call to stop the run, and what becomes of the call.
 */

enum run_end_verdict {
	RUN_END_WHOLE,	 /* no call can have stopped the run */
	RUN_END_NO_RUN,	 /* all calls were told that there is no such run */
	RUN_END_STOPPED, /* there are more events than have arrived */
	RUN_END_UNKNOWN
};

/* What became of one call. */
enum stop_call_end {
	STOP_CALL_NOT_SENT, /* no byte of it has reached the engine */
	STOP_CALL_LOST,	    /* it has no answer, and may be handled yet */
	STOP_CALL_ACCEPTED, /* the engine has stopped the run */
	STOP_CALL_NO_RUN,   /* the engine had no such run */
	STOP_CALL_REFUSED   /* any other answer */
};

/* What is known of the calls to stop one run at one engine. */
struct run_end {
	int32_t calls_open; /* sent, or about to be, without an end so far */
	int32_t calls_lost;
	bool was_accepted;
	bool had_no_run;
	bool is_half_closed; /* no call: its connection, by this node */
	int64_t refused_us;  /* newest refusal; 0: none */
	int64_t event_us;    /* newest event; 0: none */
	int64_t created;     /* events that the engine says it has made */
};

void run_end_note_run(struct run_end *end);
void run_end_note_call(struct run_end *end);
void run_end_note_call_end(struct run_end *end, enum stop_call_end call_end,
			   int64_t now_us);
void run_end_note_half_close(struct run_end *end);
void run_end_note_event(struct run_end *end, int64_t now_us);
void run_end_note_created(struct run_end *end, int64_t created);
bool run_end_may_be_stopped(const struct run_end *end);
enum run_end_verdict run_end_decide(const struct run_end *end,
				    int64_t received);
const char *run_end_verdict_name(enum run_end_verdict verdict);
const char *stop_call_end_name(enum stop_call_end call_end);

G_END_DECLS

#endif
