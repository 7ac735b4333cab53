#include "core/node/call.h"

static const char *const state_names[] = {
	[CALL_CLAIMING] = "claiming", [CALL_JOINED] = "joined",
	[CALL_PLACING] = "placing",   [CALL_BACKOFF] = "backoff",
	[CALL_SENT] = "sent",	      [CALL_STREAMING] = "streaming",
	[CALL_REATTACH] = "reattach", [CALL_FORWARDED] = "forwarded",
};

/*
 * Creates a call in state CALL_PLACING with a reference to the request. The
 * deadline counts from now_us.
 */
struct call *call_create(uint64_t id, struct request *request, int64_t now_us)
{
	struct call *call = g_new0(struct call, 1);

	call->id = id;
	call->state = CALL_PLACING;
	call->request = request_ref(request);
	call->organisation = g_strdup("");
	call->arrived_us = now_us;
	call->state_since_us = now_us;
	call->timer_us = INT64_MAX;
	if (request->deadline_in_us > 0)
		call->deadline_us = now_us + request->deadline_in_us;
	return call;
}

/* Frees a call; NULL is allowed. */
void call_destroy(struct call *call)
{
	if (!call)
		return;
	request_unref(call->request);
	g_free(call->organisation);
	g_free(call->home);
	g_free(call->endpoint);
	g_free(call->generation);
	g_free(call);
}

/* Returns the name of a state as written in the dump and in logs. */
const char *call_state_name(enum call_state state)
{
	return state_names[state];
}

/* Sets the endpoint of the current attempt; the string is copied. */
void call_set_endpoint(struct call *call, const char *endpoint)
{
	char *copy = g_strdup(endpoint);

	g_free(call->endpoint);
	call->endpoint = copy;
}

/*
 * Sets the generation of the current attempt; the string is copied. NULL: the
 * endpoint has not named one yet.
 */
void call_set_generation(struct call *call, const char *generation)
{
	char *copy = g_strdup(generation);

	g_free(call->generation);
	call->generation = copy;
}
