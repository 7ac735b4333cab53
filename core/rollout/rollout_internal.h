#ifndef CORE_ROLLOUT_ROLLOUT_INTERNAL_H
#define CORE_ROLLOUT_ROLLOUT_INTERNAL_H

#include "core/rollout/rollout.h"

G_BEGIN_DECLS

/*
 * State of a rollout and the functions shared by its source files. Private to
 * core/rollout/:
 *
 *   rollout.c           creation, batches, checks after the end
 *   rollout_endpoint.c  draining, ordering and reading back one endpoint
 *   rollout_store.c     the state in the key-value service
 */

enum {
	ROLLOUT_MAX_ORDERS = 3,
	ROLLOUT_READS_UNTIL_UNREACHABLE = 10,
	ROLLOUT_READ_SPACING_US = 10 * 1000,
	ROLLOUT_STORE_RETRY_US = G_USEC_PER_SEC
};

enum endpoint_state {
	ENDPOINT_UNREAD,  /* its target has not been read yet */
	ENDPOINT_WAITING, /* runs another target */
	ENDPOINT_DRAINING,
	ENDPOINT_ORDERED, /* order in flight */
	ENDPOINT_LOADING, /* order accepted, or its answer lost */
	ENDPOINT_READY,
	ENDPOINT_FAILED
};

struct rollout_endpoint {
	char *address;
	char *failure_domain;
	bool checks_fence;
	enum endpoint_state state;
	int64_t state_since_us; /* when it entered the state */
	int64_t next_read_us;	/* when it is next read */
	bool drained;		/* runs no requests; may get the order */
	bool out_of_use;
	int64_t returning_until_us; /* other nodes may avoid it until then */
	int orders_sent;
};

struct rollout {
	struct rollout_options options;
	char *id;
	char *target;
	char *key;
	struct holder *holder;
	GPtrArray *endpoints; /* struct rollout_endpoint, sorted by domain */

	int64_t last_step_us; /* time of the last rollout_step() */
	int64_t fence; /* under which the fields below hold; 0: not holder */
	int64_t held_since_us;
	int64_t batches_from_us; /* no batch begins before this time */
	int64_t next_order_us;
	int64_t next_verify_us;
	size_t next_verify_index;

	struct rollout_state state;
	int64_t stored_revision;
	bool loaded;	/* stored state has been read under this fence */
	bool stale;	/* must be read again before a write */
	bool dirty;	/* differs from the stored state */
	uint64_t kv_id; /* read or write in flight; 0: none */
	bool kv_is_write;
	int64_t kv_due_us;
};

struct rollout_endpoint *rollout_get_endpoint(const struct rollout *rollout,
					      size_t i);
struct rollout_endpoint *rollout_find_endpoint(const struct rollout *rollout,
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
void rollout_put_back(const struct rollout *rollout,
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
