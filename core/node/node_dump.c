#include "core/node/node_state.h"

/* The state dump, from which operators see the current state of a node. */

static void dump_add_string(GVariantBuilder *dump, const char *key,
			    const char *value)
{
	g_variant_builder_add(dump, "{sv}", key,
			      g_variant_new_string(value ? value : ""));
}

static void dump_add_number(GVariantBuilder *dump, const char *key,
			    int64_t value)
{
	g_variant_builder_add(dump, "{sv}", key, g_variant_new_int64(value));
}

static GVariant *dump_counters(const struct node *node)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE_VARDICT);
	for (int i = 0; i < COUNTER_COUNT; i++)
		g_variant_builder_add(
			&builder, "{sv}", counter_name((enum counter)i),
			g_variant_new_uint64(node->counters.value[i]));
	for (int i = 0; i < GAUGE_COUNT; i++)
		g_variant_builder_add(
			&builder, "{sv}", gauge_name((enum gauge)i),
			g_variant_new_uint64(node->counters.gauge[i]));
	return g_variant_builder_end(&builder);
}

static const char *member_state_name(enum member_state state)
{
	switch (state) {
	case MEMBER_LIVE:
		return "live";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_LEAVING:
		return "leaving";
	case MEMBER_DEAD:
		return "dead";
	}
	return "unknown";
}

static GVariant *dump_members(const struct node *node)
{
	GVariantBuilder list;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		g_variant_builder_open(&list, G_VARIANT_TYPE_VARDICT);
		dump_add_string(&list, "name", member->name);
		dump_add_string(&list, "state",
				member_state_name(member->state));
		dump_add_string(&list, "address", member->http_address);
		dump_add_string(&list, "failure_domain",
				member->failure_domain);
		dump_add_number(&list, "config_revision",
				member->config_revision);
		g_variant_builder_close(&list);
	}
	return g_variant_builder_end(&list);
}

static GVariant *dump_shards(const struct node *node, int64_t now_us)
{
	GVariantBuilder list;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (guint i = 0; i < node->shards->len; i++) {
		const struct shard *shard = g_ptr_array_index(node->shards, i);

		g_variant_builder_open(&list, G_VARIANT_TYPE_VARDICT);
		dump_add_string(&list, "service", shard->service);
		dump_add_number(&list, "index", shard->index);
		dump_add_string(&list, "home", shard->home);
		dump_add_number(&list, "endpoints", shard->endpoints->len);
		if (shard->is_home)
			g_variant_builder_add(
				&list, "{sv}", "placement",
				placement_dump(shard->placement, now_us));
		g_variant_builder_close(&list);
	}
	return g_variant_builder_end(&list);
}

static GVariant *dump_leaving(const struct node *node)
{
	GList *keys = g_list_sort(g_hash_table_get_keys(node->leaving),
				  (GCompareFunc)g_strcmp0);
	GVariantBuilder list;

	g_variant_builder_init(&list, G_VARIANT_TYPE("as"));
	for (GList *item = keys; item; item = item->next)
		g_variant_builder_add(&list, "s", (const char *)item->data);
	g_list_free(keys);
	return g_variant_builder_end(&list);
}

static GVariant *dump_calls(const struct node *node)
{
	int64_t counts[CALL_FORWARDED + 1] = {0};
	GVariantBuilder builder;
	GHashTableIter iter;
	gpointer call;

	g_hash_table_iter_init(&iter, node->calls);
	while (g_hash_table_iter_next(&iter, NULL, &call))
		counts[((struct call *)call)->state]++;
	g_variant_builder_init(&builder, G_VARIANT_TYPE_VARDICT);
	for (int i = 0; i <= CALL_FORWARDED; i++)
		dump_add_number(&builder, call_state_name((enum call_state)i),
				counts[i]);
	return g_variant_builder_end(&builder);
}

/*
 * Returns the node's state as a floating variant of type a{sv}. It contains no
 * secrets.
 */
GVariant *node_dump(const struct node *node, int64_t now_us)
{
	GVariantBuilder dump;

	g_variant_builder_init(&dump, G_VARIANT_TYPE_VARDICT);
	dump_add_string(&dump, "name", node->options.name);
	dump_add_string(&dump, "region", node->options.region);
	dump_add_string(&dump, "failure_domain", node->options.failure_domain);
	dump_add_string(&dump, "address", node->options.http_address);
	dump_add_number(&dump, "up_ms", (now_us - node->started_us) / 1000);
	dump_add_number(&dump, "draining", node->draining);
	dump_add_number(&dump, "isolated", node_config_is_isolated(node));
	dump_add_number(&dump, "config_revision", node_config_revision(node));
	dump_add_number(&dump, "outcomes",
			(int64_t)outcome_store_count(node->outcomes));
	g_variant_builder_add(&dump, "{sv}", "calls", dump_calls(node));
	g_variant_builder_add(&dump, "{sv}", "members", dump_members(node));
	g_variant_builder_add(&dump, "{sv}", "shards",
			      dump_shards(node, now_us));
	g_variant_builder_add(&dump, "{sv}", "leaving", dump_leaving(node));
	g_variant_builder_add(&dump, "{sv}", "rollouts",
			      node_rollout_dump(node));
	g_variant_builder_add(&dump, "{sv}", "counters", dump_counters(node));
	return g_variant_builder_end(&dump);
}
