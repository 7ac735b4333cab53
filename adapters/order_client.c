#include "adapters/order_client.h"

#include "adapters/bounded_request.h"
#include "adapters/http_head_guard.h"
#include "codec/order_json.h"

#include <libsoup/soup.h>

enum {
	MAX_ORDER_BYTES = 4 * 1024,
	MAX_ANSWER_BYTES = 16 * 1024,
	MAX_CONNECTIONS = 64
};

struct order_client {
	SoupSession *session;
	struct log *log; /* may be NULL */
	struct event_sink sink;
	GHashTable *calls; /* struct order_call, a set */
};

struct order_call {
	struct order_client *client;
	char *endpoint;
	struct bounded_request *request;
};

static void order_call_destroy(gpointer data)
{
	struct order_call *call = data;

	bounded_request_cancel(call->request);
	g_free(call->endpoint);
	g_free(call);
}

static void order_client_log_failure(const struct order_client *client,
				     const struct bounded_result *result)
{
	if (client->log && !result->status)
		log_write_error(client->log, LOG_LEVEL_WARN, "order_failed",
				&result->error);
}

/*
 * Only a status that explicitly rejects the order is ORDER_REFUSED. A status
 * that does not show whether the engine accepted the order, or a missing
 * answer, is ORDER_UNCONFIRMED, after which the core reads the engine's state.
 */
static enum order_outcome
order_outcome_of_status(const struct bounded_result *result)
{
	switch (result->status) {
	case SOUP_STATUS_OK:
		return ORDER_ACCEPTED;
	case SOUP_STATUS_CONFLICT:
		return ORDER_STALE;
	case SOUP_STATUS_BAD_REQUEST:
	case SOUP_STATUS_NOT_FOUND:
	case SOUP_STATUS_UNPROCESSABLE_ENTITY:
		return ORDER_REFUSED;
	default:
		return ORDER_UNCONFIRMED;
	}
}

static void on_order_answered(void *data, const struct bounded_result *result)
{
	struct order_call *call = data;
	struct order_client *client = call->client;
	struct event event = {.type = EVENT_ORDER};

	call->request = NULL;
	order_client_log_failure(client, result);
	event.order.endpoint = call->endpoint;
	event.order.outcome = order_outcome_of_status(result);
	g_hash_table_steal(client->calls, call);
	client->sink.deliver(client->sink.data, &event);
	order_call_destroy(call);
}

static void on_state_read(void *data, const struct bounded_result *result)
{
	struct order_call *call = data;
	struct order_client *client = call->client;
	struct event event = {.type = EVENT_ORDER_STATE};
	struct order_state state = {0};
	struct error error = result->error;

	call->request = NULL;
	event.order_state.endpoint = call->endpoint;
	if (result->status == SOUP_STATUS_OK &&
	    order_json_parse_state(result->body, &state, &error)) {
		event.order_state.target = state.target;
		event.order_state.loading = state.loading;
		event.order_state.requests_running = state.requests_running;
	}
	g_hash_table_steal(client->calls, call);
	client->sink.deliver(client->sink.data, &event);
	order_state_clear(&state);
	order_call_destroy(call);
}

static void order_client_send(struct order_client *client, const char *endpoint,
			      GBytes *body, int64_t timeout_us,
			      bounded_request_done done)
{
	struct order_call *call = g_new0(struct order_call, 1);
	char *url = g_strdup_printf("http://%s/v1/orders", endpoint);
	struct bounded_request_spec spec = {
		.method = body ? "POST" : "GET",
		.url = url,
		.body = body,
		.fresh_connection = body != NULL,
		.max_request_bytes = MAX_ORDER_BYTES,
		.max_answer_bytes = MAX_ANSWER_BYTES,
		.timeout_us = timeout_us,
		.step = body ? "order.send" : "order.read",
		.peer = endpoint,
	};

	call->client = client;
	call->endpoint = g_strdup(endpoint);
	call->request =
		bounded_request_start(client->session, &spec, done, call);
	g_hash_table_add(client->calls, call);
	g_free(url);
}

/* Creates a client; log may be NULL and must outlive it, sink is copied. */
struct order_client *order_client_create(struct log *log,
					 const struct event_sink *sink)
{
	struct order_client *client = g_new0(struct order_client, 1);

	client->session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host", 2, NULL);
	http_head_guard_add(client->session);
	client->log = log;
	client->sink = *sink;
	client->calls =
		g_hash_table_new_full(NULL, NULL, order_call_destroy, NULL);
	return client;
}

/* Cancels all calls without delivering an event. NULL is allowed. */
void order_client_destroy(struct order_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->calls);
	soup_session_abort(client->session);
	g_object_unref(client->session);
	g_free(client);
}

/* Executes ACTION_ORDER and ACTION_READ_ORDER; ignores other actions. */
void order_client_apply(struct order_client *client,
			const struct action *action)
{
	GBytes *body;

	switch (action->type) {
	case ACTION_ORDER:
		body = order_json_format_request(action->order.fence,
						 action->order.target);
		order_client_send(client, action->order.endpoint, body,
				  action->order.timeout_us, on_order_answered);
		g_bytes_unref(body);
		break;
	case ACTION_READ_ORDER:
		order_client_send(client, action->read_order.endpoint, NULL,
				  action->read_order.timeout_us, on_state_read);
		break;
	default:
		break;
	}
}
