#include "adapters/vm_list_client.h"

#include "adapters/bounded_request.h"
#include "adapters/http_head_guard.h"
#include "codec/vm_list_json.h"

#include <libsoup/soup.h>

enum { MAX_LIST_BYTES = 4 * 1024 * 1024 };

struct vm_list_client {
	SoupSession *session;
	char *address;
	int64_t poll_ms;
	int64_t timeout_ms;
	struct log *log;
	struct event_sink sink;
	struct bounded_request *call;
	GSource *timer;
	bool failing; /* the outage is in the log already */
};

static void vm_list_client_poll(struct vm_list_client *client);

static void clear_timer(struct vm_list_client *client)
{
	if (!client->timer)
		return;
	g_source_destroy(client->timer);
	g_clear_pointer(&client->timer, g_source_unref);
}

static gboolean on_poll(gpointer data)
{
	struct vm_list_client *client = data;

	clear_timer(client);
	vm_list_client_poll(client);
	return G_SOURCE_REMOVE;
}

static void vm_list_client_schedule(struct vm_list_client *client)
{
	clear_timer(client);
	client->timer = g_timeout_source_new((guint)client->poll_ms);
	g_source_set_callback(client->timer, on_poll, client, NULL);
	g_source_attach(client->timer, g_main_context_get_thread_default());
}

/* Logs the first failure of an outage only, not one line for each poll. */
static void vm_list_client_fail(struct vm_list_client *client,
				const struct error *error)
{
	if (client->log && !client->failing)
		log_write_error(client->log, LOG_LEVEL_WARN, "vm_list_failed",
				error);
	client->failing = true;
}

static void on_list(void *data, const struct bounded_result *result)
{
	struct vm_list_client *client = data;
	struct event event = {.type = EVENT_VM_LIST};
	struct error error = result->error;
	GArray *vms;

	client->call = NULL;
	vm_list_client_schedule(client);
	if (result->status != SOUP_STATUS_OK) {
		if (result->status)
			error_set(&error, ERROR_REFUSED, "vm_list.get",
				  client->address, "status %d", result->status);
		vm_list_client_fail(client, &error);
		return;
	}
	vms = vm_list_json_parse(result->body, MAX_LIST_BYTES, &error);
	if (!vms) {
		vm_list_client_fail(client, &error);
		return;
	}
	client->failing = false;
	event.vm_list.vms = (const struct vm *)(void *)vms->data;
	event.vm_list.vm_count = vms->len;
	client->sink.deliver(client->sink.data, &event);
	g_array_unref(vms);
}

static void vm_list_client_poll(struct vm_list_client *client)
{
	char *url = g_strdup_printf("http://%s/v1/vms", client->address);
	struct bounded_request_spec spec = {
		.method = "GET",
		.url = url,
		.max_answer_bytes = MAX_LIST_BYTES,
		.timeout_us = client->timeout_ms * 1000,
		.step = "vm_list.get",
		.peer = client->address,
	};

	client->call =
		bounded_request_start(client->session, &spec, on_list, client);
	g_free(url);
}

/* Starts polling. Options and sink are copied; the log must outlive it. */
struct vm_list_client *
vm_list_client_create(const struct vm_list_client_options *options,
		      const struct event_sink *sink)
{
	struct vm_list_client *client = g_new0(struct vm_list_client, 1);

	client->session = soup_session_new();
	http_head_guard_add(client->session);
	client->address = g_strdup(options->address);
	client->poll_ms = options->poll_ms;
	client->timeout_ms = options->timeout_ms;
	client->log = options->log;
	client->sink = *sink;
	vm_list_client_poll(client);
	return client;
}

/* Stops polling and frees the client; no event follows. NULL is allowed. */
void vm_list_client_destroy(struct vm_list_client *client)
{
	if (!client)
		return;
	clear_timer(client);
	bounded_request_cancel(client->call);
	soup_session_abort(client->session);
	g_object_unref(client->session);
	g_free(client->address);
	g_free(client);
}
