#ifndef FAKES_FAKE_ENGINE_STATE_H
#define FAKES_FAKE_ENGINE_STATE_H

#include "fakes/engine_model.h"
#include "fakes/engine_runs.h"
#include "fakes/engine_stream.h"
#include "fakes/fake_server.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Internal to fake_engine.c and engine_admin.c. */
struct fake_engine {
	struct fake_server *server;
	struct engine_model *model;
	struct engine_model_options options;
	double time_scale;
	int64_t started_us;
	GSource *timer;
	GArray *outputs;
	GPtrArray *runs;     /* struct engine_run; id - 1 is the index */
	GHashTable *streams; /* id to struct engine_stream */

	bool crash;
	bool leaving;
	bool refuse;
	int64_t stall_ms;
	int64_t stall_link_ms;
	char *crash_on;
};

/* fake_engine.c */
int64_t fake_engine_now_us(const struct fake_engine *engine);

/* engine_admin.c */
void fake_engine_metrics(void *data, SoupServerMessage *message,
			 const char *path);
void fake_engine_cache_events(void *data, SoupServerMessage *message,
			      const char *path);
void fake_engine_orders(void *data, SoupServerMessage *message,
			const char *path);

G_END_DECLS

#endif
