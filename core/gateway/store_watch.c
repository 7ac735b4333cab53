#include "core/gateway/store_watch.h"

/*
 * Whether a sentinel retries a store that this node can't reach either. If a
 * sentinel reaches the store, only this node is cut off, and no other node can
 * announce the end of that.
 */
static bool sentinel_retries_store(const struct store_watch_input *input)
{
	return !input->is_sentinel && !input->reaches_store &&
	       !input->sentinel_reaches_store && input->sentinel_lost_store;
}

/*
 * Returns how to watch the store now. A node that hears no sentinel, or knows
 * no endpoint, follows the entries itself. While the store is away for all,
 * only sentinels and nodes without endpoints follow them. A node that follows
 * the entries also probes the store, to distinguish an outage, after which
 * entries expire, from removals.
 */
struct store_watch store_watch_decide(const struct store_watch_input *input)
{
	bool slow_retry = sentinel_retries_store(input);
	bool is_informed = input->sentinel_reaches_store || slow_retry;
	bool follows =
		input->is_sentinel || !is_informed || !input->knows_endpoints;

	return (struct store_watch){
		.entries = follows,
		.probes_store = follows,
		.slow_retry = slow_retry,
	};
}

/* Whether both watch the store in the same way. */
bool store_watch_equals(const struct store_watch *a,
			const struct store_watch *b)
{
	return a->entries == b->entries && a->probes_store == b->probes_store &&
	       a->slow_retry == b->slow_retry;
}
