#ifndef CORE_ROLLOUT_ROLLOUT_JSON_H
#define CORE_ROLLOUT_ROLLOUT_JSON_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* State of a rollout in the key-value service, which a new holder reads. */

enum rollout_phase { ROLLOUT_RUNNING, ROLLOUT_DONE, ROLLOUT_STOPPED };

struct rollout_state {
	enum rollout_phase phase;
	GPtrArray *failed; /* char *: addresses of failed endpoints */
	char *reason;	   /* why it stopped, or "" */
};

void rollout_state_init(struct rollout_state *state);
void rollout_state_clear(struct rollout_state *state);
bool rollout_json_parse(GBytes *document, struct rollout_state *state,
			struct error *error);
GBytes *rollout_json_format(const struct rollout_state *state);
const char *rollout_phase_name(enum rollout_phase phase);

G_END_DECLS

#endif
