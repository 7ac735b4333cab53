#include "core/gateway/join_sync.h"

/* Mean number of senders. With 6, no node sends the list in 1 start of 400. */
#define MEAN_SENDERS 6.0

/*
 * Whether this node sends the new node the list of endpoints. others is the
 * number of nodes that receive messages of the new one, including this node;
 * draw is uniformly random in [0, 1).
 */
bool join_sync_is_sender(size_t others, double draw)
{
	return draw * (double)others < MEAN_SENDERS;
}
