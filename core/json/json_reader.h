#ifndef CORE_JSON_JSON_READER_H
#define CORE_JSON_JSON_READER_H

#include "core/base/error.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Strict reading of JSON from outside the process. The first error is kept,
 * with the path and what was expected there. Later reads of the same fields
 * then do nothing, so that callers need to check only once at the end.
 */
struct json_fields {
	JsonObject *object;
	const char *step;
	char path[80];
	struct error *error;
	bool failed;
};

JsonNode *json_reader_parse(GBytes *document, size_t max_bytes,
			    const char *step, struct error *error);
JsonNode *json_reader_parse_lax(GBytes *document, size_t max_bytes,
				const char *step, struct error *error);
JsonNode *json_reader_parse_small(GBytes *document, int max_values,
				  const char *step, struct error *error);

bool json_fields_begin(struct json_fields *fields, JsonNode *node,
		       const char *step, struct error *error,
		       const char *path_format, ...) G_GNUC_PRINTF(5, 6);
void json_fields_fail(struct json_fields *fields, const char *name,
		      const char *expected);
void json_fields_allow_only(struct json_fields *fields,
			    const char *const *names);
bool json_fields_has(const struct json_fields *fields, const char *name);
const char *json_fields_string(struct json_fields *fields, const char *name,
			       size_t min_bytes, size_t max_bytes);
int64_t json_fields_int(struct json_fields *fields, const char *name,
			int64_t min, int64_t max, int64_t default_value);
bool json_fields_bool(struct json_fields *fields, const char *name,
		      bool default_value);
JsonArray *json_fields_array(struct json_fields *fields, const char *name);

G_END_DECLS

#endif
