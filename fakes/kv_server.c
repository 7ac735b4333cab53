#include "fakes/kv_server.h"

#include "core/json/json_writer.h"

#include <string.h>

enum { MODE_COUNT = 7 };

struct kv_server {
	struct fake_server *fake;
	struct kv_model *model;
	struct kv_server_modes modes;
	struct fake_mode mode_table[MODE_COUNT];
	uint64_t counts[KV_CALL_COUNT];
	GPtrArray *watchers;	     /* struct watcher */
	GPtrArray *stalled_messages; /* SoupServerMessage, never answered */
	GHashTable *delayed_sources; /* GSource * of struct delayed_send */
	guint lease_timer;
};

struct watcher {
	struct kv_server *server;
	SoupServerMessage *message;
	struct kv_gateway_watch watch;
	GSource *close_source;
};

static void watcher_destroy(gpointer data)
{
	struct watcher *watcher = data;

	g_source_destroy(watcher->close_source);
	g_source_unref(watcher->close_source);
	kv_gateway_watch_clear(&watcher->watch);
	g_object_unref(watcher->message);
	g_free(watcher);
}

static void on_watch_closed(void *data)
{
	struct watcher *watcher = data;

	g_ptr_array_remove(watcher->server->watchers, watcher);
}

static void watcher_send(struct watcher *watcher, char *line)
{
	SoupMessageBody *body =
		soup_server_message_get_response_body(watcher->message);

	soup_message_body_append_take(body, (guchar *)line, strlen(line));
	soup_server_message_unpause(watcher->message);
}

static void watcher_send_changes(struct watcher *watcher)
{
	char *line;

	while ((line = kv_gateway_watch_next_line(watcher->server->model,
						  &watcher->watch)))
		watcher_send(watcher, line);
}

static void send_changes(struct kv_server *server)
{
	if (server->modes.stall)
		return;
	for (guint i = 0; i < server->watchers->len; i++)
		watcher_send_changes(g_ptr_array_index(server->watchers, i));
}

static void end_watches(struct kv_server *server)
{
	for (guint i = 0; i < server->watchers->len; i++) {
		struct watcher *watcher =
			g_ptr_array_index(server->watchers, i);

		soup_message_body_complete(
			soup_server_message_get_response_body(
				watcher->message));
		soup_server_message_unpause(watcher->message);
	}
	g_ptr_array_set_size(server->watchers, 0);
}

/* Sends an answer, or changes to the watches, after a delay. */
struct delayed_send {
	struct kv_server *server;
	GSource *source;
	SoupServerMessage *message; /* NULL: send changes to watches */
};

static void delayed_send_free(gpointer data)
{
	struct delayed_send *delayed_send = data;

	g_clear_object(&delayed_send->message);
	g_free(delayed_send);
}

static gboolean run_delayed_send(gpointer data)
{
	struct delayed_send *delayed_send = data;
	struct kv_server *server = delayed_send->server;

	if (delayed_send->message)
		soup_server_message_unpause(delayed_send->message);
	else
		send_changes(server);
	g_hash_table_remove(server->delayed_sources, delayed_send->source);
	return G_SOURCE_REMOVE;
}

static void destroy_source(gpointer data)
{
	g_source_destroy(data);
	g_source_unref(data);
}

static void schedule_send(struct kv_server *server, int64_t delay_ms,
			  SoupServerMessage *message)
{
	struct delayed_send *delayed_send = g_new0(struct delayed_send, 1);

	delayed_send->server = server;
	delayed_send->source = g_timeout_source_new((guint)delay_ms);
	delayed_send->message = message ? g_object_ref(message) : NULL;
	g_source_set_callback(delayed_send->source, run_delayed_send,
			      delayed_send, delayed_send_free);
	g_source_attach(delayed_send->source, NULL);
	g_hash_table_add(server->delayed_sources, delayed_send->source);
}

static gboolean on_lease_expiry(gpointer data)
{
	struct kv_server *server = data;

	server->lease_timer = 0;
	kv_server_update(server);
	return G_SOURCE_REMOVE;
}

static void schedule_lease_expiry(struct kv_server *server)
{
	int64_t due_us = kv_model_next_expiry_us(server->model);
	int64_t now_us = g_get_monotonic_time();

	if (server->lease_timer)
		g_source_remove(server->lease_timer);
	server->lease_timer = 0;
	if (due_us != INT64_MAX)
		server->lease_timer =
			g_timeout_add(MAX(due_us - now_us, 0) / 1000 + 1,
				      on_lease_expiry, server);
}

/*
 * Applies the modes, expires leases and sends pending changes to the watches.
 * To be called after each change of the modes or the model.
 */
void kv_server_update(struct kv_server *server)
{
	struct kv_server_modes *modes = &server->modes;

	if (modes->expire_lease)
		kv_model_lease_revoke(server->model, modes->expire_lease);
	modes->expire_lease = 0;
	if (modes->down || modes->close_watches)
		end_watches(server);
	modes->close_watches = false;
	kv_model_expire_leases(server->model, g_get_monotonic_time());
	schedule_lease_expiry(server);
	if (modes->watch_delay_ms > 0)
		schedule_send(server, modes->watch_delay_ms, NULL);
	else
		send_changes(server);
}

static void on_mode_changed(void *data)
{
	kv_server_update(data);
}

static void close_connection(SoupServerMessage *message)
{
	GIOStream *stream = soup_server_message_steal_connection(message);

	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static void handle_watch(struct kv_server *server, SoupServerMessage *message,
			 JsonObject *body)
{
	struct kv_gateway_watch watch;
	struct watcher *watcher;
	bool compacted;
	char *line;

	if (!kv_gateway_watch_parse(server->model, body, &watch)) {
		fake_message_answer_text(message, 400, "no create_request\n");
		return;
	}
	line = kv_gateway_watch_created_line(server->model, &watch, &compacted);
	if (compacted) {
		kv_gateway_watch_clear(&watch);
		fake_message_answer_text(message, 200, line);
		g_free(line);
		return;
	}
	watcher = g_new0(struct watcher, 1);
	watcher->server = server;
	watcher->message = g_object_ref(message);
	watcher->watch = watch;
	watcher->close_source =
		fake_message_on_disconnect(message, on_watch_closed, watcher);
	g_ptr_array_add(server->watchers, watcher);
	soup_server_message_set_status(message, 200, NULL);
	soup_message_headers_set_encoding(
		soup_server_message_get_response_headers(message),
		SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	watcher_send(watcher, line);
	if (server->modes.watch_delay_ms == 0)
		watcher_send_changes(watcher);
}

static void handle_call(struct kv_server *server, SoupServerMessage *message,
			enum kv_call call, JsonObject *body)
{
	JsonBuilder *answer = json_builder_new();
	unsigned status = kv_gateway_answer(server->model, call, body,
					    g_get_monotonic_time(), answer);

	fake_message_answer_json(message, status, answer);
	if (!kv_call_writes(call))
		return;
	if (server->modes.lose_answers > 0) {
		server->modes.lose_answers--;
		close_connection(message);
	}
	kv_server_update(server);
}

static void handle_v3(void *data, SoupServerMessage *message, const char *path)
{
	struct kv_server *server = data;
	enum kv_call call;
	JsonObject *body;

	if (!kv_gateway_find_call(path, &call)) {
		fake_message_answer_text(message, 404, "no such path\n");
		return;
	}
	server->counts[call]++;
	if (server->modes.stall) {
		soup_server_message_pause(message);
		g_ptr_array_add(server->stalled_messages,
				g_object_ref(message));
		return;
	}
	if (server->modes.down) {
		fake_message_answer_text(message, 503, "{\"code\":14}\n");
		return;
	}
	body = fake_message_read_json(message);
	if (!body)
		return;
	if (call == KV_CALL_WATCH)
		handle_watch(server, message, body);
	else
		handle_call(server, message, call, body);
	json_object_unref(body);
	if (server->modes.slow_ms > 0 && call != KV_CALL_WATCH) {
		soup_server_message_pause(message);
		schedule_send(server, server->modes.slow_ms, message);
	}
}

static void handle_calls(void *data, SoupServerMessage *message,
			 const char *path)
{
	struct kv_server *server = data;
	JsonBuilder *builder = json_builder_new();

	(void)path;
	json_builder_begin_object(builder);
	for (int i = 0; i < KV_CALL_COUNT; i++) {
		json_builder_set_member_name(builder,
					     kv_call_name((enum kv_call)i));
		json_builder_add_int_value(builder, (gint64)server->counts[i]);
	}
	json_writer_add_int(builder, "open_watches", server->watchers->len);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

static void register_modes(struct kv_server *server)
{
	struct kv_server_modes *modes = &server->modes;
	const struct fake_mode mode_table[MODE_COUNT] = {
		{"down", FAKE_MODE_BOOL, &modes->down},
		{"stall", FAKE_MODE_BOOL, &modes->stall},
		{"slow_ms", FAKE_MODE_INT, &modes->slow_ms},
		{"lose_answers", FAKE_MODE_INT, &modes->lose_answers},
		{"lapse_lease", FAKE_MODE_INT, &modes->expire_lease},
		{"watch_delay_ms", FAKE_MODE_INT, &modes->watch_delay_ms},
		{"close_watches", FAKE_MODE_BOOL, &modes->close_watches},
	};

	memcpy(server->mode_table, mode_table, sizeof(mode_table));
	fake_server_set_modes(server->fake, server->mode_table, MODE_COUNT,
			      on_mode_changed, server);
}

/*
 * Adds an empty key-value service to a fake, which must not serve any more
 * after kv_server_destroy().
 */
struct kv_server *kv_server_create(struct fake_server *fake)
{
	struct kv_server *server = g_new0(struct kv_server, 1);

	server->fake = fake;
	server->model = kv_model_create();
	server->watchers = g_ptr_array_new_with_free_func(watcher_destroy);
	server->stalled_messages =
		g_ptr_array_new_with_free_func(g_object_unref);
	server->delayed_sources =
		g_hash_table_new_full(NULL, NULL, destroy_source, NULL);
	register_modes(server);
	fake_server_add_handler(fake, "/v3", handle_v3, server);
	fake_server_add_handler(fake, "/fake/calls", handle_calls, server);
	return server;
}

/* Frees the service, not the fake that served it; NULL is allowed. */
void kv_server_destroy(struct kv_server *server)
{
	if (!server)
		return;
	if (server->lease_timer)
		g_source_remove(server->lease_timer);
	g_hash_table_unref(server->delayed_sources);
	g_ptr_array_unref(server->watchers);
	g_ptr_array_unref(server->stalled_messages);
	kv_model_destroy(server->model);
	g_free(server);
}

/* Returns the served model, which the server owns. */
struct kv_model *kv_server_model(struct kv_server *server)
{
	return server->model;
}

/* Returns the modes; call kv_server_update() after a change to them. */
struct kv_server_modes *kv_server_modes(struct kv_server *server)
{
	return &server->modes;
}

/* Returns the number of requests of a call, answered or not. */
uint64_t kv_server_count(const struct kv_server *server, enum kv_call call)
{
	return server->counts[call];
}
