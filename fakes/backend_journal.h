#ifndef FAKES_BACKEND_JOURNAL_H
#define FAKES_BACKEND_JOURNAL_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * What an engine did, for whoever judges afterwards what ran where. A line
 * each, `time_us event request engine from_copy`, in the file before the engine
 * goes on: a killed engine leaves all of it. Times are CLOCK_MONOTONIC's.
 */
struct backend_journal;

enum backend_event {
	BACKEND_ARRIVAL, /* a request, whatever becomes of it */
	BACKEND_RUN,	 /* it is begun */
	BACKEND_GO_ON,	 /* another engine's run is gone on with */
	BACKEND_END,	 /* the run is over, its answer given away whole */
	BACKEND_LEFT,	 /* the caller closed before that */
	BACKEND_REFUSAL	 /* it isn't run here */
};

struct backend_journal *backend_journal_create(const char *path,
					       const char *engine);
void backend_journal_destroy(struct backend_journal *journal);
void backend_journal_write(struct backend_journal *journal,
			   enum backend_event event, const char *request,
			   bool from_copy);

G_END_DECLS

#endif
