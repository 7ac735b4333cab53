#include "adapters/gateway/gateway_state.h"

#include <string.h>

/*
 * Applies the cordons of failure domains from the store and from other nodes,
 * and passes them on. Nodes follow them in the store themselves, so that only
 * those that it turns away depend on other nodes.
 */

/*
 * Whether this node knows which failure domains get no requests. A node that
 * has just started does not until the store or another node has told it.
 */
bool gateway_knows_cordons(const struct gateway *gateway)
{
	return cordon_set_is_known(registry_cordons(gateway->registry));
}

static void log_cordon(const struct gateway *gateway, const char *domain,
		       const char *source)
{
	bool is_cordoned =
		cordon_set_covers(registry_cordons(gateway->registry), domain);
	char count[24];

	g_snprintf(count, sizeof(count), "%zu",
		   registry_count_in_domain(gateway->registry, domain));
	log_write(gateway->log, LOG_LEVEL_INFO,
		  is_cordoned ? "domain_cordoned" : "domain_uncordoned",
		  "failure_domain", domain, "endpoints", count, "source",
		  source, NULL);
}

static void send_cordons(struct gateway *gateway, GPtrArray *addresses)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_CORDONS);
	GPtrArray *list = cordon_set_list(registry_cordons(gateway->registry));

	for (guint i = 0; i < list->len; i++) {
		const struct cordon *cordon = g_ptr_array_index(list, i);

		g_ptr_array_add(message->cordons.cordons,
				cordon_create(cordon->failure_domain,
					      cordon->position,
					      cordon->is_lifted));
	}
	g_ptr_array_unref(list);
	if (addresses)
		gateway->host.send(gateway->host.data, addresses, message);
	else
		gateway_send_to_all(gateway, message);
}

/* Sends all cordons to one node, if this node knows them. */
void gateway_cordons_send(struct gateway *gateway, const char *peer_address)
{
	GPtrArray *addresses;

	if (!gateway_knows_cordons(gateway))
		return;
	addresses = g_ptr_array_new();
	g_ptr_array_add(addresses, (gpointer)peer_address);
	send_cordons(gateway, addresses);
	g_ptr_array_unref(addresses);
}

/* Logs the changed domains and passes news of the store on at once. */
static void note_changes(struct gateway *gateway, const GPtrArray *domains,
			 const char *source, bool is_first)
{
	for (guint i = 0; i < domains->len; i++)
		log_cordon(gateway, domains->pdata[i], source);
	if (domains->len > 0 && !is_first && gateway_is_informer(gateway))
		send_cordons(gateway, NULL);
}

/* Applies a change of one cordon in the store. */
void gateway_apply_cordon(struct gateway *gateway, const struct cordon *news)
{
	GPtrArray *changed = g_ptr_array_new();

	gateway->now_us = gateway_now_us();
	if (registry_apply_cordon(gateway->registry, news, gateway->now_us))
		g_ptr_array_add(changed, news->failure_domain);
	note_changes(gateway, changed, "store", false);
	g_ptr_array_unref(changed);
}

/* Applies all cordons that the store has as of a position. */
void gateway_apply_cordon_listing(struct gateway *gateway,
				  const GPtrArray *list, int64_t position)
{
	GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);
	bool is_first = !gateway_knows_cordons(gateway);

	gateway->now_us = gateway_now_us();
	registry_apply_cordon_listing(gateway->registry, list, position,
				      gateway->now_us, changed);
	note_changes(gateway, changed, "store", is_first);
	g_ptr_array_unref(changed);
}

/* Applies the cordons that another node knows. */
void gateway_cordons_receive(struct gateway *gateway,
			     const struct peer_message *message)
{
	const GPtrArray *list = message->cordons.cordons;

	for (guint i = 0; i < list->len; i++) {
		const struct cordon *cordon = g_ptr_array_index(list, i);

		if (registry_apply_cordon(gateway->registry, cordon,
					  gateway->now_us))
			log_cordon(gateway, cordon->failure_domain,
				   message->from);
	}
	cordon_set_mark_known(registry_cordons(gateway->registry));
}

/* Lifts cordons that are due and passes cordons on to a few nodes. */
void gateway_cordons_step(struct gateway *gateway)
{
	GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *addresses = g_ptr_array_new();

	registry_step_cordons(gateway->registry, gateway->now_us, changed);
	note_changes(gateway, changed, "store came back without it", false);
	gateway_add_random_members(
		gateway,
		cordon_set_count_receivers(registry_cordons(gateway->registry),
					   gateway->now_us),
		addresses);
	if (addresses->len > 0)
		send_cordons(gateway, addresses);
	g_ptr_array_unref(addresses);
	g_ptr_array_unref(changed);
}
