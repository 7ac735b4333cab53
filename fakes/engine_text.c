#include "fakes/engine_text.h"

#include <math.h>
#include <string.h>

#define LENGTH_DIRECTIVE "[[tokens="
#define MEDIAN_TOKENS 200
#define LOG_SIGMA 1.0

/* Returns the 64-bit FNV-1a hash of size bytes. */
uint64_t engine_text_hash(const char *text, size_t size)
{
	uint64_t hash = 0xcbf29ce484222325;

	for (size_t i = 0; i < size; i++)
		hash = (hash ^ (unsigned char)text[i]) * 0x100000001b3;
	return hash;
}

/* Maps a hash to the standard normal distribution (Box-Muller transform). */
static double normal_from_hash(uint64_t hash)
{
	double u = ((hash >> 32) + 1) / 4294967297.0;
	double v = (hash & 0xffffffff) / 4294967296.0;

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

/*
 * Returns the output length for a prompt, at least 1: N if the prompt contains
 * [[tokens=N]], else a lognormal length that depends only on the prompt and
 * the seed.
 */
int64_t engine_text_output_tokens(const char *prompt, uint64_t seed)
{
	const char *directive = strstr(prompt, LENGTH_DIRECTIVE);
	uint64_t hash = engine_text_hash(prompt, strlen(prompt)) ^ seed;
	int64_t tokens;

	if (directive)
		tokens = g_ascii_strtoll(directive + strlen(LENGTH_DIRECTIVE),
					 NULL, 10);
	else
		tokens = MEDIAN_TOKENS *
			 exp(LOG_SIGMA * normal_from_hash(engine_text_hash(
						 (char *)&hash, sizeof(hash))));
	return MAX(tokens, 1);
}

/*
 * Appends count tokens of a generation, starting at offset first. A token
 * looks like "g7.41 ".
 */
void engine_text_append(GString *text, const char *generation, int64_t first,
			int64_t count)
{
	for (int64_t i = first; i < first + count; i++)
		g_string_append_printf(text, "%s.%" G_GINT64_FORMAT " ",
				       generation, i);
}
