#include "core/gateway/table_fetch.h"

/* A watch that lives brings a change sooner than this. */
#define OWN_WATCH_US (600 * 1000)

/* Until then more nodes have the change, and not all ask the first one. */
#define SPREAD_US (200 * 1000)

/* A copy of half a MB has come by then, unless it was lost. */
#define COPY_US (1000 * 1000)

/* What a link of 10 Mbit/s carries in that time. */
#define COPIES_BYTES 1250000

static int64_t fetch_due_us(const struct table_fetch *fetch, bool reaches_store)
{
	if (!fetch->tried_us)
		return fetch->behind_us +
		       (reaches_store ? OWN_WATCH_US : SPREAD_US);
	return fetch->tried_us +
	       (fetch->store_was_tried ? OWN_WATCH_US : COPY_US);
}

/*
 * What to do now, while a newer configuration is known to be there. A step
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
	fetch->tried_us = input->now_us;
	return fetch->store_was_tried ? TABLE_FETCH_READ_STORE
				      : TABLE_FETCH_ASK_NODE;
}

/*
 * Whether to send one more copy of so many bytes. Nodes that all ask the only
 * one that has the configuration would wait for one another's copies on its
 * link; those that get none ask another node.
 */
bool table_offer_take(struct table_offer *offer, size_t bytes, int64_t now_us)
{
	if (now_us - offer->since_us >= COPY_US) {
		offer->since_us = now_us;
		offer->bytes = 0;
	}
	if (offer->bytes > 0 && offer->bytes + bytes > COPIES_BYTES)
		return false;
	offer->bytes += bytes;
	return true;
}
