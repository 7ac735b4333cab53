#ifndef CORE_ROLLOUT_ROLLOUT_INTERNAL_H
#define CORE_ROLLOUT_ROLLOUT_INTERNAL_H

#include "core/rollout/rollout.h"

G_BEGIN_DECLS

/*
 * The rollout's state and the functions its parts call in one another. Private
 * to core/rollout/:
 *
 *   rollout.c           life, batches, checks after the end
 *   rollout_endpoint.c  one endpoint: drained, ordered, read back
 *   rollout_store.c     what is kept in the key-value service
 */

enum {
	ROLLOUT_MAX_ORDERS = 3,
	ROLLOUT_READS_UNTIL_LOST = 10,
	ROLLOUT_READ_SPACING_US = 10 * 1000,
	ROLLOUT_STORE_RETRY_US = G_USEC_PER_SEC
};

enum endpoint_state {
	ENDPOINT_UNREAD,  /* not known what it runs */
	ENDPOINT_WAITING, /* runs something else */
	ENDPOINT_DRAINING,
	ENDPOINT_ORDERED, /* order in flight */
	ENDPOINT_LOADING, /* order taken, or its answer lost */
	ENDPOINT_READY,
	ENDPOINT_FAILED
};

struct rollout_endpoint {
	char *address;
	char *failure_domain;
	bool checks_fence;
	enum endpoint_state state;
	int64_t since_us; /* in this state */
	int64_t read_us;  /* next read */
	bool idle;	  /* drained: may be ordered */
	bool out_of_use;
	int64_t returned_us; /* until then some nodes may still spare it */
	int orders;
};

struct rollout {
	struct rollout_options options;
	char *id;
	char *target;
	char *key;
	struct holder *holder;
	GPtrArray *endpoints; /* struct rollout_endpoint, by failure domain */

	int64_t stepped_us; /* last rollout_step() */
	int64_t fence;	    /* under which the fields below hold; 0: none */
	int64_t held_since_us;
	int64_t begin_us; /* no batch before */
	int64_t next_order_us;
	int64_t next_verify_us;
	size_t next_verify;

	struct rollout_state state;
	int64_t stored_revision;
	bool loaded;	/* the stored state has been read under this fence */
	bool stale;	/* and must be again before it is written */
	bool dirty;	/* it differs from the one here */
	uint64_t kv_id; /* reading or writing it; 0: none */
	bool kv_is_write;
	int64_t kv_due_us;
};

struct rollout_endpoint *rollout_get(const struct rollout *rollout, size_t i);
struct rollout_endpoint *rollout_find(const struct rollout *rollout,
				      const char *address);
void rollout_add_effect(const struct rollout *rollout, GArray *effects,
			enum rollout_effect_type type,
			const struct rollout_endpoint *endpoint);
void rollout_stop(struct rollout *rollout, const char *reason);

/* rollout_endpoint.c */
void rollout_endpoint_set_state(struct rollout_endpoint *endpoint,
				enum endpoint_state state, int64_t now_us);
void rollout_take_out(const struct rollout *rollout,
		      struct rollout_endpoint *endpoint, GArray *effects);
void rollout_put_in(const struct rollout *rollout,
		    struct rollout_endpoint *endpoint, GArray *effects);
void rollout_endpoint_step(struct rollout *rollout,
			   struct rollout_endpoint *endpoint, int64_t now_us,
			   GArray *effects);
int64_t rollout_endpoint_due_us(const struct rollout *rollout,
				const struct rollout_endpoint *endpoint);

/* rollout_store.c */
void rollout_store_step(struct rollout *rollout, int64_t now_us,
			struct action_list *actions);

G_END_DECLS

#endif
