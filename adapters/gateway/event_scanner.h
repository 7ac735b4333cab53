#ifndef ADAPTERS_GATEWAY_EVENT_SCANNER_H
#define ADAPTERS_GATEWAY_EVENT_SCANNER_H

#include "core/gateway/held_bytes.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Bounds the memory an engine can use by never ending an event. */
#define MAX_EVENT_BYTES (1 << 20)

/*
 * Splits the bytes of an event stream (text/event-stream) into complete events,
 * so that no partial event is forwarded: an engine may fail in the middle of an
 * event, and the engine that continues starts with a complete one.
 */
struct event_scanner;

/* id is -1 for an event without a numeric id. False: stop reading. */
typedef bool (*event_scanner_callback)(void *data, const char *bytes,
				       size_t size, int64_t id);

struct event_scanner *event_scanner_create(event_scanner_callback on_event,
					   void *data, struct held_bytes *held);
void event_scanner_destroy(struct event_scanner *scanner);
bool event_scanner_feed(struct event_scanner *scanner, const char *bytes,
			size_t size);
void event_scanner_reset(struct event_scanner *scanner);
bool event_scanner_is_overfull(const struct event_scanner *scanner);
size_t event_scanner_exceeded(const struct event_scanner *scanner);
bool event_scanner_at_boundary(const struct event_scanner *scanner);
bool event_scanner_has_event(const struct event_scanner *scanner);

G_END_DECLS

#endif
