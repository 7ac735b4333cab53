#include "core/limit/end_watch.h"

#include "core/limit/endpoint_end.h"

#include <string.h>

/*
 * A process that ends closes all its sockets within this time, and may be back
 * soon after: the endpoint is asked at once, and again until then.
 */
#define PROBE_INTERVAL_US (30 * 1000)
#define MAX_PROBES 3

/* The last sign that an endpoint is alive. */
struct heard_endpoint {
	uint64_t key;
	int64_t at_us;
};

struct end_watch {
	struct end_watch_host host;
	GHashTable *lost;		/* start key to struct lost_endpoint */
	struct heard_endpoint heard[2]; /* the last one, and another one */
	int64_t now_us;			/* of the current step */
};

static void probe_end(struct end_watch *watch, struct lost_endpoint *lost)
{
	gpointer probe = g_steal_pointer(&lost->probe);

	if (probe)
		watch->host.destroy_probe(probe);
}

static void lost_endpoint_free(gpointer data)
{
	struct lost_endpoint *lost = data;

	g_free(lost->id);
	g_free(lost->address);
	g_free(lost);
}

/*
 * Creates a watch of no endpoint and copies the host. The caller frees it with
 * end_watch_destroy.
 */
struct end_watch *end_watch_create(const struct end_watch_host *host)
{
	struct end_watch *watch = g_new0(struct end_watch, 1);

	watch->host = *host;
	watch->lost = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    lost_endpoint_free);
	return watch;
}

/* Ends all probes and frees the watch; NULL is allowed. */
void end_watch_destroy(struct end_watch *watch)
{
	GHashTableIter iter;
	gpointer lost;

	if (!watch)
		return;
	g_hash_table_iter_init(&iter, watch->lost);
	while (g_hash_table_iter_next(&iter, NULL, &lost))
		probe_end(watch, lost);
	g_hash_table_unref(watch->lost);
	g_free(watch);
}

static struct lost_endpoint *find_lost(const struct end_watch *watch,
				       const struct endpoint_start *start)
{
	uint64_t start_key = endpoint_start_key(start);

	return g_hash_table_lookup(watch->lost, &start_key);
}

static void probe_begin(struct end_watch *watch, struct lost_endpoint *lost,
			int64_t now_us)
{
	lost->probe_count++;
	lost->probed_us = now_us;
	lost->probe = watch->host.probe(watch->host.data, lost);
}

/*
 * Begins to find out whether the start has ended, which broke off a run, or
 * closed the connection of one that looks whole.
 */
void end_watch_add(struct end_watch *watch, const char *id, const char *address,
		   const struct endpoint_start *start, bool is_broken,
		   int64_t now_us)
{
	struct lost_endpoint *lost = find_lost(watch, start);

	if (!lost) {
		lost = g_new0(struct lost_endpoint, 1);
		lost->id = g_strdup(id);
		lost->address = g_strdup(address);
		lost->start = *start;
		lost->start_key = endpoint_start_key(start);
		g_hash_table_insert(watch->lost, &lost->start_key, lost);
	}
	lost->lost_us = now_us;
	lost->is_broken |= is_broken;
	lost->probe_count = 0;
	if (!lost->probe)
		probe_begin(watch, lost, now_us);
}

/* Watches the start no longer, unless it has broken off a run after lost_us. */
void end_watch_forget(struct end_watch *watch,
		      const struct endpoint_start *start, int64_t lost_us)
{
	struct lost_endpoint *lost = find_lost(watch, start);

	if (!lost || lost->lost_us > lost_us)
		return;
	probe_end(watch, lost);
	g_hash_table_remove(watch->lost, &lost->start_key);
}

/*
 * Records what a connection to the endpoint shows of this start. One that has
 * answered by a close and then has no room for a connection may live on.
 */
void lost_endpoint_note(struct lost_endpoint *lost, enum connection_sign sign,
			int64_t now_us)
{
	switch (sign) {
	case CONNECTION_ACCEPTED:
		lost->accepted_us = now_us;
		break;
	case CONNECTION_REFUSED:
		lost->refused_us = now_us;
		lost->is_reset = false;
		break;
	case CONNECTION_RESET:
		if (!lost->is_broken)
			break;
		lost->refused_us = now_us;
		lost->is_reset = true;
		break;
	case CONNECTION_REPLACED:
		lost->is_replaced = true;
		break;
	}
}

/*
 * Records what a connection to the endpoint of that id shows. Returns whether
 * any of its starts is watched.
 */
bool end_watch_note_connection(struct end_watch *watch, const char *id,
			       enum connection_sign sign, int64_t now_us)
{
	bool is_watched = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, watch->lost);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lost_endpoint *lost = value;

		if (strcmp(lost->id, id) != 0)
			continue;
		is_watched = true;
		lost_endpoint_note(lost, sign, now_us);
	}
	return is_watched;
}

/* Records that the endpoint is alive. */
void end_watch_note_heard(struct end_watch *watch, uint64_t endpoint_key,
			  int64_t now_us)
{
	struct heard_endpoint *last = &watch->heard[0];

	if (last->key != endpoint_key)
		watch->heard[1] = *last;
	*last = (struct heard_endpoint){endpoint_key, now_us};
}

/* Whether any start of the endpoint has broken off a run lately. */
bool end_watch_has(const struct end_watch *watch, uint64_t endpoint_key)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, watch->lost);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct lost_endpoint *)value)->start.endpoint_key ==
		    endpoint_key)
			return true;
	return false;
}

/* Returns the number of starts that are watched. */
size_t end_watch_count(const struct end_watch *watch)
{
	return g_hash_table_size(watch->lost);
}

/*
 * Whether the start, which is watched, has accepted a connection since, and
 * refused none.
 */
bool end_watch_has_lived_on(const struct end_watch *watch,
			    const struct endpoint_start *start,
			    int64_t since_us)
{
	const struct lost_endpoint *lost = find_lost(watch, start);

	return lost && lost->accepted_us > since_us &&
	       lost->refused_us <= since_us;
}

/*
 * Whether only resets say that the start has ended. It may live, and have had
 * too many connections.
 */
bool lost_endpoint_may_live(const struct lost_endpoint *lost,
			    bool is_registered)
{
	return lost->is_reset && !lost->is_replaced && is_registered;
}

/* When an endpoint other than this one was heard last; 0: never. */
static int64_t heard_other_us(const struct end_watch *watch, uint64_t key)
{
	const struct heard_endpoint *heard = watch->heard;

	return heard[0].key != key ? heard[0].at_us : heard[1].at_us;
}

/* When the endpoint is to be asked again; INT64_MAX: not any more. */
static int64_t probe_due_us(const struct lost_endpoint *lost)
{
	if (lost->probe || lost->probe_count >= MAX_PROBES ||
	    lost->refused_us > lost->lost_us)
		return INT64_MAX;
	return lost->probed_us + PROBE_INTERVAL_US;
}

static const char *evidence_name(const struct endpoint_end_input *input)
{
	if (input->is_replaced)
		return "another one answers";
	return input->is_registered ? "refuses connections"
				    : "its registration";
}

/* Returns whether nothing more is to be found out about the endpoint. */
static gboolean step_lost_endpoint(gpointer key, gpointer value, gpointer data)
{
	struct lost_endpoint *lost = value;
	struct end_watch *watch = data;
	const struct end_watch_host *host = &watch->host;
	const struct endpoint_end_input input = {
		.lost_us = lost->lost_us,
		.refused_us = lost->refused_us,
		.accepted_us = lost->accepted_us,
		.heard_other_us =
			heard_other_us(watch, lost->start.endpoint_key),
		.has_other = host->has_other(host->data, lost),
		.is_replaced = lost->is_replaced,
		.is_registered = host->is_registered(host->data, lost),
		.now_us = watch->now_us,
	};

	(void)key;
	if (watch->now_us >= probe_due_us(lost))
		probe_begin(watch, lost, watch->now_us);
	switch (endpoint_end_decide(&input)) {
	case ENDPOINT_END_UNKNOWN:
		if (input.refused_us > input.lost_us)
			host->check_reach(host->data);
		return FALSE;
	case ENDPOINT_END_GIVEN_UP:
		break;
	case ENDPOINT_END_CONFIRMED:
		host->ended(host->data, lost, evidence_name(&input));
		break;
	}
	probe_end(watch, lost);
	return TRUE;
}

/* Probes what is due and checks the evidence; the host learns of each end. */
void end_watch_step(struct end_watch *watch, int64_t now_us)
{
	watch->now_us = now_us;
	g_hash_table_foreach_remove(watch->lost, step_lost_endpoint, watch);
}

/* When the next probe is due; INT64_MAX: none is. */
int64_t end_watch_next_due_us(const struct end_watch *watch)
{
	int64_t due_us = INT64_MAX;
	GHashTableIter iter;
	gpointer lost;

	g_hash_table_iter_init(&iter, watch->lost);
	while (g_hash_table_iter_next(&iter, NULL, &lost))
		due_us = MIN(due_us, probe_due_us(lost));
	return due_us;
}
