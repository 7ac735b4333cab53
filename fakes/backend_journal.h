#ifndef FAKES_BACKEND_JOURNAL_H
#define FAKES_BACKEND_JOURNAL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A log of an engine's actions, from which tests determine which engine ran
 * which request. Each line, `time_us event request engine from_copy`, is
 * written to the file before the engine continues, so the journal of a killed
 * engine is complete. Times are from CLOCK_MONOTONIC. With the event run the
 * last field is the number of its first event; with the event rest it is the
 * rest in ms, and the refusal follows.
 */
struct backend_journal;

enum backend_event {
	BACKEND_ARRIVAL,    /* a request arrived, whatever its outcome */
	BACKEND_RUN,	    /* its run has started */
	BACKEND_CONTINUE,   /* it continues another engine's run */
	BACKEND_END,	    /* the run has ended, its answer is complete */
	BACKEND_DISCONNECT, /* the caller disconnected before the end */
	BACKEND_REFUSAL,    /* the engine refused to run it */
	BACKEND_REST,	    /* with the refusal it asked for rest */
	BACKEND_STOP	    /* stopped by a move, or by a reset of the engine */
};

struct backend_journal *backend_journal_create(const char *path,
					       const char *engine);
void backend_journal_destroy(struct backend_journal *journal);
void backend_journal_write(struct backend_journal *journal,
			   enum backend_event event, const char *request,
			   bool from_copy);
void backend_journal_write_run(struct backend_journal *journal,
			       const char *request, int64_t first_event);
void backend_journal_write_rest(struct backend_journal *journal,
				const char *request, int64_t rest_ms);

G_END_DECLS

#endif
