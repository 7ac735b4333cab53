#include "adapters/endpoint_client.h"

#include "adapters/endpoint_attempt.h"
#include "adapters/endpoint_request.h"
#include "adapters/http_exchange.h"
#include "adapters/load_text.h"

#include <libsoup/soup.h>

#define LOAD_BYTES_MAX 262144
#define US_PER_MS 1000

struct endpoint_client {
	struct endpoint_attempt_owner owner;
	struct event_sink sink;
	char *node_name;
	SoupSession *control_session; /* reuses its connections */
	int64_t load_timeout_ms;
	struct log *log; /* NULL: none */
	struct counters *counters;
	GHashTable *attempts;	   /* uint64_t -> struct endpoint_attempt */
	GHashTable *controls;	   /* struct control, as a set */
	GHashTable *load_rejected; /* endpoints whose last report was invalid */
};

/* A control request: a load poll or the cancellation of a generation. */
struct control {
	struct endpoint_client *client;
	struct http_exchange *exchange;
	char *endpoint;
	bool is_poll;
	bool ok; /* status 200 and body within LOAD_BYTES_MAX */
	GByteArray *body;
};

static void control_free(gpointer data)
{
	struct control *control = data;

	http_exchange_cancel(control->exchange);
	g_byte_array_unref(control->body);
	g_free(control->endpoint);
	g_free(control);
}

static void control_on_headers(void *data, SoupMessage *message)
{
	struct control *control = data;

	control->ok = soup_message_get_status(message) == SOUP_STATUS_OK;
}

static void control_on_bytes(void *data, const char *bytes, size_t length)
{
	struct control *control = data;

	if (control->body->len + length > LOAD_BYTES_MAX)
		control->ok = false;
	else
		g_byte_array_append(control->body, (const guint8 *)bytes,
				    (guint)length);
}

/*
 * Endpoints are polled many times a minute, so a series of rejected reports of
 * one endpoint is logged once, not on each poll.
 */
static void client_reject_load(struct endpoint_client *client,
			       const char *endpoint, const struct error *error)
{
	counters_add(client->counters, COUNTER_LOAD_REJECTED, 1);
	if (!g_hash_table_add(client->load_rejected, g_strdup(endpoint)) ||
	    !client->log)
		return;
	log_write(client->log, LOG_LEVEL_WARN, "load_rejected", "endpoint",
		  endpoint, "step", error->step, "detail", error->detail, NULL);
}

static bool control_read_load(struct control *control,
			      struct load_report *report)
{
	struct endpoint_client *client = control->client;
	struct error error;

	if (!load_text_parse((const char *)control->body->data,
			     control->body->len, report, &error)) {
		client_reject_load(client, control->endpoint, &error);
		return false;
	}
	g_hash_table_remove(client->load_rejected, control->endpoint);
	return true;
}

static void control_deliver_load(struct control *control,
				 const struct error *error)
{
	struct endpoint_client *client = control->client;
	struct event event = {.type = EVENT_LOAD};

	event.load.endpoint = control->endpoint;
	event.load.is_refused = error && error->code == ERROR_UNREACHABLE;
	if (!error && control->ok)
		event.load.reached =
			control_read_load(control, &event.load.report);
	client->sink.deliver(client->sink.data, &event);
}

static void control_on_ended(void *data, const struct error *error)
{
	struct control *control = data;

	g_hash_table_steal(control->client->controls, control);
	if (control->is_poll)
		control_deliver_load(control, error);
	control_free(control);
}

static void client_start_control(struct endpoint_client *client,
				 SoupMessage *message, const char *endpoint,
				 bool is_poll)
{
	struct control *control = g_new0(struct control, 1);
	struct http_exchange_options options = {
		.session = client->control_session,
		.message = message,
		.step = is_poll ? "endpoint.load" : "endpoint.cancel",
		.peer = endpoint,
		.answer_timeout_us = client->load_timeout_ms * US_PER_MS,
		.headers = control_on_headers,
		.bytes = control_on_bytes,
		.ended = control_on_ended,
		.data = control,
	};

	control->client = client;
	control->endpoint = g_strdup(endpoint);
	control->is_poll = is_poll;
	control->body = g_byte_array_new();
	control->exchange = http_exchange_start(&options);
	g_hash_table_add(client->controls, control);
	g_object_unref(message);
}

static void client_cancel_generation(void *data, const char *endpoint,
				     const char *generation)
{
	struct endpoint_client *client = data;
	SoupMessage *message = endpoint_request_cancel(endpoint, generation);

	if (message)
		client_start_control(client, message, endpoint, false);
}

static void client_attempt_ended(void *data, uint64_t attempt)
{
	struct endpoint_client *client = data;

	g_hash_table_remove(client->attempts, &attempt);
}

/*
 * Creates a client, which delivers its events to the sink until it is
 * destroyed. The caller owns the client; log and counters must outlive it.
 */
struct endpoint_client *
endpoint_client_create(const struct endpoint_client_options *options,
		       const struct event_sink *sink)
{
	struct endpoint_client *client = g_new0(struct endpoint_client, 1);
	struct endpoint_attempt_owner *owner = &client->owner;

	client->sink = *sink;
	client->node_name =
		g_strdup(options->node_name ? options->node_name : "node");
	client->control_session = http_exchange_session_create();
	client->load_timeout_ms = options->load_timeout_ms;
	client->log = options->log;
	client->counters = options->counters;
	client->attempts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)endpoint_attempt_destroy);
	client->controls =
		g_hash_table_new_full(NULL, NULL, control_free, NULL);
	client->load_rejected =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	owner->sessions = http_session_pool_create();
	owner->sink = &client->sink;
	owner->counters = options->counters;
	owner->node_name = client->node_name;
	owner->max_answer_bytes = options->max_answer_bytes;
	owner->connect_timeout_ms = options->connect_timeout_ms;
	owner->cancel_timeout_ms = options->load_timeout_ms;
	owner->ended = client_attempt_ended;
	owner->cancel_generation = client_cancel_generation;
	owner->data = client;
	return client;
}

/* Closes all connections; no more events are delivered. NULL is allowed. */
void endpoint_client_destroy(struct endpoint_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->attempts);
	g_hash_table_unref(client->controls);
	g_hash_table_unref(client->load_rejected);
	http_session_pool_destroy(client->owner.sessions);
	g_object_unref(client->control_session);
	g_free(client->node_name);
	g_free(client);
}

static void client_add(struct endpoint_client *client, uint64_t number,
		       struct endpoint_attempt *attempt)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = number;
	g_hash_table_insert(client->attempts, key, attempt);
}

static struct endpoint_attempt *client_find(struct endpoint_client *client,
					    uint64_t number)
{
	return g_hash_table_lookup(client->attempts, &number);
}

static void client_apply_send(struct endpoint_client *client,
			      const struct action *action)
{
	client_add(client, action->send.attempt,
		   endpoint_attempt_send(&client->owner, &action->send));
}

static void client_apply_resume(struct endpoint_client *client,
				const struct action *action)
{
	client_add(client, action->resume.attempt,
		   endpoint_attempt_resume(&client->owner, &action->resume));
}

/* Ignores an unknown attempt: it ended just before its cancellation. */
static void client_apply_cancel(struct endpoint_client *client,
				const struct action *action)
{
	struct endpoint_attempt *attempt =
		client_find(client, action->cancel.attempt);

	if (attempt &&
	    endpoint_attempt_cancel(attempt, action->cancel.keep_running))
		client_attempt_ended(client, action->cancel.attempt);
}

static void client_apply_flow(struct endpoint_client *client,
			      const struct action *action)
{
	struct endpoint_attempt *attempt =
		client_find(client, action->flow.attempt);

	if (attempt)
		endpoint_attempt_pause(attempt, action->flow.pause);
}

static void client_apply_poll(struct endpoint_client *client,
			      const struct action *action)
{
	const char *endpoint = action->poll_load.endpoint;
	SoupMessage *message = endpoint_request_load(endpoint);

	if (message)
		client_start_control(client, message, endpoint, true);
}

typedef void (*apply_function)(struct endpoint_client *client,
			       const struct action *action);

static const apply_function apply_functions[ACTION_TYPES] = {
	[ACTION_ATTEMPT_SEND] = client_apply_send,
	[ACTION_ATTEMPT_RESUME] = client_apply_resume,
	[ACTION_ATTEMPT_CANCEL] = client_apply_cancel,
	[ACTION_ATTEMPT_FLOW] = client_apply_flow,
	[ACTION_POLL_LOAD] = client_apply_poll,
};

/* Executes an ACTION_ATTEMPT_* or ACTION_POLL_LOAD; ignores other actions. */
void endpoint_client_apply(struct endpoint_client *client,
			   const struct action *action)
{
	if (action->type < ACTION_TYPES && apply_functions[action->type])
		apply_functions[action->type](client, action);
}
