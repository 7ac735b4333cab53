#include "adapters/gateway/answer_memory.h"

#include "core/gateway/held_bytes.h"

static struct held_bytes held;

/* Counts that an answer now holds after bytes, and held before bytes. */
void answer_memory_change(size_t before, size_t after)
{
	held_bytes_change(&held, before, after);
}

/* How much one answer may hold now, of at most most bytes. */
size_t answer_memory_share(size_t most)
{
	return held_bytes_share(&held, most);
}

/* How much all answers hold. */
size_t answer_memory_held(void)
{
	return held.total;
}
