#include "tests/soak/soak_view.h"

struct node_view {
	char *front;
	char *connect_address; /* address to connect to, maybe a proxy */
	char *directory;
	int64_t served_us;
};

struct soak_view {
	GMutex lock;
	int32_t count;
	struct node_view *nodes;
	int32_t version;
	bool has_load;
	bool has_probes;
};

/* Creates a view without addresses; the caller owns it. */
struct soak_view *soak_view_create(int32_t nodes)
{
	struct soak_view *view = g_new0(struct soak_view, 1);

	g_mutex_init(&view->lock);
	view->count = nodes;
	view->nodes = g_new0(struct node_view, nodes);
	view->has_load = true;
	view->has_probes = true;
	return view;
}

/* Frees a view that no thread uses any more; NULL is allowed. */
void soak_view_destroy(struct soak_view *view)
{
	if (!view)
		return;
	for (int32_t i = 0; i < view->count; i++) {
		g_free(view->nodes[i].front);
		g_free(view->nodes[i].connect_address);
		g_free(view->nodes[i].directory);
	}
	g_free(view->nodes);
	g_mutex_clear(&view->lock);
	g_free(view);
}

/* Sets a node's front, the address to connect to, and its directory. */
void soak_view_set_node(struct soak_view *view, int32_t node, const char *front,
			const char *connect_address, const char *directory)
{
	struct node_view *entry = &view->nodes[node];

	g_mutex_lock(&view->lock);
	g_free(entry->front);
	g_free(entry->connect_address);
	g_free(entry->directory);
	entry->front = g_strdup(front);
	entry->connect_address = g_strdup(connect_address);
	entry->directory = g_strdup(directory);
	g_mutex_unlock(&view->lock);
}

/* Returns a copy of a node's front address; the caller frees it. */
char *soak_view_front(struct soak_view *view, int32_t node)
{
	char *front;

	g_mutex_lock(&view->lock);
	front = g_strdup(view->nodes[node].front);
	g_mutex_unlock(&view->lock);
	return front;
}

/*
 * Returns the address to connect to in order to reach a front: that of a proxy
 * if there is one, else the front. The caller frees it.
 */
char *soak_view_connect_address(struct soak_view *view, const char *front)
{
	char *connect_address = NULL;

	g_mutex_lock(&view->lock);
	for (int32_t i = 0; i < view->count && !connect_address; i++) {
		if (g_strcmp0(view->nodes[i].front, front) == 0)
			connect_address =
				g_strdup(view->nodes[i].connect_address);
	}
	g_mutex_unlock(&view->lock);
	return connect_address ? connect_address : g_strdup(front);
}

/* Returns a copy of a node's directory address; the caller frees it. */
char *soak_view_directory(struct soak_view *view, int32_t node)
{
	char *directory;

	g_mutex_lock(&view->lock);
	directory = g_strdup(view->nodes[node].directory);
	g_mutex_unlock(&view->lock);
	return directory;
}

/* Returns the number of nodes. */
int32_t soak_view_nodes(const struct soak_view *view)
{
	return view->count;
}

/* Sets the index of the newest configuration accepted by the store. */
void soak_view_set_version(struct soak_view *view, int32_t index)
{
	g_mutex_lock(&view->lock);
	view->version = index;
	g_mutex_unlock(&view->lock);
}

/* Returns the index of the newest configuration accepted by the store. */
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

/* Ends the load: callers begin no new requests, but probes continue. */
void soak_view_end_load(struct soak_view *view)
{
	view_set(view, &view->has_load, false);
}

/* Returns whether callers still begin new requests. */
bool soak_view_has_load(struct soak_view *view)
{
	return view_get(view, &view->has_load);
}

/* Ends the load and the probes. */
void soak_view_end_probes(struct soak_view *view)
{
	view_set(view, &view->has_load, false);
	view_set(view, &view->has_probes, false);
}

/* Returns whether probes continue. */
bool soak_view_has_probes(struct soak_view *view)
{
	return view_get(view, &view->has_probes);
}

/* Records that a node has just answered a probe with 200. */
void soak_view_record_served(struct soak_view *view, int32_t node)
{
	g_mutex_lock(&view->lock);
	view->nodes[node].served_us = g_get_monotonic_time();
	g_mutex_unlock(&view->lock);
}

/* Returns the time of the last such answer; 0: there was none. */
int64_t soak_view_served_us(struct soak_view *view, int32_t node)
{
	int64_t served_us;

	g_mutex_lock(&view->lock);
	served_us = view->nodes[node].served_us;
	g_mutex_unlock(&view->lock);
	return served_us;
}
