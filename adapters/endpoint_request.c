#include "adapters/endpoint_request.h"

#define RESUME_HOLD_MS "30000"
#define PRIORITY_MAX 9
#define US_PER_MS 1000

static SoupMessage *message_create(const char *method, const char *endpoint,
				   const char *path)
{
	char *uri = g_strconcat("http://", endpoint, path, NULL);
	SoupMessage *message = soup_message_new(method, uri);

	g_free(uri);
	if (message)
		soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	return message;
}

static void message_set_header(SoupMessage *message, const char *name,
			       const char *value)
{
	if (value)
		soup_message_headers_replace(
			soup_message_get_request_headers(message), name, value);
}

static void message_set_header_number(SoupMessage *message, const char *name,
				      int64_t value)
{
	char *text = g_strdup_printf("%" G_GINT64_FORMAT, value);

	message_set_header(message, name, text);
	g_free(text);
}

static void message_set_request_id(SoupMessage *message, uint64_t attempt)
{
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT, attempt);

	message_set_header(message, "X-Request-Id", text);
	g_free(text);
}

/*
 * When a reused connection turns out to be dead, libsoup resends requests with
 * methods that it takes for idempotent: a GET or PUT marked non-idempotent
 * would run twice, with only one answer seen. libsoup never resends on a new
 * connection, so each attempt uses its own. A dead endpoint then also refuses
 * the connection, so that more failures are known to be "not sent".
 */
static void message_use_own_connection(SoupMessage *message)
{
	soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	message_set_header(message, "Connection", "close");
}

static char *send_path(const struct action_attempt_send *send)
{
	const struct request *request = send->request;

	if (send->to_node && request->kind == REQUEST_PLAIN)
		return g_strconcat("/svc/", request->service, request->path,
				   NULL);
	return g_strdup(request->path);
}

static void send_set_engine(SoupMessage *message,
			    const struct action_attempt_send *send)
{
	message_set_header(message, "Accept", "text/event-stream");
	message_set_header(message, "X-Resume-Hold-Ms", RESUME_HOLD_MS);
	message_set_header_number(message, "X-Priority",
				  CLAMP(send->priority, 0, PRIORITY_MAX));
}

static void send_set_node(SoupMessage *message, const struct request *request,
			  const char *node_name)
{
	if (request->bearer) {
		char *value = g_strconcat("Bearer ", request->bearer, NULL);

		message_set_header(message, "Authorization", value);
		g_free(value);
	}
	message_set_header(message, "X-Organisation", request->organisation);
	message_set_header(message, "Idempotency-Key",
			   request->idempotency_key);
	message_set_header(message, "Last-Event-ID", request->last_event_id);
	message_set_header(message, "X-Siskinlink-Forwarded", node_name);
	if (request->non_idempotent)
		message_set_header(message, "X-Non-Idempotent", "true");
	if (request->deadline_in_us > 0)
		message_set_header_number(
			message, "X-Deadline-Ms",
			MAX(1, request->deadline_in_us / US_PER_MS));
	if (request->priority >= 0)
		message_set_header_number(message, "X-Priority",
					  request->priority);
}

/* Creates the message for a caller's request to an endpoint or a node. */
SoupMessage *endpoint_request_send(const struct action_attempt_send *send,
				   const char *node_name)
{
	const struct request *request = send->request;
	const char *method = request->method ? request->method : "POST";
	char *path = send_path(send);
	SoupMessage *message = message_create(method, send->endpoint, path);

	g_free(path);
	if (!message)
		return NULL;
	message_use_own_connection(message);
	message_set_request_id(message, send->attempt);
	if (g_bytes_get_size(request->body) > 0)
		soup_message_set_request_body_from_bytes(
			message, request->content_type, request->body);
	if (send->to_node)
		send_set_node(message, request, node_name);
	else if (request->kind != REQUEST_PLAIN)
		send_set_engine(message, send);
	return message;
}

static SoupMessage *generation_message_create(const char *method,
					      const char *endpoint,
					      const char *generation)
{
	char *escaped = g_uri_escape_string(generation, NULL, FALSE);
	char *path = g_strconcat("/v1/generations/", escaped, NULL);
	SoupMessage *message = message_create(method, endpoint, path);

	g_free(path);
	g_free(escaped);
	return message;
}

/* Creates the request for the rest of a generation's stream. */
SoupMessage *endpoint_request_resume(const struct action_attempt_resume *resume)
{
	SoupMessage *message = generation_message_create(
		"GET", resume->endpoint, resume->generation);
	char *id;

	if (!message)
		return NULL;
	id = g_strdup_printf("%s:%" G_GINT64_FORMAT, resume->generation,
			     resume->next_token);
	message_use_own_connection(message);
	message_set_request_id(message, resume->attempt);
	message_set_header(message, "Accept", "text/event-stream");
	message_set_header(message, "X-Resume-Hold-Ms", RESUME_HOLD_MS);
	message_set_header(message, "Last-Event-ID", id);
	g_free(id);
	return message;
}

/* Creates the request that cancels a generation on its engine. */
SoupMessage *endpoint_request_cancel(const char *endpoint,
				     const char *generation)
{
	return generation_message_create("DELETE", endpoint, generation);
}

/* Creates the request for an endpoint's load report. */
SoupMessage *endpoint_request_load(const char *endpoint)
{
	return message_create("GET", endpoint, "/metrics");
}
