#include "tests/soak/soak_view.h"

struct node_view {
	char *front;
	char *via; /* a proxy that leads there */
	char *directory;
	int64_t served_us;
};

struct soak_view {
	GMutex lock;
	int32_t count;
	struct node_view *nodes;
	int32_t version;
	bool has_load;
	bool goes_on;
};

/* Addresses are set later. */
struct soak_view *soak_view_create(int32_t nodes)
{
	struct soak_view *view = g_new0(struct soak_view, 1);

	g_mutex_init(&view->lock);
	view->count = nodes;
	view->nodes = g_new0(struct node_view, nodes);
	view->has_load = true;
	view->goes_on = true;
	return view;
}

/* No thread may use it any more; NULL is allowed. */
void soak_view_destroy(struct soak_view *view)
{
	if (!view)
		return;
	for (int32_t i = 0; i < view->count; i++) {
		g_free(view->nodes[i].front);
		g_free(view->nodes[i].via);
		g_free(view->nodes[i].directory);
	}
	g_free(view->nodes);
	g_mutex_clear(&view->lock);
	g_free(view);
}

/* Where a node listens from now on, and the way there. */
void soak_view_set_node(struct soak_view *view, int32_t node, const char *front,
			const char *via, const char *directory)
{
	struct node_view *of = &view->nodes[node];

	g_mutex_lock(&view->lock);
	g_free(of->front);
	g_free(of->via);
	g_free(of->directory);
	of->front = g_strdup(front);
	of->via = g_strdup(via);
	of->directory = g_strdup(directory);
	g_mutex_unlock(&view->lock);
}

/* A copy, for the caller to free. */
char *soak_view_front(struct soak_view *view, int32_t node)
{
	char *front;

	g_mutex_lock(&view->lock);
	front = g_strdup(view->nodes[node].front);
	g_mutex_unlock(&view->lock);
	return front;
}

/* Where a caller connects that means that front; the caller frees it. */
char *soak_view_way_to(struct soak_view *view, const char *front)
{
	char *via = NULL;

	g_mutex_lock(&view->lock);
	for (int32_t i = 0; i < view->count && !via; i++) {
		if (g_strcmp0(view->nodes[i].front, front) == 0)
			via = g_strdup(view->nodes[i].via);
	}
	g_mutex_unlock(&view->lock);
	return via ? via : g_strdup(front);
}

/* A copy, for the caller to free. */
char *soak_view_directory(struct soak_view *view, int32_t node)
{
	char *directory;

	g_mutex_lock(&view->lock);
	directory = g_strdup(view->nodes[node].directory);
	g_mutex_unlock(&view->lock);
	return directory;
}

/* How many nodes there are. */
int32_t soak_view_nodes(const struct soak_view *view)
{
	return view->count;
}

/* The newest configuration that the store has accepted. */
void soak_view_set_version(struct soak_view *view, int32_t index)
{
	g_mutex_lock(&view->lock);
	view->version = index;
	g_mutex_unlock(&view->lock);
}

/* The newest configuration that the store has accepted. */
int32_t soak_view_version(struct soak_view *view)
{
	int32_t version;

	g_mutex_lock(&view->lock);
	version = view->version;
	g_mutex_unlock(&view->lock);
	return version;
}

static void view_set(struct soak_view *view, bool *flag, bool value)
{
	g_mutex_lock(&view->lock);
	*flag = value;
	g_mutex_unlock(&view->lock);
}

static bool view_get(struct soak_view *view, const bool *flag)
{
	bool value;

	g_mutex_lock(&view->lock);
	value = *flag;
	g_mutex_unlock(&view->lock);
	return value;
}

/* Callers begin nothing new; probes go on. */
void soak_view_end_load(struct soak_view *view)
{
	view_set(view, &view->has_load, false);
}

/* Whether callers still begin new requests. */
bool soak_view_has_load(struct soak_view *view)
{
	return view_get(view, &view->has_load);
}

/* Probes end too. */
void soak_view_end(struct soak_view *view)
{
	view_set(view, &view->has_load, false);
	view_set(view, &view->goes_on, false);
}

/* Whether probes go on. */
bool soak_view_goes_on(struct soak_view *view)
{
	return view_get(view, &view->goes_on);
}

/* The node has just answered a probe with 200. */
void soak_view_note_served(struct soak_view *view, int32_t node)
{
	g_mutex_lock(&view->lock);
	view->nodes[node].served_us = g_get_monotonic_time();
	g_mutex_unlock(&view->lock);
}

/* When that was last; 0: never. */
int64_t soak_view_served_us(struct soak_view *view, int32_t node)
{
	int64_t served_us;

	g_mutex_lock(&view->lock);
	served_us = view->nodes[node].served_us;
	g_mutex_unlock(&view->lock);
	return served_us;
}
