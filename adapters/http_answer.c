#include "adapters/http_answer.h"

#include "core/json/json_writer.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define STATUS_HEADER_TOO_LARGE 431
#define BUSY_RETRY_US 1000000
#define US_PER_MS 1000
#define US_PER_S 1000000

const struct http_problem http_problem_incomplete = {
	SOUP_STATUS_BAD_REQUEST,
	"incomplete_request",
	"the connection was closed within the request",
	NULL,
	RUN_NO,
	0};
const struct http_problem http_problem_not_found = {
	404, "not_found", "nothing is served under this path", NULL, RUN_NO, 0};
const struct http_problem http_problem_method_not_allowed = {
	405,
	"method_not_allowed",
	"this path does not take this method",
	NULL,
	RUN_NO,
	0};
const struct http_problem http_problem_header_too_large = {
	STATUS_HEADER_TOO_LARGE,
	"header_too_large",
	"the request's headers are over the limit",
	NULL,
	RUN_NO,
	0};
const struct http_problem http_problem_too_many_connections = {
	503,
	"too_many_connections",
	"the node has as many connections as it takes",
	NULL,
	RUN_NO,
	BUSY_RETRY_US};
const struct http_problem http_problem_too_many_bytes = {
	503,
	"too_many_bytes",
	"the node holds as many bytes of requests as it takes",
	NULL,
	RUN_NO,
	BUSY_RETRY_US};
const struct http_problem http_problem_operator_key = {
	401, "unauthorized", "the operator key is wrong", NULL, RUN_NO, 0};
const struct http_problem http_problem_operators_disabled = {
	403, "forbidden", "this node takes no operator calls", NULL, RUN_NO, 0};
const struct http_problem http_problem_operator_name = {
	400,  "bad_request", "X-Operator must name the operator",
	NULL, RUN_NO,	     0};

/* Converts a refusal of the core. The result borrows detail. */
struct http_problem http_problem_from_refusal(enum refusal refusal,
					      enum run run,
					      int64_t retry_after_us,
					      const char *detail)
{
	struct http_problem problem = {
		.status = refusal_http_status(refusal),
		.code = refusal_code(refusal),
		.message = refusal_text(refusal),
		.detail = detail,
		.run = run,
		.retry_after_us = retry_after_us,
	};

	return problem;
}

static char *problem_message(const struct http_problem *problem)
{
	char *valid;
	char *message;

	if (!problem->detail)
		return g_strdup(problem->message);
	valid = g_utf8_make_valid(problem->detail, -1);
	message = g_strdup_printf("%s: %s", problem->message, valid);
	g_free(valid);
	return message;
}

/* Returns {"error":{...}} on one line; the caller frees it. */
char *http_problem_json(const struct http_problem *problem)
{
	JsonBuilder *builder = json_builder_new_immutable();
	char *message = problem_message(problem);

	json_builder_begin_object(builder);
	json_writer_begin_object(builder, "error");
	json_writer_add_string(builder, "code", problem->code);
	json_writer_add_string(builder, "message", message);
	json_writer_add_string(builder, "run", run_name(problem->run));
	if (problem->retry_after_us > 0) {
		json_writer_add_int(builder, "retry_after_ms",
				    (problem->retry_after_us + US_PER_MS - 1) /
					    US_PER_MS);
	}
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	g_free(message);
	return json_writer_finish_text(builder);
}

/* Rounds up, because a caller that retries too early is refused again. */
static int64_t problem_retry_s(const struct http_problem *problem)
{
	return (problem->retry_after_us + US_PER_S - 1) / US_PER_S;
}

/*
 * Returns the complete HTTP response as text, for a connection that is closed
 * before a request was read from it. The caller frees it.
 */
char *http_problem_format_response(const struct http_problem *problem)
{
	char *body = http_problem_json(problem);
	char *raw = g_strdup_printf(
		"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\nRetry-After: %" G_GINT64_FORMAT
		"\r\nConnection: close\r\n\r\n%s",
		problem->status, soup_status_get_phrase(problem->status),
		strlen(body), problem_retry_s(problem), body);

	g_free(body);
	return raw;
}

/* Sets the problem's status, JSON body and Retry-After as the answer. */
void http_answer_problem(SoupServerMessage *message,
			 const struct http_problem *problem)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	char *text = http_problem_json(problem);
	size_t length = strlen(text);
	GBytes *body = g_bytes_new_take(text, length);

	if (problem->retry_after_us > 0) {
		char *seconds = g_strdup_printf("%" G_GINT64_FORMAT,
						problem_retry_s(problem));

		soup_message_headers_replace(headers, "Retry-After", seconds);
		g_free(seconds);
	}
	http_answer_bytes(message, problem->status, "application/json", body);
	g_bytes_unref(body);
}

/* Sets a complete answer. The caller unpauses the message. */
void http_answer_bytes(SoupServerMessage *message, int32_t status,
		       const char *content_type, GBytes *body)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	SoupMessageBody *out = soup_server_message_get_response_body(message);

	soup_server_message_set_status(message, (guint)status, NULL);
	if (content_type)
		soup_message_headers_replace(headers, "Content-Type",
					     content_type);
	soup_message_headers_set_content_length(
		headers, (goffset)g_bytes_get_size(body));
	soup_message_body_append_bytes(out, body);
	soup_message_body_complete(out);
}

/* Adds the call's number as X-Request-Id, so that a caller can quote it. */
void http_answer_set_request_id(SoupServerMessage *message, uint64_t call)
{
	char *text = g_strdup_printf("%" G_GUINT64_FORMAT, call);

	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"X-Request-Id", text);
	g_free(text);
}
