#include "core/plan/plan_route.h"

#include "core/plan/plan_describe.h"

#include <string.h>

#define US_PER_MS 1000

static void add_route_copy(struct plan *plan, const struct route *route)
{
	g_ptr_array_add(plan->result->routes, route_copy(route));
}

/*
 * Fills in the routes of the plan's result: those of base, except those that
 * the intent removes or replaces, then those of the intent. The limits for
 * callers come from the intent if it has any, else from base.
 */
void plan_merge_routes(struct plan *plan, const struct config *base,
		       const struct intent *intent)
{
	for (guint i = 0; i < base->routes->len; i++) {
		const struct route *route = g_ptr_array_index(base->routes, i);

		if (!config_find_route(intent->items, route->name) &&
		    !g_ptr_array_find_with_equal_func(intent->remove_routes,
						      route->name, g_str_equal,
						      NULL))
			add_route_copy(plan, route);
	}
	for (guint i = 0; i < intent->items->routes->len; i++)
		add_route_copy(plan,
			       g_ptr_array_index(intent->items->routes, i));
	plan->result->callers = intent->has_caller_limits
					? intent->items->callers
					: base->callers;
}

/*
 * Fills in the routes and the limits for callers of the plan's result with
 * those of an earlier configuration, for a rollback.
 */
void plan_copy_routes(struct plan *plan, const struct config *earlier)
{
	for (guint i = 0; i < earlier->routes->len; i++)
		add_route_copy(plan, g_ptr_array_index(earlier->routes, i));
	plan->result->callers = earlier->callers;
}

static void describe_new_route(struct plan *plan, const struct route *route)
{
	char *targets = route_describe_targets(route);

	plan_add_line(plan->differences,
		      "add route %s: %s%s, %s%s, priority %d, timeout_ms "
		      "%" G_GINT64_FORMAT ", to %s",
		      route->name, route->host, route->path_prefix,
		      route_kind_name(route->kind),
		      route->is_public ? ", public" : "", route->priority,
		      route->timeout_us / US_PER_MS, targets);
	g_free(targets);
}

/* Both durations are in microseconds; they are shown in milliseconds. */
static void add_duration_change(GString *changes, const char *name,
				int64_t before, int64_t after)
{
	plan_add_int_change(changes, name, before / US_PER_MS,
			    after / US_PER_MS);
}

static void add_targets_change(GString *changes, const struct route *before,
			       const struct route *after)
{
	char *old_targets = route_describe_targets(before);
	char *targets = route_describe_targets(after);

	plan_add_string_change(changes, "targets", old_targets, targets);
	g_free(old_targets);
	g_free(targets);
}

static void describe_changed_route(struct plan *plan,
				   const struct route *before,
				   const struct route *after)
{
	GString *changes = g_string_new(NULL);

	plan_add_string_change(changes, "host", before->host, after->host);
	plan_add_string_change(changes, "path_prefix", before->path_prefix,
			       after->path_prefix);
	plan_add_string_change(changes, "kind", route_kind_name(before->kind),
			       route_kind_name(after->kind));
	plan_add_bool_change(changes, "resumable", before->is_resumable,
			     after->is_resumable);
	plan_add_bool_change(changes, "public", before->is_public,
			     after->is_public);
	plan_add_int_change(changes, "priority", before->priority,
			    after->priority);
	plan_add_int_change(changes, "max_attempts", before->max_attempts,
			    after->max_attempts);
	add_duration_change(changes, "timeout_ms", before->timeout_us,
			    after->timeout_us);
	add_duration_change(changes, "first_answer_ms", before->first_answer_us,
			    after->first_answer_us);
	add_duration_change(changes, "longest_pause_ms",
			    before->longest_pause_us, after->longest_pause_us);
	add_targets_change(changes, before, after);
	plan_add_line(plan->differences, "change route %s: %s", after->name,
		      changes->str);
	g_string_free(changes, TRUE);
}

/*
 * Warns about changes that callers of a route notice. If its requests may now
 * run twice, a caller whose answer was lost can be charged twice; the operator
 * must see that before callers complain.
 */
static void warn_about_changed_route(struct plan *plan,
				     const struct route *before,
				     const struct route *after)
{
	if (!route_may_repeat(before) && route_may_repeat(after))
		plan_add_line(plan->warnings,
			      "route %s: its requests may run more than once",
			      after->name);
	if (!before->is_public && after->is_public)
		plan_add_line(plan->warnings,
			      "route %s: its requests need no key any more",
			      after->name);
	if (before->is_public && !after->is_public)
		plan_add_line(plan->warnings,
			      "route %s: requests without a key are refused",
			      after->name);
	if (after->timeout_us < before->timeout_us)
		plan_add_line(plan->warnings,
			      "route %s: requests that run longer than "
			      "%" G_GINT64_FORMAT " ms are cut off",
			      after->name, after->timeout_us / US_PER_MS);
}

static void describe_route(struct plan *plan, const struct route *before,
			   const struct route *route)
{
	if (!before) {
		describe_new_route(plan, route);
		return;
	}
	if (route_is_equal(before, route))
		return;
	describe_changed_route(plan, before, route);
	warn_about_changed_route(plan, before, route);
}

static void describe_caller_limits(struct plan *plan,
				   const struct caller_limits *before,
				   const struct caller_limits *after)
{
	GString *changes = g_string_new(NULL);

	plan_add_int_change(changes, "header_bytes", before->header_bytes,
			    after->header_bytes);
	plan_add_int_change(changes, "body_bytes", before->body_bytes,
			    after->body_bytes);
	add_duration_change(changes, "header_timeout_ms",
			    before->header_timeout_us,
			    after->header_timeout_us);
	add_duration_change(changes, "idle_timeout_ms", before->idle_timeout_us,
			    after->idle_timeout_us);
	if (changes->len)
		plan_add_line(plan->differences, "change callers: %s",
			      changes->str);
	g_string_free(changes, TRUE);
}

/*
 * Adds to the plan's differences which routes and limits for callers change,
 * and to its warnings which requests fail or behave otherwise after that.
 */
void plan_describe_routes(struct plan *plan, const struct config *base)
{
	for (guint i = 0; i < plan->result->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(plan->result->routes, i);

		describe_route(plan, config_find_route(base, route->name),
			       route);
	}
	for (guint i = 0; i < base->routes->len; i++) {
		const struct route *route = g_ptr_array_index(base->routes, i);

		if (config_find_route(plan->result, route->name))
			continue;
		plan_add_line(plan->differences, "remove route %s",
			      route->name);
		plan_add_line(plan->warnings,
			      "route %s is removed: requests for %s%s are "
			      "refused or taken by another route",
			      route->name, route->host, route->path_prefix);
	}
	describe_caller_limits(plan, &base->callers, &plan->result->callers);
}
