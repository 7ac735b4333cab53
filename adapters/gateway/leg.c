#include "adapters/gateway/exchange_state.h"

#include <string.h>

/*
 * Future output tokens that are counted for a generation: what it produces in
 * about three seconds, while others are placed.
 */
#define PLANNED_AHEAD_TOKENS 384

/*
 * Fewest remaining tokens assumed, as a generation may exceed its expected
 * length.
 */
#define MIN_REMAINING_TOKENS 128

/*
 * Bytes of heads, and of the framing of bodies, of answers that are not to the
 * request: a few interim answers and one late answer.
 */
#define MAX_OTHER_HEADS_BYTES (256 * 1024)

/* Shorter answers end before a backup could be of use. */
#define MIN_BACKUP_TOKENS 64

/* Returns the leg's endpoint, or NULL if the registry has removed it. */
struct endpoint *leg_endpoint(const struct leg *leg)
{
	return registry_find(leg->exchange->gateway->registry,
			     leg->endpoint_id);
}

/* Returns the backup engine, or NULL if there is none or it was removed. */
struct endpoint *leg_backup(const struct leg *leg)
{
	if (!leg->backup_id)
		return NULL;
	return registry_find(leg->exchange->gateway->registry, leg->backup_id);
}

static void leg_count_load(struct leg *leg, int32_t sign)
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
	leg->exchange->gateway->announce_pending = true;
	leg->exchange->gateway->home_announce_pending = true;
}

/* Records that the endpoint has processed the prompt. */
void leg_mark_prompt_read(struct leg *leg)
{
	if (leg->unread_tokens == 0)
		return;
	leg_count_load(leg, -1);
	leg->unread_tokens = 0;
	leg_count_load(leg, 1);
}

/*
 * Sets the tokens counted for the generation. This alone triggers no update to
 * the other nodes or the home: they get it with the next one.
 */
void leg_set_tokens(struct leg *leg, int64_t tokens)
{
	struct gateway *gateway = leg->exchange->gateway;
	bool announce_was_pending = gateway->announce_pending;
	bool home_announce_was_pending = gateway->home_announce_pending;

	leg_count_load(leg, -1);
	leg->tokens = tokens;
	leg_count_load(leg, 1);
	gateway->announce_pending = announce_was_pending;
	gateway->home_announce_pending = home_announce_was_pending;
}

/*
 * Returns the tokens to count for a generation: its prompt, its output so far
 * and at most its output until the next update; 0 for other requests. Counting
 * the expected final length instead would leave a third of the memory unused,
 * since generations are at all stages at once.
 */
int64_t exchange_held_tokens(const struct exchange *exchange)
{
	int64_t generated, remaining;

	if (!exchange_is_generation(exchange))
		return 0;
	generated = exchange->event_count *
		    exchange->service->engine.tokens_per_event;
	remaining = MAX(exchange->expected_tokens - generated,
			MIN_REMAINING_TOKENS);
	return exchange->parsed_request.prompt_tokens + generated +
	       MIN(remaining, PLANNED_AHEAD_TOKENS);
}

/* Returns whether a backup copy of the run would be of use. */
bool exchange_wants_backup(const struct exchange *exchange)
{
	return exchange_is_generation(exchange) &&
	       exchange->expected_tokens >= MIN_BACKUP_TOKENS;
}

/* Returns the backup that the home selected, or NULL if it is not usable. */
static struct endpoint *leg_find_home_backup(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	struct endpoint *backup = registry_find(exchange->gateway->registry,
						exchange->home_backup_id);

	return backup && endpoint_serves(backup, exchange->service_name) &&
			       endpoint_is_usable(backup)
		       ? backup
		       : NULL;
}

static struct endpoint *leg_pick_backup(const struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint_criteria criteria;

	if (exchange->home_backup_id)
		return leg_find_home_backup(leg);
	exchange_fill_criteria(exchange, &criteria);
	criteria.avoid_id = leg->endpoint_id;
	return endpoint_choose_backup(exchange->gateway->registry, &criteria);
}

/* Selects the engine that keeps a copy while the leg's endpoint runs it. */
static void leg_choose_backup(struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint *backup;

	if (!exchange_wants_backup(exchange))
		return;
	backup = leg_pick_backup(leg);
	g_clear_pointer(&exchange->home_backup_id, g_free);
	if (!backup)
		return;
	leg->backup_id = g_strdup(backup->last_registration->id);
	leg->backup_address = g_strdup(backup->last_registration->address);
	leg->backup_start =
		known_start_read(backup, exchange->gateway->quarantine);
}

/*
 * Creates a leg at the endpoint and counts its load there. With a copy_address
 * it continues a run from a copy. The result is freed with leg_destroy.
 */
struct leg *leg_create(struct exchange *exchange, struct endpoint *endpoint,
		       const char *copy_address)
{
	struct leg *leg = g_new0(struct leg, 1);

	leg->exchange = exchange;
	leg->endpoint_id = g_strdup(endpoint->last_registration->id);
	leg->endpoint_address = g_strdup(endpoint->last_registration->address);
	leg->start = gateway_losses_start(exchange->gateway, endpoint);
	leg->known_us = endpoint->known_us;
	leg->tokens = exchange_held_tokens(exchange);
	leg->sent_us = exchange->gateway->now_us;
	leg->created_us = exchange->gateway->now_us;
	leg->is_takeover = copy_address != NULL;
	leg->is_resumed = !copy_address && exchange->answer_begun;
	leg->is_rerun = !copy_address && !exchange->answer_begun &&
			exchange->handover.kept.endpoint_id;
	leg->is_granted = exchange->is_granted;
	exchange->is_granted = false;
	if (!copy_address)
		leg->unread_tokens = exchange->parsed_request.prompt_tokens;
	leg_choose_backup(leg);
	leg_count_load(leg, 1);
	endpoint_health_count_placed(&endpoint->health);
	return leg;
}

/* Ends the attempt, uncounts its load and frees the leg. NULL is allowed. */
void leg_destroy(struct leg *leg)
{
	if (!leg)
		return;
	attempt_destroy(leg->attempt);
	leg_count_load(leg, -1);
	event_scanner_destroy(leg->events);
	g_free(leg->endpoint_id);
	g_free(leg->endpoint_address);
	g_free(leg->backup_id);
	g_free(leg->backup_address);
	g_free(leg);
}

/*
 * A run that is taken over has the highest priority, 0: its caller is in the
 * middle of reading, and one step of the engine processes the missing tokens.
 */
static int32_t leg_priority(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;

	if (leg->is_takeover)
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
	GString *out = g_string_sized_new(1024);
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
		.after_event = copy_address || exchange->route->is_resumable
				       ? exchange->last_event
				       : -1,
		.keep_connection = exchange->route->kind == ROUTE_IDEMPOTENT,
	};

	dialect->write_request(exchange->head, &to, exchange->body->len, out);
	return out;
}

/*
 * Counts the request against the limits of its endpoint, unless the home
 * counted it when it granted it.
 */
static void leg_count_send(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	struct gateway *gateway = exchange->gateway;
	struct endpoint *endpoint = leg_endpoint(leg);
	struct endpoint_rates rates;

	if (!endpoint)
		return;
	if (!leg->is_granted) {
		gateway_fill_rates(gateway, exchange->service_name,
				   exchange->service, &rates);
		endpoint_rates_count(endpoint, &rates, gateway->now_us);
	}
	if (endpoint->limit.is_limited)
		counters_add(gateway->options.counters, COUNTER_GATEWAY_LIMITED,
			     1);
}

/*
 * Logs a request to an endpoint that may have left: what is known of it as the
 * request is sent. A run that goes on from a copy may be sent to a leaving one.
 */
static void leg_log_presence(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	const struct endpoint *endpoint = leg_endpoint(leg);
	char revision[24], since[24];

	if (!endpoint || endpoint->presence == PRESENCE_READY)
		return;
	g_snprintf(revision, sizeof(revision), "%" G_GINT64_FORMAT,
		   endpoint->last_registration->position);
	g_snprintf(since, sizeof(since), "%" G_GINT64_FORMAT,
		   (exchange->gateway->now_us - endpoint->since_us) / 1000);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "sent_in_doubt",
		  "request", exchange->parsed_request.id, "endpoint",
		  leg->endpoint_id, "state",
		  endpoint_presence_name(endpoint->presence), "revision",
		  revision, "since_ms", since, NULL);
}

/*
 * Bytes of other answers that may precede the one to a request: of a late
 * answer to an earlier request, and of the heads around it. 0: any number.
 */
int64_t exchange_max_other_bytes(const struct exchange *exchange)
{
	int64_t max = exchange->gateway->options.max_answer_bytes;

	return max > 0 ? max + MAX_OTHER_HEADS_BYTES : 0;
}

static bool leg_may_reuse(const struct exchange *exchange)
{
	return exchange->route->kind == ROUTE_IDEMPOTENT &&
	       exchange->sends == 0 && !exchange->is_relayed;
}

/*
 * Sends the request, as a new run or as one continued from a copy of its
 * memory. Returns false and sets error if no connection could be started.
 *
 * A request that may run only once gets a connection of its own: if the
 * endpoint closed a reused one while the request was on its way, this node
 * could not tell whether it runs. So does one that is sent again: endpoints
 * that restart together close all their idle connections. One that another node
 * passes on may be such a one, and has one run left as a rule.
 */
bool leg_send(struct leg *leg, const char *copy_address, const char *copy_name,
	      struct error *error)
{
	struct exchange *exchange = leg->exchange;
	struct gateway *gateway = exchange->gateway;
	struct attempt_options options = {
		.address = leg->endpoint_address,
		.echo_field = gateway->dialect->id_field,
		.echo_value = exchange->parsed_request.id,
		.request = leg_render(leg, copy_address, copy_name),
		.body = exchange->body,
		.now_us = gateway->now_us,
		.has_no_body = strcmp(exchange->head->method, "HEAD") == 0,
		.max_other_bytes = exchange_max_other_bytes(exchange),
		.pool = leg_may_reuse(exchange) ? gateway->pool : NULL,
	};

	exchange->sends++;
	leg_count_send(leg);
	leg_log_presence(leg);
	leg->attempt =
		attempt_start(&options, &exchange_attempt_events, leg, error);
	return leg->attempt != NULL;
}
