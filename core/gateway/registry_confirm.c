#include "core/gateway/registry_state.h"

/*
 * Entries that only their endpoint can confirm: those that say that it serves
 * after it left. It is asked for its status until it says that it serves, its
 * entry is removed, or it would have ended long ago.
 */

#define ASK_PERIOD_US (300 * 1000)
#define ASK_PERIOD_MAX_US (10 * G_USEC_PER_SEC)
#define FIRST_ASKS 4

/* An endpoint in use that gives no clear answer is asked no more often. */
#define ASKS_IN_USE 5

/* An endpoint that can't be asked is used again after this time. */
#define UNCONFIRMED_MAX_US (5 * 60 * G_USEC_PER_SEC)

static struct entry_stamp stamp_of(const struct registration *entry)
{
	return (struct entry_stamp){entry->address, entry->started_ms,
				    entry->report_count};
}

/* Returns how the entry relates to the newest one that is known. */
enum entry_order endpoint_compare_entry(const struct endpoint *endpoint,
					const struct registration *entry)
{
	const struct entry_stamp stamp = stamp_of(entry);
	const struct entry_stamp known = stamp_of(endpoint->last_registration);

	return entry_order_compare(&stamp, &known);
}

static struct entry_context context_of(const struct endpoint *endpoint)
{
	return (struct entry_context){
		.has_left = endpoint_is_leaving(endpoint),
		.was_removed = endpoint->presence == PRESENCE_GONE &&
			       !endpoint->last_registration->is_leaving &&
			       !endpoint->said_leaving_us,
		.is_doubted = endpoint->presence == PRESENCE_DOUBTED,
	};
}

static void endpoint_note_aside(struct endpoint *endpoint,
				const struct registration *entry,
				enum entry_order order)
{
	const struct entry_context context = context_of(endpoint);

	endpoint->aside.reason = entry_order_reason(order, &context);
	endpoint->aside.position = entry->position;
	endpoint->aside.started_ms = entry->started_ms;
	endpoint->aside.report_count = entry->report_count;
}

static void endpoint_ask_anew(struct endpoint *endpoint, int64_t now_us)
{
	endpoint->status_asks = 0;
	endpoint->unclear_asks = 0;
	endpoint->ask_status_us = now_us;
}

/* Keeps the entry until the endpoint says that it serves. */
static void endpoint_await_status(struct endpoint *endpoint,
				  const struct registration *entry,
				  int64_t now_us)
{
	if (!endpoint->unconfirmed)
		endpoint->unconfirmed_us = now_us;
	registration_destroy(endpoint->unconfirmed);
	endpoint->unconfirmed = registration_copy(entry);
	endpoint_ask_anew(endpoint, now_us);
}

/* Has the endpoint asked for its status while it is used. */
void endpoint_check_status(struct endpoint *endpoint, int64_t now_us)
{
	if (endpoint->is_checked || endpoint_is_leaving(endpoint))
		return;
	endpoint->is_checked = true;
	endpoint_ask_anew(endpoint, now_us);
}

/*
 * Decides about an entry that the store has later than the known one. Returns
 * whether to apply it; otherwise it is set aside, or awaits the endpoint's
 * word.
 */
bool endpoint_accepts_entry(struct endpoint *endpoint,
			    const struct registration *entry, bool is_vouched,
			    int64_t now_us)
{
	enum entry_order order = endpoint_compare_entry(endpoint, entry);
	const struct entry_context context = context_of(endpoint);

	switch (entry_order_judge(order, entry->is_leaving, is_vouched,
				  &context)) {
	case ENTRY_APPLY:
		if (context.is_doubted && !is_vouched)
			endpoint_check_status(endpoint, now_us);
		endpoint->is_overwritten = false;
		return true;
	case ENTRY_SET_ASIDE:
		endpoint_note_aside(endpoint, entry, order);
		endpoint->is_overwritten |= order == ENTRY_EARLIER_START;
		endpoint->last_registration->position = entry->position;
		return false;
	case ENTRY_ASK:
		endpoint_note_aside(endpoint, entry, order);
		endpoint_await_status(endpoint, entry, now_us);
		endpoint->is_overwritten = false;
		return false;
	}
	return true;
}

/* Forgets an entry that awaits the endpoint's word. */
void endpoint_drop_unconfirmed(struct endpoint *endpoint)
{
	g_clear_pointer(&endpoint->unconfirmed, registration_destroy);
}

/*
 * Considers a notice that is older than the newest entry. A node that started
 * between the two knows the entry alone, which may be an older report.
 */
void endpoint_consider_old_notice(struct endpoint *endpoint,
				  const struct registration *notice,
				  int64_t now_us)
{
	const struct registration *last = endpoint->last_registration;
	bool is_earlier_start = notice->started_ms && last->started_ms &&
				notice->started_ms < last->started_ms;

	if ((notice->is_removed || notice->is_leaving) &&
	    notice->position < last->position && !is_earlier_start)
		endpoint_check_status(endpoint, now_us);
}

/* Whether an entry can't be applied until its endpoint says that it serves. */
bool endpoint_is_unconfirmed(const struct endpoint *endpoint)
{
	return endpoint->unconfirmed != NULL;
}

/* Whether the endpoint is to be asked for its status now. */
bool endpoint_wants_status(const struct endpoint *endpoint, int64_t now_us)
{
	return (endpoint->unconfirmed ||
		(endpoint->is_checked && !endpoint_is_leaving(endpoint))) &&
	       now_us >= endpoint->ask_status_us;
}

/* Notes that the endpoint is asked for its status. */
void endpoint_note_status_ask(struct endpoint *endpoint, int64_t now_us)
{
	int32_t doublings = endpoint->status_asks - FIRST_ASKS;

	endpoint->status_asks++;
	endpoint->unclear_asks++;
	if (endpoint->status_asks >= ASKS_IN_USE)
		endpoint->is_checked = false;
	endpoint->ask_status_us =
		now_us + MIN((int64_t)ASK_PERIOD_US << CLAMP(doublings, 0, 16),
			     ASK_PERIOD_MAX_US);
}

/* Applies the entry that the endpoint has confirmed. */
static bool registry_confirm(struct registry *registry,
			     struct endpoint *endpoint, int64_t now_us)
{
	struct registration *entry = g_steal_pointer(&endpoint->unconfirmed);

	endpoint->said_leaving_us = 0;
	/* It serves, so the lower count is that of a start without a name. */
	if (!endpoint->last_registration->started_ms &&
	    endpoint_compare_entry(endpoint, entry) == ENTRY_FEWER_REPORTS)
		endpoint_begin_start(endpoint, entry, now_us);
	registry_apply_entry(registry, endpoint, entry, now_us);
	registration_destroy(entry);
	return true;
}

/*
 * The endpoint does not serve. It keeps being asked, as it may only fail its
 * health check for a while.
 */
static bool registry_note_absence(struct endpoint *endpoint, int64_t now_us)
{
	endpoint->unconfirmed_us = now_us;
	if (endpoint->said_leaving_us)
		endpoint->said_leaving_us = now_us;
	if (endpoint_is_leaving(endpoint))
		return false;
	if (!endpoint->unconfirmed && endpoint->presence == PRESENCE_READY)
		endpoint->unconfirmed =
			registration_copy(endpoint->last_registration);
	endpoint_note_leaving(endpoint, 0, now_us);
	return true;
}

/* Whether an entry is believed of an endpoint that can't be asked. */
static bool is_believed_unasked(const struct endpoint *endpoint)
{
	return endpoint->unconfirmed && !endpoint->said_leaving_us &&
	       !endpoint->last_registration->is_leaving &&
	       endpoint_compare_entry(endpoint, endpoint->unconfirmed) ==
		       ENTRY_MORE_REPORTS;
}

/*
 * Records what the endpoint of that id answered when it was asked for its
 * status. Returns whether its presence changed.
 */
bool registry_note_status(struct registry *registry, const char *id,
			  enum endpoint_status status, int64_t now_us)
{
	struct endpoint *endpoint = registry_find(registry, id);
	bool was_checked;

	if (!endpoint)
		return false;
	was_checked = endpoint->is_checked;
	if (status != ENDPOINT_UNCLEAR)
		endpoint->unclear_asks = 0;
	switch (status) {
	case ENDPOINT_SERVES:
		endpoint->is_checked = false;
		return endpoint->unconfirmed &&
		       registry_confirm(registry, endpoint, now_us);
	case ENDPOINT_LEAVES:
		endpoint->is_checked = false;
		return (was_checked || endpoint->unconfirmed) &&
		       registry_note_absence(endpoint, now_us);
	case ENDPOINT_IS_ANOTHER:
		endpoint->is_checked = false;
		return false;
	case ENDPOINT_NOT_ASKED:
		endpoint->is_checked = false;
		return is_believed_unasked(endpoint) &&
		       registry_confirm(registry, endpoint, now_us);
	case ENDPOINT_UNCLEAR:
		return false;
	}
	return false;
}

/*
 * Uses an endpoint again whose word nobody got for long. Returns whether its
 * presence changed.
 */
bool registry_expire_unconfirmed(struct registry *registry,
				 struct endpoint *endpoint, int64_t now_us)
{
	return endpoint->unconfirmed &&
	       now_us - endpoint->unconfirmed_us > UNCONFIRMED_MAX_US &&
	       registry_confirm(registry, endpoint, now_us);
}
