#ifndef CORE_LIMIT_END_WATCH_H
#define CORE_LIMIT_END_WATCH_H

#include "core/base/endpoint_start.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Watches endpoints that broke off runs until it is known whether they have
 * ended. The host opens the connections that are asked for, and tells what all
 * connections to endpoints show.
 */
struct end_watch;

/* A start of an endpoint that broke off a run. */
struct lost_endpoint {
	char *id;
	char *address;
	struct endpoint_start start; /* that ran the request */
	uint64_t start_key;
	int64_t lost_us;
	int64_t refused_us;  /* last refused connection; 0: none */
	int64_t accepted_us; /* last accepted connection; 0: none */
	bool is_broken;	     /* it broke off a run, not just closed after one */
	bool is_reset;	     /* the last refusal was a reset */
	bool is_replaced;    /* another one answers at its address */
	gpointer probe;	     /* of the host; NULL: not begun, or over */
	int64_t probed_us;
	int32_t probe_count;
};

struct end_watch_host {
	/*
	 * Opens a connection to the endpoint. Returns what end_watch destroys
	 * with destroy_probe, or NULL if there is nothing to be destroyed.
	 */
	gpointer (*probe)(void *data, struct lost_endpoint *lost);
	GDestroyNotify destroy_probe;

	/* Asks any endpoint that isn't lost; end_watch_note_heard follows. */
	void (*check_reach)(void *data);

	/* Whether another address has an endpoint that this node may hear. */
	bool (*has_other)(void *data, const struct lost_endpoint *lost);

	/* Whether the endpoint is registered as it was when it ran the request.
	 */
	bool (*is_registered)(void *data, const struct lost_endpoint *lost);

	/* It has ended, as the evidence shows; it isn't watched any longer. */
	void (*ended)(void *data, const struct lost_endpoint *lost,
		      const char *evidence);
	void *data;
};

/* What a connection to an endpoint tells of its starts that broke off runs. */
enum connection_sign {
	CONNECTION_ACCEPTED,
	CONNECTION_REFUSED,
	CONNECTION_RESET,   /* and no other connection to it is left */
	CONNECTION_REPLACED /* an answer from its address is not from it */
};

void lost_endpoint_note(struct lost_endpoint *lost, enum connection_sign sign,
			int64_t now_us);
bool lost_endpoint_may_live(const struct lost_endpoint *lost,
			    bool is_registered);

struct end_watch *end_watch_create(const struct end_watch_host *host);
void end_watch_destroy(struct end_watch *watch);

void end_watch_add(struct end_watch *watch, const char *id, const char *address,
		   const struct endpoint_start *start, bool is_broken,
		   int64_t now_us);
void end_watch_forget(struct end_watch *watch,
		      const struct endpoint_start *start, int64_t lost_us);
bool end_watch_note_connection(struct end_watch *watch, const char *id,
			       enum connection_sign sign, int64_t now_us);
void end_watch_note_heard(struct end_watch *watch, uint64_t endpoint_key,
			  int64_t now_us);
bool end_watch_has(const struct end_watch *watch, uint64_t endpoint_key);
bool end_watch_has_lived_on(const struct end_watch *watch,
			    const struct endpoint_start *start,
			    int64_t since_us);
size_t end_watch_count(const struct end_watch *watch);
void end_watch_step(struct end_watch *watch, int64_t now_us);
int64_t end_watch_next_due_us(const struct end_watch *watch);

G_END_DECLS

#endif
