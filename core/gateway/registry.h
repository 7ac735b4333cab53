#ifndef CORE_GATEWAY_REGISTRY_H
#define CORE_GATEWAY_REGISTRY_H

#include "core/gateway/cordon_set.h"
#include "core/gateway/endpoint_limit.h"
#include "core/gateway/endpoint_rest.h"
#include "core/gateway/endpoint_speed.h"
#include "core/gateway/endpoint_suspicion.h"
#include "core/gateway/entry_order.h"
#include "core/limit/rate_window.h"
#include "core/placement/endpoint_health.h"
#include "ports/registration.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * This node's view of the registered endpoints: their addresses, whether they
 * are leaving, and the load of all nodes on each. Updates from the store and
 * from peers are ordered by their position in the store's history, so that a
 * late answer or a peer that lags never restores a removed endpoint.
 */

enum endpoint_presence {
	PRESENCE_READY,
	PRESENCE_DOUBTED, /* removal in doubt: its entry may have expired */
	PRESENCE_LEAVING, /* gets no new requests */
	PRESENCE_GONE	  /* kept, so that an old update can't restore it */
};

/* What an endpoint answers when it is asked whether it serves. */
enum endpoint_status {
	ENDPOINT_SERVES,
	ENDPOINT_LEAVES,     /* or fails its own check */
	ENDPOINT_IS_ANOTHER, /* that listens at its address */
	ENDPOINT_UNCLEAR,    /* no answer, or one that doesn't tell */
	ENDPOINT_NOT_ASKED   /* its service has no such call */
};

/* The last entry that was not applied, for logs. */
struct entry_aside {
	const char *reason;
	int64_t position; /* 0: there was none */
	int64_t started_ms;
	int64_t report_count;
	int64_t logged_position;
	int64_t logged_us;
};

/* Load of one or more nodes on an endpoint. */
struct held {
	int32_t requests;
	int32_t copies;	       /* backup copies kept ready there */
	int64_t tokens;	       /* at the expected end, with backups */
	int64_t unread_tokens; /* of prompts without an answer so far */
};

struct endpoint {
	uint64_t key; /* endpoint_key() of its id */
	struct registration *last_registration;
	enum endpoint_presence presence;
	int32_t certain_ends; /* that this node has seen; resets tell of none */
	struct registration *held_back;	  /* to be applied once the store has
					     settled; NULL: none */
	struct registration *unconfirmed; /* to be applied once the endpoint
					     says that it serves; or NULL */
	int64_t unconfirmed_us;		  /* when the first such one came */
	int64_t ask_status_us;		  /* when to ask for its status next */
	int32_t status_asks;		  /* since the last reason to ask */
	int32_t unclear_asks;		  /* since its last clear answer */
	struct entry_aside aside;
	int64_t since_us;  /* when the presence last changed */
	int64_t notice_us; /* when it first was known to leave, or that its
			      entry is gone; 0: it serves */
	int64_t said_leaving_us;  /* when the endpoint itself last said that it
				     leaves; 0: never */
	int64_t leaving_start_ms; /* start that said so; 0: unknown */
	int64_t known_us;	  /* when its current start was first seen */
	int64_t warm_us;	  /* answers slowly before this time */
	struct rate_window *sent_cold;	  /* requests while cold, or NULL */
	struct rate_window *sent_limited; /* within its limit, or NULL */
	struct rate_window *sent_spare;	  /* take-overs beyond that, or NULL */
	struct held own;		  /* load of this node */
	struct held others;		  /* announced by all other nodes */
	struct held granted;	/* granted by this node, unconfirmed */
	int64_t sampled_tokens; /* of its load, for the forecast of waiting */
	struct endpoint_health health;	     /* by requests of this node */
	struct endpoint_suspicion suspicion; /* by notices of all nodes */
	int64_t replaced_us;   /* when another one answered at its address; 0:
				  never */
	bool is_cordoned;      /* its failure domain gets no new requests */
	int64_t uncordoned_us; /* when that last ended; 0: never */
	int64_t full_until_us; /* it refused a request for lack of room */
	struct endpoint_rest rest;   /* that it asked this node for */
	bool rest_was_unreadable;    /* in its last answer, for logs */
	double error_share;	     /* of its last answers, moving average */
	struct endpoint_limit limit; /* on requests of all nodes together */
	int64_t limit_changed_us;
	struct endpoint_limit brittle; /* on rejections, if it is brittle */
	bool brittle_was_unreadable;   /* in its last answer, for logs */
	bool limit_was_unreadable;     /* in its last answer, for logs */
	struct endpoint_speed speed;
	bool load_was_unreadable; /* in any answer of this start, for logs */
	bool is_checked;	  /* asked for its status while it is used */
	bool is_overwritten; /* the store has an entry of an earlier start */
};

struct registry;

struct registry *registry_create(void);
void registry_destroy(struct registry *registry);

bool registry_apply(struct registry *registry,
		    const struct registration *update, bool is_doubtful,
		    int64_t now_us);
bool registry_apply_vouched(struct registry *registry,
			    const struct registration *update, int64_t now_us);
void registry_apply_listing(struct registry *registry, const GPtrArray *list,
			    int64_t position, bool is_doubtful, int64_t now_us,
			    GPtrArray *changed);
void registry_step(struct registry *registry, int64_t doubted_before_us,
		   int64_t now_us, GPtrArray *changed);

bool endpoint_is_unconfirmed(const struct endpoint *endpoint);
bool endpoint_wants_status(const struct endpoint *endpoint, int64_t now_us);
void endpoint_note_status_ask(struct endpoint *endpoint, int64_t now_us);
bool registry_note_status(struct registry *registry, const char *id,
			  enum endpoint_status status, int64_t now_us);

void registry_rewind(struct registry *registry, int64_t now_us);
bool registry_mark_leaving(struct registry *registry, const char *id,
			   int64_t now_us);

bool registry_apply_cordon(struct registry *registry, const struct cordon *news,
			   int64_t now_us);
void registry_apply_cordon_listing(struct registry *registry,
				   const GPtrArray *list, int64_t position,
				   int64_t now_us, GPtrArray *changed);
void registry_step_cordons(struct registry *registry, int64_t now_us,
			   GPtrArray *changed);
struct cordon_set *registry_cordons(const struct registry *registry);
size_t registry_count_in_domain(const struct registry *registry,
				const char *failure_domain);

uint64_t endpoint_key(const char *id);
struct endpoint *registry_find(struct registry *registry, const char *id);
struct endpoint *registry_find_key(struct registry *registry, uint64_t key);
int64_t registry_era(const struct registry *registry);
const GPtrArray *registry_endpoints(const struct registry *registry);
bool registry_has_usable(const struct registry *registry);
size_t registry_count_usable(const struct registry *registry,
			     const char *service);
bool registry_has_cordoned(const struct registry *registry,
			   const char *service);

void registry_set_node_held(struct registry *registry, const char *node,
			    uint64_t incarnation, const GArray *held,
			    int64_t now_us);
void registry_expire_nodes(struct registry *registry, int64_t before_us);
struct held endpoint_total_load(const struct endpoint *endpoint);
const char *endpoint_presence_name(enum endpoint_presence presence);
bool endpoint_is_leaving(const struct endpoint *endpoint);
int64_t endpoint_under_notice_us(const struct endpoint *endpoint,
				 int64_t now_us);
bool endpoint_note_leaving(struct endpoint *endpoint, int64_t started_ms,
			   int64_t now_us);
bool endpoint_is_usable(const struct endpoint *endpoint);
bool endpoint_serves(const struct endpoint *endpoint, const char *service);
bool endpoint_is_cold(const struct endpoint *endpoint, int64_t cold_us,
		      int64_t now_us);
bool endpoint_has_unread_prompts(const struct endpoint *endpoint);
void endpoint_count_answer(struct endpoint *endpoint, bool is_error);

G_END_DECLS

#endif
