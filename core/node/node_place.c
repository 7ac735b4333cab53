#include "core/node/node_state.h"
#include "core/placement/length_estimate.h"

#include <string.h>

/*
 * Placement on the entry node. It asks the home of a shard for an endpoint, and
 * uses its local share of each endpoint when no home answers.
 */

#define FULL_PROGRESS_AFTER_CHANGE 3

static uint64_t node_new_ticket(struct node *node)
{
	uint64_t high =
		node->options.incarnation ^ (node->options.incarnation >> 32);

	node->next_ticket = (node->next_ticket + 1) & 0xffffffff;
	return (high << 32) | node->next_ticket;
}

/* Whether home, a node name, is this node. */
bool node_is_home(const struct node *node, const char *home)
{
	return strcmp(home, node->options.name) == 0;
}

/*
 * Returns the member that is named home, owned by the membership, or NULL if
 * the name is empty or no member has it.
 */
const struct member *node_find_home(const struct node *node, const char *home)
{
	return *home ? membership_find(node->membership, home) : NULL;
}

/*
 * Fills in a placement request for the call. Its strings still belong to the
 * call.
 */
void node_place_fill_request(struct node *node, const struct call *call,
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
 * Returns this node's estimate of the lengths of a service's answers; the node
 * owns it. While another node is home, the local share updates the estimate
 * from the answers to this node's own callers. Otherwise a new home would have
 * no data and refuse calls as too late without knowing how long they take.
 */
struct length_estimate *node_length_estimate(struct node *node,
					     const char *service)
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
		call->home_acknowledged = true;
		node_place_fill_request(node, call, &request);
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
	call->home_acknowledged = false;
	call->placed_us = 0;
	g_hash_table_insert(node->tickets, &call->ticket, call);
}

/*
 * Requests an endpoint for a call that holds none, under a new ticket. Refuses
 * the call when its service has no endpoints.
 */
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

/*
 * Handles the timer of a call that waits for an endpoint: refuses the call if
 * its deadline has passed, uses the local share if the home is silent, and
 * otherwise repeats the request to the home.
 */
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
	if (*call->home && (!home || !call->home_acknowledged) &&
	    !node_is_home(node, call->home)) {
		/*
		 * The home does not answer: it is paused, unreachable or has
		 * just stopped. Waiting until the membership detects this
		 * would cost the caller seconds. Placing by the local share
		 * can overfill an endpoint, but only a little.
		 */
		node_place_withdraw(node, call);
		call_new_ticket(node, call);
		node_share_place(node, call);
		return;
	}
	if (home && !node_is_home(node, call->home)) {
		call->home_acknowledged = false;
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

/* Returns the shard of the call's endpoint, or NULL if it has none. */
struct shard *node_call_shard(struct node *node, const struct call *call)
{
	if (!call->endpoint)
		return NULL;
	return node_shard_of_endpoint(node, call->request->service,
				      call->endpoint);
}

/*
 * Releases what the call's ticket holds, at the home and in the local share.
 * The call has no ticket afterwards.
 */
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

/*
 * Cancels the call's ticket. It counts neither as a success or failure of the
 * endpoint nor as the length of a complete answer.
 */
void node_place_withdraw(struct node *node, struct call *call)
{
	node_place_release(node, call, RELEASE_CANCELLED);
}

/* Whether the configuration lists the endpoint for the service. */
bool node_service_has_endpoint(const struct node *node, const char *service,
			       const char *endpoint)
{
	const struct config_service *found =
		config_find_service(node->config, service);

	return found && config_service_find_endpoint(found, endpoint);
}

/*
 * Handles a grant; an empty endpoint means that the home has queued the ticket.
 * A late or duplicate grant is only counted. Its ticket was released when the
 * call was placed elsewhere, and if that message was lost, the next progress
 * report of this node frees the room at the home.
 */
void node_place_granted(struct node *node, uint64_t ticket,
			const char *endpoint)
{
	struct call *call = g_hash_table_lookup(node->tickets, &ticket);

	if (!call || call->state != CALL_PLACING) {
		counters_add(&node->counters, COUNTER_EVENTS_UNKNOWN, 1);
		return;
	}
	if (!*endpoint) {
		call->home_acknowledged = true;
		node_call_set_state(node, call, CALL_PLACING);
		return;
	}
	if (!node_service_has_endpoint(node, call->request->service,
				       endpoint)) {
		node_place_withdraw(node, call);
		node_attempt_retry(node, call);
		return;
	}
	if (node->now_us < node->dispatch_from_us) {
		call_set_endpoint(call, endpoint);
		node_place_release(node, call, RELEASE_NOT_SENT);
		call->retry_us = node->dispatch_from_us;
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
	if (node_losses_refuse(node, call))
		return;
	call->placed_us = node->now_us;
	if (*call->home && !node_is_home(node, call->home))
		node_share_hold(node, call);
	node_attempt_send(node, call);
}

/* Handles a refusal by the home or by the local share. */
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

/* Whether the call holds room at an endpoint. */
bool node_call_is_placed(const struct call *call)
{
	return call->ticket && call->endpoint &&
	       (call->state == CALL_SENT || call->state == CALL_STREAMING ||
		call->state == CALL_REATTACH);
}

static void call_record_grant(struct node *node, struct call *call,
			      struct shard *shard)
{
	struct placement_request request;

	node_place_fill_request(node, call, &request);
	placement_record_grant(shard->placement, &request, call->endpoint,
			       call->next_token, node->now_us);
	shard->dirty = true;
}

/*
 * Whether a call waits at a node that is no longer the home of its shard. A
 * node that stops being home drops all its tickets, including those of its own
 * calls, so the call would never be answered.
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
		call_record_grant(node, call, shard);
}

/*
 * Moves all calls that wait at, or hold room granted by, a former home to the
 * current home of their shard. The next progress report is due at once, and it
 * and the ones after it are full, since a new home has no data yet.
 */
void node_place_rehome(struct node *node)
{
	node_call_each(node, call_rehome);
	node->next_progress_us = node->now_us;
	node->full_progress_left = FULL_PROGRESS_AFTER_CHANGE;
}
