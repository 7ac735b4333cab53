#ifndef CORE_CONFIG_CONFIG_H
#define CORE_CONFIG_CONFIG_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The configuration that operators confirm: one document under one key of
 * the key-value service. Immutable once built and shared by reference count.
 */

enum service_kind { SERVICE_GENERATION, SERVICE_PLAIN };

struct config_endpoint {
	char *address; /* host:port */
	char *failure_domain;
	char *region;
	int64_t capacity_tokens; /* engines; 0: taken from the load report */
	int32_t slots;		 /* plain endpoints: calls at once */
	bool checks_fence;	 /* refuses orders with an old number */
	bool leaving;
};

struct config_service {
	char *name; /* the model's name for engines */
	enum service_kind kind;
	GPtrArray *endpoints; /* struct config_endpoint */
};

struct config_organisation {
	char *name;
	char *key_sha256; /* hex digest of the bearer key */
	int32_t priority; /* 0 lowest to 9 */
	int32_t weight;	  /* share of waiting room, at least 1 */
	int32_t requests_per_s;
	int64_t concurrent_tokens;
};

/* A target that the engines of a service are to be brought to. */
struct config_rollout {
	char *name;
	char *service;
	char *target;		   /* model, adapter, version or role */
	char *id;		   /* plan that set it so */
	int32_t max_parallel;	   /* endpoints out of use at once */
	int32_t min_ready_percent; /* of the service's, always in use */
	int32_t max_failures;	   /* stops above */
};

/* One earlier confirmation, kept in the documents that came after it. */
struct config_confirmation {
	int64_t base_revision; /* it was confirmed on */
	char *plan_id;
	char *confirmed_by;
	int64_t confirmed_s; /* by the confirming node's clock */
	char *summary;
};

/* Whether a plan took effect, as far as a configuration can tell. */
enum plan_effect { PLAN_EFFECT_UNKNOWN, PLAN_EFFECT_NO, PLAN_EFFECT_YES };

enum { CONFIG_HISTORY_MAX = 32 };

struct config {
	int64_t revision; /* revision of the key; 0 before it is stored */
	char *plan_id;	  /* plan whose confirmation wrote it */
	char *confirmed_by;
	GPtrArray *services;	  /* struct config_service */
	GPtrArray *organisations; /* struct config_organisation */
	GPtrArray *rollouts;	  /* struct config_rollout */
	GPtrArray *history;	  /* struct config_confirmation, oldest first */
};

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
const struct config_rollout *config_find_rollout(const struct config *config,
						 const char *name);
struct config_confirmation *config_add_confirmation(struct config *config,
						    int64_t base_revision,
						    const char *plan_id,
						    const char *confirmed_by,
						    const char *summary);
enum plan_effect config_find_plan(const struct config *config,
				  const char *plan_id, int64_t base_revision,
				  int64_t *revision);
int64_t config_confirmation_revision(const struct config *config, guint i);
bool config_check(const struct config *config, const char *step,
		  struct error *error);
bool config_check_names(const struct config *config, const char *step,
			struct error *error);

const struct config_service *config_find_service(const struct config *config,
						 const char *name);
const struct config_endpoint *
config_service_find_endpoint(const struct config_service *service,
			     const char *address);
const struct config_organisation *
config_find_organisation(const struct config *config, const char *name);
const struct config_organisation *config_find_key(const struct config *config,
						  const char *bearer);

G_END_DECLS

#endif
