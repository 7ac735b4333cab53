#ifndef ADAPTERS_PEER_LINK_H
#define ADAPTERS_PEER_LINK_H

#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "ports/action.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Records between nodes over ZeroMQ: one ROUTER that receives, one DEALER for
 * each peer sent to, never blocking; a full or dead link drops records, which
 * every protocol above it survives. Records are checked on reading; a bad one
 * is counted, logged with step and peer, and dropped.
 */
struct peer_link_options {
	const char *address; /* host:port; port 0 takes a free one */
	int64_t max_record_bytes;
	struct log *log;
	struct counters *counters;
};

struct peer_link;

struct peer_link *peer_link_create(const struct peer_link_options *options,
				   const struct event_sink *sink,
				   struct error *error);
void peer_link_destroy(struct peer_link *link);
const char *peer_link_address(const struct peer_link *link);
void peer_link_send(struct peer_link *link, const GPtrArray *addresses,
		    const struct peer_message *message);
void peer_link_apply(struct peer_link *link, const struct action *action);

G_END_DECLS

#endif
