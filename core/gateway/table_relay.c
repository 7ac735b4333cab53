#include "core/gateway/table_relay.h"

/*
 * A node that reaches the store has a change from its own watch, within some
 * 10 ms as a rule. After this it is helped all the same: a configuration is to
 * be in force everywhere within 2 s.
 */
#define OWN_WATCH_US (600 * 1000)

/*
 * Nodes that answer one word of a peer, on average. All of three are lost or
 * drawn by nobody once in twenty; the peer's next word comes within the period
 * of standings.
 */
#define COPIES 3.0

/* Whether this node sends the newer configuration now. */
bool table_relay_is_wanted(const struct table_relay_input *input)
{
	if (input->reaches_store && input->behind_us < OWN_WATCH_US)
		return false;
	return input->draw * (double)input->others < COPIES;
}
