#ifndef CORE_CONFIG_CONFIG_READ_H
#define CORE_CONFIG_CONFIG_READ_H

#include "core/base/error.h"
#include "core/config/config.h"
#include "core/json/json_reader.h"

#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/* Reads the items that stored documents and intents share from JSON. */
enum { CONFIG_MAX_NAME_BYTES = 128, CONFIG_DEFAULT_SLOTS = 8 };
enum { CONFIG_DEFAULT_READY_PERCENT = 50 };

const char *config_read_name(struct json_fields *fields, const char *name,
			     size_t min_bytes);
bool config_read_items(struct config *config, struct json_fields *fields,
		       bool is_intent, struct error *error);

G_END_DECLS

#endif
