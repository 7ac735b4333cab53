#ifndef CORE_CONFIG_INTENT_JSON_H
#define CORE_CONFIG_INTENT_JSON_H

#include "core/base/error.h"
#include "core/config/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What an operator wants changed. An organisation without a key has an empty
 * key_sha256 here; a key given in clear is only kept as its digest.
 */
struct intent {
	struct config *items;
	GPtrArray *remove_services;	 /* char * */
	GPtrArray *remove_organisations; /* char * */
	GPtrArray *remove_rollouts;	 /* char * */
	GPtrArray *remove_routes;	 /* char * */
	bool has_callers;		 /* items->callers is wanted */
};

struct intent *intent_json_parse(GBytes *document, struct error *error);
bool intent_json_parse_rollback(GBytes *document, int64_t *revision);
void intent_destroy(struct intent *intent);

G_END_DECLS

#endif
