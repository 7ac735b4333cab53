#include "core/node/node_state.h"

#include <string.h>

/*
 * Progress reports to homes: what this node's calls hold on the engines of
 * their shards. A new home builds its state from these reports.
 */

#define FULL_PROGRESS_INTERVAL 8 /* every 8th progress report is full */

/*
 * Adds a call to a progress report. The home that granted a ticket has all of
 * its data except the progress, so most reports carry only the ticket and its
 * tokens. Full reports carry everything, for a new home without any data.
 */
static void progress_add_call(struct peer_progress *progress,
			      const struct call *call, bool full)
{
	struct peer_holding *holding = peer_progress_add_holding(progress);
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
		g_strdup(node_call_is_placed(call) ? call->endpoint : "");
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
	shard = node_call_is_placed(call) ? node_call_shard(node, call) : NULL;
	return shard ? shard->home : NULL;
}

static struct peer_message *
progress_message(struct node *node, GHashTable *homes, const char *home)
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

static bool node_progress_is_full(struct node *node)
{
	if (node->full_progress_left > 0) {
		node->full_progress_left--;
		return true;
	}
	node->progress_count++;
	return node->progress_count % FULL_PROGRESS_INTERVAL == 0;
}

/*
 * Sends each home a progress report on the calls that hold or wait for room
 * there. For shards whose home is this node, and for the local shares, updates
 * the progress directly.
 */
void node_progress_send(struct node *node)
{
	GHashTable *homes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer value;
	bool full = node_progress_is_full(node);

	for (guint i = 0; i < node->shards->len; i++) {
		const struct shard *shard = g_ptr_array_index(node->shards, i);

		/* With a full report, homes without calls get one too. */
		if (full && shard->home && !shard->is_home)
			progress_message(node, homes, shard->home);
	}
	g_hash_table_iter_init(&iter, node->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct call *call = value;
		const char *home = call_progress_home(node, call);
		struct shard *shard = node_call_shard(node, call);

		node_share_progress(node, call);
		if (!home)
			continue;
		if (!node_is_home(node, home))
			progress_add_call(
				&progress_message(node, homes, home)->progress,
				call, full);
		else if (shard && shard->placement)
			placement_report_progress(
				shard->placement, call->ticket,
				call->next_token, node->now_us);
	}
	progress_send_all(node, homes);
	g_hash_table_destroy(homes);
}
