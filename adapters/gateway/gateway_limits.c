#include "adapters/gateway/gateway_state.h"

/* Notes the limits on requests that endpoints state in their answers. */

#define MAX_RATE_TEXT 24

static const char *limit_text(const struct endpoint_limit *limit, char *text)
{
	if (!limit->is_limited)
		return "none";
	return g_ascii_formatd(text, MAX_RATE_TEXT, "%.3f",
			       (double)limit->rate_per_ks / 1000);
}

static void log_limit(const struct gateway *gateway,
		      const struct endpoint *endpoint, const char *source)
{
	char text[MAX_RATE_TEXT];

	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_limit", "endpoint",
		  endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "per_s",
		  limit_text(&endpoint->limit, text), "source", source, NULL);
}

/* Logs a value without a meaning once, until the endpoint's answers change. */
static void note_unreadable(const struct gateway *gateway,
			    struct endpoint *endpoint,
			    const struct answered_limit *answer)
{
	bool is_unreadable = answer->statement == LIMIT_UNREADABLE;
	char text[MAX_RATE_TEXT];

	if (answer->statement == LIMIT_UNKNOWN ||
	    is_unreadable == endpoint->limit_was_unreadable)
		return;
	endpoint->limit_was_unreadable = is_unreadable;
	if (!is_unreadable)
		return;
	log_write(gateway->log, LOG_LEVEL_WARN, "endpoint_limit_unreadable",
		  "endpoint", endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "kept_per_s",
		  limit_text(&endpoint->limit, text), NULL);
}

/* Applies what an answer that arrives now says about its endpoint's limit. */
void gateway_limits_note_answer(struct gateway *gateway,
				struct endpoint *endpoint,
				const struct answered_limit *answer)
{
	note_unreadable(gateway, endpoint, answer);
	if (endpoint_limit_apply_answer(&endpoint->limit, answer,
					gateway->now_us))
		log_limit(gateway, endpoint, "its answer");
}
