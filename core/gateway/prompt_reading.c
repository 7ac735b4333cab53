#include "core/gateway/prompt_reading.h"

/*
 * An engine reads about 7 prompt tokens per ms beside running generations, half
 * of what it reads when it does nothing else.
 */
#define TOKENS_PER_MS 7

/* Returns how long an engine of usual speed reads that many prompt tokens. */
int64_t prompt_reading_us(int64_t tokens)
{
	return tokens * 1000 / TOKENS_PER_MS;
}
