#ifndef ADAPTERS_PEER_LINK_H
#define ADAPTERS_PEER_LINK_H

#include "adapters/log.h"
#include "adapters/settings.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "ports/action.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Exchanges records between nodes: small ones in UDP packets, others over
 * ZeroMQ, where one ROUTER socket receives, and one DEALER socket for each
 * destination peer sends. Sending never blocks: a full or dead connection drops
 * records, and every protocol above tolerates the loss. Received records are
 * validated; an invalid one is counted, logged with step and peer, and dropped.
 */
struct peer_link_options {
	const char *address; /* host:port; port 0 binds a free one */
	uint32_t session;    /* drawn at random */
	enum peer_transport transport;
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
