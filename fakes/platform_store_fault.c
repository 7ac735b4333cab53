#include "fakes/platform_store_state.h"

#include <string.h>

/* Prefix of the engines' entries, which "lapse" deletes with the leases. */
#define ENGINE_PREFIX "servers/"
#define DEFAULT_REFUSAL "503"

/* The handler of one path. */
struct call_handler {
	struct platform_store *store;
	fake_server_handler run;
};

/* A call whose handler runs after slow_ms. */
struct delayed_call {
	const struct call_handler *handler;
	SoupServerMessage *message;
	char *path;
	guint timer;
};

static void refuse_by_status(SoupServerMessage *message, unsigned status)
{
	fake_message_answer_text(message, status, "refused");
}

static void refuse_by_reset(SoupServerMessage *message,
			    unsigned status G_GNUC_UNUSED)
{
	fake_message_reset_connection(message);
}

static void refuse_by_silence(SoupServerMessage *message,
			      unsigned status G_GNUC_UNUSED)
{
	soup_server_message_pause(message);
}

static const struct {
	const char *name;
	void (*refuse)(SoupServerMessage *message, unsigned status);
	unsigned status;
} refusals[] = {
	{"503", refuse_by_status, 503},
	{"429", refuse_by_status, 429},
	{"reset", refuse_by_reset, 0},
	{"none", refuse_by_silence, 0},
};

static bool caller_is_refused(const struct platform_store *store,
			      SoupServerMessage *message)
{
	GSocketAddress *from = soup_server_message_get_remote_address(message);
	g_autofree char *address = NULL;
	g_auto(GStrv) refused = NULL;

	if (!store->refused_addresses || !G_IS_INET_SOCKET_ADDRESS(from))
		return false;
	address = g_inet_address_to_string(
		g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(from)));
	refused = g_strsplit(store->refused_addresses, ",", -1);
	return g_strv_contains((const char *const *)refused, address);
}

static void refuse(const struct platform_store *store,
		   SoupServerMessage *message)
{
	const char *name = store->refusal ? store->refusal : DEFAULT_REFUSAL;

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		if (strcmp(refusals[i].name, name) == 0) {
			refusals[i].refuse(message, refusals[i].status);
			return;
		}
	}
	g_warning("unknown refusal %s: expected 503, 429, reset or none", name);
	refuse_by_status(message, 503);
}

/*
 * Counts a call and applies the faults that are switched on: refused callers,
 * "silent" and "down". Returns true if a fault answered the call or left it
 * without an answer; the handler then does nothing more.
 */
bool platform_store_inject_fault(struct platform_store *store,
				 SoupServerMessage *message)
{
	store->call_count++;
	if (caller_is_refused(store, message)) {
		refuse(store, message);
		return true;
	}
	if (store->silent)
		soup_server_message_pause(message);
	else if (store->down)
		fake_message_answer_text(message, 503, "down");
	return store->silent || store->down;
}

/* Sends the answer if there is one; a call without one stays paused. */
static void unpause_if_answered(SoupServerMessage *message)
{
	if (soup_server_message_get_status(message) != SOUP_STATUS_NONE)
		soup_server_message_unpause(message);
}

/* Cancels and frees a delayed call; its handler does not run. */
void platform_store_delayed_free(gpointer data)
{
	struct delayed_call *delayed = data;

	if (delayed->timer)
		g_source_remove(delayed->timer);
	g_object_unref(delayed->message);
	g_free(delayed->path);
	g_free(delayed);
}

static gboolean run_delayed(gpointer data)
{
	struct delayed_call *delayed = data;
	struct platform_store *store = delayed->handler->store;

	delayed->timer = 0;
	delayed->handler->run(store, delayed->message, delayed->path);
	unpause_if_answered(delayed->message);
	g_ptr_array_remove(store->delayed_calls, delayed);
	return G_SOURCE_REMOVE;
}

static void on_call(void *data, SoupServerMessage *message, const char *path)
{
	const struct call_handler *handler = data;
	struct platform_store *store = handler->store;
	struct delayed_call *delayed;

	platform_store_name_era(store, message);
	if (store->slow_ms <= 0) {
		handler->run(store, message, path);
		return;
	}
	delayed = g_new0(struct delayed_call, 1);
	delayed->handler = handler;
	delayed->message = g_object_ref(message);
	delayed->path = g_strdup(path);
	g_ptr_array_add(store->delayed_calls, delayed);
	soup_server_message_pause(message);
	delayed->timer =
		g_timeout_add((guint)store->slow_ms, run_delayed, delayed);
}

/*
 * Registers run as the handler of the calls below path. With slow_ms set, it
 * runs that long after a call arrives. Each handler applies the other faults
 * with platform_store_inject_fault().
 */
void platform_store_add_handler(struct platform_store *store,
				struct fake_server *server, const char *path,
				fake_server_handler run)
{
	struct call_handler *handler = g_new(struct call_handler, 1);

	*handler = (struct call_handler){store, run};
	g_ptr_array_add(store->call_handlers, handler);
	fake_server_add_handler(server, path, on_call, handler);
}

/*
 * Returns the revision that a read sees: the current one, or, if the read may
 * be stale, the last one that is at least stale_ms old (0 if there is none).
 */
int64_t platform_store_read_revision(const struct platform_store *store,
				     bool may_be_stale)
{
	int64_t until_us = g_get_monotonic_time() - store->stale_ms * 1000;
	guint i = store->changes->len;

	if (!may_be_stale || store->stale_ms <= 0)
		return store->revision;
	while (i > 0) {
		const struct item *item =
			g_ptr_array_index(store->changes, i - 1);

		if (item->written_us <= until_us)
			return item->revision;
		i--;
	}
	return 0;
}

/* Refuses the waiting watches of callers that are now on the refused list. */
static void abort_refused_watches(struct platform_store *store)
{
	for (guint i = store->watches->len; i-- > 0;) {
		const struct watch *watch =
			g_ptr_array_index(store->watches, i);
		g_autoptr(SoupServerMessage) message =
			g_object_ref(watch->message);

		if (!caller_is_refused(store, message))
			continue;
		g_ptr_array_remove_index(store->watches, i);
		refuse(store, message);
		unpause_if_answered(message);
	}
}

static void on_modes_changed(void *data)
{
	struct platform_store *store = data;

	abort_refused_watches(store);
	if (store->cuts_watches)
		platform_store_cut_watches(store);
	if (store->down)
		platform_store_abort_watches(store, 503);
	if (store->expire_all) {
		platform_store_expire_leases(store);
		platform_store_delete_prefix(store, ENGINE_PREFIX);
	}
	store->expire_all = false;
	if (store->apply_held)
		platform_store_apply_held(store);
	store->apply_held = false;
	if (store->restore)
		platform_store_restore(store);
	store->restore = false;
	if (store->copy) {
		store->copy_revision = store->revision;
		store->copy_last_lease = store->next_lease;
	}
	store->copy = false;
	if (!store->drop_history)
		return;
	store->drop_history = false;
	store->oldest_revision = store->revision;
	platform_store_abort_watches(store, 410);
}

/* Registers the faults as switches of POST /fake/mode. */
void platform_store_add_modes(struct platform_store *store,
			      struct fake_server *server)
{
	const struct fake_mode modes[MODE_COUNT] = {
		{"down", FAKE_MODE_BOOL, &store->down},
		{"silent", FAKE_MODE_BOOL, &store->silent},
		{"cut_watches", FAKE_MODE_BOOL, &store->cuts_watches},
		{"forget", FAKE_MODE_BOOL, &store->drop_history},
		{"lose", FAKE_MODE_BOOL, &store->lose_answers},
		{"hold", FAKE_MODE_BOOL, &store->hold_next},
		{"release", FAKE_MODE_BOOL, &store->apply_held},
		{"pause", FAKE_MODE_BOOL, &store->pause_leases},
		{"lapse", FAKE_MODE_BOOL, &store->expire_all},
		{"slow_ms", FAKE_MODE_INT, &store->slow_ms},
		{"stale_ms", FAKE_MODE_INT, &store->stale_ms},
		{"era", FAKE_MODE_INT, &store->era},
		{"copy", FAKE_MODE_BOOL, &store->copy},
		{"restore", FAKE_MODE_BOOL, &store->restore},
		{"refused", FAKE_MODE_STRING, &store->refused_addresses},
		{"refusal", FAKE_MODE_STRING, &store->refusal},
	};

	memcpy(store->modes, modes, sizeof(modes));
	fake_server_set_modes(server, store->modes, MODE_COUNT,
			      on_modes_changed, store);
}
