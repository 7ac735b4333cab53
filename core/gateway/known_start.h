#ifndef CORE_GATEWAY_KNOWN_START_H
#define CORE_GATEWAY_KNOWN_START_H

#include "core/base/endpoint_start.h"
#include "core/gateway/registry.h"
#include "core/limit/quarantine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A start of an endpoint as this node knew it at one moment. Memory that it
 * keeps of a run is of use as long as it lives.
 *
 * A refused connection, another process at its address, or its registration
 * tell that a start has ended. A reset connection tells of that connection
 * alone, and other nodes don't say what they have seen: the ends that these
 * count as are in doubt.
 */
struct known_start {
	struct endpoint_start start;
	int64_t known_us;     /* when it was first seen */
	int32_t certain_ends; /* of the endpoint, counted up to that moment */
};

struct known_start known_start_read(const struct endpoint *endpoint,
				    const struct quarantine *quarantine);
bool known_start_is_current(const struct known_start *known,
			    const struct endpoint *endpoint,
			    const struct quarantine *quarantine);
bool known_start_may_live(const struct known_start *known,
			  const struct endpoint *endpoint);

G_END_DECLS

#endif
