#ifndef PORTS_SINK_H
#define PORTS_SINK_H

#include "ports/event.h"

G_BEGIN_DECLS

/*
 * Callback by which an adapter delivers events to the core. It is called on the
 * loop's thread and never from inside an adapter's apply function: an adapter
 * that has a result at once defers it to the loop, because the core is not
 * re-entrant.
 */
struct event_sink {
	void (*deliver)(void *data, const struct event *event);
	void *data;
};

G_END_DECLS

#endif
