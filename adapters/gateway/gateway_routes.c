#include "adapters/gateway/gateway_state.h"

/*
 * Fetches a configuration that is newer than this node's: it is read again from
 * the store, or requested from a node that has it.
 */

/* Records the version that another node has announced. */
void gateway_routes_note_version(struct gateway *gateway, int64_t version)
{
	gateway->newest_version = MAX(gateway->newest_version, version);
}

/*
 * A random node with a newer configuration, so that requests are spread over
 * the nodes; NULL: none.
 */
static const struct member *choose_node(const struct gateway *gateway)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	const struct member *chosen = NULL;
	gint32 count = 0;
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, gateway->peers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct gateway_peer *peer = value;
		const struct member *member = membership_find(members, name);

		if (!member ||
		    peer->table_version <= gateway_table_version(gateway))
			continue;
		if (g_rand_int_range(gateway->random, 0, ++count) == 0)
			chosen = member;
	}
	return chosen;
}

static void ask_node(struct gateway *gateway)
{
	const struct member *member = choose_node(gateway);
	struct peer_message *message;

	if (!member)
		return;
	message =
		gateway->host.message(gateway->host.data, PEER_ROUTES_REQUEST);
	message->config.revision = MAX(gateway_table_version(gateway), 0);
	log_write(gateway->log, LOG_LEVEL_INFO, "routes_asked", "node",
		  member->name, NULL);
	gateway_send(gateway, member->peer_address, message);
}

/* Fetches a newer configuration if one has been announced. */
void gateway_routes_step(struct gateway *gateway)
{
	struct table_fetch_input input;

	if (gateway_table_version(gateway) >= gateway->newest_version) {
		gateway->fetch = (struct table_fetch){0};
		return;
	}
	input = (struct table_fetch_input){
		.now_us = gateway->now_us,
		.reaches_store = gateway->store_is_reached,
		.is_reading =
			gateway->host.is_reading(gateway->host.store_data),
	};
	switch (table_fetch_decide(&gateway->fetch, &input)) {
	case TABLE_FETCH_WAIT:
		break;
	case TABLE_FETCH_READ_STORE:
		gateway->host.read_store(gateway->host.store_data);
		break;
	case TABLE_FETCH_ASK_NODE:
		ask_node(gateway);
		break;
	}
}

/* Sends the configuration to a node that requests it and has an older one. */
void gateway_routes_send(struct gateway *gateway,
			 const struct peer_message *ask)
{
	struct peer_message *message;

	if (gateway_table_version(gateway) <= ask->config.revision ||
	    !table_copy_limit_take(&gateway->offer,
				   g_bytes_get_size(gateway->document),
				   gateway->now_us))
		return;
	message = gateway->host.message(gateway->host.data, PEER_ROUTES);
	message->config.revision = gateway_table_version(gateway);
	message->config.document = g_bytes_ref(gateway->document);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_TABLES_SENT, 1);
	gateway_cordons_send(gateway, ask->from_address);
	gateway_send(gateway, ask->from_address, message);
}

/* Applies a configuration sent by another node, if it is newer. */
void gateway_routes_receive(struct gateway *gateway,
			    const struct peer_message *message)
{
	struct route_table *table;

	if (message->config.revision <= gateway_table_version(gateway))
		return;
	table = gateway->host.decode(gateway->host.store_data,
				     message->config.document,
				     message->config.revision);
	if (!table)
		return;
	gateway_apply_table(gateway, table, message->config.document,
			    message->from);
	route_table_unref(table);
}
