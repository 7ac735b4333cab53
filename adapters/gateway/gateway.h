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
#include "ports/action.h"
#include "ports/event.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Forwards callers' requests to endpoints by routes. Each request gets one
 * complete answer or a visible failure. The configuration and the endpoints
 * come from the store and from the other nodes; each request is decided
 * locally.
 */
struct gateway_options {
	const char *node_name;
	const char *failure_domain;
	const char *const *domain_regions; /* DOMAIN=REGION; NULL: none */
	const char *address;		   /* listens for requests */
	const char *ready_address;	   /* "": none */
	const char *directory_address;	   /* "": none */
	int64_t max_connections;
	int64_t drain_us;	  /* from SIGTERM to the end */
	int64_t directory_ttl_us; /* callers cache the addresses */
	int64_t retry_percent;	  /* resends, in % of requests */
	int64_t retry_extra;	  /* plus these a window, all nodes */
	int64_t retry_window_us;
	int64_t home_from_nodes;       /* fewer nodes: no home */
	int64_t warmup_excess_percent; /* see struct warmup_bounds */
	int64_t warmup_slack;
	int64_t max_answer_bytes; /* body of one answer; 0: not limited */
	int64_t memory_bytes;	  /* of the process; 0: not limited */
	uint64_t seed;
	struct log *log;
	struct counters *counters;
	const struct dialect *dialect;
};

/* Functions that the gateway calls in its node. */
struct gateway_host {
	/* Sends to all addresses (char *); takes ownership of the message. */
	void (*send)(void *data, const GPtrArray *peer_addresses,
		     struct peer_message *message);
	struct peer_message *(*message)(void *data,
					enum peer_message_type type);
	const struct membership *(*members)(void *data);
	/* The drain is over; in left_us the process would be killed. */
	void (*stopped)(void *data, int64_t left_us);
	void *data;
	struct route_table *(*decode)(void *store_data, GBytes *document,
				      int64_t revision);
	void (*read_store)(void *store_data); /* a newer version exists */
	bool (*is_reading)(void *store_data); /* an answer is arriving */
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
			int64_t directory_ttl_us, int64_t retry_percent,
			int64_t retry_extra);
void gateway_set_answer_limit(struct gateway *gateway,
			      int64_t max_answer_bytes);
void gateway_set_memory(struct gateway *gateway, int64_t memory_bytes);

/* Input from the store. */
void gateway_apply_table(struct gateway *gateway, struct route_table *table,
			 GBytes *document, const char *source);
void gateway_apply_changes(struct gateway *gateway, const GPtrArray *list);
void gateway_store_rewound(struct gateway *gateway);
void gateway_apply_listing(struct gateway *gateway, const GPtrArray *list,
			   int64_t position);
void gateway_apply_cordon(struct gateway *gateway, const struct cordon *news);
void gateway_apply_cordon_listing(struct gateway *gateway,
				  const GPtrArray *list, int64_t position);
void gateway_set_store_reached(struct gateway *gateway, bool is_reached);
void gateway_store_answered(struct gateway *gateway);

/* Input from the gateway of another node. */
void gateway_receive_peer(struct gateway *gateway,
			  const struct peer_message *message);

/* Queries of operators about endpoints and requests in quarantine. */
void gateway_answer_query(struct gateway *gateway,
			  const struct event_query *query,
			  struct action_list *actions);

int64_t gateway_now_us(void);

G_END_DECLS

#endif
