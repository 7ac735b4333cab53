#include "ports/refusal.h"

struct refusal_description {
	int status;
	enum run run;
	const char *code;
	const char *text;
};

static const struct refusal_description descriptions[REFUSAL_COUNT] = {
	[REFUSAL_NONE] = {200, RUN_YES, "none", "no error"},
	[REFUSAL_BAD_REQUEST] = {400, RUN_NO, "bad_request",
				 "the request is malformed"},
	[REFUSAL_TOO_LARGE] = {413, RUN_NO, "too_large",
			       "the request is over a size limit"},
	[REFUSAL_UNAUTHORIZED] = {401, RUN_NO, "unauthorized",
				  "no organisation has this key"},
	[REFUSAL_UNKNOWN_SERVICE] = {404, RUN_NO, "unknown_service",
				     "no service has this name"},
	[REFUSAL_NO_CONFIG] = {503, RUN_NO, "no_config",
			       "the node has no configuration yet"},
	[REFUSAL_RATE_LIMIT] = {429, RUN_NO, "rate_limit",
				"the organisation is over its request rate"},
	[REFUSAL_TOKEN_LIMIT] = {429, RUN_NO, "token_limit",
				 "the organisation is over its tokens at once"},
	[REFUSAL_QUEUE_FULL] = {429, RUN_NO, "queue_full",
				"too many requests wait"},
	[REFUSAL_DEADLINE] = {503, RUN_NO, "deadline",
			      "the deadline cannot be met"},
	[REFUSAL_NO_ENDPOINT] = {503, RUN_NO, "no_endpoint",
				 "no endpoint can take the request"},
	[REFUSAL_DRAINING] = {503, RUN_NO, "draining", "the node is leaving"},
	[REFUSAL_ISOLATED] = {503, RUN_NO, "isolated",
			      "the node is cut off from its peers"},
	[REFUSAL_KV_UNAVAILABLE] = {503, RUN_NO, "kv_unavailable",
				    "the id could not be claimed"},
	[REFUSAL_KEY_REQUIRED] = {400, RUN_NO, "key_required",
				  "a non-idempotent request needs an "
				  "Idempotency-Key"},
	[REFUSAL_IN_PROGRESS] = {409, RUN_UNKNOWN, "in_progress",
				 "a request with this id has not ended"},
	[REFUSAL_UNKNOWN_OUTCOME] = {409, RUN_UNKNOWN, "unknown_outcome",
				     "the request may have run; it will not "
				     "be run again"},
	[REFUSAL_ID_EXPIRED] = {409, RUN_UNKNOWN, "id_expired",
				"the id is older than ids are remembered"},
	[REFUSAL_ALREADY_RUN] = {409, RUN_YES, "already_run",
				 "the request ran whole; its answer is no "
				 "longer kept"},
	[REFUSAL_KEY_REUSED] = {422, RUN_NO, "key_reused",
				"the id was used with another body"},
	[REFUSAL_QUARANTINED] = {503, RUN_NO, "quarantined",
				 "earlier runs of this request crashed "
				 "endpoints"},
	[REFUSAL_BAD_EVENT_ID] = {400, RUN_NO, "bad_event_id",
				  "the event id is not one of this "
				  "organisation's"},
	[REFUSAL_GENERATION_GONE] = {410, RUN_YES, "generation_gone",
				     "the generation is gone; a new request "
				     "starts a new one"},
	[REFUSAL_ENDPOINT_FAILED] = {502, RUN_UNKNOWN, "endpoint_failed",
				     "the endpoint failed"},
	[REFUSAL_ENDPOINT_TIMEOUT] = {504, RUN_UNKNOWN, "endpoint_timeout",
				      "the endpoint did not answer in time"},
};

/* Returns the HTTP status of a refusal. */
int refusal_http_status(enum refusal refusal)
{
	return descriptions[refusal].status;
}

/* Returns the code of a refusal in the JSON body and in log lines. */
const char *refusal_code(enum refusal refusal)
{
	return descriptions[refusal].code;
}

/* Returns an English description of a refusal for the caller. */
const char *refusal_text(enum refusal refusal)
{
	return descriptions[refusal].text;
}

/* Returns the "run" value of a refusal that does not set its own. */
enum run refusal_default_run(enum refusal refusal)
{
	return descriptions[refusal].run;
}

/* Returns "no", "yes" or "unknown", as in answers. */
const char *run_name(enum run run)
{
	switch (run) {
	case RUN_NO:
		return "no";
	case RUN_YES:
		return "yes";
	case RUN_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}
