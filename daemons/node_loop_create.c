#include "daemons/node_loop_state.h"

#include <stdio.h>
#include <sys/random.h>
#include <sys/resource.h>

#define LOAD_TIMEOUT_MS 1000
#define VM_LIST_TIMEOUT_MS 2000
#define FILES_PER_CONNECTION 2 /* one to the caller, one to the endpoint */
#define RESERVED_FILES 256     /* peers, platform, load polls */

static bool random_read(uint64_t *number, struct error *error)
{
	if (getrandom(number, sizeof(*number), 0) == sizeof(*number))
		return true;
	error_set(error, ERROR_INTERNAL, "loop.random", NULL,
		  "cannot read random bytes");
	return false;
}

/*
 * Returns max_connections, or fewer if max_open_files does not suffice for
 * them. A max_open_files of 0 sets no limit.
 */
static int64_t loop_max_connections(const struct settings *settings)
{
	int64_t files = settings->max_open_files - 2 * RESERVED_FILES;

	if (settings->max_open_files == 0)
		return settings->max_connections;
	return CLAMP(files / FILES_PER_CONNECTION, 1,
		     settings->max_connections);
}

/*
 * Raises the limit on open files so that the limit on connections is reached
 * first. Without free descriptors the listener would fail on each connection
 * and retry at once, and running calls could not connect to their endpoints.
 */
static bool loop_raise_file_limit(const struct settings *settings,
				  struct error *error)
{
	int64_t needed = loop_max_connections(settings) * FILES_PER_CONNECTION +
			 RESERVED_FILES;
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
		/*
		 * No other node knows a random key, so only this node can
		 * resume the streams of its API.
		 */
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
		.transport = settings->peer_transport,
		.max_record_bytes = settings->max_peer_record_bytes,
		.log = loop->log,
		.counters = node_counters(loop->node),
	};
	uint64_t session;

	if (!random_read(&session, error))
		return false;
	options.session = (uint32_t)session;
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

static struct peer_message *loop_create_message(void *data,
						enum peer_message_type type)
{
	return node_message_create(((struct node_loop *)data)->node, type);
}

static void loop_send(void *data, const GPtrArray *peer_addresses,
		      struct peer_message *message)
{
	struct node_loop *loop = data;

	peer_link_send(loop->peers, peer_addresses, message);
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
		.message = loop_create_message,
		.send = loop_send,
		.stopped = node_loop_gateway_stopped,
		.data = loop,
	};

	if (!*settings->gateway.address)
		return true;
	if (!random_read(&options.seed, error))
		return false;
	loop->gateway = gateway_wiring_create(&options, error);
	return loop->gateway != NULL;
}

/*
 * Creates a node and listens on the addresses of the settings. Returns NULL and
 * an error if it can't. The caller owns the result.
 */
struct node_loop *node_loop_create(const struct settings *settings,
				   const char *config_path, struct error *error)
{
	struct node_loop *loop = g_new0(struct node_loop, 1);
	struct event_sink sink = {.deliver = node_loop_deliver, .data = loop};

	loop->main = g_main_loop_new(NULL, FALSE);
	loop->config_path = g_strdup(config_path);
	loop->config_changed_us = node_loop_file_changed_us(config_path);
	loop->clock_offset_us = g_get_real_time() - g_get_monotonic_time();
	loop->actions = action_list_create();
	loop->log = log_create(settings->node.name,
			       node_loop_parse_level(settings->log_level));
	node_loop_create_timer(loop);
	if (!loop_raise_file_limit(settings, error) ||
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
