#ifndef ADAPTERS_HTTP_ANSWER_H
#define ADAPTERS_HTTP_ANSWER_H

#include "ports/refusal.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Why an exchange failed, in the one shape that callers see: the JSON body of
 * a refusal and the data of a stream's error event.
 */
struct http_problem {
	int32_t status;
	const char *code;
	const char *message;
	const char *detail; /* more for the caller, or NULL */
	enum run run;
	int64_t retry_after_us; /* 0: coming back does not help */
};

/* Refusals that the server makes itself, before a call reaches the core. */
extern const struct http_problem http_problem_not_found;
extern const struct http_problem http_problem_method;
extern const struct http_problem http_problem_header;
extern const struct http_problem http_problem_connections;
extern const struct http_problem http_problem_bodies;
extern const struct http_problem http_problem_operator_key;
extern const struct http_problem http_problem_operators_closed;
extern const struct http_problem http_problem_operator_name;

struct http_problem http_problem_of(enum refusal refusal, enum run run,
				    int64_t retry_after_us, const char *detail);
char *http_problem_json(const struct http_problem *problem);
char *http_problem_raw(const struct http_problem *problem);

void http_answer_problem(SoupServerMessage *message,
			 const struct http_problem *problem);
void http_answer_bytes(SoupServerMessage *message, int32_t status,
		       const char *content_type, GBytes *body);
void http_answer_number(SoupServerMessage *message, uint64_t call);

G_END_DECLS

#endif
