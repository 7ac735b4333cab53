#ifndef CODEC_ETCD_JSON_H
#define CODEC_ETCD_JSON_H

#include "core/base/error.h"
#include "ports/kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Requests and answers of etcd v3's JSON gateway: keys and values in base64,
 * 64-bit numbers as strings, members at their default left out.
 */

struct etcd_change {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t mod_revision;
};

struct etcd_watch_message {
	int64_t revision;
	bool canceled;	    /* the service ended the watch */
	GPtrArray *changes; /* struct etcd_change; NULL when none */
};

const char *etcd_json_path(enum kv_op op);
GBytes *etcd_json_format_request(const struct kv_request *request);
bool etcd_json_parse_answer(const struct kv_request *request, GBytes *body,
			    size_t max_bytes, struct kv_answer *answer,
			    struct error *error);

GBytes *etcd_json_format_watch(const char *key, int64_t start_revision);
bool etcd_json_parse_watch(GBytes *line, size_t max_bytes,
			   struct etcd_watch_message *message,
			   struct error *error);
void etcd_watch_message_clear(struct etcd_watch_message *message);

char *etcd_json_range_end(const char *prefix);
bool etcd_json_decode(const char *base64, GBytes **bytes);

G_END_DECLS

#endif
