#include "core/plan/plan_rollout.h"

#include "core/plan/plan_describe.h"

#include <string.h>

enum { MAX_BATCH_LINES = 40 };

static bool rollouts_are_equal(const struct config_rollout *a,
			       const struct config_rollout *b)
{
	return strcmp(a->service, b->service) == 0 &&
	       strcmp(a->target, b->target) == 0 &&
	       a->max_parallel == b->max_parallel &&
	       a->min_ready_percent == b->min_ready_percent &&
	       a->max_failures == b->max_failures;
}

/*
 * Copies a rollout into the plan's result. A new or changed rollout gets the
 * plan's id, so that it starts from the beginning with no failures counted. An
 * unchanged rollout keeps its id and continues.
 */
static void add_rollout(struct plan *plan, const struct config *base,
			const struct config_rollout *source)
{
	const struct config_rollout *before =
		config_find_rollout(base, source->name);
	struct config_rollout *rollout =
		config_add_rollout(plan->result, source->name);
	bool unchanged = before && rollouts_are_equal(before, source);

	g_free(rollout->service);
	g_free(rollout->target);
	g_free(rollout->id);
	rollout->service = g_strdup(source->service);
	rollout->target = g_strdup(source->target);
	rollout->id = g_strdup(unchanged ? before->id : plan->id);
	rollout->max_parallel = source->max_parallel;
	rollout->min_ready_percent = source->min_ready_percent;
	rollout->max_failures = source->max_failures;
}

/*
 * Fills in the rollouts of the plan's result: those of base, except those that
 * the intent removes or replaces, then those of the intent.
 */
void plan_merge_rollouts(struct plan *plan, const struct config *base,
			 const struct intent *intent)
{
	for (guint i = 0; i < base->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(base->rollouts, i);

		if (!config_find_rollout(intent->items, rollout->name) &&
		    !g_ptr_array_find_with_equal_func(intent->remove_rollouts,
						      rollout->name,
						      g_str_equal, NULL))
			add_rollout(plan, base, rollout);
	}
	for (guint i = 0; i < intent->items->rollouts->len; i++)
		add_rollout(plan, base,
			    g_ptr_array_index(intent->items->rollouts, i));
}

/*
 * Fills in the rollouts of the plan's result with those of an earlier
 * configuration, for a rollback.
 */
void plan_copy_rollouts(struct plan *plan, const struct config *base,
			const struct config *earlier)
{
	for (guint i = 0; i < earlier->rollouts->len; i++)
		add_rollout(plan, base,
			    g_ptr_array_index(earlier->rollouts, i));
}

static gint compare_batch_order(gconstpointer a, gconstpointer b)
{
	const struct config_endpoint *const *left = a;
	const struct config_endpoint *const *right = b;
	int order = strcmp((*left)->failure_domain, (*right)->failure_domain);

	return order ? order : strcmp((*left)->address, (*right)->address);
}

/*
 * Returns the endpoints that are not leaving in the order in which a rollout
 * updates them: by failure domain, then by address.
 */
static GPtrArray *sort_endpoints(const struct config_service *service)
{
	GPtrArray *endpoints = g_ptr_array_new();

	for (guint i = 0; i < service->endpoints->len; i++) {
		struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (!endpoint->leaving)
			g_ptr_array_add(endpoints, endpoint);
	}
	g_ptr_array_sort(endpoints, compare_batch_order);
	return endpoints;
}

/*
 * Returns the size of the batch that starts at index i: endpoints of one
 * failure domain, at most max_unavailable of them.
 */
static guint batch_size(const GPtrArray *endpoints, guint i,
			guint max_unavailable)
{
	const struct config_endpoint *first = g_ptr_array_index(endpoints, i);
	guint size = 1;

	while (size < max_unavailable && i + size < endpoints->len) {
		const struct config_endpoint *next =
			g_ptr_array_index(endpoints, i + size);

		if (strcmp(next->failure_domain, first->failure_domain) != 0)
			break;
		size++;
	}
	return size;
}

static void add_batch_line(struct plan *plan, const char *name, guint number,
			   const GPtrArray *endpoints, guint start, guint size)
{
	const struct config_endpoint *first =
		g_ptr_array_index(endpoints, start);
	GString *addresses = g_string_new(NULL);

	for (guint i = start; i < start + size; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		g_string_append_printf(addresses, "%s%s",
				       addresses->len ? ", " : "",
				       endpoint->address);
	}
	plan_add_line(plan->differences,
		      "rollout %s: batch %u: %s in failure domain %s", name,
		      number, addresses->str,
		      *first->failure_domain ? first->failure_domain : "none");
	g_string_free(addresses, TRUE);
}

static void add_batch_lines(struct plan *plan, const char *name,
			    const GPtrArray *endpoints, guint max_unavailable)
{
	guint number = 0;

	for (guint i = 0; i < endpoints->len;) {
		guint size = batch_size(endpoints, i, max_unavailable);

		if (++number <= MAX_BATCH_LINES)
			add_batch_line(plan, name, number, endpoints, i, size);
		i += size;
	}
	if (number > MAX_BATCH_LINES)
		plan_add_line(plan->differences,
			      "rollout %s: and %u more batches", name,
			      number - MAX_BATCH_LINES);
}

static void warn_about_rollout(struct plan *plan,
			       const struct config_rollout *rollout,
			       const GPtrArray *endpoints,
			       int32_t max_unavailable)
{
	guint unfenced = 0;

	for (guint i = 0; i < endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		unfenced += !endpoint->checks_fence;
	}
	if (max_unavailable <= 0)
		plan_add_line(plan->warnings,
			      "rollout %s stops at once: taking out one of %u "
			      "endpoints leaves less than %d%% in use",
			      rollout->name, endpoints->len,
			      rollout->min_ready_percent);
	else
		plan_add_line(plan->warnings,
			      "rollout %s leaves %u of %u endpoints of service "
			      "%s in use while it runs",
			      rollout->name,
			      endpoints->len - (guint)max_unavailable,
			      endpoints->len, rollout->service);
	if (unfenced)
		plan_add_line(plan->warnings,
			      "rollout %s: %u endpoints do not check fencing "
			      "numbers; a late order there is corrected after "
			      "it ran",
			      rollout->name, unfenced);
}

static void describe_batches(struct plan *plan,
			     const struct config_rollout *rollout)
{
	const struct config_service *service =
		config_find_service(plan->result, rollout->service);
	GPtrArray *endpoints;
	int32_t endpoint_count;
	int32_t min_in_use;
	int32_t max_unavailable;

	if (!service)
		return;
	endpoints = sort_endpoints(service);
	endpoint_count = (int32_t)endpoints->len;
	min_in_use = (endpoint_count * rollout->min_ready_percent + 99) / 100;
	max_unavailable =
		MIN(endpoint_count - min_in_use, rollout->max_parallel);
	if (max_unavailable > 0)
		add_batch_lines(plan, rollout->name, endpoints,
				(guint)max_unavailable);
	warn_about_rollout(plan, rollout, endpoints, max_unavailable);
	g_ptr_array_unref(endpoints);
}

static void describe_rollout(struct plan *plan,
			     const struct config_rollout *before,
			     const struct config_rollout *rollout)
{
	if (before && rollouts_are_equal(before, rollout))
		return;
	if (before)
		plan_add_line(plan->differences,
			      "change rollout %s: service %s -> %s, target %s "
			      "-> %s, max_parallel %d -> %d, min_ready_percent "
			      "%d -> %d, max_failures %d -> %d",
			      rollout->name, before->service, rollout->service,
			      before->target, rollout->target,
			      before->max_parallel, rollout->max_parallel,
			      before->min_ready_percent,
			      rollout->min_ready_percent, before->max_failures,
			      rollout->max_failures);
	else
		plan_add_line(plan->differences,
			      "add rollout %s: service %s, target %s, "
			      "max_parallel %d, min_ready_percent %d, "
			      "max_failures %d",
			      rollout->name, rollout->service, rollout->target,
			      rollout->max_parallel, rollout->min_ready_percent,
			      rollout->max_failures);
	describe_batches(plan, rollout);
}

/*
 * Adds to the plan's differences each new or changed rollout with its batches
 * in order, and each removed one. Adds to its warnings how many endpoints a new
 * or changed rollout leaves in use and how many do not check fencing numbers.
 */
void plan_describe_rollouts(struct plan *plan, const struct config *base)
{
	for (guint i = 0; i < plan->result->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(plan->result->rollouts, i);

		describe_rollout(plan, config_find_rollout(base, rollout->name),
				 rollout);
	}
	for (guint i = 0; i < base->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(base->rollouts, i);

		if (!config_find_rollout(plan->result, rollout->name))
			plan_add_line(plan->differences, "remove rollout %s",
				      rollout->name);
	}
}
