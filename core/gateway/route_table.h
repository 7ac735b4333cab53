#ifndef CORE_GATEWAY_ROUTE_TABLE_H
#define CORE_GATEWAY_ROUTE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which requests go where: routes by host and path, the services behind them,
 * the organisations that may send, and what a caller may send at most. One
 * table is one version of the configuration; it never changes once it is
 * complete, and requests keep the one they began with.
 */

enum route_kind {
	ROUTE_IDEMPOTENT, /* may run more than once */
	ROUTE_ONCE,	  /* at most once */
	ROUTE_STREAM	  /* at most once; answered event by event */
};

struct route_target {
	char *service;
	int32_t weight;
};

struct route {
	char *name;
	char *host;
	char *path_prefix; /* begins and ends with a slash */
	enum route_kind kind;
	bool is_public;	      /* needs no key */
	int32_t priority;     /* 0 is the most urgent */
	int32_t max_attempts; /* endpoints that may run one request */
	int64_t timeout_us;
	int64_t first_answer_us;  /* on time up to here */
	int64_t longest_pause_us; /* between events; 0: not said */
	GArray *targets;	  /* struct route_target */
};

/* What a model engine of a service can do; slots 0: a plain service. */
struct engine_ability {
	int32_t slots;
	int64_t memory_tokens;
	int32_t tokens_per_event; /* of a stream */
	int64_t copy_keep_us;	  /* a copy of a generation is kept so long */
	bool can_move;
	bool can_back_up;
};

struct route_service {
	char *name;
	int32_t max_connections; /* to one endpoint, from all nodes; 0: any */
	struct engine_ability engine;
};

struct route_organisation {
	char *name;
	int32_t priority; /* -1: the route's counts */
};

struct caller_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

struct route_table;

struct route_table *route_table_create(int64_t version);
struct route_table *route_table_ref(struct route_table *table);
void route_table_unref(struct route_table *table);

struct route *route_table_add_route(struct route_table *table, const char *name,
				    const char *host, const char *path_prefix);
void route_add_target(struct route *route, const char *service, int32_t weight);
struct route_service *route_table_add_service(struct route_table *table,
					      const char *name);
struct route_organisation *
route_table_add_organisation(struct route_table *table, const char *name);
void route_table_add_key(struct route_table *table, const char *key,
			 const struct route_organisation *organisation);
struct caller_limits *route_table_limits(struct route_table *table);
void route_table_require_keys(struct route_table *table);

int64_t route_table_version(const struct route_table *table);
bool route_table_requires_keys(const struct route_table *table);
size_t route_table_route_count(const struct route_table *table);
const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *target);
const struct route_service *
route_table_find_service(const struct route_table *table, const char *name);
const struct route_organisation *
route_table_find_organisation(const struct route_table *table, const char *key);
const char *route_pick_service(const struct route *route, double draw);

G_END_DECLS

#endif
