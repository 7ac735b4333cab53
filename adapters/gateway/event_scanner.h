#ifndef ADAPTERS_GATEWAY_EVENT_SCANNER_H
#define ADAPTERS_GATEWAY_EVENT_SCANNER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Finds the whole events in the bytes of an event stream, so that none is
 * passed on in part: an engine may break off in the middle of one, and what
 * follows from another engine begins with a whole one.
 */
struct event_scanner;

/* id is -1 for an event without a number. False: stop reading. */
typedef bool (*event_scanner_function)(void *data, const char *bytes,
				       size_t size, int64_t id);

struct event_scanner *event_scanner_create(event_scanner_function found,
					   void *data);
void event_scanner_destroy(struct event_scanner *scanner);
bool event_scanner_feed(struct event_scanner *scanner, const char *bytes,
			size_t size);
void event_scanner_reset(struct event_scanner *scanner);
bool event_scanner_is_between(const struct event_scanner *scanner);

G_END_DECLS

#endif
