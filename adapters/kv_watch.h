#ifndef ADAPTERS_KV_WATCH_H
#define ADAPTERS_KV_WATCH_H

#include "adapters/log.h"
#include "core/base/counters.h"
#include "ports/sink.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Watch of one key. It reads the key, then opens a stream from the next
 * revision on. It reads the key again whenever the stream breaks, and
 * periodically while the stream is open. It never delivers an older revision
 * after a newer one.
 */
struct kv_watch_options {
	SoupSession *session;
	const char *address;
	const char *key;
	size_t max_answer_bytes;
	int64_t resync_ms;	   /* between reads while the stream is open */
	uint64_t seed;		   /* of the jitter */
	struct log *log;	   /* may be NULL */
	struct counters *counters; /* may be NULL */
};

struct kv_watch;

struct kv_watch *kv_watch_create(const struct kv_watch_options *options,
				 const struct event_sink *sink);
void kv_watch_destroy(struct kv_watch *watch);
const char *kv_watch_key(const struct kv_watch *watch);

G_END_DECLS

#endif
