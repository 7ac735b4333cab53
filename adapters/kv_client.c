#include "adapters/kv_client.h"

#include "adapters/bounded_request.h"
#include "adapters/http_head_guard.h"
#include "adapters/kv_watch.h"
#include "codec/etcd_json.h"

#include <libsoup/soup.h>
#include <string.h>

enum {
	MAX_CONNECTIONS = 64,
	MAX_ENVELOPE_BYTES = 64 * 1024,
	DEFAULT_RESYNC_MS = 10000
};

struct kv_client {
	SoupSession *session;
	char *address;
	size_t max_value_bytes;
	int64_t watch_resync_ms;
	uint64_t seed;
	struct log *log;
	bool failing; /* the outage is in the log already */
	struct counters *counters;
	struct event_sink sink;
	GHashTable *calls;  /* struct kv_call, a set */
	GPtrArray *watches; /* struct kv_watch */
};

struct kv_call {
	struct kv_client *client;
	struct kv_request request; /* key and value are NULL */
	struct bounded_request *http;
};

static void kv_call_destroy(gpointer data)
{
	struct kv_call *call = data;

	bounded_request_cancel(call->http);
	g_free(call);
}

/*
 * Allows twice the size of the largest value, because Base64 takes 4/3 of the
 * bytes of a value and a list may hold many small entries.
 */
static size_t max_answer_bytes(const struct kv_client *client)
{
	return 2 * client->max_value_bytes + MAX_ENVELOPE_BYTES;
}

static bool op_writes(enum kv_op op)
{
	return op != KV_GET && op != KV_LIST;
}

static bool op_uses_lease(const struct kv_request *request)
{
	return request->lease != 0;
}

/*
 * Maps a failed call to its outcome. If an applied write were taken for not
 * applied, its caller could write again or answer that a change in force was
 * refused. KV_NOT_APPLIED is therefore returned only where the write cannot
 * have reached the log of the service: no request was started on a connection,
 * or the gateway answered that the request is malformed (400) or not allowed
 * (401, 403), or that the service accepts no more proposals (429, sent before
 * a proposal is made). A 404 means that the lease does not exist, which the
 * service checks before it writes. Every other status, such as 503 and 504,
 * may come after the proposal was made. A read of an earlier revision is
 * answered by 400 if that revision has been compacted.
 */
static enum kv_outcome
kv_outcome_of_failure(const struct kv_request *request,
		      const struct bounded_result *result)
{
	if (!result->sent)
		return KV_NOT_APPLIED;
	switch (result->status) {
	case SOUP_STATUS_BAD_REQUEST:
		return request->read_revision ? KV_NOT_FOUND : KV_NOT_APPLIED;
	case SOUP_STATUS_UNAUTHORIZED:
	case SOUP_STATUS_FORBIDDEN:
	case 429:
		return KV_NOT_APPLIED;
	case SOUP_STATUS_NOT_FOUND:
		return op_uses_lease(request) ? KV_NOT_FOUND : KV_ANSWER_LOST;
	default:
		return KV_ANSWER_LOST;
	}
}

/* Logs the first failure of an outage only, not one line for each call. */
static void kv_client_log_failure(struct kv_client *client,
				  const struct error *error)
{
	if (client->log && !client->failing)
		log_write_error(client->log, LOG_LEVEL_WARN, "kv_call_failed",
				error);
	client->failing = true;
}

static void kv_client_log_success(struct kv_client *client)
{
	if (client->log && client->failing)
		log_write(client->log, LOG_LEVEL_INFO, "kv_call_works", "peer",
			  client->address, NULL);
	client->failing = false;
}

static void kv_call_set_failed_answer(struct kv_call *call,
				      const struct bounded_result *result,
				      struct error *error,
				      struct kv_answer *answer)
{
	struct kv_client *client = call->client;

	if (result->status && error->code == ERROR_NONE)
		error_set(error, ERROR_REFUSED, "kv.call", client->address,
			  "status %d", result->status);
	g_strlcpy(error->peer, client->address, sizeof(error->peer));
	memset(answer, 0, sizeof(*answer));
	answer->id = call->request.id;
	answer->op = call->request.op;
	answer->outcome = kv_outcome_of_failure(&call->request, result);
	if (answer->outcome == KV_NOT_FOUND)
		return;
	kv_client_log_failure(client, error);
}

static void on_call_done(void *data, const struct bounded_result *result)
{
	struct kv_call *call = data;
	struct kv_client *client = call->client;
	struct error error = result->error;
	struct event event = {.type = EVENT_KV};
	struct kv_answer answer;

	call->http = NULL;
	if (result->status != SOUP_STATUS_OK ||
	    !etcd_json_parse_answer(&call->request, result->body,
				    max_answer_bytes(client), &answer, &error))
		kv_call_set_failed_answer(call, result, &error, &answer);
	else
		kv_client_log_success(client);
	g_hash_table_remove(client->calls, call);
	event.kv = &answer;
	client->sink.deliver(client->sink.data, &event);
	kv_answer_clear(&answer);
}

static void kv_client_call(struct kv_client *client,
			   const struct kv_request *request)
{
	struct kv_call *call = g_new0(struct kv_call, 1);
	char *url = g_strdup_printf("http://%s%s", client->address,
				    etcd_json_path(request->op));
	GBytes *body = etcd_json_format_request(request);
	struct bounded_request_spec spec = {
		.method = "POST",
		.url = url,
		.body = body,
		.fresh_connection = op_writes(request->op),
		.max_request_bytes = max_answer_bytes(client),
		.max_answer_bytes = max_answer_bytes(client),
		.timeout_us = request->timeout_us,
		.step = "kv.call",
		.peer = client->address,
	};

	call->client = client;
	call->request = *request;
	call->request.key = NULL;
	call->request.value = NULL;
	call->http = bounded_request_start(client->session, &spec, on_call_done,
					   call);
	g_hash_table_add(client->calls, call);
	g_bytes_unref(body);
	g_free(url);
}

static void kv_client_watch(struct kv_client *client, const char *key)
{
	struct kv_watch_options options = {
		.session = client->session,
		.address = client->address,
		.key = key,
		.max_answer_bytes = max_answer_bytes(client),
		.resync_ms = client->watch_resync_ms,
		.seed = client->seed + client->watches->len,
		.log = client->log,
		.counters = client->counters,
	};

	for (guint i = 0; i < client->watches->len; i++) {
		if (strcmp(kv_watch_key(g_ptr_array_index(client->watches, i)),
			   key) == 0)
			return;
	}
	g_ptr_array_add(client->watches,
			kv_watch_create(&options, &client->sink));
}

/*
 * Creates a client, which connects with its first call. Options and sink are
 * copied; the log and the counters must outlive the client.
 */
struct kv_client *kv_client_create(const struct kv_client_options *options,
				   const struct event_sink *sink)
{
	struct kv_client *client = g_new0(struct kv_client, 1);

	client->session = soup_session_new_with_options(
		"max-conns", MAX_CONNECTIONS, "max-conns-per-host",
		MAX_CONNECTIONS, NULL);
	http_head_guard_add(client->session);
	client->address = g_strdup(options->address);
	client->max_value_bytes = (size_t)options->max_value_bytes;
	client->watch_resync_ms = options->watch_resync_ms
					  ? options->watch_resync_ms
					  : DEFAULT_RESYNC_MS;
	client->seed = options->seed;
	client->log = options->log;
	client->counters = options->counters;
	client->sink = *sink;
	client->calls =
		g_hash_table_new_full(NULL, NULL, kv_call_destroy, NULL);
	client->watches = g_ptr_array_new_with_free_func(
		(GDestroyNotify)kv_watch_destroy);
	return client;
}

/*
 * Cancels all calls and watches without delivering an event, and frees the
 * client. NULL is allowed.
 */
void kv_client_destroy(struct kv_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->calls);
	g_ptr_array_unref(client->watches);
	soup_session_abort(client->session);
	g_object_unref(client->session);
	g_free(client->address);
	g_free(client);
}

/* Executes ACTION_KV and ACTION_KV_WATCH; ignores actions of other types. */
void kv_client_apply(struct kv_client *client, const struct action *action)
{
	switch (action->type) {
	case ACTION_KV:
		kv_client_call(client, &action->kv);
		break;
	case ACTION_KV_WATCH:
		kv_client_watch(client, action->kv_watch);
		break;
	default:
		break;
	}
}
