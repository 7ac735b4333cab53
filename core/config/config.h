#ifndef CORE_CONFIG_CONFIG_H
#define CORE_CONFIG_CONFIG_H

#include "core/base/error.h"
#include "core/config/route.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The configuration that operators confirm, stored as one document under one
 * key of the key-value service. It is immutable once built and is shared by
 * reference count.
 */

enum service_kind { SERVICE_GENERATION, SERVICE_PLAIN };

struct config_endpoint {
	char *address; /* host:port */
	char *failure_domain;
	char *region;
	int64_t capacity_tokens; /* of engines; 0: from the load report */
	int32_t slots;		 /* of plain endpoints: concurrent requests */
	bool checks_fence;	 /* refuses orders with an old fencing number */
	bool leaving;
};

/* What the engines of a service support; slots 0: a plain service. */
struct engine_capabilities {
	int32_t slots;
	int64_t memory_tokens;
	int32_t tokens_per_event; /* in a stream */
	int64_t copy_keep_us;	  /* lifetime of a generation's copy */
	bool can_move;
	bool can_back_up;
};

struct config_service {
	char *name; /* for engines, the name of their model */
	enum service_kind kind;
	char *status_path;    /* endpoints tell there whether they serve; NULL:
				 they can't be asked */
	GPtrArray *endpoints; /* struct config_endpoint */
	int32_t max_connections; /* per endpoint, all nodes; 0: no limit */
	int64_t warmup_us;	 /* how long an endpoint is cold */
	int64_t warmup_per_ks;	 /* requests per 1,000 s to a cold one, all
				    nodes; 0: no limit */
	struct engine_capabilities engine;
};

struct config_organisation {
	char *name;
	char *key_sha256;     /* hex digest of the bearer key */
	GPtrArray *more_keys; /* char *: digests of further valid keys */
	int32_t priority;     /* from 0, the lowest, to 9 */
	int32_t weight;	      /* relative share of the wait queue, at least 1 */
	int32_t requests_per_s;
	int64_t concurrent_tokens;
	int32_t route_priority; /* 0 is the most urgent; -1: the route's */
	GPtrArray *regions;	/* char *: runs only there; NULL: anywhere */
};

/* Size limits and timeouts of the requests that callers send to routes. */
struct caller_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_us;
	int64_t idle_timeout_us;
};

/* A target state that all engines of a service are to reach. */
struct config_rollout {
	char *name;
	char *service;
	char *target;	      /* model, adapter, version or role */
	char *id;	      /* id of the plan that last set the rollout */
	int32_t max_parallel; /* endpoints out of use at a time */
	int32_t min_ready_percent; /* share of endpoints kept in use */
	int32_t max_failures;	   /* the rollout stops above this */
};

/* One confirmation, kept in the history of the documents that follow it. */
struct config_confirmation {
	int64_t base_revision; /* revision it was confirmed on */
	char *plan_id;
	char *confirmed_by;
	int64_t confirmed_s; /* by the confirming node's clock */
	char *summary;
};

/* Whether a plan took effect, as the history of a configuration shows. */
enum plan_effect { PLAN_EFFECT_UNKNOWN, PLAN_EFFECT_NO, PLAN_EFFECT_YES };

enum { CONFIG_HISTORY_MAX = 32 };

extern const struct caller_limits caller_limits_default;

struct config {
	int64_t revision; /* of the key; 0 until it is stored */
	char *plan_id;	  /* the plan that wrote this revision */
	char *confirmed_by;
	GPtrArray *services;	  /* struct config_service */
	GPtrArray *organisations; /* struct config_organisation */
	GPtrArray *rollouts;	  /* struct config_rollout */
	GPtrArray *routes;	  /* struct route */
	struct caller_limits callers;
	bool requires_keys; /* routes that are not public require a key */
	GPtrArray *history; /* struct config_confirmation, oldest first */
};

const char *service_kind_name(enum service_kind kind);

struct config *config_create(void);
struct config *config_ref(struct config *config);
void config_unref(struct config *config);

struct config_service *config_add_service(struct config *config,
					  const char *name,
					  enum service_kind kind);
struct config_endpoint *
config_service_add_endpoint(struct config_service *service,
			    const char *address);
struct config_organisation *config_add_organisation(struct config *config,
						    const char *name);

struct config_rollout *config_add_rollout(struct config *config,
					  const char *name);
struct route *config_add_route(struct config *config, const char *name,
			       const char *host, const char *path_prefix);
const struct route *config_find_route(const struct config *config,
				      const char *name);
void config_organisation_add_key(struct config_organisation *organisation,
				 const char *key);
const struct config_rollout *config_find_rollout(const struct config *config,
						 const char *name);
struct config_confirmation *config_add_confirmation(struct config *config,
						    int64_t base_revision,
						    const char *plan_id,
						    const char *confirmed_by,
						    const char *summary);
enum plan_effect config_find_plan_effect(const struct config *config,
					 const char *plan_id,
					 int64_t base_revision,
					 int64_t *revision);
int64_t config_confirmation_revision(const struct config *config, guint i);
const struct config_service *config_find_service(const struct config *config,
						 const char *name);
const struct config_endpoint *
config_service_find_endpoint(const struct config_service *service,
			     const char *address);
const struct config_organisation *
config_find_organisation(const struct config *config, const char *name);
const struct config_organisation *
config_find_key_owner(const struct config *config, const char *bearer);

G_END_DECLS

#endif
