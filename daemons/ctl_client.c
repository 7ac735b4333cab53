#include "daemons/ctl_client.h"

#include "adapters/http_head_guard.h"

#include <libsoup/soup.h>
#include <string.h>

#define STEP_CALL "ctl.call"
#define MAX_ANSWER_BYTES ((gsize)64 << 20)

/* Once a connection is open, bytes of the request may have been sent. */
static void ctl_client_on_network(SoupMessage *message,
				  GSocketClientEvent event,
				  GIOStream *connection, gpointer data)
{
	(void)message;
	(void)connection;
	if (event == G_SOCKET_CLIENT_COMPLETE)
		*(bool *)data = true;
}

static SoupMessage *ctl_client_message(const struct ctl_call *call)
{
	char *uri = g_strdup_printf("http://%s%s", call->address, call->path);
	SoupMessage *message = soup_message_new(call->method, uri);
	SoupMessageHeaders *headers;

	g_free(uri);
	if (!message)
		return NULL;
	headers = soup_message_get_request_headers(message);
	if (call->key) {
		char *bearer = g_strdup_printf("Bearer %s", call->key);

		soup_message_headers_replace(headers, "Authorization", bearer);
		g_free(bearer);
	}
	if (call->operator_name)
		soup_message_headers_replace(headers, "X-Operator",
					     call->operator_name);
	if (call->body) {
		GBytes *body = g_bytes_new(call->body, strlen(call->body));

		soup_message_set_request_body_from_bytes(
			message, "application/json", body);
		g_bytes_unref(body);
	}
	return message;
}

/* Returns the body, which the caller frees; NULL and sets failure if it fails.
 */
static char *ctl_client_read_body(GInputStream *stream, GError **failure)
{
	char *body = g_malloc(MAX_ANSWER_BYTES + 1);
	gsize size = 0;
	bool ok = g_input_stream_read_all(stream, body, MAX_ANSWER_BYTES + 1,
					  &size, NULL, failure);

	if (ok && size > MAX_ANSWER_BYTES) {
		ok = false;
		g_set_error_literal(failure, G_IO_ERROR,
				    G_IO_ERROR_MESSAGE_TOO_LARGE,
				    "the answer exceeds 64 MB");
	}
	if (!ok) {
		g_free(body);
		return NULL;
	}
	body[size] = '\0';
	return g_realloc(body, size + 1);
}

static bool ctl_client_read(SoupSession *session, SoupMessage *message,
			    struct ctl_answer *answer, GError **failure)
{
	GInputStream *stream =
		soup_session_send(session, message, NULL, failure);

	if (!stream)
		return false;
	answer->body = ctl_client_read_body(stream, failure);
	g_object_unref(stream);
	if (!answer->body)
		return false;
	answer->status = (int32_t)soup_message_get_status(message);
	return true;
}

/*
 * Calls a node and waits for its complete answer, whatever its status. The
 * caller frees the answer with ctl_answer_clear(). Returns false and an error
 * if there is no answer; answer->sent then tells whether the node may have
 * received the call. ERROR_INVALID means that the address is not valid.
 */
bool ctl_client_call(const struct ctl_call *call, struct ctl_answer *answer,
		     struct error *error)
{
	SoupMessage *message = ctl_client_message(call);
	SoupSession *session;
	GError *failure = NULL;
	bool done;

	*answer = (struct ctl_answer){0};
	if (!message) {
		error_set(error, ERROR_INVALID, STEP_CALL, call->address,
			  "not an address, expected HOST:PORT");
		return false;
	}
	session =
		soup_session_new_with_options("timeout", call->timeout_s, NULL);
	http_head_guard_add(session);
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	g_signal_connect(message, "network-event",
			 G_CALLBACK(ctl_client_on_network), &answer->sent);
	done = ctl_client_read(session, message, answer, &failure);
	if (!done) {
		char *text = http_head_guard_error_text(failure);

		error_set(error,
			  answer->sent ? ERROR_CLOSED : ERROR_UNREACHABLE,
			  STEP_CALL, call->address, "%s", text);
		g_free(text);
		g_error_free(failure);
	}
	g_object_unref(message);
	g_object_unref(session);
	return done;
}

/* Frees the contents of an answer. */
void ctl_answer_clear(struct ctl_answer *answer)
{
	g_clear_pointer(&answer->body, g_free);
}
