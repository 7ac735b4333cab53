#ifndef FAKES_ENGINE_RUNS_H
#define FAKES_ENGINE_RUNS_H

#include "fakes/engine_stream.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* An entry of GET /fake/runs. It is kept after its generation has ended. */
struct engine_run {
	char *request_id;
	char *prompt_head;
	char *generation;
	int64_t tokens;
	enum engine_stream_state state;
};

GPtrArray *engine_runs_create(void);
struct engine_run *engine_runs_add(GPtrArray *runs, const char *request_id,
				   const char *prompt, uint64_t seed);
JsonBuilder *engine_runs_describe(const GPtrArray *runs);

G_END_DECLS

#endif
