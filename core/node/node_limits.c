#include "core/node/node_state.h"

#include "core/limit/rate_fleet.h"

#include <string.h>

/*
 * Limits of organisations across nodes. Each node reports its demand to the
 * organisation's home and admits calls within the share that the home returns.
 */

/* The interval of reports grows with the number of active organisations. */
#define LIMITS_MIN_INTERVAL_US G_USEC_PER_SEC
#define LIMITS_MAX_INTERVAL_US (5 * G_USEC_PER_SEC)
#define LIMITS_PER_ORGANISATION_US 25000

#define FLEET_INTERVAL_US (100 * 1000)

static const struct member *organisation_home(const struct node *node,
					      const char *organisation)
{
	return home_find(node->membership, node->options.region, organisation,
			 0);
}

/* The fleet among which limits are divided; not read anew for each call. */
static const struct rate_fleet *node_fleet(struct node *node)
{
	if (node->fleet.nodes > 0 &&
	    node->now_us - node->fleet_read_us < FLEET_INTERVAL_US)
		return &node->fleet;
	node->fleet = rate_fleet_read(node->membership, &node->fleet_peak,
				      node->now_us);
	node->fleet_read_us = node->now_us;
	return &node->fleet;
}

/*
 * Counts the call's prompt against the limits of its organisation. Refuses the
 * call and returns false if a limit is exceeded.
 */
bool node_limits_admit(struct node *node, struct call *call)
{
	const struct config_organisation *organisation =
		config_find_organisation(node->config, call->organisation);
	int64_t tokens = call->request->prompt_tokens;
	int64_t retry_after_us = 0;
	enum refusal refusal;

	refusal = organisation_limits_admit(node->limits, organisation, tokens,
					    node_fleet(node), node->now_us,
					    &retry_after_us);
	if (refusal == REFUSAL_NONE) {
		call->counted_tokens = tokens;
		return true;
	}
	node_call_refuse(node, call, refusal, RUN_NO, retry_after_us);
	return false;
}

/* Counts generated tokens. */
void node_limits_add_tokens(struct node *node, struct call *call,
			    int64_t tokens)
{
	if (!call->counted_tokens)
		return;
	call->counted_tokens += tokens;
	organisation_limits_add_tokens(node->limits, call->organisation,
				       tokens);
}

/* Removes an ended call's tokens from the count. */
void node_limits_release(struct node *node, struct call *call)
{
	if (!call->counted_tokens)
		return;
	organisation_limits_add_tokens(node->limits, call->organisation,
				       -call->counted_tokens);
	call->counted_tokens = 0;
}

static uint32_t organisation_hash(const char *name)
{
	return (uint32_t)home_hash("organisation", name, 0);
}

/* NULL if the organisation is not, or not yet, in the configuration. */
static const struct config_organisation *
node_find_organisation(const struct node *node, uint32_t hash)
{
	for (guint i = 0; i < node->config->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(node->config->organisations, i);

		if (organisation_hash(organisation->name) == hash)
			return organisation;
	}
	return NULL;
}

/* Divides a limit where this node itself is the organisation's home. */
static void node_divide_locally(struct node *node,
				const struct config_organisation *organisation,
				const struct peer_limit *report)
{
	struct peer_limit share = {0};

	organisation_limits_divide(node->limits, organisation, node_fleet(node),
				   node->options.name, report, node->now_us,
				   &share);
	organisation_limits_apply_share(node->limits, organisation->name,
					&share, node->now_us);
}

/* The report to a home, created on first use. The table does not own it. */
static struct peer_message *limit_report_for(struct node *node,
					     GHashTable *reports,
					     const struct member *home)
{
	struct peer_message *message =
		g_hash_table_lookup(reports, home->peer_address);

	if (message)
		return message;
	message = node_message_create(node, PEER_LIMIT_REPORT);
	g_hash_table_insert(reports, g_strdup(home->peer_address), message);
	return message;
}

static bool
organisation_is_limited(const struct config_organisation *organisation)
{
	return organisation && (organisation->requests_per_s > 0 ||
				organisation->concurrent_tokens > 0);
}

static void node_report_organisation(struct node *node, GHashTable *reports,
				     const char *name)
{
	const struct config_organisation *organisation =
		config_find_organisation(node->config, name);
	const struct member *home = organisation_home(node, name);
	struct peer_limit report = {0};

	if (!organisation_is_limited(organisation) || !home)
		return;
	organisation_limits_report(node->limits, name, node->now_us, &report);
	if (strcmp(home->name, node->options.name) == 0) {
		node_divide_locally(node, organisation, &report);
		return;
	}
	report.organisation_hash = organisation_hash(name);
	*peer_limits_add(&limit_report_for(node, reports, home)->limits) =
		report;
}

/*
 * Reports the demand of the organisations that are active on this node to
 * their homes, and schedules the next report.
 */
void node_limits_report(struct node *node)
{
	GPtrArray *names = organisation_limits_list_active(node->limits);
	GHashTable *reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GList *addresses;

	for (guint i = 0; node->config && i < names->len; i++)
		node_report_organisation(node, reports,
					 g_ptr_array_index(names, i));
	addresses = g_list_sort(g_hash_table_get_keys(reports),
				(GCompareFunc)strcmp);
	for (GList *item = addresses; item; item = item->next)
		node_send(node, item->data,
			  g_hash_table_lookup(reports, item->data));
	g_list_free(addresses);
	g_hash_table_destroy(reports);
	node->next_limits_us =
		node->now_us +
		CLAMP((int64_t)names->len * LIMITS_PER_ORGANISATION_US,
		      LIMITS_MIN_INTERVAL_US, LIMITS_MAX_INTERVAL_US);
	g_ptr_array_unref(names);
}

static void node_answer_limit_report(struct node *node,
				     const struct peer_message *message)
{
	struct peer_message *answer =
		node_message_create(node, PEER_LIMIT_SHARE);

	for (guint i = 0; i < message->limits.limits->len; i++) {
		const struct peer_limit *report =
			g_ptr_array_index(message->limits.limits, i);
		const struct config_organisation *organisation =
			node_find_organisation(node, report->organisation_hash);
		struct peer_limit *share;

		if (!organisation)
			continue;
		share = peer_limits_add(&answer->limits);
		share->organisation_hash = report->organisation_hash;
		organisation_limits_divide(node->limits, organisation,
					   node_fleet(node), message->from,
					   report, node->now_us, share);
	}
	node_send(node, message->from_address, answer);
}

/* Handles another node's report, or a share that a home assigned. */
void node_limits_receive(struct node *node, const struct peer_message *message)
{
	if (!node->config)
		return;
	if (message->type == PEER_LIMIT_REPORT) {
		node_answer_limit_report(node, message);
		return;
	}
	for (guint i = 0; i < message->limits.limits->len; i++) {
		const struct peer_limit *share =
			g_ptr_array_index(message->limits.limits, i);
		const struct config_organisation *organisation =
			node_find_organisation(node, share->organisation_hash);

		if (organisation)
			organisation_limits_apply_share(node->limits,
							organisation->name,
							share, node->now_us);
	}
}
