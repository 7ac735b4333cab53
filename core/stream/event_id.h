#ifndef CORE_STREAM_EVENT_ID_H
#define CORE_STREAM_EVENT_ID_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The id of an event in a caller's stream. It names the endpoint, the
 * generation and the number of tokens delivered so far. It is signed with a key
 * that all nodes share and bound to the organisation: any node can resume the
 * stream from it, and an id that is forged or belongs to another organisation
 * is refused.
 */
struct event_id {
	char endpoint[64];
	char generation[96];
	int64_t token_count;
};

bool event_id_is_safe_name(const char *text, size_t max_length);
char *event_id_format(const struct event_id *id, const char *organisation,
		      const char *key);
bool event_id_parse(struct event_id *id, const char *text,
		    const char *organisation, const char *key);

G_END_DECLS

#endif
