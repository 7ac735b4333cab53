#include "core/limit/shared_budgets.h"

#include "core/limit/rate_share.h"

/*
 * Number of nodes assumed until more are seen. After a start or in a network
 * partition, a node knows only itself and would use the parts of all nodes.
 */
#define MIN_NODES 6

/*
 * Fraction of a node's part of the extra retries that a process gains during
 * its first window; after it, the process may use the rest. The rest is
 * reserved in the first window for the retries of the previous process:
 * otherwise, if all nodes are killed and restart, a window could have twice the
 * allowed number of retries.
 */
#define FIRST_WINDOW_SHARE 0.25

struct shared_budgets {
	struct shared_budgets_options options;
	GHashTable *windows;   /* service to struct retry_window */
	struct rate_peak peak; /* of the nodes, since the start */
	int64_t created_us;
	int64_t now_us;
};

static void window_free(gpointer data)
{
	retry_window_destroy(data);
}

/*
 * Creates budgets without services; these are added when first used. The
 * options are copied. The caller frees the budgets with shared_budgets_destroy.
 */
struct shared_budgets *
shared_budgets_create(const struct shared_budgets_options *options,
		      int64_t now_us)
{
	struct shared_budgets *budgets = g_new0(struct shared_budgets, 1);

	budgets->options = *options;
	rate_peak_init(&budgets->peak, MIN_NODES, 0, now_us);
	budgets->created_us = now_us;
	budgets->now_us = now_us;
	budgets->windows = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, window_free);
	return budgets;
}

/* Frees the budgets; NULL is allowed. */
void shared_budgets_destroy(struct shared_budgets *budgets)
{
	if (!budgets)
		return;
	g_hash_table_unref(budgets->windows);
	g_free(budgets);
}

/* Returns this node's current part of the extra retries of a window. */
static double node_extra(const struct shared_budgets *budgets)
{
	double all = (double)budgets->options.extra;
	int64_t age_us = budgets->now_us - budgets->created_us;
	int64_t window_us = budgets->options.window_us;
	double share = 1 - FIRST_WINDOW_SHARE;

	if (age_us < window_us)
		share = FIRST_WINDOW_SHARE * (double)age_us / (double)window_us;
	return rate_peak_divide(&budgets->peak, share * all);
}

static void update_window(const struct shared_budgets *budgets,
			  struct retry_window *window)
{
	retry_window_step(window, budgets->now_us);
	retry_window_set_limits(window, budgets->options.percent,
				node_extra(budgets));
}

static void update_all_windows(const struct shared_budgets *budgets)
{
	GHashTableIter iter;
	gpointer window;

	g_hash_table_iter_init(&iter, budgets->windows);
	while (g_hash_table_iter_next(&iter, NULL, &window))
		update_window(budgets, window);
}

/* Changes the limits; retries already used in the window still count. */
void shared_budgets_set_limits(struct shared_budgets *budgets, int32_t percent,
			       int64_t extra)
{
	budgets->options.percent = percent;
	budgets->options.extra = extra;
	update_all_windows(budgets);
}

/*
 * Updates all budgets to now_us, which must never decrease. nodes is the number
 * of live nodes, including this one. The extra retries are divided by the most
 * nodes ever seen at once, because partitioned nodes must not each use the
 * parts of all nodes.
 */
void shared_budgets_step(struct shared_budgets *budgets, size_t nodes,
			 int64_t now_us)
{
	budgets->now_us = now_us;
	rate_peak_update(&budgets->peak, nodes, now_us);
	update_all_windows(budgets);
}

/*
 * Returns the retry window of a service, and creates it on first use. The
 * budgets own it.
 */
struct retry_window *shared_budgets_get(struct shared_budgets *budgets,
					const char *service)
{
	struct retry_window *window =
		g_hash_table_lookup(budgets->windows, service);

	if (window)
		return window;
	window = retry_window_create(budgets->options.window_us,
				     budgets->now_us);
	update_window(budgets, window);
	g_hash_table_insert(budgets->windows, g_strdup(service), window);
	return window;
}
