#include "fakes/platform_store_state.h"

#include <string.h>

/* Where the engines' entries stand; they lapse like leases. */
#define ENTRIES "servers/"
#define DEFAULT_REFUSAL "503"

/* One kind of call, and what deals with it. */
struct store_call {
	struct platform_store *store;
	fake_server_handler run;
};

/* A call that a slow store has not got to. */
struct late_call {
	const struct store_call *call;
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
	fake_message_reset(message);
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

static bool is_refused(const struct platform_store *store,
		       SoupServerMessage *message)
{
	GSocketAddress *from = soup_server_message_get_remote_address(message);
	g_autofree char *address = NULL;
	g_auto(GStrv) refused = NULL;

	if (!store->refused || !G_IS_INET_SOCKET_ADDRESS(from))
		return false;
	address = g_inet_address_to_string(
		g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(from)));
	refused = g_strsplit(store->refused, ",", -1);
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
	g_warning("refusal %s is none of 503, 429, reset, none", name);
	refuse_by_status(message, 503);
}

/* True when the call has been dealt with by a fault. */
bool platform_store_fails(struct platform_store *store,
			  SoupServerMessage *message)
{
	store->calls++;
	if (is_refused(store, message)) {
		refuse(store, message);
		return true;
	}
	if (store->silent)
		soup_server_message_pause(message);
	else if (store->down)
		fake_message_answer_text(message, 503, "down");
	return store->silent || store->down;
}

/* Lets an answer go that is there; a call without one stays paused. */
static void let_go(SoupServerMessage *message)
{
	if (soup_server_message_get_status(message) != SOUP_STATUS_NONE)
		soup_server_message_unpause(message);
}

/* Forgets a call that was to be dealt with later. */
void platform_store_late_free(gpointer data)
{
	struct late_call *late = data;

	if (late->timer)
		g_source_remove(late->timer);
	g_object_unref(late->message);
	g_free(late->path);
	g_free(late);
}

static gboolean run_late(gpointer data)
{
	struct late_call *late = data;
	struct platform_store *store = late->call->store;

	late->timer = 0;
	late->call->run(store, late->message, late->path);
	let_go(late->message);
	g_ptr_array_remove(store->late, late);
	return G_SOURCE_REMOVE;
}

static void on_call(void *data, SoupServerMessage *message, const char *path)
{
	const struct store_call *call = data;
	struct platform_store *store = call->store;
	struct late_call *late;

	if (store->slow_ms <= 0) {
		call->run(store, message, path);
		return;
	}
	late = g_new0(struct late_call, 1);
	late->call = call;
	late->message = g_object_ref(message);
	late->path = g_strdup(path);
	g_ptr_array_add(store->late, late);
	soup_server_message_pause(message);
	late->timer = g_timeout_add((guint)store->slow_ms, run_late, late);
}

/* Has run deal with the calls below path, under the faults. */
void platform_store_serve(struct platform_store *store,
			  struct fake_server *server, const char *path,
			  fake_server_handler run)
{
	struct store_call *call = g_new(struct store_call, 1);

	*call = (struct store_call){store, run};
	g_ptr_array_add(store->calls_served, call);
	fake_server_add_handler(server, path, on_call, call);
}

/* The revision that a read sees: that of some time ago if it may be stale. */
int64_t platform_store_view(const struct platform_store *store,
			    bool may_be_stale)
{
	int64_t until_us = g_get_monotonic_time() - store->stale_ms * 1000;
	guint i = store->changes->len;

	if (!may_be_stale || store->stale_ms <= 0)
		return store->revision;
	while (i > 0) {
		const struct item *item =
			g_ptr_array_index(store->changes, i - 1);

		if (item->at_us <= until_us)
			return item->revision;
		i--;
	}
	return 0;
}

/* Callers that are refused from now on don't keep what they wait for. */
static void cut_refused_watches(struct platform_store *store)
{
	for (guint i = store->watches->len; i-- > 0;) {
		const struct watch *watch =
			g_ptr_array_index(store->watches, i);
		g_autoptr(SoupServerMessage) message =
			g_object_ref(watch->message);

		if (!is_refused(store, message))
			continue;
		g_ptr_array_remove_index(store->watches, i);
		refuse(store, message);
		let_go(message);
	}
}

static void on_switch(void *data)
{
	struct platform_store *store = data;

	cut_refused_watches(store);
	if (store->down)
		platform_store_cut_watches(store, 503);
	if (store->lapse) {
		platform_store_end_leases(store);
		platform_store_remove_all(store, ENTRIES);
	}
	store->lapse = false;
	if (store->release)
		platform_store_release(store);
	store->release = false;
	if (!store->forget)
		return;
	store->forget = false;
	store->oldest = store->revision;
	platform_store_cut_watches(store, 410);
}

/* The faults, as switches of POST /fake/mode. */
void platform_store_add_switches(struct platform_store *store,
				 struct fake_server *server)
{
	const struct fake_mode modes[MODES] = {
		{"down", FAKE_MODE_BOOL, &store->down},
		{"silent", FAKE_MODE_BOOL, &store->silent},
		{"forget", FAKE_MODE_BOOL, &store->forget},
		{"lose", FAKE_MODE_BOOL, &store->lose},
		{"hold", FAKE_MODE_BOOL, &store->hold},
		{"release", FAKE_MODE_BOOL, &store->release},
		{"pause", FAKE_MODE_BOOL, &store->pause},
		{"lapse", FAKE_MODE_BOOL, &store->lapse},
		{"slow_ms", FAKE_MODE_INT, &store->slow_ms},
		{"stale_ms", FAKE_MODE_INT, &store->stale_ms},
		{"refused", FAKE_MODE_STRING, &store->refused},
		{"refusal", FAKE_MODE_STRING, &store->refusal},
	};

	memcpy(store->modes, modes, sizeof(modes));
	fake_server_set_modes(server, store->modes, MODES, on_switch, store);
}
