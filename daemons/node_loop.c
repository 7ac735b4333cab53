#include "daemons/node_loop.h"

#include "adapters/endpoint_client.h"
#include "adapters/gateway/store_calls.h"
#include "adapters/http_server.h"
#include "adapters/kv_client.h"
#include "adapters/log.h"
#include "adapters/order_client.h"
#include "adapters/peer_link.h"
#include "adapters/vm_list_client.h"
#include "core/node/node.h"
#include "daemons/gateway_wiring.h"
#include "daemons/version.h"

#include <glib-unix.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/stat.h>

#define LOAD_TIMEOUT_MS 1000
#define VM_LIST_TIMEOUT_MS 2000
#define FLUSH_CHECK_MS 10
#define FLUSH_US 10000000 /* for answers that their callers still read */
#define EXIT_CUT 1
#define FILE_CHECK_S 2
#define FILES_PER_CONNECTION 2 /* the caller's and its endpoint's */
#define FILES_BESIDE 256       /* peers, platform, load polls */

struct node_loop {
	GMainLoop *main;
	struct node *node;
	struct log *log;
	struct http_server *http;
	struct endpoint_client *endpoints;
	struct order_client *orders;
	struct kv_client *kv;	   /* NULL: none of its own */
	struct store_calls *store; /* the platform's instead; NULL: none */
	struct peer_link *peers;
	struct vm_list_client *vm_list;
	struct gateway_wiring *gateway; /* NULL: none */
	struct action_list *actions;
	GSource *timer;
	int64_t clock_offset_us; /* the core's time less the monotonic clock */
	bool stepping;
	bool stopping; /* a first SIGTERM has come */
	int64_t flush_until_us;
	guint flush_source;
	guint signal_sources[4];
	char *config_path;
	int64_t config_changed_us;
	guint file_source;
	int exit_status;
};

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

/* Without the service its answers never come, which the node is used to. */
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
		gateway_wiring_take_config(loop->gateway, &action->config);
}

static void apply_order(struct node_loop *loop, const struct action *action)
{
	order_client_apply(loop->orders, action);
}

static void apply_log(struct node_loop *loop, const struct action *action)
{
	log_write_action(loop->log, &action->log);
}

static gboolean loop_flush(gpointer data)
{
	struct node_loop *loop = data;

	if (http_server_open_exchanges(loop->http) > 0 &&
	    g_get_monotonic_time() < loop->flush_until_us)
		return G_SOURCE_CONTINUE;
	loop->flush_source = 0;
	g_main_loop_quit(loop->main);
	return G_SOURCE_REMOVE;
}

/*
 * The core is done, but the last bytes of an answer may still wait for their
 * socket: ending now would cut them off.
 */
static void apply_stopped(struct node_loop *loop, const struct action *action)
{
	(void)action;
	if (loop->flush_source)
		return;
	loop->flush_until_us = g_get_monotonic_time() + FLUSH_US;
	loop->flush_source = g_timeout_add(FLUSH_CHECK_MS, loop_flush, loop);
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
 * The core's time starts at the wall clock and then runs with the monotonic
 * one: ids carry it from node to node, and a clock that is set back must not
 * make it fall.
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
 * One step of the core and all it asks for. An adapter that delivered from
 * inside its apply function would change the list that is being carried out.
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

static bool event_is_gateway(const struct event *event)
{
	return event->type == EVENT_PEER &&
	       (event->peer->type == PEER_STANDING ||
		event->peer->type == PEER_ROUTES ||
		event->peer->type == PEER_QUARANTINE);
}

static void loop_deliver(void *data, const struct event *event)
{
	struct node_loop *loop = data;

	if (loop->gateway && event_is_gateway(event)) {
		gateway_wiring_take_peer(loop->gateway, event->peer);
		return;
	}
	loop_step(loop, event);
}

static gboolean loop_timer(GSource *source, GSourceFunc callback, gpointer data)
{
	struct event event = {.type = EVENT_TIMER};

	(void)source;
	(void)callback;
	loop_step(data, &event);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_functions = {
	.dispatch = loop_timer,
};

static gboolean loop_on_term(gpointer data)
{
	struct node_loop *loop = data;
	struct event event = {.type = EVENT_SHUTDOWN};

	if (loop->stopping) {
		loop->exit_status = EXIT_CUT;
		g_main_loop_quit(loop->main);
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

/* The gateway has answered all it could: the node behind it may end. */
static void loop_gateway_stopped(void *data)
{
	g_main_loop_quit(((struct node_loop *)data)->main);
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

static enum log_level level_of(const char *name)
{
	if (g_str_equal(name, "error"))
		return LOG_LEVEL_ERROR;
	if (g_str_equal(name, "warn"))
		return LOG_LEVEL_WARN;
	return LOG_LEVEL_INFO;
}

/* When the file was last written; 0 if it isn't there. */
static int64_t file_changed_us(const char *path)
{
	struct stat status;

	if (stat(path, &status) != 0)
		return 0;
	return (int64_t)status.st_mtim.tv_sec * G_USEC_PER_SEC +
	       status.st_mtim.tv_nsec / 1000;
}

/*
 * The settings may change under a running process. What can be taken over
 * without a restart is; a file that can't be used changes nothing.
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
	log_set_level(loop->log, level_of(settings->log_level));
	if (loop->gateway)
		gateway_wiring_reload(loop->gateway, &settings->gateway);
	log_write(loop->log, LOG_LEVEL_INFO, "reload", "file",
		  loop->config_path, NULL);
	settings_destroy(settings);
}

static gboolean loop_on_reload(gpointer data)
{
	loop_reload(data);
	return G_SOURCE_CONTINUE;
}

/* The file may change without a signal as well. */
static gboolean loop_check_file(gpointer data)
{
	struct node_loop *loop = data;
	int64_t changed_us = file_changed_us(loop->config_path);

	if (changed_us == loop->config_changed_us)
		return G_SOURCE_CONTINUE;
	loop->config_changed_us = changed_us;
	loop_reload(loop);
	return G_SOURCE_CONTINUE;
}

static bool random_read(uint64_t *number, struct error *error)
{
	if (getrandom(number, sizeof(*number), 0) == sizeof(*number))
		return true;
	error_set(error, ERROR_INTERNAL, "loop.random", NULL,
		  "the system gives no random numbers");
	return false;
}

/* Connections of callers: fewer where the files allowed don't suffice. */
static int64_t loop_max_connections(const struct settings *settings)
{
	int64_t files = settings->max_open_files - 2 * FILES_BESIDE;

	if (settings->max_open_files == 0)
		return settings->max_connections;
	return CLAMP(files / FILES_PER_CONNECTION, 1,
		     settings->max_connections);
}

/*
 * Out of descriptors, the listener would fail on each connection and try again
 * at once, and calls that are running would fail for want of a connection to
 * their endpoint. The limit on connections holds before that.
 */
static bool loop_allow_files(const struct settings *settings,
			     struct error *error)
{
	int64_t needed = loop_max_connections(settings) * FILES_PER_CONNECTION +
			 FILES_BESIDE;
	struct rlimit limit = {0};

	getrlimit(RLIMIT_NOFILE, &limit);
	if ((int64_t)limit.rlim_cur >= needed)
		return true;
	limit.rlim_cur = MIN(limit.rlim_max, (rlim_t)needed);
	if (setrlimit(RLIMIT_NOFILE, &limit) == 0 &&
	    (int64_t)limit.rlim_cur >= needed)
		return true;
	error_set(error, ERROR_INVALID, "loop.files", NULL,
		  "limits.max_connections needs %" G_GINT64_FORMAT
		  " open files, the process may have %" G_GINT64_FORMAT,
		  needed, (int64_t)limit.rlim_max);
	return false;
}

static bool loop_create_node(struct node_loop *loop,
			     const struct settings *settings,
			     struct error *error)
{
	struct node_options options = settings->node;

	char key[2 * sizeof(uint64_t) + 1];

	if (!random_read(&options.incarnation, error) ||
	    !random_read(&options.seed, error))
		return false;
	if (!*options.event_key) {
		/* Streams of the node's own interface resume here only then. */
		g_snprintf(key, sizeof(key), "%016" G_GINT64_MODIFIER "x",
			   options.seed);
		options.event_key = key;
	}
	options.discovers_nodes =
		*settings->kv_address || *settings->gateway.store_address;
	loop->node = node_create(&options);
	return true;
}

static bool loop_create_http(struct node_loop *loop,
			     const struct settings *settings,
			     const struct event_sink *sink, struct error *error)
{
	struct http_server_options options = {
		.address = settings->node.http_address,
		.operator_key = settings->operator_key,
		.max_header_bytes = settings->max_header_bytes,
		.max_body_bytes = settings->max_body_bytes,
		.stream_buffer_bytes = settings->stream_buffer_bytes,
		.max_connections = loop_max_connections(settings),
		.log = loop->log,
		.counters = node_counters(loop->node),
	};

	loop->http = http_server_create(&options, sink, error);
	return loop->http != NULL;
}

static bool loop_create_peers(struct node_loop *loop,
			      const struct settings *settings,
			      const struct event_sink *sink,
			      struct error *error)
{
	struct peer_link_options options = {
		.address = settings->node.peer_address,
		.max_record_bytes = settings->max_peer_record_bytes,
		.log = loop->log,
		.counters = node_counters(loop->node),
	};

	loop->peers = peer_link_create(&options, sink, error);
	return loop->peers != NULL;
}

static void loop_create_endpoints(struct node_loop *loop,
				  const struct settings *settings,
				  const struct event_sink *sink)
{
	struct endpoint_client_options options = {
		.node_name = settings->node.name,
		.max_answer_bytes = settings->max_answer_bytes,
		.connect_timeout_ms = settings->connect_timeout_ms,
		.load_timeout_ms = LOAD_TIMEOUT_MS,
		.log = loop->log,
		.counters = node_counters(loop->node),
	};

	loop->endpoints = endpoint_client_create(&options, sink);
	loop->orders = order_client_create(loop->log, sink);
}

static bool loop_create_platform(struct node_loop *loop,
				 const struct settings *settings,
				 const struct event_sink *sink,
				 struct error *error)
{
	struct kv_client_options kv = {
		.address = settings->kv_address,
		.max_value_bytes = settings->max_answer_bytes,
		.log = loop->log,
		.counters = node_counters(loop->node),
	};
	struct vm_list_client_options vm_list = {
		.address = settings->vm_list_address,
		.poll_ms = settings->vm_list_poll_ms,
		.timeout_ms = VM_LIST_TIMEOUT_MS,
		.log = loop->log,
	};

	if (!random_read(&kv.seed, error))
		return false;
	if (*settings->kv_address)
		loop->kv = kv_client_create(&kv, sink);
	else if (*settings->gateway.store_address)
		loop->store = gateway_wiring_open_store(settings, loop->log,
							kv.seed, sink);
	if (*settings->vm_list_address)
		loop->vm_list = vm_list_client_create(&vm_list, sink);
	return true;
}

static const struct membership *loop_members(void *data)
{
	return node_members(((struct node_loop *)data)->node);
}

static struct peer_message *loop_message(void *data,
					 enum peer_message_type type)
{
	return node_message_create(((struct node_loop *)data)->node, type);
}

static void loop_send(void *data, const char *peer_address,
		      struct peer_message *message)
{
	struct node_loop *loop = data;
	struct action action = {.type = ACTION_PEER_SEND};

	action.peer_send.peer_address = (char *)peer_address;
	action.peer_send.message = message;
	peer_link_apply(loop->peers, &action);
	peer_message_destroy(message);
}

static bool loop_create_gateway(struct node_loop *loop,
				const struct settings *settings,
				struct error *error)
{
	struct gateway_wiring_options options = {
		.settings = settings,
		.max_connections = loop_max_connections(settings),
		.log = loop->log,
		.counters = node_counters(loop->node),
		.members = loop_members,
		.message = loop_message,
		.send = loop_send,
		.stopped = loop_gateway_stopped,
		.data = loop,
	};

	if (!*settings->gateway.address)
		return true;
	if (!random_read(&options.seed, error))
		return false;
	loop->gateway = gateway_wiring_create(&options, error);
	return loop->gateway != NULL;
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

static void loop_create_timer(struct node_loop *loop)
{
	loop->timer = g_source_new(&timer_functions, sizeof(GSource));
	g_source_set_callback(loop->timer, NULL, loop, NULL);
	g_source_attach(loop->timer, NULL);
}

/* Takes the addresses of the settings; NULL with the reason if it cannot. */
struct node_loop *node_loop_create(const struct settings *settings,
				   const char *config_path, struct error *error)
{
	struct node_loop *loop = g_new0(struct node_loop, 1);
	struct event_sink sink = {.deliver = loop_deliver, .data = loop};

	loop->main = g_main_loop_new(NULL, FALSE);
	loop->config_path = g_strdup(config_path);
	loop->config_changed_us = file_changed_us(config_path);
	loop->clock_offset_us = g_get_real_time() - g_get_monotonic_time();
	loop->actions = action_list_create();
	loop->log =
		log_create(settings->node.name, level_of(settings->log_level));
	loop_create_timer(loop);
	if (!loop_allow_files(settings, error) ||
	    !loop_create_node(loop, settings, error) ||
	    !loop_create_http(loop, settings, &sink, error) ||
	    !loop_create_peers(loop, settings, &sink, error) ||
	    !loop_create_platform(loop, settings, &sink, error) ||
	    !loop_create_gateway(loop, settings, error)) {
		node_loop_destroy(loop);
		return NULL;
	}
	loop_create_endpoints(loop, settings, &sink);
	return loop;
}

/* Frees the node and closes its connections. NULL is allowed. */
void node_loop_destroy(struct node_loop *loop)
{
	if (!loop)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(loop->signal_sources); i++) {
		if (loop->signal_sources[i])
			g_source_remove(loop->signal_sources[i]);
	}
	if (loop->flush_source)
		g_source_remove(loop->flush_source);
	if (loop->file_source)
		g_source_remove(loop->file_source);
	g_free(loop->config_path);
	gateway_wiring_destroy(loop->gateway);
	vm_list_client_destroy(loop->vm_list);
	kv_client_destroy(loop->kv);
	store_calls_destroy(loop->store);
	endpoint_client_destroy(loop->endpoints);
	order_client_destroy(loop->orders);
	peer_link_destroy(loop->peers);
	http_server_destroy(loop->http);
	node_destroy(loop->node);
	g_source_destroy(loop->timer);
	g_source_unref(loop->timer);
	log_destroy(loop->log);
	action_list_destroy(loop->actions);
	g_main_loop_unref(loop->main);
	g_free(loop);
}

static void loop_start(struct node_loop *loop)
{
	loop->stepping = true;
	node_start(loop->node, loop_now_us(loop), loop->actions);
	loop_apply(loop);
	loop->stepping = false;
	loop_set_timer(loop);
}

/* Runs until the node has drained; the exit status of the process. */
int node_loop_run(struct node_loop *loop)
{
	loop_watch_signals(loop);
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
	log_write(loop->log, LOG_LEVEL_INFO, "stop", "status",
		  loop->exit_status ? "cut" : "drained", NULL);
	return loop->exit_status;
}
