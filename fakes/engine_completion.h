#ifndef FAKES_ENGINE_COMPLETION_H
#define FAKES_ENGINE_COMPLETION_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A parsed completion or chat completion request. */
struct engine_completion {
	GString *prompt;
	int64_t max_tokens;
	bool chat;
};

bool engine_completion_read(struct engine_completion *completion,
			    const char *path, JsonObject *body);
void engine_completion_clear(struct engine_completion *completion);

G_END_DECLS

#endif
