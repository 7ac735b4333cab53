#ifndef CORE_GATEWAY_READ_PROGRESS_H
#define CORE_GATEWAY_READ_PROGRESS_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A peer that takes no byte of what waits for it in this time is given up. */
#define READ_STALL_US (30 * G_USEC_PER_SEC)

/*
 * How a peer gets on with what was written to it. One that reads slowly makes
 * progress, one that doesn't read makes none.
 */
struct read_progress {
	int64_t taken_bytes; /* of all that was written, at the last note */
	int64_t since_us;    /* when that number was reached; 0: no note yet */
};

int64_t read_progress_note(struct read_progress *progress, int64_t taken_bytes,
			   int64_t now_us);

G_END_DECLS

#endif
