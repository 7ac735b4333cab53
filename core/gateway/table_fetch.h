#ifndef CORE_GATEWAY_TABLE_FETCH_H
#define CORE_GATEWAY_TABLE_FETCH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How a node gets a configuration newer than its own, of which it has heard
 * from others. It asks for one copy at a time. Pushed by all who hear that it
 * is behind, half a MB each, copies fill its link, and it stays behind because
 * of them.
 */
struct table_fetch {
	int64_t behind_us;    /* a newer one was first heard of; 0: none was */
	int64_t tried_us;     /* the last step; 0: none yet */
	bool store_was_tried; /* by the last step */
};

struct table_fetch_input {
	int64_t now_us;
	bool reaches_store;
	bool is_reading; /* an answer of the store is arriving */
};

enum table_fetch_step {
	TABLE_FETCH_WAIT,
	TABLE_FETCH_READ_STORE, /* anew: the watch may have gone silent */
	TABLE_FETCH_ASK_NODE
};

enum table_fetch_step table_fetch_decide(struct table_fetch *fetch,
					 const struct table_fetch_input *input);

/* Copies that a node has sent to others of late. */
struct table_offer {
	int64_t since_us;
	size_t bytes;
};

bool table_offer_take(struct table_offer *offer, size_t bytes, int64_t now_us);

G_END_DECLS

#endif
