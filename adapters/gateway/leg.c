#include "adapters/gateway/exchange_state.h"

#include <string.h>

/* Made by a generation while others are placed; about three seconds. */
#define AHEAD_TOKENS 384

/* A generation that is longer than was thought goes on for a while. */
#define LEAST_LEFT_TOKENS 128

/* Shorter answers end before a backup of them would be of use. */
#define BACKUP_FROM_TOKENS 64

/* The endpoint of the leg; NULL: forgotten meanwhile. */
struct endpoint *leg_endpoint(const struct leg *leg)
{
	return registry_find(leg->exchange->gateway->registry,
			     leg->endpoint_id);
}

/* The engine that keeps a copy; NULL: none, or forgotten. */
struct endpoint *leg_backup(const struct leg *leg)
{
	if (!leg->backup_id)
		return NULL;
	return registry_find(leg->exchange->gateway->registry, leg->backup_id);
}

static void leg_count(struct leg *leg, int32_t sign)
{
	struct endpoint *endpoint = leg_endpoint(leg);
	struct endpoint *backup = leg_backup(leg);

	if (endpoint) {
		endpoint->own.requests += sign;
		endpoint->own.tokens += sign * leg->tokens;
		endpoint->own.unread_tokens += sign * leg->unread_tokens;
	}
	if (backup) {
		backup->own.copies += sign;
		backup->own.tokens += sign * leg->tokens;
	}
	leg->exchange->gateway->held_changed = true;
	leg->exchange->gateway->home_untold = true;
}

/* The prompt has been read at the endpoint. */
void leg_prompt_read(struct leg *leg)
{
	if (leg->unread_tokens == 0)
		return;
	leg_count(leg, -1);
	leg->unread_tokens = 0;
	leg_count(leg, 1);
}

/* The generation now holds so many tokens; others hear of it in their time. */
void leg_plan_tokens(struct leg *leg, int64_t tokens)
{
	struct gateway *gateway = leg->exchange->gateway;
	bool was_changed = gateway->held_changed;
	bool was_untold = gateway->home_untold;

	leg_count(leg, -1);
	leg->tokens = tokens;
	leg_count(leg, 1);
	gateway->held_changed = was_changed;
	gateway->home_untold = was_untold;
}

/*
 * What a generation is counted with: what it has, and what it will make before
 * the next look at most; 0 for other requests. Counting each at its expected
 * end instead holds a third of the memory free for nothing, since generations
 * are at all stages at once.
 */
int64_t exchange_held_tokens(const struct exchange *exchange)
{
	int64_t made, left;

	if (!exchange_is_generation(exchange))
		return 0;
	made = exchange->event_count *
	       exchange->service->engine.tokens_per_event;
	left = MAX(exchange->expected_tokens - made, LEAST_LEFT_TOKENS);
	return exchange->asked.prompt_tokens + made + MIN(left, AHEAD_TOKENS);
}

/* Whether a copy of the run would be of use. */
bool exchange_wants_backup(const struct exchange *exchange)
{
	return exchange_is_generation(exchange) &&
	       exchange->expected_tokens >= BACKUP_FROM_TOKENS;
}

/* The engine that the home chose for it, where this node knows no better. */
static struct endpoint *leg_find_chosen(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	struct endpoint *backup = registry_find(exchange->gateway->registry,
						exchange->chosen_backup);

	return backup && endpoint_is_usable(backup) ? backup : NULL;
}

static struct endpoint *leg_pick_backup(const struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint_wish wish;

	if (exchange->chosen_backup)
		return leg_find_chosen(leg);
	exchange_wish(exchange, &wish);
	wish.avoid_also = leg->endpoint_id;
	return endpoint_choose_backup(exchange->gateway->registry, &wish);
}

/* Picks the engine that keeps a copy while the leg's endpoint runs it. */
static void leg_choose_backup(struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint *backup;

	if (!exchange_wants_backup(exchange))
		return;
	backup = leg_pick_backup(leg);
	g_clear_pointer(&exchange->chosen_backup, g_free);
	if (!backup)
		return;
	leg->backup_id = g_strdup(backup->said->id);
	leg->backup_address = g_strdup(backup->said->address);
	leg->backup_known_us = backup->known_us;
}

/* A leg of the exchange at the endpoint, counted there from now on. */
struct leg *leg_create(struct exchange *exchange, struct endpoint *endpoint,
		       const char *copy_address)
{
	struct leg *leg = g_new0(struct leg, 1);

	leg->exchange = exchange;
	leg->endpoint_id = g_strdup(endpoint->said->id);
	leg->endpoint_address = g_strdup(endpoint->said->address);
	leg->tokens = exchange_held_tokens(exchange);
	leg->sent_us = exchange->gateway->now_us;
	leg->goes_on = copy_address != NULL;
	if (!copy_address)
		leg->unread_tokens = exchange->asked.prompt_tokens;
	leg_choose_backup(leg);
	leg_count(leg, 1);
	endpoint_health_count_placed(&endpoint->health);
	return leg;
}

/* Ends the attempt and gives back what was counted. NULL is allowed. */
void leg_destroy(struct leg *leg)
{
	if (!leg)
		return;
	attempt_destroy(leg->attempt);
	leg_count(leg, -1);
	event_scanner_destroy(leg->events);
	g_free(leg->endpoint_id);
	g_free(leg->endpoint_address);
	g_free(leg->backup_id);
	g_free(leg->backup_address);
	g_free(leg);
}

/*
 * A run that goes on comes before all others: its caller is in the middle of
 * reading, and what it lacks is read in one step of the engine.
 */
static int32_t leg_priority(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;

	if (leg->goes_on)
		return 0;
	if (exchange->organisation &&
	    exchange->organisation->route_priority >= 0)
		return MIN(exchange->organisation->route_priority, 9);
	return CLAMP(exchange->route->priority, 0, 9);
}

static GString *leg_render(const struct leg *leg, const char *copy_address,
			   const char *copy_name)
{
	const struct exchange *exchange = leg->exchange;
	const struct dialect *dialect = exchange->gateway->dialect;
	GString *out = g_string_sized_new(1024 + exchange->body->len);
	struct endpoint_request to = {
		.endpoint_id = leg->endpoint_id,
		.organisation = exchange->organisation
					? exchange->organisation->name
					: NULL,
		.drops_key = route_table_requires_keys(exchange->table),
		.patience_us =
			exchange->deadline_us - exchange->gateway->now_us,
		.is_generation = exchange_is_generation(exchange),
		.priority = leg_priority(leg),
		.backup_address = leg->backup_address,
		.copy_address = copy_address,
		.copy_name = copy_name,
		.after_event = exchange->last_event,
		.keep_connection = exchange->route->kind == ROUTE_IDEMPOTENT,
	};

	dialect->write_request(exchange->head, &to, exchange->body, out);
	return out;
}

/*
 * Sends the request, as a new run or from a copy of its memory. False and an
 * error where no connection could be begun.
 *
 * A request that may run once gets a connection of its own: on a kept one a
 * close that crosses the request would leave nobody knowing whether it runs.
 */
bool leg_send(struct leg *leg, const char *copy_address, const char *copy_name,
	      struct error *error)
{
	struct exchange *exchange = leg->exchange;
	struct gateway *gateway = exchange->gateway;
	struct attempt_options options = {
		.address = leg->endpoint_address,
		.echo_field = gateway->dialect->id_field,
		.echo_value = exchange->asked.id,
		.request = leg_render(leg, copy_address, copy_name),
		.now_us = gateway->now_us,
		.has_no_body = strcmp(exchange->head->method, "HEAD") == 0,
		.pool = exchange->route->kind == ROUTE_IDEMPOTENT
				? gateway->pool
				: NULL,
	};

	exchange->sends++;
	leg->attempt =
		attempt_start(&options, &exchange_attempt_events, leg, error);
	return leg->attempt != NULL;
}
