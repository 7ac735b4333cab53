#include "core/node/node_state.h"

#include "core/base/store_position.h"
#include "core/config/config_json.h"

#include <string.h>

/*
 * The configuration in force. It comes from the key-value service or from
 * peers. Only a higher revision is applied, so a late answer, a delayed watch
 * event or a peer with an old copy cannot restore an older configuration.
 */

#define CONFIG_KEY "/siskinlink/config"
#define CONFIG_READ_INTERVAL_US (60 * G_USEC_PER_SEC)
#define CONFIG_RETRY_INTERVAL_US G_USEC_PER_SEC
#define CONFIG_MAX_WATCHERS 3

/*
 * Delay of the watch after the start. Until a node knows the other members, it
 * would count itself among the few watchers. Seeds answer within some
 * heartbeats, and the first read needs no watch.
 */
#define CONFIG_WATCH_DELAY_US (2 * G_USEC_PER_SEC)
#define CONFIG_ANNOUNCE_FANOUT 3

/*
 * A copy that takes longer counts as lost. Enough for half a MB at 10 Mbit/s.
 */
#define CONFIG_COPY_TIMEOUT_US G_USEC_PER_SEC

/* Revision of the configuration in force; 0 if there is none yet. */
int64_t node_config_revision(const struct node *node)
{
	return node->config ? node->config->revision : 0;
}

static void node_send_config_request(struct node *node,
				     const char *peer_address)
{
	struct peer_message *message =
		node_message_create(node, PEER_CONFIG_REQUEST);

	message->config.revision = node_config_revision(node);
	node_send(node, peer_address, message);
}

/*
 * Requests the copy of a member that announced a higher revision. There is one
 * request at a time: all members announce the revision, and a copy from each
 * would fill the link that carries the first one.
 */
static void node_request_config(struct node *node, const char *peer_address)
{
	if (node->config_requested_us &&
	    node->now_us - node->config_requested_us < CONFIG_COPY_TIMEOUT_US)
		return;
	node->config_requested_us = node->now_us;
	node_send_config_request(node, peer_address);
}

/*
 * Announces this node's revision to a few random members. A member with a
 * lower revision requests a copy and later announces it in turn; a member with
 * a higher revision sends its own copy.
 */
static void node_announce_config(struct node *node)
{
	size_t count = membership_count(node->membership);

	if (count < 2)
		return;
	for (int32_t i = 0; i < CONFIG_ANNOUNCE_FANOUT; i++) {
		const struct member *member =
			membership_get(node->membership,
				       (size_t)g_rand_int_range(node->random, 0,
								(gint32)count));

		if (strcmp(member->name, node->options.name) != 0)
			node_send_config_request(node, member->peer_address);
	}
}

static void node_apply_config_leaving(struct node *node)
{
	for (guint i = 0; i < node->config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(node->config->services, i);

		for (guint k = 0; k < service->endpoints->len; k++) {
			const struct config_endpoint *endpoint =
				g_ptr_array_index(service->endpoints, k);

			node_leaving_set(node, endpoint->address,
					 LEAVING_CONFIG, endpoint->leaving);
		}
	}
}

/* Passes the configuration to the other modules of this process. */
static void node_publish_config(struct node *node)
{
	struct action *action = action_list_add(node->actions, ACTION_CONFIG);

	action->config.revision = node_config_revision(node);
	action->config.document = g_bytes_ref(node->config_document);
}

/*
 * Whether a configuration of a later era is the one that the key-value service
 * holds since it came back from a copy, which is older than the one in force.
 * What is written after that has a higher revision than the first one read.
 */
static bool node_config_is_copied(struct node *node, int64_t revision)
{
	int64_t known = node_config_revision(node);

	if (known == 0 ||
	    store_position_era(revision) == store_position_era(known))
		return false;
	if (store_position_era(revision) !=
	    store_position_era(node->config_copied_revision)) {
		if (store_position_revision(revision) >
		    store_position_revision(known))
			return false;
		node->config_copied_revision = revision;
		node_log(node, LOG_LEVEL_WARN, "config_kept", NULL, "reason",
			 "the key-value service came back from a copy");
	}
	return revision <= node->config_copied_revision;
}

/* Applies the document if its revision is higher and it is valid. */
static void node_apply_config(struct node *node, GBytes *document,
			      int64_t revision, const char *source)
{
	struct config *config;
	struct error error;
	char *text;

	if (revision <= node_config_revision(node) ||
	    node_config_is_copied(node, revision))
		return;
	error_clear(&error);
	config = config_json_parse(document, revision, &error);
	if (!config) {
		counters_add(&node->counters, COUNTER_CONFIG_REJECTED, 1);
		node_log(node, LOG_LEVEL_ERROR, "config_rejected", NULL,
			 "detail", error.detail);
		return;
	}
	config_unref(node->config);
	g_clear_pointer(&node->config_document, g_bytes_unref);
	node->config = config;
	node->config_requested_us = 0;
	node->config_document = g_bytes_ref(document);
	counters_add(&node->counters, COUNTER_CONFIG_APPLIED, 1);
	membership_set_config_revision(node->membership, revision);
	node_shard_rebuild(node);
	node_apply_config_leaving(node);
	node_rollout_config_changed(node);
	node_share_reset(node);
	node_place_rehome(node);
	node_announce_config(node);
	node_publish_config(node);
	text = g_strdup_printf("%" G_GINT64_FORMAT " from %s", revision,
			       source);
	node_log(node, LOG_LEVEL_INFO, "config_applied", NULL, "revision",
		 text);
	g_free(text);
}

static void node_read_config(struct node *node)
{
	if (node->config_kv_id)
		return;
	node->config_kv_id = node_kv_send(node, KV_GET, CONFIG_KEY, NULL, 0, 0);
}

/* Requests the first configuration: from the key-value service and seeds. */
void node_config_start(struct node *node)
{
	node->config_read_us = node->now_us;
	node_read_config(node);
	for (char **seed = node->seeds; *seed; seed++)
		node_send_config_request(node, *seed);
}

/*
 * Whether this node is one of the CONFIG_MAX_WATCHERS nodes of its region that
 * watch the key: those with the highest hashes of their names.
 */
bool node_config_is_watcher(const struct node *node)
{
	uint64_t own = home_hash(node->options.name, "watch", 0);
	int32_t ahead = 0;

	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		if (strcmp(member->region, node->options.region) == 0 &&
		    member->state != MEMBER_LEAVING &&
		    home_hash(member->name, "watch", 0) > own)
			ahead++;
	}
	return ahead < CONFIG_MAX_WATCHERS;
}

/*
 * Starts the watch if this node is a watcher, and reads the configuration
 * periodically, as a watch may miss a change.
 */
void node_config_step(struct node *node)
{
	int64_t interval_us = node->config || node->config_is_absent
				      ? CONFIG_READ_INTERVAL_US
				      : CONFIG_RETRY_INTERVAL_US;

	if (!node->watching &&
	    node->now_us >= node->started_us + CONFIG_WATCH_DELAY_US &&
	    node_config_is_watcher(node)) {
		node->watching = true;
		action_list_add(node->actions, ACTION_KV_WATCH)->kv_watch =
			g_strdup(CONFIG_KEY);
	}
	if (node->now_us < node->config_read_us + interval_us)
		return;
	node->config_read_us = node->now_us;
	node_read_config(node);
	if (!node->config)
		node_announce_config(node);
}

/* Handles the answer to a read of the key. Returns false for other answers. */
bool node_config_kv(struct node *node, const struct kv_answer *answer)
{
	const struct kv_entry *entry;

	if (answer->id != node->config_kv_id)
		return false;
	node->config_kv_id = 0;
	node->config_is_absent = answer->outcome == KV_NOT_FOUND;
	if (answer->outcome != KV_OK || !answer->entries ||
	    answer->entries->len == 0)
		return true;
	entry = g_ptr_array_index(answer->entries, 0);
	node_apply_config(node, entry->value, entry->mod_revision, "read");
	return true;
}

/* Handles a change of the watched key. */
void node_config_watch(struct node *node, const struct event_kv_watch *event)
{
	node->kv_contact_us = node->now_us;
	if (!event->value || strcmp(event->key, CONFIG_KEY) != 0)
		return;
	node_apply_config(node, event->value, event->mod_revision, "watch");
}

static void node_send_config(struct node *node, const char *peer_address)
{
	struct peer_message *message = node_message_create(node, PEER_CONFIG);

	message->config.revision = node_config_revision(node);
	message->config.document = g_bytes_ref(node->config_document);
	node_send(node, peer_address, message);
}

/* Handles a peer's announcement of its revision, or its configuration. */
void node_config_peer(struct node *node, const struct peer_message *message)
{
	int64_t own = node_config_revision(node);

	if (message->type == PEER_CONFIG) {
		if (message->config.document)
			node_apply_config(node, message->config.document,
					  message->config.revision, "peer");
		return;
	}
	if (own > message->config.revision)
		node_send_config(node, message->from_address);
	else if (own < message->config.revision)
		node_request_config(node, message->from_address);
}

/*
 * Compares the sender's revision in a probe with this node's. A node that
 * missed an announcement thus learns of the higher revision by the next probe.
 */
void node_config_check_probe(struct node *node,
			     const struct peer_message *message)
{
	for (guint i = 0; i < message->probe.members->len; i++) {
		const struct member *member =
			g_ptr_array_index(message->probe.members, i);

		if (strcmp(member->name, message->from) == 0 &&
		    member->config_revision > node_config_revision(node))
			node_request_config(node, message->from_address);
	}
}

/*
 * Whether neither the key-value service nor most of the region's nodes have
 * answered for longer than isolation_us. The configuration may then be out of
 * date without the node's knowledge. The node accepts no new calls, since
 * organisations and endpoints in its configuration may have been removed.
 */
bool node_config_is_isolated(const struct node *node)
{
	int64_t heard_us = MAX(node->kv_contact_us,
			       membership_last_quorum_us(node->membership));

	heard_us = MAX(heard_us, node->started_us);
	return node->now_us - heard_us > node->options.isolation_us;
}
