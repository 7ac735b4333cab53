#include "adapters/gateway/exchange_state.h"
#include "core/limit/rate_fleet.h"
#include "core/limit/recent_starts.h"
#include "core/placement/home.h"

#include <string.h>

/*
 * One node, the home, chooses the engines of generations for all nodes of its
 * region; core/gateway/engine_grants.h gives the reason. Its choice is a hint:
 * if the home does not answer, each node chooses locally. One home for all
 * regions grants requests to endpoints of any kind that state a limit, to nodes
 * that have used up their own shares of it.
 */

/*
 * An answer takes one round trip, a few ms, and the home's processing time.
 * Waiting this long in vain delays a caller less than if its prompt were queued
 * behind two others at an engine.
 */
#define HOME_ANSWER_TIMEOUT_US (100 * 1000)

/* A request asks so many nodes for a limited endpoint, one after another. */
#define MAX_HOMES_ASKED 2

/* What the home chose for another node; copy is the target of a move. */
struct engine_choice {
	struct endpoint *run;
	struct endpoint *copy;
};

/* Least time between standings to the home; a prompt takes 0.2 to 0.4 s. */
#define HOME_ANNOUNCE_INTERVAL_US (100 * 1000)

/* The home of the service; NULL: this node is it, or too few nodes. */
const struct member *gateway_find_home(const struct gateway *gateway,
				       const char *service)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	const struct member *home;

	if ((int64_t)membership_count(members) <
	    gateway->options.home_from_nodes)
		return NULL;
	home = home_find(members, membership_self(members)->region, service, 0);
	if (!home || strcmp(home->name, gateway->options.node_name) == 0)
		return NULL;
	return home;
}

/*
 * Whether this node chooses where runs move for all nodes of its region. A copy
 * to an engine that leaves itself is refused, and the time for the move is
 * lost.
 */
bool gateway_chooses_moves(const struct gateway *gateway, const char *service)
{
	return gateway->table &&
	       route_table_gives_way(gateway->table, service) &&
	       (int64_t)gateway_node_count(gateway) >=
		       gateway->options.home_from_nodes &&
	       !gateway_find_home(gateway, service);
}

/* Who chooses the endpoints of the service while they are cold. */
static enum rate_chooser
find_warmup_chooser(const struct gateway *gateway,
		    const struct config_service *service)
{
	if (service->engine.slots == 0 ||
	    (int64_t)gateway_node_count(gateway) <
		    gateway->options.home_from_nodes)
		return RATE_EACH_NODE;
	return gateway_find_home(gateway, service->name) ? RATE_BESIDE_HOME
							 : RATE_REGION_HOME;
}

static bool has_just_started(const struct gateway *gateway,
			     const struct member *member)
{
	return recent_starts_has(gateway->recent_starts, member->name,
				 gateway->now_us);
}

/* Returns the member unless it is this node. */
static const struct member *other_node(const struct gateway *gateway,
				       const struct member *member)
{
	return member && strcmp(member->name, gateway->options.node_name) != 0
		       ? member
		       : NULL;
}

/*
 * The node, of any region, that grants requests to limited endpoints; NULL:
 * this node. The next one takes the place of a home that has just started,
 * unless it has too: the place doesn't move on from node to node, as each of
 * them would begin with all of the limit.
 */
static const struct member *find_limit_home(const struct gateway *gateway,
					    const char *service)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	const struct member *home = home_find(members, NULL, service, 0);
	const struct member *next;

	if (!home || !has_just_started(gateway, home))
		return other_node(gateway, home);
	next = home_find_next(members, service, home->name);
	return other_node(gateway, next && !has_just_started(gateway, next)
					   ? next
					   : home);
}

/*
 * The node to ask for a limited endpoint: the one that grants them, or the next
 * one while that one is silent; NULL: none.
 */
static const struct member *
find_limit_home_to_ask(const struct gateway *gateway, const char *service)
{
	const struct member *home = find_limit_home(gateway, service);

	if (!home || gateway->now_us >= gateway->home_skipped_until_us ||
	    g_strcmp0(home->name, gateway->silent_home) != 0)
		return home;
	return other_node(gateway, home_find_next(gateway->host.members(
							  gateway->host.data),
						  service, home->name));
}

static enum rate_chooser find_limit_chooser(const struct gateway *gateway,
					    const char *service)
{
	if (!gateway->knows_limits || gateway_node_count(gateway) < 2)
		return RATE_EACH_NODE;
	if (!find_limit_home(gateway, service))
		return RATE_HOME;
	return gateway->now_us < gateway->home_skipped_until_us
		       ? RATE_HOME_SILENT
		       : RATE_BESIDE_HOME;
}

/*
 * Fills in how requests to the service's endpoints are limited. The description
 * of the service may be NULL.
 */
void gateway_fill_rates(const struct gateway *gateway, const char *name,
			const struct config_service *service,
			struct endpoint_rates *rates)
{
	*rates = (struct endpoint_rates){
		.fleet = gateway->fleet,
		.is_settled = rate_peak_is_settled(&gateway->fleet_peak,
						   gateway->now_us),
		.limit_chooser = find_limit_chooser(gateway, name),
	};
	if (!service || service->warmup_per_ks == 0)
		return;
	rates->warmup = (struct warmup_bounds){
		.rate_per_ks = service->warmup_per_ks,
		.excess_percent = gateway->options.warmup_excess_percent,
		.slack = gateway->options.warmup_slack,
	};
	rates->warmup_chooser = find_warmup_chooser(gateway, service);
	rates->cold_us = service->warmup_us;
}

/* Notes the live nodes, among which limits are divided. */
void gateway_update_fleet(struct gateway *gateway)
{
	gateway->fleet =
		rate_fleet_read(gateway->host.members(gateway->host.data),
				&gateway->fleet_peak, gateway->now_us);
	recent_starts_update(gateway->recent_starts,
			     gateway->host.members(gateway->host.data),
			     gateway->now_us);
}

static void set_home_address(struct gateway *gateway, const struct member *home)
{
	if (g_strcmp0(gateway->home_address, home->peer_address) == 0)
		return;
	g_free(gateway->home_address);
	gateway->home_address = g_strdup(home->peer_address);
}

/* Adds the ids of endpoints that want nothing from this node. */
static void add_resting(const struct exchange *exchange, GPtrArray *ids)
{
	const struct gateway *gateway = exchange->gateway;
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);
		const struct registration *entry = endpoint->last_registration;

		if (endpoint_rest_is_on(&endpoint->rest, gateway->now_us) &&
		    strcmp(entry->service, exchange->service_name) == 0)
			g_ptr_array_add(ids, g_strdup(entry->id));
	}
}

/* Fills what a request for an engine tells of the generation. */
static void fill_choose(const struct exchange *exchange,
			struct peer_choose *choose, uint64_t number)
{
	choose->number = number;
	choose->service = g_strdup(exchange->service_name);
	choose->tokens = exchange_held_tokens(exchange);
	for (guint i = 0; i < exchange->avoided_ids->len; i++)
		g_ptr_array_add(
			choose->avoid,
			g_strdup(g_ptr_array_index(exchange->avoided_ids, i)));
	add_resting(exchange, choose->avoid);
}

/* The request for an engine; the caller fills in what it is for. */
static struct peer_message *home_request_create(const struct exchange *exchange,
						uint64_t number)
{
	struct gateway *gateway = exchange->gateway;
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_CHOOSE);

	fill_choose(exchange, &message->choose, number);
	return message;
}

/* Whether the request may run in some regions only, unknown to the home. */
static bool exchange_is_bound(const struct exchange *exchange)
{
	return exchange->route->regions ||
	       (exchange->organisation && exchange->organisation->regions);
}

/*
 * Returns the home to ask for an engine, or NULL if this node has to choose
 * locally.
 */
const struct member *exchange_find_home(const struct exchange *exchange)
{
	const struct gateway *gateway = exchange->gateway;

	if (!exchange_is_generation(exchange) || exchange_is_bound(exchange) ||
	    gateway->now_us < gateway->home_skipped_until_us)
		return NULL;
	return gateway_find_home(gateway, exchange->service_name);
}

/* Sends a request for an engine, whose answer is found by its number. */
static void send_home_request(struct exchange *exchange,
			      struct home_request *request,
			      const struct member *home,
			      struct peer_message *message)
{
	struct gateway *gateway = exchange->gateway;

	set_home_address(gateway, home);
	if (request == &exchange->home_request) {
		g_free(exchange->asked_home);
		exchange->asked_home = g_strdup(home->name);
		exchange->homes_asked++;
	}
	request->number = message->choose.number;
	request->sent_us = gateway->now_us;
	g_hash_table_insert(gateway->home_requests, &request->number, exchange);
	gateway_send(gateway, home->peer_address, message);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_HOME_ASKED, 1);
}

/* Requests an endpoint to run the request. */
static void request_run(struct exchange *exchange, const struct member *home,
			enum choose_purpose purpose)
{
	struct gateway *gateway = exchange->gateway;
	struct peer_message *message =
		home_request_create(exchange, ++gateway->home_request_count);

	message->choose.failure_domain =
		g_strdup(gateway->options.failure_domain);
	message->choose.prompt_tokens = exchange->parsed_request.prompt_tokens;
	message->choose.purpose = purpose;
	send_home_request(exchange, &exchange->home_request, home, message);
}

static enum choose_purpose run_purpose(const struct exchange *exchange)
{
	bool is_deferrable = exchange_is_deferrable(exchange);

	if (exchange_wants_backup(exchange))
		return is_deferrable ? CHOOSE_DEFERRABLE_RUN_AND_BACKUP
				     : CHOOSE_RUN_AND_BACKUP;
	return is_deferrable ? CHOOSE_DEFERRABLE_RUN : CHOOSE_RUN;
}

/*
 * Fills a request for an engine that waits at the home, which gets the number
 * of the next request and this node's load from now on.
 */
void exchange_fill_run(struct exchange *exchange, struct peer_choose *choose,
		       const struct member *home)
{
	struct gateway *gateway = exchange->gateway;

	set_home_address(gateway, home);
	fill_choose(exchange, choose, ++gateway->home_request_count);
	choose->failure_domain = g_strdup(gateway->options.failure_domain);
	choose->prompt_tokens = exchange->parsed_request.prompt_tokens;
	choose->purpose = run_purpose(exchange);
}

/*
 * Requests an engine from the home; false if this node has to choose locally.
 */
bool exchange_request_home(struct exchange *exchange)
{
	const struct member *home = exchange_find_home(exchange);

	if (!home)
		return false;
	request_run(exchange, home, run_purpose(exchange));
	return true;
}

/*
 * Requests an endpoint from the node that grants requests to limited ones.
 * False if there is no other node to ask, or none that this request has not
 * asked: this node has to refuse the request.
 */
bool exchange_request_limited(struct exchange *exchange)
{
	const struct member *home;

	if (exchange_is_bound(exchange) ||
	    exchange->homes_asked >= MAX_HOMES_ASKED)
		return false;
	home = find_limit_home_to_ask(exchange->gateway,
				      exchange->service_name);
	if (!home || g_strcmp0(home->name, exchange->asked_home) == 0)
		return false;
	request_run(exchange, home, CHOOSE_RUN);
	return true;
}

/*
 * Requests the target of a move from the home; false if this node has to choose
 * locally.
 */
bool exchange_request_move_target(struct exchange *exchange)
{
	const struct member *home = exchange_find_home(exchange);
	const struct endpoint *engine = leg_endpoint(exchange->leg);
	struct peer_message *message;

	if (!home || !engine)
		return false;
	message = home_request_create(exchange,
				      ++exchange->gateway->home_request_count);
	message->choose.failure_domain =
		g_strdup(engine->last_registration->failure_domain);
	message->choose.purpose = CHOOSE_MOVE;
	g_ptr_array_add(message->choose.avoid,
			g_strdup(exchange->leg->endpoint_id));
	send_home_request(exchange, &exchange->move.home_request, home,
			  message);
	return true;
}

/* Stops waiting for an answer of the home, if one is awaited. */
void exchange_cancel_home_request(struct exchange *exchange,
				  struct home_request *request)
{
	if (request->number == 0)
		return;
	g_hash_table_remove(exchange->gateway->home_requests, &request->number);
	request->number = 0;
}

/*
 * Returns whether the home's answer has timed out, and stops waiting for it
 * then. No requests go to the home for a while.
 */
bool exchange_home_timed_out(struct exchange *exchange,
			     struct home_request *request)
{
	struct gateway *gateway = exchange->gateway;

	if (gateway->now_us - request->sent_us <= HOME_ANSWER_TIMEOUT_US)
		return false;
	if (gateway->home_skipped_until_us < gateway->now_us)
		log_write(gateway->log, LOG_LEVEL_WARN, "home_silent",
			  "address", gateway->home_address, NULL);
	if (request == &exchange->home_request) {
		g_free(gateway->silent_home);
		gateway->silent_home = g_strdup(exchange->asked_home);
	}
	gateway->home_skipped_until_us = gateway->now_us + HOME_SKIP_US;
	counters_add(gateway->options.counters, COUNTER_GATEWAY_HOME_SILENT, 1);
	exchange_cancel_home_request(exchange, request);
	return true;
}

/*
 * The highest number up to which no request of this node to a home waits for
 * an answer any more.
 */
uint64_t gateway_home_answered(const struct gateway *gateway)
{
	uint64_t answered = gateway->home_request_count;
	GHashTableIter iter;
	gpointer number;

	g_hash_table_iter_init(&iter, gateway->home_requests);
	while (g_hash_table_iter_next(&iter, &number, NULL))
		answered = MIN(answered, *(const uint64_t *)number - 1);
	return answered;
}

/*
 * Expires grants and sends changes of this node's load to the home, at most
 * once per interval and independently of the announcements to all nodes.
 */
void gateway_home_step(struct gateway *gateway)
{
	engine_grants_expire(gateway->grants, gateway->now_us);
	if (!gateway->home_address || !gateway->home_announce_pending ||
	    gateway->now_us - gateway->home_announced_us <
		    HOME_ANNOUNCE_INTERVAL_US)
		return;
	gateway->home_announce_pending = false;
	gateway->home_announced_us = gateway->now_us;
	gateway_send(gateway, gateway->home_address,
		     gateway_create_standing(gateway));
}

static bool is_deferrable(enum choose_purpose purpose)
{
	return purpose == CHOOSE_DEFERRABLE_RUN ||
	       purpose == CHOOSE_DEFERRABLE_RUN_AND_BACKUP;
}

static bool wants_backup(enum choose_purpose purpose)
{
	return purpose == CHOOSE_RUN_AND_BACKUP ||
	       purpose == CHOOSE_DEFERRABLE_RUN_AND_BACKUP;
}

/*
 * Fills the criteria for what another node asked for. A deferrable request is
 * due within begin_within_us; 0: at any time.
 */
static void fill_criteria(struct gateway *gateway,
			  const struct peer_choose *choose,
			  const struct config_service *service,
			  int64_t begin_within_us,
			  struct endpoint_criteria *criteria)
{
	*criteria = (struct endpoint_criteria){
		.service = choose->service,
		.engine = service ? &service->engine : NULL,
		.failure_domain = choose->failure_domain,
		.avoid = choose->avoid,
		.is_for_other = true,
		.tokens = choose->tokens,
		.now_us = gateway->now_us,
		.draw = g_rand_double(gateway->random),
	};
	criteria->gives_way =
		gateway->table &&
		route_table_gives_way(gateway->table, choose->service);
	if (is_deferrable(choose->purpose)) {
		criteria->reserved_share =
			gateway_headroom_share(gateway, choose->service);
		criteria->prompt_tokens = choose->prompt_tokens;
		criteria->begin_within_us = begin_within_us;
	}
	gateway_fill_rates(gateway, choose->service, service, &criteria->rates);
	gateway_speed_fill(gateway, criteria,
			   gateway_speed_pause_bound_us(gateway, choose));
}

static const struct config_service *
find_service(const struct gateway *gateway, const struct peer_choose *choose)
{
	return gateway->table ? route_table_find_service(gateway->table,
							 choose->service)
			      : NULL;
}

/* Chooses what another node asked for; either engine may be NULL. */
static struct engine_choice choose_for(struct gateway *gateway,
				       const struct peer_choose *choose,
				       int64_t begin_within_us)
{
	struct endpoint_criteria criteria;
	struct engine_choice choice = {NULL, NULL};

	fill_criteria(gateway, choose, find_service(gateway, choose),
		      begin_within_us, &criteria);
	if (choose->purpose == CHOOSE_MOVE) {
		criteria.other_domain_weight = MOVE_OTHER_DOMAIN_WEIGHT;
		choice.copy =
			endpoint_choose_for_move(gateway->registry, &criteria);
		if (choice.copy)
			endpoint_rates_count(choice.copy, &criteria.rates,
					     gateway->now_us);
		return choice;
	}
	choice.run = endpoint_choose(gateway->registry, &criteria);
	if (!choice.run)
		return choice;
	endpoint_rates_count(choice.run, &criteria.rates, gateway->now_us);
	if (wants_backup(choose->purpose)) {
		criteria.avoid_id = choice.run->last_registration->id;
		choice.copy =
			endpoint_choose_backup(gateway->registry, &criteria);
	}
	return choice;
}

/* Returns the id of an engine, or NULL without one. */
static const char *engine_id(const struct endpoint *engine)
{
	return engine ? engine->last_registration->id : NULL;
}

static void send_choice(struct gateway *gateway, const char *address,
			const struct peer_choose *choose,
			const struct engine_choice *choice)
{
	struct peer_message *answer =
		gateway->host.message(gateway->host.data, PEER_CHOSEN);
	bool is_move = choose->purpose == CHOOSE_MOVE;
	const char *endpoint = engine_id(is_move ? choice->copy : choice->run);
	const char *backup = is_move ? NULL : engine_id(choice->copy);

	answer->chosen.number = choose->number;
	answer->chosen.endpoint = g_strdup(endpoint ? endpoint : "");
	answer->chosen.backup = g_strdup(backup ? backup : "");
	gateway_send(gateway, address, answer);
}

/* Counts what this node chose for another one. */
static void count_choice(struct gateway *gateway, const char *node,
			 const struct peer_choose *choose,
			 const struct engine_choice *choice)
{
	const struct engine_grant grant = {
		.node = node,
		.number = choose->number,
		.endpoint_id = engine_id(choice->run),
		.backup_id = engine_id(choice->copy),
		.tokens = choose->tokens,
		.prompt_tokens = choose->prompt_tokens,
	};

	engine_grants_add(gateway->grants, &grant, gateway->now_us);
}

/* Whether an engine has room for another node's request, in time or not. */
bool gateway_home_has_room(struct gateway *gateway,
			   const struct peer_choose *choose)
{
	struct endpoint_criteria criteria;

	fill_criteria(gateway, choose, find_service(gateway, choose), 0,
		      &criteria);
	return endpoint_choose(gateway->registry, &criteria) != NULL;
}

/*
 * Grants an engine to another node's request that waits, whose first event is
 * due within wait_us. Returns false if there is none for it.
 */
bool gateway_home_grant(struct gateway *gateway,
			const struct peer_message *await, int64_t wait_us)
{
	const struct peer_choose *choose = &await->await.choose;
	const struct engine_choice choice =
		choose_for(gateway, choose, wait_us);

	if (!choice.run)
		return false;
	send_choice(gateway, await->from_address, choose, &choice);
	count_choice(gateway, await->from, choose, &choice);
	return true;
}

/*
 * Answers another node's request for an engine. There is no answer if this node
 * knows no usable engine: it may have just started, and a refusal would be
 * passed to the caller.
 */
void gateway_home_receive_request(struct gateway *gateway,
				  const struct peer_message *message)
{
	const struct peer_choose *choose = &message->choose;
	struct engine_choice choice;

	if (registry_count_usable(gateway->registry, choose->service) == 0)
		return;
	if (choose->purpose != CHOOSE_MOVE)
		gateway_waiting_grant(gateway, choose->service);
	choice = choose_for(gateway, choose,
			    gateway->table
				    ? route_table_deferrable_begin_us(
					      gateway->table, choose->service)
				    : 0);
	send_choice(gateway, message->from_address, choose, &choice);
	if (choice.run || choice.copy)
		count_choice(gateway, message->from, choose, &choice);
}

static bool is_tried(const struct exchange *exchange, const char *id)
{
	return g_ptr_array_find_with_equal_func(exchange->avoided_ids, id,
						g_str_equal, NULL);
}

/*
 * Sends a request to the engine that the home chose. One that is unknown here,
 * of another service, not usable, resting or already tried is replaced by a
 * local choice, as this node's data on it may be newer than the home's.
 */
static void apply_choice(struct exchange *exchange,
			 const struct peer_chosen *chosen)
{
	struct endpoint *endpoint =
		registry_find(exchange->gateway->registry, chosen->endpoint);

	if (!*chosen->endpoint) {
		if (!exchange_asks_other_home(exchange))
			exchange_send_or_refuse(exchange, NULL);
	} else if (!endpoint ||
		   !endpoint_serves(endpoint, exchange->service_name) ||
		   !endpoint_is_usable(endpoint) ||
		   endpoint_rest_is_on(&endpoint->rest,
				       exchange->gateway->now_us) ||
		   is_tried(exchange, chosen->endpoint)) {
		exchange_send_local_choice(exchange);
	} else {
		g_free(exchange->home_backup_id);
		exchange->home_backup_id = g_strdup(chosen->backup);
		exchange->is_granted = true;
		exchange_send_or_refuse(exchange, endpoint);
	}
}

/* Applies the home's answer to a request of this node that still waits. */
void gateway_home_receive_answer(struct gateway *gateway,
				 const struct peer_message *message)
{
	const struct peer_chosen *chosen = &message->chosen;
	struct exchange *exchange =
		g_hash_table_lookup(gateway->home_requests, &chosen->number);

	if (!exchange) {
		exchange = gateway_waiting_take(gateway, chosen->number);
		if (exchange)
			apply_choice(exchange, chosen);
		return;
	}
	if (exchange->move.home_request.number == chosen->number) {
		exchange_cancel_home_request(exchange,
					     &exchange->move.home_request);
		exchange_move_apply_target(exchange, chosen->endpoint);
		return;
	}
	exchange_cancel_home_request(exchange, &exchange->home_request);
	apply_choice(exchange, chosen);
}
