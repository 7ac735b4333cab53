#include "core/rollout/rollout_internal.h"

#include <string.h>

static void rollout_endpoint_destroy(gpointer data)
{
	struct rollout_endpoint *endpoint = data;

	g_free(endpoint->address);
	g_free(endpoint->failure_domain);
	g_free(endpoint);
}

static gint compare_endpoints(gconstpointer a, gconstpointer b)
{
	const struct rollout_endpoint *const *left = a;
	const struct rollout_endpoint *const *right = b;
	int order = strcmp((*left)->failure_domain, (*right)->failure_domain);

	return order ? order : strcmp((*left)->address, (*right)->address);
}

/* Two at once, three quarters in use, one failure allowed. */
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
	options->settle_us = 5 * G_USEC_PER_SEC;
	options->return_us = 30 * G_USEC_PER_SEC;
	options->drain_timeout_us = 1800 * G_USEC_PER_SEC;
	options->load_timeout_us = 600 * G_USEC_PER_SEC;
	options->verify_interval_us = 1 * G_USEC_PER_SEC;
}

/* A rollout that does nothing until holder, owned by the caller, holds. */
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
	g_ptr_array_sort(rollout->endpoints, compare_endpoints);
	rollout_state_init(&rollout->state);
	return rollout;
}

/* Frees the rollout, not its holder; NULL is allowed. */
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

/* Whether it runs, is done, or has stopped. */
enum rollout_phase rollout_phase(const struct rollout *rollout)
{
	return rollout->state.phase;
}

/* The id it was created with. */
const char *rollout_id(const struct rollout *rollout)
{
	return rollout->id;
}

/* What the endpoints are to run. */
const char *rollout_target(const struct rollout *rollout)
{
	return rollout->target;
}

/* How long an order may be on its way. */
int64_t rollout_order_timeout_us(const struct rollout *rollout)
{
	return rollout->options.order_timeout_us;
}

/* Why it has stopped, else "". */
const char *rollout_reason(const struct rollout *rollout)
{
	return rollout->state.reason;
}

/* The endpoint at i, in order of failure domain and address. */
struct rollout_endpoint *rollout_get(const struct rollout *rollout, size_t i)
{
	return g_ptr_array_index(rollout->endpoints, i);
}

/* The endpoint at this address, or NULL. */
struct rollout_endpoint *rollout_find(const struct rollout *rollout,
				      const char *address)
{
	for (guint i = 0; i < rollout->endpoints->len; i++) {
		if (strcmp(rollout_get(rollout, i)->address, address) == 0)
			return rollout_get(rollout, i);
	}
	return NULL;
}

/* Appends what is to be done with an endpoint. */
void rollout_add_effect(const struct rollout *rollout, GArray *effects,
			enum rollout_effect_type type,
			const struct rollout_endpoint *endpoint)
{
	struct rollout_effect effect = {type, endpoint->address,
					rollout->fence};

	g_array_append_val(effects, effect);
}

/* Begins nothing more, for this reason; what was begun is finished. */
void rollout_stop(struct rollout *rollout, const char *reason)
{
	rollout->state.phase = ROLLOUT_STOPPED;
	g_free(rollout->state.reason);
	rollout->state.reason = g_strdup(reason);
	rollout->dirty = true;
}

/* Counts, from which the next batch follows. */
struct rollout_counts {
	int32_t unread;
	int32_t waiting;
	int32_t in_progress;
	int32_t in_use;
};

/*
 * Other nodes go on sparing an endpoint for a while after it was put in, since
 * the word that it left is repeated and may outlive the word that it is back.
 * It counts as out of use until then, or batch after batch would pile up there
 * until no endpoint of the service was used.
 */
static bool is_returning(const struct rollout_endpoint *endpoint,
			 int64_t now_us)
{
	return now_us < endpoint->returned_us;
}

static struct rollout_counts count_endpoints(const struct rollout *rollout,
					     int64_t now_us)
{
	struct rollout_counts counts = {0};

	for (guint i = 0; i < rollout->endpoints->len; i++) {
		const struct rollout_endpoint *endpoint =
			rollout_get(rollout, i);

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

/* How many may be taken out of use now, given what must stay. */
static int32_t batch_room(const struct rollout *rollout,
			  const struct rollout_counts *counts)
{
	int32_t total = (int32_t)rollout->endpoints->len;
	int32_t keep = (total * rollout->options.min_ready_percent + 99) / 100;

	return MIN(counts->in_use - keep, rollout->options.max_parallel);
}

/* The next endpoints that wait, all of the first failure domain that has one.
 */
static void begin_batch(struct rollout *rollout, int32_t room, int64_t now_us,
			GArray *effects)
{
	const char *domain = NULL;

	for (guint i = 0; i < rollout->endpoints->len && room > 0; i++) {
		struct rollout_endpoint *endpoint = rollout_get(rollout, i);

		if (endpoint->state != ENDPOINT_WAITING)
			continue;
		if (domain && strcmp(domain, endpoint->failure_domain) != 0)
			break;
		domain = endpoint->failure_domain;
		endpoint->orders = 0;
		rollout_endpoint_set_state(endpoint, ENDPOINT_DRAINING, now_us);
		rollout_take_out(rollout, endpoint, effects);
		room--;
	}
}

/* A batch is begun when the one before is over and its failures are stored. */
static void step_batch(struct rollout *rollout, int64_t now_us, GArray *effects)
{
	struct rollout_counts counts = count_endpoints(rollout, now_us);
	int32_t room = batch_room(rollout, &counts);

	if (counts.unread || counts.in_progress || rollout->dirty ||
	    rollout->kv_id || now_us < rollout->begin_us)
		return;
	if (counts.waiting == 0) {
		rollout->state.phase = ROLLOUT_DONE;
		rollout->dirty = true;
	} else if (room <= 0) {
		rollout_stop(rollout, "taking out one more endpoint would "
				      "leave too few in use");
	} else if (holder_may_act(rollout->holder, now_us,
				  rollout->options.order_timeout_us)) {
		begin_batch(rollout, room, now_us, effects);
	}
}

/* After the end: one endpoint after the other that a late order may change. */
static void step_verify(struct rollout *rollout, int64_t now_us,
			GArray *effects)
{
	size_t count = rollout->endpoints->len;

	if (now_us < rollout->next_verify_us)
		return;
	rollout->next_verify_us = now_us + rollout->options.verify_interval_us;
	for (size_t i = 0; i < count; i++) {
		struct rollout_endpoint *endpoint =
			rollout_get(rollout, rollout->next_verify++ % count);

		if (endpoint->checks_fence ||
		    endpoint->state == ENDPOINT_FAILED)
			continue;
		rollout_add_effect(rollout, effects, ROLLOUT_READ, endpoint);
		return;
	}
}

/*
 * Puts into use again what this node took out and forgets what it knew:
 * another may hold the key now, or the rollout is to end.
 */
void rollout_let_go(struct rollout *rollout, int64_t now_us, GArray *effects)
{
	for (guint i = 0; i < rollout->endpoints->len; i++) {
		struct rollout_endpoint *endpoint = rollout_get(rollout, i);

		rollout_put_in(rollout, endpoint, effects);
		rollout_endpoint_set_state(endpoint, ENDPOINT_UNREAD, now_us);
		endpoint->orders = 0;
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

/* What was begun is finished also after a stop; nothing more is begun. */
static void step_endpoints(struct rollout *rollout, int64_t now_us,
			   GArray *effects)
{
	for (guint i = 0; i < rollout->endpoints->len; i++) {
		struct rollout_endpoint *endpoint = rollout_get(rollout, i);

		if (rollout->state.phase == ROLLOUT_STOPPED &&
		    endpoint->state == ENDPOINT_DRAINING) {
			rollout_put_in(rollout, endpoint, effects);
			rollout_endpoint_set_state(endpoint, ENDPOINT_WAITING,
						   now_us);
		}
		rollout_endpoint_step(rollout, endpoint, now_us, effects);
	}
}

/* A service may have a thousand endpoints; they are not all read at once. */
static void rollout_begin_reading(struct rollout *rollout, int64_t now_us)
{
	for (guint i = 0; i < rollout->endpoints->len; i++)
		rollout_endpoint_set_state(
			rollout_get(rollout, i), ENDPOINT_UNREAD,
			now_us + (int64_t)i * ROLLOUT_READ_SPACING_US);
}

/* Appends what is to be done now: calls, and struct rollout_effect. */
void rollout_step(struct rollout *rollout, int64_t now_us,
		  struct action_list *actions, GArray *effects)
{
	int64_t fence = holder_fence(rollout->holder);

	rollout->stepped_us = now_us;
	if (rollout->fence && rollout->fence != fence)
		rollout_let_go(rollout, now_us, effects);
	if (!fence)
		return;
	if (!rollout->fence) {
		rollout->fence = fence;
		rollout->held_since_us = now_us;
		rollout_begin_reading(rollout, now_us);
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

/* When rollout_step() has something to do; INT64_MAX: when it is told more. */
int64_t rollout_next_due_us(const struct rollout *rollout)
{
	int64_t due_us = INT64_MAX;

	if (!rollout->fence)
		return holder_fence(rollout->holder) ? 0 : INT64_MAX;
	if (!rollout->kv_id && (!rollout->loaded || rollout->dirty))
		due_us = rollout->kv_due_us;
	if (!rollout->loaded)
		return due_us;
	if (rollout->begin_us > rollout->stepped_us)
		due_us = MIN(due_us, rollout->begin_us);
	for (guint i = 0; i < rollout->endpoints->len; i++)
		due_us = MIN(due_us, rollout_endpoint_due_us(
					     rollout, rollout_get(rollout, i)));
	if (rollout->state.phase == ROLLOUT_DONE)
		due_us = MIN(due_us, rollout->next_verify_us);
	return due_us;
}
