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
 * Requests and answers of etcd v3's JSON gateway, except for watches; see
 * etcd_watch.h.
 */

const char *etcd_json_path(enum kv_op op);
GBytes *etcd_json_format_request(const struct kv_request *request);
bool etcd_json_parse_answer(const struct kv_request *request, GBytes *body,
			    size_t max_bytes, struct kv_answer *answer,
			    struct error *error);

char *etcd_json_range_end(const char *prefix);

G_END_DECLS

#endif
