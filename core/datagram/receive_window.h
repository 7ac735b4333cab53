#ifndef CORE_DATAGRAM_RECEIVE_WINDOW_H
#define CORE_DATAGRAM_RECEIVE_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Numbers that a receive window still tells apart below the highest one. */
enum { RECEIVE_WINDOW_NUMBERS = 64 };

/*
 * The numbers of confirmed records that arrived from one session of a peer, so
 * that a record sent twice is delivered once. Zero-initialised: none.
 */
struct receive_window {
	uint32_t session;
	uint32_t highest;
	uint64_t seen; /* bit i: highest - i arrived */
};

bool receive_window_add(struct receive_window *window, uint32_t session,
			uint32_t number);

G_END_DECLS

#endif
