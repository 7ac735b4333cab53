#include "fakes/vm_list_server.h"

struct vm_list_server {
	int64_t lag_ms;
	bool down;
	struct fake_mode modes[2];
	GBytes *current;
	GPtrArray *pending; /* struct pending_list, oldest first */
};

struct pending_list {
	struct vm_list_server *server;
	GBytes *text;
	guint timer;
};

static void pending_list_destroy(gpointer data)
{
	struct pending_list *pending = data;

	if (pending->timer)
		g_source_remove(pending->timer);
	g_bytes_unref(pending->text);
	g_free(pending);
}

static gboolean publish_list(gpointer data)
{
	struct pending_list *pending = data;
	struct vm_list_server *server = pending->server;

	pending->timer = 0;
	g_bytes_unref(server->current);
	server->current = g_bytes_ref(pending->text);
	g_ptr_array_remove(server->pending, pending);
	return G_SOURCE_REMOVE;
}

static void handle_set(void *data, SoupServerMessage *message, const char *path)
{
	struct vm_list_server *server = data;
	JsonObject *body = fake_message_read_json(message);
	struct pending_list *pending;

	(void)path;
	if (!body)
		return;
	json_object_unref(body);
	pending = g_new0(struct pending_list, 1);
	pending->server = server;
	pending->text = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	pending->timer =
		g_timeout_add((guint)server->lag_ms, publish_list, pending);
	g_ptr_array_add(server->pending, pending);
	fake_message_answer_text(message, 200, "ok\n");
}

static void handle_get(void *data, SoupServerMessage *message, const char *path)
{
	struct vm_list_server *server = data;
	gsize size;
	const char *text = g_bytes_get_data(server->current, &size);

	(void)path;
	if (server->down) {
		fake_message_answer_text(message, 503, "down\n");
		return;
	}
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, size);
}

/*
 * Adds an empty list to a fake; each new list is served lag_ms after it was
 * set. The fake must not serve any more after vm_list_server_destroy().
 */
struct vm_list_server *vm_list_server_create(struct fake_server *fake,
					     int64_t lag_ms)
{
	static const char empty[] = "{\"vms\":[]}";
	struct vm_list_server *server = g_new0(struct vm_list_server, 1);

	server->lag_ms = lag_ms;
	server->current = g_bytes_new_static(empty, sizeof(empty) - 1);
	server->pending = g_ptr_array_new_with_free_func(pending_list_destroy);
	server->modes[0] =
		(struct fake_mode){"down", FAKE_MODE_BOOL, &server->down};
	server->modes[1] =
		(struct fake_mode){"lag_ms", FAKE_MODE_INT, &server->lag_ms};
	fake_server_set_modes(fake, server->modes, 2, NULL, NULL);
	fake_server_add_handler(fake, "/fake/vms", handle_set, server);
	fake_server_add_handler(fake, "/v1/vms", handle_get, server);
	return server;
}

/* Frees the list, not the fake that served it; NULL is allowed. */
void vm_list_server_destroy(struct vm_list_server *server)
{
	if (!server)
		return;
	g_ptr_array_unref(server->pending);
	g_bytes_unref(server->current);
	g_free(server);
}
