#ifndef ADAPTERS_GATEWAY_STORE_FOLLOWER_H
#define ADAPTERS_GATEWAY_STORE_FOLLOWER_H

#include "adapters/gateway/http_head.h"
#include "adapters/gateway/store_page.h"
#include "adapters/log.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Follows all keys below a prefix of the platform's store: lists them once,
 * then watches from the listed position, and lists them again if the store no
 * longer has the changes since then, or came back from a copy.
 */

/* Encodes and decodes the calls of a follower in the store's protocol. */
struct store_dialect {
	void (*write_list)(const char *address, const char *prefix,
			   const char *after, GString *out);
	void (*write_watch)(const char *address, const char *prefix,
			    int64_t after_position, int64_t wait_ms,
			    GString *out);
	void (*write_probe)(const char *address, GString *out);
	/* The era that an answer names, STORE_ERA_NONE or STORE_ERA_INVALID. */
	int64_t (*read_era)(const struct http_head *head);
	bool (*read_list)(GBytes *body, int64_t era, struct store_page *page,
			  struct error *error);
	bool (*read_watch)(GBytes *body, int64_t era, struct store_page *page,
			   struct error *error);
};

struct store_follower_options {
	const char *address;
	const char *prefix;
	const struct store_dialect *dialect;
	struct log *log;
	uint64_t seed;
	int32_t slow_retry_ms; /* longest wait of a slow retry; 0: default */
	int32_t silence_ms;    /* longest pause within an answer; 0: default */
};

struct store_follower_events {
	void (*listed)(void *data, const struct store_page *page);
	void (*changed)(void *data, const struct store_page *page);
	void (*reached)(void *data, bool is_reached); /* may be NULL */
	void *data;
	void (*answered)(void *data); /* probe answered; may be NULL */
	/* The store's revisions went back without a new era; may be NULL. */
	void (*rewound)(void *data);
};

struct store_follower;

struct store_follower *
store_follower_create(const struct store_follower_options *options,
		      const struct store_follower_events *events);
void store_follower_destroy(struct store_follower *follower);
void store_follower_set_active(struct store_follower *follower, bool active);
void store_follower_set_slow_retry(struct store_follower *follower,
				   bool slow_retry);
void store_follower_set_probing(struct store_follower *follower, bool probing);
void store_follower_refresh(struct store_follower *follower);
bool store_follower_is_receiving(const struct store_follower *follower);
int32_t store_follower_failures(const struct store_follower *follower);
bool store_follower_is_reached(const struct store_follower *follower);

G_END_DECLS

#endif
