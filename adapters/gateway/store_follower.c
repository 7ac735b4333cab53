#include "adapters/gateway/store_follower.h"

#include "adapters/gateway/attempt.h"

#include <string.h>

/*
 * Each watch is a call that is paid for, so it waits long; the store answers
 * one that has nothing to tell after ten seconds at the earliest. Until then a
 * store that went away is not seen: a few nodes ask it each second for what
 * costs least, and tell the others.
 */
#define WATCH_MS 20000
#define WATCH_MARGIN_MS 1500
#define PROBE_MS 1000
#define PROBE_TIMEOUT_US (800 * 1000)
#define LIST_TIMEOUT_MS 1500

/*
 * A call is given up for silence, not for the time that it takes: a document of
 * half a MB needs seconds on a busy link, and one that is begun anew each time
 * never arrives. None takes as long as the longest.
 */
#define SILENCE_MS 1000
#define LONGEST_ANSWER_US (15 * G_USEC_PER_SEC)

/*
 * The first watch after a failure answers at once: until it does, a node does
 * not know that the store is back, and doubts what it is told.
 */
#define CHECK_MS 1

/* Between two tries; all nodes would otherwise come back at once. */
#define FIRST_PAUSE_MS 80
#define LONGEST_PAUSE_MS 700

/* While another node asks in short turns and tells of the store's return. */
#define PATIENT_PAUSE_MS 2000

/* A peer that knows more may say so often. */
#define POKE_US (300 * 1000)

#define STATUS_OK 200
#define STATUS_MISSING 404
#define STATUS_GONE 410

enum follower_state {
	FOLLOWER_PAUSING,
	FOLLOWER_LISTING,
	FOLLOWER_WATCHING,
	FOLLOWER_RESTING /* somebody else follows and tells us */
};

struct store_follower {
	struct store_follower_options options;
	struct store_follower_events events;
	char *address;
	char *prefix;
	GRand *random;
	enum follower_state state;
	struct attempt *attempt;
	struct endpoint_pool *pool;
	GByteArray *body;
	int32_t status;
	struct store_page list; /* pages read so far */
	char *list_after;
	int64_t revision; /* known up to here; 0: nothing is */
	int64_t poked_us;
	int64_t begun_us;    /* the call in progress */
	int64_t answered_us; /* its answer began; 0: it has not */
	int64_t received_us; /* its last bytes came */
	int32_t failures;    /* in a row */
	guint timer;
	bool is_reached;
	bool is_patient;
	bool is_unsure;	       /* that the store is reached, after a rest */
	struct attempt *probe; /* of the store, while it is watched closely */
	int64_t probed_us;
	guint probe_timer;
	bool probe_answered;
};

static void follower_go_on(struct store_follower *follower);

static void follower_stop_call(struct store_follower *follower)
{
	attempt_destroy(g_steal_pointer(&follower->attempt));
	if (follower->timer)
		g_source_remove(follower->timer);
	follower->timer = 0;
}

static void follower_set_reached(struct store_follower *follower, bool reached)
{
	if (follower->is_reached == reached)
		return;
	follower->is_reached = reached;
	if (follower->events.reached)
		follower->events.reached(follower->events.data, reached);
}

static gboolean on_pause_over(gpointer data)
{
	struct store_follower *follower = data;

	follower->timer = 0;
	follower_go_on(follower);
	return G_SOURCE_REMOVE;
}

/* The pause doubles with each failure, half of it by chance. */
static void follower_pause(struct store_follower *follower)
{
	int32_t longest = FIRST_PAUSE_MS << MIN(follower->failures, 4);

	longest = MIN(longest, LONGEST_PAUSE_MS);
	if (follower->is_patient && follower->failures > 1)
		longest = follower->options.patient_pause_ms
				  ? follower->options.patient_pause_ms
				  : PATIENT_PAUSE_MS;
	follower->state = FOLLOWER_PAUSING;
	follower->timer = g_timeout_add(
		(guint)g_rand_int_range(follower->random, longest / 2, longest),
		on_pause_over, follower);
}

/* A call in progress is ended, and what had come of its answer is lost. */
static void follower_log_dropped(const struct store_follower *follower,
				 int64_t now_us)
{
	char bytes[24], waited[24];

	if (follower->body->len == 0)
		return;
	g_snprintf(bytes, sizeof(bytes), "%u", follower->body->len);
	g_snprintf(waited, sizeof(waited), "%" G_GINT64_FORMAT,
		   (now_us - follower->begun_us) / 1000);
	log_write(follower->options.log, LOG_LEVEL_INFO, "store_read_dropped",
		  "prefix", follower->prefix, "bytes", bytes, "ms", waited,
		  NULL);
}

static void follower_fail(struct store_follower *follower, const char *detail)
{
	char status[16];

	follower_stop_call(follower);
	if (follower->failures == 0) {
		g_snprintf(status, sizeof(status), "%d", follower->status);
		log_write(follower->options.log, LOG_LEVEL_WARN,
			  "store_call_failed", "prefix", follower->prefix,
			  "status", status, "detail", detail, NULL);
	}
	follower->failures++;
	follower_set_reached(follower, false);
	follower_pause(follower);
}

static void on_probe_head(void *data, const struct http_head *head)
{
	struct store_follower *follower = data;

	follower->probe_answered =
		head->status == STATUS_OK || head->status == STATUS_MISSING;
}

static void probe_over(struct store_follower *follower, const char *problem)
{
	attempt_destroy(g_steal_pointer(&follower->probe));
	if (!problem && follower->events.answered)
		follower->events.answered(follower->events.data);
	if (problem && follower->is_reached)
		follower_fail(follower, problem);
}

static void on_probe_whole(void *data)
{
	struct store_follower *follower = data;

	probe_over(follower, follower->probe_answered ? NULL : "probe refused");
}

static void on_probe_failed(void *data, const struct error *error)
{
	probe_over(data, error->detail);
}

static const struct attempt_events probe_events = {
	.head = on_probe_head,
	.whole = on_probe_whole,
	.failed = on_probe_failed,
};

/* Each probe has a connection of its own: an old one may be dead by itself. */
static gboolean on_probe_due(gpointer data)
{
	struct store_follower *follower = data;
	struct attempt_options options = {.address = follower->address};
	struct error error;

	if (follower->probe &&
	    g_get_monotonic_time() - follower->probed_us > PROBE_TIMEOUT_US)
		probe_over(follower, "probe timeout");
	if (follower->probe || !follower->is_reached)
		return G_SOURCE_CONTINUE;
	options.request = g_string_new(NULL);
	follower->options.dialect->write_probe(follower->address,
					       options.request);
	follower->probed_us = g_get_monotonic_time();
	follower->probe_answered = false;
	follower->probe =
		attempt_start(&options, &probe_events, follower, &error);
	if (!follower->probe)
		probe_over(follower, error.detail);
	return G_SOURCE_CONTINUE;
}

static int32_t follower_silence_ms(const struct store_follower *follower)
{
	return follower->options.silence_ms ? follower->options.silence_ms
					    : SILENCE_MS;
}

/* Whether the answer to the call in progress is arriving. */
bool store_follower_is_receiving(const struct store_follower *follower)
{
	int64_t now_us = g_get_monotonic_time();

	return follower->attempt && follower->answered_us &&
	       now_us - follower->received_us <
		       (int64_t)follower_silence_ms(follower) * 1000 &&
	       now_us - follower->answered_us < LONGEST_ANSWER_US;
}

static gboolean on_timeout(gpointer data)
{
	struct store_follower *follower = data;

	follower->timer = 0;
	if (store_follower_is_receiving(follower)) {
		follower->timer =
			g_timeout_add((guint)follower_silence_ms(follower),
				      on_timeout, follower);
		return G_SOURCE_REMOVE;
	}
	follower_fail(follower, "timeout");
	return G_SOURCE_REMOVE;
}

static void on_head(void *data, const struct http_head *head)
{
	struct store_follower *follower = data;

	follower->status = head->status;
	follower->answered_us = g_get_monotonic_time();
	follower->received_us = follower->answered_us;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct store_follower *follower = data;

	follower->received_us = g_get_monotonic_time();
	g_byte_array_append(follower->body, (const guint8 *)bytes, (guint)size);
}

static void follower_forget_list(struct store_follower *follower)
{
	store_page_clear(&follower->list);
	store_page_init(&follower->list);
	g_clear_pointer(&follower->list_after, g_free);
}

/*
 * One page. Pages are no snapshot: the revision of the first one is kept, and
 * what changed while the others were read comes again with the watch.
 */
static void follower_take_list(struct store_follower *follower,
			       struct store_page *page)
{
	const struct store_item *last;

	if (follower->list.revision == 0)
		follower->list.revision = page->revision;
	g_ptr_array_extend_and_steal(follower->list.items,
				     g_steal_pointer(&page->items));
	if (page->has_more && follower->list.items->len > 0) {
		last = g_ptr_array_index(follower->list.items,
					 follower->list.items->len - 1);
		g_free(follower->list_after);
		follower->list_after = g_strdup(last->key);
		return;
	}
	follower->revision = follower->list.revision;
	follower_set_reached(follower, true);
	follower->events.listed(follower->events.data, &follower->list);
	follower_forget_list(follower);
}

static bool follower_read(struct store_follower *follower, GBytes *body,
			  struct error *error)
{
	const struct store_dialect *dialect = follower->options.dialect;
	struct store_page page;
	bool is_read;

	store_page_init(&page);
	if (follower->state == FOLLOWER_LISTING) {
		is_read = dialect->read_list(body, &page, error);
		if (is_read)
			follower_take_list(follower, &page);
	} else {
		is_read = dialect->read_watch(body, &page, error);
		if (is_read) {
			follower->revision =
				MAX(follower->revision, page.revision);
			follower_set_reached(follower, true);
			follower->events.changed(follower->events.data, &page);
		}
	}
	store_page_clear(&page);
	return is_read;
}

static void on_whole(void *data)
{
	struct store_follower *follower = data;
	struct error error = {.detail = ""};
	GBytes *body;
	bool is_read;

	if (follower->status == STATUS_GONE) {
		/* Its history is shorter than our pause: read all anew. */
		follower->revision = 0;
		follower_forget_list(follower);
		follower_stop_call(follower);
		follower_go_on(follower);
		return;
	}
	if (follower->status != STATUS_OK) {
		follower_fail(follower, "refused");
		return;
	}
	attempt_keep_connection(follower->attempt, follower->pool, INT64_MAX);
	body = g_bytes_new(follower->body->data, follower->body->len);
	is_read = follower_read(follower, body, &error);
	g_bytes_unref(body);
	if (!is_read) {
		follower_fail(follower, error.detail);
		return;
	}
	follower->failures = 0;
	follower->is_unsure = false;
	follower_stop_call(follower);
	follower_go_on(follower);
}

static void on_failed(void *data, const struct error *error)
{
	struct store_follower *follower = data;

	follower->status = 0;
	follower_fail(follower, error->detail);
}

static const struct attempt_events attempt_events = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};

static int64_t follower_wait_ms(const struct store_follower *follower)
{
	return follower->is_reached && !follower->is_unsure ? WATCH_MS
							    : CHECK_MS;
}

static void follower_write(const struct store_follower *follower, GString *out)
{
	const struct store_dialect *dialect = follower->options.dialect;

	if (follower->state == FOLLOWER_LISTING)
		dialect->write_list(follower->address, follower->prefix,
				    follower->list_after, out);
	else
		dialect->write_watch(follower->address, follower->prefix,
				     follower->revision,
				     follower_wait_ms(follower), out);
}

static void follower_go_on(struct store_follower *follower)
{
	struct attempt_options options = {
		.address = follower->address,
		.pool = follower->failures ? NULL : follower->pool,
		.request = g_string_new(NULL),
	};
	struct error error;
	guint timeout_ms;

	follower->state =
		follower->revision == 0 ? FOLLOWER_LISTING : FOLLOWER_WATCHING;
	timeout_ms =
		follower->state == FOLLOWER_LISTING
			? LIST_TIMEOUT_MS
			: (guint)follower_wait_ms(follower) + WATCH_MARGIN_MS;
	follower->status = 0;
	follower->begun_us = g_get_monotonic_time();
	follower->answered_us = 0;
	g_byte_array_set_size(follower->body, 0);
	follower_write(follower, options.request);
	follower->attempt =
		attempt_start(&options, &attempt_events, follower, &error);
	if (follower->attempt)
		follower->timer =
			g_timeout_add(timeout_ms, on_timeout, follower);
	else
		follower_fail(follower, error.detail);
}

/* Begins to read and to watch; the store may be away. */
struct store_follower *
store_follower_create(const struct store_follower_options *options,
		      const struct store_follower_events *events)
{
	struct store_follower *follower = g_new0(struct store_follower, 1);

	follower->options = *options;
	follower->events = *events;
	follower->address = g_strdup(options->address);
	follower->prefix = g_strdup(options->prefix);
	follower->random = g_rand_new_with_seed((guint32)options->seed);
	follower->body = g_byte_array_new();
	follower->pool = endpoint_pool_create();
	store_page_init(&follower->list);
	follower_go_on(follower);
	return follower;
}

/* Stops following; NULL is allowed. */
void store_follower_destroy(struct store_follower *follower)
{
	if (!follower)
		return;
	store_follower_watch_closely(follower, false);
	follower_stop_call(follower);
	endpoint_pool_destroy(follower->pool);
	store_page_clear(&follower->list);
	g_free(follower->list_after);
	g_byte_array_unref(follower->body);
	g_rand_free(follower->random);
	g_free(follower->address);
	g_free(follower->prefix);
	g_free(follower);
}

/*
 * Rests, or goes on from the revision last known. What changed in between is
 * told by the next watch, or read anew if the store has forgotten it. The
 * watch answers at once: what this node knew of the store is old.
 */
void store_follower_set_active(struct store_follower *follower, bool active)
{
	if (active == (follower->state != FOLLOWER_RESTING))
		return;
	if (active) {
		follower->is_unsure = true;
		follower_go_on(follower);
		return;
	}
	follower_stop_call(follower);
	follower->state = FOLLOWER_RESTING;
	follower->failures = 0;
}

/*
 * Whether another node looks out for the store while it is away. All nodes
 * asking in short turns would ask most when the store can bear it least, and
 * each call is paid for. Once the other one has reached it nobody waits.
 */
void store_follower_set_patient(struct store_follower *follower, bool patient)
{
	if (follower->is_patient == patient)
		return;
	follower->is_patient = patient;
	if (patient || follower->state != FOLLOWER_PAUSING)
		return;
	follower_stop_call(follower);
	follower->failures = 0;
	follower_pause(follower);
}

/* Whether to ask each second if the store is still there. */
void store_follower_watch_closely(struct store_follower *follower, bool closely)
{
	if (closely && !follower->probe_timer)
		follower->probe_timer =
			g_timeout_add(PROBE_MS, on_probe_due, follower);
	if (closely || !follower->probe_timer)
		return;
	g_source_remove(follower->probe_timer);
	follower->probe_timer = 0;
	attempt_destroy(g_steal_pointer(&follower->probe));
}

/*
 * Something newer is known to be there: asks again on a new connection, since
 * the present one may have gone silent without a word. An answer that arrives
 * is read to its end.
 */
void store_follower_poke(struct store_follower *follower)
{
	int64_t now_us = g_get_monotonic_time();

	if (follower->state == FOLLOWER_PAUSING ||
	    follower->state == FOLLOWER_RESTING ||
	    store_follower_is_receiving(follower) ||
	    now_us - follower->poked_us < POKE_US)
		return;
	follower->poked_us = now_us;
	follower_log_dropped(follower, now_us);
	follower_stop_call(follower);
	follower_go_on(follower);
}

/* Calls in a row that failed; 0: the last one was answered. */
int32_t store_follower_failures(const struct store_follower *follower)
{
	return follower->failures;
}

/* Whether the last call was answered. */
bool store_follower_is_reached(const struct store_follower *follower)
{
	return follower->is_reached;
}
