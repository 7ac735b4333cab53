#ifndef CORE_CONFIG_CONFIG_JSON_H
#define CORE_CONFIG_CONFIG_JSON_H

#include "core/config/config.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

enum { CONFIG_JSON_MAX_BYTES = 1 << 20 };

/*
 * Converts the configuration from and to the JSON document stored in the
 * key-value service. Formatting is canonical: equal configurations give equal
 * bytes.
 */
struct config *config_json_parse(GBytes *document, int64_t revision,
				 struct error *error);
GBytes *config_json_format(const struct config *config);

G_END_DECLS

#endif
