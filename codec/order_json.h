#ifndef CODEC_ORDER_JSON_H
#define CODEC_ORDER_JSON_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Orders that set the target of an engine, and the state that an engine
 * answers with; see docs/PROTOCOLS.md.
 */

struct order_state {
	char *target;
	bool loading;
	int64_t requests_running;
};

GBytes *order_json_format_request(int64_t fence, const char *target);
bool order_json_parse_state(GBytes *body, struct order_state *state,
			    struct error *error);
void order_state_clear(struct order_state *state);

G_END_DECLS

#endif
