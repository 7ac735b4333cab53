#ifndef FAKES_PLATFORM_STORE_STATE_H
#define FAKES_PLATFORM_STORE_STATE_H

#include "fakes/platform_store.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What the parts of the stand-in share. platform_store.c: keys, lists and
 * watches. platform_store_change.c: changes under a condition, leases.
 * platform_store_fault.c: the switches and what they do to calls.
 */

#define MODES 12

struct item {
	char *key;
	char *value; /* base64; NULL: deleted */
	int64_t revision;
	int64_t created;
	int64_t lease; /* 0: none */
	int64_t at_us; /* when it was written */
};

struct lease {
	struct platform_store *store;
	int64_t id;
	int64_t ttl_ms;
	guint timer;
};

/* A call that waits for changes. */
struct watch {
	struct platform_store *store;
	SoupServerMessage *message;
	char *prefix;
	int64_t after;
	guint timer;
};

struct platform_store {
	GPtrArray *changes; /* struct item, oldest first */
	GPtrArray *watches; /* struct watch */
	GHashTable *leases; /* id to struct lease */
	int64_t next_lease;
	int64_t revision;
	int64_t oldest; /* watches from before this get 410 */
	int64_t calls;
	int64_t last_wait_ms; /* of the last watch */
	bool down;	      /* 503 to all */
	bool silent;	      /* takes calls and answers none */
	bool forget;	      /* once: the history is dropped */
	bool lose;	      /* changes are made and not answered */
	bool hold;    /* once: a change is held back, and not answered */
	bool release; /* once: what is held back is made, if it still can be */
	GPtrArray *held;  /* JsonObject */
	bool pause;	  /* leases don't run out while it is down */
	bool lapse;	  /* once: all leases and entries are over */
	int64_t slow_ms;  /* each call is dealt with so much later */
	int64_t stale_ms; /* age of what reads that allow it are told */
	char *refused;	  /* addresses of callers, with commas; NULL: none */
	char *refusal;	  /* what they get, "503" if NULL */
	struct fake_mode modes[MODES];
	GPtrArray *calls_served; /* struct store_call */
	GPtrArray *late;	 /* struct late_call */
};

/* platform_store_change.c */
void platform_store_release(struct platform_store *store);
void platform_store_on_txn(void *data, SoupServerMessage *message,
			   const char *path);
void platform_store_lease_free(gpointer data);
void platform_store_on_lease(void *data, SoupServerMessage *message,
			     const char *path);
void platform_store_on_keep(void *data, SoupServerMessage *message,
			    const char *path);
void platform_store_on_lease_end(void *data, SoupServerMessage *message,
				 const char *path);

void platform_store_end_leases(struct platform_store *store);

/* platform_store_fault.c */
bool platform_store_fails(struct platform_store *store,
			  SoupServerMessage *message);
void platform_store_serve(struct platform_store *store,
			  struct fake_server *server, const char *path,
			  fake_server_handler run);
void platform_store_late_free(gpointer late);
void platform_store_add_switches(struct platform_store *store,
				 struct fake_server *server);
int64_t platform_store_view(const struct platform_store *store,
			    bool may_be_stale);

/* platform_store.c */
void platform_store_write(struct platform_store *store, const char *key,
			  char *value, int64_t lease);
void platform_store_cut_watches(struct platform_store *store, unsigned status);
void platform_store_add_item(JsonBuilder *builder, const struct item *item);
const struct item *platform_store_latest(const struct platform_store *store,
					 const char *key);
void platform_store_remove_all(struct platform_store *store,
			       const char *prefix);
JsonBuilder *platform_store_page_begin(const char *list);

G_END_DECLS

#endif
