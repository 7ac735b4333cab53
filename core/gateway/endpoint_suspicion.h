#ifndef CORE_GATEWAY_ENDPOINT_SUSPICION_H
#define CORE_GATEWAY_ENDPOINT_SUSPICION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Puts an endpoint aside after failure notices: nodes notify one another when
 * an endpoint aborts a request. An endpoint that aborts requests at once looks
 * empty and so receives most new requests. If each node had to detect this by
 * itself, the requests of all nodes would be lost there one after the other.
 *
 * Two nodes must agree, since a single node may itself be cut off from the
 * endpoint.
 */
struct endpoint_suspicion {
	uint64_t reporter; /* node of the last notice; 0: none */
	int64_t reported_us;
	int64_t until_us; /* no new requests before this */
	int64_t aside_us; /* length of the last time aside */
};

bool endpoint_suspicion_add_notice(struct endpoint_suspicion *suspicion,
				   uint64_t reporter, int64_t now_us);
bool endpoint_suspicion_allows(const struct endpoint_suspicion *suspicion,
			       int64_t now_us);

G_END_DECLS

#endif
