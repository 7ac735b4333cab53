#include "daemons/node_loop_state.h"

#include "core/limit/quarantine_query.h"
#include "daemons/held_signals.h"
#include "daemons/version.h"

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/stat.h>

#define FLUSH_CHECK_MS 10
#define MAX_FLUSH_US 10000000 /* for callers to read their answers */
#define KILL_MARGIN_US 50000  /* to end before the process would be killed */
#define FILE_CHECK_S 2

static void apply_http(struct node_loop *loop, const struct action *action)
{
	http_server_apply(loop->http, action);
}

static void apply_endpoint(struct node_loop *loop, const struct action *action)
{
	endpoint_client_apply(loop->endpoints, action);
}

static void apply_peer(struct node_loop *loop, const struct action *action)
{
	peer_link_apply(loop->peers, action);
}

/* Drops the request without a key-value service; the node handles that. */
static void apply_kv(struct node_loop *loop, const struct action *action)
{
	if (loop->kv)
		kv_client_apply(loop->kv, action);
	else if (loop->store)
		store_calls_apply(loop->store, action);
}

static void apply_config(struct node_loop *loop, const struct action *action)
{
	if (loop->gateway)
		gateway_wiring_apply_config(loop->gateway, &action->config);
}

static void apply_order(struct node_loop *loop, const struct action *action)
{
	order_client_apply(loop->orders, action);
}

static void apply_log(struct node_loop *loop, const struct action *action)
{
	log_write_action(loop->log, &action->log);
}

static gboolean loop_check_flush(gpointer data)
{
	struct node_loop *loop = data;

	if (http_server_count_exchanges(loop->http) > 0 &&
	    g_get_monotonic_time() < loop->flush_until_us)
		return G_SOURCE_CONTINUE;
	loop->flush_source = 0;
	g_main_loop_quit(loop->main);
	return G_SOURCE_REMOVE;
}

/*
 * Ends the loop once all answers are sent or max_us has passed. When the core
 * stops, the last bytes of an answer may still be unsent, and they would be
 * lost if the process ended at once.
 */
static void loop_flush(struct node_loop *loop, int64_t max_us)
{
	if (loop->flush_source)
		return;
	loop->flush_until_us = g_get_monotonic_time() + max_us;
	loop->flush_source =
		g_timeout_add(FLUSH_CHECK_MS, loop_check_flush, loop);
}

static void apply_stopped(struct node_loop *loop, const struct action *action)
{
	(void)action;
	loop_flush(loop, MAX_FLUSH_US);
}

typedef void (*apply_function)(struct node_loop *loop,
			       const struct action *action);

static const apply_function apply_functions[ACTION_TYPES] = {
	[ACTION_CALL_ANSWER] = apply_http,
	[ACTION_CALL_REFUSE] = apply_http,
	[ACTION_CALL_BEGIN] = apply_http,
	[ACTION_CALL_CHUNK] = apply_http,
	[ACTION_CALL_END] = apply_http,
	[ACTION_ATTEMPT_SEND] = apply_endpoint,
	[ACTION_ATTEMPT_RESUME] = apply_endpoint,
	[ACTION_ATTEMPT_CANCEL] = apply_endpoint,
	[ACTION_ATTEMPT_FLOW] = apply_endpoint,
	[ACTION_POLL_LOAD] = apply_endpoint,
	[ACTION_ORDER] = apply_order,
	[ACTION_READ_ORDER] = apply_order,
	[ACTION_PEER_SEND] = apply_peer,
	[ACTION_KV] = apply_kv,
	[ACTION_KV_WATCH] = apply_kv,
	[ACTION_CONFIG] = apply_config,
	[ACTION_LOG] = apply_log,
	[ACTION_STOPPED] = apply_stopped,
};

static void loop_apply(struct node_loop *loop)
{
	for (size_t i = 0; i < action_list_count(loop->actions); i++) {
		const struct action *action = action_list_get(loop->actions, i);

		apply_functions[action->type](loop, action);
	}
	action_list_clear(loop->actions);
}

/*
 * The core's time starts at the wall clock, because ids carry it from node to
 * node, and advances with the monotonic clock, so that it never goes back when
 * the wall clock is set back.
 */
static int64_t loop_now_us(const struct node_loop *loop)
{
	return g_get_monotonic_time() + loop->clock_offset_us;
}

static void loop_set_timer(struct node_loop *loop)
{
	int64_t due_us = node_next_due_us(loop->node);

	g_source_set_ready_time(
		loop->timer,
		due_us == INT64_MAX ? -1 : due_us - loop->clock_offset_us);
}

/*
 * Runs one step of the core and applies its actions. Adapters must not deliver
 * an event from their apply function: that would change the list of actions
 * while it is applied.
 */
static void loop_step(struct node_loop *loop, const struct event *event)
{
	g_assert(!loop->stepping);
	loop->stepping = true;
	node_step(loop->node, loop_now_us(loop), event, loop->actions);
	loop_apply(loop);
	loop->stepping = false;
	loop_set_timer(loop);
}

static bool event_is_for_gateway(const struct event *event)
{
	return event->type == EVENT_PEER &&
	       (event->peer->type == PEER_STANDING ||
		event->peer->type == PEER_ROUTES ||
		event->peer->type == PEER_ROUTES_REQUEST ||
		event->peer->type == PEER_CHOOSE ||
		event->peer->type == PEER_CHOSEN ||
		event->peer->type == PEER_AWAIT ||
		event->peer->type == PEER_WAITING ||
		event->peer->type == PEER_UNAVAILABLE ||
		event->peer->type == PEER_WITHDRAW ||
		event->peer->type == PEER_CORDONS ||
		event->peer->type == PEER_ENDPOINT_LIMITS ||
		event->peer->type == PEER_ENDPOINT_SPEEDS ||
		event->peer->type == PEER_LOSSES ||
		event->peer->type == PEER_REACH ||
		event->peer->type == PEER_ENDPOINT_FULL ||
		event->peer->type == PEER_ENDPOINT_LEAVING ||
		event->peer->type == PEER_FAILURE_NOTICE);
}

/* Whether a node with a gateway answers the query from there. */
static bool event_is_query_for_gateway(const struct event *event)
{
	return quarantine_is_query(event) ||
	       (event->type == EVENT_QUERY &&
		(event->query.type == QUERY_ENDPOINTS ||
		 event->query.type == QUERY_WAITING));
}

static void loop_answer_from_gateway(struct node_loop *loop,
				     const struct event_query *query)
{
	g_assert(!loop->stepping);
	loop->stepping = true;
	gateway_wiring_answer_query(loop->gateway, query, loop->actions);
	loop_apply(loop);
	loop->stepping = false;
}

/* Delivers an adapter's event to the gateway, or to the core as a step. */
void node_loop_deliver(void *data, const struct event *event)
{
	struct node_loop *loop = data;

	if (loop->gateway && event_is_query_for_gateway(event)) {
		loop_answer_from_gateway(loop, &event->query);
		return;
	}
	if (loop->gateway && event_is_for_gateway(event)) {
		gateway_wiring_receive_peer(loop->gateway, event->peer);
		return;
	}
	loop_step(loop, event);
}

static gboolean loop_on_timer(GSource *source, GSourceFunc callback,
			      gpointer data)
{
	struct event event = {.type = EVENT_TIMER};

	(void)source;
	(void)callback;
	loop_step(data, &event);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_functions = {
	.dispatch = loop_on_timer,
};

/* Creates the timer that runs a step of the core when one is due. */
void node_loop_create_timer(struct node_loop *loop)
{
	loop->timer = g_source_new(&timer_functions, sizeof(GSource));
	g_source_set_callback(loop->timer, NULL, loop, NULL);
	g_source_attach(loop->timer, NULL);
}

/*
 * Begins to stop. A signal that comes again changes nothing: it may come from a
 * supervisor whose stops overlap, and requests are still in progress.
 */
static gboolean loop_on_term(gpointer data)
{
	struct node_loop *loop = data;
	struct event event = {.type = EVENT_SHUTDOWN};

	if (loop->stopping) {
		log_write(loop->log, LOG_LEVEL_INFO, "drain_goes_on", NULL);
		return G_SOURCE_CONTINUE;
	}
	loop->stopping = true;
	if (loop->gateway) {
		node_set_leaving(loop->node);
		gateway_wiring_drain(loop->gateway);
		return G_SOURCE_CONTINUE;
	}
	loop_step(loop, &event);
	return G_SOURCE_CONTINUE;
}

/*
 * Ends the loop: the gateway has drained, so the node may stop. The drain knows
 * nothing of the node's own interface, whose callers would get a reset instead
 * of their answer; they have the rest of left_us, and the process still ends by
 * itself.
 */
void node_loop_gateway_stopped(void *data, int64_t left_us)
{
	loop_flush(data, left_us - KILL_MARGIN_US);
}

static gboolean loop_on_dump(gpointer data)
{
	struct node_loop *loop = data;
	GVariant *dump =
		g_variant_ref_sink(node_dump(loop->node, loop_now_us(loop)));
	char *json = json_gvariant_serialize_data(dump, NULL);

	fprintf(stderr, "%s\n", json);
	g_free(json);
	g_variant_unref(dump);
	return G_SOURCE_CONTINUE;
}

/* Returns the log level with this name; LOG_LEVEL_INFO for any other name. */
enum log_level node_loop_parse_level(const char *name)
{
	if (g_str_equal(name, "error"))
		return LOG_LEVEL_ERROR;
	if (g_str_equal(name, "warn"))
		return LOG_LEVEL_WARN;
	return LOG_LEVEL_INFO;
}

/* Returns the time of the file's last change in us; 0 if stat() fails. */
int64_t node_loop_file_changed_us(const char *path)
{
	struct stat status;

	if (stat(path, &status) != 0)
		return 0;
	return (int64_t)status.st_mtim.tv_sec * G_USEC_PER_SEC +
	       status.st_mtim.tv_nsec / 1000;
}

/*
 * Reads the settings again and applies those that can change without a restart.
 * A file with an error changes nothing.
 */
static void loop_reload(struct node_loop *loop)
{
	struct error error;
	struct settings *settings = settings_load(loop->config_path, &error);

	if (!settings) {
		log_write_error(loop->log, LOG_LEVEL_ERROR, "reload_rejected",
				&error);
		return;
	}
	log_set_level(loop->log, node_loop_parse_level(settings->log_level));
	if (loop->gateway)
		gateway_wiring_reload(loop->gateway, settings);
	log_write(loop->log, LOG_LEVEL_INFO, "reload", "file",
		  loop->config_path, NULL);
	settings_destroy(settings);
}

static gboolean loop_on_reload(gpointer data)
{
	loop_reload(data);
	return G_SOURCE_CONTINUE;
}

/* Reloads the settings when their file has changed, without a SIGHUP. */
static gboolean loop_check_file(gpointer data)
{
	struct node_loop *loop = data;
	int64_t changed_us = node_loop_file_changed_us(loop->config_path);

	if (changed_us == loop->config_changed_us)
		return G_SOURCE_CONTINUE;
	loop->config_changed_us = changed_us;
	loop_reload(loop);
	return G_SOURCE_CONTINUE;
}

static void loop_watch_signals(struct node_loop *loop)
{
	loop->signal_sources[0] =
		g_unix_signal_add(SIGTERM, loop_on_term, loop);
	loop->signal_sources[1] = g_unix_signal_add(SIGINT, loop_on_term, loop);
	loop->signal_sources[2] =
		g_unix_signal_add(SIGUSR1, loop_on_dump, loop);
	loop->signal_sources[3] =
		g_unix_signal_add(SIGHUP, loop_on_reload, loop);
}

static void loop_start(struct node_loop *loop)
{
	loop->stepping = true;
	node_start(loop->node, loop_now_us(loop), loop->actions);
	loop_apply(loop);
	loop->stepping = false;
	loop_set_timer(loop);
}

/*
 * Runs until the node has drained after a SIGTERM or SIGINT. Signals are held
 * back on entry, and again on return.
 */
void node_loop_run(struct node_loop *loop)
{
	loop_watch_signals(loop);
	held_signals_release();
	loop->file_source =
		g_timeout_add_seconds(FILE_CHECK_S, loop_check_file, loop);
	printf("listening %s\n", http_server_address(loop->http));
	fflush(stdout);
	log_write(loop->log, LOG_LEVEL_INFO, "start", "address",
		  http_server_address(loop->http), "gateway",
		  loop->gateway ? "yes" : "no", "version", SISKINLINK_VERSION,
		  NULL);
	loop_start(loop);
	g_main_loop_run(loop->main);
	held_signals_hold();
	log_write(loop->log, LOG_LEVEL_INFO, "stop", "status", "drained", NULL);
}
