#ifndef FAKES_BACKEND_COPY_H
#define FAKES_BACKEND_COPY_H

#include "fakes/fake_server.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Copies of other engines' runs, by name, received by POST /fake/copy:
 * {"name", "request", "events"}, or {"name", "ended": true} once the run has
 * ended; also the runs that this engine has stopped and keeps. A run can be
 * continued from a copy once; a copy that gets no more updates expires.
 */
struct backend_copies;

struct backend_copies *backend_copies_create(void);
void backend_copies_destroy(struct backend_copies *copies);
void backend_copies_receive(struct backend_copies *copies,
			    SoupServerMessage *message);
bool backend_copies_take(struct backend_copies *copies, const char *name,
			 const char *request, bool only_own);
void backend_copies_keep(struct backend_copies *copies, const char *name,
			 const char *request, int64_t events, bool is_own,
			 const char *target);
int64_t backend_copies_count(struct backend_copies *copies);

/* Called once for each copy sent; is_stored tells whether it was stored. */
typedef void (*backend_copy_done)(void *data, bool is_stored);

/* Sends copies of this engine's runs to other engines. */
struct backend_copy_sender;

struct backend_copy_sender *backend_copy_sender_create(void);
void backend_copy_sender_destroy(struct backend_copy_sender *sender);
void backend_copy_send(struct backend_copy_sender *sender, const char *target,
		       const char *name, const char *request, int64_t events,
		       backend_copy_done done, void *data);
bool backend_copy_target_is_full(const struct backend_copy_sender *sender,
				 const char *target);
void backend_copies_free(struct backend_copies *copies,
			 struct backend_copy_sender *sender, const char *name);
void backend_copy_send_end(struct backend_copy_sender *sender,
			   const char *target, const char *name);

G_END_DECLS

#endif
