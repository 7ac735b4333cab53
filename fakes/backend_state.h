#ifndef FAKES_BACKEND_STATE_H
#define FAKES_BACKEND_STATE_H

#include "fakes/backend_copy.h"
#include "fakes/backend_journal.h"
#include "fakes/fake_server.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State shared by the parts of the fake backend. fake_backend.c: requests and
 * the modes. backend_run.c: runs, from start to end. backend_move.c: copies of
 * runs to other engines. backend_report.c: the load report and the state for
 * tests.
 */

#define HEADER(name) "X-Siskinlink-" name

/* Exit status of a crash, which distinguishes it from a requested exit. */
#define CRASH_EXIT_STATUS 3

struct backend {
	char *id;
	struct backend_journal *journal; /* NULL: no journal */
	struct backend_copies *copies;
	struct backend_copy_sender *sender;
	GPtrArray *runs; /* struct backend_run, active runs */

	int64_t events;		    /* per generation */
	int64_t pace_ms;	    /* between two events */
	int64_t slowdown_percent;   /* of work, stated in answers; 0: not */
	int64_t bends_at;	    /* runs above which work slows; 0: never */
	int64_t crash_after_events; /* of a run; 0: never */
	int64_t error_percent;	    /* of requests answered 500 */
	int64_t crash_after_ms;	    /* delay of the reset if crashing */
	int64_t own_status;	    /* answers with it after a run; 0: none */
	int64_t answer_delay_ms;    /* before an answer or its first event */
	int64_t leave_ms;	    /* until the exit; the first value counts */
	int64_t leave_at_us;	    /* 0: not leaving */
	int64_t min_pace_ms;	    /* raises a shorter pace_ms; 0: no */
	int64_t close_notice_ms;    /* from a close; 0: see watches_close */
	int64_t stop_delay_ms;	    /* until a move that is the last stops */
	int64_t stop_answer_ms;	    /* from that until its answer */

	int64_t run_count;
	int64_t takeover_count;	  /* runs continued from a copy */
	int64_t disconnect_count; /* callers that disconnected early */
	int64_t move_count;
	char *tenant; /* of the last request */
	char *deadline;
	char *server_limit; /* stated in answers; NULL or "": none */
	char *leaving_text; /* value of Server-Leaving; NULL: "1" */
	char *stop_answer;  /* see fake_backend.c; NULL or "": the usual */
	char *rest_s; /* turns requests away, Retry-After; NULL or "": no */
	bool saw_key;

	int plain;
	bool full;		  /* runs nothing: 503, Not-Executed */
	bool failing;		  /* answers 500 */
	bool no_copy;		  /* has no copies and accepts none */
	bool no_room;		  /* refuses moves and copies: 503 */
	bool unframed;		  /* streams without chunks, up to the close */
	bool crashing;		  /* resets the connection of each request */
	bool crash_before_answer; /* after the run, if it is a plain one */
	bool shed_silently;	  /* runs nothing: 503, no Not-Executed */
	bool says_leaving;	  /* Server-Leaving in answers to requests */
	bool draining;		  /* only the status check tells of it */
	bool mute;		  /* accepts requests and never answers */
	bool real_copies;	  /* false: each requested copy exists */
	bool watches_close;	  /* ends a closed run without a write */
	bool stop_refused;	  /* 503 to a move that is the last */
	bool stop_crashes;	  /* a move that is the last ends it */
};

/*
 * A running request, plain or generating, until its message is finished, or
 * until its end if it goes on without its caller.
 */
struct backend_run {
	struct backend *backend;
	SoupServerMessage *message;
	char *id;
	char *path;
	int64_t pace_ms;      /* of its timer */
	char *backup_address; /* NULL: no backup copies */
	bool from_copy;	      /* continues another engine's run */
	bool has_poison_part; /* crashes the engine when it begins */
	bool answered;	      /* the answer is complete */
	bool is_waiting;      /* for answer_delay_ms */
	bool is_detached;     /* its message is finished */
	bool is_unframed;     /* its stream ends by the close */
	int64_t next_event;   /* number of the next event */
	int64_t events_sent;  /* by this engine */
	guint timer;
	guint copy_timer;
	guint close_timer;
	GSource *close_watch; /* NULL: no watch, or it has fired */
};

/* backend_run.c */
int64_t backend_slowdown_percent(const struct backend *backend);
int64_t backend_first_event(SoupServerMessage *message);
void backend_run_begin(struct backend *backend, SoupServerMessage *message,
		       const char *id, const char *path);
struct backend_run *backend_run_find(const struct backend *backend,
				     const char *id);
void backend_run_stop(struct backend_run *run);

/* backend_move.c */
void backend_move_answer(struct backend *backend, SoupServerMessage *message);

/* backend_report.c */
void backend_report_answer(const struct backend *backend,
			   SoupServerMessage *message);
void backend_state_answer(const struct backend *backend,
			  SoupServerMessage *message);

G_END_DECLS

#endif
