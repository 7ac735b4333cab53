#ifndef ADAPTERS_GATEWAY_GATEWAY_H
#define ADAPTERS_GATEWAY_GATEWAY_H

#include "adapters/gateway/dialect.h"
#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "core/gateway/registry.h"
#include "core/gateway/store_watch.h"
#include "core/gateway/route_table.h"
#include "core/membership/membership.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Callers' requests passed on to endpoints by routes: each answered whole,
 * once, or visibly not. It knows the configuration and the endpoints from the
 * store and from the other nodes, and decides each request by itself.
 */
struct gateway_options {
	const char *node_name;
	const char *failure_domain;
	const char *address;	       /* callers' requests */
	const char *ready_address;     /* "": none */
	const char *directory_address; /* "": none */
	int64_t max_connections;
	int64_t drain_us;	 /* from SIGTERM to the end */
	int64_t address_keep_us; /* callers keep an answer so long */
	int64_t retry_percent;	 /* sends beyond the first, of requests */
	int64_t retry_extra;	 /* and so many more in a window, all nodes */
	int64_t retry_window_us;
	int64_t home_from_nodes; /* one chooses engines for all */
	uint64_t seed;
	struct log *log;
	struct counters *counters;
	const struct dialect *dialect;
};

/* What the gateway needs of the node it runs in. */
struct gateway_host {
	/* To all of the addresses, char *; the message is its own then. */
	void (*send)(void *data, const GPtrArray *peer_addresses,
		     struct peer_message *message);
	struct peer_message *(*message)(void *data,
					enum peer_message_type type);
	const struct membership *(*members)(void *data);
	void (*stopped)(void *data);
	void *data;
	struct route_table *(*decode)(void *store_data, GBytes *document,
				      int64_t revision);
	void (*read_store)(void *store_data); /* something newer is known of */
	bool (*is_reading)(void *store_data); /* an answer of it arrives */
	void (*watch)(void *store_data, const struct store_watch *watch);
	void *store_data;
};

struct gateway;

struct gateway *gateway_create(const struct gateway_options *options,
			       const struct gateway_host *host,
			       struct error *error);
void gateway_destroy(struct gateway *gateway);
void gateway_drain(struct gateway *gateway);
void gateway_set_limits(struct gateway *gateway, int64_t drain_us,
			int64_t address_keep_us, int64_t retry_percent,
			int64_t retry_extra);

/* What the store says. */
void gateway_take_table(struct gateway *gateway, struct route_table *table,
			GBytes *document, const char *source);
void gateway_take_changes(struct gateway *gateway, const GPtrArray *list);
void gateway_take_registrations(struct gateway *gateway, const GPtrArray *list,
				int64_t revision);
void gateway_take_store(struct gateway *gateway, bool is_reached);
void gateway_take_store_answer(struct gateway *gateway);

/* What another node's gateway says. */
void gateway_take_peer(struct gateway *gateway,
		       const struct peer_message *message);

int64_t gateway_now_us(void);

G_END_DECLS

#endif
