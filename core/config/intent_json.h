#ifndef CORE_CONFIG_INTENT_JSON_H
#define CORE_CONFIG_INTENT_JSON_H

#include "core/base/error.h"
#include "core/config/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The changes that an operator requests. An organisation given without a key
 * has an empty key_sha256; of a key given in clear only the digest is kept.
 */
struct intent {
	struct config *items;
	GPtrArray *remove_services;	 /* char * */
	GPtrArray *remove_organisations; /* char * */
	GPtrArray *remove_rollouts;	 /* char * */
	GPtrArray *remove_routes;	 /* char * */
	bool has_caller_limits;		 /* items->callers is to be applied */
};

struct intent *intent_json_parse(GBytes *document, struct error *error);
bool intent_json_parse_rollback(GBytes *document, int64_t *revision);
void intent_destroy(struct intent *intent);

G_END_DECLS

#endif
