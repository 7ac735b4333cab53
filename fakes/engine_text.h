#ifndef FAKES_ENGINE_TEXT_H
#define FAKES_ENGINE_TEXT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Output text of the fake engine. Each token contains its generation and its
 * offset, so that a test can detect an answer mixed from two runs.
 */
uint64_t engine_text_hash(const char *text, size_t size);
int64_t engine_text_output_tokens(const char *prompt, uint64_t seed);
void engine_text_append(GString *text, const char *generation, int64_t first,
			int64_t count);

G_END_DECLS

#endif
