#ifndef CORE_GATEWAY_ENDPOINT_LIMIT_H
#define CORE_GATEWAY_ENDPOINT_LIMIT_H

#include "core/limit/rate_share.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The limit on requests from all nodes together that an endpoint states in its
 * answers, for as long as it states it. Each node keeps what the newest answers
 * said, its own and those that other nodes tell of.
 */
struct endpoint_limit {
	bool is_limited;
	int64_t rate_per_ks; /* requests per 1,000 s, if limited */
	int64_t stated_us;   /* newest answer that said so; 0: none yet */
};

/* What one answer says about the endpoint's limit. */
enum limit_statement {
	LIMIT_UNKNOWN,	 /* nothing */
	LIMIT_UNSTATED,	 /* there is none */
	LIMIT_STATED,	 /* it is rate_per_ks */
	LIMIT_UNREADABLE /* there is one, with a value that has no meaning */
};

struct answered_limit {
	enum limit_statement statement;
	int64_t rate_per_ks;
};

/* Higher rates are treated as this one. */
#define LIMIT_MAX_PER_KS ((int64_t)1000 * 1000 * 1000)

/* How the nodes divide the requests within a limit. */
struct limit_division {
	int64_t span_us; /* the parts are for any span of this length */
	struct rate_parts parts;
	struct rate_parts spare; /* take-overs in any LIMIT_SPARE_SPAN_US */
};

#define LIMIT_SPARE_SPAN_US (4 * G_USEC_PER_SEC)

struct limit_division endpoint_limit_divide(const struct endpoint_limit *limit,
					    size_t most_nodes);
bool endpoint_limit_expire(struct endpoint_limit *limit, int64_t before_us);

bool endpoint_limit_apply(struct endpoint_limit *limit,
			  const struct endpoint_limit *news);
bool endpoint_limit_apply_answer(struct endpoint_limit *limit,
				 const struct answered_limit *answer,
				 int64_t now_us);

G_END_DECLS

#endif
