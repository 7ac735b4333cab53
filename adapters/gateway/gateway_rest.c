#include "adapters/gateway/gateway_state.h"

/*
 * Endpoints that turn a request away and ask this node for rest. What they
 * asked other nodes for is no matter of this one.
 */

#define MAX_MS_TEXT 24

/* Logs a value without a meaning once, until the endpoint's answers change. */
static void note_unreadable(const struct gateway *gateway,
			    struct endpoint *endpoint,
			    const struct answered_rest *answer)
{
	bool is_unreadable = answer->statement == REST_UNREADABLE;

	if (is_unreadable && !endpoint->rest_was_unreadable)
		log_write(gateway->log, LOG_LEVEL_WARN,
			  "endpoint_rest_unreadable", "endpoint",
			  endpoint->last_registration->id, "service",
			  endpoint->last_registration->service, NULL);
	endpoint->rest_was_unreadable = is_unreadable;
}

static void log_resting(const struct gateway *gateway,
			const struct endpoint *endpoint,
			const struct answered_rest *answer)
{
	char ms[MAX_MS_TEXT], asked[MAX_MS_TEXT];
	int64_t left_us =
		endpoint_rest_left_us(&endpoint->rest, gateway->now_us);

	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT, left_us / 1000);
	g_snprintf(asked, sizeof(asked), "%" G_GINT64_FORMAT,
		   answer->rest_us / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_resting", "endpoint",
		  endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "for_ms", ms,
		  "asked_ms", asked, NULL);
}

/*
 * Notes what an answer that arrives now says of rest. known_us is when the
 * start that was asked was first seen: what an earlier start wanted is over.
 */
void gateway_rest_note_answer(struct gateway *gateway,
			      struct endpoint *endpoint,
			      const struct answered_rest *answer,
			      int64_t known_us)
{
	if (endpoint->known_us != known_us)
		return;
	note_unreadable(gateway, endpoint, answer);
	if (!endpoint_rest_apply(&endpoint->rest, answer, gateway->now_us))
		return;
	counters_add(gateway->options.counters, COUNTER_GATEWAY_RESTS, 1);
	log_resting(gateway, endpoint, answer);
}
