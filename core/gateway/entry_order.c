#include "core/gateway/entry_order.h"

#include <string.h>

/* Returns how an entry relates to the known one, which was written before. */
enum entry_order entry_order_compare(const struct entry_stamp *entry,
				     const struct entry_stamp *known)
{
	if (entry->started_ms && known->started_ms &&
	    entry->started_ms < known->started_ms)
		return ENTRY_EARLIER_START;
	if (entry->started_ms > known->started_ms ||
	    strcmp(entry->address, known->address) != 0)
		return ENTRY_LATER_START;
	if (!entry->report_count || !known->report_count)
		return ENTRY_UNKNOWN_COUNT;
	if (entry->report_count == known->report_count)
		return ENTRY_SAME_REPORT;
	return entry->report_count > known->report_count ? ENTRY_MORE_REPORTS
							 : ENTRY_FEWER_REPORTS;
}

/* Of an entry that says that the endpoint serves, of the same start. */
static enum entry_verdict judge_ready(enum entry_order order, bool is_vouched,
				      const struct entry_context *context)
{
	bool is_newer =
		order == ENTRY_MORE_REPORTS || order == ENTRY_UNKNOWN_COUNT;

	if (context->has_left)
		return is_vouched && context->was_removed ? ENTRY_APPLY
							  : ENTRY_ASK;
	if (context->is_doubted)
		return is_newer || is_vouched ? ENTRY_APPLY : ENTRY_ASK;
	return order == ENTRY_FEWER_REPORTS ? ENTRY_SET_ASIDE : ENTRY_APPLY;
}

/*
 * Decides about an entry. That a start leaves is its last word, whatever it
 * reported before or after. Behind that or behind a removal, the count proves
 * nothing: an endpoint that lives and a report that is late both have a higher
 * one. is_vouched: by another node, which has asked the endpoint if it had to.
 */
enum entry_verdict entry_order_judge(enum entry_order order, bool is_leaving,
				     bool is_vouched,
				     const struct entry_context *context)
{
	switch (order) {
	case ENTRY_LATER_START:
		return ENTRY_APPLY;
	case ENTRY_EARLIER_START:
		return ENTRY_SET_ASIDE;
	case ENTRY_MORE_REPORTS:
	case ENTRY_SAME_REPORT:
	case ENTRY_FEWER_REPORTS:
	case ENTRY_UNKNOWN_COUNT:
		break;
	}
	return is_leaving ? ENTRY_APPLY
			  : judge_ready(order, is_vouched, context);
}

/* Returns why an entry is not applied, as logs name it. */
const char *entry_order_reason(enum entry_order order,
			       const struct entry_context *context)
{
	switch (order) {
	case ENTRY_EARLIER_START:
		return "older_start";
	case ENTRY_FEWER_REPORTS:
	case ENTRY_SAME_REPORT:
		return "older_count";
	case ENTRY_LATER_START:
	case ENTRY_MORE_REPORTS:
	case ENTRY_UNKNOWN_COUNT:
		break;
	}
	return context->was_removed ? "after_removal" : "after_leaving";
}
