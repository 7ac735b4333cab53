#ifndef FAKES_PLATFORM_STORE_STATE_H
#define FAKES_PLATFORM_STORE_STATE_H

#include "fakes/platform_store.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State and functions that the files of the fake store share.
 * platform_store.c: keys, listings and watches. platform_store_change.c:
 * transactions and leases. platform_store_fault.c: the switches and the faults
 * that they inject into calls.
 */

#define MODE_COUNT 16

/* One write or deletion of a key. */
struct item {
	char *key;
	char *value; /* base64; NULL: deleted */
	int64_t revision;
	int64_t created_revision; /* the revision that created the key */
	int64_t lease_id;	  /* 0: none */
	int64_t written_us;	  /* monotonic time of the write */
};

struct lease {
	struct platform_store *store;
	int64_t id;
	int64_t ttl_ms;
	guint timer;
};

/* A call that waits for changes below a prefix. */
struct watch {
	struct platform_store *store;
	SoupServerMessage *message;
	char *prefix;
	int64_t after_revision; /* later changes are sent */
	guint timer;
};

/* Quoted words are the names of the switches in POST /fake/mode. */
struct platform_store {
	GPtrArray *changes; /* struct item, oldest first */
	GPtrArray *watches; /* struct watch */
	GHashTable *leases; /* id to struct lease */
	int64_t next_lease;
	int64_t revision;
	int64_t oldest_revision; /* watches from older ones get 410 */
	int64_t call_count;
	int64_t last_wait_ms;	 /* that the last watch asked for */
	bool down;		 /* all calls get 503 */
	bool silent;		 /* calls are accepted and never answered */
	bool cuts_watches;	 /* "cut_watches": resets those that wait */
	bool drop_history;	 /* "forget", once: old changes are dropped */
	bool lose_answers;	 /* "lose": applies changes without an answer */
	bool hold_next;		 /* "hold", once: holds the next change */
	bool apply_held;	 /* "release", once: applies held changes */
	GPtrArray *held_changes; /* JsonObject */
	bool pause_leases; /* "pause": leases do not expire while it is down */
	bool expire_all;   /* "lapse", once: ends leases, engines' entries */
	int64_t slow_ms;   /* each call is handled after this delay */
	int64_t stale_ms;  /* minimum age of what allow_stale reads see */
	int64_t era;	   /* named in all answers; 0: not named */
	bool copy;	   /* once: the state is kept as a copy */
	bool restore;	   /* once: the state goes back to the copy */
	int64_t copy_revision;
	int64_t copy_last_lease;
	char *refused_addresses; /* "refused": comma-separated, or NULL */
	char *refusal;		 /* how they are refused; NULL: 503 */
	struct fake_mode modes[MODE_COUNT];
	GPtrArray *call_handlers; /* struct call_handler */
	GPtrArray *delayed_calls; /* struct delayed_call */
};

/* platform_store_change.c */
void platform_store_apply_held(struct platform_store *store);
void platform_store_on_txn(void *data, SoupServerMessage *message,
			   const char *path);
void platform_store_lease_free(gpointer data);
void platform_store_on_lease_grant(void *data, SoupServerMessage *message,
				   const char *path);
void platform_store_on_lease_renew(void *data, SoupServerMessage *message,
				   const char *path);
void platform_store_on_lease_end(void *data, SoupServerMessage *message,
				 const char *path);

void platform_store_expire_leases(struct platform_store *store);
void platform_store_drop_leases(struct platform_store *store, int64_t last_id);

/* platform_store_fault.c */
bool platform_store_inject_fault(struct platform_store *store,
				 SoupServerMessage *message);
void platform_store_add_handler(struct platform_store *store,
				struct fake_server *server, const char *path,
				fake_server_handler run);
void platform_store_delayed_free(gpointer data);
void platform_store_add_modes(struct platform_store *store,
			      struct fake_server *server);
int64_t platform_store_read_revision(const struct platform_store *store,
				     bool may_be_stale);

/* platform_store.c */
void platform_store_restore(struct platform_store *store);
void platform_store_name_era(const struct platform_store *store,
			     SoupServerMessage *message);
void platform_store_write(struct platform_store *store, const char *key,
			  char *value, int64_t lease_id);
void platform_store_cut_watches(struct platform_store *store);
void platform_store_abort_watches(struct platform_store *store,
				  unsigned status);
void platform_store_add_item(JsonBuilder *builder, const struct item *item);
const struct item *platform_store_latest(const struct platform_store *store,
					 const char *key);
void platform_store_delete_prefix(struct platform_store *store,
				  const char *prefix);
JsonBuilder *platform_store_page_begin(const char *list);

G_END_DECLS

#endif
