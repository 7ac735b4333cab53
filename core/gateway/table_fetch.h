#ifndef CORE_GATEWAY_TABLE_FETCH_H
#define CORE_GATEWAY_TABLE_FETCH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides how a node gets a newer configuration that other nodes have
 * announced. The node asks for one copy at a time. If every node that hears it
 * is behind pushed a copy of half a MB, the copies would fill its link, and it
 * would stay behind because of them.
 */
struct table_fetch {
	int64_t behind_us;    /* when a newer one was first seen; 0: none was */
	int64_t last_step_us; /* time of the last step; 0: none yet */
	bool store_was_tried; /* in the last step */
};

struct table_fetch_input {
	int64_t now_us;
	bool reaches_store;
	bool is_reading; /* an answer from the store is arriving */
};

enum table_fetch_step {
	TABLE_FETCH_WAIT,
	TABLE_FETCH_READ_STORE, /* again: the watch may have stalled */
	TABLE_FETCH_ASK_NODE
};

enum table_fetch_step table_fetch_decide(struct table_fetch *fetch,
					 const struct table_fetch_input *input);

/* Limits the bytes of copies that a node sends to others in a period. */
struct table_copy_limit {
	int64_t since_us; /* start of the period */
	size_t bytes;	  /* sent in the period */
};

bool table_copy_limit_take(struct table_copy_limit *limit, size_t bytes,
			   int64_t now_us);

G_END_DECLS

#endif
