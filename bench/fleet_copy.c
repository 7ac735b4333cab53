#include "bench/fleet_state.h"

#include <string.h>

/* 163,840 bytes a token on 24 Gbit/s; twice that between failure domains. */
#define COPY_US_PER_TOKEN 0.0546

/* Gives up a copy and its room, if there is one. */
void fleet_copy_drop(struct fleet *fleet, struct fleet_copy *copy)
{
	if (!copy->at)
		return;
	if (copy->at->engine && copy->whole_us != INT64_MAX)
		fleet_engine_drop_copy(copy->at->engine, copy->tokens);
	fleet_count_held(fleet, copy->at, 0, -copy->tokens, 0);
	memset(copy, 0, sizeof(*copy));
}

/* Sends a copy over the links of both engines, behind what they carry. */
bool fleet_copy_begin(struct fleet *fleet, struct fleet_copy *copy,
		      struct fleet_server *from, const struct fleet_run_at *run)
{
	int64_t tokens = run->prompt_tokens + run->made;
	double us = COPY_US_PER_TOKEN * 1000 * (double)tokens;

	if (!fleet_server_serves(copy->at) ||
	    !fleet_engine_keep_copy(copy->at->engine, copy->tokens))
		return false;
	if (strcmp(from->domain, copy->at->domain) != 0)
		us *= 2;
	copy->made = run->made;
	copy->whole_us = MAX(MAX(from->link_free_us, copy->at->link_free_us),
			     fleet->now_us) +
			 (int64_t)(us);
	from->link_free_us = copy->whole_us;
	copy->at->link_free_us = copy->whole_us;
	fleet->result->copied_tokens += tokens;
	return true;
}

/* Whether it is whole, and where it is still works. */
bool fleet_copy_stands(const struct fleet *fleet, const struct fleet_copy *copy)
{
	return fleet_server_serves(copy->at) && copy->whole_us <= fleet->now_us;
}
