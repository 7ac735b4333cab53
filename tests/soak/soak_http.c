#include "tests/soak/soak_http.h"

#include <gio/gio.h>
#include <http_parser.h>
#include <string.h>

#define STEP_CONNECT "soak.connect"
#define STEP_SEND "soak.send"
#define STEP_CALL "soak.call"
#define READ_BYTES 16384

struct soak_session {
	GSocket *socket;
	bool is_broken;
};

/* What the parser's callbacks fill while one answer is read. */
struct reader {
	struct soak_answer *answer;
	GString *field;
	GString *value;
	bool is_whole;
};

/* An answer that has not come yet. */
struct soak_answer *soak_answer_create(void)
{
	struct soak_answer *answer = g_new0(struct soak_answer, 1);

	answer->retry_after_us = -1;
	answer->body = g_string_new(NULL);
	return answer;
}

/* NULL is allowed. */
void soak_answer_destroy(struct soak_answer *answer)
{
	if (!answer)
		return;
	g_free(answer->request_id);
	g_string_free(answer->body, TRUE);
	g_free(answer);
}

/* For records and logs. */
const char *soak_end_name(enum soak_end end)
{
	static const char *const names[] = {
		[SOAK_END_WHOLE] = "whole",	[SOAK_END_CLOSED] = "closed",
		[SOAK_END_RESET] = "reset",	[SOAK_END_TIMEOUT] = "timeout",
		[SOAK_END_LEFT] = "left",	[SOAK_END_GARBLED] = "garbled",
		[SOAK_END_REFUSED] = "refused",
	};

	return names[end];
}

static GSocketAddress *address_parse(const char *text)
{
	g_autofree char *host = g_strdup(text);
	char *colon = strrchr(host, ':');

	if (!colon)
		return NULL;
	*colon = '\0';
	return g_inet_socket_address_new_from_string(
		host, (guint)g_ascii_strtoull(colon + 1, NULL, 10));
}

static bool wait_for(GSocket *socket, GIOCondition condition, int64_t until_us)
{
	int64_t left_us = until_us - g_get_monotonic_time();

	return left_us > 0 && g_socket_condition_timed_wait(
				      socket, condition, left_us, NULL, NULL);
}

static bool socket_connect(GSocket *socket, GSocketAddress *address,
			   int64_t until_us, GError **error)
{
	if (g_socket_connect(socket, address, NULL, error))
		return true;
	if (!g_error_matches(*error, G_IO_ERROR, G_IO_ERROR_PENDING))
		return false;
	g_clear_error(error);
	if (wait_for(socket, G_IO_OUT, until_us))
		return g_socket_check_connect_result(socket, error);
	g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT,
			    "not established in time");
	return false;
}

/* Connects to IP:PORT; NULL and an error where that fails. */
struct soak_session *soak_session_create(const char *address, int64_t until_us,
					 struct error *error)
{
	g_autoptr(GSocketAddress) target = address_parse(address);
	g_autoptr(GSocket) socket = NULL;
	g_autoptr(GError) failure = NULL;
	struct soak_session *connection;

	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, &failure);
	if (socket)
		g_socket_set_blocking(socket, FALSE);
	if (!target || !socket ||
	    !socket_connect(socket, target, until_us, &failure)) {
		error_set(error, ERROR_UNREACHABLE, STEP_CONNECT, address, "%s",
			  failure ? failure->message : "no such address");
		return NULL;
	}
	connection = g_new0(struct soak_session, 1);
	connection->socket = g_steal_pointer(&socket);
	return connection;
}

/* Closes the connection; NULL is allowed. */
void soak_session_destroy(struct soak_session *connection)
{
	if (!connection)
		return;
	g_socket_close(connection->socket, NULL);
	g_object_unref(connection->socket);
	g_free(connection);
}

/* Whether the other side has neither closed it nor sent what nobody asked. */
bool soak_session_is_sound(const struct soak_session *connection)
{
	return !connection->is_broken &&
	       !g_socket_condition_check(connection->socket,
					 G_IO_IN | G_IO_HUP | G_IO_ERR);
}

/* Sends all of the text; false and an error where part of it may be left. */
bool soak_session_send(struct soak_session *connection, const char *text,
		       int64_t until_us, struct error *error)
{
	gsize size = strlen(text);
	gsize sent = 0;

	while (sent < size) {
		g_autoptr(GError) failure = NULL;
		gssize count = g_socket_send(connection->socket, text + sent,
					     size - sent, NULL, &failure);

		if (count > 0) {
			sent += (gsize)count;
			continue;
		}
		if (g_error_matches(failure, G_IO_ERROR,
				    G_IO_ERROR_WOULD_BLOCK) &&
		    wait_for(connection->socket, G_IO_OUT, until_us))
			continue;
		connection->is_broken = true;
		error_set(error, ERROR_CLOSED, STEP_SEND, NULL, "%s",
			  failure ? failure->message : "closed");
		return false;
	}
	return true;
}

static void take_header(struct reader *reader)
{
	struct soak_answer *answer = reader->answer;
	const char *name = reader->field->str;
	const char *value = reader->value->str;

	if (g_ascii_strcasecmp(name, "Retry-After") == 0)
		answer->retry_after_us =
			(int64_t)(g_ascii_strtod(value, NULL) * G_USEC_PER_SEC);
	else if (g_ascii_strcasecmp(name, "X-Siskinlink-Engine-Stamp") == 0)
		answer->has_stamp = true;
	else if (g_ascii_strcasecmp(name, "X-Siskinlink-Request-Id") == 0)
		answer->request_id = g_strdup(value);
	g_string_truncate(reader->field, 0);
	g_string_truncate(reader->value, 0);
}

static int on_field(http_parser *parser, const char *at, size_t size)
{
	struct reader *reader = parser->data;

	if (reader->value->len > 0)
		take_header(reader);
	g_string_append_len(reader->field, at, (gssize)size);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct reader *reader = parser->data;

	g_string_append_len(reader->value, at, (gssize)size);
	return 0;
}

static int on_headers(http_parser *parser)
{
	struct reader *reader = parser->data;

	if (reader->value->len > 0)
		take_header(reader);
	reader->answer->status = parser->status_code;
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct reader *reader = parser->data;

	g_string_append_len(reader->answer->body, at, (gssize)size);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct reader *reader = parser->data;

	reader->is_whole = true;
	reader->answer->keeps_open = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

/* Feeds what came; true while more of the answer is wanted. */
static bool parser_take(http_parser *parser, const char *bytes, size_t size,
			enum soak_end *end)
{
	static const http_parser_settings settings = {
		.on_header_field = on_field,
		.on_header_value = on_value,
		.on_headers_complete = on_headers,
		.on_body = on_body,
		.on_message_complete = on_complete,
	};
	const struct reader *reader = parser->data;
	size_t taken = http_parser_execute(parser, &settings, bytes, size);

	if (reader->is_whole) {
		*end = taken < size ? SOAK_END_GARBLED : SOAK_END_WHOLE;
		return false;
	}
	if (HTTP_PARSER_ERRNO(parser) != HPE_OK)
		*end = size == 0 ? SOAK_END_CLOSED : SOAK_END_GARBLED;
	else
		*end = SOAK_END_CLOSED;
	return HTTP_PARSER_ERRNO(parser) == HPE_OK && size > 0;
}

static enum soak_end read_on(GSocket *socket, http_parser *parser,
			     int64_t until_us, int64_t leave_bytes)
{
	const struct reader *reader = parser->data;
	enum soak_end end = SOAK_END_CLOSED;
	char bytes[READ_BYTES];

	for (;;) {
		g_autoptr(GError) failure = NULL;
		gssize count;

		if (!wait_for(socket, G_IO_IN, until_us))
			return SOAK_END_TIMEOUT;
		count = g_socket_receive(socket, bytes, sizeof(bytes), NULL,
					 &failure);
		if (count < 0 && g_error_matches(failure, G_IO_ERROR,
						 G_IO_ERROR_WOULD_BLOCK))
			continue;
		if (count < 0)
			return SOAK_END_RESET;
		if (!parser_take(parser, bytes, (size_t)count, &end))
			return end;
		if (leave_bytes > 0 &&
		    (int64_t)reader->answer->body->len >= leave_bytes)
			return SOAK_END_LEFT;
	}
}

/*
 * Reads one answer until it is whole, broken, or late; with leave_bytes above
 * 0 only until so much of its body has come. Only a connection whose answer
 * came whole can be used again.
 */
enum soak_end soak_session_read(struct soak_session *connection,
				struct soak_answer *answer, int64_t until_us,
				int64_t leave_bytes)
{
	struct reader reader = {answer, g_string_new(NULL), g_string_new(NULL),
				false};
	http_parser parser;
	enum soak_end end;

	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = &reader;
	end = read_on(connection->socket, &parser, until_us, leave_bytes);
	connection->is_broken = end != SOAK_END_WHOLE || !answer->keeps_open;
	g_string_free(reader.field, TRUE);
	g_string_free(reader.value, TRUE);
	return end;
}

/* One call on a connection of its own; true when any whole answer came. */
bool soak_http_call(const char *address, const char *method, const char *path,
		    const char *body, struct soak_answer *answer,
		    int64_t timeout_us, struct error *error)
{
	int64_t until_us = g_get_monotonic_time() + timeout_us;
	struct soak_session *connection =
		soak_session_create(address, until_us, error);
	g_autofree char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %" G_GSIZE_FORMAT
		"\r\nConnection: close\r\n\r\n%s",
		method, path, address, body ? strlen(body) : 0,
		body ? body : "");
	enum soak_end end = SOAK_END_REFUSED;

	if (!connection)
		return false;
	if (soak_session_send(connection, text, until_us, error)) {
		end = soak_session_read(connection, answer, until_us, 0);
		if (end != SOAK_END_WHOLE)
			error_set(error, ERROR_CLOSED, STEP_CALL, address, "%s",
				  soak_end_name(end));
	}
	soak_session_destroy(connection);
	return end == SOAK_END_WHOLE;
}
