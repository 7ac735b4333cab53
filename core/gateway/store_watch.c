#include "core/gateway/store_watch.h"

/*
 * Whether a sentinel looks out for a store that this node can't reach either.
 * Where one reaches it only this node is cut off, and nobody else will tell
 * when that is over.
 */
static bool is_looked_out_for(const struct store_watch_input *input)
{
	return !input->is_sentinel && !input->reaches_store &&
	       !input->sentinel_reaches && input->sentinel_waits;
}

/*
 * What to do now. A node that hears no sentinel, or knows no endpoint, follows
 * the entries itself, but not a store that is away from all. Who follows them
 * asks closely, to tell an outage, after which entries lapse, from removals.
 */
struct store_watch store_watch_decide(const struct store_watch_input *input)
{
	bool patiently = is_looked_out_for(input);
	bool is_told = input->sentinel_reaches || patiently;
	bool follows =
		input->is_sentinel || !is_told || !input->knows_endpoints;

	return (struct store_watch){
		.entries = follows,
		.closely = follows,
		.patiently = patiently,
	};
}

/* Whether both are the same. */
bool store_watch_equals(const struct store_watch *a,
			const struct store_watch *b)
{
	return a->entries == b->entries && a->closely == b->closely &&
	       a->patiently == b->patiently;
}
