#ifndef PORTS_PEER_MESSAGE_H
#define PORTS_PEER_MESSAGE_H

#include "ports/cordon.h"
#include "ports/refusal.h"
#include "ports/registration.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Records that nodes send to each other. Each names its sender. A record is a
 * hint or states facts about its sender; safety depends on none of them.
 */

enum peer_message_type {
	PEER_PING, /* probe; answered by a PEER_ACK with its number */
	PEER_ACK,
	PEER_PROBE,    /* asks the receiver to ping subject */
	PEER_PLACE,    /* entry node requests an endpoint from the home */
	PEER_PLACED,   /* home grants capacity on an endpoint, or queues */
	PEER_REFUSED,  /* home refuses the request */
	PEER_PROGRESS, /* entry node: grants it holds, tokens so far */
	PEER_RELEASE,  /* entry node: a grant has ended */
	PEER_CONFIG,   /* a configuration document and its revision */
	PEER_CONFIG_REQUEST,  /* requests a newer configuration, if any */
	PEER_LEAVING,	      /* these endpoints take no new requests */
	PEER_FAILURE_NOTICE,  /* an engine broke off a generation */
	PEER_LIMIT_REPORT,    /* sender's demand on organisations' limits */
	PEER_LIMIT_SHARE,     /* receiver's shares of organisations' limits */
	PEER_STANDING,	      /* gateway: its state and endpoint updates */
	PEER_ROUTES,	      /* gateway: its configuration document */
	PEER_CHOOSE,	      /* gateway: requests an engine from its home */
	PEER_CHOSEN,	      /* home: answer to PEER_CHOOSE */
	PEER_ROUTES_REQUEST,  /* gateway: requests newer routes, if any */
	PEER_CORDONS,	      /* gateway: failure domains under a cordon */
	PEER_ENDPOINT_LIMITS, /* gateway: limits that endpoints state */
	PEER_LOSSES,	      /* what endpoints ended under */
	PEER_REACH, /* gateway: services that the sender doesn't reach */
	PEER_ENDPOINT_FULL, /* gateway: a brittle endpoint rejects requests */
	PEER_ENDPOINT_LEAVING, /* gateway: an endpoint says that it leaves */
	PEER_ENDPOINT_SPEEDS,  /* gateway: how fast endpoints are */
	PEER_AWAIT,   /* gateway: waits at the home until an engine has room */
	PEER_WAITING, /* home: the request waits */
	PEER_UNAVAILABLE, /* home: the request can't be served in time */
	PEER_WITHDRAW,	  /* gateway: the request waits no longer */
	PEER_MESSAGE_TYPE_COUNT
};

enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING, /* draining: takes no new requests */
	MEMBER_DEAD
};

/* Membership entry of a node. */
struct member {
	char *name;
	uint64_t incarnation; /* drawn at random when the process starts */
	uint64_t version;     /* incremented by the member on each change */
	enum member_state state;
	char *http_address;
	char *peer_address;
	char *region;
	char *failure_domain;
	int64_t config_revision;
};

struct peer_place {
	uint64_t ticket;
	char *service;
	char *organisation;
	int32_t priority;
	int64_t prompt_tokens;
	int64_t max_tokens;
	int64_t deadline_in_us; /* relative to receipt; 0: none */
	uint64_t prefix_hash;
	uint64_t avoid_hash; /* endpoint that failed it last; 0: none */
	int64_t true_tokens; /* benches only */
};

struct peer_placed {
	uint64_t ticket;
	char *endpoint; /* "": queued at the home, no grant yet */
};

struct peer_refused {
	uint64_t ticket;
	enum refusal refusal;
	int64_t retry_after_us;
};

enum release_outcome {
	RELEASE_COMPLETE,
	RELEASE_CANCELLED,
	RELEASE_NOT_SENT,
	RELEASE_FAILED,	    /* the endpoint failed or stalled during the run */
	RELEASE_UNREACHABLE /* the endpoint could not be reached */
};

struct peer_release {
	uint64_t ticket;
	enum release_outcome outcome;
	int64_t tokens;
	int64_t duration_us;
};

/* One grant that the sender holds, with all data that a new home needs. */
struct peer_holding {
	uint64_t ticket;
	char *service;
	char *endpoint;
	char *organisation;
	int64_t prompt_tokens;
	int64_t max_tokens;
	int64_t tokens;
	int64_t true_tokens; /* benches only */
};

struct peer_progress {
	bool complete; /* holdings lists all the sender's grants of this home */
	GPtrArray *holdings; /* struct peer_holding */
};

struct peer_config {
	int64_t revision;
	GBytes *document;
};

struct peer_leaving {
	GPtrArray *endpoints; /* char * */
};

struct peer_failure_notice {
	uint64_t fingerprint;
	char *endpoint;
};

/* A node's demand on, or its share of, an organisation's limits. */
struct peer_limit {
	uint32_t organisation_hash; /* low bits of home_hash of the name */
	int64_t rate_per_ks;	    /* requests per 1,000 s */
	int64_t tokens;		    /* of concurrent requests */
};

struct peer_limits {
	GPtrArray *limits; /* struct peer_limit */
};

struct peer_probe {
	uint64_t number;
	char *subject;	    /* peer address to be probed; "" for ping and ack */
	GPtrArray *members; /* struct member: membership updates */
};

/* Load of the sender's gateway on an endpoint. */
struct peer_held {
	uint64_t endpoint_key; /* hash of the endpoint's registration id */
	int32_t requests;
	int32_t copies; /* backups of generations that the endpoint keeps */
	int64_t tokens;
	int64_t unread_tokens; /* of prompts without an answer yet */
};

/* State of a gateway: its routes, its load on endpoints, registrations. */
struct peer_standing {
	int64_t table_version; /* of the sender's routes; -1: none yet */
	uint64_t answered; /* held includes all PEER_CHOOSE up to this number */
	bool accepts_requests; /* accepts new requests */
	bool reaches_store;
	char *callers_address;	  /* where callers connect */
	GArray *held;		  /* struct peer_held: the complete load */
	GPtrArray *registrations; /* struct registration: some of them */
};

/* What an engine is requested for. */
enum choose_purpose {
	CHOOSE_RUN,
	CHOOSE_RUN_AND_BACKUP, /* and another engine that keeps a copy */
	CHOOSE_MOVE,	       /* a run whose engine is leaving */
	CHOOSE_DEFERRABLE_RUN, /* a run that leaves room for moves */
	CHOOSE_DEFERRABLE_RUN_AND_BACKUP,
	CHOOSE_PURPOSE_COUNT
};

/* Requests an engine for one generation. */
struct peer_choose {
	uint64_t number; /* increasing for each sender */
	char *service;
	char *failure_domain; /* of the sender, or of the leaving engine */
	int64_t tokens;	      /* held in memory at the expected end */
	int64_t prompt_tokens;
	enum choose_purpose purpose;
	GPtrArray *avoid; /* char *: ids of endpoints */
};

struct peer_chosen {
	uint64_t number;
	char *endpoint; /* id; "": the generation fits nowhere */
	char *backup;	/* id; "": none */
};

/* Waits for an engine for one generation; granted by PEER_CHOSEN. */
struct peer_await {
	struct peer_choose choose;
	char *organisation; /* "": none */
	int32_t rank;	    /* 0 is the most urgent */
	int64_t wait_us;    /* until its first event is due */
};

/* The request of this number waits, or waits no longer. */
struct peer_wait_notice {
	uint64_t number;
};

struct peer_unavailable {
	uint64_t number;
	int64_t retry_after_us; /* -1: not known */
};

/* All cordons that the sender knows, with those lifted lately. */
struct peer_cordons {
	GPtrArray *cordons; /* struct cordon */
};

/* The newest that the sender knows of a limit that an endpoint states. */
struct peer_endpoint_limit {
	uint64_t endpoint_key; /* hash of the endpoint's registration id */
	bool is_limited;
	int64_t rate_per_ks; /* requests of all nodes per 1,000 s */
	int64_t age_us;	     /* of the answer that said so */
};

struct peer_endpoint_limits {
	GArray *limits; /* struct peer_endpoint_limit */
};

/* What is known of an endpoint that broke off a run, a later value over an
 * earlier one. */
enum loss_state {
	LOSS_SUSPECTED, /* the run broke off; the endpoint may go on */
	LOSS_CONFIRMED, /* the endpoint has ended */
	LOSS_REFUTED,	/* it answered a request that was sent later */
	LOSS_STATE_COUNT
};

/* A run of a request that its endpoint didn't finish. */
struct peer_loss {
	uint64_t key;	    /* of the suspect */
	uint64_t owner_key; /* of the organisation that sent the request */
	uint64_t start_key; /* endpoint_start_key(); 0: only tells
			       cleared_age_us */
	enum loss_state state;
	int64_t age_us;
	bool is_cleared;
	int64_t cleared_age_us; /* older losses don't count; may be negative */
	int64_t trial_age_us;	/* of the request's last trial; -1: none */
};

struct peer_losses {
	GArray *losses; /* struct peer_loss */
};

/*
 * A brittle endpoint rejected a request, and how many rejections it bears; or
 * it is brittle no longer.
 */
struct peer_endpoint_full {
	uint64_t endpoint_key;
	bool is_over;
	int64_t rejections_per_ks; /* per 1,000 s */
};

/* An endpoint said to a node that it leaves. */
struct peer_endpoint_leaving {
	uint64_t endpoint_key;
	int64_t started_ms; /* of the start that said so; 0: unknown */
};

/* How fast the sender has found one start of an endpoint. */
struct peer_endpoint_speed {
	uint64_t endpoint_key; /* hash of the endpoint's registration id */
	int64_t started_ms;    /* of the start; 0: unknown */
	int64_t time_us;  /* of a token or a plain answer, without other load */
	int32_t evidence; /* observations behind it */
	int64_t age_us;	  /* of the last one */
};

struct peer_endpoint_speeds {
	GArray *speeds; /* struct peer_endpoint_speed */
};

/* What the sender reaches; services that are not listed it reaches. */
struct peer_reach {
	bool is_cut;	       /* it reaches no service that it used lately */
	GArray *lost_services; /* uint64_t: service_key of their names */
};

struct peer_message {
	enum peer_message_type type;
	char *from;	    /* name of the sender; "": find it by incarnation */
	char *from_address; /* its peer address; "": find it by incarnation */
	uint64_t incarnation;
	union {
		struct peer_probe probe; /* PING, ACK, PROBE */
		struct peer_place place;
		struct peer_placed placed;
		struct peer_refused refused;
		struct peer_progress progress;
		struct peer_release release;
		struct peer_config config; /* CONFIG, ROUTES, their requests */
		struct peer_standing standing;
		struct peer_choose choose;
		struct peer_chosen chosen;
		struct peer_await await;
		struct peer_wait_notice wait_notice; /* WAITING, WITHDRAW */
		struct peer_unavailable unavailable;
		struct peer_cordons cordons;
		struct peer_endpoint_limits endpoint_limits;
		struct peer_endpoint_speeds endpoint_speeds;
		struct peer_losses losses;
		struct peer_reach reach;
		struct peer_endpoint_full endpoint_full;
		struct peer_endpoint_leaving endpoint_leaving;
		struct peer_leaving leaving;
		struct peer_failure_notice failure_notice;
		struct peer_limits limits; /* LIMIT_REPORT, LIMIT_SHARE */
	};
};

struct peer_message *peer_message_create(enum peer_message_type type);
struct peer_message *
peer_message_copy_await(const struct peer_message *message);
void peer_message_destroy(struct peer_message *message);
const char *peer_message_type_name(enum peer_message_type type);

struct member *member_copy(const struct member *member);
void member_destroy(struct member *member);
GPtrArray *member_list_create(void); /* owns struct member */

struct peer_holding *peer_progress_add_holding(struct peer_progress *progress);
struct peer_held *peer_standing_add_held(struct peer_standing *standing,
					 uint64_t endpoint_key);
struct peer_limit *peer_limits_add(struct peer_limits *limits);

G_END_DECLS

#endif
