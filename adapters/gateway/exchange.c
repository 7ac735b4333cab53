#include "adapters/gateway/exchange_state.h"
#include "core/gateway/answer_forecast.h"
#include "core/gateway/drain.h"

#include <string.h>

/* Expected length, as a share of max_tokens, when the caller gives no hint. */
#define DEFAULT_LENGTH_SHARE 0.5

/* Requests that are served for other nodes at a time. */
#define MAX_RELAYED 256

/* Between two log lines about prompt parts that can't be read. */
#define PARTS_LOG_PAUSE_US (60 * G_USEC_PER_SEC)

static int64_t elapsed_ms(const struct exchange *exchange, int64_t since_us)
{
	return since_us ? (exchange->gateway->now_us - since_us) / 1000 : -1;
}

/* Returns whether a model engine serves the request. */
bool exchange_is_generation(const struct exchange *exchange)
{
	return exchange->service && exchange->service->engine.slots > 0;
}

static void exchange_drop_legs(struct exchange *exchange)
{
	exchange_move_clear(exchange);
	handover_clear(&exchange->handover);
	leg_destroy(g_steal_pointer(&exchange->next));
	leg_destroy(g_steal_pointer(&exchange->leg));
	relay_destroy(g_steal_pointer(&exchange->relay));
}

/* Frees an exchange without an answer to its caller. */
void exchange_destroy(gpointer data)
{
	struct exchange *exchange = data;

	exchange_stop_waiting(exchange);
	exchange_cancel_home_request(exchange, &exchange->home_request);
	exchange_cancel_home_request(exchange, &exchange->move.home_request);
	g_free(exchange->asked_home);
	g_free(exchange->home_backup_id);
	exchange_drop_legs(exchange);
	http_head_destroy(exchange->head);
	g_byte_array_unref(exchange->body);
	memory_grant_destroy(exchange->grant, exchange->gateway->now_us);
	exchange_clear_body(exchange);
	g_byte_array_unref(exchange->answer_body);
	if (exchange->answer_head)
		g_string_free(exchange->answer_head, TRUE);
	g_ptr_array_unref(exchange->avoided_ids);
	g_ptr_array_unref(exchange->avoided_nodes);
	exchange->gateway->relayed_count -= exchange->is_relayed;
	route_table_unref(exchange->table);
	g_free(exchange);
}

static int64_t first_event_ms(const struct exchange *exchange)
{
	if (!exchange->first_event_us)
		return -1;
	return (exchange->first_event_us - exchange->begun_us) / 1000;
}

static void exchange_log_end(const struct exchange *exchange,
			     const char *outcome, const char *reason)
{
	const int64_t values[] = {exchange->status,
				  exchange->sends,
				  exchange->take_overs,
				  exchange->event_count,
				  elapsed_ms(exchange, exchange->begun_us),
				  first_event_ms(exchange),
				  exchange->longest_pause_us / 1000};
	char numbers[G_N_ELEMENTS(values)][24];

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		g_snprintf(numbers[i], sizeof(numbers[i]), "%" G_GINT64_FORMAT,
			   values[i]);
	log_write(
		exchange->gateway->log, LOG_LEVEL_INFO, "request_end",
		"request",
		exchange->parsed_request.id ? exchange->parsed_request.id : "",
		"route", exchange->route ? exchange->route->name : "",
		"organisation",
		exchange->organisation ? exchange->organisation->name : "",
		"endpoint", exchange->leg ? exchange->leg->endpoint_id : "",
		"relayed_by",
		exchange->is_relayed ? exchange->parsed_request.relayed_by : "",
		"outcome", outcome, "reason", reason, "status", numbers[0],
		"sends", numbers[1], "take_overs", numbers[2], "events",
		numbers[3], "ms", numbers[4], "first_ms", numbers[5],
		"pause_ms", numbers[6], NULL);
}

/*
 * Logs the end of the request and frees the exchange; sends nothing to the
 * caller.
 */
void exchange_end(struct exchange *exchange, const char *outcome,
		  const char *reason)
{
	exchange_log_end(exchange, outcome, reason);
	g_hash_table_remove(exchange->gateway->exchanges, exchange);
}

/*
 * Answers the request with an error of this node and frees the exchange. The
 * statuses 503 and 408 promise that the request has not run and never will;
 * 502 and 504 leave that open. A negative retry_after_us omits Retry-After. An
 * answer that has begun is cut off instead.
 */
void exchange_refuse(struct exchange *exchange, int32_t status,
		     int64_t retry_after_us, const char *reason)
{
	struct caller *caller = exchange->caller;
	GString *fields;

	if (exchange->answer_begun) {
		exchange_abort(exchange, reason);
		return;
	}
	fields = g_string_new(NULL);
	exchange->status = status;
	if (exchange->parsed_request.id)
		g_string_append_printf(fields, "%s: %s\r\n",
				       exchange->gateway->dialect->id_field,
				       exchange->parsed_request.id);
	if (retry_after_us >= 0)
		g_string_append_printf(fields, "Retry-After: %.2f\r\n",
				       (double)retry_after_us / G_USEC_PER_SEC);
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_REFUSED, 1);
	exchange_end(exchange, "refused", reason);
	caller_answer(caller, status, fields->str, "", 0);
	g_string_free(fields, TRUE);
}

/*
 * Aborts the answer and frees the exchange. An answer that has begun is cut
 * off, so that no caller mistakes it for a complete one; otherwise the request
 * is refused with 502.
 */
void exchange_abort(struct exchange *exchange, const char *reason)
{
	struct caller *caller = exchange->caller;

	if (!exchange->answer_begun) {
		exchange_refuse(exchange, 502, -1, reason);
		return;
	}
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_BROKEN, 1);
	exchange_end(exchange, "broken", reason);
	caller_abort(caller);
}

/*
 * The caller's connection ended, as detail says: closing the engine's
 * connection cancels the run.
 */
void exchange_caller_gone(struct exchange *exchange, const char *detail)
{
	counters_add(exchange->gateway->options.counters, COUNTER_GATEWAY_GONE,
		     1);
	exchange_end(exchange, "caller_gone", detail);
}

/* The caller's send buffer is empty: reads from the endpoint again. */
void exchange_resume_reading(struct exchange *exchange)
{
	struct attempt *attempt = exchange_attempt(exchange);

	if (attempt)
		attempt_set_reading(attempt, true);
}

/* Whether the request can wait in favour of others of its service. */
bool exchange_is_deferrable(const struct exchange *exchange)
{
	return route_table_is_deferrable(exchange->table, exchange->route);
}

/*
 * When the first event of a stream has to come, as its route says, counted from
 * the arrival at the first node.
 */
int64_t exchange_first_event_due_us(const struct exchange *exchange)
{
	int64_t begun_us = exchange->begun_us;

	if (exchange->is_relayed)
		begun_us -= exchange->parsed_request.relayed_age_us;
	return begun_us + exchange->route->first_answer_us;
}

/* Fills the criteria by which endpoint_choose selects for this request. */
void exchange_fill_criteria(const struct exchange *exchange,
			    struct endpoint_criteria *criteria)
{
	struct gateway *gateway = exchange->gateway;

	*criteria = (struct endpoint_criteria){
		.service = exchange->service_name,
		.engine = exchange->service ? &exchange->service->engine : NULL,
		.failure_domain = gateway->options.failure_domain,
		.avoid = exchange->avoided_ids,
		.tokens = exchange_held_tokens(exchange),
		.regions = {.map = gateway->region_map,
			    .route = exchange->route->regions,
			    .organisation =
				    exchange->organisation
					    ? exchange->organisation->regions
					    : NULL},
		.now_us = gateway->now_us,
		.draw = g_rand_double(gateway->random),
	};
	criteria->gives_way =
		route_table_gives_way(exchange->table, exchange->service_name);
	if (exchange_is_deferrable(exchange)) {
		criteria->reserved_share =
			gateway_headroom_share(gateway, exchange->service_name);
		criteria->prompt_tokens =
			exchange->parsed_request.prompt_tokens;
		if (!exchange->answer_begun)
			criteria->begin_within_us =
				exchange_first_event_due_us(exchange) -
				gateway->now_us;
	}
	gateway_fill_rates(gateway, exchange->service_name, exchange->service,
			   &criteria->rates);
	gateway_speed_fill(gateway, criteria,
			   exchange_pause_bound_us(exchange));
}

static void exchange_log_placed(const struct exchange *exchange,
				const struct endpoint *endpoint)
{
	const struct held held = endpoint_total_load(endpoint);
	const int64_t values[] = {exchange->leg->tokens, held.requests,
				  held.copies, held.tokens, held.unread_tokens};
	char numbers[G_N_ELEMENTS(values)][24];

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		g_snprintf(numbers[i], sizeof(numbers[i]), "%" G_GINT64_FORMAT,
			   values[i]);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "request_placed",
		  "request", exchange->parsed_request.id, "endpoint",
		  exchange->leg->endpoint_id, "backup",
		  exchange->leg->backup_id ? exchange->leg->backup_id : "",
		  "tokens", numbers[0], "held_requests", numbers[1],
		  "held_copies", numbers[2], "held_tokens", numbers[3],
		  "unread_tokens", numbers[4], NULL);
}

static void exchange_send(struct exchange *exchange, struct endpoint *endpoint)
{
	struct error error;

	exchange->leg = leg_create(exchange, endpoint, NULL);
	exchange_begin_run(exchange);
	if (exchange_is_generation(exchange))
		exchange_log_placed(exchange, endpoint);
	if (!leg_send(exchange->leg, NULL, NULL, &error))
		exchange_fail_leg(exchange, RESULT_NOT_SENT, error.detail);
}

/* Why no endpoint may get the request, for logs. */
static const char *exchange_missing_reason(const struct exchange *exchange)
{
	struct registry *registry = exchange->gateway->registry;

	if (registry_count_usable(registry, exchange->service_name) > 0)
		return "no_endpoint_in_its_regions";
	if (registry_has_cordoned(registry, exchange->service_name))
		return "cordoned";
	return "no_endpoint";
}

/*
 * Whether all endpoints that may get the request want rest from this node. Sets
 * wait_us to the time until the first rest ends.
 */
bool exchange_is_resting(const struct exchange *exchange, int64_t *wait_us)
{
	struct endpoint_criteria criteria;

	exchange_fill_criteria(exchange, &criteria);
	return endpoint_choice_is_resting(exchange->gateway->registry,
					  &criteria, wait_us);
}

/*
 * Returns how long the caller of a request that an endpoint turned away should
 * wait: until one of the service may be asked again.
 */
int64_t exchange_retry_after_us(const struct exchange *exchange)
{
	int64_t wait_us;

	return exchange_is_resting(exchange, &wait_us)
		       ? retry_after_resting_us(
				 wait_us,
				 g_rand_double(exchange->gateway->random))
		       : RETRY_SOON_US;
}

/*
 * Lets a request wait that no endpoint can take now, or refuses it; it has not
 * run.
 */
static void exchange_refuse_full(struct exchange *exchange,
				 const struct endpoint_criteria *criteria)
{
	struct gateway *gateway = exchange->gateway;
	double draw = g_rand_double(gateway->random);
	int64_t wait_us;

	if (!endpoint_choice_exists(gateway->registry, criteria))
		exchange_refuse(exchange, 503, RETRY_LATER_US,
				exchange_missing_reason(exchange));
	else if (endpoint_choice_is_resting(gateway->registry, criteria,
					    &wait_us))
		exchange_refuse(exchange, 503,
				retry_after_resting_us(wait_us, draw),
				"resting");
	else if (endpoint_choice_is_limited(gateway->registry, criteria,
					    &wait_us))
		exchange_refuse(exchange, 503,
				retry_after_limited_us(wait_us, draw),
				"endpoint_limit");
	else if (!exchange_wait(exchange))
		exchange_refuse(exchange, 503,
				retry_after_full_us(
					exchange->route->first_answer_us, draw),
				"no_room");
}

/* Whether the request may be sent to an endpoint, as far as quarantine goes. */
bool exchange_is_admitted(struct exchange *exchange)
{
	if (exchange->admission.is_trial && exchange->sends == 0)
		return true;
	return gateway_losses_admit(exchange->gateway, &exchange->suspects,
				    &exchange->admission);
}

/* Why a request is refused, for logs. */
static const char *const held_reasons[SUSPECT_KIND_COUNT] = {
	[SUSPECT_REQUEST] = "quarantined",
	[SUSPECT_PART] = "part_quarantined",
};

/*
 * Refuses a request under which, or under a part of which, endpoints ended
 * before. The answer says when it may be tried again, and promises that it has
 * not run only if that is so.
 */
static void exchange_refuse_held(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	uint64_t key = exchange->admission.key;
	const char *reason = held_reasons[suspect_key_kind(key)];
	int64_t until_us =
		quarantine_until_us(gateway->quarantine, key, gateway->now_us);

	counters_add(gateway->options.counters, COUNTER_QUARANTINED, 1);
	if (exchange->runs > 0)
		exchange_refuse(exchange, 502, -1, reason);
	else
		exchange_refuse(exchange, 503,
				until_us ? until_us - gateway->now_us
					 : RETRY_LATER_US,
				reason);
}

/* The longest answer that the request allows, in tokens; 0: no generation. */
static int64_t stated_tokens(const struct exchange *exchange)
{
	return MAX(exchange->parsed_request.max_tokens,
		   exchange->expected_tokens);
}

/* How long the answer may take, by others of its service; 0: not known. */
static int64_t exchange_forecast_us(const struct exchange *exchange)
{
	const struct answer_forecast *forecast = g_hash_table_lookup(
		exchange->gateway->answers, exchange->service_name);

	return forecast ? answer_forecast_us(forecast, stated_tokens(exchange))
			: 0;
}

/*
 * Whether an answer that is whole tells how long others take: an error and the
 * rest of a stream, after an event that its caller has, are shorter.
 */
static bool has_full_times(const struct exchange *exchange)
{
	bool is_rest = exchange->route->is_resumable &&
		       exchange->parsed_request.last_event >= 0;

	return exchange->status / 100 == 2 && !is_rest;
}

/* Notes the times of an answer that is whole. */
void exchange_note_times(const struct exchange *exchange)
{
	const struct gateway *gateway = exchange->gateway;
	int64_t begun_us = exchange->first_event_us ? exchange->first_event_us
						    : gateway->now_us;
	const struct answer_times times = {
		.begin_us = begun_us - exchange->begun_us,
		.rest_us = gateway->now_us - begun_us,
		.made = exchange_is_generation(exchange)
				? exchange->event_count *
					  exchange->service->engine
						  .tokens_per_event
				: 0,
		.stated = stated_tokens(exchange),
	};
	struct answer_forecast *forecast =
		g_hash_table_lookup(gateway->answers, exchange->service_name);

	if (!has_full_times(exchange))
		return;
	if (!forecast) {
		forecast = g_new0(struct answer_forecast, 1);
		g_hash_table_insert(gateway->answers,
				    g_strdup(exchange->service_name), forecast);
	}
	answer_forecast_add(forecast, &times);
}

/* Whether a request can end before this node does, if it is draining. */
static bool exchange_may_begin(const struct exchange *exchange)
{
	const struct gateway *gateway = exchange->gateway;

	return !gateway->drain_since_us ||
	       drain_allows_request(exchange->route->kind,
				    exchange_forecast_us(exchange),
				    gateway->now_us - gateway->drain_since_us,
				    gateway->drain_length_us);
}

/* Sends the request to the endpoint; refuses it if the endpoint is NULL. */
void exchange_send_or_refuse(struct exchange *exchange,
			     struct endpoint *endpoint)
{
	struct endpoint_criteria criteria;

	if (!exchange_is_admitted(exchange)) {
		exchange_refuse_held(exchange);
		return;
	}
	if (exchange->runs == 0 && !exchange_may_begin(exchange)) {
		exchange_refuse(exchange, 503, RETRY_SOON_US, "draining");
		return;
	}
	if (endpoint) {
		exchange_send(exchange, endpoint);
		return;
	}
	if (exchange->runs > 0) {
		exchange_refuse(exchange, 502, -1, "no_other_endpoint");
		return;
	}
	exchange_fill_criteria(exchange, &criteria);
	exchange_refuse_full(exchange, &criteria);
}

/* Sends the request to the endpoint that this node selects itself. */
void exchange_send_local_choice(struct exchange *exchange)
{
	struct endpoint_criteria criteria;

	exchange_fill_criteria(exchange, &criteria);
	exchange_send_or_refuse(
		exchange,
		endpoint_choose(exchange->gateway->registry, &criteria));
}

/*
 * If only endpoints are left whose limits this node has used up its share of,
 * asks the node that may grant one. Returns false if there is nothing to ask.
 */
bool exchange_asks_other_home(struct exchange *exchange)
{
	struct endpoint_criteria criteria;
	int64_t wait_us;

	exchange_fill_criteria(exchange, &criteria);
	return endpoint_choice_is_limited(exchange->gateway->registry,
					  &criteria, &wait_us) &&
	       exchange_request_limited(exchange);
}

/*
 * Sends the request to the endpoint that this node selects itself, or that
 * another node grants if only limited ones are left.
 */
void exchange_send_here(struct exchange *exchange)
{
	struct endpoint_criteria criteria;
	struct endpoint *endpoint;

	exchange_fill_criteria(exchange, &criteria);
	endpoint = endpoint_choose(exchange->gateway->registry, &criteria);
	if (endpoint || !exchange_asks_other_home(exchange))
		exchange_send_or_refuse(exchange, endpoint);
}

/*
 * Sends the request to an endpoint that the home or this node selects, or to
 * another node if this one reaches no endpoint of the service.
 */
void exchange_send_new(struct exchange *exchange)
{
	if (exchange_relay(exchange) || exchange_request_home(exchange))
		return;
	gateway_waiting_grant(exchange->gateway, exchange->service_name);
	exchange_send_here(exchange);
}

/* Finds the caller's organisation. Returns false if the request was refused. */
static bool exchange_authorise(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (exchange->parsed_request.key)
		exchange->organisation = route_table_find_organisation(
			exchange->table, exchange->parsed_request.key);
	if (exchange->organisation || exchange->route->is_public ||
	    !route_table_requires_keys(exchange->table))
		return true;
	if (gateway_is_current(gateway))
		exchange_refuse(exchange, 401, -1, "unknown_key");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "stale");
	return false;
}

/*
 * Finds the route and authorises the caller. A node that may have missed a
 * change answers 503 instead of 404 or 401, after which the caller would not
 * retry. Returns false if the request was refused.
 */
/* The node that passes a request on may have begun some of its runs. */
static int32_t exchange_max_attempts(const struct exchange *exchange)
{
	int32_t allowed = exchange->route->max_attempts;
	int32_t relayed = exchange->parsed_request.relayed_attempts;

	return exchange->is_relayed && relayed > 0 ? MIN(relayed, allowed)
						   : allowed;
}

static bool exchange_find_route(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (!gateway->table || !gateway_knows_cordons(gateway)) {
		exchange_refuse(exchange, 503, RETRY_LATER_US,
				gateway->table ? "cordons_unknown"
					       : "no_configuration");
		return false;
	}
	exchange->table = route_table_ref(gateway->table);
	exchange->route =
		route_table_find(exchange->table, exchange->parsed_request.host,
				 exchange->head->target);
	if (exchange->route) {
		exchange->max_attempts = exchange_max_attempts(exchange);
		return exchange_authorise(exchange);
	}
	if (gateway_is_current(gateway))
		exchange_refuse(exchange, 404, -1, "no_route");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "stale");
	return false;
}

static int64_t exchange_estimate_tokens(const struct exchange *exchange)
{
	const struct caller_request *request = &exchange->parsed_request;
	int64_t expected = request->expected_tokens;

	if (!exchange_is_generation(exchange))
		return 0;
	if (expected == 0)
		expected = (int64_t)(DEFAULT_LENGTH_SHARE *
				     (double)request->max_tokens);
	if (request->max_tokens > 0)
		expected = MIN(expected, request->max_tokens);
	return MAX(expected, 1);
}

static void exchange_set_deadline(struct exchange *exchange)
{
	int64_t patience_us = exchange->route->timeout_us;

	if (exchange->parsed_request.patience_us > 0)
		patience_us =
			MIN(patience_us, exchange->parsed_request.patience_us);
	exchange->deadline_us = exchange->begun_us + patience_us;
}

/*
 * Identifies a request by organisation, path and body, independent of its id,
 * so that a repeated request is recognised.
 */
static uint64_t exchange_fingerprint(const struct exchange *exchange)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[32];
	gsize size = sizeof(digest);
	uint64_t fingerprint;

	if (exchange->organisation)
		g_checksum_update(checksum,
				  (const guchar *)exchange->organisation->name,
				  -1);
	g_checksum_update(checksum, (const guchar *)exchange->head->target, -1);
	g_checksum_update(checksum, exchange->body->data,
			  (gssize)exchange->body->len);
	g_checksum_get_digest(checksum, digest, &size);
	g_checksum_free(checksum);
	memcpy(&fingerprint, digest, sizeof(fingerprint));
	return fingerprint;
}

/*
 * Notes after which event the caller goes on with a resumable stream. Returns
 * false if the request was refused: without a valid number the caller would get
 * events that it has.
 */
static bool exchange_read_last_event(struct exchange *exchange)
{
	const struct caller_request *request = &exchange->parsed_request;

	if (!exchange->route->is_resumable)
		return true;
	if (request->last_event_is_bad) {
		exchange_refuse(exchange, 400, -1, "bad_last_event");
		return false;
	}
	exchange->last_event = request->last_event;
	return true;
}

static bool exchange_plan(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	exchange->service_name = route_pick_service(
		exchange->route, g_rand_double(gateway->random));
	if (!exchange->service_name) {
		exchange_refuse(exchange, 503, RETRY_LATER_US, "no_service");
		return false;
	}
	exchange->service = route_table_find_service(exchange->table,
						     exchange->service_name);
	exchange->expected_tokens = exchange_estimate_tokens(exchange);
	if (!exchange_may_begin(exchange)) {
		exchange_refuse(exchange, 503, RETRY_SOON_US, "draining");
		return false;
	}
	exchange_set_deadline(exchange);
	exchange->fingerprint = exchange_fingerprint(exchange);
	suspect_list_init(&exchange->suspects, exchange->fingerprint,
			  &exchange->parsed_request.parts);
	if (exchange_is_admitted(exchange))
		return true;
	exchange_refuse_held(exchange);
	return false;
}

/*
 * Notes a request that another node passes on. Returns false if it was refused
 * because there are too many of them.
 */
static bool exchange_take_relayed(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	const char *node = exchange->parsed_request.relayed_by;

	if (!node ||
	    !membership_find(gateway->host.members(gateway->host.data), node))
		return true;
	exchange->is_relayed = true;
	if (gateway->relayed_count++ < MAX_RELAYED)
		return true;
	exchange_refuse(exchange, 503, RETRY_SOON_US, "too_many_relayed");
	return false;
}

/* Logs a list of prompt parts that can't be read whole, now and then. */
static void exchange_check_parts(const struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (!exchange->parsed_request.parts.is_incomplete ||
	    gateway->now_us < gateway->parts_silent_until_us)
		return;
	gateway->parts_silent_until_us = gateway->now_us + PARTS_LOG_PAUSE_US;
	log_write(gateway->log, LOG_LEVEL_INFO, "parts_incomplete", "request",
		  exchange->parsed_request.id, NULL);
}

/*
 * Starts to serve a caller's request; the exchange takes ownership of head and
 * body. The exchange may already be over and freed on return.
 */
void exchange_begin(struct gateway *gateway, struct caller *caller,
		    struct http_head *head, GByteArray *body)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	struct error error;

	exchange->gateway = gateway;
	exchange->caller = caller;
	exchange->head = head;
	exchange->body = body;
	exchange->grant = caller_take_grant(caller);
	exchange->begun_us = gateway->now_us;
	exchange->last_event = -1;
	exchange->avoided_ids = g_ptr_array_new_with_free_func(g_free);
	exchange->avoided_nodes = g_ptr_array_new_with_free_func(g_free);
	exchange->answer_body = g_byte_array_new();
	g_hash_table_add(gateway->exchanges, exchange);
	caller_attach_request(caller, exchange);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_REQUESTS, 1);
	if (!gateway->dialect->read_request(head, &exchange->parsed_request,
					    &error)) {
		exchange_refuse(exchange, 400, -1, error.detail);
		return;
	}
	if (caller_is_excess(caller)) {
		exchange_refuse(exchange, 503, RETRY_SOON_US,
				"too_many_connections");
		return;
	}
	exchange_check_parts(exchange);
	if (!exchange_take_relayed(exchange) ||
	    !exchange_find_route(exchange) ||
	    !exchange_read_last_event(exchange) || !exchange_plan(exchange))
		return;
	/* The node that passes a request on has counted it. */
	if (!exchange->is_relayed)
		retry_window_count_request(
			gateway_budget(gateway, exchange->service_name));
	exchange_send_new(exchange);
}
