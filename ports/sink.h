#ifndef PORTS_SINK_H
#define PORTS_SINK_H

#include "ports/event.h"

G_BEGIN_DECLS

/*
 * Where an adapter delivers what it was told from outside. Called on the
 * loop's thread, never from inside an adapter's apply function: an adapter
 * that knows a result at once defers it to the loop, because the core is not
 * re-entrant.
 */
struct event_sink {
	void (*deliver)(void *data, const struct event *event);
	void *data;
};

G_END_DECLS

#endif
