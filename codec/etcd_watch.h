#ifndef CODEC_ETCD_WATCH_H
#define CODEC_ETCD_WATCH_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Watches of etcd v3's JSON gateway: one request, answered by a stream with
 * one message on each line.
 */

struct etcd_change {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t mod_revision;
};

struct etcd_watch_message {
	int64_t revision;
	bool canceled;	    /* the service has ended the watch */
	GPtrArray *changes; /* struct etcd_change; NULL: none */
};

GBytes *etcd_watch_format_request(const char *key, int64_t start_revision);
bool etcd_watch_message_parse(GBytes *line, size_t max_bytes,
			      struct etcd_watch_message *message,
			      struct error *error);
void etcd_watch_message_clear(struct etcd_watch_message *message);

G_END_DECLS

#endif
