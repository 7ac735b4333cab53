#ifndef ADAPTERS_GATEWAY_STORE_FOLLOWER_H
#define ADAPTERS_GATEWAY_STORE_FOLLOWER_H

#include "adapters/gateway/store_page.h"
#include "adapters/log.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Keeps up with all keys below a prefix of the platform's store: reads them
 * once, then watches from the revision read, and reads again where the store
 * no longer knows what has changed since.
 */
/* How the store spells it; it translates and decides nothing. */
struct store_dialect {
	void (*write_list)(const char *address, const char *prefix,
			   const char *after, GString *out);
	void (*write_watch)(const char *address, const char *prefix,
			    int64_t after_revision, int64_t wait_ms,
			    GString *out);
	void (*write_probe)(const char *address, GString *out);
	bool (*read_list)(GBytes *body, struct store_page *page,
			  struct error *error);
	bool (*read_watch)(GBytes *body, struct store_page *page,
			   struct error *error);
};

struct store_follower_options {
	const char *address;
	const char *prefix;
	const struct store_dialect *dialect;
	struct log *log;
	uint64_t seed;
	int32_t patient_pause_ms; /* longest between two tries; 0: usual */
	int32_t silence_ms; /* an answer that began is given up; 0: usual */
};

struct store_follower_events {
	void (*listed)(void *data, const struct store_page *page);
	void (*changed)(void *data, const struct store_page *page);
	void (*reached)(void *data, bool is_reached); /* may be NULL */
	void *data;
	void (*answered)(void *data); /* a probe; may be NULL */
};

struct store_follower;

struct store_follower *
store_follower_create(const struct store_follower_options *options,
		      const struct store_follower_events *events);
void store_follower_destroy(struct store_follower *follower);
void store_follower_set_active(struct store_follower *follower, bool active);
void store_follower_set_patient(struct store_follower *follower, bool patient);
void store_follower_watch_closely(struct store_follower *follower,
				  bool closely);
void store_follower_poke(struct store_follower *follower);
bool store_follower_is_receiving(const struct store_follower *follower);
int32_t store_follower_failures(const struct store_follower *follower);
bool store_follower_is_reached(const struct store_follower *follower);

G_END_DECLS

#endif
