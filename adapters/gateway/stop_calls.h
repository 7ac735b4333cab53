#ifndef ADAPTERS_GATEWAY_STOP_CALLS_H
#define ADAPTERS_GATEWAY_STOP_CALLS_H

#include "adapters/gateway/copy_call.h"
#include "core/gateway/run_end.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The calls with which one request's runs are stopped, and what became of them
 * at each engine. A call without an answer stays open beside a newer one: it
 * may have stopped the run, and names what the engine keeps of it.
 */

struct stop_answer {
	const char *endpoint_id; /* of the engine that was asked */
	const char *target_id;	 /* of the copy's target; NULL: not known */
	const struct copy_answer *copy;
};

struct stop_calls_events {
	/* The engine has accepted a call's connection; may be repeated. */
	void (*connected)(void *data, const char *endpoint_id);
	/* A call is over. The calls may be destroyed during this. */
	void (*answered)(void *data, const struct stop_answer *answer);
};

struct stop_calls;

struct stop_calls *stop_calls_create(const struct stop_calls_events *events,
				     void *data);
void stop_calls_destroy(struct stop_calls *calls);
bool stop_calls_start(struct stop_calls *calls,
		      const struct copy_call_options *options,
		      const char *target_id, struct error *error);
struct run_end *stop_calls_take_end(struct stop_calls *calls,
				    const char *endpoint_id);
struct run_end *stop_calls_find_end(const struct stop_calls *calls,
				    const char *endpoint_id);
bool stop_calls_may_have_stopped(const struct stop_calls *calls,
				 const char *endpoint_id);
int64_t stop_calls_started_us(const struct stop_calls *calls,
			      const char *endpoint_id);
void stop_calls_give_up(struct stop_calls *calls, const char *endpoint_id,
			bool only_unsent);

G_END_DECLS

#endif
