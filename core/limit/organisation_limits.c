#include "core/limit/organisation_limits.h"

#define SHARE_LIFE_US (15 * G_USEC_PER_SEC)
#define REPORT_LIFE_US (15 * G_USEC_PER_SEC)
#define RETRY_LEAST_US 100000
#define TOKENS_RETRY_US 1000000
#define DEMAND_WEIGHT 0.5 /* of the newest interval */

/* What one entry node knows of one organisation. */
struct organisation_use {
	char *name;
	double stock;	   /* requests it may still admit */
	int64_t filled_us; /* when the stock was brought up to date */
	int64_t tokens;	   /* held by its requests here */
	int64_t asked;	   /* requests since the last report */
	double demand;	   /* requests per second, smoothed */
	int64_t reported_us;
	bool reported_idle; /* the last report said that nothing is wanted */
	double share_rate;
	int64_t share_tokens;
	int64_t share_us; /* when the share came; 0: never */
};

/* What the home knows of one node's demand. */
struct node_demand {
	char *node;
	double rate;
	double tokens;
	int64_t heard_us;
};

struct organisation_limits {
	GHashTable *uses;    /* name to struct organisation_use */
	GHashTable *demands; /* name to GPtrArray of struct node_demand */
};

static void organisation_use_destroy(gpointer data)
{
	struct organisation_use *use = data;

	g_free(use->name);
	g_free(use);
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

/* Empty limits: nothing held, nothing reported. */
struct organisation_limits *organisation_limits_create(void)
{
	struct organisation_limits *limits =
		g_new0(struct organisation_limits, 1);

	limits->uses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     organisation_use_destroy);
	limits->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						demands_destroy);
	return limits;
}

/* Frees the limits; NULL is allowed. */
void organisation_limits_destroy(struct organisation_limits *limits)
{
	if (!limits)
		return;
	g_hash_table_destroy(limits->uses);
	g_hash_table_destroy(limits->demands);
	g_free(limits);
}

static struct organisation_use *limits_use(struct organisation_limits *limits,
					   const char *name)
{
	struct organisation_use *use = g_hash_table_lookup(limits->uses, name);

	if (use)
		return use;
	use = g_new0(struct organisation_use, 1);
	use->name = g_strdup(name);
	use->stock = 1;
	g_hash_table_insert(limits->uses, use->name, use);
	return use;
}

static bool use_has_share(const struct organisation_use *use, int64_t now_us)
{
	return use->share_us && now_us - use->share_us <= SHARE_LIFE_US;
}

static double use_rate(const struct organisation_use *use,
		       const struct config_organisation *organisation,
		       size_t node_count, int64_t now_us)
{
	if (use_has_share(use, now_us))
		return use->share_rate;
	return (double)organisation->requests_per_s /
	       (double)MAX(node_count, 1);
}

static int64_t use_token_share(const struct organisation_use *use,
			       const struct config_organisation *organisation,
			       size_t node_count, int64_t now_us)
{
	if (use_has_share(use, now_us))
		return use->share_tokens;
	return organisation->concurrent_tokens / (int64_t)MAX(node_count, 1);
}

/* One second's worth may be saved up, and at least one request. */
static void use_fill(struct organisation_use *use, double rate, int64_t now_us)
{
	double seconds = (double)(now_us - use->filled_us) / G_USEC_PER_SEC;

	use->filled_us = now_us;
	use->stock = MIN(use->stock + rate * seconds, MAX(rate, 1));
}

/*
 * Admits a request of so many tokens to begin with, or says which limit it is
 * over and when to come back. Limits of 0 are none. An admitted request's
 * tokens are counted until organisation_limits_add_tokens takes them off.
 */
enum refusal
organisation_limits_admit(struct organisation_limits *limits,
			  const struct config_organisation *organisation,
			  int64_t tokens, size_t node_count, int64_t now_us,
			  int64_t *retry_after_us)
{
	struct organisation_use *use = limits_use(limits, organisation->name);
	double rate = use_rate(use, organisation, node_count, now_us);

	use->asked++;
	if (organisation->concurrent_tokens > 0 && use->tokens > 0 &&
	    use->tokens + tokens >
		    use_token_share(use, organisation, node_count, now_us)) {
		*retry_after_us = TOKENS_RETRY_US;
		return REFUSAL_TOKEN_LIMIT;
	}
	if (organisation->requests_per_s > 0) {
		use_fill(use, rate, now_us);
		if (use->stock < 1) {
			*retry_after_us =
				MAX((int64_t)((1 - use->stock) /
					      MAX(rate, 0.01) * G_USEC_PER_SEC),
				    RETRY_LEAST_US);
			return REFUSAL_RATE_LIMIT;
		}
		use->stock -= 1;
	}
	use->tokens += tokens;
	return REFUSAL_NONE;
}

/* Counts tokens made, or with a negative number tokens let go. */
void organisation_limits_add_tokens(struct organisation_limits *limits,
				    const char *organisation, int64_t tokens)
{
	struct organisation_use *use = limits_use(limits, organisation);

	use->tokens = MAX(use->tokens + tokens, 0);
}

/* Writes what this node wants of an organisation's limit. */
void organisation_limits_report(struct organisation_limits *limits,
				const char *organisation, int64_t now_us,
				struct peer_limit *report)
{
	struct organisation_use *use = limits_use(limits, organisation);
	double seconds =
		MAX((double)(now_us - use->reported_us), 1) / G_USEC_PER_SEC;
	double asked = (double)use->asked / seconds;

	use->demand += (asked - use->demand) * DEMAND_WEIGHT;
	use->asked = 0;
	use->reported_us = now_us;
	report->rate_per_ks = (int64_t)(use->demand * 1000);
	report->tokens = use->tokens;
	use->reported_idle = report->rate_per_ks == 0 && use->tokens == 0;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(const char *const *)a, *(const char *const *)b);
}

/* Names (not owned) of the organisations that have something to report. */
GPtrArray *organisation_limits_active(struct organisation_limits *limits)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct organisation_use *use = value;

		if (use->asked || use->tokens || !use->reported_idle)
			g_ptr_array_add(names, use->name);
	}
	g_ptr_array_sort(names, compare_names);
	return names;
}

/* Takes the share that the home has worked out for this node. */
void organisation_limits_take_share(struct organisation_limits *limits,
				    const char *organisation,
				    const struct peer_limit *share,
				    int64_t now_us)
{
	struct organisation_use *use = limits_use(limits, organisation);

	use->share_rate = (double)MAX(share->rate_per_ks, 0) / 1000;
	use->share_tokens = MAX(share->tokens, 0);
	use->share_us = now_us;
}

static struct node_demand *demands_find(GPtrArray *demands, const char *node)
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

static void demands_forget_silent(GPtrArray *demands, int64_t now_us)
{
	for (guint i = demands->len; i > 0; i--) {
		struct node_demand *demand = g_ptr_array_index(demands, i - 1);

		if (now_us - demand->heard_us > REPORT_LIFE_US)
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
 * Max-min fair: who wants little gets it, the others share the rest alike,
 * and what nobody wants is spread, so that a node can start at once.
 */
static double divide_fairly(double limit, GArray *wants, double want)
{
	double left = limit;
	double given = 0;
	bool found = false;

	g_array_sort(wants, compare_doubles);
	for (guint i = 0; i < wants->len; i++) {
		double other = g_array_index(wants, double, i);
		double fair = left / (wants->len - i);
		double part = MIN(other, fair);

		left -= part;
		if (!found && other >= want) {
			given = part;
			found = true;
		}
	}
	return given + left / MAX(wants->len, 1);
}

static GArray *demands_wants(const GPtrArray *demands, bool tokens)
{
	GArray *wants = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < demands->len; i++) {
		const struct node_demand *demand =
			g_ptr_array_index(demands, i);
		double want = tokens ? demand->tokens : demand->rate;

		g_array_append_val(wants, want);
	}
	return wants;
}

/* Takes a node's report and works out that node's share of both limits. */
void organisation_limits_divide(struct organisation_limits *limits,
				const struct config_organisation *organisation,
				const char *node,
				const struct peer_limit *report, int64_t now_us,
				struct peer_limit *share)
{
	GPtrArray *demands =
		g_hash_table_lookup(limits->demands, organisation->name);
	struct node_demand *demand;
	GArray *wants;

	if (!demands) {
		demands = g_ptr_array_new_with_free_func(node_demand_destroy);
		g_hash_table_insert(limits->demands,
				    g_strdup(organisation->name), demands);
	}
	demand = demands_find(demands, node);
	demand->rate = (double)MAX(report->rate_per_ks, 0) / 1000;
	demand->tokens = (double)MAX(report->tokens, 0);
	demand->heard_us = now_us;
	demands_forget_silent(demands, now_us);
	wants = demands_wants(demands, false);
	share->rate_per_ks =
		(int64_t)(1000 * divide_fairly(organisation->requests_per_s,
					       wants, demand->rate));
	g_array_unref(wants);
	wants = demands_wants(demands, true);
	share->tokens = (int64_t)divide_fairly(
		(double)organisation->concurrent_tokens, wants, demand->tokens);
	g_array_unref(wants);
}
