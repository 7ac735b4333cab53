#include "fakes/fake_server.h"

#include "core/json/json_writer.h"

#include <errno.h>
#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 512

struct fake_server {
	SoupServer *soup;
	GMainLoop *loop;
	char *address;
	GPtrArray *handlers; /* struct handler */
	const struct fake_mode *modes;
	size_t mode_count;
	fake_server_callback changed;
	void *changed_data;
	guint signals[2];
	guint stall_timer;
	GPtrArray *held_answers; /* SoupServerMessage answered while stalled */
};

struct handler {
	struct fake_server *server;
	fake_server_handler run;
	void *data;
};

/*
 * Binds a socket with a longer backlog than libsoup's 10: when 50 nodes connect
 * at once, the kernel drops the connections beyond the backlog, and each is
 * retried a second later.
 */
static bool fake_server_bind(struct fake_server *server,
			     GSocketAddress *address, GError **error)
{
	g_autoptr(GSocket) socket = g_socket_new(
		g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
		G_SOCKET_PROTOCOL_TCP, error);

	if (!socket)
		return false;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	return g_socket_bind(socket, address, TRUE, error) &&
	       g_socket_listen(socket, error) &&
	       soup_server_listen_socket(server->soup, socket, 0, error);
}

/*
 * Parses "IP:PORT" and listens there. Port 0 selects a free port, which is then
 * part of the server's address. On failure prints a line to standard error and
 * returns false.
 */
static bool fake_server_listen(struct fake_server *server, const char *text)
{
	g_autofree char *copy = g_strdup(text);
	char *colon = strrchr(copy, ':');
	guint64 port = 0;
	g_autoptr(GSocketAddress) address = NULL;
	g_autoptr(GError) error = NULL;
	GSList *uris;

	if (colon && g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16,
						&port, NULL)) {
		*colon = '\0';
		address = g_inet_socket_address_new_from_string(copy,
								(guint)port);
	}
	if (!address) {
		fprintf(stderr, "%s: expected IP:PORT\n", text);
		return false;
	}
	if (!fake_server_bind(server, address, &error)) {
		fprintf(stderr, "%s: %s\n", text, error->message);
		return false;
	}
	uris = soup_server_get_uris(server->soup);
	server->address =
		g_strdup_printf("%s:%d", copy, g_uri_get_port(uris->data));
	g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
	return true;
}

/*
 * Parses the command line into options, to which it adds --address and --help.
 * On an error prints a line to standard error and returns false.
 */
static bool parse_command_line(int argc, const char **argv,
			       struct poptOption *options, char **address)
{
	struct poptOption table[] = {
		{"address", 0, POPT_ARG_STRING, address, 0,
		 "Address to listen on; port 0 selects a free port", "IP:PORT"},
		{NULL, 0, POPT_ARG_INCLUDE_TABLE, options, 0, "Options:", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext(NULL, argc, argv, table, 0);
	int rc;

	while ((rc = poptGetNextOpt(context)) > 0)
		continue;
	if (rc < -1)
		fprintf(stderr, "%s: %s\n", poptBadOption(context, 0),
			poptStrerror(rc));
	else if (poptPeekArg(context))
		fprintf(stderr, "%s: unexpected argument\n",
			poptPeekArg(context));
	else
		rc = 0;
	poptFreeContext(context);
	return rc == 0;
}

static bool mode_set(const struct fake_mode *mode, JsonNode *node)
{
	char **text;

	if (!JSON_NODE_HOLDS_VALUE(node))
		return false;
	switch (mode->type) {
	case FAKE_MODE_BOOL:
		*(bool *)mode->value = json_node_get_boolean(node);
		return json_node_get_value_type(node) == G_TYPE_BOOLEAN;
	case FAKE_MODE_INT:
		*(int64_t *)mode->value = json_node_get_int(node);
		return json_node_get_value_type(node) == G_TYPE_INT64;
	case FAKE_MODE_STRING:
		text = mode->value;
		g_free(*text);
		*text = g_strdup(json_node_get_string(node));
		return *text != NULL;
	}
	return false;
}

static const struct fake_mode *find_mode(const struct fake_server *server,
					 const char *name)
{
	for (size_t i = 0; i < server->mode_count; i++) {
		if (strcmp(server->modes[i].name, name) == 0)
			return &server->modes[i];
	}
	return NULL;
}

/* POST /fake/mode: sets the modes named in a JSON object. */
static void handle_mode(void *data, SoupServerMessage *message,
			const char *path G_GNUC_UNUSED)
{
	struct fake_server *server = data;
	JsonObject *object = fake_message_read_json(message);
	JsonObjectIter i;
	const char *name;
	JsonNode *node;

	if (!object)
		return;
	json_object_iter_init(&i, object);
	while (json_object_iter_next(&i, &name, &node)) {
		const struct fake_mode *mode = find_mode(server, name);

		if (!mode || !mode_set(mode, node)) {
			fake_message_answer_text(message, 400, name);
			json_object_unref(object);
			return;
		}
	}
	json_object_unref(object);
	fake_message_answer_text(message, 200, "ok\n");
	if (server->changed)
		server->changed(server->changed_data);
}

static gboolean stop(gpointer data)
{
	struct fake_server *server = data;

	g_main_loop_quit(server->loop);
	return G_SOURCE_CONTINUE;
}

/*
 * Parses the command line, with the daemon's own options, and listens. On
 * failure prints a line to standard error and returns NULL; the daemon then
 * exits with status 2.
 */
struct fake_server *fake_server_create(int argc, const char **argv,
				       struct poptOption *options)
{
	struct fake_server *server;
	char *address = NULL;

	if (!parse_command_line(argc, argv, options, &address)) {
		free(address);
		return NULL;
	}
	server = g_new0(struct fake_server, 1);
	server->soup = soup_server_new("server-header", "fake ", NULL);
	server->loop = g_main_loop_new(NULL, FALSE);
	server->handlers = g_ptr_array_new_with_free_func(g_free);
	server->held_answers = g_ptr_array_new_with_free_func(g_object_unref);
	if (!fake_server_listen(server, address ? address : "127.0.0.1:0")) {
		fake_server_destroy(server);
		server = NULL;
	}
	free(address);
	return server;
}

/* Closes all connections and frees the server; NULL is allowed. */
void fake_server_destroy(struct fake_server *server)
{
	if (!server)
		return;
	if (server->stall_timer)
		g_source_remove(server->stall_timer);
	for (size_t i = 0; i < G_N_ELEMENTS(server->signals); i++) {
		if (server->signals[i])
			g_source_remove(server->signals[i]);
	}
	g_ptr_array_unref(server->held_answers);
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	g_main_loop_unref(server->loop);
	g_ptr_array_unref(server->handlers);
	g_free(server->address);
	g_free(server);
}

/*
 * Runs the handler of a request. If the link is stalled, the answer is held
 * until the stall ends, except below /fake.
 */
static void dispatch(SoupServer *soup G_GNUC_UNUSED, SoupServerMessage *message,
		     const char *path, GHashTable *query G_GNUC_UNUSED,
		     gpointer data)
{
	const struct handler *handler = data;
	struct fake_server *server = handler->server;

	handler->run(handler->data, message, path);
	if (!fake_server_link_stalled(server) ||
	    g_str_has_prefix(path, "/fake"))
		return;
	soup_server_message_pause(message);
	g_ptr_array_add(server->held_answers, g_object_ref(message));
}

/*
 * Registers a handler for the requests to path and all paths below it. The
 * handler sets the answer before it returns, or pauses the message and answers
 * later.
 */
void fake_server_add_handler(struct fake_server *server, const char *path,
			     fake_server_handler handler, void *data)
{
	struct handler *entry = g_new(struct handler, 1);

	*entry = (struct handler){server, handler, data};
	g_ptr_array_add(server->handlers, entry);
	soup_server_add_handler(server->soup, path, dispatch, entry, NULL);
}

/*
 * Sets the modes of POST /fake/mode. The array is not copied and must outlive
 * the server's last request. changed, which may be NULL, is called after each
 * successful POST and when a stall of the link ends.
 */
void fake_server_set_modes(struct fake_server *server,
			   const struct fake_mode *modes, size_t count,
			   fake_server_callback changed, void *data)
{
	server->modes = modes;
	server->mode_count = count;
	server->changed = changed;
	server->changed_data = data;
	fake_server_add_handler(server, "/fake/mode", handle_mode, server);
}

/*
 * Prints the address and serves until SIGTERM or SIGINT. Returns the exit
 * status of the process.
 */
int fake_server_run(struct fake_server *server)
{
	server->signals[0] = g_unix_signal_add(SIGTERM, stop, server);
	server->signals[1] = g_unix_signal_add(SIGINT, stop, server);
	printf("listening %s\n", server->address);
	fflush(stdout);
	g_main_loop_run(server->loop);
	return 0;
}

/*
 * Returns the address it listens on, as IP:PORT; for tests that run the server
 * in their own loop.
 */
const char *fake_server_address(const struct fake_server *server)
{
	return server->address;
}

static gboolean on_stall_ended(gpointer data)
{
	struct fake_server *server = data;

	server->stall_timer = 0;
	for (guint i = 0; i < server->held_answers->len; i++)
		soup_server_message_unpause(
			g_ptr_array_index(server->held_answers, i));
	g_ptr_array_set_size(server->held_answers, 0);
	if (server->changed)
		server->changed(server->changed_data);
	return G_SOURCE_REMOVE;
}

/*
 * Stalls the link for stall_ms: requests are accepted and run, nothing is sent,
 * and connections stay open. Then the changed callback is called. 0 has no
 * effect.
 */
void fake_server_stall_link(struct fake_server *server, int64_t stall_ms)
{
	if (stall_ms <= 0)
		return;
	if (server->stall_timer)
		g_source_remove(server->stall_timer);
	server->stall_timer = g_timeout_add(stall_ms, on_stall_ended, server);
}

/* Returns whether the link is stalled: streams must then send nothing. */
bool fake_server_link_stalled(const struct fake_server *server)
{
	return server->stall_timer != 0;
}

/*
 * Parses the request body as a JSON object, to be released with
 * json_object_unref. On an error answers 400 and returns NULL.
 */
JsonObject *fake_message_read_json(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;
	gsize size;
	const char *text = g_bytes_get_data(bytes, &size);

	if (size && json_parser_load_from_data(parser, text, size, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			return json_object_ref(json_node_get_object(root));
	}
	fake_message_answer_text(message, 400, "expected a JSON object\n");
	return NULL;
}

/* Answers with the builder's JSON text and frees the builder. */
void fake_message_answer_json(SoupServerMessage *message, unsigned status,
			      JsonBuilder *builder)
{
	char *text = json_writer_finish_text(builder);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

/* Answers with a copy of the text. */
void fake_message_answer_text(SoupServerMessage *message, unsigned status,
			      const char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "text/plain",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

/* Answers with metrics in the Prometheus text format. */
void fake_message_answer_metrics(SoupServerMessage *message,
				 const struct fake_metric *metrics,
				 size_t count)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(text, "%s %" G_GINT64_FORMAT "\n",
				       metrics[i].name, metrics[i].value);
	fake_message_answer_text(message, 200, text->str);
}

/* Returns a header of the request, or NULL if it was not sent. */
const char *fake_message_header(SoupServerMessage *message, const char *name)
{
	return soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), name);
}

static void message_close_stream(SoupServerMessage *message)
{
	GIOStream *stream = soup_server_message_steal_connection(message);

	if (!stream)
		return;
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

/*
 * Closes the connection of a message, whose answer then lacks its end. libsoup
 * would write the end of a chunked body first.
 */
void fake_message_close_connection(SoupServerMessage *message)
{
	g_socket_shutdown(soup_server_message_get_socket(message), FALSE, TRUE,
			  NULL);
	message_close_stream(message);
}

/*
 * Sets whether the end of the connection of a message, also by the end of this
 * process, resets it.
 */
void fake_message_set_reset(SoupServerMessage *message, bool is_reset)
{
	GSocket *socket = soup_server_message_get_socket(message);
	struct linger linger = {is_reset, 0};

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

/*
 * Resets the connection of a message, as a host does after its server process
 * has ended.
 */
void fake_message_reset_connection(SoupServerMessage *message)
{
	fake_message_set_reset(message, true);
	message_close_stream(message);
}

struct close_watch {
	fake_server_callback closed;
	void *data;
};

static gboolean socket_readable(GSocket *socket, GIOCondition condition,
				gpointer data)
{
	struct close_watch *watch = data;

	if (!(condition & (G_IO_HUP | G_IO_ERR)) &&
	    g_socket_get_available_bytes(socket) > 0)
		return G_SOURCE_REMOVE;
	watch->closed(watch->data);
	return G_SOURCE_REMOVE;
}

/*
 * Calls closed once when the client disconnects, also while nothing is sent to
 * it: libsoup itself notices a disconnect only at the next write. The caller
 * owns the returned source and destroys it when the answer is complete.
 */
GSource *fake_message_on_disconnect(SoupServerMessage *message,
				    fake_server_callback closed, void *data)
{
	struct close_watch *watch = g_new(struct close_watch, 1);
	GSource *source =
		g_socket_create_source(soup_server_message_get_socket(message),
				       G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);

	*watch = (struct close_watch){closed, data};
	g_source_set_callback(source, G_SOURCE_FUNC(socket_readable), watch,
			      g_free);
	g_source_attach(source, NULL);
	return source;
}
