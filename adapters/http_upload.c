#include "adapters/http_upload.h"

#include "adapters/http_listener.h"
#include "adapters/http_request.h"

#define UPLOAD_KEY "siskinlink-upload"
#define TOTAL_BYTES_MIN (INT64_C(64) << 20)
#define FULL_BODIES_MIN 4 /* bodies of max_body_bytes that always fit */

/* Reference-counted, because messages may outlive the server briefly. */
struct http_uploads {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t max_total_bytes;
	int64_t total_bytes;
	void (*refuse)(void *data, SoupServerMessage *message,
		       const struct http_problem *problem);
	void *data; /* NULL once destroyed: refuses nothing */
};

struct upload {
	struct http_uploads *uploads;
	int64_t received_bytes;
	int64_t held_bytes; /* counted in total_bytes */
};

/* Creates the limits of one server. */
struct http_uploads *
http_uploads_create(const struct http_uploads_options *options)
{
	struct http_uploads *uploads = g_rc_box_new0(struct http_uploads);

	uploads->max_header_bytes = options->max_header_bytes;
	uploads->max_body_bytes = options->max_body_bytes;
	uploads->max_total_bytes =
		MAX(TOTAL_BYTES_MIN, FULL_BODIES_MIN * options->max_body_bytes);
	uploads->refuse = options->refuse;
	uploads->data = options->data;
	return uploads;
}

/* Releases the limits; no upload is refused after this. NULL is allowed. */
void http_uploads_destroy(struct http_uploads *uploads)
{
	if (!uploads)
		return;
	uploads->data = NULL;
	g_rc_box_release(uploads);
}

static void upload_release(struct upload *upload)
{
	upload->uploads->total_bytes -= upload->held_bytes;
	upload->held_bytes = 0;
}

static void upload_free(gpointer data)
{
	struct upload *upload = data;

	upload_release(upload);
	g_rc_box_release(upload->uploads);
	g_free(upload);
}

static void upload_refuse(struct upload *upload, SoupServerMessage *message,
			  const struct http_problem *problem)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	struct http_uploads *uploads = upload->uploads;

	soup_message_body_set_accumulate(body, FALSE);
	soup_message_body_truncate(body);
	upload_release(upload);
	if (uploads->data)
		uploads->refuse(uploads->data, message, problem);
}

static struct http_problem body_problem(void)
{
	return http_problem_from_refusal(REFUSAL_TOO_LARGE, RUN_NO, 0,
					 "the body");
}

/*
 * The rest of a body over the limit is read and discarded, so that the caller
 * receives the answer and not a reset. Above twice the limit the connection is
 * closed.
 */
static void upload_got_chunk(SoupServerMessage *message, GBytes *chunk,
			     gpointer data)
{
	struct upload *upload = data;
	struct http_uploads *uploads = upload->uploads;
	int64_t bytes = (int64_t)g_bytes_get_size(chunk);
	struct http_problem problem = body_problem();
	GSocket *socket = http_listener_socket(message);

	http_listener_record_bytes(message);
	upload->received_bytes += bytes;
	if (socket && upload->received_bytes > 2 * uploads->max_body_bytes)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	if (soup_server_message_get_status(message))
		return;
	upload->held_bytes += bytes;
	uploads->total_bytes += bytes;
	if (upload->received_bytes > uploads->max_body_bytes)
		upload_refuse(upload, message, &problem);
	else if (uploads->total_bytes > uploads->max_total_bytes)
		upload_refuse(upload, message, &http_problem_too_many_bytes);
}

static bool upload_is_too_long(const struct upload *upload,
			       SoupMessageHeaders *headers)
{
	return soup_message_headers_get_encoding(headers) ==
		       SOUP_ENCODING_CONTENT_LENGTH &&
	       soup_message_headers_get_content_length(headers) >
		       upload->uploads->max_body_bytes;
}

/*
 * Starts to watch an upload whose headers are read. Refuses headers and a
 * Content-Length over the limit before any byte of the body is kept.
 */
void http_uploads_watch(struct http_uploads *uploads,
			SoupServerMessage *message)
{
	struct upload *upload = g_new0(struct upload, 1);
	struct http_problem problem = body_problem();

	upload->uploads = g_rc_box_acquire(uploads);
	g_object_set_data_full(G_OBJECT(message), UPLOAD_KEY, upload,
			       upload_free);
	g_signal_connect(message, "got-chunk", G_CALLBACK(upload_got_chunk),
			 upload);
	if (http_request_header_bytes(message) > uploads->max_header_bytes)
		upload_refuse(upload, message, &http_problem_header_too_large);
	else if (upload_is_too_long(
			 upload,
			 soup_server_message_get_request_headers(message)))
		upload_refuse(upload, message, &problem);
}

/*
 * Returns the complete body, which the caller unrefs, and removes it from the
 * message: otherwise a long stream would hold a second copy of its prompt until
 * it ends.
 */
GBytes *http_uploads_take_body(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	struct upload *upload =
		g_object_get_data(G_OBJECT(message), UPLOAD_KEY);
	GBytes *bytes = soup_message_body_flatten(body);

	soup_message_body_truncate(body);
	if (upload)
		upload_release(upload);
	return bytes;
}
