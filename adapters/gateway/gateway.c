#include "adapters/gateway/gateway.h"

#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/listener.h"
#include "adapters/gateway/tcp_stream.h"
#include "core/gateway/drain.h"
#include "core/limit/rate_fleet.h"
#include "core/limit/recent_starts.h"

#include <time.h>

/* Resolution of timeouts; a wake-up costs about 10 us of processor time. */
#define TICK_MS 25

/* A tick that is later than this means that the process was paused. */
#define PAUSE_MIN_US (250 * 1000)

#define MAX_STATUS_CALLERS 512

/*
 * Time in microseconds, independent of the time of day and counting while the
 * machine is suspended. CLOCK_MONOTONIC stops during a suspension, so that the
 * state of engines that left meanwhile would still look recent after it.
 */
int64_t gateway_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Version of the configuration in force; -1 before the first one. */
int64_t gateway_table_version(const struct gateway *gateway)
{
	return gateway->table ? route_table_version(gateway->table) : -1;
}

/* Whether callers should send requests to this node. */
bool gateway_accepts_requests(const struct gateway *gateway)
{
	return gateway->table && !gateway->drain_since_us &&
	       gateway_knows_cordons(gateway) &&
	       registry_has_usable(gateway->registry);
}

/*
 * Whether this node has the newest configuration: the store is reached and no
 * node has announced a newer version.
 */
bool gateway_is_current(const struct gateway *gateway)
{
	return gateway->store_is_reached &&
	       gateway_table_version(gateway) >= gateway->newest_version;
}

/* This node's retry budget for a service; owned by the gateway. */
struct retry_window *gateway_budget(struct gateway *gateway,
				    const char *service)
{
	return shared_budgets_get(gateway->budgets, service);
}

static struct memory_grant *on_grant(void *data, const struct http_head *head,
				     size_t bytes)
{
	struct gateway *gateway = data;

	gateway->now_us = gateway_now_us();
	return gateway_grant_memory(gateway, head, bytes);
}

static int32_t on_no_memory(void *data, const struct http_head *head,
			    size_t bytes, GString *fields)
{
	return gateway_refuse_memory(data, head, bytes, fields);
}

static void on_request(void *data, struct caller *caller,
		       struct http_head *head, GByteArray *body)
{
	struct gateway *gateway = data;

	gateway->now_us = gateway_now_us();
	exchange_begin(gateway, caller, head, body);
}

static void on_gone(void *data, void *request, const char *detail)
{
	(void)data;
	exchange_caller_gone(request, detail);
}

/* An answer that counts as whole was not read to its end. */
static void on_unread(void *data, size_t bytes, const char *detail)
{
	const struct gateway *gateway = data;
	char number[24];

	counters_add(gateway->options.counters, COUNTER_GATEWAY_UNREAD, 1);
	g_snprintf(number, sizeof(number), "%zu", bytes);
	log_write(gateway->log, LOG_LEVEL_INFO, "answer_unread", "bytes",
		  number, "reason", detail, NULL);
}

static void on_drained(void *data, void *request)
{
	(void)data;
	exchange_resume_reading(request);
}

static void answer_addresses(struct gateway *gateway, struct caller *caller,
			     const struct http_head *head)
{
	char *region = gateway->dialect->read_caller_region(head);
	GPtrArray *addresses = gateway_addresses(gateway, region);
	GBytes *body;
	gsize size;
	const char *text;

	g_free(region);
	if (addresses->len == 0) {
		caller_answer(caller, 503, NULL, "", 0);
		g_ptr_array_unref(addresses);
		return;
	}
	body = gateway->dialect->write_addresses(
		addresses, gateway->options.directory_ttl_us);
	text = g_bytes_get_data(body, &size);
	caller_answer(caller, 200, "Content-Type: application/json\r\n", text,
		      size);
	g_bytes_unref(body);
	g_ptr_array_unref(addresses);
}

/* Answers requests about the nodes: readiness and addresses. */
static void on_status_request(void *data, struct caller *caller,
			      struct http_head *head, GByteArray *body)
{
	struct gateway *gateway = data;

	gateway->now_us = gateway_now_us();
	if (gateway->dialect->is_ready_request(head))
		caller_answer(caller,
			      gateway_accepts_requests(gateway) ? 200 : 503,
			      NULL, "", 0);
	else if (gateway->dialect->is_address_request(head))
		answer_addresses(gateway, caller, head);
	else
		caller_answer(caller, 404, NULL, "", 0);
	http_head_destroy(head);
	g_byte_array_unref(body);
}

/* Calls step for each request; one may end others. */
static void gateway_each_exchange(struct gateway *gateway,
				  void (*step)(struct exchange *exchange))
{
	guint count;
	gpointer *exchanges =
		g_hash_table_get_keys_as_array(gateway->exchanges, &count);

	for (guint i = 0; i < count; i++) {
		if (g_hash_table_contains(gateway->exchanges, exchanges[i]))
			step(exchanges[i]);
	}
	g_free(exchanges);
}

static void log_drain(const struct gateway *gateway, const char *event)
{
	char requests[24], ms[24];

	g_snprintf(requests, sizeof(requests), "%u",
		   g_hash_table_size(gateway->exchanges));
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (gateway->now_us - gateway->drain_since_us) / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, event, "in_progress", requests,
		  "ms", ms, NULL);
}

/* Answers what is in progress; its callers learn that it ends here. */
static void gateway_answer_rest(struct gateway *gateway)
{
	if (g_hash_table_size(gateway->exchanges) > 0)
		log_drain(gateway, "drain_is_over");
	gateway_each_exchange(gateway, exchange_end_with_drain);
	caller_set_refuse_arriving(gateway->callers);
}

static void gateway_stop(struct gateway *gateway)
{
	int64_t end_us = gateway->drain_since_us + gateway->drain_length_us;

	gateway_answer_rest(gateway);
	gateway->is_stopped = true;
	gateway->host.stopped(gateway->host.data, end_us - gateway->now_us);
}

/*
 * Closes the listening sockets. Returns whether they were open: requests may
 * arrive on the connections that waited there.
 */
static bool gateway_stop_listening(struct gateway *gateway)
{
	bool was_open = false;

	for (size_t i = 0; i < G_N_ELEMENTS(gateway->listeners); i++) {
		was_open = was_open || gateway->listeners[i];
		listener_finish(g_steal_pointer(&gateway->listeners[i]));
	}
	return was_open;
}

/*
 * A request that is arriving keeps the process as one in progress does, or its
 * caller would get no answer. Idle connections are closed before they are
 * counted, so that the process doesn't end in the tick that closes them: their
 * callers have time to see it.
 */
static void gateway_step_drain(struct gateway *gateway)
{
	int64_t drained_us = gateway->now_us - gateway->drain_since_us;
	int64_t length_us = gateway->drain_length_us;
	enum drain_step step;

	if (!gateway->drain_since_us || gateway->is_stopped)
		return;
	/* While the gateway serves, nothing else matters. */
	if (drain_decide(drained_us, length_us, 0, 0) == DRAIN_SERVE)
		return;
	caller_set_close_idle(gateway->callers);
	step = drain_decide(drained_us, length_us,
			    caller_set_busy_count(gateway->callers) +
				    caller_set_arriving_count(gateway->callers),
			    tcp_stream_finishing_count());
	if (step == DRAIN_ANSWER_REST)
		gateway_answer_rest(gateway);
	if (step == DRAIN_CLOSE_IDLE || gateway_stop_listening(gateway))
		return;
	if (step == DRAIN_END)
		gateway_stop(gateway);
}

/*
 * After a pause of this process its engines look silent, although their data
 * waits in the sockets. Treating them as failed would abort healthy runs.
 */
static void gateway_excuse_pause(struct gateway *gateway, int64_t paused_us)
{
	GHashTableIter iter;
	gpointer exchange;

	gateway_limits_excuse_pause(gateway);
	g_hash_table_iter_init(&iter, gateway->exchanges);
	while (g_hash_table_iter_next(&iter, &exchange, NULL))
		exchange_excuse_pause(exchange, paused_us);
}

/* Engines offer a load report, endpoints of plain services don't. */
static bool endpoint_has_report(const struct gateway *gateway,
				const struct endpoint *endpoint)
{
	const struct config_service *service =
		gateway->table ? route_table_find_service(
					 gateway->table,
					 endpoint->last_registration->service)
			       : NULL;

	return service && service->kind == SERVICE_GENERATION;
}

/*
 * Polls the reports of endpoints that may be leaving without notice: those that
 * run requests or keep copies of this node while the store is unreachable, all
 * of them if this node chooses where runs move, and those whose removal is in
 * doubt, as they still get requests.
 */
static void gateway_step_reports(struct gateway *gateway)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	bool is_away = gateway_store_is_away(gateway);
	GPtrArray *asked = g_ptr_array_new();

	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);
		bool is_doubted = endpoint->presence == PRESENCE_DOUBTED;
		bool is_needed =
			is_away &&
			(endpoint->own.tokens > 0 ||
			 gateway_chooses_moves(
				 gateway,
				 endpoint->last_registration->service));

		if ((is_doubted || is_needed) &&
		    !endpoint_is_leaving(endpoint) &&
		    endpoint_has_report(gateway, endpoint))
			g_ptr_array_add(asked, endpoint);
	}
	report_poll_step(gateway->reports, asked, gateway->now_us);
	g_ptr_array_unref(asked);
}

/* Applies time limits, and lets each part do what is due. */
static gboolean on_step(gpointer data)
{
	struct gateway *gateway = data;

	gateway->step = 0;
	shared_budgets_step(gateway->budgets, gateway_node_count(gateway),
			    gateway->now_us);
	gateway_update_fleet(gateway);
	gateway_each_exchange(gateway, exchange_step);
	caller_set_step(gateway->callers, gateway->now_us);
	caller_set_step(gateway->status_callers, gateway->now_us);
	endpoint_pool_step(gateway->pool, gateway->now_us);
	gateway_step_registry(gateway);
	gateway_cordons_step(gateway);
	gateway_limits_step(gateway);
	gateway_ends_step(gateway);
	gateway_closes_step(gateway);
	gateway_reach_step(gateway);
	gateway_losses_step(gateway);
	gateway_step_reports(gateway);
	gateway_leaving_step(gateway);
	gateway_memory_step(gateway);
	gateway_headroom_step(gateway);
	gateway_speed_step(gateway);
	gateway_home_step(gateway);
	gateway_waiting_step(gateway);
	gateway_routes_step(gateway);
	gateway_peers_step(gateway);
	gateway_step_drain(gateway);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules a step behind all sockets that are readable now: its limits would
 * else be applied to peers whose bytes came in time and wait there. A new
 * source comes last among those of its priority, so that the step follows in
 * the next iteration of the loop, also when there is always something to read.
 */
static gboolean on_tick(gpointer data)
{
	struct gateway *gateway = data;
	int64_t paused_us = gateway_now_us() - gateway->tick_us;

	if (gateway->tick_us && paused_us > PAUSE_MIN_US)
		gateway_excuse_pause(gateway, paused_us);
	gateway->now_us = gateway_now_us();
	gateway->tick_us = gateway->now_us;
	caller_set_note_time(gateway->callers, gateway->now_us);
	caller_set_note_time(gateway->status_callers, gateway->now_us);
	if (!gateway->step)
		gateway->step = g_idle_add_full(G_PRIORITY_DEFAULT, on_step,
						gateway, NULL);
	return G_SOURCE_CONTINUE;
}

static bool gateway_listen(struct gateway *gateway, struct error *error)
{
	const struct gateway_options *options = &gateway->options;
	const struct {
		const char *address;
		struct caller_set *set;
	} wanted[] = {
		{options->address, gateway->callers},
		{options->ready_address, gateway->status_callers},
		{options->directory_address, gateway->status_callers},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++) {
		if (!*wanted[i].address)
			continue;
		gateway->listeners[i] = listener_create(wanted[i].address,
							wanted[i].set, error);
		if (!gateway->listeners[i])
			return false;
	}
	return true;
}

static void on_report_leaving(void *data, const char *endpoint_id)
{
	struct gateway *gateway = data;
	const struct endpoint *endpoint;

	if (!registry_mark_leaving(gateway->registry, endpoint_id,
				   gateway->now_us))
		return;
	gateway_log_endpoint(gateway, endpoint_id, "its report");
	endpoint = registry_find(gateway->registry, endpoint_id);
	if (endpoint->presence == PRESENCE_GONE ||
	    gateway_chooses_moves(gateway,
				  endpoint->last_registration->service))
		gateway_peers_announce_endpoint(gateway, endpoint_id);
}

/*
 * Creates a gateway that listens and runs timers on the thread's main loop.
 * Until the first configuration every request is refused with a Retry-After.
 * Returns NULL and sets the error if it can't listen on an address.
 */
struct gateway *gateway_create(const struct gateway_options *options,
			       const struct gateway_host *host,
			       struct error *error)
{
	struct gateway *gateway = g_new0(struct gateway, 1);
	const struct shared_budgets_options budgets = {
		.percent = (int32_t)options->retry_percent,
		.extra = options->retry_extra,
		.window_us = options->retry_window_us,
	};
	const struct caller_handler requests = {
		.grant = on_grant,
		.no_memory = on_no_memory,
		.request = on_request,
		.gone = on_gone,
		.unread = on_unread,
		.drained = on_drained,
		.data = gateway,
	};
	const struct caller_handler status_requests = {
		.request = on_status_request,
		.data = gateway,
	};
	const struct report_poll_options reports = {
		.dialect = options->dialect,
		.log = options->log,
		.counters = options->counters,
		.on_leaving = on_report_leaving,
		.data = gateway,
	};
	struct quarantine_options quarantine;

	quarantine_options_default(&quarantine);
	gateway->options = *options;
	gateway->host = *host;
	gateway->dialect = options->dialect;
	gateway->log = options->log;
	gateway->random = g_rand_new_with_seed((guint32)options->seed);
	/* Answers to requests of the process before may still arrive. */
	gateway->home_request_count = options->seed >> 1;
	gateway->now_us = gateway_now_us();
	gateway->store_watch.entries = true;
	gateway->newest_version = -1;
	announce_pace_init(&gateway->pace, gateway->now_us);
	gateway->registry = registry_create();
	gateway->region_map = region_map_create(options->domain_regions);
	gateway_losses_init(gateway, &quarantine);
	gateway_ends_init(gateway);
	gateway_closes_init(gateway);
	gateway_reach_init(gateway);
	gateway->pool = endpoint_pool_create();
	gateway->reports = report_poll_create(&reports);
	gateway_leaving_init(gateway);
	gateway_memory_init(gateway);
	gateway->callers =
		caller_set_create(&requests, (size_t)options->max_connections);
	gateway->status_callers =
		caller_set_create(&status_requests, MAX_STATUS_CALLERS);
	gateway->grants = engine_grants_create(gateway->registry);
	gateway->forecasts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->speeds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gateway->home_requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	gateway_waiting_init(gateway);
	gateway->exchanges =
		g_hash_table_new_full(NULL, NULL, exchange_destroy, NULL);
	gateway->budgets = shared_budgets_create(&budgets, gateway->now_us);
	gateway->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       gateway_peer_destroy);
	if (!gateway_listen(gateway, error)) {
		gateway_destroy(gateway);
		return NULL;
	}
	if (!tcp_tells_ages())
		log_write(gateway->log, LOG_LEVEL_WARN, "tcp_info_missing",
			  NULL);
	rate_peak_init(&gateway->fleet_peak, 1, RATE_PEAK_RETENTION_US,
		       gateway->now_us);
	gateway->recent_starts = recent_starts_create(gateway->now_us);
	gateway_update_fleet(gateway);
	gateway_limits_init(gateway);
	gateway->tick = g_timeout_add(TICK_MS, on_tick, gateway);
	return gateway;
}

/* Closes all connections at once and frees the gateway; NULL is allowed. */
void gateway_destroy(struct gateway *gateway)
{
	if (!gateway)
		return;
	if (gateway->tick)
		g_source_remove(gateway->tick);
	if (gateway->step)
		g_source_remove(gateway->step);
	for (size_t i = 0; i < G_N_ELEMENTS(gateway->listeners); i++)
		listener_destroy(gateway->listeners[i]);
	gateway_waiting_clear(gateway);
	g_hash_table_unref(gateway->exchanges);
	caller_set_destroy(gateway->callers);
	caller_set_destroy(gateway->status_callers);
	memory_budget_destroy(gateway->memory);
	endpoint_pool_destroy(gateway->pool);
	report_poll_destroy(gateway->reports);
	report_poll_destroy(gateway->statuses);
	shared_budgets_destroy(gateway->budgets);
	g_hash_table_unref(gateway->peers);
	gateway_ends_clear(gateway);
	gateway_closes_clear(gateway);
	g_hash_table_unref(gateway->reach);
	gateway_losses_clear(gateway);
	engine_grants_destroy(gateway->grants);
	g_hash_table_unref(gateway->forecasts);
	g_hash_table_unref(gateway->answers);
	g_hash_table_unref(gateway->speeds);
	g_hash_table_unref(gateway->home_requests);
	g_free(gateway->home_address);
	g_free(gateway->silent_home);
	recent_starts_destroy(gateway->recent_starts);
	registry_destroy(gateway->registry);
	region_map_destroy(gateway->region_map);
	route_table_unref(gateway->table);
	if (gateway->document)
		g_bytes_unref(gateway->document);
	g_rand_free(gateway->random);
	g_free(gateway);
}

/*
 * Applies changed settings. The retry limit is percent plus extra. A drain in
 * progress keeps its length: requests were accepted to end within it.
 */
void gateway_set_limits(struct gateway *gateway, int64_t drain_us,
			int64_t directory_ttl_us, int64_t retry_percent,
			int64_t retry_extra)
{
	gateway->options.drain_us = drain_us;
	gateway->options.directory_ttl_us = directory_ttl_us;
	gateway->options.retry_percent = retry_percent;
	gateway->options.retry_extra = retry_extra;
	shared_budgets_set_limits(gateway->budgets, (int32_t)retry_percent,
				  retry_extra);
}

/*
 * Applies a changed limit on the body of an answer; 0: none. An answer in
 * progress keeps the limit that its head was read under.
 */
void gateway_set_answer_limit(struct gateway *gateway, int64_t max_answer_bytes)
{
	gateway->options.max_answer_bytes = max_answer_bytes;
}

/*
 * Begins to stop. Callers are directed to other nodes; requests that still
 * arrive are served until shortly before the end, and streams that would
 * outlast it are refused.
 */
void gateway_drain(struct gateway *gateway)
{
	if (gateway->drain_since_us)
		return;
	gateway->now_us = gateway_now_us();
	gateway->drain_since_us = gateway->now_us;
	gateway->drain_length_us = gateway->options.drain_us;
	log_drain(gateway, "drain");
	caller_set_drain(gateway->callers);
	gateway_peers_announce_drain(gateway);
}
