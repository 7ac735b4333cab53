#ifndef CORE_GATEWAY_TABLE_RELAY_H
#define CORE_GATEWAY_TABLE_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which of the nodes that hear of a peer with an older configuration hands it
 * the newer one. The document is tens of kB, and a peer's word goes to all
 * nodes a few times a second: with each of 87 answering, a node that was late
 * got some MB for each change, which kept its link and processor busy, and so
 * it stayed late.
 */
struct table_relay_input {
	int64_t behind_us;  /* since the peer was first heard to be behind */
	bool reaches_store; /* the peer, by its own word: it reads it itself */
	size_t others;	    /* nodes that hear the peer, this one included */
	double draw;	    /* even in [0, 1) */
};

bool table_relay_is_wanted(const struct table_relay_input *input);

G_END_DECLS

#endif
