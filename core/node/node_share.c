#include "core/node/node_state.h"

#include <string.h>

/*
 * Placement without a home. Each node counts its own calls on each endpoint and
 * uses up to its share of the endpoint's capacity, the local share.
 */

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
 * Returns the local share of a service's endpoints, and creates it on first
 * use. The service must be in the configuration.
 */
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
		.step_us = PLACEMENT_TOKEN_INTERVAL_US,
		.lengths = node_length_estimate(node, name),
	};

	if (share)
		return share;
	share = placement_create(&options);
	share_set_endpoints(node, share, service);
	placement_set_share(share, (int32_t)membership_count(node->membership));
	g_hash_table_insert(node->shares, g_strdup(name), share);
	return share;
}

/* Submits the call to the local share; node_share_step decides on it. */
void node_share_place(struct node *node, struct call *call)
{
	struct placement_request request;

	g_free(call->home);
	call->home = g_strdup("");
	node_call_set_state(node, call, CALL_PLACING);
	node_place_fill_request(node, call, &request);
	placement_submit(node_share(node, call->request->service), &request,
			 node->now_us);
}

/*
 * Counts a home's grant in the local share as well. The local share takes over
 * as soon as the home is lost. If it counted the engines as empty, it would
 * fill its part of them a second time, and running requests would be preempted.
 */
void node_share_hold(struct node *node, const struct call *call)
{
	struct placement_request request = {0};

	node_place_fill_request(node, call, &request);
	placement_record_grant(node_share(node, call->request->service),
			       &request, call->endpoint, call->next_token,
			       node->now_us);
}

/* Adjusts the local shares to a changed number of nodes. */
void node_share_resize(struct node *node)
{
	GHashTableIter iter;
	gpointer share;

	g_hash_table_iter_init(&iter, node->shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		placement_set_share(
			share, (int32_t)membership_count(node->membership));
}

static void call_restore_share(struct node *node, struct call *call)
{
	if (!call->home || node_is_home(node, call->home))
		return;
	if (call->state == CALL_PLACING && !*call->home) {
		node_place_call(node, call);
		return;
	}
	if (node_call_is_placed(call) &&
	    node_service_has_endpoint(node, call->request->service,
				      call->endpoint))
		node_share_hold(node, call);
}

/*
 * Rebuilds the local shares after the endpoints changed. Calls that waited for
 * a local share are placed again, and room that calls hold is counted again.
 */
void node_share_reset(struct node *node)
{
	g_hash_table_remove_all(node->shares);
	node_call_each(node, call_restore_share);
}

/*
 * Updates the local share with the number of tokens the call has received.
 * Without this the share would count each call as just started and overfill
 * the engines.
 */
void node_share_progress(struct node *node, const struct call *call)
{
	struct placement *share =
		g_hash_table_lookup(node->shares, call->request->service);

	if (share && call->ticket && call->home &&
	    !node_is_home(node, call->home))
		placement_report_progress(share, call->ticket, call->next_token,
					  node->now_us);
}

static void share_apply_decisions(struct node *node, struct placement *share)
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
		node_place_granted(node, decision->ticket, endpoint);
		g_free(endpoint);
	}
	g_array_unref(decisions);
}

/*
 * Grants or refuses the calls that wait in the local shares. The services are
 * visited in the order of their names.
 */
void node_share_step(struct node *node)
{
	GList *names = g_list_sort(g_hash_table_get_keys(node->shares),
				   (GCompareFunc)strcmp);

	for (GList *item = names; item; item = item->next)
		share_apply_decisions(
			node, g_hash_table_lookup(node->shares, item->data));
	g_list_free(names);
}
