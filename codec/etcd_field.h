#ifndef CODEC_ETCD_FIELD_H
#define CODEC_ETCD_FIELD_H

#include "core/base/error.h"
#include "core/json/json_reader.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Members in the encoding of etcd v3's JSON gateway: keys and values in
 * base64, 64-bit numbers as strings, members with their default value omitted.
 * A reader marks the fields as failed when a member is invalid; see
 * json_reader.h.
 */

extern const char etcd_field_step[]; /* step of parse errors */

void etcd_field_add_bytes(JsonBuilder *builder, const char *name,
			  const void *data, size_t size);
void etcd_field_add_key(JsonBuilder *builder, const char *name,
			const char *key);
void etcd_field_add_int64(JsonBuilder *builder, const char *name,
			  int64_t value);

bool etcd_field_decode(const char *base64, GBytes **bytes);
int64_t etcd_field_int64(struct json_fields *fields, const char *name);
GBytes *etcd_field_bytes(struct json_fields *fields, const char *name);
char *etcd_field_key(struct json_fields *fields);
JsonNode *etcd_field_object(struct json_fields *fields, const char *name);
int64_t etcd_field_revision(struct json_fields *fields, struct error *error);
bool etcd_field_enter_result(struct json_fields *fields, struct error *error);

G_END_DECLS

#endif
