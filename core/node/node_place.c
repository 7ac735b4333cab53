#include "core/node/node_state.h"
#include "core/placement/length_estimate.h"

#include <string.h>

/*
 * The entry node's side of getting an endpoint: asks the home of a shard, and
 * goes on by its own share of each endpoint when no home answers.
 */

#define PROGRESS_FULL_AFTER_CHANGE 3

static uint64_t node_new_ticket(struct node *node)
{
	uint64_t high =
		node->options.incarnation ^ (node->options.incarnation >> 32);

	node->next_ticket = (node->next_ticket + 1) & 0xffffffff;
	return (high << 32) | node->next_ticket;
}

/* Whether this node is the home of that name. */
bool node_is_home(const struct node *node, const char *home)
{
	return strcmp(home, node->options.name) == 0;
}

/* The home as a member; NULL: it is not known. */
const struct member *node_find_home(const struct node *node, const char *home)
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
				 NODE_RETRY_AFTER_US);
		return;
	}
	call_new_ticket(node, call);
	call->shard = shard->index;
	if (node->options.placement == NODE_PLACEMENT_SHARES || !shard->home)
		node_share_place(node, call);
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
				 NODE_RETRY_AFTER_US);
		return;
	}
	home = node_find_home(node, call->home);
	if (*call->home && (!home || !call->home_heard) &&
	    !node_is_home(node, call->home)) {
		/*
		 * The home is silent: paused, cut off or just gone. Waiting for
		 * the membership to say so would cost the caller seconds; a
		 * share of each endpoint can overfill it a little, no more.
		 */
		node_place_withdraw(node, call);
		call_new_ticket(node, call);
		node_share_place(node, call);
		return;
	}
	if (home && !node_is_home(node, call->home)) {
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

	if (node_is_home(node, home)) {
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

/* The shard whose home gives the call its place; NULL: none. */
struct shard *node_call_shard(struct node *node, const struct call *call)
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
	const struct shard *shard = node_call_shard(node, call);
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

/* Whether the configuration gives the service this endpoint. */
bool node_service_has(const struct node *node, const char *service,
		      const char *endpoint)
{
	const struct config_service *found =
		config_find_service(node->config, service);

	return found && config_service_find_endpoint(found, endpoint);
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
	if (!node_service_has(node, call->request->service, endpoint)) {
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
	if (*call->home && !node_is_home(node, call->home))
		node_share_hold(node, call);
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

/* Whether the call has a place at an endpoint. */
bool node_call_is_placed(const struct call *call)
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
	struct shard *shard = node_call_shard(node, call);

	if (call_waits_at_former_home(node, call)) {
		node_place_withdraw(node, call);
		node_place_call(node, call);
		return;
	}
	if (!node_call_is_placed(call) || !shard || !shard->home ||
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
