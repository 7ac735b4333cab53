#ifndef PORTS_PEER_MESSAGE_H
#define PORTS_PEER_MESSAGE_H

#include "ports/refusal.h"
#include "ports/registration.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Records between nodes. Each carries its sender; a record is a hint or a
 * statement of the sender about itself, and none is ever needed for safety.
 */

enum peer_message_type {
	PEER_PING, /* probe; answered by PEER_ACK of that number */
	PEER_ACK,
	PEER_PROBE,	   /* please ping subject for me */
	PEER_PLACE,	   /* entry node asks the home for an endpoint */
	PEER_PLACED,	   /* home grants room on an endpoint */
	PEER_REFUSED,	   /* home refuses */
	PEER_PROGRESS,	   /* entry node: tokens so far, also who is held */
	PEER_RELEASE,	   /* entry node: a grant has ended */
	PEER_CONFIG,	   /* a configuration document and its revision */
	PEER_CONFIG_ASK,   /* send me yours if it is newer */
	PEER_LEAVING,	   /* these endpoints take no new work */
	PEER_QUARANTINE,   /* fingerprint seen at a crash of an endpoint */
	PEER_LIMIT_REPORT, /* what is wanted of organisations\' limits */
	PEER_LIMIT_SHARE,  /* the receiver\'s shares of them */
	PEER_STANDING,	   /* gateway: what it holds, endpoints' news */
	PEER_ROUTES,	   /* gateway: its configuration document */
	PEER_CHOOSE,	   /* gateway: asks its home for an engine */
	PEER_CHOSEN,	   /* the home's answer */
	PEER_ROUTES_ASK,   /* gateway: send me yours if it is newer */
	PEER_MESSAGE_TYPES
};

enum member_state {
	MEMBER_LIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING, /* draining: no new work */
	MEMBER_DEAD
};

/* A node as others know it. */
struct member {
	char *name;
	uint64_t incarnation; /* random at each start of the process */
	uint64_t version;     /* raised by the member itself on each change */
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
	int64_t deadline_in_us; /* from now; 0: none */
	uint64_t prefix_hash;
	uint64_t avoid_hash; /* endpoint that just failed it; 0: none */
	int64_t true_tokens; /* benches only */
};

struct peer_placed {
	uint64_t ticket;
	char *endpoint; /* "": queued at the home, not granted yet */
};

struct peer_refused {
	uint64_t ticket;
	enum refusal refusal;
	int64_t retry_after_us;
};

enum release_outcome {
	RELEASE_WHOLE,
	RELEASE_CANCELLED,
	RELEASE_NOT_SENT,
	RELEASE_FAILED, /* endpoint failed or stalled while it ran */
	RELEASE_LOST	/* endpoint could not be reached at all */
};

struct peer_release {
	uint64_t ticket;
	enum release_outcome outcome;
	int64_t tokens;
	int64_t duration_us;
};

/* One grant that the sender holds, with all a new home needs to know. */
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
	bool complete;	     /* the sender holds nothing else of this home */
	GPtrArray *holdings; /* struct peer_holding */
};

struct peer_config {
	int64_t revision;
	GBytes *document;
};

struct peer_leaving {
	GPtrArray *endpoints; /* char * */
};

struct peer_quarantine {
	uint64_t fingerprint;
	char *endpoint;
};

/* Part of an organisation's limits: wanted, or granted. */
struct peer_limit {
	uint32_t organisation_hash; /* home_hash of its name, low bits */
	int64_t rate_per_ks;	    /* requests in 1,000 s */
	int64_t tokens;		    /* at once */
};

struct peer_limits {
	GPtrArray *limits; /* struct peer_limit */
};

struct peer_probe {
	uint64_t number;
	char *subject;	    /* peer address to be probed; "" for ping and ack */
	GPtrArray *members; /* struct member: what is being spread */
};

/* What the sender's gateway holds on an endpoint. */
struct peer_held {
	uint64_t endpoint_key; /* stands for the id of one start of it */
	int32_t requests;
	int32_t copies; /* backups of generations kept there */
	int64_t tokens;
	int64_t unread_tokens; /* of prompts that have no answer yet */
};

struct peer_standing {
	int64_t table_version; /* of its routes; -1: none yet */
	uint64_t answered;     /* its questions up to this one are in held */
	bool takes_work;
	bool reaches_store;
	char *callers_address;
	GArray *held;		  /* struct peer_held: all of it */
	GPtrArray *registrations; /* struct registration: some */
};

/* A generation that is to be placed. */
struct peer_choose {
	uint64_t number; /* rising, of the sender */
	char *service;
	char *failure_domain; /* of the sender */
	int64_t tokens;	      /* in memory at the expected end */
	int64_t prompt_tokens;
	bool wants_backup;
	GPtrArray *avoid; /* char *: ids of endpoints */
};

struct peer_chosen {
	uint64_t number;
	char *endpoint; /* id; "": none has room */
	char *backup;	/* id; "": none */
};

struct peer_message {
	enum peer_message_type type;
	char *from;	    /* name of the sending node; "": by incarnation */
	char *from_address; /* its peer address; "": by incarnation */
	uint64_t incarnation;
	union {
		struct peer_probe probe; /* PING, ACK, PROBE */
		struct peer_place place;
		struct peer_placed placed;
		struct peer_refused refused;
		struct peer_progress progress;
		struct peer_release release;
		struct peer_config config; /* CONFIG, ROUTES, and to ask */
		struct peer_standing standing;
		struct peer_choose choose;
		struct peer_chosen chosen;
		struct peer_leaving leaving;
		struct peer_quarantine quarantine;
		struct peer_limits limits; /* LIMIT_REPORT, LIMIT_SHARE */
	};
};

struct peer_message *peer_message_create(enum peer_message_type type);
void peer_message_destroy(struct peer_message *message);
const char *peer_message_type_name(enum peer_message_type type);

struct member *member_copy(const struct member *member);
void member_destroy(struct member *member);
GPtrArray *member_list_create(void); /* owns struct member */

struct peer_holding *peer_progress_add(struct peer_progress *progress);
struct peer_held *peer_standing_add(struct peer_standing *standing,
				    uint64_t endpoint_key);
struct peer_limit *peer_limits_add(struct peer_limits *limits);

G_END_DECLS

#endif
