#include "adapters/http_upload.h"

#include "adapters/http_listener.h"
#include "adapters/http_request.h"

#define UPLOAD_KEY "siskinlink-upload"
#define ALL_BODIES_BYTES_MIN (INT64_C(64) << 20)
#define WHOLE_BODIES 4 /* so many of the largest fit in any case */

/* Counted references: messages outlive the server for a moment. */
struct http_uploads {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t max_all_bytes;
	int64_t all_bytes;
	void (*refuse)(void *data, SoupServerMessage *message,
		       const struct http_problem *problem);
	void *data; /* NULL once destroyed: no refusal any more */
};

struct upload {
	struct http_uploads *uploads;
	int64_t got_bytes;
	int64_t held_bytes; /* of all_bytes */
};

/* Bounds for one server. */
struct http_uploads *
http_uploads_create(const struct http_uploads_options *options)
{
	struct http_uploads *uploads = g_rc_box_new0(struct http_uploads);

	uploads->max_header_bytes = options->max_header_bytes;
	uploads->max_body_bytes = options->max_body_bytes;
	uploads->max_all_bytes = MAX(ALL_BODIES_BYTES_MIN,
				     WHOLE_BODIES * options->max_body_bytes);
	uploads->refuse = options->refuse;
	uploads->data = options->data;
	return uploads;
}

/* Refuses nothing from now on. NULL is allowed. */
void http_uploads_destroy(struct http_uploads *uploads)
{
	if (!uploads)
		return;
	uploads->data = NULL;
	g_rc_box_release(uploads);
}

static void upload_let_go(struct upload *upload)
{
	upload->uploads->all_bytes -= upload->held_bytes;
	upload->held_bytes = 0;
}

static void upload_free(gpointer data)
{
	struct upload *upload = data;

	upload_let_go(upload);
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
	upload_let_go(upload);
	if (uploads->data)
		uploads->refuse(uploads->data, message, problem);
}

static struct http_problem body_problem(void)
{
	return http_problem_of(REFUSAL_TOO_LARGE, RUN_NO, 0, "the body");
}

/*
 * A body over the limit is read on without being kept, so that the caller
 * sees the answer and not a reset; one that goes on for as long again is cut.
 */
static void upload_got_chunk(SoupServerMessage *message, GBytes *chunk,
			     gpointer data)
{
	struct upload *upload = data;
	struct http_uploads *uploads = upload->uploads;
	int64_t bytes = (int64_t)g_bytes_get_size(chunk);
	struct http_problem problem = body_problem();
	GSocket *socket = http_listener_socket(message);

	http_listener_touch(message);
	upload->got_bytes += bytes;
	if (socket && upload->got_bytes > 2 * uploads->max_body_bytes)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
	if (soup_server_message_get_status(message))
		return;
	upload->held_bytes += bytes;
	uploads->all_bytes += bytes;
	if (upload->got_bytes > uploads->max_body_bytes)
		upload_refuse(upload, message, &problem);
	else if (uploads->all_bytes > uploads->max_all_bytes)
		upload_refuse(upload, message, &http_problem_bodies);
}

static bool upload_is_too_long(const struct upload *upload,
			       SoupMessageHeaders *headers)
{
	return soup_message_headers_get_encoding(headers) ==
		       SOUP_ENCODING_CONTENT_LENGTH &&
	       soup_message_headers_get_content_length(headers) >
		       upload->uploads->max_body_bytes;
}

/* The headers are read; refuses before any byte of the body is kept. */
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
		upload_refuse(upload, message, &http_problem_header);
	else if (upload_is_too_long(
			 upload,
			 soup_server_message_get_request_headers(message)))
		upload_refuse(upload, message, &problem);
}

/*
 * The whole body, which the message then holds no longer: a long stream would
 * else keep its prompt a second time to its end.
 */
GBytes *http_uploads_take(SoupServerMessage *message)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	struct upload *upload =
		g_object_get_data(G_OBJECT(message), UPLOAD_KEY);
	GBytes *bytes = soup_message_body_flatten(body);

	soup_message_body_truncate(body);
	if (upload)
		upload_let_go(upload);
	return bytes;
}
