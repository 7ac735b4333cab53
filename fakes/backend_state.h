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
 * What the parts of the stand-in for engines share. fake_backend.c: requests
 * and the switches. backend_run.c: runs, from their begin to their end.
 * backend_report.c: what the engine tells of itself.
 */
#define FIELD(name) "X-Siskinlink-" name

/* Exit status of a crash, so that it is told from an end that was asked for. */
#define CRASH_STATUS 3

struct backend {
	char *id;
	struct backend_journal *journal; /* NULL: none is kept */
	struct backend_copies *copies;
	struct backend_copy_sender *sender;
	GPtrArray *runs; /* struct backend_run, what is at work */

	int64_t events;		/* of a generation */
	int64_t pace_ms;	/* between two */
	int64_t crash_after;	/* events of a run, then the process ends */
	int64_t error_percent;	/* its own 500 for so many requests */
	int64_t crash_after_ms; /* where crashing, as after a wait in a queue */
	int64_t own_status;	/* answers by it after a run; 0: none */
	int64_t answer_delay_ms; /* before an answer or its first event */
	int64_t leave_ms;	 /* once: the process ends after it */
	int64_t leaves_at_us;	 /* 0: it stays */

	int64_t run_count;
	int64_t taken_over;
	int64_t left; /* callers that closed early */
	int64_t moves;
	char *tenant; /* of the last request */
	char *deadline;
	bool saw_key;

	int plain;
	bool full;		  /* runs nothing: 503 */
	bool failing;		  /* its own 500 */
	bool no_copy;		  /* has no memory to go on from */
	bool no_room;		  /* for a copy of another engine's run */
	bool unframed;		  /* answers without a length */
	bool crashing;		  /* each request resets its connection */
	bool crash_before_answer; /* once a plain request has run */
	bool shed_silently;	  /* 503 without the word that it did not run */
	bool mute;		  /* takes requests in and never answers */
	bool real_copies;	  /* else each copy asked for is there */
};

/* A request at work, plain or generating, until its answer is given away. */
struct backend_run {
	struct backend *backend;
	SoupServerMessage *message;
	char *id;
	char *path;
	char *backup;	/* where copies go; NULL: none is asked for */
	bool from_copy; /* another engine's run */
	bool answered;	/* whole */
	int64_t next;	/* event */
	int64_t made;	/* events of this engine */
	guint timer;
	guint copy_timer;
	GSource *close_watch; /* while nothing is sent; else NULL */
};

/* backend_run.c */
void backend_run_begin(struct backend *backend, SoupServerMessage *message,
		       const char *id, const char *path);
const struct backend_run *backend_run_find(const struct backend *backend,
					   const char *id);

/* backend_report.c */
void backend_report_answer(const struct backend *backend,
			   SoupServerMessage *message);
void backend_state_answer(const struct backend *backend,
			  SoupServerMessage *message);

G_END_DECLS

#endif
