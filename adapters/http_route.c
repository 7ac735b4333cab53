#include "adapters/http_route.h"

#include "adapters/http_answer.h"
#include "adapters/http_metrics.h"
#include "adapters/http_request.h"
#include "adapters/http_server_state.h"
#include "adapters/http_upload.h"

#include <sodium.h>
#include <string.h>

#define PLAN_PREFIX "/admin/v1/plans/"
#define CONFIRM_SUFFIX "/confirm"
#define QUARANTINE_PREFIX "/admin/v1/quarantine/"
#define LIFT_SUFFIX "/lift"

static void server_refuse_error(struct http_server *server,
				SoupServerMessage *message,
				const struct error *error)
{
	struct http_problem problem = http_problem_from_refusal(
		REFUSAL_BAD_REQUEST, RUN_NO, 0, error->detail);

	http_server_refuse(server, message, &problem);
}

/* Delivers a request to the node; refuses it if it could not be read. */
static void server_deliver_request(struct http_server *server,
				   SoupServerMessage *message,
				   struct request *request, bool chat,
				   const struct error *error)
{
	struct event event = {.type = EVENT_CALL};

	if (!request) {
		server_refuse_error(server, message, error);
		return;
	}
	event.call.request = request;
	event.call.call =
		http_server_open_call(server, message, request->stream, chat);
	http_server_deliver(server, &event);
	request_unref(request);
}

static void server_deliver_query(struct http_server *server,
				 SoupServerMessage *message,
				 const struct event_query *query)
{
	const char *name = http_request_operator(message);
	struct event event = {.type = EVENT_QUERY, .query = *query};

	event.query.operator_name = name ? name : "";
	event.query.call = http_server_open_call(server, message, false, false);
	http_server_deliver(server, &event);
}

static void server_on_generation(struct http_server *server,
				 SoupServerMessage *message)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));
	bool chat = strstr(path, "/chat/") != NULL;
	struct error error;
	struct request *request = http_request_read_generation(message, &error);

	server_deliver_request(server, message, request, chat, &error);
}

static void server_on_plain(struct http_server *server,
			    SoupServerMessage *message)
{
	struct error error;
	struct request *request = http_request_read_plain(message, &error);

	server_deliver_request(server, message, request, false, &error);
}

static void server_on_plan(struct http_server *server,
			   SoupServerMessage *message)
{
	GBytes *body = http_uploads_take_body(message);
	const struct event_query query = {.type = QUERY_PLAN, .body = body};

	if (http_request_operator(message))
		server_deliver_query(server, message, &query);
	else
		http_server_refuse(server, message,
				   &http_problem_operator_name);
	g_bytes_unref(body);
}

/*
 * Returns the id between prefix and suffix of the path, which the caller frees.
 * Refuses the message and returns NULL if the path has none, or if no operator
 * is named.
 */
static char *server_read_id(struct http_server *server,
			    SoupServerMessage *message, const char *prefix,
			    const char *suffix)
{
	const char *path = g_uri_get_path(soup_server_message_get_uri(message));
	const char *start = path + strlen(prefix);
	char *escaped, *id;

	if (!g_str_has_suffix(start, suffix)) {
		http_server_refuse(server, message, &http_problem_not_found);
		return NULL;
	}
	if (!http_request_operator(message)) {
		http_server_refuse(server, message,
				   &http_problem_operator_name);
		return NULL;
	}
	escaped = g_strndup(start, strlen(start) - strlen(suffix));
	id = g_uri_unescape_string(escaped, NULL);
	if (!id)
		http_server_refuse(server, message, &http_problem_not_found);
	g_free(escaped);
	return id;
}

static void server_on_confirm(struct http_server *server,
			      SoupServerMessage *message)
{
	char *id = server_read_id(server, message, PLAN_PREFIX, CONFIRM_SUFFIX);
	struct event_query query = {.type = QUERY_CONFIRM, .plan_id = id};

	if (id)
		server_deliver_query(server, message, &query);
	g_free(id);
}

static void server_on_lift(struct http_server *server,
			   SoupServerMessage *message)
{
	char *id =
		server_read_id(server, message, QUARANTINE_PREFIX, LIFT_SUFFIX);
	struct event_query query = {.type = QUERY_LIFT, .fingerprint = id};

	if (id)
		server_deliver_query(server, message, &query);
	g_free(id);
}

/* The query string may name a service; without one it is about all. */
static void server_on_endpoints(struct http_server *server,
				SoupServerMessage *message)
{
	const char *text =
		g_uri_get_query(soup_server_message_get_uri(message));
	GHashTable *fields = text ? soup_form_decode(text) : NULL;
	const char *service =
		fields ? g_hash_table_lookup(fields, "service") : NULL;
	struct event_query query = {.type = QUERY_ENDPOINTS,
				    .service = service ? service : ""};

	server_deliver_query(server, message, &query);
	g_clear_pointer(&fields, g_hash_table_unref);
}

static void server_on_metrics(struct http_server *server,
			      SoupServerMessage *message)
{
	GBytes *body = http_metrics_text(server->counters);

	http_answer_bytes(message, SOUP_STATUS_OK, "text/plain; version=0.0.4",
			  body);
	g_bytes_unref(body);
}

struct route {
	const char *method; /* NULL: any method */
	const char *path;   /* a prefix if it ends with a slash */
	bool operators_only;
	enum query_type query; /* sent to the node if run is NULL */
	void (*run)(struct http_server *server, SoupServerMessage *message);
};

static const struct route routes[] = {
	{"POST", "/v1/completions", .run = server_on_generation},
	{"POST", "/v1/chat/completions", .run = server_on_generation},
	{NULL, "/svc/", .run = server_on_plain},
	{"GET", "/v1/nodes", .query = QUERY_NODES},
	{"GET", "/metrics", .run = server_on_metrics},
	{"GET", "/admin/v1/dump", true, .query = QUERY_DUMP},
	{"GET", "/admin/v1/config", true, .query = QUERY_CONFIG},
	{"GET", "/admin/v1/history", true, .query = QUERY_HISTORY},
	{"POST", "/admin/v1/plans", true, .run = server_on_plan},
	{"POST", PLAN_PREFIX, true, .run = server_on_confirm},
	{"GET", "/admin/v1/quarantine", true, .query = QUERY_QUARANTINE},
	{"POST", QUARANTINE_PREFIX, true, .run = server_on_lift},
	{"GET", "/admin/v1/endpoints", true, .run = server_on_endpoints},
	{"GET", "/admin/v1/waiting", true, .query = QUERY_WAITING},
};

static const struct route *route_find(const char *path)
{
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const struct route *route = &routes[i];

		if (g_str_has_suffix(route->path, "/")
			    ? g_str_has_prefix(path, route->path)
			    : g_str_equal(path, route->path))
			return route;
	}
	return NULL;
}

/*
 * Compares digests in constant time, so that the response time reveals neither
 * the content nor the length of the key.
 */
static bool key_matches(const char *key, const char *given)
{
	unsigned char a[crypto_hash_sha256_BYTES];
	unsigned char b[crypto_hash_sha256_BYTES];

	crypto_hash_sha256(a, (const unsigned char *)key, strlen(key));
	crypto_hash_sha256(b, (const unsigned char *)given, strlen(given));
	return sodium_memcmp(a, b, sizeof(a)) == 0;
}

static const struct http_problem *
server_check_operator(const struct http_server *server,
		      SoupServerMessage *message)
{
	const char *given = http_request_bearer(message);

	if (!*server->operator_key)
		return &http_problem_operators_disabled;
	if (!given || !key_matches(server->operator_key, given))
		return &http_problem_operator_key;
	return NULL;
}

static const struct http_problem *
server_check_route(const struct http_server *server, SoupServerMessage *message,
		   const struct route *route)
{
	if (!route)
		return &http_problem_not_found;
	if (route->method &&
	    !g_str_equal(route->method,
			 soup_server_message_get_method(message)))
		return &http_problem_method_not_allowed;
	if (route->operators_only)
		return server_check_operator(server, message);
	return NULL;
}

/* Dispatches a message by its path and method, or refuses it. */
void http_route_dispatch(struct http_server *server, SoupServerMessage *message)
{
	GUri *uri = soup_server_message_get_uri(message);
	const struct route *route = route_find(g_uri_get_path(uri));
	const struct http_problem *problem =
		server_check_route(server, message, route);
	struct event_query query = {0};

	if (problem) {
		http_server_refuse(server, message, problem);
		return;
	}
	if (route->run) {
		route->run(server, message);
		return;
	}
	query.type = route->query;
	server_deliver_query(server, message, &query);
}
