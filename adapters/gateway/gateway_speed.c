#include "adapters/gateway/exchange_state.h"

#include <string.h>

/*
 * How fast endpoints are, by the answers that this node gets and by what their
 * heads state. It counts in the choice only at services whose endpoints have
 * lately stated their slowdown.
 */

/* Fewer gaps say more about the network than about the engine. */
#define LEAST_GAPS 2

/* An answer of so few events has one gap, and needs no fast engine. */
#define SHORT_ANSWER_EVENTS 2

/* Tokens that a generation holds beside its prompt, however short it is. */
#define SHORT_HELD_TOKENS 128

#define STATUS_REDIRECTION 300
#define STEP_INTERVAL_US (500 * 1000)

/* Keeps a record within one packet. */
#define SPEEDS_PER_RECORD 40

#define MAX_NUMBER_TEXT 24

static struct service_speed *find_service(const struct gateway *gateway,
					  const char *name)
{
	return g_hash_table_lookup(gateway->speeds, name);
}

static struct service_speed *ensure_service(struct gateway *gateway,
					    const char *name)
{
	struct service_speed *speed = find_service(gateway, name);

	if (speed)
		return speed;
	speed = g_new0(struct service_speed, 1);
	g_hash_table_insert(gateway->speeds, g_strdup(name), speed);
	return speed;
}

/* Logs figures without a meaning once for each start of an endpoint. */
static void note_unreadable(const struct gateway *gateway,
			    struct endpoint *endpoint,
			    const struct answered_load *load)
{
	if (load->statement != LOAD_UNREADABLE || endpoint->load_was_unreadable)
		return;
	endpoint->load_was_unreadable = true;
	log_write(gateway->log, LOG_LEVEL_WARN, "endpoint_load_unreadable",
		  "endpoint", endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, NULL);
}

/*
 * Notes the load that an answer states. known_us is when the start that was
 * asked was first seen: another one may be as fast as any.
 */
void gateway_speed_note_answer(struct gateway *gateway,
			       struct endpoint *endpoint,
			       const struct answered_load *load,
			       int64_t known_us)
{
	const char *service = endpoint->last_registration->service;

	if (endpoint->known_us != known_us)
		return;
	note_unreadable(gateway, endpoint, load);
	if (load->statement == LOAD_STATED)
		endpoint_speed_note_load(&endpoint->speed,
					 ensure_service(gateway, service), load,
					 gateway->now_us);
}

/*
 * Returns the endpoint of a leg if its answer may say how fast it is, or NULL.
 * One that has just started is slow for a while, and one that started again is
 * not the one that was asked.
 */
static struct endpoint *observable_endpoint(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	const struct gateway *gateway = exchange->gateway;
	struct endpoint *endpoint = leg_endpoint(leg);
	int64_t cold_us = exchange->service ? exchange->service->warmup_us : 0;

	if (!endpoint || endpoint->known_us != leg->known_us ||
	    endpoint_is_cold(endpoint, cold_us, gateway->now_us))
		return NULL;
	return endpoint;
}

static void observe(struct gateway *gateway, struct endpoint *endpoint,
		    double time_us, int32_t requests)
{
	const struct speed_observation observation = {
		.time_us = time_us,
		.requests = endpoint_speed_requests(&endpoint->speed, requests,
						    gateway->now_us),
		.now_us = gateway->now_us,
	};

	endpoint_speed_observe(
		&endpoint->speed,
		find_service(gateway, endpoint->last_registration->service),
		&observation);
}

static bool is_in_use(const struct gateway *gateway, const char *service)
{
	return service_speed_is_in_use(find_service(gateway, service),
				       gateway->now_us);
}

/* Notes the gap before an event that arrives while the engine reads a prompt.
 */
static void note_reading(struct leg *leg, const struct endpoint *endpoint)
{
	const struct exchange *exchange = leg->exchange;
	const struct gateway *gateway = exchange->gateway;
	double gap_us = (double)(gateway->now_us - leg->gaps.last_us);
	double tokens = MAX(exchange->service->engine.tokens_per_event, 1);

	if (!leg->gaps.last_us)
		return;
	service_speed_add_reading(
		find_service(gateway, exchange->service_name),
		gap_us / tokens /
			endpoint_speed_ratio(&endpoint->speed,
					     gateway->now_us));
}

/*
 * Notes an event of a generation. Gaps while the engine reads a prompt are no
 * evidence of its speed: its steps are longer then, at any speed.
 */
void gateway_speed_note_event(struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct gateway *gateway = exchange->gateway;
	struct gap_window *gaps = &leg->gaps;
	struct endpoint *endpoint;
	double tokens;

	if (gaps->is_void || !exchange_is_generation(exchange) ||
	    !is_in_use(gateway, exchange->service_name))
		return;
	endpoint = observable_endpoint(leg);
	if (!endpoint || leg->status >= STATUS_REDIRECTION) {
		*gaps = (struct gap_window){0};
		return;
	}
	if (endpoint_has_unread_prompts(endpoint)) {
		note_reading(leg, endpoint);
		*gaps = (struct gap_window){.last_us = gateway->now_us};
		return;
	}
	gaps->last_us = gateway->now_us;
	if (!gaps->since_us) {
		gaps->since_us = gateway->now_us;
		return;
	}
	/* Events that arrive together take no time so far. */
	if (++gaps->count < LEAST_GAPS || gaps->since_us == gateway->now_us)
		return;
	tokens = (double)gaps->count *
		 MAX(exchange->service->engine.tokens_per_event, 1);
	observe(gateway, endpoint,
		(double)(gateway->now_us - gaps->since_us) / tokens,
		endpoint_total_load(endpoint).requests);
	*gaps = (struct gap_window){.since_us = gateway->now_us,
				    .last_us = gateway->now_us};
}

/*
 * Ends the observation of a leg that this node stopped reading, as its caller
 * reads slowly: events then arrive together, at no speed of the engine.
 */
void gateway_speed_note_held(struct leg *leg)
{
	if (leg)
		leg->gaps.is_void = true;
}

/*
 * Notes a complete answer of a plain endpoint. One that is forwarded in parts
 * takes as long as its caller reads.
 */
void gateway_speed_note_complete(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	struct gateway *gateway = exchange->gateway;
	struct endpoint *endpoint;

	if (leg->events || leg->gaps.is_void || exchange->answer_begun ||
	    exchange_is_generation(exchange) ||
	    leg->status >= STATUS_REDIRECTION ||
	    !exchange->said.is_from_endpoint ||
	    !is_in_use(gateway, exchange->service_name))
		return;
	gateway->now_us = gateway_now_us();
	endpoint = observable_endpoint(leg);
	if (endpoint)
		observe(gateway, endpoint,
			(double)(gateway->now_us -
				 MAX(leg->sent_us,
				     attempt_connected_us(leg->attempt))),
			endpoint_total_load(endpoint).requests);
}

/* Fills in what the choice weighs of speed, if it weighs any. */
void gateway_speed_fill(const struct gateway *gateway,
			struct endpoint_criteria *criteria,
			int64_t longest_pause_us)
{
	if (!is_in_use(gateway, criteria->service))
		return;
	criteria->speed = find_service(gateway, criteria->service);
	criteria->longest_pause_us = longest_pause_us;
}

/* Returns the pause that a request's events may make at most; 0: any. */
int64_t exchange_pause_bound_us(const struct exchange *exchange)
{
	if (!exchange_is_generation(exchange) ||
	    exchange->expected_tokens <=
		    (int64_t)SHORT_ANSWER_EVENTS *
			    exchange->service->engine.tokens_per_event)
		return 0;
	return exchange->route->longest_pause_us;
}

/* The same of a request that another node asks an engine for. */
int64_t gateway_speed_pause_bound_us(const struct gateway *gateway,
				     const struct peer_choose *choose)
{
	if (!gateway->table ||
	    choose->tokens - choose->prompt_tokens <= SHORT_HELD_TOKENS)
		return 0;
	return route_table_longest_pause_us(gateway->table, choose->service);
}

static void log_speed(const struct gateway *gateway,
		      const struct endpoint *endpoint)
{
	const struct endpoint_speed *speed = &endpoint->speed;
	char percent[MAX_NUMBER_TEXT], evidence[MAX_NUMBER_TEXT];

	g_snprintf(percent, sizeof(percent), "%.0f",
		   100 * endpoint_speed_ratio(speed, gateway->now_us));
	g_snprintf(evidence, sizeof(evidence), "%d",
		   endpoint_speed_evidence(speed, gateway->now_us));
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_speed", "endpoint",
		  endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "state",
		  speed->is_away ? "away" : "usual", "time_percent", percent,
		  "observations", evidence, NULL);
}

/*
 * Returns the endpoint that the record is of, or NULL. A record of another
 * start than the one that is known says nothing of this one.
 */
static struct endpoint *find_reported(const struct gateway *gateway,
				      const struct peer_endpoint_speed *record)
{
	struct endpoint *endpoint =
		registry_find_key(gateway->registry, record->endpoint_key);

	return endpoint && endpoint->last_registration->started_ms ==
				       record->started_ms
		       ? endpoint
		       : NULL;
}

static struct speed_report read_report(const struct gateway *gateway,
				       const struct peer_endpoint_speed *record)
{
	return (struct speed_report){
		.time_us = (double)record->time_us,
		.evidence = record->evidence,
		.observed_us = gateway->now_us - record->age_us,
	};
}

static void add_reports(struct gateway *gateway, const GArray *speeds)
{
	for (guint i = 0; i < speeds->len; i++) {
		const struct peer_endpoint_speed *record =
			&g_array_index(speeds, struct peer_endpoint_speed, i);
		const struct speed_report report = read_report(gateway, record);
		struct endpoint *endpoint = find_reported(gateway, record);
		struct service_speed *service;

		if (!endpoint)
			continue;
		service = ensure_service(gateway,
					 endpoint->last_registration->service);
		service->told_us = gateway->now_us;
		endpoint_speed_add_report(&endpoint->speed, service, &report,
					  gateway->now_us);
	}
}

/* Applies what other nodes observed of endpoints. */
void gateway_speed_receive(struct gateway *gateway,
			   const struct peer_message *message)
{
	const GArray *speeds = message->endpoint_speeds.speeds;

	add_reports(gateway, speeds);
	for (guint i = 0; i < speeds->len; i++) {
		const struct peer_endpoint_speed *record =
			&g_array_index(speeds, struct peer_endpoint_speed, i);
		const struct speed_report report = read_report(gateway, record);
		struct endpoint *endpoint = find_reported(gateway, record);

		if (endpoint)
			endpoint_speed_merge(
				&endpoint->speed,
				find_service(
					gateway,
					endpoint->last_registration->service),
				&report, gateway->now_us);
	}
}

/* Adds news of a service's endpoints to the list. */
static void add_news(const struct gateway *gateway, const char *service,
		     bool with_shared, GArray *speeds)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len && speeds->len < SPEEDS_PER_RECORD;
	     i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);
		const struct registration *entry = endpoint->last_registration;
		struct peer_endpoint_speed record;
		struct speed_report report;

		if (strcmp(entry->service, service) != 0 ||
		    !endpoint_speed_take_news(
			    &endpoint->speed, find_service(gateway, service),
			    with_shared, &report, gateway->now_us))
			continue;
		record = (struct peer_endpoint_speed){
			.endpoint_key = endpoint->key,
			.started_ms = entry->started_ms,
			.time_us = (int64_t)report.time_us,
			.evidence = report.evidence,
			.age_us = gateway->now_us - report.observed_us,
		};
		g_array_append_val(speeds, record);
	}
}

static bool is_plain(const struct gateway *gateway, const char *name)
{
	const struct config_service *service =
		gateway->table ? route_table_find_service(gateway->table, name)
			       : NULL;

	return !service || service->engine.slots == 0;
}

/*
 * Sends news to the service's home. What only another node said is not passed
 * back: nodes would keep each other sending it. The home of a plain service
 * passes what all nodes observed on to all of them, as each chooses for itself.
 */
static void send_news(struct gateway *gateway, const char *service)
{
	const struct member *home = gateway_find_home(gateway, service);
	bool is_known =
		home ? service_speed_is_stated(find_service(gateway, service),
					       gateway->now_us)
		     : is_in_use(gateway, service) &&
				is_plain(gateway, service);
	struct peer_message *message;

	if (!is_known || (int64_t)gateway_node_count(gateway) <
				 gateway->options.home_from_nodes)
		return;
	message =
		gateway->host.message(gateway->host.data, PEER_ENDPOINT_SPEEDS);
	add_news(gateway, service, !home, message->endpoint_speeds.speeds);
	if (message->endpoint_speeds.speeds->len == 0)
		peer_message_destroy(message);
	else if (home)
		gateway_send(gateway, home->peer_address, message);
	else
		gateway_send_to_all(gateway, message);
}

static void log_changes(const struct gateway *gateway)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (endpoint_speed_update_away(&endpoint->speed,
					       gateway->now_us))
			log_speed(gateway, endpoint);
	}
}

/* Sends news of speeds, and logs what left the usual speed or returned. */
void gateway_speed_step(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer service;

	if (g_hash_table_size(gateway->speeds) == 0 ||
	    gateway->now_us - gateway->speeds_stepped_us < STEP_INTERVAL_US)
		return;
	gateway->speeds_stepped_us = gateway->now_us;
	log_changes(gateway);
	g_hash_table_iter_init(&iter, gateway->speeds);
	while (g_hash_table_iter_next(&iter, &service, NULL))
		send_news(gateway, service);
}
