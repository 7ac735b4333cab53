#include "core/gateway/read_progress.h"

/*
 * Notes how many bytes the peer has taken by now, while more wait for it.
 * Returns for how long, in us, it has taken none.
 */
int64_t read_progress_note(struct read_progress *progress, int64_t taken_bytes,
			   int64_t now_us)
{
	if (!progress->since_us || taken_bytes > progress->taken_bytes) {
		progress->taken_bytes = taken_bytes;
		progress->since_us = now_us;
	}
	return now_us - progress->since_us;
}
