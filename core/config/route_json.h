#ifndef CORE_CONFIG_ROUTE_JSON_H
#define CORE_CONFIG_ROUTE_JSON_H

#include "core/base/error.h"
#include "core/config/config.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Reads and formats routes and callers' limits of documents and intents. */
bool route_json_read(struct config *config, JsonNode *node, guint i,
		     struct error *error);
void route_json_format(JsonBuilder *builder, const GPtrArray *routes);
bool caller_limits_json_read(struct caller_limits *limits, JsonNode *node,
			     struct error *error);
void caller_limits_json_format(JsonBuilder *builder,
			       const struct caller_limits *limits);

G_END_DECLS

#endif
