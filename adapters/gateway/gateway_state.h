#ifndef ADAPTERS_GATEWAY_GATEWAY_STATE_H
#define ADAPTERS_GATEWAY_GATEWAY_STATE_H

#include "adapters/gateway/caller.h"
#include "adapters/gateway/endpoint_pool.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/report_poll.h"
#include "core/gateway/held_bytes.h"
#include "core/gateway/endpoint_choice.h"
#include "core/gateway/engine_grants.h"
#include "core/gateway/announce_pace.h"
#include "core/membership/gossip_pace.h"
#include "core/gateway/leaving_forecast.h"
#include "core/gateway/service_reach.h"
#include "core/gateway/store_doubt.h"
#include "core/gateway/table_fetch.h"
#include "core/limit/admission.h"
#include "core/limit/end_watch.h"
#include "core/limit/loss_gossip.h"
#include "core/limit/quarantine.h"
#include "core/limit/shared_budgets.h"

#include <glib.h>

G_BEGIN_DECLS

/* A run that its endpoint broke off. */
struct lost_run {
	const struct suspect_list *suspects;
	uint64_t owner_key; /* of the organisation that sent the request */
	struct endpoint_start start;
	bool is_young; /* it had not gone on for a while */
};

/*
 * The gateway's state, shared by its parts:
 *
 *   gateway.c          creation, listeners, tick, drain
 *   gateway_store.c    configuration and endpoints from the store
 *   gateway_peers.c    announcements between nodes
 *   gateway_routes.c   fetching a newer configuration from other nodes
 *   gateway_cordons.c  failure domains that get no new requests
 *   gateway_limits.c   limits that endpoints state
 *   gateway_brittle.c  endpoints that end if they reject too much
 *   gateway_rest.c     endpoints that ask this node for rest
 *   gateway_leaving.c  endpoints that say themselves whether they leave
 *   gateway_memory.c   memory that callers' requests hold
 *   gateway_losses.c   requests under which endpoints end
 *   gateway_ends.c     whether endpoints that broke off runs have ended
 *   gateway_closes.c   answers that end with their connections
 *   gateway_reach.c    which nodes reach which services
 *   gateway_headroom.c memory kept free for engines that leave
 *   gateway_speed.c    how fast endpoints are
 *   gateway_home.c     one node chooses the engines for all nodes
 *   gateway_waiting.c  generations that wait until an engine has room
 *   exchange.c         one request of a caller
 *   leg.c              the request at one endpoint
 *   exchange_answer.c  the endpoint's answer
 *   exchange_recover.c recovery from a failed, leaving or silent endpoint
 *   exchange_move.c    copying a generation to another engine
 *   exchange_relay.c   passing a request on through another node
 */
struct gateway {
	struct gateway_options options;
	struct gateway_host host;
	const struct dialect *dialect;
	struct log *log;
	GRand *random;

	struct route_table *table; /* NULL before the first one */
	GBytes *document;
	int64_t newest_version; /* announced by any node; -1: none */
	struct table_fetch fetch;
	struct table_copy_limit offer;
	struct registry *registry;
	bool store_is_reached;
	struct store_doubt store_doubt;
	struct store_watch store_watch; /* last passed to host.watch */

	struct endpoint_pool *pool;
	struct report_poll *reports;
	struct report_poll *statuses; /* of endpoints in doubt */
	struct caller_set *callers;
	struct caller_set *status_callers; /* readiness and addresses */
	struct listener *listeners[3];
	GHashTable *exchanges;	       /* set of struct exchange */
	struct held_bytes held_events; /* partial ones, of all streams */
	struct shared_budgets *budgets;
	guint tick;
	guint step;	 /* that the last tick scheduled; 0: it is done */
	int64_t tick_us; /* time of the last tick */
	int64_t now_us;
	int64_t drain_since_us;	 /* 0: not draining */
	int64_t drain_length_us; /* of the drain in progress */
	bool is_stopped;

	GHashTable *peers; /* name to struct gateway_peer */
	struct announce_pace pace;
	uint32_t standings;
	bool announce_pending;	    /* load or configuration; to be announced */
	bool home_announce_pending; /* changes not yet sent to the home */
	bool knows_limits;	    /* that at least one endpoint states */

	struct region_map *region_map;
	struct rate_peak fleet_peak;
	struct rate_fleet fleet;
	struct recent_starts *recent_starts;

	/* Limits that endpoints state. */
	struct gossip_pace limits_pace;
	int64_t limits_checked_us;
	int64_t limits_retention_us; /* of one that no answer states */
	int64_t limits_deaf_until_us;

	/* Requests under which endpoints end. */
	struct quarantine *quarantine;
	struct loss_gossip *loss_gossip;
	int64_t parts_silent_until_us;

	/* Whether endpoints that broke off runs have ended. */
	struct end_watch *ends;
	struct reach_check *reach_check; /* under way, or NULL */
	GArray *closed_answers;		 /* struct closed_answer */

	/* Services that this node reaches, or passes on for others. */
	GHashTable *reach; /* service to struct service_state */
	bool reach_is_complete;
	bool is_cut; /* it reaches no service that it used lately */
	struct memory_budget *memory; /* of callers' requests */
	int32_t relayed_count;	      /* requests under way for other nodes */

	GHashTable *forecasts; /* service to struct leaving_forecast */
	GHashTable *answers;   /* service to struct answer_forecast */
	int64_t headroom_sampled_us;

	GHashTable *speeds; /* service to struct service_speed */
	int64_t speeds_stepped_us;

	/* Engine choice by a home, which may be this node. */
	struct engine_grants *grants;
	GHashTable *home_requests;     /* request number to struct exchange */
	uint64_t home_request_count;   /* number of the last request */
	char *home_address;	       /* of the last request; NULL: none */
	int64_t home_skipped_until_us; /* after a missed answer */
	char *silent_home;	       /* that missed it; NULL: none yet */
	int64_t home_announced_us;

	struct waiting *waiting; /* generations that wait for an engine */
};

/* The last announcement of another node. */
struct gateway_peer {
	uint64_t incarnation;
	int64_t heard_us;
	int64_t table_version;
	bool accepts_requests;
	bool reaches_store;
	char *address;	       /* where callers connect */
	GArray *lost_services; /* uint64_t: keys; NULL: it said nothing */
	bool is_cut;
	int64_t reach_heard_us;
};

/* gateway.c */
bool gateway_accepts_requests(const struct gateway *gateway);
bool gateway_is_current(const struct gateway *gateway);
struct retry_window *gateway_budget(struct gateway *gateway,
				    const char *service);
int64_t gateway_table_version(const struct gateway *gateway);

/* gateway_store.c */
void gateway_log_set_aside(struct gateway *gateway, const GPtrArray *list,
			   const char *source);
void gateway_log_endpoint(struct gateway *gateway, const char *id,
			  const char *source);
void gateway_step_registry(struct gateway *gateway);

/* gateway_peers.c */
GPtrArray *gateway_addresses(struct gateway *gateway, const char *region);
struct store_view gateway_store_view(const struct gateway *gateway);
bool gateway_store_is_away(const struct gateway *gateway);
void gateway_peers_step(struct gateway *gateway);
void gateway_peers_announce_drain(struct gateway *gateway);
void gateway_peers_announce_failure(struct gateway *gateway,
				    uint64_t fingerprint,
				    const char *endpoint_id);
void gateway_add_failure_notice(struct gateway *gateway, uint64_t reporter,
				const char *endpoint_id);
void gateway_peers_announce_changes(struct gateway *gateway,
				    const GPtrArray *ids);
void gateway_peers_announce_endpoint(struct gateway *gateway,
				     const char *endpoint_id);
void gateway_peer_destroy(gpointer data);
bool gateway_peer_is_recent(const struct gateway *gateway, int64_t heard_us,
			    int64_t periods);
bool gateway_peer_is_heard(const struct gateway *gateway,
			   const struct gateway_peer *peer);
bool gateway_is_informer(const struct gateway *gateway);
void gateway_send_to_all(struct gateway *gateway, struct peer_message *message);
void gateway_add_random_members(struct gateway *gateway, size_t count,
				GPtrArray *addresses);
size_t gateway_node_count(const struct gateway *gateway);

void gateway_send(struct gateway *gateway, const char *peer_address,
		  struct peer_message *message);
struct peer_message *gateway_create_standing(struct gateway *gateway);

/* gateway_home.c */
bool gateway_chooses_moves(const struct gateway *gateway, const char *service);

/* gateway_headroom.c */
void gateway_headroom_step(struct gateway *gateway);
double gateway_headroom_share(struct gateway *gateway, const char *service);

/* gateway_routes.c */
void gateway_routes_note_version(struct gateway *gateway, int64_t version);
void gateway_routes_step(struct gateway *gateway);
void gateway_routes_send(struct gateway *gateway,
			 const struct peer_message *ask);
void gateway_routes_receive(struct gateway *gateway,
			    const struct peer_message *message);

/* gateway_cordons.c */
bool gateway_knows_cordons(const struct gateway *gateway);
void gateway_cordons_step(struct gateway *gateway);
void gateway_cordons_send(struct gateway *gateway, const char *peer_address);
void gateway_cordons_receive(struct gateway *gateway,
			     const struct peer_message *message);

/* gateway_limits.c */
void gateway_limits_note_answer(struct gateway *gateway,
				struct endpoint *endpoint,
				const struct answered_limit *answer);
void gateway_limits_init(struct gateway *gateway);
void gateway_limits_step(struct gateway *gateway);
void gateway_limits_excuse_pause(struct gateway *gateway);
void gateway_limits_send(struct gateway *gateway, const char *peer_address);
void gateway_limits_receive(struct gateway *gateway,
			    const struct peer_message *message);

/* gateway_losses.c */
void gateway_losses_init(struct gateway *gateway,
			 const struct quarantine_options *options);
void gateway_losses_clear(struct gateway *gateway);
struct endpoint_start gateway_losses_start(const struct gateway *gateway,
					   const struct endpoint *endpoint);
void gateway_losses_record(struct gateway *gateway, const struct lost_run *run);
void gateway_losses_note(struct gateway *gateway, const struct lost_run *run,
			 const struct endpoint *endpoint);
void gateway_losses_note_whole(struct gateway *gateway,
			       const struct suspect_list *suspects,
			       int64_t begun_us);
void gateway_losses_note_progress(struct gateway *gateway,
				  const struct suspect_list *suspects,
				  int64_t begun_us);
void gateway_losses_note_answer(struct gateway *gateway,
				const struct endpoint *endpoint,
				const struct quarantine_answer *answer,
				int32_t status);
void gateway_losses_send(struct gateway *gateway, const char *peer_address);
void gateway_losses_receive(struct gateway *gateway,
			    const struct peer_message *message);
void gateway_losses_step(struct gateway *gateway);
bool gateway_losses_admit(struct gateway *gateway,
			  const struct suspect_list *suspects,
			  struct admission *admission);

/* gateway_closes.c */
void gateway_closes_init(struct gateway *gateway);
void gateway_closes_clear(struct gateway *gateway);
void gateway_closes_add(struct gateway *gateway, const struct lost_run *run,
			int64_t begun_us, const struct endpoint *endpoint);
void gateway_closes_note_end(struct gateway *gateway,
			     const struct endpoint_start *start);
void gateway_closes_step(struct gateway *gateway);

/* gateway_brittle.c */
void gateway_brittle_note_answer(struct gateway *gateway,
				 struct endpoint *endpoint,
				 const struct answered_limit *answer);
void gateway_brittle_note_rejection(struct gateway *gateway,
				    struct endpoint *endpoint);
void gateway_brittle_receive(struct gateway *gateway,
			     const struct peer_message *message);

/* gateway_rest.c */
void gateway_rest_note_answer(struct gateway *gateway,
			      struct endpoint *endpoint,
			      const struct answered_rest *answer,
			      int64_t known_us);

/* gateway_speed.c */
void gateway_speed_note_answer(struct gateway *gateway,
			       struct endpoint *endpoint,
			       const struct answered_load *load,
			       int64_t known_us);
void gateway_speed_fill(const struct gateway *gateway,
			struct endpoint_criteria *criteria,
			int64_t longest_pause_us);
int64_t gateway_speed_pause_bound_us(const struct gateway *gateway,
				     const struct peer_choose *choose);
void gateway_speed_step(struct gateway *gateway);
void gateway_speed_receive(struct gateway *gateway,
			   const struct peer_message *message);

/* gateway_memory.c */
void gateway_memory_init(struct gateway *gateway);
void gateway_memory_step(struct gateway *gateway);
struct memory_grant *gateway_grant_memory(struct gateway *gateway,
					  const struct http_head *head,
					  size_t bytes);
int32_t gateway_refuse_memory(struct gateway *gateway,
			      const struct http_head *head, size_t bytes,
			      GString *fields);

/* gateway_leaving.c */
void gateway_leaving_init(struct gateway *gateway);
void gateway_leaving_step(struct gateway *gateway);
void gateway_leaving_note_answer(struct gateway *gateway,
				 struct endpoint *endpoint, int64_t known_us);
void gateway_leaving_send(struct gateway *gateway, const char *peer_address);
void gateway_leaving_receive(struct gateway *gateway,
			     const struct peer_message *message);

/* gateway_reach.c */
void gateway_reach_init(struct gateway *gateway);
void gateway_reach_note_connected(struct gateway *gateway, const char *service);
void gateway_reach_note_failure(struct gateway *gateway, const char *service,
				uint64_t endpoint_key);
bool gateway_reach_is_lost(const struct gateway *gateway, const char *service);
void gateway_reach_announce(struct gateway *gateway);
void gateway_reach_step(struct gateway *gateway);
void gateway_reach_receive(struct gateway *gateway,
			   const struct peer_message *message);
bool gateway_peer_is_cut(const struct gateway *gateway,
			 const struct gateway_peer *peer);
bool gateway_peer_reaches(const struct gateway *gateway,
			  const struct gateway_peer *peer, const char *service);

/* gateway_ends.c */
void gateway_ends_init(struct gateway *gateway);
void gateway_ends_clear(struct gateway *gateway);
void gateway_ends_watch(struct gateway *gateway,
			const struct endpoint *endpoint,
			const struct endpoint_start *start, bool is_broken);
void gateway_ends_note(struct gateway *gateway, const char *endpoint_id,
		       enum connection_sign sign);
void gateway_ends_note_reset(struct gateway *gateway, const char *endpoint_id);
void gateway_ends_note_heard(struct gateway *gateway,
			     const struct endpoint *endpoint);
void gateway_ends_step(struct gateway *gateway);

/* gateway_home.c */
void gateway_fill_rates(const struct gateway *gateway, const char *name,
			const struct config_service *service,
			struct endpoint_rates *rates);
void gateway_update_fleet(struct gateway *gateway);
const struct member *gateway_find_home(const struct gateway *gateway,
				       const char *service);
uint64_t gateway_home_answered(const struct gateway *gateway);
void gateway_home_step(struct gateway *gateway);
void gateway_home_receive_request(struct gateway *gateway,
				  const struct peer_message *message);
void gateway_home_receive_answer(struct gateway *gateway,
				 const struct peer_message *message);
bool gateway_home_has_room(struct gateway *gateway,
			   const struct peer_choose *choose);
bool gateway_home_grant(struct gateway *gateway,
			const struct peer_message *await, int64_t wait_us);

/* gateway_waiting.c */
struct exchange;

void gateway_waiting_init(struct gateway *gateway);
void gateway_waiting_clear(struct gateway *gateway);
void gateway_waiting_step(struct gateway *gateway);
void gateway_waiting_grant(struct gateway *gateway, const char *service);
void gateway_waiting_note_load(struct gateway *gateway);
void gateway_waiting_receive(struct gateway *gateway,
			     const struct peer_message *message);
guint gateway_waiting_count(const struct gateway *gateway);
void gateway_waiting_answer_query(const struct gateway *gateway, uint64_t call,
				  struct action_list *actions);
struct exchange *gateway_waiting_take(struct gateway *gateway, uint64_t number);

/* exchange.c */

void exchange_begin(struct gateway *gateway, struct caller *caller,
		    struct http_head *head, GByteArray *body);
void exchange_step(struct exchange *exchange);
void exchange_end_with_drain(struct exchange *exchange);
void exchange_excuse_pause(struct exchange *exchange, int64_t paused_us);
void exchange_caller_gone(struct exchange *exchange, const char *detail);
void exchange_resume_reading(struct exchange *exchange);
void exchange_destroy(gpointer data);

G_END_DECLS

#endif
