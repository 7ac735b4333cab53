#ifndef CORE_CONFIG_CONFIG_FORMAT_H
#define CORE_CONFIG_CONFIG_FORMAT_H

#include "core/config/config.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

typedef void (*config_format_item)(JsonBuilder *builder, gconstpointer item);

void config_format_sorted_list(JsonBuilder *builder, const char *name,
			       const GPtrArray *items, config_format_item add);
void config_format(JsonBuilder *builder, const struct config *config);

G_END_DECLS

#endif
