#include "core/limit/organisation_limits.h"

#define SHARE_TTL_US (15 * G_USEC_PER_SEC)
#define REPORT_TTL_US (15 * G_USEC_PER_SEC)
#define MIN_RATE_RETRY_AFTER_US 100000
#define TOKEN_RETRY_AFTER_US 1000000
#define DEMAND_WEIGHT 0.5 /* weight of the newest interval */

/* Current usage of one organisation on an entry node. */
struct organisation_usage {
	char *name;
	double credit;	     /* requests that may be admitted now */
	int64_t refilled_us; /* last update of credit */
	int64_t tokens;	     /* held by its running requests here */
	int64_t requests;    /* received since the last report */
	double demand;	     /* requests per second, smoothed */
	int64_t reported_us;
	bool reported_idle; /* the last report had no demand */
	double share_rate;
	int64_t share_tokens;
	int64_t share_us; /* when the share arrived; 0: never */
};

/* Demand in the last report of one node, kept by the home. */
struct node_demand {
	char *node;
	double rate;
	double tokens;
	int64_t received_us;
};

struct organisation_limits {
	GHashTable *usages;  /* name to struct organisation_usage */
	GHashTable *demands; /* name to GPtrArray of struct node_demand */
};

static void organisation_usage_destroy(gpointer data)
{
	struct organisation_usage *usage = data;

	g_free(usage->name);
	g_free(usage);
}

static void node_demand_destroy(gpointer data)
{
	struct node_demand *demand = data;

	g_free(demand->node);
	g_free(demand);
}

static void demands_destroy(gpointer data)
{
	g_ptr_array_unref(data);
}

/*
 * Creates limits without any usage or reported demand. The caller frees them
 * with organisation_limits_destroy.
 */
struct organisation_limits *organisation_limits_create(void)
{
	struct organisation_limits *limits =
		g_new0(struct organisation_limits, 1);

	limits->usages = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       organisation_usage_destroy);
	limits->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						demands_destroy);
	return limits;
}

/* Frees the limits; NULL is allowed. */
void organisation_limits_destroy(struct organisation_limits *limits)
{
	if (!limits)
		return;
	g_hash_table_destroy(limits->usages);
	g_hash_table_destroy(limits->demands);
	g_free(limits);
}

static struct organisation_usage *
limits_ensure_usage(struct organisation_limits *limits, const char *name)
{
	struct organisation_usage *usage =
		g_hash_table_lookup(limits->usages, name);

	if (usage)
		return usage;
	usage = g_new0(struct organisation_usage, 1);
	usage->name = g_strdup(name);
	usage->credit = 1;
	g_hash_table_insert(limits->usages, usage->name, usage);
	return usage;
}

static bool usage_has_fresh_share(const struct organisation_usage *usage,
				  int64_t now_us)
{
	return usage->share_us && now_us - usage->share_us <= SHARE_TTL_US;
}

static double usage_rate(const struct organisation_usage *usage,
			 const struct config_organisation *organisation,
			 const struct rate_fleet *fleet, int64_t now_us)
{
	if (usage_has_fresh_share(usage, now_us))
		return usage->share_rate;
	return (double)organisation->requests_per_s / (double)fleet->most_nodes;
}

static int64_t usage_token_share(const struct organisation_usage *usage,
				 const struct config_organisation *organisation,
				 const struct rate_fleet *fleet, int64_t now_us)
{
	if (usage_has_fresh_share(usage, now_us))
		return usage->share_tokens;
	return organisation->concurrent_tokens / (int64_t)fleet->most_nodes;
}

/* Credit accumulates up to one second of the rate, and at least 1 request. */
static void usage_refill(struct organisation_usage *usage, double rate,
			 int64_t now_us)
{
	double seconds = (double)(now_us - usage->refilled_us) / G_USEC_PER_SEC;

	usage->refilled_us = now_us;
	usage->credit = MIN(usage->credit + rate * seconds, MAX(rate, 1));
}

/*
 * Admits a request that initially holds the given number of tokens. If it
 * exceeds a limit, returns which one and sets retry_after_us to the time in us
 * after which to retry. A limit of 0 means unlimited. The tokens of an admitted
 * request are counted until organisation_limits_add_tokens subtracts them.
 */
enum refusal
organisation_limits_admit(struct organisation_limits *limits,
			  const struct config_organisation *organisation,
			  int64_t tokens, const struct rate_fleet *fleet,
			  int64_t now_us, int64_t *retry_after_us)
{
	struct organisation_usage *usage =
		limits_ensure_usage(limits, organisation->name);
	double rate = usage_rate(usage, organisation, fleet, now_us);

	usage->requests++;
	if (organisation->concurrent_tokens > 0 && usage->tokens > 0 &&
	    usage->tokens + tokens >
		    usage_token_share(usage, organisation, fleet, now_us)) {
		*retry_after_us = TOKEN_RETRY_AFTER_US;
		return REFUSAL_TOKEN_LIMIT;
	}
	if (organisation->requests_per_s > 0) {
		usage_refill(usage, rate, now_us);
		if (usage->credit < 1) {
			*retry_after_us =
				MAX((int64_t)((1 - usage->credit) /
					      MAX(rate, 0.01) * G_USEC_PER_SEC),
				    MIN_RATE_RETRY_AFTER_US);
			return REFUSAL_RATE_LIMIT;
		}
		usage->credit -= 1;
	}
	usage->tokens += tokens;
	return REFUSAL_NONE;
}

/* Adds output tokens to those held; a negative number releases tokens. */
void organisation_limits_add_tokens(struct organisation_limits *limits,
				    const char *organisation, int64_t tokens)
{
	struct organisation_usage *usage =
		limits_ensure_usage(limits, organisation);

	usage->tokens = MAX(usage->tokens + tokens, 0);
}

/*
 * Writes this node's demand on an organisation's limits into the report and
 * starts the next interval.
 */
void organisation_limits_report(struct organisation_limits *limits,
				const char *organisation, int64_t now_us,
				struct peer_limit *report)
{
	struct organisation_usage *usage =
		limits_ensure_usage(limits, organisation);
	double seconds =
		MAX((double)(now_us - usage->reported_us), 1) / G_USEC_PER_SEC;
	double rate = (double)usage->requests / seconds;

	usage->demand += (rate - usage->demand) * DEMAND_WEIGHT;
	usage->requests = 0;
	usage->reported_us = now_us;
	report->rate_per_ks = (int64_t)(usage->demand * 1000);
	report->tokens = usage->tokens;
	usage->reported_idle = report->rate_per_ks == 0 && usage->tokens == 0;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Returns the sorted names of the organisations that have something to report.
 * The caller frees the array; the names belong to the limits.
 */
GPtrArray *organisation_limits_list_active(struct organisation_limits *limits)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->usages);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct organisation_usage *usage = value;

		if (usage->requests || usage->tokens || !usage->reported_idle)
			g_ptr_array_add(names, usage->name);
	}
	g_ptr_array_sort(names, compare_names);
	return names;
}

/* Applies the share that the home has computed for this node. */
void organisation_limits_apply_share(struct organisation_limits *limits,
				     const char *organisation,
				     const struct peer_limit *share,
				     int64_t now_us)
{
	struct organisation_usage *usage =
		limits_ensure_usage(limits, organisation);

	usage->share_rate = (double)MAX(share->rate_per_ks, 0) / 1000;
	usage->share_tokens = MAX(share->tokens, 0);
	usage->share_us = now_us;
}

static struct node_demand *demands_ensure(GPtrArray *demands, const char *node)
{
	struct node_demand *demand;

	for (guint i = 0; i < demands->len; i++) {
		demand = g_ptr_array_index(demands, i);
		if (g_str_equal(demand->node, node))
			return demand;
	}
	demand = g_new0(struct node_demand, 1);
	demand->node = g_strdup(node);
	g_ptr_array_add(demands, demand);
	return demand;
}

static void demands_remove_expired(GPtrArray *demands, int64_t now_us)
{
	for (guint i = demands->len; i > 0; i--) {
		struct node_demand *demand = g_ptr_array_index(demands, i - 1);

		if (now_us - demand->received_us > REPORT_TTL_US)
			g_ptr_array_remove_index(demands, i - 1);
	}
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the max-min fair share of the node with the given demand: small
 * demands are granted in full and the others share the rest equally. What
 * remains above all demands is spread equally, so that a node can admit new
 * traffic at once. Sorts demands.
 */
static double max_min_share(double limit, GArray *demands, double demand)
{
	double remaining = limit;
	double granted = 0;
	bool found = false;

	g_array_sort(demands, compare_doubles);
	for (guint i = 0; i < demands->len; i++) {
		double other = g_array_index(demands, double, i);
		double fair = remaining / (demands->len - i);
		double part = MIN(other, fair);

		remaining -= part;
		if (!found && other >= demand) {
			granted = part;
			found = true;
		}
	}
	return granted + remaining / MAX(demands->len, 1);
}

static GArray *demands_copy_values(const GPtrArray *demands, bool tokens)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < demands->len; i++) {
		const struct node_demand *demand =
			g_ptr_array_index(demands, i);
		double value = tokens ? demand->tokens : demand->rate;

		g_array_append_val(values, value);
	}
	return values;
}

/*
 * Stores a node's report and computes that node's share of both limits from
 * the reports of all nodes that have not expired. The home divides the part of
 * the nodes of its region, of all nodes that were live lately.
 */
void organisation_limits_divide(struct organisation_limits *limits,
				const struct config_organisation *organisation,
				const struct rate_fleet *fleet,
				const char *node,
				const struct peer_limit *report, int64_t now_us,
				struct peer_limit *share)
{
	double part = (double)fleet->region_nodes / (double)fleet->most_nodes;
	GPtrArray *demands =
		g_hash_table_lookup(limits->demands, organisation->name);
	struct node_demand *demand;
	GArray *values;

	if (!demands) {
		demands = g_ptr_array_new_with_free_func(node_demand_destroy);
		g_hash_table_insert(limits->demands,
				    g_strdup(organisation->name), demands);
	}
	demand = demands_ensure(demands, node);
	demand->rate = (double)MAX(report->rate_per_ks, 0) / 1000;
	demand->tokens = (double)MAX(report->tokens, 0);
	demand->received_us = now_us;
	demands_remove_expired(demands, now_us);
	values = demands_copy_values(demands, false);
	share->rate_per_ks =
		(int64_t)(1000 *
			  max_min_share(part * organisation->requests_per_s,
					values, demand->rate));
	g_array_unref(values);
	values = demands_copy_values(demands, true);
	share->tokens = (int64_t)max_min_share(
		part * (double)organisation->concurrent_tokens, values,
		demand->tokens);
	g_array_unref(values);
}
