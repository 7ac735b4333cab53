#include "core/gateway/table_fetch.h"

/*
 * Wait before the store is read for a newer configuration, and after the read
 * before a node is asked: a working watch delivers the change sooner.
 */
#define STORE_WAIT_US (600 * 1000)

/*
 * Wait of a node that can't reach the store before it asks another node. By
 * then several nodes have the change, so the requests do not all go to the
 * first one.
 */
#define SPREAD_DELAY_US (200 * 1000)

/* A copy of half a MB has arrived by then, unless it was lost. */
#define COPY_WAIT_US (1000 * 1000)

/* What a link of 10 Mbit/s carries in COPY_WAIT_US. */
#define MAX_COPY_BYTES 1250000

static int64_t fetch_due_us(const struct table_fetch *fetch, bool reaches_store)
{
	if (!fetch->last_step_us)
		return fetch->behind_us +
		       (reaches_store ? STORE_WAIT_US : SPREAD_DELAY_US);
	return fetch->last_step_us +
	       (fetch->store_was_tried ? STORE_WAIT_US : COPY_WAIT_US);
}

/*
 * Returns the next step while a newer configuration is known to exist. Any step
 * other than waiting counts as done.
 */
enum table_fetch_step table_fetch_decide(struct table_fetch *fetch,
					 const struct table_fetch_input *input)
{
	if (!fetch->behind_us)
		fetch->behind_us = input->now_us;
	if (input->is_reading ||
	    input->now_us < fetch_due_us(fetch, input->reaches_store))
		return TABLE_FETCH_WAIT;
	fetch->store_was_tried =
		input->reaches_store && !fetch->store_was_tried;
	fetch->last_step_us = input->now_us;
	return fetch->store_was_tried ? TABLE_FETCH_READ_STORE
				      : TABLE_FETCH_ASK_NODE;
}

/*
 * Whether to send another copy of this size; true counts it as sent. If all
 * nodes ask the only one that has the configuration, their copies compete for
 * its link. A node that gets no copy asks another node.
 */
bool table_copy_limit_take(struct table_copy_limit *limit, size_t bytes,
			   int64_t now_us)
{
	if (now_us - limit->since_us >= COPY_WAIT_US) {
		limit->since_us = now_us;
		limit->bytes = 0;
	}
	if (limit->bytes > 0 && limit->bytes + bytes > MAX_COPY_BYTES)
		return false;
	limit->bytes += bytes;
	return true;
}
