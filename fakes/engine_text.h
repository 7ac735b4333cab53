#ifndef FAKES_ENGINE_TEXT_H
#define FAKES_ENGINE_TEXT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What a fake engine says: each token names its generation and its offset,
 * so that an answer put together from two runs shows.
 */
uint64_t engine_text_hash(const char *text, size_t size);
int64_t engine_text_output_tokens(const char *prompt, uint64_t seed);
void engine_text_append(GString *text, const char *generation, int64_t first,
			int64_t count);

G_END_DECLS

#endif
