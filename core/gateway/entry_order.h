#ifndef CORE_GATEWAY_ENTRY_ORDER_H
#define CORE_GATEWAY_ENTRY_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Orders two entries of one endpoint, which its process writes to the store
 * report by report. The store's order is that of the writes, not that of the
 * reports: a write that got no answer may be done seconds later, behind the
 * last word of its start or behind the entry of the next one.
 */
struct entry_stamp {
	const char *address;  /* another one is another start */
	int64_t started_ms;   /* of the start that wrote it; 0: unknown */
	int64_t report_count; /* of that start so far; 0: unknown */
};

/* How an entry that was written later relates to the one that is known. */
enum entry_order {
	ENTRY_LATER_START,
	ENTRY_EARLIER_START,
	ENTRY_MORE_REPORTS, /* of the same start, as far as is known */
	ENTRY_SAME_REPORT,
	ENTRY_FEWER_REPORTS, /* or a new start, where none is stated */
	ENTRY_UNKNOWN_COUNT  /* of the same start, as far as is known */
};

/* What is known of the endpoint when the entry arrives. */
struct entry_context {
	bool has_left;	  /* it said so, or its entry was removed */
	bool was_removed; /* without word that it leaves */
	bool is_doubted;  /* a removal that may be an expiry */
};

enum entry_verdict {
	ENTRY_APPLY,
	ENTRY_SET_ASIDE, /* it is older than what is known */
	ENTRY_ASK	 /* only the endpoint can say whether it still holds */
};

enum entry_order entry_order_compare(const struct entry_stamp *entry,
				     const struct entry_stamp *known);
enum entry_verdict entry_order_judge(enum entry_order order, bool is_leaving,
				     bool is_vouched,
				     const struct entry_context *context);
const char *entry_order_reason(enum entry_order order,
			       const struct entry_context *context);

G_END_DECLS

#endif
