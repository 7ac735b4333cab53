#include "adapters/http_request.h"

#include "adapters/http_body.h"
#include "adapters/http_upload.h"

#include <string.h>

#define PLAIN_PREFIX "/svc/"
#define TEXT_HEADER_MAX 256
#define EVENT_ID_MAX 1024
#define DEADLINE_MAX_MS 86400000
#define PRIORITY_MAX 9
#define US_PER_MS 1000
#define HEADER_FRAMING_BYTES 4 /* ": " and CRLF */

static const char *header_get(SoupServerMessage *message, const char *name)
{
	return soup_message_headers_get_one(
		soup_server_message_get_request_headers(message), name);
}

static bool request_fail(struct error *error, const char *name,
			 const char *expected)
{
	error_set(error, ERROR_INVALID, "http.header", NULL, "%s must be %s",
		  name, expected);
	return false;
}

/* Printable ASCII without spaces: safe in logs, keys and forwarded headers. */
static bool text_is_token(const char *text, size_t length_max)
{
	size_t length = strlen(text);

	if (!length || length > length_max)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isgraph(text[i]))
			return false;
	}
	return true;
}

static bool header_read_token(SoupServerMessage *message, const char *name,
			      size_t length_max, char **out,
			      struct error *error)
{
	const char *text = header_get(message, name);

	if (!text)
		return true;
	if (!text_is_token(text, length_max))
		return request_fail(error, name,
				    "printable ASCII of a bounded length");
	*out = g_strdup(text);
	return true;
}

static bool header_read_number(SoupServerMessage *message, const char *name,
			       int64_t min, int64_t max, int64_t *out,
			       struct error *error)
{
	const char *text = header_get(message, name);

	if (!text)
		return true;
	if (!g_ascii_string_to_signed(text, 10, min, max, out, NULL)) {
		error_set(error, ERROR_INVALID, "http.header", NULL,
			  "%s must be a number from %" G_GINT64_FORMAT
			  " to %" G_GINT64_FORMAT,
			  name, min, max);
		return false;
	}
	return true;
}

static bool header_read_bool(SoupServerMessage *message, const char *name,
			     bool *out, struct error *error)
{
	const char *text = header_get(message, name);

	if (!text)
		return true;
	*out = g_ascii_strcasecmp(text, "true") == 0;
	if (!*out && g_ascii_strcasecmp(text, "false") != 0)
		return request_fail(error, name, "true or false");
	return true;
}

static bool request_read_headers(struct request *request,
				 SoupServerMessage *message,
				 struct error *error)
{
	int64_t deadline_ms = 0;
	int64_t priority = request->priority;

	if (!header_read_token(message, "X-Organisation", TEXT_HEADER_MAX,
			       &request->organisation, error) ||
	    !header_read_token(message, "Idempotency-Key", TEXT_HEADER_MAX,
			       &request->idempotency_key, error) ||
	    !header_read_token(message, "Last-Event-ID", EVENT_ID_MAX,
			       &request->last_event_id, error) ||
	    !header_read_bool(message, "X-Non-Idempotent",
			      &request->non_idempotent, error) ||
	    !header_read_number(message, "X-Deadline-Ms", 1, DEADLINE_MAX_MS,
				&deadline_ms, error) ||
	    !header_read_number(message, "X-Priority", 0, PRIORITY_MAX,
				&priority, error))
		return false;
	request->deadline_in_us = deadline_ms * US_PER_MS;
	request->priority = (int32_t)priority;
	request->forwarded = header_get(message, "X-Siskinlink-Forwarded");
	request->bearer = g_strdup(http_request_bearer(message));
	request->content_type = g_strdup(header_get(message, "Content-Type"));
	request->method = g_strdup(soup_server_message_get_method(message));
	return true;
}

static struct request *request_read(SoupServerMessage *message,
				    enum request_kind kind, struct error *error)
{
	struct request *request = request_create(kind);

	if (!request_read_headers(request, message, error)) {
		request_unref(request);
		return NULL;
	}
	g_bytes_unref(request->body);
	request->body = http_uploads_take_body(message);
	return request;
}

/*
 * Reads a request for a generation, or for the rest of one if Last-Event-ID is
 * set. The body is the same; a resumed answer is always a stream, because only
 * streams carry event ids. The caller owns the result. Returns NULL with
 * ERROR_INVALID if a header or the body is malformed.
 */
struct request *http_request_read_generation(SoupServerMessage *message,
					     struct error *error)
{
	struct request *request =
		request_read(message, REQUEST_GENERATION, error);

	if (!request)
		return NULL;
	request->path =
		g_strdup(g_uri_get_path(soup_server_message_get_uri(message)));
	if (request->last_event_id)
		request->kind = REQUEST_RESUME;
	if (!http_body_read(request, error)) {
		request_unref(request);
		return NULL;
	}
	if (request->kind == REQUEST_RESUME)
		request->stream = true;
	return request;
}

/* Reads SERVICE, and the path and query after it that the endpoint receives. */
static bool request_read_plain_path(struct request *request, GUri *uri,
				    struct error *error)
{
	const char *name = g_uri_get_path(uri) + strlen(PLAIN_PREFIX);
	const char *rest = name + strcspn(name, "/");
	const char *query = g_uri_get_query(uri);

	request->service = g_strndup(name, (gsize)(rest - name));
	if (!text_is_token(request->service, TEXT_HEADER_MAX))
		return request_fail(error, "SERVICE of /svc/SERVICE", "a name");
	request->path = g_strconcat(*rest ? rest : "/", query ? "?" : "",
				    query ? query : "", NULL);
	return true;
}

/*
 * Reads a call to a plain service. The caller owns the result. Returns NULL
 * with ERROR_INVALID if the request is malformed.
 */
struct request *http_request_read_plain(SoupServerMessage *message,
					struct error *error)
{
	struct request *request = request_read(message, REQUEST_PLAIN, error);
	GUri *uri = soup_server_message_get_uri(message);

	if (request && !request_read_plain_path(request, uri, error)) {
		request_unref(request);
		return NULL;
	}
	return request;
}

static void header_add_bytes(const char *name, const char *value, gpointer data)
{
	int64_t *bytes = data;

	*bytes +=
		(int64_t)(strlen(name) + strlen(value)) + HEADER_FRAMING_BYTES;
}

/* Returns the size of the request's headers, path and query in bytes. */
int64_t http_request_header_bytes(SoupServerMessage *message)
{
	GUri *uri = soup_server_message_get_uri(message);
	const char *query = g_uri_get_query(uri);
	int64_t bytes = (int64_t)strlen(g_uri_get_path(uri));

	bytes += query ? (int64_t)strlen(query) : 0;
	soup_message_headers_foreach(
		soup_server_message_get_request_headers(message),
		header_add_bytes, &bytes);
	return bytes;
}

/* Returns the request's bearer key, owned by the message, or NULL. */
const char *http_request_bearer(SoupServerMessage *message)
{
	const char *text = header_get(message, "Authorization");
	static const char scheme[] = "Bearer ";

	if (!text || g_ascii_strncasecmp(text, scheme, strlen(scheme)) != 0)
		return NULL;
	return text + strlen(scheme);
}

/*
 * Returns the operator's name from X-Operator, owned by the message, or NULL if
 * it is missing or malformed.
 */
const char *http_request_operator(SoupServerMessage *message)
{
	const char *name = header_get(message, "X-Operator");

	return name && text_is_token(name, TEXT_HEADER_MAX) ? name : NULL;
}
