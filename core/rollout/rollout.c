#include "core/rollout/rollout_internal.h"

#include <string.h>

static void rollout_endpoint_destroy(gpointer data)
{
	struct rollout_endpoint *endpoint = data;

	g_free(endpoint->address);
	g_free(endpoint->failure_domain);
	g_free(endpoint);
}

static gint compare_batch_order(gconstpointer a, gconstpointer b)
{
	const struct rollout_endpoint *const *left = a;
	const struct rollout_endpoint *const *right = b;
	int order = strcmp((*left)->failure_domain, (*right)->failure_domain);

	return order ? order : strcmp((*left)->address, (*right)->address);
}

/*
 * Fills in the defaults: at most two endpoints out of use at once, at least
 * three quarters in use, one failure allowed.
 */
void rollout_options_default(struct rollout_options *options)
{
	memset(options, 0, sizeof(*options));
	options->max_parallel = 2;
	options->min_ready_percent = 75;
	options->max_failures = 1;
	options->kv_timeout_us = 2 * G_USEC_PER_SEC;
	options->order_timeout_us = 2 * G_USEC_PER_SEC;
	options->order_interval_us = 1 * G_USEC_PER_SEC;
	options->read_interval_us = 1 * G_USEC_PER_SEC;
	options->take_out_propagation_us = 5 * G_USEC_PER_SEC;
	options->put_back_propagation_us = 30 * G_USEC_PER_SEC;
	options->drain_timeout_us = 1800 * G_USEC_PER_SEC;
	options->load_timeout_us = 600 * G_USEC_PER_SEC;
	options->verify_interval_us = 1 * G_USEC_PER_SEC;
}

/*
 * Creates a rollout, to be freed with rollout_destroy(). It does nothing until
 * the holder, which stays owned by the caller, holds its key.
 */
struct rollout *rollout_create(const struct rollout_options *options,
			       struct holder *holder)
{
	struct rollout *rollout = g_new0(struct rollout, 1);

	rollout->options = *options;
	rollout->id = g_strdup(options->id);
	rollout->target = g_strdup(options->target);
	rollout->key = g_strdup_printf("/siskinlink/rollouts/%s", options->id);
	rollout->holder = holder;
	rollout->endpoints =
		g_ptr_array_new_with_free_func(rollout_endpoint_destroy);
	for (size_t i = 0; i < options->endpoint_count; i++) {
		const struct rollout_endpoint_spec *spec =
			&options->endpoints[i];
		struct rollout_endpoint *endpoint =
			g_new0(struct rollout_endpoint, 1);

		endpoint->address = g_strdup(spec->address);
		endpoint->failure_domain = g_strdup(spec->failure_domain);
		endpoint->checks_fence = spec->checks_fence;
		g_ptr_array_add(rollout->endpoints, endpoint);
	}
	g_ptr_array_sort(rollout->endpoints, compare_batch_order);
	rollout_state_init(&rollout->state);
	return rollout;
}

/* Frees the rollout but not its holder. NULL is allowed. */
void rollout_destroy(struct rollout *rollout)
{
	if (!rollout)
		return;
	g_ptr_array_unref(rollout->endpoints);
	rollout_state_clear(&rollout->state);
	g_free(rollout->id);
	g_free(rollout->target);
	g_free(rollout->key);
	g_free(rollout);
}

/* Returns whether the rollout is running, done or stopped. */
enum rollout_phase rollout_phase(const struct rollout *rollout)
{
	return rollout->state.phase;
}

/* Returns the id that the rollout was created with. */
const char *rollout_id(const struct rollout *rollout)
{
	return rollout->id;
}

/* Returns the target that the endpoints are to run. */
const char *rollout_target(const struct rollout *rollout)
{
	return rollout->target;
}

/* Returns the longest time that an order may be in flight, in us. */
int64_t rollout_order_timeout_us(const struct rollout *rollout)
{
	return rollout->options.order_timeout_us;
}

/* Returns why the rollout has stopped, or "" if it has not. */
const char *rollout_reason(const struct rollout *rollout)
{
	return rollout->state.reason;
}

/* Returns endpoint i in the order of failure domain, then address. */
struct rollout_endpoint *rollout_get_endpoint(const struct rollout *rollout,
					      size_t i)
{
	return g_ptr_array_index(rollout->endpoints, i);
}

/* Returns the endpoint with this address, or NULL. */
struct rollout_endpoint *rollout_find_endpoint(const struct rollout *rollout,
					       const char *address)
{
	for (guint i = 0; i < rollout->endpoints->len; i++) {
		if (strcmp(rollout_get_endpoint(rollout, i)->address,
			   address) == 0)
			return rollout_get_endpoint(rollout, i);
	}
	return NULL;
}

/* Appends an effect for the caller to carry out on an endpoint. */
void rollout_add_effect(const struct rollout *rollout, GArray *effects,
			enum rollout_effect_type type,
			const struct rollout_endpoint *endpoint)
{
	struct rollout_effect effect = {type, endpoint->address,
					rollout->fence};

	g_array_append_val(effects, effect);
}

/*
 * Stops the rollout for this reason, which is copied. No further batch begins;
 * endpoints that were already ordered are finished.
 */
void rollout_stop(struct rollout *rollout, const char *reason)
{
	rollout->state.phase = ROLLOUT_STOPPED;
	g_free(rollout->state.reason);
	rollout->state.reason = g_strdup(reason);
	rollout->dirty = true;
}

/* Endpoint counts that decide whether a batch may begin and how large it is. */
struct rollout_counts {
	int32_t unread;
	int32_t waiting;
	int32_t in_progress;
	int32_t in_use;
};

/*
 * Returns whether other nodes may still avoid an endpoint that was put back
 * into use. The announcement that it was leaving is repeated, so it can reach
 * them after the announcement that it is back. Such an endpoint counts as out
 * of use; otherwise successive batches would add up until no endpoint of the
 * service was used.
 */
static bool is_returning(const struct rollout_endpoint *endpoint,
			 int64_t now_us)
{
	return now_us < endpoint->returning_until_us;
}

static struct rollout_counts count_endpoints(const struct rollout *rollout,
					     int64_t now_us)
{
	struct rollout_counts counts = {0};

	for (guint i = 0; i < rollout->endpoints->len; i++) {
		const struct rollout_endpoint *endpoint =
			rollout_get_endpoint(rollout, i);

		switch (endpoint->state) {
		case ENDPOINT_UNREAD:
			counts.unread++;
			break;
		case ENDPOINT_WAITING:
			counts.waiting++;
			break;
		case ENDPOINT_DRAINING:
		case ENDPOINT_ORDERED:
		case ENDPOINT_LOADING:
			counts.in_progress++;
			break;
		case ENDPOINT_READY:
			counts.in_progress += is_returning(endpoint, now_us);
			break;
		case ENDPOINT_FAILED:
			break;
		}
		if (!endpoint->out_of_use &&
		    endpoint->state != ENDPOINT_FAILED &&
		    !is_returning(endpoint, now_us))
			counts.in_use++;
	}
	return counts;
}

/*
 * Returns how many endpoints the next batch may take out of use: at most
 * max_parallel, and so few that min_ready_percent of all stay in use. The
 * result may be negative.
 */
static int32_t batch_limit(const struct rollout *rollout,
			   const struct rollout_counts *counts)
{
	int32_t total = (int32_t)rollout->endpoints->len;
	int32_t keep = (total * rollout->options.min_ready_percent + 99) / 100;

	return MIN(counts->in_use - keep, rollout->options.max_parallel);
}

/*
 * Takes up to limit waiting endpoints out of use, all from the first failure
 * domain that has a waiting endpoint.
 */
static void begin_batch(struct rollout *rollout, int32_t limit, int64_t now_us,
			GArray *effects)
{
	const char *domain = NULL;

	for (guint i = 0; i < rollout->endpoints->len && limit > 0; i++) {
		struct rollout_endpoint *endpoint =
			rollout_get_endpoint(rollout, i);

		if (endpoint->state != ENDPOINT_WAITING)
			continue;
		if (domain && strcmp(domain, endpoint->failure_domain) != 0)
			break;
		domain = endpoint->failure_domain;
		endpoint->orders_sent = 0;
		rollout_endpoint_set_state(endpoint, ENDPOINT_DRAINING, now_us);
		rollout_take_out(rollout, endpoint, effects);
		limit--;
	}
}

/* Begins a batch once the previous one is over and its failures are stored. */
static void step_batch(struct rollout *rollout, int64_t now_us, GArray *effects)
{
	struct rollout_counts counts = count_endpoints(rollout, now_us);
	int32_t limit = batch_limit(rollout, &counts);

	if (counts.unread || counts.in_progress || rollout->dirty ||
	    rollout->kv_id || now_us < rollout->batches_from_us)
		return;
	if (counts.waiting == 0) {
		rollout->state.phase = ROLLOUT_DONE;
		rollout->dirty = true;
	} else if (limit <= 0) {
		rollout_stop(rollout, "taking out one more endpoint would "
				      "leave too few in use");
	} else if (holder_may_act(rollout->holder, now_us,
				  rollout->options.order_timeout_us)) {
		begin_batch(rollout, limit, now_us, effects);
	}
}

/*
 * After the end, reads back one endpoint per interval, in turn, skipping failed
 * ones. Only endpoints that do not check the fencing number are read, since a
 * late order can still change them.
 */
static void step_verify(struct rollout *rollout, int64_t now_us,
			GArray *effects)
{
	size_t count = rollout->endpoints->len;

	if (now_us < rollout->next_verify_us)
		return;
	rollout->next_verify_us = now_us + rollout->options.verify_interval_us;
	for (size_t i = 0; i < count; i++) {
		struct rollout_endpoint *endpoint = rollout_get_endpoint(
			rollout, rollout->next_verify_index++ % count);

		if (endpoint->checks_fence ||
		    endpoint->state == ENDPOINT_FAILED)
			continue;
		rollout_add_effect(rollout, effects, ROLLOUT_READ, endpoint);
		return;
	}
}

/*
 * Puts back into use the endpoints that this node took out and discards this
 * node's state of the rollout, because another node may hold the key now or the
 * rollout is to end.
 */
void rollout_reset(struct rollout *rollout, int64_t now_us, GArray *effects)
{
	for (guint i = 0; i < rollout->endpoints->len; i++) {
		struct rollout_endpoint *endpoint =
			rollout_get_endpoint(rollout, i);

		rollout_put_back(rollout, endpoint, effects);
		rollout_endpoint_set_state(endpoint, ENDPOINT_UNREAD, now_us);
		endpoint->orders_sent = 0;
	}
	rollout->fence = 0;
	rollout->loaded = false;
	rollout->stale = false;
	rollout->dirty = false;
	rollout->kv_id = 0;
	rollout->kv_due_us = now_us;
	rollout_state_clear(&rollout->state);
	rollout_state_init(&rollout->state);
}

/*
 * Steps every endpoint. After a stop, endpoints that are still draining are put
 * back into use, and those that were already ordered are finished.
 */
static void step_endpoints(struct rollout *rollout, int64_t now_us,
			   GArray *effects)
{
	for (guint i = 0; i < rollout->endpoints->len; i++) {
		struct rollout_endpoint *endpoint =
			rollout_get_endpoint(rollout, i);

		if (rollout->state.phase == ROLLOUT_STOPPED &&
		    endpoint->state == ENDPOINT_DRAINING) {
			rollout_put_back(rollout, endpoint, effects);
			rollout_endpoint_set_state(endpoint, ENDPOINT_WAITING,
						   now_us);
		}
		rollout_endpoint_step(rollout, endpoint, now_us, effects);
	}
}

/*
 * Schedules the first read of each endpoint. The reads are spaced out, since a
 * service may have a thousand endpoints.
 */
static void rollout_schedule_reads(struct rollout *rollout, int64_t now_us)
{
	for (guint i = 0; i < rollout->endpoints->len; i++)
		rollout_endpoint_set_state(
			rollout_get_endpoint(rollout, i), ENDPOINT_UNREAD,
			now_us + (int64_t)i * ROLLOUT_READ_SPACING_US);
}

/*
 * Advances the rollout. Appends calls to the key-value service to actions, and
 * elements of type struct rollout_effect to effects.
 */
void rollout_step(struct rollout *rollout, int64_t now_us,
		  struct action_list *actions, GArray *effects)
{
	int64_t fence = holder_fence(rollout->holder);

	rollout->last_step_us = now_us;
	if (rollout->fence && rollout->fence != fence)
		rollout_reset(rollout, now_us, effects);
	if (!fence)
		return;
	if (!rollout->fence) {
		rollout->fence = fence;
		rollout->held_since_us = now_us;
		rollout_schedule_reads(rollout, now_us);
	}
	rollout_store_step(rollout, now_us, actions);
	if (!rollout->loaded)
		return;
	step_endpoints(rollout, now_us, effects);
	if (rollout->state.phase == ROLLOUT_RUNNING)
		step_batch(rollout, now_us, effects);
	else if (rollout->state.phase == ROLLOUT_DONE)
		step_verify(rollout, now_us, effects);
	rollout_store_step(rollout, now_us, actions);
}

/*
 * Returns the time in us at which rollout_step() next has something to do, or
 * INT64_MAX if it has nothing to do before another event arrives.
 */
int64_t rollout_next_due_us(const struct rollout *rollout)
{
	int64_t due_us = INT64_MAX;

	if (!rollout->fence)
		return holder_fence(rollout->holder) ? 0 : INT64_MAX;
	if (!rollout->kv_id && (!rollout->loaded || rollout->dirty))
		due_us = rollout->kv_due_us;
	if (!rollout->loaded)
		return due_us;
	if (rollout->batches_from_us > rollout->last_step_us)
		due_us = MIN(due_us, rollout->batches_from_us);
	for (guint i = 0; i < rollout->endpoints->len; i++)
		due_us = MIN(due_us, rollout_endpoint_due_us(
					     rollout,
					     rollout_get_endpoint(rollout, i)));
	if (rollout->state.phase == ROLLOUT_DONE)
		due_us = MIN(due_us, rollout->next_verify_us);
	return due_us;
}
