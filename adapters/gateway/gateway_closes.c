#include "adapters/gateway/gateway_state.h"

/*
 * Answers without length or chunks, which end with their connection. One looks
 * whole too if its endpoint has ended under it: what it says of its suspects is
 * known once the endpoint has lived on for a while, or has ended.
 */

/* An endpoint that ends refuses connections by then. */
#define SETTLE_US (500 * 1000)

/* Evidence of an end is looked for no longer. */
#define GIVE_UP_US (15 * G_USEC_PER_SEC)

/* Further ones say nothing. */
#define MAX_CLOSED 4096

struct closed_answer {
	struct suspect_list suspects;
	uint64_t owner_key;
	struct endpoint_start start;
	int64_t begun_us;
	int64_t closed_us;
	bool is_young;
};

/* To be called once, before any other function here. */
void gateway_closes_init(struct gateway *gateway)
{
	gateway->closed_answers =
		g_array_new(FALSE, FALSE, sizeof(struct closed_answer));
}

/* Frees what gateway_closes_init created. */
void gateway_closes_clear(struct gateway *gateway)
{
	g_array_unref(gateway->closed_answers);
}

/* Notes an answer that ended with its connection, of a run begun at begun_us.
 */
void gateway_closes_add(struct gateway *gateway, const struct lost_run *run,
			int64_t begun_us, const struct endpoint *endpoint)
{
	const struct closed_answer closed = {
		.suspects = *run->suspects,
		.owner_key = run->owner_key,
		.start = run->start,
		.begun_us = begun_us,
		.closed_us = gateway->now_us,
		.is_young = run->is_young,
	};

	if (gateway->closed_answers->len >= MAX_CLOSED)
		return;
	g_array_append_val(gateway->closed_answers, closed);
	gateway_ends_watch(gateway, endpoint, &run->start, false);
}

/* Counts the answers of a start that has ended as runs that it broke off. */
void gateway_closes_note_end(struct gateway *gateway,
			     const struct endpoint_start *start)
{
	GArray *list = gateway->closed_answers;
	uint64_t start_key = endpoint_start_key(start);

	for (guint i = list->len; i > 0; i--) {
		const struct closed_answer *closed =
			&g_array_index(list, struct closed_answer, i - 1);
		const struct lost_run run = {
			.suspects = &closed->suspects,
			.owner_key = closed->owner_key,
			.start = closed->start,
			.is_young = closed->is_young,
		};

		if (endpoint_start_key(&closed->start) != start_key)
			continue;
		gateway_losses_record(gateway, &run);
		g_array_remove_index_fast(list, i - 1);
	}
}

/* Whether nothing more is to be found out about the answer. */
static bool is_decided(struct gateway *gateway,
		       const struct closed_answer *closed)
{
	int64_t age_us = gateway->now_us - closed->closed_us;

	if (age_us < SETTLE_US)
		return false;
	if (!end_watch_has_lived_on(gateway->ends, &closed->start,
				    closed->closed_us))
		return age_us > GIVE_UP_US;
	gateway_losses_note_whole(gateway, &closed->suspects, closed->begun_us);
	end_watch_forget(gateway->ends, &closed->start, closed->closed_us);
	return true;
}

/* Counts the answers whose endpoints have lived on as whole ones. */
void gateway_closes_step(struct gateway *gateway)
{
	GArray *list = gateway->closed_answers;

	for (guint i = list->len; i > 0; i--)
		if (is_decided(
			    gateway,
			    &g_array_index(list, struct closed_answer, i - 1)))
			g_array_remove_index_fast(list, i - 1);
}
