#include "core/placement.h"

#include <string.h>

/* Length expected of an answer before any was seen. */
#define DEFAULT_OUTPUT_TOKENS 400
#define RETRY_AFTER_US (2 * G_USEC_PER_SEC)

struct endpoint {
	char *address;
	int64_t capacity_tokens;
	int32_t slots;
	int32_t running;
	int64_t expected_tokens; /* of all it holds, at their ends */
	bool leaving;
};

struct call {
	uint64_t ticket;
	int64_t prompt_tokens;
	int64_t expected_tokens;
	int64_t deadline_us;
	uint64_t avoid_hash;
	struct endpoint *endpoint; /* NULL while it waits */
};

struct placement {
	struct placement_options options;
	GHashTable *endpoints; /* address -> struct endpoint */
	GHashTable *calls;     /* ticket -> struct call */
	GQueue waiting;	       /* struct call, oldest first */
	int32_t divisor;
};

static void endpoint_destroy(gpointer data)
{
	struct endpoint *endpoint = data;

	g_free(endpoint->address);
	g_free(endpoint);
}

/* An empty placement. The options are copied. */
struct placement *placement_create(const struct placement_options *options)
{
	struct placement *placement = g_new0(struct placement, 1);

	placement->options = *options;
	placement->divisor = 1;
	placement->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, endpoint_destroy);
	placement->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	g_queue_init(&placement->waiting);
	return placement;
}

/* Frees the placement; NULL is allowed. */
void placement_destroy(struct placement *placement)
{
	if (!placement)
		return;
	g_queue_clear(&placement->waiting);
	g_hash_table_unref(placement->calls);
	g_hash_table_unref(placement->endpoints);
	g_free(placement);
}

/* Adds an endpoint or takes over its new settings. */
void placement_set_endpoint(struct placement *placement,
			    const struct config_endpoint *endpoint,
			    G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint *known =
		g_hash_table_lookup(placement->endpoints, endpoint->address);

	if (!known) {
		known = g_new0(struct endpoint, 1);
		known->address = g_strdup(endpoint->address);
		g_hash_table_insert(placement->endpoints, known->address,
				    known);
	}
	if (endpoint->capacity_tokens > 0)
		known->capacity_tokens = endpoint->capacity_tokens;
	known->slots = endpoint->slots;
	known->leaving = endpoint->leaving;
}

static void placement_forget(struct placement *placement, struct call *call)
{
	if (call->endpoint) {
		call->endpoint->running--;
		call->endpoint->expected_tokens -=
			call->prompt_tokens + call->expected_tokens;
	} else {
		g_queue_remove(&placement->waiting, call);
	}
	g_hash_table_remove(placement->calls, &call->ticket);
}

/* Removes an endpoint and forgets what it held. */
void placement_remove_endpoint(struct placement *placement, const char *address,
			       G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint *endpoint =
		g_hash_table_lookup(placement->endpoints, address);
	GHashTableIter iter;
	gpointer value;

	if (!endpoint)
		return;
	g_hash_table_iter_init(&iter, placement->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *call = value;

		if (call->endpoint == endpoint)
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_remove(placement->endpoints, address);
}

/* A leaving endpoint keeps what it holds and gets nothing new. */
void placement_set_leaving(struct placement *placement, const char *address,
			   bool leaving)
{
	struct endpoint *endpoint =
		g_hash_table_lookup(placement->endpoints, address);

	if (endpoint)
		endpoint->leaving = leaving;
}

/* Without a home each of divisor nodes uses that part of every endpoint. */
void placement_set_share(struct placement *placement, int32_t divisor)
{
	placement->divisor = MAX(divisor, 1);
}

/* Takes an endpoint's own report. */
void placement_report_load(struct placement *placement, const char *address,
			   const struct load_report *report,
			   G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint *endpoint =
		g_hash_table_lookup(placement->endpoints, address);

	if (!endpoint)
		return;
	if (endpoint->capacity_tokens == 0 && report->tokens_capacity > 0)
		endpoint->capacity_tokens = report->tokens_capacity;
	if (report->leaving)
		endpoint->leaving = true;
}

/* The endpoint gave no report. */
void placement_report_unreachable(G_GNUC_UNUSED struct placement *placement,
				  G_GNUC_UNUSED const char *address,
				  G_GNUC_UNUSED int64_t now_us)
{
}

static struct call *placement_add(struct placement *placement,
				  const struct placement_request *request)
{
	struct call *call;
	int64_t expected = DEFAULT_OUTPUT_TOKENS;

	if (g_hash_table_contains(placement->calls, &request->ticket))
		return NULL;
	call = g_new0(struct call, 1);
	if (placement->options.policy == PLACEMENT_ORACLE &&
	    request->true_tokens > 0)
		expected = request->true_tokens;
	if (request->max_tokens > 0)
		expected = MIN(expected, request->max_tokens);
	call->ticket = request->ticket;
	call->prompt_tokens = MAX(request->prompt_tokens, 1);
	call->expected_tokens = expected;
	call->deadline_us = request->deadline_us;
	call->avoid_hash = request->avoid_hash;
	g_hash_table_insert(placement->calls, &call->ticket, call);
	return call;
}

/* Puts a request in the queue; the next step decides on it. */
void placement_submit(struct placement *placement,
		      const struct placement_request *request,
		      G_GNUC_UNUSED int64_t now_us)
{
	struct call *call = placement_add(placement, request);

	if (call)
		g_queue_push_tail(&placement->waiting, call);
}

/* Takes a request out of the queue; unknown tickets are ignored. */
void placement_withdraw(struct placement *placement, uint64_t ticket,
			G_GNUC_UNUSED int64_t now_us)
{
	struct call *call = g_hash_table_lookup(placement->calls, &ticket);

	if (call && !call->endpoint)
		placement_forget(placement, call);
}

static void placement_put(struct call *call, struct endpoint *endpoint)
{
	call->endpoint = endpoint;
	endpoint->running++;
	endpoint->expected_tokens +=
		call->prompt_tokens + call->expected_tokens;
}

/* Books a grant that was made elsewhere: by an earlier home, or on a share. */
void placement_hold(struct placement *placement,
		    const struct placement_request *request,
		    const char *address, G_GNUC_UNUSED int64_t tokens,
		    G_GNUC_UNUSED int64_t now_us)
{
	struct endpoint *endpoint =
		g_hash_table_lookup(placement->endpoints, address);
	struct call *call;

	if (!endpoint)
		return;
	call = placement_add(placement, request);
	if (call)
		placement_put(call, endpoint);
}

/* Notes how many tokens a placed request has made. */
void placement_progress(struct placement *placement, uint64_t ticket,
			int64_t tokens, G_GNUC_UNUSED int64_t now_us)
{
	struct call *call = g_hash_table_lookup(placement->calls, &ticket);

	if (!call || !call->endpoint || tokens <= call->expected_tokens)
		return;
	call->endpoint->expected_tokens += tokens - call->expected_tokens;
	call->expected_tokens = tokens;
}

/* Ends a grant; unknown tickets are ignored. */
void placement_release(struct placement *placement, uint64_t ticket,
		       G_GNUC_UNUSED enum release_outcome outcome,
		       G_GNUC_UNUSED int64_t tokens,
		       G_GNUC_UNUSED int64_t now_us)
{
	struct call *call = g_hash_table_lookup(placement->calls, &ticket);

	if (call)
		placement_forget(placement, call);
}

/* A hint that an endpoint holds a prompt's prefix, or no longer does. */
void placement_prefix_cached(G_GNUC_UNUSED struct placement *placement,
			     G_GNUC_UNUSED const char *address,
			     G_GNUC_UNUSED uint64_t prefix_hash,
			     G_GNUC_UNUSED bool cached)
{
}

static bool endpoint_has_room(const struct placement *placement,
			      const struct endpoint *endpoint,
			      const struct call *call)
{
	int64_t need = call->prompt_tokens + call->expected_tokens;

	if (placement->options.policy == PLACEMENT_NAIVE)
		return true;
	if (placement->options.kind == SERVICE_PLAIN)
		return endpoint->slots <= 0 ||
		       endpoint->running <
			       MAX(endpoint->slots / placement->divisor, 1);
	if (endpoint->running == 0)
		return true;
	return endpoint->expected_tokens + need <=
	       endpoint->capacity_tokens / placement->divisor;
}

static struct endpoint *placement_choose(const struct placement *placement,
					 const struct call *call)
{
	struct endpoint *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, placement->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *endpoint = value;

		if (endpoint->leaving ||
		    !endpoint_has_room(placement, endpoint, call))
			continue;
		if (!best || endpoint->running < best->running ||
		    (endpoint->running == best->running &&
		     strcmp(endpoint->address, best->address) < 0))
			best = endpoint;
	}
	return best;
}

static void placement_decide(struct placement *placement, struct call *call,
			     int64_t now_us, GArray *decisions)
{
	struct placement_decision decision = {.ticket = call->ticket};
	struct endpoint *endpoint = placement_choose(placement, call);

	if (endpoint) {
		decision.verdict = PLACEMENT_PLACED;
		decision.endpoint = endpoint->address;
		g_queue_remove(&placement->waiting, call);
		placement_put(call, endpoint);
		g_array_append_val(decisions, decision);
		return;
	}
	decision.verdict = PLACEMENT_REFUSED;
	decision.retry_after_us = RETRY_AFTER_US;
	if (call->deadline_us > 0 && call->deadline_us <= now_us)
		decision.refusal = REFUSAL_DEADLINE;
	else if (g_queue_get_length(&placement->waiting) >
		 (guint)placement->options.max_waiting)
		decision.refusal = REFUSAL_QUEUE_FULL;
	else
		return;
	placement_forget(placement, call);
	g_array_append_val(decisions, decision);
}

/* Appends struct placement_decision for all that can be decided now. */
void placement_step(struct placement *placement, int64_t now_us,
		    GArray *decisions)
{
	GList *item = placement->waiting.head;

	while (item) {
		GList *next = item->next;

		placement_decide(placement, item->data, now_us, decisions);
		item = next;
	}
}

/* When to step again though nothing happens; INT64_MAX: not needed. */
int64_t placement_next_due_us(const struct placement *placement)
{
	int64_t due = INT64_MAX;

	for (GList *item = placement->waiting.head; item; item = item->next) {
		const struct call *call = item->data;

		if (call->deadline_us > 0)
			due = MIN(due, call->deadline_us);
	}
	return due;
}

/* What the placement holds, for the dump of a node. */
GVariant *placement_dump(const struct placement *placement,
			 G_GNUC_UNUSED int64_t now_us)
{
	GVariantDict dict;

	g_variant_dict_init(&dict, NULL);
	g_variant_dict_insert(
		&dict, "waiting", "u",
		g_queue_get_length((GQueue *)&placement->waiting));
	g_variant_dict_insert(&dict, "endpoints", "u",
			      g_hash_table_size(placement->endpoints));
	return g_variant_dict_end(&dict);
}
