#ifndef ADAPTERS_GATEWAY_GATEWAY_STATE_H
#define ADAPTERS_GATEWAY_GATEWAY_STATE_H

#include "adapters/gateway/caller.h"
#include "adapters/gateway/endpoint_pool.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/report_poll.h"
#include "core/gateway/engine_grants.h"
#include "core/gateway/standing_pace.h"
#include "core/gateway/store_doubt.h"
#include "core/gateway/table_fetch.h"
#include "core/limit/quarantine.h"
#include "core/limit/shared_budgets.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * The gateway's state, shared by its parts:
 *
 *   gateway.c          life, listeners, budgets
 *   gateway_store.c    what the store says
 *   gateway_peers.c    what nodes tell one another
 *   gateway_routes.c   a configuration that other nodes have
 *   gateway_home.c     one node chooses engines for all
 *   exchange.c         one request of a caller
 *   leg.c              the request at one endpoint
 *   exchange_answer.c  what its endpoint answers
 *   exchange_recover.c its endpoint failed, leaves or is silent
 *   exchange_move.c    its generation is copied to another engine
 */
struct gateway {
	struct gateway_options options;
	struct gateway_host host;
	const struct dialect *dialect;
	struct log *log;
	GRand *random;

	struct route_table *table; /* NULL before the first */
	GBytes *document;
	int64_t newest_version; /* that any node has said to have; -1: none */
	struct table_fetch fetch;
	struct table_offer offer;
	struct registry *registry;
	bool store_is_reached;
	struct store_doubt store_doubt;
	struct store_watch store_watch; /* as its follower was told */

	struct endpoint_pool *pool;
	struct report_poll *reports;
	struct caller_set *callers;
	struct caller_set *askers; /* about the nodes: ready, addresses */
	struct listener *listeners[3];
	GHashTable *exchanges; /* set of struct exchange */
	struct shared_budgets *budgets;
	struct quarantine *quarantine; /* requests that crash engines */
	guint tick;
	int64_t tick_us; /* of the last one */
	int64_t now_us;
	int64_t drain_since_us; /* 0: not */
	bool is_stopped;

	GHashTable *peers; /* name to struct gateway_peer */
	struct standing_pace pace;
	uint32_t standings;
	bool held_changed; /* or the configuration: the others should know */
	bool home_untold;  /* something changed since the home was told */

	/* Engines chosen by a home, for others if it is this node. */
	struct engine_grants *grants;
	GHashTable *asking; /* number of a question to struct exchange */
	uint64_t questions; /* asked so far */
	char *home_address; /* last asked; NULL: none yet */
	int64_t home_passed_until_us; /* it did not answer */
	int64_t home_told_us;
};

/* Another node, as it says of itself. */
struct gateway_peer {
	uint64_t incarnation;
	int64_t heard_us;
	int64_t table_version;
	bool takes_work;
	bool reaches_store;
	char *address; /* for callers */
};

/* gateway.c */
bool gateway_takes_work(const struct gateway *gateway);
bool gateway_is_current(const struct gateway *gateway);
struct retry_window *gateway_budget(struct gateway *gateway,
				    const char *service);
int64_t gateway_table_version(const struct gateway *gateway);

/* gateway_store.c */
void gateway_log_endpoint(struct gateway *gateway, const char *id,
			  const char *source);
void gateway_step_registry(struct gateway *gateway);

/* gateway_peers.c */
GPtrArray *gateway_addresses(struct gateway *gateway);
struct store_view gateway_store_view(const struct gateway *gateway);
bool gateway_store_is_away(const struct gateway *gateway);
void gateway_peers_step(struct gateway *gateway);
void gateway_peers_tell_drain(struct gateway *gateway);
void gateway_peers_tell_crash(struct gateway *gateway, uint64_t fingerprint,
			      const char *endpoint_id);
void gateway_take_failure(struct gateway *gateway, uint64_t reporter,
			  const char *endpoint_id);
void gateway_peers_tell(struct gateway *gateway, const char *endpoint_id);
void gateway_peer_destroy(gpointer data);
size_t gateway_node_count(const struct gateway *gateway);

void gateway_send(struct gateway *gateway, const char *peer_address,
		  struct peer_message *message);
struct peer_message *gateway_standing_create(struct gateway *gateway);

/* gateway_routes.c */
void gateway_routes_heard(struct gateway *gateway, int64_t version);
void gateway_routes_step(struct gateway *gateway);
void gateway_routes_give(struct gateway *gateway,
			 const struct peer_message *ask);
void gateway_routes_take(struct gateway *gateway,
			 const struct peer_message *message);

/* gateway_home.c */
uint64_t gateway_home_answered(const struct gateway *gateway);
void gateway_home_step(struct gateway *gateway);
void gateway_home_take_question(struct gateway *gateway,
				const struct peer_message *message);
void gateway_home_take_answer(struct gateway *gateway,
			      const struct peer_message *message);

/* exchange.c */
struct exchange;

void exchange_begin(struct gateway *gateway, struct caller *caller,
		    struct http_head *head, GByteArray *body);
void exchange_step(struct exchange *exchange);
void exchange_excuse(struct exchange *exchange, int64_t stood_us);
void exchange_caller_gone(struct exchange *exchange);
void exchange_caller_drained(struct exchange *exchange);
void exchange_destroy(gpointer data);

G_END_DECLS

#endif
