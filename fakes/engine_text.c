#include "fakes/engine_text.h"

#include <math.h>
#include <string.h>

#define LENGTH_MARK "[[tokens="
#define MEDIAN_TOKENS 200
#define LOG_SIGMA 1.0

/* FNV-1a, 64 bits. */
uint64_t engine_text_hash(const char *text, size_t size)
{
	uint64_t hash = 0xcbf29ce484222325;

	for (size_t i = 0; i < size; i++)
		hash = (hash ^ (unsigned char)text[i]) * 0x100000001b3;
	return hash;
}

/* A number of the standard normal distribution, by Box and Muller. */
static double normal_from_hash(uint64_t hash)
{
	double u = ((hash >> 32) + 1) / 4294967297.0;
	double v = (hash & 0xffffffff) / 4294967296.0;

	return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

/*
 * How long the answer to a prompt is: N where the prompt says [[tokens=N]],
 * else lognormal, the same for the same prompt and seed. At least 1.
 */
int64_t engine_text_output_tokens(const char *prompt, uint64_t seed)
{
	const char *mark = strstr(prompt, LENGTH_MARK);
	uint64_t hash = engine_text_hash(prompt, strlen(prompt)) ^ seed;
	int64_t tokens;

	if (mark)
		tokens = g_ascii_strtoll(mark + strlen(LENGTH_MARK), NULL, 10);
	else
		tokens = MEDIAN_TOKENS *
			 exp(LOG_SIGMA * normal_from_hash(engine_text_hash(
						 (char *)&hash, sizeof(hash))));
	return MAX(tokens, 1);
}

/* Appends count tokens of a generation from offset first on: "g7.41 ". */
void engine_text_append(GString *text, const char *generation, int64_t first,
			int64_t count)
{
	for (int64_t i = first; i < first + count; i++)
		g_string_append_printf(text, "%s.%" G_GINT64_FORMAT " ",
				       generation, i);
}
