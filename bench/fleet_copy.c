#include "bench/fleet_state.h"

#include <string.h>

/*
 * 163,840 bytes per token at 24 Gbit/s. A copy between failure
 * domains takes twice as long.
 */
#define COPY_MS_PER_TOKEN 0.0546

/* Drops a copy and releases its memory; does nothing without a copy. */
void fleet_copy_drop(struct fleet *fleet, struct fleet_copy *copy)
{
	if (!copy->holder)
		return;
	if (copy->holder->engine && copy->complete_us != INT64_MAX)
		fleet_engine_release_copy(copy->holder->engine, copy->tokens);
	fleet_add_load(fleet, copy->holder, 0, -copy->tokens, 0);
	memset(copy, 0, sizeof(*copy));
}

/*
 * Queues a copy on the links of both engines, behind earlier transfers. Returns
 * false if the target has left or has no memory for it.
 */
bool fleet_copy_begin(struct fleet *fleet, struct fleet_copy *copy,
		      struct fleet_server *from,
		      const struct fleet_engine_run *run)
{
	int64_t tokens = run->prompt_tokens + run->generated;
	double us = COPY_MS_PER_TOKEN * 1000 * (double)tokens;

	if (!fleet_server_serves(copy->holder) ||
	    !fleet_engine_reserve_copy(copy->holder->engine, copy->tokens))
		return false;
	if (strcmp(from->domain, copy->holder->domain) != 0)
		us *= 2;
	copy->generated = run->generated;
	copy->complete_us =
		MAX(MAX(from->link_free_us, copy->holder->link_free_us),
		    fleet->now_us) +
		(int64_t)(us);
	from->link_free_us = copy->complete_us;
	copy->holder->link_free_us = copy->complete_us;
	fleet->result->copied_tokens += tokens;
	return true;
}

/* Whether a copy is complete and the engine that holds it still runs. */
bool fleet_copy_is_usable(const struct fleet *fleet,
			  const struct fleet_copy *copy)
{
	return fleet_server_serves(copy->holder) &&
	       copy->complete_us <= fleet->now_us;
}
