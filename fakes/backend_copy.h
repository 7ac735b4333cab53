#ifndef FAKES_BACKEND_COPY_H
#define FAKES_BACKEND_COPY_H

#include "fakes/fake_server.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Copies of other engines' runs, by name, as they arrive by POST /fake/copy:
 * {"name", "request", "events"}, or {"name", "ended": true} once the run has
 * ended. A copy can be gone on from once; one that is no longer brought up to
 * date is dropped after a time.
 */
struct backend_copies;

struct backend_copies *backend_copies_create(void);
void backend_copies_destroy(struct backend_copies *copies);
void backend_copies_receive(struct backend_copies *copies,
			    SoupServerMessage *message);
bool backend_copies_use(struct backend_copies *copies, const char *name,
			const char *request);
int64_t backend_copies_count(struct backend_copies *copies);

/* The other end; done is called once, with whether the copy is there. */
typedef void (*backend_copy_done)(void *data, bool is_there);

struct backend_copy_sender;

struct backend_copy_sender *backend_copy_sender_create(void);
void backend_copy_sender_destroy(struct backend_copy_sender *sender);
void backend_copy_send(struct backend_copy_sender *sender, const char *target,
		       const char *name, const char *request, int64_t events,
		       backend_copy_done done, void *data);
void backend_copy_send_end(struct backend_copy_sender *sender,
			   const char *target, const char *name);

G_END_DECLS

#endif
