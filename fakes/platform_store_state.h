#ifndef FAKES_PLATFORM_STORE_STATE_H
#define FAKES_PLATFORM_STORE_STATE_H

#include "fakes/platform_store.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What the parts of the stand-in share. platform_store.c: keys, lists, watches
 * and the switches. platform_store_change.c: changes under a condition, leases.
 */

#define MODES 6

struct item {
	char *key;
	char *value; /* base64; NULL: deleted */
	int64_t revision;
	int64_t created;
	int64_t lease; /* 0: none */
};

struct lease {
	struct platform_store *store;
	int64_t id;
	int64_t ttl_ms;
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
	GPtrArray *held; /* JsonObject */
	struct fake_mode modes[MODES];
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

/* platform_store.c */
void platform_store_write(struct platform_store *store, const char *key,
			  char *value, int64_t lease);
bool platform_store_fails(struct platform_store *store,
			  SoupServerMessage *message);
void platform_store_add_item(JsonBuilder *builder, const struct item *item);
const struct item *platform_store_latest(const struct platform_store *store,
					 const char *key);
JsonBuilder *platform_store_page_begin(const char *list);

G_END_DECLS

#endif
