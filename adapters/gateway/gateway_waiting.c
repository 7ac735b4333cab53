#include "adapters/gateway/exchange_state.h"
#include "adapters/gateway/wait_log.h"
#include "core/gateway/wait_query.h"
#include "core/gateway/wait_room.h"

#include <string.h>

/*
 * Generations that wait until an engine has room, at services with mixed
 * urgency. The home of the service queues them for all nodes, so that capacity
 * goes to the most urgent one; a node without a home has its own queue.
 * docs/design/waiting-room.md tells what happens to them.
 */

/* A home repeats this often that a request of another node waits. */
#define TELL_INTERVAL_US (500 * 1000)

/*
 * A home that has said nothing for this long is lost. One lost packet is no
 * reason: the link sends notices again until they are confirmed.
 */
#define HOME_SILENT_US (700 * 1000)

/* How often each request looks whether another node is its home now. */
#define HOME_CHECK_INTERVAL_US (200 * 1000)

/*
 * A home that stops refuses with this time, which no forecast gives: nodes ask
 * the next home instead of refusing.
 */
#define ASK_NEXT_HOME_US (100 * 1000)

/*
 * Loads are compared at most this often for reports of other nodes and for new
 * requests: 480 nodes send ten reports a second each.
 */
#define SAMPLE_INTERVAL_US (5 * 1000)

/*
 * The same while nothing waits: only the forecast needs the loads then, in
 * slots of this length.
 */
#define IDLE_SAMPLE_INTERVAL_US (100 * 1000)

/* The requests of one service that wait at this node. */
struct service_queue {
	struct wait_room *room;
	char *service;
	int64_t sampled_us;
	bool is_tried;	  /* nothing that waits fits, and no load has fallen */
	bool is_granting; /* a grant may lead here again */
};

/* A request that waits here, or a request of this node at its home. */
struct waiter {
	struct gateway *gateway;
	struct exchange *exchange;   /* NULL: of another node */
	struct service_queue *queue; /* NULL: at its home */
	struct wait_ticket *ticket;  /* in the queue */
	uint64_t number;	     /* at its home */
	char *home;		     /* name; NULL: in this node's queue */
	char *home_address;
	int64_t heard_us; /* of the home */
	int64_t checked_us;
	struct peer_message *request; /* of another node */
	int64_t due_us;		      /* its first event */
	int64_t told_us;	      /* that node, that it waits */
};

struct waiting {
	GHashTable *queues; /* service to struct service_queue */
	GHashTable *own;    /* set of struct waiter with an exchange */
	GHashTable *asked;  /* number to struct waiter at its home */
	GPtrArray *others;  /* struct waiter of other nodes */
};

static void service_queue_free(gpointer data)
{
	struct service_queue *queue = data;

	wait_room_destroy(queue->room);
	g_free(queue->service);
	g_free(queue);
}

static void waiter_free(struct waiter *waiter)
{
	if (waiter->exchange) {
		waiter->exchange->waiter = NULL;
		counters_add(waiter->gateway->options.counters,
			     COUNTER_GATEWAY_WAITS_OVER, 1);
	}
	peer_message_destroy(waiter->request);
	g_free(waiter->home);
	g_free(waiter->home_address);
	g_free(waiter);
}

/* Prepares the queues of a new gateway. */
void gateway_waiting_init(struct gateway *gateway)
{
	struct waiting *waiting = g_new0(struct waiting, 1);

	waiting->queues = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_queue_free);
	waiting->own = g_hash_table_new(NULL, NULL);
	waiting->asked = g_hash_table_new(g_int64_hash, g_int64_equal);
	waiting->others = g_ptr_array_new();
	gateway->waiting = waiting;
}

/* Frees the queues without a word to other nodes, whose grants expire. */
void gateway_waiting_clear(struct gateway *gateway)
{
	struct waiting *waiting = gateway->waiting;
	GHashTableIter iter;
	gpointer waiter;

	g_hash_table_iter_init(&iter, waiting->own);
	while (g_hash_table_iter_next(&iter, &waiter, NULL))
		waiter_free(waiter);
	for (guint i = 0; i < waiting->others->len; i++)
		waiter_free(g_ptr_array_index(waiting->others, i));
	g_hash_table_unref(waiting->own);
	g_hash_table_unref(waiting->asked);
	g_ptr_array_unref(waiting->others);
	g_hash_table_unref(waiting->queues);
	g_free(waiting);
}

static bool gives_way(const struct gateway *gateway, const char *service)
{
	return gateway->table && route_table_gives_way(gateway->table, service);
}

static struct service_queue *find_queue(struct gateway *gateway,
					const char *service)
{
	struct service_queue *queue =
		g_hash_table_lookup(gateway->waiting->queues, service);

	if (!queue && gives_way(gateway, service)) {
		queue = g_new0(struct service_queue, 1);
		queue->room = wait_room_create();
		queue->service = g_strdup(service);
		g_hash_table_insert(gateway->waiting->queues, queue->service,
				    queue);
	}
	return queue;
}

static void send_notice(struct gateway *gateway, enum peer_message_type type,
			const char *address, uint64_t number)
{
	struct peer_message *notice =
		gateway->host.message(gateway->host.data, type);

	notice->wait_notice.number = number;
	gateway_send(gateway, address, notice);
}

static void send_unavailable(struct gateway *gateway,
			     const struct peer_message *request,
			     int64_t retry_after_us)
{
	struct peer_message *answer =
		gateway->host.message(gateway->host.data, PEER_UNAVAILABLE);

	answer->unavailable.number = request->await.choose.number;
	answer->unavailable.retry_after_us = retry_after_us;
	gateway_send(gateway, request->from_address, answer);
}

static void refuse(struct exchange *exchange, int64_t retry_after_us)
{
	struct gateway *gateway = exchange->gateway;

	if (retry_after_us < 0)
		retry_after_us =
			retry_after_full_us(exchange->route->first_answer_us,
					    g_rand_double(gateway->random));
	counters_add(gateway->options.counters, COUNTER_GATEWAY_NOT_IN_TIME, 1);
	exchange_refuse(exchange, 503, retry_after_us, "no_room_in_time");
}

/* Takes the waiter out of all lists and frees it, without a record. */
static void waiter_end(struct waiter *waiter)
{
	struct waiting *waiting = waiter->gateway->waiting;

	if (waiter->ticket)
		wait_room_withdraw(waiter->queue->room, waiter->ticket);
	if (waiter->home)
		g_hash_table_remove(waiting->asked, &waiter->number);
	if (waiter->exchange)
		g_hash_table_remove(waiting->own, waiter);
	else
		g_ptr_array_remove_fast(waiting->others, waiter);
	waiter_free(waiter);
}

/* The request waits no longer: its caller left, or it goes elsewhere. */
void exchange_stop_waiting(struct exchange *exchange)
{
	struct waiter *waiter = exchange->waiter;

	if (!waiter)
		return;
	if (waiter->home)
		send_notice(waiter->gateway, PEER_WITHDRAW,
			    waiter->home_address, waiter->number);
	waiter_end(waiter);
}

/* Shifts the timers after a pause of this process of paused_us. */
void exchange_excuse_waiting(struct exchange *exchange, int64_t paused_us)
{
	if (exchange->waiter)
		exchange->waiter->heard_us += paused_us;
}

static const char *organisation_name(const struct exchange *exchange)
{
	return exchange->organisation ? exchange->organisation->name : "";
}

/* The organisation's rank, if it has one, goes before the route's. */
static int32_t find_rank(const struct exchange *exchange)
{
	int32_t rank = exchange->route->priority;

	if (exchange->organisation &&
	    exchange->organisation->route_priority >= 0)
		rank = exchange->organisation->route_priority;
	return CLAMP(rank, 0, WAIT_ROOM_RANKS - 1);
}

static struct waiter *waiter_create(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->gateway = gateway;
	waiter->exchange = exchange;
	waiter->heard_us = gateway->now_us;
	waiter->checked_us = gateway->now_us;
	exchange->waiter = waiter;
	if (!exchange->waits_since_us)
		exchange->waits_since_us = gateway->now_us;
	g_hash_table_add(gateway->waiting->own, waiter);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_WAITS, 1);
	return waiter;
}

static void log_waits(const struct exchange *exchange, const char *at,
		      uint64_t number)
{
	char due[24], text[24];

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
	g_snprintf(due, sizeof(due), "%" G_GINT64_FORMAT,
		   (exchange_first_event_due_us(exchange) -
		    exchange->gateway->now_us) /
			   1000);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "request_waits",
		  "request", exchange->parsed_request.id, "service",
		  exchange->service_name, "at", at, "number", text, "due_in_ms",
		  due, NULL);
}

static void ask_home(struct exchange *exchange, const struct member *home)
{
	struct gateway *gateway = exchange->gateway;
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_AWAIT);
	struct waiter *waiter = waiter_create(exchange);

	exchange_fill_run(exchange, &message->await.choose, home);
	message->await.organisation = g_strdup(organisation_name(exchange));
	message->await.rank = find_rank(exchange);
	message->await.wait_us =
		MAX(exchange_first_event_due_us(exchange) - gateway->now_us, 0);
	waiter->home = g_strdup(home->name);
	waiter->home_address = g_strdup(home->peer_address);
	waiter->number = message->await.choose.number;
	g_hash_table_insert(gateway->waiting->asked, &waiter->number, waiter);
	log_waits(exchange, home->name, waiter->number);
	gateway_send(gateway, waiter->home_address, message);
}

/* Asks the queue to admit the request; returns whether it waits. */
static bool admit(struct waiter *waiter, const struct wait_request *request,
		  int64_t *retry_after_us)
{
	struct gateway *gateway = waiter->gateway;
	struct wait_room *room = waiter->queue->room;
	const struct peer_message *asked = waiter->request;
	struct wait_decision decision = {
		.from = asked ? asked->from : gateway->options.node_name,
		.number = asked ? asked->await.choose.number : 0,
		.service = waiter->queue->service,
		.request = request,
	};

	if (request->is_deferrable)
		decision.reserved_share =
			gateway_headroom_share(gateway, decision.service);
	wait_room_forecast(room, request, gateway->now_us, &decision.forecast);
	waiter->ticket =
		wait_room_admit(room, request, gateway->now_us, retry_after_us);
	decision.is_admitted = waiter->ticket != NULL;
	wait_log_decision(&decision, gateway->log);
	return decision.is_admitted;
}

/* Refuses the request at once if the forecast says that it is too late. */
static void wait_here(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct service_queue *queue =
		find_queue(gateway, exchange->service_name);
	struct waiter *waiter = waiter_create(exchange);
	const struct wait_request request = {
		.organisation = organisation_name(exchange),
		.weight = exchange->organisation
				  ? exchange->organisation->weight
				  : 1,
		.rank = find_rank(exchange),
		.is_deferrable = exchange_is_deferrable(exchange),
		.is_restricted = exchange->avoided_ids->len > 0 ||
				 exchange->route->regions ||
				 (exchange->organisation &&
				  exchange->organisation->regions),
		.tokens = exchange_held_tokens(exchange),
		.prompt_tokens = exchange->parsed_request.prompt_tokens,
		.due_us = exchange_first_event_due_us(exchange),
		.owner = waiter,
	};
	int64_t retry_after_us;

	waiter->queue = queue;
	if (admit(waiter, &request, &retry_after_us)) {
		log_waits(exchange, gateway->options.node_name, 0);
		return;
	}
	waiter_end(waiter);
	refuse(exchange, retry_after_us);
}

/*
 * Lets a generation wait for which no engine has room, or refuses it at once.
 * Returns false if requests of its service don't wait.
 */
bool exchange_wait(struct exchange *exchange)
{
	const struct member *home;

	if (!exchange_is_generation(exchange) ||
	    exchange->route->kind != ROUTE_STREAM ||
	    exchange->route->first_answer_us <= 0 ||
	    !gives_way(exchange->gateway, exchange->service_name))
		return false;
	home = exchange_find_home(exchange);
	if (home)
		ask_home(exchange, home);
	else
		wait_here(exchange);
	return true;
}

static void log_granted(const struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	int64_t waited_us = gateway->now_us - exchange->waits_since_us;
	char waited[24];

	g_snprintf(waited, sizeof(waited), "%" G_GINT64_FORMAT,
		   waited_us / 1000);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_WAITS_GRANTED,
		     1);
	counters_add_latency(gateway->options.counters,
			     exchange_is_deferrable(exchange)
				     ? LATENCY_WAIT_DEFERRABLE
				     : LATENCY_WAIT_URGENT,
			     waited_us);
	log_write(gateway->log, LOG_LEVEL_INFO, "request_granted", "request",
		  exchange->parsed_request.id, "waited_ms", waited, NULL);
}

/* Whether the key that was valid when the request arrived still is. */
static bool is_authorised(const struct exchange *exchange)
{
	const struct route_table *table = exchange->gateway->table;

	return exchange->route->is_public ||
	       !route_table_requires_keys(table) ||
	       (exchange->parsed_request.key &&
		route_table_find_organisation(table,
					      exchange->parsed_request.key));
}

/* Returns false if the request was refused, as its key was revoked. */
static bool accept_grant(struct exchange *exchange)
{
	if (is_authorised(exchange)) {
		log_granted(exchange);
		return true;
	}
	exchange_refuse(exchange, 401, -1, "unknown_key");
	return false;
}

/*
 * Returns the request of this number that waited at its home, to be sent to an
 * engine that the home granted. NULL: it waits no longer, or was refused.
 */
struct exchange *gateway_waiting_take(struct gateway *gateway, uint64_t number)
{
	struct waiter *waiter =
		g_hash_table_lookup(gateway->waiting->asked, &number);
	struct exchange *exchange;

	if (!waiter)
		return NULL;
	exchange = waiter->exchange;
	waiter_end(waiter);
	return accept_grant(exchange) ? exchange : NULL;
}

static struct endpoint *choose_engine(const struct exchange *exchange,
				      bool in_time)
{
	struct endpoint_criteria criteria;

	exchange_fill_criteria(exchange, &criteria);
	if (!in_time)
		criteria.begin_within_us = 0;
	return endpoint_choose(exchange->gateway->registry, &criteria);
}

/* Whether an engine has room for the request, in time or not. */
static bool has_room(const struct waiter *waiter)
{
	const struct peer_message *request = waiter->request;

	return request ? gateway_home_has_room(waiter->gateway,
					       &request->await.choose)
		       : choose_engine(waiter->exchange, false) != NULL;
}

/* Places the request if an engine has room; the waiter is gone then. */
static bool place(struct waiter *waiter)
{
	struct gateway *gateway = waiter->gateway;
	struct exchange *exchange = waiter->exchange;
	struct wait_room *room = waiter->queue->room;
	const struct peer_message *request = waiter->request;
	struct endpoint *engine = NULL;

	if (exchange)
		engine = choose_engine(exchange, true);
	if (exchange ? !engine
		     : !gateway_home_grant(gateway, request,
					   waiter->due_us - gateway->now_us))
		return false;
	wait_room_grant(room, g_steal_pointer(&waiter->ticket));
	waiter_end(waiter);
	if (exchange && accept_grant(exchange))
		exchange_send_or_refuse(exchange, engine);
	return true;
}

/* Compares loads with the last time; returns whether any has fallen. */
static bool sample_load(struct gateway *gateway, struct service_queue *queue)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	int64_t freed = 0;

	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);
		int64_t tokens;

		if (strcmp(endpoint->last_registration->service,
			   queue->service) != 0)
			continue;
		tokens = endpoint_total_load(endpoint).tokens;
		if (endpoint_is_usable(endpoint))
			freed += MAX(endpoint->sampled_tokens - tokens, 0);
		endpoint->sampled_tokens = tokens;
	}
	queue->sampled_us = gateway->now_us;
	wait_room_note_freed(queue->room, freed, gateway->now_us);
	return freed > 0;
}

/* Grants all that fits, in the order of the queue. */
static void grant(struct gateway *gateway, struct service_queue *queue)
{
	struct wait_ticket *ticket;
	bool is_granted = false;

	if (queue->is_granting || wait_room_length(queue->room) == 0)
		return;
	queue->is_granting = true;
	wait_room_begin_round(queue->room);
	while ((ticket = wait_room_next(queue->room, gateway->now_us))) {
		struct waiter *waiter = wait_ticket_owner(ticket);

		if (place(waiter))
			is_granted = true;
		else if (has_room(waiter))
			wait_room_pass_over_one(queue->room, ticket);
		else
			wait_room_pass_over(queue->room, ticket);
	}
	queue->is_granting = false;
	queue->is_tried = true;
	/* The load that was added here must count when it falls. */
	if (is_granted)
		sample_load(gateway, queue);
}

static void grant_if_freed(struct gateway *gateway, struct service_queue *queue)
{
	if (gateway->now_us - queue->sampled_us < SAMPLE_INTERVAL_US)
		return;
	if (sample_load(gateway, queue))
		queue->is_tried = false;
	if (!queue->is_tried)
		grant(gateway, queue);
}

/*
 * Grants capacity that has become free to what waits, before a new request of
 * the service looks for it.
 */
void gateway_waiting_grant(struct gateway *gateway, const char *service)
{
	struct service_queue *queue = find_queue(gateway, service);

	if (queue)
		grant_if_freed(gateway, queue);
}

/* The loads that other nodes announce may have fallen. */
void gateway_waiting_note_load(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer queue;

	g_hash_table_iter_init(&iter, gateway->waiting->queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue)) {
		if (wait_room_length(((struct service_queue *)queue)->room) > 0)
			grant_if_freed(gateway, queue);
	}
}

static void turn_away(struct waiter *waiter, int64_t retry_after_us)
{
	struct exchange *exchange = waiter->exchange;

	if (!exchange)
		send_unavailable(waiter->gateway, waiter->request,
				 retry_after_us);
	waiter_end(waiter);
	if (exchange)
		refuse(exchange, retry_after_us);
}

static void turn_away_late(struct gateway *gateway, struct service_queue *queue)
{
	struct wait_ticket *ticket;

	while ((ticket = wait_room_expired(queue->room, gateway->now_us)))
		turn_away(wait_ticket_owner(ticket),
			  wait_room_retry_after_us(queue->room, ticket,
						   gateway->now_us));
}

/* Places or refuses all at once: the service has no mixed urgency any more. */
static void dissolve(struct service_queue *queue)
{
	struct wait_ticket *ticket;

	while ((ticket = wait_room_first(queue->room))) {
		struct waiter *waiter = wait_ticket_owner(ticket);

		if (!place(waiter))
			turn_away(waiter, -1);
	}
}

static void step_queue(struct gateway *gateway, struct service_queue *queue)
{
	turn_away_late(gateway, queue);
	if (!gives_way(gateway, queue->service)) {
		dissolve(queue);
		g_hash_table_remove(gateway->waiting->queues, queue->service);
		return;
	}
	if (wait_room_length(queue->room) == 0 &&
	    gateway->now_us - queue->sampled_us < IDLE_SAMPLE_INTERVAL_US)
		return;
	sample_load(gateway, queue);
	grant(gateway, queue);
}

static void step_queues(struct gateway *gateway)
{
	GList *queues = g_hash_table_get_values(gateway->waiting->queues);

	for (GList *item = queues; item; item = item->next)
		step_queue(gateway, item->data);
	g_list_free(queues);
}

/* Tells other nodes that their requests wait, or to ask the next home. */
static void step_others(struct gateway *gateway)
{
	GPtrArray *others = gateway->waiting->others;

	for (guint i = others->len; i-- > 0;) {
		struct waiter *waiter = g_ptr_array_index(others, i);

		if (gateway->drain_since_us) {
			turn_away(waiter, ASK_NEXT_HOME_US);
		} else if (gateway->now_us - waiter->told_us >=
			   TELL_INTERVAL_US) {
			waiter->told_us = gateway->now_us;
			send_notice(gateway, PEER_WAITING,
				    waiter->request->from_address,
				    waiter->request->await.choose.number);
		}
	}
}

static void log_moved(const struct exchange *exchange, const char *reason)
{
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "wait_moved",
		  "request", exchange->parsed_request.id, "reason", reason,
		  NULL);
}

/*
 * Asks the home that there is now, or decides here if there is none or it is
 * to be skipped for skip_us.
 */
static void ask_anew(struct exchange *exchange, const char *reason,
		     int64_t skip_us)
{
	struct gateway *gateway = exchange->gateway;

	log_moved(exchange, reason);
	exchange_stop_waiting(exchange);
	gateway->home_skipped_until_us =
		MAX(gateway->home_skipped_until_us, gateway->now_us + skip_us);
	if (exchange_find_home(exchange))
		exchange_wait(exchange);
	else
		exchange_send_local_choice(exchange);
}

static bool is_silent(const struct waiter *waiter)
{
	return waiter->gateway->now_us - waiter->heard_us > HOME_SILENT_US;
}

/* Looks for another home, once in a while. */
static void check_home(struct waiter *waiter)
{
	struct gateway *gateway = waiter->gateway;
	struct exchange *exchange = waiter->exchange;
	const struct member *home;

	if (gateway->now_us - waiter->checked_us < HOME_CHECK_INTERVAL_US)
		return;
	waiter->checked_us = gateway->now_us;
	home = waiter->home ? gateway_find_home(gateway, exchange->service_name)
			    : exchange_find_home(exchange);
	if (g_strcmp0(home ? home->name : NULL, waiter->home) != 0)
		ask_anew(exchange, "home", 0);
}

static void step_own(struct gateway *gateway)
{
	guint count;
	gpointer *waiters =
		g_hash_table_get_keys_as_array(gateway->waiting->own, &count);

	for (guint i = 0; i < count; i++) {
		struct waiter *waiter = waiters[i];

		if (!g_hash_table_contains(gateway->waiting->own, waiter))
			continue;
		if (waiter->home && is_silent(waiter)) {
			const struct member *home = gateway_find_home(
				gateway, waiter->exchange->service_name);
			bool is_same =
				home && strcmp(home->name, waiter->home) == 0;

			ask_anew(waiter->exchange, "silent",
				 is_same ? HOME_SKIP_US : 0);
		} else {
			check_home(waiter);
		}
	}
	g_free(waiters);
}

/* Grants, refuses late requests, and looks after those at other nodes. */
void gateway_waiting_step(struct gateway *gateway)
{
	step_queues(gateway);
	step_others(gateway);
	step_own(gateway);
}

static struct waiter *find_other(const struct gateway *gateway,
				 const char *node, uint64_t number)
{
	const GPtrArray *others = gateway->waiting->others;

	for (guint i = 0; i < others->len; i++) {
		struct waiter *waiter = g_ptr_array_index(others, i);

		if (waiter->request->await.choose.number == number &&
		    strcmp(waiter->request->from, node) == 0)
			return waiter;
	}
	return NULL;
}

/* Lets another node's request wait here, or refuses it. */
static void admit_other(struct gateway *gateway,
			const struct peer_message *message)
{
	const struct peer_await *await = &message->await;
	struct service_queue *queue =
		find_queue(gateway, await->choose.service);
	struct waiter *waiter = g_new0(struct waiter, 1);
	const struct wait_request request = {
		.organisation = await->organisation,
		.weight = route_table_find_weight(gateway->table,
						  await->organisation),
		.rank = await->rank,
		.is_deferrable =
			await->choose.purpose == CHOOSE_DEFERRABLE_RUN ||
			await->choose.purpose ==
				CHOOSE_DEFERRABLE_RUN_AND_BACKUP,
		.is_restricted = await->choose.avoid->len > 0,
		.tokens = await->choose.tokens,
		.prompt_tokens = await->choose.prompt_tokens,
		.due_us = gateway->now_us + await->wait_us,
		.owner = waiter,
	};
	int64_t retry_after_us;

	waiter->gateway = gateway;
	waiter->queue = queue;
	waiter->request = peer_message_copy_await(message);
	waiter->due_us = request.due_us;
	waiter->told_us = gateway->now_us;
	g_ptr_array_add(gateway->waiting->others, waiter);
	if (admit(waiter, &request, &retry_after_us))
		send_notice(gateway, PEER_WAITING, message->from_address,
			    await->choose.number);
	else
		turn_away(waiter, retry_after_us);
}

/*
 * A node that knows no usable engine may have just started, and says nothing:
 * the other node decides by itself.
 */
static void receive_await(struct gateway *gateway,
			  const struct peer_message *message)
{
	const struct peer_choose *choose = &message->await.choose;

	if (registry_count_usable(gateway->registry, choose->service) == 0 ||
	    find_other(gateway, message->from, choose->number))
		return;
	if (gateway->drain_since_us) {
		send_unavailable(gateway, message, ASK_NEXT_HOME_US);
		return;
	}
	gateway_waiting_grant(gateway, choose->service);
	if (gateway_home_grant(gateway, message, message->await.wait_us))
		return;
	if (gives_way(gateway, choose->service))
		admit_other(gateway, message);
	else
		send_unavailable(gateway, message, -1);
}

static void receive_unavailable(struct waiter *waiter, int64_t retry_after_us)
{
	struct exchange *exchange = waiter->exchange;
	const struct member *home;
	bool is_same;

	if (retry_after_us != ASK_NEXT_HOME_US) {
		waiter_end(waiter);
		refuse(exchange, retry_after_us);
		return;
	}
	home = gateway_find_home(waiter->gateway, exchange->service_name);
	is_same = home && strcmp(home->name, waiter->home) == 0;
	ask_anew(exchange, "draining", is_same ? ASK_NEXT_HOME_US : 0);
}

/*
 * Receives a record about a request that waits: at this node for another one,
 * or the other way round. One about a request that waits no longer is dropped.
 */
void gateway_waiting_receive(struct gateway *gateway,
			     const struct peer_message *message)
{
	struct waiter *waiter;

	switch (message->type) {
	case PEER_AWAIT:
		receive_await(gateway, message);
		break;
	case PEER_WITHDRAW:
		waiter = find_other(gateway, message->from,
				    message->wait_notice.number);
		if (waiter)
			waiter_end(waiter);
		break;
	case PEER_WAITING:
		waiter = g_hash_table_lookup(gateway->waiting->asked,
					     &message->wait_notice.number);
		if (waiter)
			waiter->heard_us = gateway->now_us;
		break;
	case PEER_UNAVAILABLE:
		waiter = g_hash_table_lookup(gateway->waiting->asked,
					     &message->unavailable.number);
		if (waiter)
			receive_unavailable(
				waiter, message->unavailable.retry_after_us);
		break;
	default:
		break;
	}
}

/* Number of requests of all nodes that wait in this node's queues. */
guint gateway_waiting_count(const struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer queue;
	guint count = 0;

	g_hash_table_iter_init(&iter, gateway->waiting->queues);
	while (g_hash_table_iter_next(&iter, NULL, &queue))
		count +=
			wait_room_length(((struct service_queue *)queue)->room);
	return count;
}

static struct wait_owner name_owner(const void *data)
{
	const struct waiter *waiter = data;

	return waiter->exchange
		       ? (struct wait_owner){waiter->exchange->parsed_request
						     .id,
					     waiter->gateway->options.node_name}
		       : (struct wait_owner){"", waiter->request->from};
}

/* Appends to the actions what waits here, and this node's requests at homes. */
void gateway_waiting_answer_query(const struct gateway *gateway, uint64_t call,
				  struct action_list *actions)
{
	struct wait_query *query = wait_query_begin();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, gateway->waiting->queues);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct service_queue *queue = item;

		wait_query_add_room(query, queue->service, queue->room,
				    name_owner, gateway->now_us);
	}
	g_hash_table_iter_init(&iter, gateway->waiting->asked);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct waiter *waiter = item;

		wait_query_add_asked(query, waiter->exchange->parsed_request.id,
				     waiter->home,
				     gateway->now_us -
					     waiter->exchange->waits_since_us);
	}
	wait_query_answer(query, call, actions);
}
