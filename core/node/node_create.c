#include "core/node/node_state.h"

#include "core/limit/rate_fleet.h"
#include "core/placement/length_estimate.h"

#include <string.h>

/* Options, creation and destruction of a node. */

#define MS_US 1000

/* Sets all tunables to their defaults; names and addresses stay unset. */
void node_options_default(struct node_options *options)
{
	memset(options, 0, sizeof(*options));
	options->placement = NODE_PLACEMENT_HOME;
	options->policy = PLACEMENT_PEAK;
	options->heartbeat_us = 200 * MS_US;
	options->suspect_us = 1000 * MS_US;
	options->load_poll_us = 500 * MS_US;
	options->progress_us = 250 * MS_US;
	options->answer_keep_us = 5 * G_USEC_PER_SEC;
	options->id_memory_us = 600 * G_USEC_PER_SEC;
	options->first_token_timeout_us = 60 * G_USEC_PER_SEC;
	options->stall_timeout_us = 10 * G_USEC_PER_SEC;
	options->plain_timeout_us = 30 * G_USEC_PER_SEC;
	options->kv_timeout_us = 2 * G_USEC_PER_SEC;
	options->drain_timeout_us = 0;
	options->isolation_us = 15 * G_USEC_PER_SEC;
	options->max_calls = 10000;
	options->max_waiting = 2000;
	options->max_outcomes = 100000;
	options->max_outcome_bytes = 65536;
	options->retry_percent = 10;
	options->max_attempts = 4;
	options->engines_per_shard = 64;
}

static void call_free(gpointer data)
{
	call_destroy(data);
}

static void lengths_free(gpointer data)
{
	length_estimate_destroy(data);
}

static void placement_free(gpointer data)
{
	placement_destroy(data);
}

static struct membership *
node_create_membership(const struct node_options *options,
		       const char *const *seeds)
{
	struct member self = {
		.name = (char *)options->name,
		.incarnation = options->incarnation,
		.version = 1,
		.state = MEMBER_LIVE,
		.http_address = (char *)options->http_address,
		.peer_address = (char *)options->peer_address,
		.region = (char *)options->region,
		.failure_domain = (char *)options->failure_domain,
	};
	struct membership_options membership = {
		.self = &self,
		.seeds = seeds,
		.heartbeat_us = options->heartbeat_us,
		.suspect_us = options->suspect_us,
		.seed = options->seed,
	};

	return membership_create(&membership);
}

static void node_copy_options(struct node *node,
			      const struct node_options *options)
{
	struct node_options *copy = &node->options;
	static const char *const no_seeds[] = {NULL};

	*copy = *options;
	copy->name = g_strdup(options->name);
	copy->region = g_strdup(options->region ? options->region : "");
	copy->failure_domain = g_strdup(
		options->failure_domain ? options->failure_domain : "");
	copy->http_address = g_strdup(options->http_address);
	copy->peer_address = g_strdup(options->peer_address);
	copy->event_key = g_strdup(options->event_key);
	node->seeds = g_strdupv(
		(char **)(options->seeds ? options->seeds : no_seeds));
	copy->seeds = (const char *const *)node->seeds;
}

static void node_create_limits(struct node *node)
{
	struct retry_budget_options retries;

	retry_budget_options_default(&retries);
	retries.percent = node->options.retry_percent;
	node->retries = retry_budget_create(&retries);
	node->limits = organisation_limits_create();
	rate_peak_init(&node->fleet_peak, 1, RATE_PEAK_RETENTION_US, 0);
}

static void node_create_plans(struct node *node)
{
	struct plan_book_options options;

	plan_book_options_default(&options);
	options.node_name = node->options.name;
	options.incarnation = node->options.incarnation;
	options.seed = node->options.seed;
	options.next_kv_id = &node->next_kv_id;
	options.counters = &node->counters;
	options.kv_timeout_us = node->options.kv_timeout_us;
	node->plans = plan_book_create(&options);
}

static void node_create_tables(struct node *node)
{
	node->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    call_free);
	node->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->attempts = g_hash_table_new(g_int64_hash, g_int64_equal);
	node->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	node->timers = timer_heap_create();
	node->outcomes = outcome_store_create(node->options.max_outcomes,
					      node->options.max_outcome_bytes);
	node->shards = g_ptr_array_new_with_free_func(shard_destroy);
	node->service_shards = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, shard_list_destroy);
	node->home_tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, home_ticket_destroy);
	node->lengths = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      lengths_free);
	node->shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     placement_free);
	node->leaving =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Creates a node that has not started yet. The options are copied; the caller
 * owns the node and frees it with node_destroy.
 */
struct node *node_create(const struct node_options *options)
{
	struct node *node = g_new0(struct node, 1);

	node_copy_options(node, options);
	node->random = g_rand_new_with_seed((guint32)options->seed);
	node->next_attempt = 1;
	node->next_kv_id = 1;
	node->membership =
		node_create_membership(&node->options, node->options.seeds);
	node_create_tables(node);
	node_create_limits(node);
	node_losses_init(node);
	node_create_plans(node);
	node_rollout_create(node);
	node_discovery_create(node);
	return node;
}

static void node_free_options(struct node *node)
{
	g_free((char *)node->options.name);
	g_free((char *)node->options.region);
	g_free((char *)node->options.failure_domain);
	g_free((char *)node->options.http_address);
	g_free((char *)node->options.peer_address);
	g_free((char *)node->options.event_key);
	g_strfreev(node->seeds);
}

/* Frees a node and all that it owns; NULL is allowed. */
void node_destroy(struct node *node)
{
	if (!node)
		return;
	holder_destroy(node->own_entry);
	g_hash_table_destroy(node->claims);
	g_hash_table_destroy(node->attempts);
	g_hash_table_destroy(node->tickets);
	g_hash_table_destroy(node->calls);
	g_hash_table_destroy(node->home_tickets);
	g_hash_table_destroy(node->shares);
	g_hash_table_destroy(node->leaving);
	g_hash_table_destroy(node->service_shards);
	g_ptr_array_unref(node->shards);
	g_hash_table_destroy(node->lengths);
	outcome_store_destroy(node->outcomes);
	retry_budget_destroy(node->retries);
	node_losses_clear(node);
	organisation_limits_destroy(node->limits);
	plan_book_destroy(node->plans);
	node_rollout_destroy(node);
	timer_heap_destroy(node->timers);
	membership_destroy(node->membership);
	config_unref(node->config);
	g_clear_pointer(&node->config_document, g_bytes_unref);
	g_rand_free(node->random);
	node_free_options(node);
	g_free(node);
}
