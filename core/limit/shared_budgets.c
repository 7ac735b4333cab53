#include "core/limit/shared_budgets.h"

/*
 * Nodes that are reckoned with before they are known: after a start, or cut
 * off, a node knows only itself and would take the part of all.
 */
#define LEAST_NODES 6

/* Of the fixed number of retries; the rest may be saved up. */
#define REFILL_SHARE 0.35

struct shared_budgets {
	struct shared_budgets_options options;
	GHashTable *budgets; /* service to struct retry_budget */
	size_t most_nodes;   /* seen at once */
	double refill;	     /* of each budget, not yet a whole retry */
	int64_t created_us;
	int64_t refilled_us;
};

static void budget_free(gpointer data)
{
	retry_budget_destroy(data);
}

/* Budgets of services that are not known yet; options are copied. */
struct shared_budgets *
shared_budgets_create(const struct shared_budgets_options *options,
		      int64_t now_us)
{
	struct shared_budgets *budgets = g_new0(struct shared_budgets, 1);

	budgets->options = *options;
	budgets->most_nodes = LEAST_NODES;
	budgets->created_us = now_us;
	budgets->refilled_us = now_us;
	budgets->budgets = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, budget_free);
	return budgets;
}

/* Frees the budgets; NULL is allowed. */
void shared_budgets_destroy(struct shared_budgets *budgets)
{
	if (!budgets)
		return;
	g_hash_table_unref(budgets->budgets);
	g_free(budgets);
}

/* What a node may save up of the fixed number of retries. */
static int32_t burst(const struct shared_budgets *budgets)
{
	double all = (1 - REFILL_SHARE) * (double)budgets->options.extra;

	return MAX((int32_t)(all / (double)budgets->most_nodes), 1);
}

static void resize(struct shared_budgets *budgets)
{
	GHashTableIter iter;
	gpointer budget;

	g_hash_table_iter_init(&iter, budgets->budgets);
	while (g_hash_table_iter_next(&iter, NULL, &budget))
		retry_budget_resize(budget, budgets->options.percent,
				    burst(budgets));
}

/* Takes over other limits; what was used stays used. */
void shared_budgets_set_limits(struct shared_budgets *budgets, int32_t percent,
			       int64_t extra)
{
	budgets->options.percent = percent;
	budgets->options.extra = extra;
	resize(budgets);
}

/*
 * By how many nodes the fixed number is divided: the most that were seen, for
 * nodes cut from one another must not each take the part of all.
 */
static void count_nodes(struct shared_budgets *budgets, size_t nodes)
{
	if (nodes <= budgets->most_nodes)
		return;
	budgets->most_nodes = nodes;
	resize(budgets);
}

static double refill_per_us(const struct shared_budgets *budgets)
{
	return REFILL_SHARE * (double)budgets->options.extra /
	       ((double)budgets->most_nodes *
		(double)budgets->options.window_us);
}

/*
 * The fixed number of retries comes back over the window; what a node may
 * save up and what comes back in a window are together its part of it.
 */
static void refill(struct shared_budgets *budgets, int64_t now_us)
{
	GHashTableIter iter;
	gpointer budget;

	budgets->refill += refill_per_us(budgets) *
			   (double)(now_us - budgets->refilled_us);
	budgets->refilled_us = now_us;
	if (budgets->refill < 1)
		return;
	budgets->refill -= 1;
	g_hash_table_iter_init(&iter, budgets->budgets);
	while (g_hash_table_iter_next(&iter, NULL, &budget))
		retry_budget_add(budget, 1);
}

/* nodes: that are live now, this one included. now_us never falls. */
void shared_budgets_step(struct shared_budgets *budgets, size_t nodes,
			 int64_t now_us)
{
	count_nodes(budgets, nodes);
	refill(budgets, now_us);
}

/*
 * What a budget has that nobody asked for so far: what came back since this
 * process began. With a full stock at once, nodes that are all killed and start
 * again would send twice what all may send in a window.
 */
static int32_t first_stock(const struct shared_budgets *budgets)
{
	double saved = refill_per_us(budgets) *
		       (double)(budgets->refilled_us - budgets->created_us);

	return (int32_t)MIN(saved, (double)burst(budgets));
}

/* The retries of a service; owned by the budgets. */
struct retry_budget *shared_budgets_get(struct shared_budgets *budgets,
					const char *service)
{
	struct retry_budget *budget =
		g_hash_table_lookup(budgets->budgets, service);
	struct retry_budget_options options;

	if (budget)
		return budget;
	retry_budget_options_default(&options);
	options.percent = budgets->options.percent;
	options.burst = burst(budgets);
	options.first_stock = first_stock(budgets);
	budget = retry_budget_create(&options);
	g_hash_table_insert(budgets->budgets, g_strdup(service), budget);
	return budget;
}
