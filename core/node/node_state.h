#ifndef CORE_NODE_NODE_STATE_H
#define CORE_NODE_NODE_STATE_H

#include "core/node/call.h"
#include "core/lease/holder.h"
#include "core/placement/home.h"
#include "core/membership/membership.h"
#include "core/node/node.h"
#include "core/limit/organisation_limits.h"
#include "core/once/outcome_store.h"
#include "core/plan/plan_book.h"
#include "core/limit/end_watch.h"
#include "core/limit/loss_gossip.h"
#include "core/limit/quarantine.h"
#include "core/limit/retry_budget.h"
#include "core/base/timer_heap.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * The state of a node and the functions that its source files share. Private
 * to core/node/:
 *
 *   node_create.c     options, creation and destruction
 *   node.c            start, event dispatch, periodic work, drain
 *   node_dump.c       the state dump
 *   node_call.c       calls: admission checks, timers, disconnects
 *   node_reply.c      replies to callers
 *   node_id.c         request ids: which node may run them, forwarding
 *   node_claim.c      plain keys, claimed in the key-value service
 *   node_outcome.c    replies to repeated request ids
 *   node_place.c      entry node's side of placement
 *   node_share.c      placement by the local share, without a home
 *   node_progress.c   progress reports to homes
 *   node_attempt.c    attempts at endpoints, retries
 *   node_losses.c     requests under which endpoints end
 *   node_shard.c      shards of endpoints and their homes
 *   node_home.c       home's side of placement: grants, load
 *   node_leaving.c    endpoints that are leaving
 *   node_config.c     configuration from the key-value service and peers
 *   node_discovery.c  discovery of nodes through the key-value service
 *   node_limits.c     limits of organisations, shared between nodes
 *   node_rollout.c    rollouts under a lease
 *   node_query.c      GET /v1/nodes, show, plan, confirm, history
 */

/* A shard of a service's endpoints and the home that grants their capacity. */
struct shard {
	char *service;
	uint32_t index;
	char *home;	       /* name of its home node; NULL: none */
	bool is_home;	       /* this node is the home */
	bool dirty;	       /* an input of placement has changed */
	int64_t grant_from_us; /* earliest grant of a new home */
	GHashTable
		*awaited_reports; /* nodes whose first report is outstanding */
	struct placement *placement; /* home only */
	GPtrArray *endpoints;	     /* char *: endpoint addresses */
	enum service_kind kind;
};

/* A ticket that this node, as home, has queued or granted. */
struct home_ticket {
	uint64_t ticket;
	uint64_t incarnation;	 /* of the requester */
	char *requester;	 /* name of the requester */
	char *requester_address; /* peer address; NULL: this node */
	struct shard *shard;
	char *endpoint; /* NULL while queued */
};

struct node {
	struct node_options options;
	char **seeds;
	struct counters counters;
	GRand *random;
	uint64_t next_attempt;
	uint64_t next_ticket;
	uint64_t next_kv_id;
	int64_t now_us;
	int64_t dispatch_from_us;    /* earliest dispatch after a pause */
	int64_t drain_check_from_us; /* earliest stop of a drained node after a
					late step */
	struct action_list *actions; /* output of the current step */

	struct config *config; /* NULL before the first one */
	GBytes *config_document;
	int64_t kv_contact_us; /* last contact with the key-value service */
	int64_t started_us;
	uint64_t config_kv_id; /* pending read of the configuration; 0: none */
	int64_t config_read_us;
	int64_t config_requested_us;	/* when a copy was requested; 0: none */
	int64_t config_copied_revision; /* of the configuration that a copy of
					   the key-value service held; 0: none
					 */
	bool config_is_absent; /* none stored yet; the watch delivers it */
	bool watching;

	struct membership *membership;
	uint64_t epoch_seen;
	struct holder *own_entry; /* registration in the key-value service */
	int64_t register_from_us;
	int64_t next_list_us;
	uint64_t list_kv_id; /* pending read of all entries; 0: none */
	uint32_t alone_list_count;
	bool is_registered; /* as last logged */
	bool draining;
	bool stopped;
	int64_t drain_started_us;

	GHashTable *calls;	   /* call id to struct call */
	GHashTable *tickets;	   /* ticket to struct call */
	GHashTable *attempts;	   /* attempt to struct call */
	GHashTable *claims;	   /* key-value request id to call id */
	struct timer_heap *timers; /* of call ids */
	struct outcome_store *outcomes;
	struct retry_budget *retries;
	struct quarantine *quarantine;
	struct end_watch *ends;
	struct loss_gossip *loss_gossip;
	int64_t reach_checked_us;
	struct organisation_limits *limits;
	struct rate_peak fleet_peak;
	struct rate_fleet fleet;
	int64_t fleet_read_us;
	struct plan_book *plans;
	struct holder *rollout_holder;
	GPtrArray *rollouts; /* struct node_rollout */
	int64_t next_limits_us;
	int64_t claim_lease;
	int64_t claim_lease_granted_us; /* when the lease was granted */
	uint64_t claim_lease_kv_id;

	GPtrArray *shards;	    /* struct shard */
	GHashTable *service_shards; /* service name to GPtrArray of its shards,
				       by index */
	GHashTable *home_tickets;   /* ticket to struct home_ticket */
	GHashTable *shares;	    /* service name to the local share, a struct
				       placement */
	GHashTable *lengths;	    /* service name to struct length_estimate */
	GHashTable *leaving;	    /* endpoint to struct leaving_mark */
	int64_t next_announce_us;   /* of leaving endpoints, to peers */
	int64_t next_poll_us;
	int64_t next_progress_us;
	int32_t progress_count;
	int32_t full_progress_left; /* how many of the next reports are full */
};

/*
 * Retry-After of a temporary refusal. By then a new home grants capacity: it
 * waits at most a second for the reports of other nodes (node_shard.c).
 */
#define NODE_RETRY_AFTER_US G_USEC_PER_SEC

/* How long a peer's announcement of a leaving endpoint is valid. */
#define PEER_LEAVING_TTL_US (30 * G_USEC_PER_SEC)

/* Sources that mark an endpoint as leaving; one is enough. */
enum leaving_source {
	LEAVING_CONFIG = 1,
	LEAVING_VM_LIST = 2,
	LEAVING_LOAD = 4,
	LEAVING_PEER = 8,
	LEAVING_ROLLOUT = 16
};

struct leaving_mark {
	uint32_t sources;	 /* bits of enum leaving_source */
	int64_t peer_expires_us; /* when LEAVING_PEER expires */
};

/* node_call.c */
uint64_t request_fingerprint(const struct request *request);
void node_call_receive(struct node *node, const struct event_call *event);
void node_call_disconnect(struct node *node, uint64_t id);
void node_call_flow(struct node *node, const struct event_call_flow *event);
void node_call_handle_timer(struct node *node, struct call *call);
void node_call_arm_timer(struct node *node, struct call *call);
void node_call_set_state(struct node *node, struct call *call,
			 enum call_state state);
void node_call_remove(struct node *node, struct call *call);
void node_call_each(struct node *node,
		    void (*visit)(struct node *node, struct call *call));

/* node_reply.c */
void node_refuse(struct node *node, uint64_t call, enum refusal refusal,
		 enum run run, int64_t retry_after_us, const char *detail);
void node_call_refuse(struct node *node, struct call *call,
		      enum refusal refusal, enum run run,
		      int64_t retry_after_us);
void node_call_chunk(struct node *node, struct call *call, GBytes *data,
		     int64_t token_count);
void node_call_end(struct node *node, struct call *call, enum refusal refusal,
		   const char *finish_reason);
void node_call_answer(struct node *node, struct call *call,
		      const struct event_attempt_answer *answer);

/* node_id.c */
bool node_id_receive(struct node *node, struct call *call);
void node_id_forward(struct node *node, struct call *call,
		     const struct member *member);
void node_id_mark_dispatched(struct call *call);
enum run node_id_run_state(const struct node *node,
			   const struct request *request,
			   const char *organisation);
const struct member *node_find_incarnation(const struct node *node,
					   const char *name,
					   uint64_t incarnation);

/* node_claim.c */
void node_claim_send(struct node *node, struct call *call);
bool node_claim_kv(struct node *node, const struct kv_answer *answer);

/* node_outcome.c */
bool node_outcome_handle_repeat(struct node *node, struct call *call,
				struct outcome *outcome);
void node_outcome_answer_waiting(struct node *node, struct call *call);
void node_outcome_refuse(struct node *node, struct call *call,
			 enum refusal refusal, enum run run,
			 int64_t retry_after_us);

/* node_place.c */
void node_place_call(struct node *node, struct call *call);
void node_place_wake(struct node *node, struct call *call);
void node_place_withdraw(struct node *node, struct call *call);
void node_place_release(struct node *node, struct call *call,
			enum release_outcome outcome);
void node_place_granted(struct node *node, uint64_t ticket,
			const char *endpoint);
void node_place_refused(struct node *node, uint64_t ticket,
			enum refusal refusal, int64_t retry_after_us);
void node_place_rehome(struct node *node);
struct length_estimate *node_length_estimate(struct node *node,
					     const char *service);
void node_place_fill_request(struct node *node, const struct call *call,
			     struct placement_request *request);
bool node_is_home(const struct node *node, const char *home);
const struct member *node_find_home(const struct node *node, const char *home);
struct shard *node_call_shard(struct node *node, const struct call *call);
bool node_service_has_endpoint(const struct node *node, const char *service,
			       const char *endpoint);
bool node_call_is_placed(const struct call *call);

/* node_share.c */
void node_share_place(struct node *node, struct call *call);
void node_share_hold(struct node *node, const struct call *call);
void node_share_progress(struct node *node, const struct call *call);
void node_share_resize(struct node *node);
void node_share_reset(struct node *node);
void node_share_step(struct node *node);

/* node_progress.c */
void node_progress_send(struct node *node);

/* node_attempt.c */
void node_attempt_send(struct node *node, struct call *call);
void node_attempt_resume(struct node *node, struct call *call);
void node_attempt_started(struct node *node,
			  const struct event_attempt_started *event);
void node_attempt_chunk(struct node *node,
			const struct event_attempt_chunk *event);
void node_attempt_done(struct node *node,
		       const struct event_attempt_done *event);
void node_attempt_answer(struct node *node,
			 const struct event_attempt_answer *event);
void node_attempt_failed(struct node *node,
			 const struct event_attempt_failed *event);
void node_attempt_timeout(struct node *node, struct call *call);
void node_attempt_cancel(struct node *node, struct call *call,
			 bool keep_running);
void node_attempt_retry(struct node *node, struct call *call);

/* node_losses.c */
void node_losses_init(struct node *node);
void node_losses_clear(struct node *node);
void node_losses_begin(struct node *node, struct call *call);
void node_losses_record(struct node *node, const struct call *call);
void node_losses_note_refused(struct node *node, const char *endpoint);
void node_losses_note_heard(struct node *node, const char *endpoint);
void node_losses_note_load(struct node *node, const struct event_load *event);
void node_losses_note_whole(struct node *node, const struct call *call);
void node_losses_receive(struct node *node, const struct peer_message *message);
bool node_losses_refuse(struct node *node, struct call *call);
void node_losses_step(struct node *node);

/* node_shard.c */
void node_shard_rebuild(struct node *node);
void node_shard_members_changed(struct node *node);
struct shard *node_shard_find(struct node *node, const char *service,
			      uint32_t index);
struct shard *node_shard_pick(struct node *node, const char *service);
struct shard *node_shard_of_endpoint(struct node *node, const char *service,
				     const char *endpoint);
void shard_destroy(gpointer data);
void shard_list_destroy(gpointer data);

/* node_home.c */
void node_home_place(struct node *node, const struct peer_message *message);
void node_home_submit(struct node *node, struct shard *shard,
		      const struct placement_request *request,
		      const struct peer_message *from);
void node_home_release(struct node *node, uint64_t ticket,
		       enum release_outcome outcome, int64_t tokens);
void node_home_progress(struct node *node, const struct peer_message *message);
void node_home_step(struct node *node);
void node_home_poll_load(struct node *node);
void node_home_update_load(struct node *node, const struct event_load *event);
int64_t node_home_next_due_us(const struct node *node);
void home_ticket_destroy(gpointer data);

/* node_leaving.c */
void node_leaving_set(struct node *node, const char *endpoint,
		      enum leaving_source source, bool leaving);
void node_leaving_vm_list(struct node *node, const struct event_vm_list *event);
void node_leaving_peer(struct node *node, const struct peer_leaving *leaving);
void node_leaving_announce(struct node *node);
void node_leaving_expire(struct node *node);

/* node_discovery.c */
void node_discovery_create(struct node *node);
void node_discovery_start(struct node *node);
void node_discovery_step(struct node *node);
int64_t node_discovery_next_due_us(const struct node *node);
bool node_discovery_kv(struct node *node, const struct kv_answer *answer);

/* node_rollout.c */
void node_rollout_create(struct node *node);
void node_rollout_destroy(struct node *node);
void node_rollout_config_changed(struct node *node);
void node_rollout_step(struct node *node);
int64_t node_rollout_next_due_us(const struct node *node);
bool node_rollout_kv(struct node *node, const struct kv_answer *answer);
void node_rollout_order(struct node *node, const struct event_order *event);
void node_rollout_order_state(struct node *node,
			      const struct event_order_state *event);
GVariant *node_rollout_dump(const struct node *node);

/* node_config.c */
bool node_config_is_watcher(const struct node *node);
void node_config_start(struct node *node);
void node_config_step(struct node *node);
bool node_config_kv(struct node *node, const struct kv_answer *answer);
void node_config_watch(struct node *node, const struct event_kv_watch *event);
void node_config_peer(struct node *node, const struct peer_message *message);
void node_config_check_probe(struct node *node,
			     const struct peer_message *message);
bool node_config_is_isolated(const struct node *node);
int64_t node_config_revision(const struct node *node);

/* node_limits.c */
bool node_limits_admit(struct node *node, struct call *call);
void node_limits_add_tokens(struct node *node, struct call *call,
			    int64_t tokens);
void node_limits_release(struct node *node, struct call *call);
void node_limits_report(struct node *node);
void node_limits_receive(struct node *node, const struct peer_message *message);

/* node_query.c */
void node_query_receive(struct node *node, const struct event_query *event);

/* node.c */
void node_send(struct node *node, const char *peer_address,
	       struct peer_message *message);
struct kv_request *node_kv_request(struct node *node, enum kv_op op);
uint64_t node_kv_send(struct node *node, enum kv_op op, const char *key,
		      GBytes *value, int64_t expected_revision, int64_t lease);
void node_log(struct node *node, enum log_level level, const char *event,
	      const struct call *call, const char *key, const char *value);

G_END_DECLS

#endif
