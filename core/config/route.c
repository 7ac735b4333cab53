#include "core/config/route.h"

#include <string.h>

static void target_clear(gpointer data)
{
	g_free(((struct route_target *)data)->service);
}

/*
 * Creates a route without targets; the host is stored in lower case. The caller
 * owns it.
 */
struct route *route_create(const char *name, const char *host,
			   const char *path_prefix)
{
	struct route *route = g_new0(struct route, 1);

	route->name = g_strdup(name);
	route->host = g_ascii_strdown(host, -1);
	route->path_prefix = g_strdup(path_prefix);
	route->max_attempts = 1;
	route->targets = g_array_new(FALSE, FALSE, sizeof(struct route_target));
	g_array_set_clear_func(route->targets, target_clear);
	return route;
}

/* Returns a deep copy of a route; the caller owns it. */
struct route *route_copy(const struct route *other)
{
	struct route *route =
		route_create(other->name, other->host, other->path_prefix);

	route->kind = other->kind;
	route->is_resumable = other->is_resumable;
	route->is_public = other->is_public;
	route->priority = other->priority;
	route->max_attempts = other->max_attempts;
	route->timeout_us = other->timeout_us;
	route->first_answer_us = other->first_answer_us;
	route->longest_pause_us = other->longest_pause_us;
	if (other->regions)
		route->regions = g_ptr_array_ref(other->regions);
	for (guint i = 0; i < other->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(other->targets, struct route_target, i);

		route_add_target(route, target->service, target->weight);
	}
	return route;
}

/* Frees a route; NULL is allowed. */
void route_destroy(struct route *route)
{
	if (!route)
		return;
	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_array_unref(route->targets);
	g_clear_pointer(&route->regions, g_ptr_array_unref);
	g_free(route);
}

/*
 * Adds a service that receives a share of the route's requests in proportion to
 * its weight.
 */
void route_add_target(struct route *route, const char *service, int32_t weight)
{
	struct route_target target = {.service = g_strdup(service),
				      .weight = weight};

	g_array_append_val(route->targets, target);
}

/*
 * Selects a service of the route in proportion to the weights. draw is a random
 * number from 0 up to, but not including, 1. Returns NULL if no service has a
 * weight above 0.
 */
const char *route_pick_service(const struct route *route, double draw)
{
	int64_t total = 0;
	double position;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, struct route_target, i)
				 .weight;
	position = draw * (double)total;
	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		position -= target->weight;
		if (position < 0)
			return target->service;
	}
	return NULL;
}

static bool targets_are_equal(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		const struct route_target *left =
			&g_array_index(a, struct route_target, i);
		const struct route_target *right =
			&g_array_index(b, struct route_target, i);

		if (left->weight != right->weight ||
		    strcmp(left->service, right->service) != 0)
			return false;
	}
	return true;
}

static bool regions_are_equal(const GPtrArray *a, const GPtrArray *b)
{
	if (!a || !b)
		return a == b;
	for (guint i = 0; i < a->len && i < b->len; i++) {
		if (strcmp(a->pdata[i], b->pdata[i]) != 0)
			return false;
	}
	return a->len == b->len;
}

/* Returns whether two routes are equal in all but their names. */
bool route_is_equal(const struct route *a, const struct route *b)
{
	return strcmp(a->host, b->host) == 0 &&
	       strcmp(a->path_prefix, b->path_prefix) == 0 &&
	       a->kind == b->kind && a->is_resumable == b->is_resumable &&
	       a->is_public == b->is_public && a->priority == b->priority &&
	       a->max_attempts == b->max_attempts &&
	       a->timeout_us == b->timeout_us &&
	       a->first_answer_us == b->first_answer_us &&
	       a->longest_pause_us == b->longest_pause_us &&
	       targets_are_equal(a->targets, b->targets) &&
	       regions_are_equal(a->regions, b->regions);
}

/* Returns whether a request may run more than once. */
bool route_may_repeat(const struct route *route)
{
	return route->kind == ROUTE_IDEMPOTENT || route->is_resumable;
}

/* Returns the name of the kind used in documents and intents. */
const char *route_kind_name(enum route_kind kind)
{
	switch (kind) {
	case ROUTE_IDEMPOTENT:
		return "idempotent";
	case ROUTE_ONCE:
		return "once";
	case ROUTE_STREAM:
		return "stream";
	}
	return "";
}

/*
 * Lists the services with their weights, as "old 90, new 10". The caller frees
 * the result with g_free.
 */
char *route_describe_targets(const struct route *route)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		g_string_append_printf(text, "%s%s %d", i ? ", " : "",
				       target->service, target->weight);
	}
	return g_string_free(text, FALSE);
}
