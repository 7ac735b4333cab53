#include "core/node/node_state.h"
#include "core/placement/length_estimate.h"

#include <string.h>

/*
 * The entry node's side of getting an endpoint: asks the home of a shard, goes
 * on by its own share of each endpoint when no home answers, and tells homes
 * what it holds so that a new one can be built from that.
 */

#define COME_BACK_US 1000000
#define PROGRESS_FULL_EVERY 8
#define PROGRESS_FULL_AFTER_CHANGE 3

static uint64_t node_new_ticket(struct node *node)
{
	uint64_t high =
		node->options.incarnation ^ (node->options.incarnation >> 32);

	node->next_ticket = (node->next_ticket + 1) & 0xffffffff;
	return (high << 32) | node->next_ticket;
}

static bool home_is_self(const struct node *node, const char *home)
{
	return strcmp(home, node->options.name) == 0;
}

static const struct member *node_find_home(const struct node *node,
					   const char *home)
{
	return *home ? membership_find(node->membership, home) : NULL;
}

/* What a placement is told of a call. Strings stay the call's. */
void node_place_fill(struct node *node, const struct call *call,
		     struct placement_request *request)
{
	(void)node;
	request->ticket = call->ticket;
	request->organisation = call->organisation;
	request->weight = call->weight;
	request->priority = call->priority;
	request->prompt_tokens = call->request->prompt_tokens;
	request->max_tokens = call->request->max_tokens;
	request->deadline_us = call->deadline_us;
	request->prefix_hash = call->request->prefix_hash;
	request->avoid_hash = call->avoid_hash;
	request->true_tokens = call->request->true_tokens;
}

static void node_send_place(struct node *node, const struct call *call,
			    const struct member *home)
{
	struct peer_message *message = node_message_create(node, PEER_PLACE);
	struct peer_place *place = &message->place;

	place->ticket = call->ticket;
	place->service = g_strdup(call->request->service);
	place->organisation = g_strdup(call->organisation);
	place->priority = call->priority;
	place->prompt_tokens = call->request->prompt_tokens;
	place->max_tokens = call->request->max_tokens;
	place->deadline_in_us =
		call->deadline_us ? MAX(call->deadline_us - node->now_us, 1)
				  : 0;
	place->prefix_hash = call->request->prefix_hash;
	place->avoid_hash = call->avoid_hash;
	place->true_tokens = call->request->true_tokens;
	node_send(node, home->peer_address, message);
}

static void share_set_endpoints(struct node *node, struct placement *share,
				const struct config_service *service)
{
	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		placement_set_endpoint(share, endpoint, node->now_us);
		placement_set_leaving(share, endpoint->address,
				      g_hash_table_contains(node->leaving,
							    endpoint->address));
	}
}

/*
 * What this node knows of the lengths of a service's answers. It learns from
 * its own callers' answers also while others are home, by its share, because
 * a new home that knew nothing would refuse as late what it cannot judge.
 */
struct length_estimate *node_lengths(struct node *node, const char *service)
{
	struct length_estimate *lengths =
		g_hash_table_lookup(node->lengths, service);
	struct length_estimate_options options;

	if (lengths)
		return lengths;
	length_estimate_options_default(&options);
	lengths = length_estimate_create(&options);
	g_hash_table_insert(node->lengths, g_strdup(service), lengths);
	return lengths;
}

/* This node's own share of a service's endpoints, made when first needed. */
static struct placement *node_share(struct node *node, const char *name)
{
	const struct config_service *service =
		config_find_service(node->config, name);
	struct placement *share = g_hash_table_lookup(node->shares, name);
	struct placement_options options = {
		.policy = node->options.policy,
		.kind = service->kind,
		.seed = home_hash(node->options.name, name, node->options.seed),
		.max_waiting = node->options.max_waiting,
		.step_us = PLACEMENT_STEP_US,
		.lengths = node_lengths(node, name),
	};

	if (share)
		return share;
	share = placement_create(&options);
	share_set_endpoints(node, share, service);
	placement_set_share(share, (int32_t)membership_count(node->membership));
	g_hash_table_insert(node->shares, g_strdup(name), share);
	return share;
}

static void call_place_by_share(struct node *node, struct call *call)
{
	struct placement_request request;

	g_free(call->home);
	call->home = g_strdup("");
	node_call_set_state(node, call, CALL_PLACING);
	node_place_fill(node, call, &request);
	placement_submit(node_share(node, call->request->service), &request,
			 node->now_us);
}

static void call_place_by_home(struct node *node, struct call *call,
			       struct shard *shard)
{
	struct placement_request request;
	const struct member *home;

	g_free(call->home);
	call->home = g_strdup(shard->home);
	node_call_set_state(node, call, CALL_PLACING);
	if (shard->is_home) {
		call->home_heard = true;
		node_place_fill(node, call, &request);
		node_home_submit(node, shard, &request, NULL);
		return;
	}
	home = node_find_home(node, shard->home);
	if (home)
		node_send_place(node, call, home);
}

static void call_new_ticket(struct node *node, struct call *call)
{
	if (call->ticket)
		g_hash_table_remove(node->tickets, &call->ticket);
	call->ticket = node_new_ticket(node);
	call->home_heard = false;
	call->placed_us = 0;
	g_hash_table_insert(node->tickets, &call->ticket, call);
}

/* Starts to get an endpoint for a call that holds none. */
void node_place_call(struct node *node, struct call *call)
{
	struct shard *shard = node_shard_pick(node, call->request->service);

	if (!shard) {
		node_call_refuse(node, call, REFUSAL_NO_ENDPOINT,
				 call->maybe_run ? RUN_UNKNOWN : RUN_NO,
				 COME_BACK_US);
		return;
	}
	call_new_ticket(node, call);
	call->shard = shard->index;
	if (node->options.placement == NODE_PLACEMENT_SHARES || !shard->home)
		call_place_by_share(node, call);
	else
		call_place_by_home(node, call, shard);
}

/* A call that waits for an endpoint is looked at again. */
void node_place_wake(struct node *node, struct call *call)
{
	const struct member *home;

	if (call->deadline_us && call->deadline_us <= node->now_us) {
		node_call_refuse(node, call, REFUSAL_DEADLINE,
				 call->maybe_run ? RUN_UNKNOWN : RUN_NO,
				 COME_BACK_US);
		return;
	}
	home = node_find_home(node, call->home);
	if (*call->home && (!home || !call->home_heard) &&
	    !home_is_self(node, call->home)) {
		/*
		 * The home is silent: paused, cut off or just gone. Waiting for
		 * the membership to say so would cost the caller seconds; a
		 * share of each endpoint can overfill it a little, no more.
		 */
		node_place_withdraw(node, call);
		call_new_ticket(node, call);
		call_place_by_share(node, call);
		return;
	}
	if (home && !home_is_self(node, call->home)) {
		call->home_heard = false;
		node_send_place(node, call, home);
	}
	node_call_set_state(node, call, CALL_PLACING);
}

static void node_send_release(struct node *node, const char *home,
			      uint64_t ticket, enum release_outcome outcome,
			      int64_t tokens, int64_t duration_us)
{
	const struct member *member = node_find_home(node, home);
	struct peer_message *message;

	if (home_is_self(node, home)) {
		node_home_release(node, ticket, outcome, tokens);
		return;
	}
	if (!member)
		return;
	message = node_message_create(node, PEER_RELEASE);
	message->release.ticket = ticket;
	message->release.outcome = outcome;
	message->release.tokens = tokens;
	message->release.duration_us = duration_us;
	node_send(node, member->peer_address, message);
}

static struct shard *call_shard(struct node *node, const struct call *call)
{
	if (!call->endpoint)
		return NULL;
	return node_shard_of_endpoint(node, call->request->service,
				      call->endpoint);
}

/* Gives back what the call's ticket holds, at home and in the own share. */
void node_place_release(struct node *node, struct call *call,
			enum release_outcome outcome)
{
	struct placement *share =
		g_hash_table_lookup(node->shares, call->request->service);
	const struct shard *shard = call_shard(node, call);
	const char *home = call->home ? call->home : "";

	if (!call->ticket)
		return;
	if (share && call->placed_us)
		placement_release(share, call->ticket, outcome,
				  call->next_token, node->now_us);
	else if (share)
		placement_withdraw(share, call->ticket, node->now_us);
	if (!*home && shard && shard->home)
		home = shard->home;
	if (*home)
		node_send_release(node, home, call->ticket, outcome,
				  call->next_token,
				  node->now_us - call->placed_us);
	g_hash_table_remove(node->tickets, &call->ticket);
	call->ticket = 0;
}

/* Takes back a ticket that is no longer wanted; nothing was learned by it. */
void node_place_withdraw(struct node *node, struct call *call)
{
	node_place_release(node, call, RELEASE_CANCELLED);
}

static bool service_has_endpoint(const struct node *node, const char *service,
				 const char *endpoint)
{
	const struct config_service *found =
		config_find_service(node->config, service);

	return found && config_service_find_endpoint(found, endpoint);
}

/*
 * Books a home's grant in the own share too. When the home is lost the share
 * takes over at once; if it took the engines for empty, its part of them would
 * be filled a second time, and what runs there preempted.
 */
static void share_hold(struct node *node, const struct call *call)
{
	struct placement_request request = {0};

	node_place_fill(node, call, &request);
	placement_hold(node_share(node, call->request->service), &request,
		       call->endpoint, call->next_token, node->now_us);
}

/*
 * A grant. One that is late or doubled is only counted: its ticket was given
 * back when the call went elsewhere, and if that word was lost, the next
 * report of what this node holds frees the room.
 */
void node_place_placed(struct node *node, uint64_t ticket, const char *endpoint)
{
	struct call *call = g_hash_table_lookup(node->tickets, &ticket);

	if (!call || call->state != CALL_PLACING) {
		counters_add(&node->counters, COUNTER_EVENTS_UNKNOWN, 1);
		return;
	}
	if (!*endpoint) {
		call->home_heard = true;
		node_call_set_state(node, call, CALL_PLACING);
		return;
	}
	if (!service_has_endpoint(node, call->request->service, endpoint)) {
		node_place_withdraw(node, call);
		node_attempt_retry(node, call);
		return;
	}
	if (node->now_us < node->settled_us) {
		call_set_endpoint(call, endpoint);
		node_place_release(node, call, RELEASE_NOT_SENT);
		call->retry_us = node->settled_us;
		node_call_set_state(node, call, CALL_BACKOFF);
		return;
	}
	if (g_hash_table_contains(node->leaving, endpoint)) {
		call_set_endpoint(call, endpoint);
		call->avoid_hash = home_hash(endpoint, "", 0);
		node_place_release(node, call, RELEASE_NOT_SENT);
		node_attempt_retry(node, call);
		return;
	}
	call_set_endpoint(call, endpoint);
	call->placed_us = node->now_us;
	if (*call->home && !home_is_self(node, call->home))
		share_hold(node, call);
	node_attempt_send(node, call);
}

/* A refusal of the home, or of the own share. */
void node_place_refused(struct node *node, uint64_t ticket,
			enum refusal refusal, int64_t retry_after_us)
{
	struct call *call = g_hash_table_lookup(node->tickets, &ticket);

	if (!call || call->state != CALL_PLACING)
		return;
	g_hash_table_remove(node->tickets, &call->ticket);
	call->ticket = 0;
	node_call_refuse(node, call, refusal,
			 call->maybe_run ? RUN_UNKNOWN : RUN_NO,
			 retry_after_us);
}

static bool call_holds_endpoint(const struct call *call)
{
	return call->ticket && call->endpoint &&
	       (call->state == CALL_SENT || call->state == CALL_STREAMING ||
		call->state == CALL_REATTACH);
}

static void call_hold_at_self(struct node *node, struct call *call,
			      struct shard *shard)
{
	struct placement_request request;

	node_place_fill(node, call, &request);
	placement_hold(shard->placement, &request, call->endpoint,
		       call->next_token, node->now_us);
	shard->dirty = true;
}

/*
 * Whether a call waits at a node that is not home of its shard now. One that
 * stopped being home has dropped its tickets, this node's own included, and
 * nobody would ever answer.
 */
static bool call_waits_at_former_home(struct node *node,
				      const struct call *call)
{
	const struct shard *shard;

	if (call->state != CALL_PLACING || !call->home || !*call->home)
		return false;
	shard = node_shard_find(node, call->request->service, call->shard);
	return !shard || g_strcmp0(shard->home, call->home) != 0;
}

static void call_rehome(struct node *node, struct call *call)
{
	struct shard *shard = call_shard(node, call);

	if (call_waits_at_former_home(node, call)) {
		node_place_withdraw(node, call);
		node_place_call(node, call);
		return;
	}
	if (!call_holds_endpoint(call) || !shard || !shard->home ||
	    !*call->home || strcmp(shard->home, call->home) == 0)
		return;
	g_free(call->home);
	call->home = g_strdup(shard->home);
	if (shard->is_home)
		call_hold_at_self(node, call, shard);
}

/* Calls that wait at, or hold room of, a home that is home no more. */
void node_place_rehome(struct node *node)
{
	node_call_each(node, call_rehome);
	node->next_progress_us = node->now_us;
	node->progress_full = PROGRESS_FULL_AFTER_CHANGE;
}

/* The number of nodes changed, and with it what each may fill by itself. */
void node_place_resize_shares(struct node *node)
{
	GHashTableIter iter;
	gpointer share;

	g_hash_table_iter_init(&iter, node->shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		placement_set_share(
			share, (int32_t)membership_count(node->membership));
}

static void call_enter_share(struct node *node, struct call *call)
{
	if (!call->home || home_is_self(node, call->home))
		return;
	if (call->state == CALL_PLACING && !*call->home) {
		node_place_call(node, call);
		return;
	}
	if (call_holds_endpoint(call) &&
	    service_has_endpoint(node, call->request->service, call->endpoint))
		share_hold(node, call);
}

/* Makes the shares anew after a change of the endpoints. */
void node_place_reset_shares(struct node *node)
{
	g_hash_table_remove_all(node->shares);
	node_call_each(node, call_enter_share);
}

/*
 * A home that granted a ticket knows all of it but its progress, so most
 * reports carry no more. Some come in full: a new home knows nothing yet.
 */
static void progress_add_call(struct peer_progress *progress,
			      const struct call *call, bool full)
{
	struct peer_holding *holding = peer_progress_add(progress);
	bool granted_by_home = call->home && *call->home;

	holding->ticket = call->ticket;
	holding->tokens = call->next_token;
	if (!full && granted_by_home) {
		holding->service = g_strdup("");
		holding->endpoint = g_strdup("");
		holding->organisation = g_strdup("");
		return;
	}
	holding->service = g_strdup(call->request->service);
	holding->endpoint =
		g_strdup(call_holds_endpoint(call) ? call->endpoint : "");
	holding->organisation = g_strdup(call->organisation);
	holding->prompt_tokens = call->request->prompt_tokens;
	holding->max_tokens = call->request->max_tokens;
	holding->true_tokens = call->request->true_tokens;
}

static const char *call_progress_home(struct node *node,
				      const struct call *call)
{
	const struct shard *shard;

	if (!call->ticket)
		return NULL;
	if (call->home && *call->home)
		return call->home;
	shard = call_holds_endpoint(call) ? call_shard(node, call) : NULL;
	return shard ? shard->home : NULL;
}

static struct peer_message *progress_for(struct node *node, GHashTable *homes,
					 const char *home)
{
	struct peer_message *message = g_hash_table_lookup(homes, home);

	if (message)
		return message;
	message = node_message_create(node, PEER_PROGRESS);
	message->progress.complete = true;
	g_hash_table_insert(homes, g_strdup(home), message);
	return message;
}

static void progress_send_all(struct node *node, GHashTable *homes)
{
	GList *names =
		g_list_sort(g_hash_table_get_keys(homes), (GCompareFunc)strcmp);

	for (GList *item = names; item; item = item->next) {
		struct peer_message *message =
			g_hash_table_lookup(homes, item->data);
		const struct member *member = node_find_home(node, item->data);

		if (member)
			node_send(node, member->peer_address, message);
		else
			peer_message_destroy(message);
	}
	g_list_free(names);
}

/*
 * Tells the own share what a call has made. Without it the share goes on
 * counting each call as just begun, and overfills the engines.
 */
static void share_progress(struct node *node, const struct call *call)
{
	struct placement *share =
		g_hash_table_lookup(node->shares, call->request->service);

	if (share && call->ticket && call->home &&
	    !home_is_self(node, call->home))
		placement_progress(share, call->ticket, call->next_token,
				   node->now_us);
}

static bool node_progress_is_full(struct node *node)
{
	if (node->progress_full > 0) {
		node->progress_full--;
		return true;
	}
	node->progress_count++;
	return node->progress_count % PROGRESS_FULL_EVERY == 0;
}

/* Tells every home what this node holds and waits for there. */
void node_place_progress(struct node *node)
{
	GHashTable *homes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer value;
	bool full = node_progress_is_full(node);

	for (guint i = 0; i < node->shards->len; i++) {
		const struct shard *shard = g_ptr_array_index(node->shards, i);

		/* A home of which nothing is held hears so now and then. */
		if (full && shard->home && !shard->is_home)
			progress_for(node, homes, shard->home);
	}
	g_hash_table_iter_init(&iter, node->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct call *call = value;
		const char *home = call_progress_home(node, call);
		struct shard *shard = call_shard(node, call);

		share_progress(node, call);
		if (!home)
			continue;
		if (!home_is_self(node, home))
			progress_add_call(
				&progress_for(node, homes, home)->progress,
				call, full);
		else if (shard && shard->placement)
			placement_progress(shard->placement, call->ticket,
					   call->next_token, node->now_us);
	}
	progress_send_all(node, homes);
	g_hash_table_destroy(homes);
}

static void share_decide(struct node *node, struct placement *share)
{
	GArray *decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));

	placement_step(share, node->now_us, decisions);
	for (guint i = 0; i < decisions->len; i++) {
		struct placement_decision *decision =
			&g_array_index(decisions, struct placement_decision, i);
		char *endpoint;

		if (decision->verdict == PLACEMENT_REFUSED) {
			node_place_refused(node, decision->ticket,
					   decision->refusal,
					   decision->retry_after_us);
			continue;
		}
		endpoint = g_strdup(decision->endpoint);
		node_place_placed(node, decision->ticket, endpoint);
		g_free(endpoint);
	}
	g_array_unref(decisions);
}

/* Lets the node's own shares decide. */
void node_place_step_shares(struct node *node)
{
	GList *names = g_list_sort(g_hash_table_get_keys(node->shares),
				   (GCompareFunc)strcmp);

	for (GList *item = names; item; item = item->next)
		share_decide(node,
			     g_hash_table_lookup(node->shares, item->data));
	g_list_free(names);
}
