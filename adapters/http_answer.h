#ifndef ADAPTERS_HTTP_ANSWER_H
#define ADAPTERS_HTTP_ANSWER_H

#include "ports/refusal.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Describes why an exchange failed. Callers see it in one format, as the JSON
 * body of a refusal and as the data of a stream's error event.
 */
struct http_problem {
	int32_t status;
	const char *code;
	const char *message;
	const char *detail; /* appended to the message, or NULL */
	enum run run;
	int64_t retry_after_us; /* 0: a retry does not help */
};

/* Refusals that the HTTP server sends before a call reaches the core. */
extern const struct http_problem http_problem_incomplete;
extern const struct http_problem http_problem_not_found;
extern const struct http_problem http_problem_method_not_allowed;
extern const struct http_problem http_problem_header_too_large;
extern const struct http_problem http_problem_too_many_connections;
extern const struct http_problem http_problem_too_many_bytes;
extern const struct http_problem http_problem_operator_key;
extern const struct http_problem http_problem_operators_disabled;
extern const struct http_problem http_problem_operator_name;

struct http_problem http_problem_from_refusal(enum refusal refusal,
					      enum run run,
					      int64_t retry_after_us,
					      const char *detail);
char *http_problem_json(const struct http_problem *problem);
char *http_problem_format_response(const struct http_problem *problem);

void http_answer_problem(SoupServerMessage *message,
			 const struct http_problem *problem);
void http_answer_bytes(SoupServerMessage *message, int32_t status,
		       const char *content_type, GBytes *body);
void http_answer_set_request_id(SoupServerMessage *message, uint64_t call);

G_END_DECLS

#endif
