#include "tests/gateway_pair.h"

#include "adapters/gateway/listener.h"
#include "platform/platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

/* Whether the request names another id than the endpoint's. */
static bool is_for_another(const PairEndpoint *endpoint,
			   const struct http_head *head)
{
	const char *expected =
		http_head_get(head, "X-Siskinlink-Expect-Instance");

	return expected && endpoint->id != expected;
}

/* Whether the request's prompt has the part, at any place but the last. */
static bool has_part(const struct http_head *head, const std::string &part)
{
	const char *parts = http_head_get(head, "X-Siskinlink-Prompt-Prefix");
	size_t at =
		parts ? std::string(parts).find(part + ":") : std::string::npos;

	return !part.empty() && at != std::string::npos &&
	       strchr(parts + at, ',');
}

/* The head and the first events of an answer. */
static std::string begin_events(const PairEndpoint *endpoint,
				const std::string &fields, int count,
				int first = 0)
{
	std::string text = "HTTP/1.1 200 OK\r\n" + fields +
			   "Content-Type: text/event-stream\r\n";

	text += endpoint->ends_by_close ? "Connection: close\r\n\r\n"
					: "Transfer-Encoding: chunked\r\n\r\n";
	for (int i = first; i < count; i++) {
		std::string event =
			"id: " + std::to_string(i) + "\ndata: x\n\n";
		char size[16];

		if (endpoint->ends_within_event && i == count - 1)
			event.resize(event.size() - 4);
		snprintf(size, sizeof(size), "%zx\r\n", event.size());
		text += endpoint->ends_by_close ? event : size + event + "\r\n";
	}
	return text;
}

static void answer_request(PairEndpoint *endpoint, struct caller *caller,
			   struct http_head *head, GByteArray *body)
{
	const char *id = http_head_get(head, "X-Siskinlink-Request-Id");
	std::string fields = std::string("X-Siskinlink-Request-Id: ") +
			     (id ? id : "") +
			     "\r\nX-Siskinlink-Engine-Stamp: " + endpoint->id +
			     "\r\n" + endpoint->says;
	bool is_deadly = !endpoint->deadly_path.empty() &&
			 endpoint->deadly_path == head->target;
	int first = 0;
	bool has_deadly_part = has_part(head, endpoint->deadly_part);
	bool is_reset = !endpoint->reset_path.empty() &&
			endpoint->reset_path == head->target;

	if (is_for_another(endpoint, head)) {
		fields = std::string("X-Siskinlink-Request-Id: ") + id +
			 "\r\nX-Siskinlink-Not-Executed: 1\r\n" +
			 endpoint->says;
		endpoint->misdirected++;
		http_head_destroy(head);
		g_byte_array_unref(body);
		caller_answer(caller, 421, fields.c_str(), "", 0);
		return;
	}
	if (!endpoint->rest.empty()) {
		fields = std::string("X-Siskinlink-Request-Id: ") + id +
			 "\r\nX-Siskinlink-Not-Executed: 1\r\n" +
			 "Retry-After: " + endpoint->rest + "\r\n";
		endpoint->turned_away++;
		http_head_destroy(head);
		g_byte_array_unref(body);
		caller_answer(caller, 503, fields.c_str(), "", 0);
		return;
	}
	if (!endpoint->ignores_last_event &&
	    http_head_get(head, "Last-Event-Id"))
		first = atoi(http_head_get(head, "Last-Event-Id")) + 1;
	endpoint->runs[id ? id : ""]++;
	endpoint->seen.clear();
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);

		endpoint->seen +=
			std::string(field->name) + ": " + field->value + "\n";
	}
	http_head_destroy(head);
	g_byte_array_unref(body);
	if (is_reset) {
		caller_abort(caller);
		return;
	}
	if (is_deadly) {
		std::string part = "HTTP/1.1 200 OK\r\n" + fields +
				   "Content-Length: 100\r\n\r\npart";

		caller_attach_request(caller, endpoint);
		if (endpoint->begins_answer)
			caller_send(caller, part.data(), part.size());
		endpoint->End();
		return;
	}
	if (has_deadly_part) {
		std::string text = begin_events(endpoint, fields,
						endpoint->events_before_end);

		caller_attach_request(caller, endpoint);
		if (endpoint->events_before_end > 0)
			caller_send(caller, text.data(), text.size());
		endpoint->End();
		return;
	}
	if (endpoint->breaks_after > 0) {
		std::string text =
			begin_events(endpoint, fields,
				     first + endpoint->breaks_after, first);

		caller_send(caller, text.data(), text.size());
		caller_end_answer(caller, true);
		return;
	}
	if (endpoint->events > 0) {
		std::string text =
			begin_events(endpoint, fields, endpoint->events, first);

		caller_send(caller, text.data(), text.size());
		if (!endpoint->is_silent) {
			if (!endpoint->ends_by_close)
				caller_send(caller, "0\r\n\r\n", 5);
			caller_end_answer(caller, endpoint->ends_by_close);
			return;
		}
	}
	if (endpoint->is_silent) {
		endpoint->unanswered = caller;
		caller_attach_request(caller, endpoint);
		return;
	}
	caller_answer(caller, 200, fields.c_str(), "answer", 6);
}

/* A request that waits for the end of its endpoint's silence. */
struct late_request {
	PairEndpoint *endpoint;
	struct caller *caller;
	struct http_head *head;
	GByteArray *body;
};

static gboolean on_silence_over(gpointer data)
{
	struct late_request *late = (struct late_request *)data;

	late->endpoint->late.erase(late->caller);
	answer_request(late->endpoint, late->caller, late->head, late->body);
	return G_SOURCE_REMOVE;
}

/* Frees a request; its head and body too, unless it was answered. */
static void late_request_free(gpointer data)
{
	struct late_request *late = (struct late_request *)data;

	if (late->endpoint->late.erase(late->caller) > 0) {
		http_head_destroy(late->head);
		g_byte_array_unref(late->body);
	}
	delete late;
}

static void on_endpoint_request(void *data, struct caller *caller,
				struct http_head *head, GByteArray *body)
{
	PairEndpoint *endpoint = (PairEndpoint *)data;

	if (endpoint->silence_ms == 0) {
		answer_request(endpoint, caller, head, body);
		return;
	}
	caller_attach_request(caller, caller);
	endpoint->late[caller] = g_timeout_add_full(
		G_PRIORITY_DEFAULT, (guint)endpoint->silence_ms,
		on_silence_over, new late_request{endpoint, caller, head, body},
		late_request_free);
}

static void on_endpoint_gone(void *data, void *request, const char *detail)
{
	PairEndpoint *endpoint = (PairEndpoint *)data;
	auto late = endpoint->late.find(request);

	(void)detail;
	endpoint->gone++;
	if (late != endpoint->late.end())
		g_source_remove(late->second);
}

PairEndpoint::PairEndpoint(const std::string &id)
    : id(id), address(free_address())
{
	Start();
}

PairEndpoint::~PairEndpoint()
{
	if (timer)
		g_source_remove(timer);
	while (!late.empty())
		g_source_remove(late.begin()->second);
	listener_destroy(listener);
	caller_set_destroy(callers);
}

bool PairEndpoint::IsUp() const
{
	return listener;
}

/* Listens at the address, as a new process. */
void PairEndpoint::Start()
{
	struct caller_handler handler = {};
	struct error error;

	handler.request = on_endpoint_request;
	handler.gone = on_endpoint_gone;
	handler.data = this;
	if (gets_new_id && ends > 0)
		id = id.substr(0, id.find('+')) + "+" + std::to_string(ends);
	callers = caller_set_create(&handler, 1000);
	listener = listener_create(address.c_str(), callers, &error);
	EXPECT_NE(nullptr, listener) << error.detail;
}

gboolean PairEndpoint::OnStart(gpointer data)
{
	((PairEndpoint *)data)->timer = 0;
	((PairEndpoint *)data)->Start();
	return G_SOURCE_REMOVE;
}

/* Closes all sockets at once, as a process that ends. */
gboolean PairEndpoint::OnEnd(gpointer data)
{
	PairEndpoint *endpoint = (PairEndpoint *)data;

	listener_destroy(endpoint->listener);
	endpoint->listener = nullptr;
	caller_set_destroy(endpoint->callers);
	endpoint->callers = nullptr;
	endpoint->ends++;
	endpoint->timer =
		g_timeout_add((guint)endpoint->restart_ms, OnStart, endpoint);
	return G_SOURCE_REMOVE;
}

/* Ends the process, outside of its callbacks, and starts it again later. */
void PairEndpoint::End()
{
	if (!timer)
		timer = g_idle_add_full(G_PRIORITY_HIGH, OnEnd, this, nullptr);
}

/* Connections to a listener whose queue is full get no answer. */
DeadAddress::DeadAddress(enum pair_cut cut) : address(free_address())
{
	struct sockaddr_in to = {};
	int fd;

	if (cut == CUT_REFUSED)
		return;
	to.sin_family = AF_INET;
	to.sin_port = htons(
		(uint16_t)std::stoi(address.substr(address.find(':') + 1)));
	inet_pton(AF_INET, address.substr(0, address.find(':')).c_str(),
		  &to.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	sockets.push_back(fd);
	EXPECT_EQ(0, bind(fd, (struct sockaddr *)&to, sizeof(to)));
	EXPECT_EQ(0, listen(fd, 0));
	for (int i = 0; i < 4; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		sockets.push_back(fd);
		(void)connect(fd, (struct sockaddr *)&to, sizeof(to));
	}
}

DeadAddress::~DeadAddress()
{
	for (int fd : sockets)
		close(fd);
}

void GatewayPair::on_send(void *data, const GPtrArray *addresses,
			  struct peer_message *message)
{
	struct node *from = (struct node *)data;
	std::vector<std::string> to;

	message->from = g_strdup(from->name.c_str());
	message->from_address = g_strdup(from->peer_address.c_str());
	message->incarnation = 1;
	for (guint i = 0; i < addresses->len; i++)
		to.push_back((const char *)addresses->pdata[i]);
	from->test->sent.push_back({to, message});
}

/* Delivers what was sent up to now; answers to it come with the next call. */
gboolean GatewayPair::Deliver(gpointer data)
{
	GatewayPair *test = (GatewayPair *)data;
	std::vector<struct sent_message> sent;

	if (test->holds_messages)
		return G_SOURCE_CONTINUE;
	sent.swap(test->sent);
	for (const struct sent_message &item : sent) {
		for (const std::string &address : item.to)
			for (auto &node : test->nodes)
				if (node->gateway &&
				    !(test->loses_reach &&
				      item.message->type == PEER_REACH) &&
				    !(test->deaf_node >= 0 &&
				      node == test->nodes
						      [(size_t)test
							       ->deaf_node]) &&
				    node->peer_address == address)
					gateway_receive_peer(node->gateway,
							     item.message);
		peer_message_destroy(item.message);
	}
	return G_SOURCE_CONTINUE;
}

struct peer_message *GatewayPair::on_message(void *data,
					     enum peer_message_type type)
{
	(void)data;
	return peer_message_create(type);
}

const struct membership *GatewayPair::on_members(void *data)
{
	return ((struct node *)data)->members;
}

static struct member *pair_member_create(const std::string &name,
					 const std::string &peer_address)
{
	struct member *member = g_new0(struct member, 1);

	member->name = g_strdup(name.c_str());
	member->incarnation = 1;
	member->version = 1;
	member->http_address = g_strdup("");
	member->peer_address = g_strdup(peer_address.c_str());
	member->region = g_strdup("r");
	member->failure_domain = g_strdup("a");
	return member;
}

/* Makes the node know all nodes that exist. */
void GatewayPair::Join(struct node *node)
{
	static const char *const no_seeds[] = {nullptr};
	struct member *self =
		pair_member_create(node->name, node->peer_address);
	struct membership_options options = {};

	options.self = self;
	options.seeds = no_seeds;
	options.heartbeat_us = G_USEC_PER_SEC;
	options.suspect_us = G_USEC_PER_SEC;
	node->members = membership_create(&options);
	member_destroy(self);
	for (auto &other : nodes) {
		struct action_list *actions = action_list_create();
		struct peer_message *message = peer_message_create(PEER_PING);

		if (other->name != node->name) {
			message->from = g_strdup(other->name.c_str());
			message->from_address =
				g_strdup(other->peer_address.c_str());
			message->incarnation = 1;
			g_ptr_array_add(
				message->probe.members,
				pair_member_create(other->name,
						   other->peer_address));
			membership_receive(node->members, message, 1, actions);
		}
		peer_message_destroy(message);
		action_list_destroy(actions);
	}
}

void GatewayPair::ApplyRoutes(struct node *node)
{
	static const struct {
		const char *name, *path, *service;
		enum route_kind kind;
		bool is_resumable;
	} wanted[] = {
		{"lookup", "/lookup/", "portal", ROUTE_IDEMPOTENT, false},
		{"export", "/export/", "portal", ROUTE_ONCE, false},
		{"report", "/report/", "engines", ROUTE_STREAM, false},
		{"query", "/query/", "engines", ROUTE_STREAM, true},
	};
	GPtrArray *cordons = cordon_list_create();
	struct config *config = config_create();
	struct config_service *engines;
	GBytes *document = g_bytes_new(nullptr, 0);
	struct route_table *table;

	config_add_service(config, "portal", SERVICE_PLAIN);
	engines = config_add_service(config, "engines", SERVICE_GENERATION);
	engines->engine.slots = slots;
	engines->engine.can_back_up = backs_up;
	engines->engine.memory_tokens = backs_up || moves ? 34000 : 0;
	engines->engine.can_move = moves;
	engines->engine.copy_keep_us = copy_keep_us;
	for (const auto &want : wanted) {
		struct route *route =
			config_add_route(config, want.name, "h", want.path);

		route->kind = want.kind;
		route->is_public = true;
		route->is_resumable = want.is_resumable;
		route->max_attempts = route_may_repeat(route) ? 2 : 1;
		route->timeout_us = timeout_us;
		route->first_answer_us = 150000;
		route_add_target(route, want.service, 1);
	}
	config->revision = 1;
	table = route_table_create(config);
	gateway_apply_table(node->gateway, table, document, "store");
	gateway_apply_cordon_listing(node->gateway, cordons, 1);
	gateway_set_store_reached(node->gateway, true);
	route_table_unref(table);
	config_unref(config);
	g_bytes_unref(document);
	g_ptr_array_unref(cordons);
}

static void on_read_store(void *data)
{
	(void)data;
}

static bool on_is_reading(void *data)
{
	(void)data;
	return false;
}

static void on_watch(void *data, const struct store_watch *watch)
{
	(void)data;
	(void)watch;
}

static void on_stopped(void *data, int64_t left_us)
{
	(void)data;
	(void)left_us;
}

/* The store answers the probes of each node that reaches it. */
gboolean GatewayPair::Probe(gpointer data)
{
	auto *test = static_cast<GatewayPair *>(data);

	for (auto &node : test->nodes) {
		if (node->gateway && node->gateway->store_is_reached)
			gateway_store_answered(node->gateway);
	}
	return G_SOURCE_CONTINUE;
}

void GatewayPair::Create(size_t count)
{
	struct error error;

	delivery = g_timeout_add(1, Deliver, this);
	probes = g_timeout_add(1000, Probe, this);
	for (size_t i = 0; i < count; i++) {
		nodes.push_back(
			std::unique_ptr<struct node>(new struct node()));
		nodes[i]->test = this;
		nodes[i]->name = "n" + std::to_string(i);
		nodes[i]->address = free_address();
		nodes[i]->peer_address = nodes[i]->name + ":1";
	}
	for (auto &node : nodes) {
		struct gateway_options options = {};
		struct gateway_host host = {};

		Join(node.get());
		host.send = on_send;
		host.message = on_message;
		host.members = on_members;
		host.data = node.get();
		host.read_store = on_read_store;
		host.is_reading = on_is_reading;
		host.watch = on_watch;
		host.stopped = on_stopped;
		options.node_name = node->name.c_str();
		options.failure_domain = "a";
		options.address = node->address.c_str();
		options.ready_address = "";
		options.directory_address = "";
		options.max_connections = max_connections;
		options.retry_percent = 20;
		options.retry_extra = retry_extra;
		options.retry_window_us = 10 * G_USEC_PER_SEC;
		options.home_from_nodes = home_from_nodes;
		options.directory_ttl_us = G_USEC_PER_SEC;
		options.max_answer_bytes = max_answer_bytes;
		options.memory_bytes = memory_bytes;
		options.seed = seed * (uint64_t)++starts;
		options.log = log;
		options.counters = &node->counters;
		options.dialect = &platform_dialect;
		node->gateway = gateway_create(&options, &host, &error);
		ASSERT_NE(nullptr, node->gateway) << error.detail;
	}
	for (auto &node : nodes)
		ApplyRoutes(node.get());
}

void GatewayPair::TearDown()
{
	for (auto &node : nodes) {
		struct gateway *gateway = node->gateway;

		node->gateway = nullptr;
		gateway_destroy(gateway);
		membership_destroy(node->members);
	}
	Deliver(this);
	g_source_remove(delivery);
	g_source_remove(probes);
	log_destroy(log);
}

void GatewayPair::Register(size_t node, const std::string &service,
			   const std::map<std::string, std::string> &endpoints,
			   bool is_leaving)
{
	GPtrArray *list = registration_list_create();

	for (const auto &endpoint : endpoints) {
		struct registration *said = g_new0(struct registration, 1);

		said->id = g_strdup(endpoint.first.c_str());
		said->service = g_strdup(service.c_str());
		said->address = g_strdup(endpoint.second.c_str());
		said->failure_domain = g_strdup("a");
		said->position = position;
		said->is_leaving = is_leaving;
		g_ptr_array_add(list, said);
	}
	gateway_apply_changes(nodes[node]->gateway, list);
	g_ptr_array_unref(list);
}

void GatewayPair::Unregister(size_t node, const std::string &id)
{
	GPtrArray *list = registration_list_create();
	struct registration *said = g_new0(struct registration, 1);

	said->id = g_strdup(id.c_str());
	said->position = position;
	said->is_removed = true;
	g_ptr_array_add(list, said);
	gateway_apply_changes(nodes[node]->gateway, list);
	g_ptr_array_unref(list);
}

void GatewayPair::RegisterStart(const std::string &service,
				const PairEndpoint &endpoint)
{
	std::vector<std::string> &ids = entries[endpoint.address];

	if (!ids.empty() && ids.back() == endpoint.id)
		return;
	position++;
	ids.push_back(endpoint.id);
	for (size_t i = 0; i < nodes.size(); i++)
		Register(i, service, {{endpoint.id, endpoint.address}});
	if (ids.size() > 2)
		RemoveOldest(&ids);
}

void GatewayPair::RemoveOldest(std::vector<std::string> *ids)
{
	position++;
	for (size_t i = 0; i < nodes.size(); i++)
		Unregister(i, ids->front());
	ids->erase(ids->begin());
}

void GatewayPair::RemoveOldEntries()
{
	for (auto &entry : entries)
		while (entry.second.size() > 1)
			RemoveOldest(&entry.second);
}

void GatewayPair::Wait(int ms)
{
	int64_t end_us = g_get_monotonic_time() + ms * 1000;

	run_until([&] { return g_get_monotonic_time() >= end_us; });
}

/* Status of one request with more fields, each with its line end. */
int GatewayPair::Ask(size_t node, const std::string &path,
		     const std::string &id, std::string *text,
		     const std::string &fields, const std::string &body)
{
	std::unique_ptr<Connection> caller(
		Connection::open(nodes[node]->address));

	caller->send("POST " + path +
		     " HTTP/1.1\r\nHost: h\r\nX-Siskinlink-Request-Id: " + id +
		     "\r\nX-Siskinlink-Deadline-Ms: 2500\r\n" + fields +
		     "Connection: close\r\nContent-Length: " +
		     std::to_string(body.size()) + "\r\n\r\n" + body);
	caller->wait_closed();
	if (text)
		*text = caller->input;
	return caller->input.size() > 12 ? std::stoi(caller->input.substr(9, 3))
					 : 0;
}
