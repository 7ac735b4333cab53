#ifndef CORE_LIMIT_ORGANISATION_LIMITS_H
#define CORE_LIMIT_ORGANISATION_LIMITS_H

#include "core/config/config.h"
#include "core/limit/rate_share.h"
#include "ports/peer_message.h"
#include "ports/refusal.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Request rate and token limits of organisations, enforced by all nodes
 * together without a write per request. Each organisation has a home node.
 * Entry nodes periodically report their demand to it; the home divides the
 * limit max-min fairly by these reports, and each node then admits requests by
 * its own share alone. A node without a fresh share uses an equal part of the
 * limit, so that losing the home neither blocks an organisation nor lifts its
 * limit. The homes of several regions, or of the sides of a cut, share the
 * limit by their nodes.
 */
struct organisation_limits;

struct organisation_limits *organisation_limits_create(void);
void organisation_limits_destroy(struct organisation_limits *limits);

/* Called on entry nodes. */
enum refusal
organisation_limits_admit(struct organisation_limits *limits,
			  const struct config_organisation *organisation,
			  int64_t tokens, const struct rate_fleet *fleet,
			  int64_t now_us, int64_t *retry_after_us);
void organisation_limits_add_tokens(struct organisation_limits *limits,
				    const char *organisation, int64_t tokens);
void organisation_limits_report(struct organisation_limits *limits,
				const char *organisation, int64_t now_us,
				struct peer_limit *report);
GPtrArray *organisation_limits_list_active(struct organisation_limits *limits);
void organisation_limits_apply_share(struct organisation_limits *limits,
				     const char *organisation,
				     const struct peer_limit *share,
				     int64_t now_us);

/* Called on the home node. */
void organisation_limits_divide(struct organisation_limits *limits,
				const struct config_organisation *organisation,
				const struct rate_fleet *fleet,
				const char *node,
				const struct peer_limit *report, int64_t now_us,
				struct peer_limit *share);

G_END_DECLS

#endif
