#ifndef CORE_CONFIG_CONFIG_JSON_H
#define CORE_CONFIG_CONFIG_JSON_H

#include "core/config/config.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

enum { CONFIG_JSON_MAX_BYTES = 1 << 20 };

/*
 * The configuration as the JSON document kept in the key-value service.
 * Formatting is canonical: equal configurations give equal bytes.
 */
struct config *config_json_parse(GBytes *document, int64_t revision,
				 struct error *error);
GBytes *config_json_format(const struct config *config);

/*
 * What an operator wants changed. An organisation without a key has an empty
 * key_sha256 here; a key given in clear is only kept as its digest.
 */
struct intent {
	struct config *items;
	GPtrArray *remove_services;	 /* char * */
	GPtrArray *remove_organisations; /* char * */
	GPtrArray *remove_rollouts;	 /* char * */
};

struct intent *intent_json_parse(GBytes *document, struct error *error);
bool intent_json_parse_rollback(GBytes *document, int64_t *revision);
void intent_destroy(struct intent *intent);

G_END_DECLS

#endif
