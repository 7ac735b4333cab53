#ifndef CORE_CONFIG_CONFIG_FORMAT_H
#define CORE_CONFIG_CONFIG_FORMAT_H

#include "core/config/config.h"

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

void config_format(JsonBuilder *builder, const struct config *config);

G_END_DECLS

#endif
