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
 * A rollout that is new or changed starts afresh under the plan's id, with no
 * failures counted; one that stays as it is goes on.
 */
static void add_rollout(struct plan *plan, const struct config *base,
			const struct config_rollout *from)
{
	const struct config_rollout *before =
		config_find_rollout(base, from->name);
	struct config_rollout *rollout =
		config_add_rollout(plan->result, from->name);
	bool same = before && rollouts_are_equal(before, from);

	g_free(rollout->service);
	g_free(rollout->target);
	g_free(rollout->id);
	rollout->service = g_strdup(from->service);
	rollout->target = g_strdup(from->target);
	rollout->id = g_strdup(same ? before->id : plan->id);
	rollout->max_parallel = from->max_parallel;
	rollout->min_ready_percent = from->min_ready_percent;
	rollout->max_failures = from->max_failures;
}

/* Those of base but for what the intent removes or replaces, and its own. */
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

/* Those of an earlier configuration. */
void plan_copy_rollouts(struct plan *plan, const struct config *base,
			const struct config *earlier)
{
	for (guint i = 0; i < earlier->rollouts->len; i++)
		add_rollout(plan, base,
			    g_ptr_array_index(earlier->rollouts, i));
}

static gint compare_endpoints(gconstpointer a, gconstpointer b)
{
	const struct config_endpoint *const *left = a;
	const struct config_endpoint *const *right = b;
	int order = strcmp((*left)->failure_domain, (*right)->failure_domain);

	return order ? order : strcmp((*left)->address, (*right)->address);
}

/* The endpoints in the order in which the rollout takes them. */
static GPtrArray *sorted_endpoints(const struct config_service *service)
{
	GPtrArray *endpoints = g_ptr_array_new();

	for (guint i = 0; i < service->endpoints->len; i++) {
		struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (!endpoint->leaving)
			g_ptr_array_add(endpoints, endpoint);
	}
	g_ptr_array_sort(endpoints, compare_endpoints);
	return endpoints;
}

/* How many of one failure domain follow from i on, at most room. */
static guint batch_size(const GPtrArray *endpoints, guint i, guint room)
{
	const struct config_endpoint *first = g_ptr_array_index(endpoints, i);
	guint size = 1;

	while (size < room && i + size < endpoints->len) {
		const struct config_endpoint *next =
			g_ptr_array_index(endpoints, i + size);

		if (strcmp(next->failure_domain, first->failure_domain) != 0)
			break;
		size++;
	}
	return size;
}

static void add_batch_line(struct plan *plan, const char *name, guint number,
			   const GPtrArray *endpoints, guint from, guint size)
{
	const struct config_endpoint *first =
		g_ptr_array_index(endpoints, from);
	GString *addresses = g_string_new(NULL);

	for (guint i = from; i < from + size; i++) {
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
			    const GPtrArray *endpoints, guint room)
{
	guint number = 0;

	for (guint i = 0; i < endpoints->len;) {
		guint size = batch_size(endpoints, i, room);

		if (++number <= MAX_BATCH_LINES)
			add_batch_line(plan, name, number, endpoints, i, size);
		i += size;
	}
	if (number > MAX_BATCH_LINES)
		plan_add_line(plan->differences,
			      "rollout %s: and %u more batches", name,
			      number - MAX_BATCH_LINES);
}

static void warn_of_rollout(struct plan *plan,
			    const struct config_rollout *rollout,
			    const GPtrArray *endpoints, int32_t room)
{
	guint unchecked = 0;

	for (guint i = 0; i < endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		unchecked += !endpoint->checks_fence;
	}
	if (room <= 0)
		plan_add_line(plan->warnings,
			      "rollout %s stops at once: taking out one of %u "
			      "endpoints leaves less than %d%% in use",
			      rollout->name, endpoints->len,
			      rollout->min_ready_percent);
	else
		plan_add_line(plan->warnings,
			      "rollout %s leaves %u of %u endpoints of service "
			      "%s in use while it runs",
			      rollout->name, endpoints->len - (guint)room,
			      endpoints->len, rollout->service);
	if (unchecked)
		plan_add_line(plan->warnings,
			      "rollout %s: %u endpoints do not check fencing "
			      "numbers; a late order there is corrected after "
			      "it ran",
			      rollout->name, unchecked);
}

static void describe_batches(struct plan *plan,
			     const struct config_rollout *rollout)
{
	const struct config_service *service =
		config_find_service(plan->result, rollout->service);
	GPtrArray *endpoints;
	int32_t total;
	int32_t keep;
	int32_t room;

	if (!service)
		return;
	endpoints = sorted_endpoints(service);
	total = (int32_t)endpoints->len;
	keep = (total * rollout->min_ready_percent + 99) / 100;
	room = MIN(total - keep, rollout->max_parallel);
	if (room > 0)
		add_batch_lines(plan, rollout->name, endpoints, (guint)room);
	warn_of_rollout(plan, rollout, endpoints, room);
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

/* Which endpoints each new or changed rollout touches, in which order. */
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
