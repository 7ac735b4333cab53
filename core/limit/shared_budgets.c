#include "core/limit/shared_budgets.h"

/*
 * Nodes that are reckoned with before they are known: after a start, or cut
 * off, a node knows only itself and would take the part of all.
 */
#define LEAST_NODES 6

/*
 * Of its part of the fixed number, for a process in its first window. The rest
 * is for what the process before it may have sent in the same window: nodes
 * that are all killed and start again would otherwise send twice what all may.
 */
#define FIRST_SHARE 0.25

struct shared_budgets {
	struct shared_budgets_options options;
	GHashTable *windows; /* service to struct retry_window */
	size_t most_nodes;   /* seen at once */
	int64_t created_us;
	int64_t now_us;
};

static void window_free(gpointer data)
{
	retry_window_destroy(data);
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

/* What this node may send now in a window, of the fixed number of retries. */
static double part(const struct shared_budgets *budgets)
{
	double all = (double)budgets->options.extra;
	int64_t age_us = budgets->now_us - budgets->created_us;
	int64_t window_us = budgets->options.window_us;
	double share = 1 - FIRST_SHARE;

	if (age_us < window_us)
		share = FIRST_SHARE * (double)age_us / (double)window_us;
	return share * all / (double)budgets->most_nodes;
}

static void bring_up_to_date(const struct shared_budgets *budgets,
			     struct retry_window *window)
{
	retry_window_step(window, budgets->now_us);
	retry_window_set_limits(window, budgets->options.percent,
				part(budgets));
}

static void bring_all_up_to_date(const struct shared_budgets *budgets)
{
	GHashTableIter iter;
	gpointer window;

	g_hash_table_iter_init(&iter, budgets->windows);
	while (g_hash_table_iter_next(&iter, NULL, &window))
		bring_up_to_date(budgets, window);
}

/* Takes over other limits; what was used stays used. */
void shared_budgets_set_limits(struct shared_budgets *budgets, int32_t percent,
			       int64_t extra)
{
	budgets->options.percent = percent;
	budgets->options.extra = extra;
	bring_all_up_to_date(budgets);
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
}

/* nodes: that are live now, this one included. now_us never falls. */
void shared_budgets_step(struct shared_budgets *budgets, size_t nodes,
			 int64_t now_us)
{
	budgets->now_us = now_us;
	count_nodes(budgets, nodes);
	bring_all_up_to_date(budgets);
}

/* The retries of a service; owned by the budgets. */
struct retry_window *shared_budgets_get(struct shared_budgets *budgets,
					const char *service)
{
	struct retry_window *window =
		g_hash_table_lookup(budgets->windows, service);

	if (window)
		return window;
	window = retry_window_create(budgets->options.window_us,
				     budgets->now_us);
	bring_up_to_date(budgets, window);
	g_hash_table_insert(budgets->windows, g_strdup(service), window);
	return window;
}
