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

/* State of the parser callbacks while one answer is read. */
struct reader {
	struct soak_answer *answer;
	GString *field;
	GString *value;
	bool is_complete;
};

/* Creates an empty answer, which the caller destroys. */
struct soak_answer *soak_answer_create(void)
{
	struct soak_answer *answer = g_new0(struct soak_answer, 1);

	answer->retry_after_us = -1;
	answer->body = g_string_new(NULL);
	return answer;
}

/* Frees an answer; NULL is allowed. */
void soak_answer_destroy(struct soak_answer *answer)
{
	if (!answer)
		return;
	g_free(answer->request_id);
	g_free(answer->engine_stamp);
	g_string_free(answer->body, TRUE);
	g_free(answer);
}

/* Returns the name of an end as records and logs print it. */
const char *soak_end_name(enum soak_end end)
{
	static const char *const names[] = {
		[SOAK_END_COMPLETE] = "whole",
		[SOAK_END_CLOSED] = "closed",
		[SOAK_END_RESET] = "reset",
		[SOAK_END_TIMEOUT] = "timeout",
		[SOAK_END_STOPPED] = "left",
		[SOAK_END_MALFORMED] = "garbled",
		[SOAK_END_NOT_SENT] = "refused",
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

static bool wait_for_socket(GSocket *socket, GIOCondition condition,
			    int64_t deadline_us)
{
	int64_t remaining_us = deadline_us - g_get_monotonic_time();

	return remaining_us > 0 &&
	       g_socket_condition_timed_wait(socket, condition, remaining_us,
					     NULL, NULL);
}

static bool socket_connect(GSocket *socket, GSocketAddress *address,
			   int64_t deadline_us, GError **error)
{
	if (g_socket_connect(socket, address, NULL, error))
		return true;
	if (!g_error_matches(*error, G_IO_ERROR, G_IO_ERROR_PENDING))
		return false;
	g_clear_error(error);
	if (wait_for_socket(socket, G_IO_OUT, deadline_us))
		return g_socket_check_connect_result(socket, error);
	g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT,
			    "connection not established in time");
	return false;
}

/*
 * Connects to IP:PORT until the deadline (CLOCK_MONOTONIC). The caller destroys
 * the session; on failure returns NULL and sets the error.
 */
struct soak_session *soak_session_create(const char *address,
					 int64_t deadline_us,
					 struct error *error)
{
	g_autoptr(GSocketAddress) target = address_parse(address);
	g_autoptr(GSocket) socket = NULL;
	g_autoptr(GError) failure = NULL;
	struct soak_session *session;

	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, &failure);
	if (socket)
		g_socket_set_blocking(socket, FALSE);
	if (!target || !socket ||
	    !socket_connect(socket, target, deadline_us, &failure)) {
		error_set(error, ERROR_UNREACHABLE, STEP_CONNECT, address, "%s",
			  failure ? failure->message
				  : "invalid address, expected IP:PORT");
		return NULL;
	}
	session = g_new0(struct soak_session, 1);
	session->socket = g_steal_pointer(&socket);
	return session;
}

/* Closes the connection; NULL is allowed. */
void soak_session_destroy(struct soak_session *session)
{
	if (!session)
		return;
	g_socket_close(session->socket, NULL);
	g_object_unref(session->socket);
	g_free(session);
}

/*
 * Whether the session can carry another request: nothing has failed on it, and
 * the peer has neither closed it nor sent unsolicited data.
 */
bool soak_session_is_reusable(const struct soak_session *session)
{
	return !session->is_broken &&
	       !g_socket_condition_check(session->socket,
					 G_IO_IN | G_IO_HUP | G_IO_ERR);
}

/*
 * Sends the whole text. On failure returns false and sets the error; part of
 * the text may have been sent.
 */
bool soak_session_send(struct soak_session *session, const char *text,
		       int64_t deadline_us, struct error *error)
{
	gsize size = strlen(text);
	gsize sent = 0;

	while (sent < size) {
		g_autoptr(GError) failure = NULL;
		gssize count = g_socket_send(session->socket, text + sent,
					     size - sent, NULL, &failure);

		if (count > 0) {
			sent += (gsize)count;
			continue;
		}
		if (g_error_matches(failure, G_IO_ERROR,
				    G_IO_ERROR_WOULD_BLOCK) &&
		    wait_for_socket(session->socket, G_IO_OUT, deadline_us))
			continue;
		session->is_broken = true;
		error_set(error, ERROR_CLOSED, STEP_SEND, NULL, "%s",
			  failure ? failure->message : "closed");
		return false;
	}
	return true;
}

static void store_stamp(struct soak_answer *answer, const char *value)
{
	answer->has_engine_stamp = true;
	g_free(answer->engine_stamp);
	answer->engine_stamp = g_strdup(value);
}

static void store_header(struct reader *reader)
{
	struct soak_answer *answer = reader->answer;
	const char *name = reader->field->str;
	const char *value = reader->value->str;

	if (g_ascii_strcasecmp(name, "Retry-After") == 0)
		answer->retry_after_us =
			(int64_t)(g_ascii_strtod(value, NULL) * G_USEC_PER_SEC);
	else if (g_ascii_strcasecmp(name, "X-Siskinlink-Engine-Stamp") == 0)
		store_stamp(answer, value);
	else if (g_ascii_strcasecmp(name, "Server-Leaving") == 0)
		answer->leaving_us = g_get_monotonic_time();
	else if (g_ascii_strcasecmp(name, "X-Siskinlink-Request-Id") == 0)
		answer->request_id = g_strdup(value);
	g_string_truncate(reader->field, 0);
	g_string_truncate(reader->value, 0);
}

static int on_field(http_parser *parser, const char *at, size_t size)
{
	struct reader *reader = parser->data;

	if (reader->value->len > 0)
		store_header(reader);
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
		store_header(reader);
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

	reader->is_complete = true;
	reader->answer->keeps_alive = http_should_keep_alive(parser);
	http_parser_pause(parser, 1);
	return 0;
}

/* Parses received bytes; returns true while the answer is incomplete. */
static bool parser_feed(http_parser *parser, const char *bytes, size_t size,
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
	size_t parsed = http_parser_execute(parser, &settings, bytes, size);

	if (reader->is_complete) {
		*end = parsed < size ? SOAK_END_MALFORMED : SOAK_END_COMPLETE;
		return false;
	}
	if (HTTP_PARSER_ERRNO(parser) != HPE_OK)
		*end = size == 0 ? SOAK_END_CLOSED : SOAK_END_MALFORMED;
	else
		*end = SOAK_END_CLOSED;
	return HTTP_PARSER_ERRNO(parser) == HPE_OK && size > 0;
}

static enum soak_end read_answer(GSocket *socket, http_parser *parser,
				 int64_t deadline_us, int64_t stop_after_bytes)
{
	const struct reader *reader = parser->data;
	enum soak_end end = SOAK_END_CLOSED;
	char bytes[READ_BYTES];

	for (;;) {
		g_autoptr(GError) failure = NULL;
		gssize count;

		if (!wait_for_socket(socket, G_IO_IN, deadline_us))
			return SOAK_END_TIMEOUT;
		count = g_socket_receive(socket, bytes, sizeof(bytes), NULL,
					 &failure);
		if (count < 0 && g_error_matches(failure, G_IO_ERROR,
						 G_IO_ERROR_WOULD_BLOCK))
			continue;
		if (count < 0)
			return SOAK_END_RESET;
		if (!parser_feed(parser, bytes, (size_t)count, &end))
			return end;
		if (stop_after_bytes > 0 &&
		    (int64_t)reader->answer->body->len >= stop_after_bytes)
			return SOAK_END_STOPPED;
	}
}

/*
 * Reads one answer until it is complete, the connection fails, or the deadline
 * passes; with stop_after_bytes above 0, stops once that many body bytes have
 * been received. The connection can be used again only after a complete answer
 * that keeps it open.
 */
enum soak_end soak_session_read(struct soak_session *session,
				struct soak_answer *answer, int64_t deadline_us,
				int64_t stop_after_bytes)
{
	struct reader reader = {answer, g_string_new(NULL), g_string_new(NULL),
				false};
	http_parser parser;
	enum soak_end end;

	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = &reader;
	end = read_answer(session->socket, &parser, deadline_us,
			  stop_after_bytes);
	session->is_broken = end != SOAK_END_COMPLETE || !answer->keeps_alive;
	g_string_free(reader.field, TRUE);
	g_string_free(reader.value, TRUE);
	return end;
}

/*
 * Sends one request on a new connection. Returns true if a complete answer of
 * any status was received; otherwise sets the error.
 */
bool soak_http_call(const char *address, const char *method, const char *path,
		    const char *body, struct soak_answer *answer,
		    int64_t timeout_us, struct error *error)
{
	int64_t deadline_us = g_get_monotonic_time() + timeout_us;
	struct soak_session *session =
		soak_session_create(address, deadline_us, error);
	g_autofree char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %" G_GSIZE_FORMAT
		"\r\nConnection: close\r\n\r\n%s",
		method, path, address, body ? strlen(body) : 0,
		body ? body : "");
	enum soak_end end = SOAK_END_NOT_SENT;

	if (!session)
		return false;
	if (soak_session_send(session, text, deadline_us, error)) {
		end = soak_session_read(session, answer, deadline_us, 0);
		if (end != SOAK_END_COMPLETE)
			error_set(error, ERROR_CLOSED, STEP_CALL, address, "%s",
				  soak_end_name(end));
	}
	soak_session_destroy(session);
	return end == SOAK_END_COMPLETE;
}
