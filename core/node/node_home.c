#include "core/node/node_state.h"

#include <string.h>

/*
 * The home's side of placement. For each shard whose home is this node, it
 * grants capacity to all entry nodes and polls the endpoints for their load.
 * The whole state can be rebuilt from the entry nodes' progress messages, so
 * no request is lost with a home.
 */

#define MAX_DECISION_ROUNDS 4

/* Frees a ticket. */
void home_ticket_destroy(gpointer data)
{
	struct home_ticket *ticket = data;

	g_free(ticket->requester);
	g_free(ticket->requester_address);
	g_free(ticket->endpoint);
	g_free(ticket);
}

/*
 * Picks a shard of the service by a hash of the ticket, among those whose home
 * is this node. NULL if there is none.
 */
static struct shard *node_home_pick_shard(struct node *node,
					  const char *service, uint64_t ticket)
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

/* Sends the endpoint to a remote requester; "" while the ticket is queued. */
static void node_send_placed(struct node *node,
			     const struct home_ticket *ticket)
{
	struct peer_message *message;

	if (!ticket->requester_address)
		return;
	message = node_message_create(node, PEER_PLACED);
	message->placed.ticket = ticket->ticket;
	message->placed.endpoint =
		g_strdup(ticket->endpoint ? ticket->endpoint : "");
	node_send(node, ticket->requester_address, message);
}

/* The node's table owns the ticket. from is NULL for a call of this node. */
static struct home_ticket *home_ticket_create(struct node *node,
					      struct shard *shard,
					      uint64_t number,
					      const struct peer_message *from)
{
	struct home_ticket *ticket = g_new0(struct home_ticket, 1);

	ticket->ticket = number;
	ticket->shard = shard;
	ticket->requester = g_strdup(from ? from->from : node->options.name);
	ticket->requester_address = from ? g_strdup(from->from_address) : NULL;
	ticket->incarnation =
		from ? from->incarnation : node->options.incarnation;
	g_hash_table_insert(node->home_tickets, &ticket->ticket, ticket);
	return ticket;
}

/*
 * Queues a request at a shard whose home is this node. from is the requester's
 * message, or NULL for a call of this node.
 */
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
 * Handles an entry node's request for an endpoint. A repeated request gets the
 * same answer. A node that is not home of any shard of the service does not
 * answer: the requester soon learns of the actual home, or places the call by
 * its local share.
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
	shard = node_home_pick_shard(node, place->service, place->ticket);
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

/*
 * Releases a granted ticket or withdraws a queued one. tokens is the number of
 * generated tokens. Unknown tickets are ignored.
 */
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

/* Restores a grant that an entry node holds and this home does not know. */
static void node_home_restore_holding(struct node *node,
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
	placement_record_grant(shard->placement, &request, holding->endpoint,
			       holding->tokens, node->now_us);
	shard->dirty = true;
}

static void node_home_update_holding(struct node *node,
				     const struct peer_holding *holding,
				     const struct peer_message *message)
{
	struct home_ticket *ticket =
		g_hash_table_lookup(node->home_tickets, &holding->ticket);

	if (!ticket) {
		if (*holding->endpoint)
			node_home_restore_holding(node, holding, message);
		return;
	}
	if (!ticket->endpoint)
		return; /* still queued here */
	placement_report_progress(ticket->shard->placement, holding->ticket,
				  holding->tokens, node->now_us);
}

/*
 * Whether the sender of the message owns the ticket, but no longer lists it or
 * has restarted since it got it.
 */
static bool ticket_is_unlisted(const struct home_ticket *ticket,
			       const struct peer_message *message,
			       GHashTable *held)
{
	return strcmp(ticket->requester, message->from) == 0 &&
	       (ticket->incarnation != message->incarnation ||
		!g_hash_table_contains(held, &ticket->ticket));
}

/*
 * Releases tickets that their requester no longer lists: the message that
 * released them was lost, and their capacity would stay occupied forever.
 */
static void node_home_release_unlisted(struct node *node,
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

		if (ticket_is_unlisted(ticket, message, held))
			g_array_append_val(missing, ticket->ticket);
	}
	for (guint i = 0; i < missing->len; i++)
		node_home_release(node, g_array_index(missing, uint64_t, i),
				  RELEASE_CANCELLED, 0);
	g_array_unref(missing);
	g_hash_table_destroy(held);
}

/*
 * Handles an entry node's list of the tickets that it holds from this home. A
 * shard that waits for holdings starts to grant once the last node's list has
 * arrived.
 */
void node_home_progress(struct node *node, const struct peer_message *message)
{
	if (!node->config)
		return;
	if (message->progress.complete)
		node_home_release_unlisted(node, message);
	for (guint i = 0; i < message->progress.holdings->len; i++)
		node_home_update_holding(
			node, g_ptr_array_index(message->progress.holdings, i),
			message);
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		if (!g_hash_table_remove(shard->awaited_reports, message->from))
			continue;
		if (g_hash_table_size(shard->awaited_reports) == 0)
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
	address = g_strdup(ticket->requester_address);
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
	if (ticket->requester_address) {
		node_send_placed(node, ticket);
		return;
	}
	endpoint = g_strdup(decision->endpoint);
	node_place_granted(node, decision->ticket, endpoint);
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

/*
 * Makes the placement decisions of the shards that have changed or are due.
 * Repeats while any shard is due, in at most MAX_DECISION_ROUNDS rounds.
 */
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

/* Time of the next placement decision, in us; INT64_MAX if none is due. */
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

/* Polls the load of all endpoints in the shards whose home is this node. */
void node_home_poll_load(struct node *node)
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

/* Handles an endpoint's load report, or the failure to get one. */
void node_home_update_load(struct node *node, const struct event_load *event)
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
	node_leaving_set(node, event->endpoint, LEAVING_LOAD,
			 event->report.leaving);
}
