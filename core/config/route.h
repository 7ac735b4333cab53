#ifndef CORE_CONFIG_ROUTE_H
#define CORE_CONFIG_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A route maps requests to services and limits their time and attempts. */

enum route_kind {
	ROUTE_IDEMPOTENT, /* may run more than once */
	ROUTE_ONCE,	  /* at most once */
	ROUTE_STREAM	  /* the answer is an event stream; at most once,
			     unless it is resumable */
};

struct route_target {
	char *service;
	int32_t weight;
};

struct route {
	char *name;
	char *host;	   /* in lower case */
	char *path_prefix; /* begins and ends with a slash */
	enum route_kind kind;
	bool is_resumable; /* a stream may run more than once, and go on after
			      any of its events */
	bool is_public;	   /* requires no key */
	int32_t priority;  /* 0 is the most urgent */
	int32_t max_attempts; /* most endpoints that may run one request */
	int64_t timeout_us;
	int64_t first_answer_us; /* until the first answer is due; 0: not set */
	int64_t longest_pause_us; /* between two events; 0: not set */
	GArray *targets;	  /* struct route_target */
	GPtrArray *regions; /* char *: may run only there; NULL: anywhere */
};

struct route *route_create(const char *name, const char *host,
			   const char *path_prefix);
struct route *route_copy(const struct route *other);
void route_destroy(struct route *route);
void route_add_target(struct route *route, const char *service, int32_t weight);
const char *route_pick_service(const struct route *route, double draw);
bool route_is_equal(const struct route *a, const struct route *b);
bool route_may_repeat(const struct route *route);
const char *route_kind_name(enum route_kind kind);
char *route_describe_targets(const struct route *route);

G_END_DECLS

#endif
