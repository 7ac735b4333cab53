#include "ports/request.h"

static void request_free_members(gpointer data)
{
	struct request *request = data;

	g_free(request->bearer);
	g_free(request->organisation);
	g_free(request->service);
	g_free(request->idempotency_key);
	g_free(request->last_event_id);
	g_free(request->method);
	g_free(request->path);
	g_free(request->content_type);
	g_bytes_unref(request->body);
}

/*
 * Creates a request with one reference, an empty body, the organisation's
 * priority and a prompt of 1 token.
 */
struct request *request_create(enum request_kind kind)
{
	struct request *request = g_rc_box_new0(struct request);

	request->kind = kind;
	request->priority = -1;
	request->prompt_tokens = 1;
	request->body = g_bytes_new(NULL, 0);
	return request;
}

/* Takes a reference and returns the same request. */
struct request *request_ref(struct request *request)
{
	return g_rc_box_acquire(request);
}

/* Drops a reference and frees the request with the last; NULL is allowed. */
void request_unref(struct request *request)
{
	if (request)
		g_rc_box_release_full(request, request_free_members);
}
