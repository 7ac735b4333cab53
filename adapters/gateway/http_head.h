#ifndef ADAPTERS_GATEWAY_HTTP_HEAD_H
#define ADAPTERS_GATEWAY_HTTP_HEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A header field; the name keeps its case. */
struct http_field {
	char *name;
	char *value;
};

/* The start line and header fields of a request or an answer. */
struct http_head {
	char *method;		/* request */
	char *target;		/* request: path and query */
	int32_t status;		/* answer */
	char *reason;		/* answer */
	GArray *fields;		/* struct http_field, in order of arrival */
	int64_t content_length; /* -1: not given */
	bool is_chunked;
	bool ends_by_close; /* answer: nothing else ends its body */
	bool allows_chunks; /* its sender reads them: HTTP/1.1 */
	bool keeps_alive;   /* the connection may carry another message */
};

struct http_head *http_head_create(void);
void http_head_destroy(struct http_head *head);
void http_head_add(struct http_head *head, const char *name, size_t name_size,
		   const char *value, size_t value_size);
const char *http_head_get(const struct http_head *head, const char *name);
size_t http_head_count(const struct http_head *head, const char *name);
bool http_head_has_token(const struct http_head *head, const char *name,
			 const char *token);
void http_head_append_end_to_end(const struct http_head *head,
				 const char *const *excluded, GString *out);

G_END_DECLS

#endif
