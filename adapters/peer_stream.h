#ifndef ADAPTERS_PEER_STREAM_H
#define ADAPTERS_PEER_STREAM_H

#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/base/error.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Exchanges records between nodes over ZeroMQ: one ROUTER socket receives, and
 * one DEALER socket for each destination peer sends. Records to a peer keep
 * their order. Sending never blocks: a full or dead connection drops records.
 */
struct peer_stream_options {
	const char *address; /* host:port; port 0 binds a free one */
	int64_t max_record_bytes;
	struct log *log;
	struct counters *counters;
	void *data;
	void (*receive)(void *data, const char *peer, const void *record,
			size_t record_bytes);
	/* Reports a message that is not a record. */
	void (*reject)(void *data, const struct error *error);
};

struct peer_stream;

struct peer_stream *
peer_stream_create(const struct peer_stream_options *options,
		   struct error *error);
void peer_stream_destroy(struct peer_stream *stream);
const char *peer_stream_address(const struct peer_stream *stream);
void peer_stream_send(struct peer_stream *stream, const char *address,
		      GBytes *record);

G_END_DECLS

#endif
