#include "core/node_state.h"

#include <string.h>

/*
 * The home's side: for the shards of which this node is home it grants room
 * to all entry nodes, asks the endpoints for their load, and spreads the word
 * on endpoints that leave. All of it can be rebuilt from what entry nodes
 * report, so losing a home loses no request.
 */

#define REBUILD_PATIENCE_US 1000000
#define ANNOUNCE_US (10 * G_USEC_PER_SEC)
#define MAX_DECISION_ROUNDS 4

/* Frees a shard. */
void shard_destroy(gpointer data)
{
	struct shard *shard = data;

	g_free(shard->service);
	g_free(shard->home);
	g_clear_pointer(&shard->awaited, g_hash_table_destroy);
	placement_destroy(shard->placement);
	g_ptr_array_unref(shard->endpoints);
	g_free(shard);
}

/* Frees a list of shards, not the shards. */
void shard_list_destroy(gpointer data)
{
	g_ptr_array_unref(data);
}

/* Frees a ticket. */
void home_ticket_destroy(gpointer data)
{
	struct home_ticket *ticket = data;

	g_free(ticket->asker);
	g_free(ticket->asker_address);
	g_free(ticket->endpoint);
	g_free(ticket);
}

/* The shard of this service and number, or NULL. */
struct shard *node_shard_find(struct node *node, const char *service,
			      uint32_t index)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);

	if (!shards || index >= shards->len)
		return NULL;
	return g_ptr_array_index(shards, index);
}

/* The shard that this endpoint of the service is in, or NULL. */
struct shard *node_shard_of_endpoint(struct node *node, const char *service,
				     const char *endpoint)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);
	struct shard *shard;

	if (!shards)
		return NULL;
	shard = g_ptr_array_index(shards, home_shard_of(endpoint, shards->len));
	if (!g_ptr_array_find_with_equal_func(shard->endpoints, endpoint,
					      g_str_equal, NULL))
		return NULL;
	return shard;
}

/* A shard of the service to ask for an endpoint; NULL when it has none. */
struct shard *node_shard_pick(struct node *node, const char *service)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);
	struct shard *picked = NULL;
	int32_t seen = 0;

	for (guint i = 0; shards && i < shards->len; i++) {
		struct shard *shard = g_ptr_array_index(shards, i);

		if (shard->endpoints->len == 0)
			continue;
		seen++;
		if (seen == 1 || g_rand_int_range(node->random, 0, seen) == 0)
			picked = shard;
	}
	return picked;
}

static struct shard *shard_create(const struct config_service *service,
				  uint32_t index)
{
	struct shard *shard = g_new0(struct shard, 1);

	shard->service = g_strdup(service->name);
	shard->index = index;
	shard->kind = service->kind;
	shard->endpoints = g_ptr_array_new_with_free_func(g_free);
	shard->awaited =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return shard;
}

/*
 * A new home does not know yet what its endpoints hold. It grants nothing
 * until every other live node has reported, or a second has passed: granting
 * at once would fill the endpoints a second time and preempt what runs there.
 */
static void shard_await_holdings(struct node *node, struct shard *shard)
{
	g_hash_table_remove_all(shard->awaited);
	shard->grant_from_us = node->now_us + REBUILD_PATIENCE_US;
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		if (strcmp(member->name, node->options.name) != 0)
			g_hash_table_add(shard->awaited,
					 g_strdup(member->name));
	}
	if (g_hash_table_size(shard->awaited) == 0)
		shard->grant_from_us = node->now_us;
}

static void node_drop_shard_tickets(struct node *node,
				    const struct shard *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->home_tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct home_ticket *ticket = value;

		if (ticket->shard == shard)
			g_hash_table_iter_remove(&iter);
	}
}

static void shard_become_home(struct node *node, struct shard *shard)
{
	struct placement_options options = {
		.policy = node->options.policy,
		.kind = shard->kind,
		.seed = home_hash(shard->service, node->options.name,
				  shard->index ^ node->options.seed),
		.max_waiting = node->options.max_waiting,
		.step_us = PLACEMENT_STEP_US,
		.lengths = node_lengths(node, shard->service),
	};

	shard->is_home = true;
	shard->dirty = true;
	shard->placement = placement_create(&options);
	shard_await_holdings(node, shard);
}

static void shard_stop_home(struct node *node, struct shard *shard)
{
	node_drop_shard_tickets(node, shard);
	g_clear_pointer(&shard->placement, placement_destroy);
	shard->is_home = false;
}

static void shard_set_home(struct node *node, struct shard *shard)
{
	const struct member *home =
		home_find(node->membership, node->options.region,
			  shard->service, shard->index);
	bool is_home = home && strcmp(home->name, node->options.name) == 0 &&
		       node->options.placement == NODE_PLACEMENT_HOME;

	g_free(shard->home);
	shard->home = home ? g_strdup(home->name) : NULL;
	if (is_home && !shard->is_home)
		shard_become_home(node, shard);
	else if (!is_home && shard->is_home)
		shard_stop_home(node, shard);
}

static bool endpoint_is_leaving(const struct node *node,
				const struct config_endpoint *endpoint)
{
	return endpoint->leaving ||
	       g_hash_table_contains(node->leaving, endpoint->address);
}

static void shard_set_endpoints(struct node *node, struct shard *shard,
				const struct config_service *service,
				uint32_t shard_count)
{
	GPtrArray *old = shard->endpoints;

	shard->endpoints = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (home_shard_of(endpoint->address, shard_count) !=
		    shard->index)
			continue;
		g_ptr_array_add(shard->endpoints, g_strdup(endpoint->address));
		if (!shard->placement)
			continue;
		placement_set_endpoint(shard->placement, endpoint,
				       node->now_us);
		placement_set_leaving(shard->placement, endpoint->address,
				      endpoint_is_leaving(node, endpoint));
	}
	for (guint i = 0; shard->placement && i < old->len; i++) {
		char *address = g_ptr_array_index(old, i);

		if (!g_ptr_array_find_with_equal_func(shard->endpoints, address,
						      g_str_equal, NULL))
			placement_remove_endpoint(shard->placement, address,
						  node->now_us);
	}
	shard->dirty = true;
	g_ptr_array_unref(old);
}

static void node_rebuild_service(struct node *node, GPtrArray *shards,
				 GHashTable *by_service,
				 const struct config_service *service)
{
	GPtrArray *own = g_ptr_array_new();
	uint32_t count = home_shard_count(service->endpoints->len,
					  node->options.engines_per_shard);

	for (uint32_t i = 0; i < count; i++) {
		struct shard *shard = node_shard_find(node, service->name, i);

		if (shard && shard->kind == service->kind)
			g_ptr_array_remove(node->shards, shard);
		else
			shard = shard_create(service, i);
		shard_set_home(node, shard);
		shard_set_endpoints(node, shard, service, count);
		g_ptr_array_add(shards, shard);
		g_ptr_array_add(own, shard);
	}
	g_hash_table_insert(by_service, g_strdup(service->name), own);
}

/* Makes the shards anew from the configuration and the members. */
void node_home_rebuild(struct node *node)
{
	GPtrArray *shards = g_ptr_array_new();
	GHashTable *by_service = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, shard_list_destroy);

	g_ptr_array_set_free_func(node->shards, NULL);
	for (guint i = 0; node->config && i < node->config->services->len; i++)
		node_rebuild_service(
			node, shards, by_service,
			g_ptr_array_index(node->config->services, i));
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		node_drop_shard_tickets(node, shard);
		shard_destroy(shard);
	}
	g_ptr_array_unref(node->shards);
	g_ptr_array_set_free_func(shards, shard_destroy);
	node->shards = shards;
	g_hash_table_destroy(node->service_shards);
	node->service_shards = by_service;
}

static bool member_is_awaited_no_more(const struct node *node, const char *name)
{
	return !membership_find(node->membership, name);
}

/* Members came or went: homes move, and what they knew is told anew. */
void node_home_membership_changed(struct node *node)
{
	node_home_rebuild(node);
	node_place_resize_shares(node);
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);
		GHashTableIter iter;
		gpointer name;

		g_hash_table_iter_init(&iter, shard->awaited);
		while (g_hash_table_iter_next(&iter, &name, NULL)) {
			if (member_is_awaited_no_more(node, name))
				g_hash_table_iter_remove(&iter);
		}
	}
	node_place_rehome(node);
}

static struct shard *node_home_shard(struct node *node, const char *service,
				     uint64_t ticket)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);
	struct shard *picked = NULL;
	uint64_t best = 0;

	for (guint i = 0; shards && i < shards->len; i++) {
		struct shard *shard = g_ptr_array_index(shards, i);
		uint64_t hash = home_hash("", "", ticket ^ shard->index);

		if (!shard->is_home || (picked && hash <= best))
			continue;
		picked = shard;
		best = hash;
	}
	return picked;
}

static void node_send_placed(struct node *node,
			     const struct home_ticket *ticket)
{
	struct peer_message *message;

	if (!ticket->asker_address)
		return;
	message = node_message_create(node, PEER_PLACED);
	message->placed.ticket = ticket->ticket;
	message->placed.endpoint =
		g_strdup(ticket->endpoint ? ticket->endpoint : "");
	node_send(node, ticket->asker_address, message);
}

static struct home_ticket *home_ticket_create(struct node *node,
					      struct shard *shard,
					      uint64_t number,
					      const struct peer_message *from)
{
	struct home_ticket *ticket = g_new0(struct home_ticket, 1);

	ticket->ticket = number;
	ticket->shard = shard;
	ticket->asker = g_strdup(from ? from->from : node->options.name);
	ticket->asker_address = from ? g_strdup(from->from_address) : NULL;
	ticket->incarnation =
		from ? from->incarnation : node->options.incarnation;
	g_hash_table_insert(node->home_tickets, &ticket->ticket, ticket);
	return ticket;
}

/* Queues a request at a shard of this home; from is NULL for its own. */
void node_home_submit(struct node *node, struct shard *shard,
		      const struct placement_request *request,
		      const struct peer_message *from)
{
	home_ticket_create(node, shard, request->ticket, from);
	placement_submit(shard->placement, request, node->now_us);
	shard->dirty = true;
}

static void node_refuse_place(struct node *node,
			      const struct peer_message *message,
			      enum refusal refusal)
{
	struct peer_message *answer = node_message_create(node, PEER_REFUSED);

	answer->refused.ticket = message->place.ticket;
	answer->refused.refusal = refusal;
	answer->refused.retry_after_us = G_USEC_PER_SEC;
	node_send(node, message->from_address, answer);
}

/*
 * An entry node asks for an endpoint. A repeated ask gets the same answer. A
 * node that does not think itself home stays silent: the asker knows better
 * soon, or goes by its share.
 */
void node_home_place(struct node *node, const struct peer_message *message)
{
	const struct peer_place *place = &message->place;
	const struct config_organisation *organisation;
	struct home_ticket *ticket;
	struct shard *shard;
	struct placement_request request = {
		.ticket = place->ticket,
		.organisation = place->organisation,
		.priority = place->priority,
		.prompt_tokens = place->prompt_tokens,
		.max_tokens = place->max_tokens,
		.prefix_hash = place->prefix_hash,
		.avoid_hash = place->avoid_hash,
		.true_tokens = place->true_tokens,
	};

	ticket = g_hash_table_lookup(node->home_tickets, &place->ticket);
	if (ticket) {
		node_send_placed(node, ticket);
		return;
	}
	shard = node_home_shard(node, place->service, place->ticket);
	if (!shard)
		return;
	organisation =
		config_find_organisation(node->config, place->organisation);
	if (!organisation) {
		node_refuse_place(node, message, REFUSAL_UNAUTHORIZED);
		return;
	}
	request.weight = organisation->weight;
	if (place->deadline_in_us > 0)
		request.deadline_us = node->now_us + place->deadline_in_us;
	node_home_submit(node, shard, &request, message);
	node_home_step(node);
	ticket = g_hash_table_lookup(node->home_tickets, &place->ticket);
	if (ticket && !ticket->endpoint)
		node_send_placed(node, ticket);
}

/* A ticket is given back: queued or granted. Unknown ones are ignored. */
void node_home_release(struct node *node, uint64_t number,
		       enum release_outcome outcome, int64_t tokens)
{
	struct home_ticket *ticket =
		g_hash_table_lookup(node->home_tickets, &number);

	if (!ticket)
		return;
	if (ticket->endpoint)
		placement_release(ticket->shard->placement, number, outcome,
				  tokens, node->now_us);
	else
		placement_withdraw(ticket->shard->placement, number,
				   node->now_us);
	ticket->shard->dirty = true;
	g_hash_table_remove(node->home_tickets, &number);
}

static void node_home_take_holding(struct node *node,
				   const struct peer_holding *holding,
				   const struct peer_message *message)
{
	const struct config_organisation *organisation =
		config_find_organisation(node->config, holding->organisation);
	struct shard *shard = node_shard_of_endpoint(node, holding->service,
						     holding->endpoint);
	struct home_ticket *ticket;
	struct placement_request request = {
		.ticket = holding->ticket,
		.organisation = holding->organisation,
		.weight = organisation ? organisation->weight : 1,
		.prompt_tokens = holding->prompt_tokens,
		.max_tokens = holding->max_tokens,
		.true_tokens = holding->true_tokens,
	};

	if (!shard || !shard->is_home)
		return;
	ticket = home_ticket_create(node, shard, holding->ticket, message);
	ticket->endpoint = g_strdup(holding->endpoint);
	placement_hold(shard->placement, &request, holding->endpoint,
		       holding->tokens, node->now_us);
	shard->dirty = true;
}

static void node_home_note_holding(struct node *node,
				   const struct peer_holding *holding,
				   const struct peer_message *message)
{
	struct home_ticket *ticket =
		g_hash_table_lookup(node->home_tickets, &holding->ticket);

	if (!ticket) {
		if (*holding->endpoint)
			node_home_take_holding(node, holding, message);
		return;
	}
	if (!ticket->endpoint)
		return; /* waits here still */
	placement_progress(ticket->shard->placement, holding->ticket,
			   holding->tokens, node->now_us);
}

static bool ticket_is_missing(const struct home_ticket *ticket,
			      const struct peer_message *message,
			      GHashTable *held)
{
	return strcmp(ticket->asker, message->from) == 0 &&
	       (ticket->incarnation != message->incarnation ||
		!g_hash_table_contains(held, &ticket->ticket));
}

/*
 * Frees tickets that their asker no longer names: the word that gave them back
 * was lost, and their room would stay taken for ever.
 */
static void node_home_free_missing(struct node *node,
				   const struct peer_message *message)
{
	GHashTable *held = g_hash_table_new(g_int64_hash, g_int64_equal);
	GArray *missing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < message->progress.holdings->len; i++) {
		struct peer_holding *holding =
			g_ptr_array_index(message->progress.holdings, i);

		g_hash_table_add(held, &holding->ticket);
	}
	g_hash_table_iter_init(&iter, node->home_tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct home_ticket *ticket = value;

		if (ticket_is_missing(ticket, message, held))
			g_array_append_val(missing, ticket->ticket);
	}
	for (guint i = 0; i < missing->len; i++)
		node_home_release(node, g_array_index(missing, uint64_t, i),
				  RELEASE_CANCELLED, 0);
	g_array_unref(missing);
	g_hash_table_destroy(held);
}

/* An entry node reports what it holds of this home. */
void node_home_progress(struct node *node, const struct peer_message *message)
{
	if (!node->config)
		return;
	if (message->progress.complete)
		node_home_free_missing(node, message);
	for (guint i = 0; i < message->progress.holdings->len; i++)
		node_home_note_holding(
			node, g_ptr_array_index(message->progress.holdings, i),
			message);
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		if (!g_hash_table_remove(shard->awaited, message->from))
			continue;
		if (g_hash_table_size(shard->awaited) == 0)
			shard->grant_from_us = node->now_us;
	}
}

static void node_home_refuse_ticket(struct node *node,
				    const struct placement_decision *decision)
{
	struct home_ticket *ticket =
		g_hash_table_lookup(node->home_tickets, &decision->ticket);
	struct peer_message *message;
	char *address;

	if (!ticket)
		return;
	address = g_strdup(ticket->asker_address);
	g_hash_table_remove(node->home_tickets, &decision->ticket);
	if (!address) {
		node_place_refused(node, decision->ticket, decision->refusal,
				   decision->retry_after_us);
		return;
	}
	message = node_message_create(node, PEER_REFUSED);
	message->refused.ticket = decision->ticket;
	message->refused.refusal = decision->refusal;
	message->refused.retry_after_us = decision->retry_after_us;
	node_send(node, address, message);
	g_free(address);
}

static void node_home_grant_ticket(struct node *node,
				   const struct placement_decision *decision)
{
	struct home_ticket *ticket =
		g_hash_table_lookup(node->home_tickets, &decision->ticket);
	char *endpoint;

	if (!ticket)
		return;
	g_free(ticket->endpoint);
	ticket->endpoint = g_strdup(decision->endpoint);
	if (ticket->asker_address) {
		node_send_placed(node, ticket);
		return;
	}
	endpoint = g_strdup(decision->endpoint);
	node_place_placed(node, decision->ticket, endpoint);
	g_free(endpoint);
}

static void shard_decide(struct node *node, struct shard *shard)
{
	GArray *decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));

	shard->dirty = false;
	placement_step(shard->placement, node->now_us, decisions);
	for (guint i = 0; i < decisions->len; i++) {
		const struct placement_decision *decision =
			&g_array_index(decisions, struct placement_decision, i);

		if (decision->verdict == PLACEMENT_REFUSED)
			node_home_refuse_ticket(node, decision);
		else
			node_home_grant_ticket(node, decision);
	}
	g_array_unref(decisions);
}

static bool shard_is_due(const struct node *node, const struct shard *shard)
{
	if (!shard->is_home || node->now_us < shard->grant_from_us)
		return false;
	return shard->dirty ||
	       placement_next_due_us(shard->placement) <= node->now_us;
}

/* Lets the shards decide whose state has changed or whose time has come. */
void node_home_step(struct node *node)
{
	bool decided = true;

	for (int32_t round = 0; decided && round < MAX_DECISION_ROUNDS;
	     round++) {
		decided = false;
		for (guint i = 0; i < node->shards->len; i++) {
			struct shard *shard =
				g_ptr_array_index(node->shards, i);

			if (!shard_is_due(node, shard))
				continue;
			shard_decide(node, shard);
			decided = true;
		}
	}
}

/* When a shard wants to decide next, in us; INT64_MAX when none does. */
int64_t node_home_next_due_us(const struct node *node)
{
	int64_t due_us = INT64_MAX;

	for (guint i = 0; i < node->shards->len; i++) {
		const struct shard *shard = g_ptr_array_index(node->shards, i);
		int64_t shard_due_us;

		if (!shard->is_home)
			continue;
		shard_due_us = placement_next_due_us(shard->placement);
		if (shard->dirty)
			shard_due_us = node->now_us;
		due_us = MIN(due_us, MAX(shard_due_us, shard->grant_from_us));
	}
	return due_us;
}

/* Asks the endpoints of this home's shards for their load. */
void node_home_poll(struct node *node)
{
	for (guint i = 0; i < node->shards->len; i++) {
		const struct shard *shard = g_ptr_array_index(node->shards, i);

		for (guint k = 0; shard->is_home && k < shard->endpoints->len;
		     k++)
			action_list_add(node->actions, ACTION_POLL_LOAD)
				->poll_load.endpoint = g_strdup(
				g_ptr_array_index(shard->endpoints, k));
	}
}

/* A load report, or word that none could be had. */
void node_home_load(struct node *node, const struct event_load *event)
{
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		if (!shard->is_home ||
		    !g_ptr_array_find_with_equal_func(shard->endpoints,
						      event->endpoint,
						      g_str_equal, NULL))
			continue;
		shard->dirty = true;
		if (event->reached)
			placement_report_load(shard->placement, event->endpoint,
					      &event->report, node->now_us);
		else
			placement_report_unreachable(shard->placement,
						     event->endpoint,
						     node->now_us);
	}
	if (!event->reached)
		return;
	counters_add(&node->counters, COUNTER_LOAD_REPORTS, 1);
	node_home_set_leaving(node, event->endpoint, LEAVING_LOAD,
			      event->report.leaving);
}

static void node_apply_leaving(struct node *node, const char *endpoint)
{
	bool leaving = g_hash_table_contains(node->leaving, endpoint);
	GHashTableIter iter;
	gpointer share;

	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		if (!shard->is_home)
			continue;
		placement_set_leaving(shard->placement, endpoint, leaving);
		shard->dirty = true;
	}
	g_hash_table_iter_init(&iter, node->shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		placement_set_leaving(share, endpoint, leaving);
}

/* Repeats to the other nodes which endpoints leave. */
void node_home_announce_leaving(struct node *node)
{
	const uint32_t own = LEAVING_VM_LIST | LEAVING_LOAD | LEAVING_ROLLOUT;

	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);
		struct peer_message *message;
		GHashTableIter iter;
		gpointer key, value;

		if (strcmp(member->name, node->options.name) == 0)
			continue;
		message = node_message_create(node, PEER_LEAVING);
		g_hash_table_iter_init(&iter, node->leaving);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			const struct leaving_mark *mark = value;

			if (mark->sources & own)
				g_ptr_array_add(message->leaving.endpoints,
						g_strdup(key));
		}
		if (message->leaving.endpoints->len)
			node_send(node, member->peer_address, message);
		else
			peer_message_destroy(message);
	}
	node->next_announce_us = node->now_us + ANNOUNCE_US;
}

/*
 * Marks an endpoint as leaving, or takes one source's mark back. Any source is
 * enough: the VM list lags, the load report may not come through, and either
 * may be the only one that still reaches some node.
 */
void node_home_set_leaving(struct node *node, const char *endpoint,
			   enum leaving_source source, bool leaving)
{
	struct leaving_mark *mark =
		g_hash_table_lookup(node->leaving, endpoint);
	bool was_leaving = mark != NULL;

	if (!mark && !leaving)
		return;
	if (!mark) {
		mark = g_new0(struct leaving_mark, 1);
		g_hash_table_insert(node->leaving, g_strdup(endpoint), mark);
	}
	if (leaving)
		mark->sources |= source;
	else
		mark->sources &= ~(uint32_t)source;
	if (source == LEAVING_PEER && leaving)
		mark->peer_until_us = node->now_us + PEER_LEAVING_US;
	if (!mark->sources)
		g_hash_table_remove(node->leaving, endpoint);
	if (was_leaving == g_hash_table_contains(node->leaving, endpoint))
		return;
	node_log(node, LOG_LEVEL_INFO,
		 was_leaving ? "endpoint_stays" : "endpoint_leaving", NULL,
		 "endpoint", endpoint);
	node_apply_leaving(node, endpoint);
	if (!was_leaving && source != LEAVING_PEER)
		node_home_announce_leaving(node);
}

/* The VM list: only what it says of endpoints it names. */
void node_home_vm_list(struct node *node, const struct event_vm_list *event)
{
	for (size_t i = 0; i < event->vm_count; i++)
		node_home_set_leaving(node, event->vms[i].address,
				      LEAVING_VM_LIST, event->vms[i].leaving);
}

/* A peer's word; it counts for half a minute unless repeated. */
void node_home_peer_leaving(struct node *node,
			    const struct peer_leaving *leaving)
{
	for (guint i = 0; i < leaving->endpoints->len; i++)
		node_home_set_leaving(node,
				      g_ptr_array_index(leaving->endpoints, i),
				      LEAVING_PEER, true);
}
