#ifndef CORE_GATEWAY_SERVICE_REACH_H
#define CORE_GATEWAY_SERVICE_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Whether this node reaches the endpoints of a service: it opens connections to
 * them. Connections that are open already say nothing about new ones. Whether
 * the node is cut off or the endpoints are down, only the others can tell.
 */
struct service_reach {
	uint64_t failed_key; /* endpoint that was not reached last */
	int64_t failed_us;   /* when; 0: not since the last connection */
	int64_t lost_us;     /* since when none is reached; 0: some are */
	int32_t returns;     /* connections since then */
};

/* A reachable endpoint accepts a connection sooner. */
#define SERVICE_REACH_PATIENCE_US (200 * 1000)

bool service_reach_note_failure(struct service_reach *reach,
				uint64_t endpoint_key, size_t endpoint_count,
				int64_t now_us);
bool service_reach_note_connected(struct service_reach *reach);
bool service_reach_is_lost(const struct service_reach *reach);

G_END_DECLS

#endif
