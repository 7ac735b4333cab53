#include "adapters/gateway/store_follower.h"

#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/attempt.h"
#include "core/base/store_position.h"
#include "core/gateway/store_era.h"

#include <string.h>

/*
 * Each watch is a billed call, so it waits long; the store answers a watch
 * without changes after ten seconds at the earliest. An outage would not be
 * noticed until then: a few nodes send the cheapest call each second as a
 * probe, and inform the other nodes.
 */
#define WATCH_WAIT_MS 20000
#define WATCH_MARGIN_MS 1500
#define PROBE_MS 1000
#define PROBE_TIMEOUT_US (800 * 1000)
#define LIST_TIMEOUT_MS 1500

/*
 * An answer that has begun is aborted after a time without bytes, not after a
 * total time: a document of half a MB takes seconds on a busy link, and would
 * never arrive if each attempt were aborted and restarted. No answer may take
 * longer than MAX_ANSWER_US.
 */
#define SILENCE_MS 1000
#define MAX_ANSWER_US (15 * G_USEC_PER_SEC)

/*
 * Bounds the pages of one listing: the entries of 12,000 engines, of less than
 * 1 KB each, take 12 MB. A store in trouble may always name one more page.
 */
#define MAX_LISTING_BYTES (32 * 1024 * 1024)

/*
 * Wait time of the first watch after a failure, so that it is answered at once:
 * until then the node can't tell that the store is reachable again, and doubts
 * the entries that it has.
 */
#define CHECK_WAIT_MS 1

/* Backoff between retries, so that the nodes do not all return at once. */
#define FIRST_BACKOFF_MS 80
#define MAX_BACKOFF_MS 700

/* While another node retries often and announces the store's return. */
#define SLOW_RETRY_MS 2000

/* Least time between refreshes: a peer may announce a newer revision often. */
#define REFRESH_INTERVAL_US (300 * 1000)

#define STATUS_OK 200
#define STATUS_MISSING 404
#define STATUS_GONE 410

enum follower_state {
	FOLLOWER_BACKING_OFF,
	FOLLOWER_LISTING,
	FOLLOWER_WATCHING,
	FOLLOWER_INACTIVE /* another node follows and forwards the changes */
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
	struct store_page list; /* items of the pages read so far */
	char *list_after;
	int64_t list_bytes;    /* of the answers that hold these pages */
	int64_t position;      /* changes are known up to this one; 0: none */
	int64_t seen_position; /* of the last answer */
	struct store_era era;
	int64_t answered_era; /* that the answer in progress names */
	int64_t refreshed_us;
	int64_t started_us;  /* start of the call in progress */
	int64_t answered_us; /* start of its answer; 0: none yet */
	int64_t received_us; /* arrival of its last bytes */
	int32_t failures;    /* consecutive */
	guint timer;
	bool is_reached;
	bool slow_retry;
	bool is_unconfirmed;   /* reachability of the store, after inactivity */
	struct attempt *probe; /* probe of the store in progress */
	int64_t probed_us;
	guint probe_timer;
	bool probe_answered;
	int64_t probe_era;
};

static void follower_start_call(struct store_follower *follower);

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

static gboolean on_backoff_over(gpointer data)
{
	struct store_follower *follower = data;

	follower->timer = 0;
	follower_start_call(follower);
	return G_SOURCE_REMOVE;
}

/* The backoff doubles with each failure; its second half is random. */
static void follower_back_off(struct store_follower *follower)
{
	int32_t longest = FIRST_BACKOFF_MS << MIN(follower->failures, 4);

	longest = MIN(longest, MAX_BACKOFF_MS);
	if (follower->slow_retry && follower->failures > 1)
		longest = follower->options.slow_retry_ms
				  ? follower->options.slow_retry_ms
				  : SLOW_RETRY_MS;
	follower->state = FOLLOWER_BACKING_OFF;
	follower->timer = g_timeout_add(
		(guint)g_rand_int_range(follower->random, longest / 2, longest),
		on_backoff_over, follower);
}

/* Logs that a partly received answer is dropped with its call. */
static void follower_log_dropped(const struct store_follower *follower,
				 int64_t now_us)
{
	char bytes[24], waited[24];

	if (follower->body->len == 0)
		return;
	g_snprintf(bytes, sizeof(bytes), "%u", follower->body->len);
	g_snprintf(waited, sizeof(waited), "%" G_GINT64_FORMAT,
		   (now_us - follower->started_us) / 1000);
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
	follower_back_off(follower);
}

static void follower_clear_list(struct store_follower *follower)
{
	store_page_clear(&follower->list);
	store_page_init(&follower->list);
	g_clear_pointer(&follower->list_after, g_free);
	follower->list_bytes = 0;
}

/* Drops what is known of the store's state, which is listed anew. */
static void follower_forget(struct store_follower *follower)
{
	follower->position = 0;
	follower_clear_list(follower);
}

/*
 * Judges the era that an answer names. After a new one the state is listed
 * anew: a watch from a revision that was given out again would skip changes.
 */
static enum store_era_verdict follower_note_era(struct store_follower *follower,
						int64_t answered)
{
	int64_t known = follower->era.highest;
	enum store_era_verdict verdict =
		store_era_note(&follower->era, answered);
	char from[24], to[24];

	if (verdict != STORE_ERA_RISEN)
		return verdict;
	g_snprintf(from, sizeof(from), "%" G_GINT64_FORMAT, known);
	g_snprintf(to, sizeof(to), "%" G_GINT64_FORMAT, answered);
	log_write(follower->options.log, LOG_LEVEL_WARN, "store_era_risen",
		  "prefix", follower->prefix, "from", from, "to", to, NULL);
	follower_forget(follower);
	return verdict;
}

static void on_probe_head(void *data, const struct http_head *head)
{
	struct store_follower *follower = data;

	follower->probe_answered =
		head->status == STATUS_OK || head->status == STATUS_MISSING;
	follower->probe_era = follower->options.dialect->read_era(head);
}

static void follower_restart(struct store_follower *follower)
{
	follower_stop_call(follower);
	follower_start_call(follower);
}

static void probe_finish(struct store_follower *follower, const char *problem)
{
	enum store_era_verdict verdict;

	attempt_destroy(g_steal_pointer(&follower->probe));
	if (!problem) {
		verdict = follower_note_era(follower, follower->probe_era);
		if (verdict == STORE_ERA_RISEN)
			follower_restart(follower);
		else if (verdict != STORE_ERA_CURRENT)
			problem = store_era_verdict_text(verdict);
	}
	if (!problem && follower->events.answered)
		follower->events.answered(follower->events.data);
	if (problem && follower->is_reached)
		follower_fail(follower, problem);
}

static void on_probe_complete(void *data)
{
	struct store_follower *follower = data;

	probe_finish(follower, follower->probe_answered
				       ? NULL
				       : "probe answered with an error status");
}

static void on_probe_failed(void *data, const struct error *error)
{
	probe_finish(data, error->detail);
}

static const struct attempt_events probe_events = {
	.head = on_probe_head,
	.complete = on_probe_complete,
	.failed = on_probe_failed,
};

/*
 * Each probe opens a new connection: an old one may be dead although the store
 * is reachable.
 */
static gboolean on_probe_due(gpointer data)
{
	struct store_follower *follower = data;
	struct attempt_options options = {.address = follower->address};
	struct error error;

	if (follower->probe &&
	    g_get_monotonic_time() - follower->probed_us > PROBE_TIMEOUT_US)
		probe_finish(follower, "probe timed out");
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
		probe_finish(follower, error.detail);
	return G_SOURCE_CONTINUE;
}

static int32_t follower_silence_ms(const struct store_follower *follower)
{
	return follower->options.silence_ms ? follower->options.silence_ms
					    : SILENCE_MS;
}

/*
 * Whether the answer to the call in progress has begun, its last bytes are
 * recent and it has not taken longer than MAX_ANSWER_US.
 */
bool store_follower_is_receiving(const struct store_follower *follower)
{
	int64_t now_us = g_get_monotonic_time();

	return follower->attempt && follower->answered_us &&
	       now_us - follower->received_us <
		       (int64_t)follower_silence_ms(follower) * 1000 &&
	       now_us - follower->answered_us < MAX_ANSWER_US;
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
	follower->answered_era = follower->options.dialect->read_era(head);
	follower->answered_us = g_get_monotonic_time();
	follower->received_us = follower->answered_us;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct store_follower *follower = data;

	follower->received_us = g_get_monotonic_time();
	if (follower->body->len + size > MAX_STORE_ANSWER_BYTES) {
		follower_fail(follower, "answer too large");
		return;
	}
	g_byte_array_append(follower->body, (const guint8 *)bytes, (guint)size);
}

/*
 * Notes the position of an answer. Returns true if the store's revisions went
 * back although its era is the same.
 */
static bool follower_is_rewound(struct store_follower *follower,
				int64_t position)
{
	int64_t seen = follower->seen_position;
	char revision[24];

	follower->seen_position = position;
	if (position >= seen)
		return false;
	g_snprintf(revision, sizeof(revision), "%" G_GINT64_FORMAT,
		   store_position_revision(seen));
	log_write(follower->options.log, LOG_LEVEL_ERROR, "store_rewound",
		  "prefix", follower->prefix, "revision", revision, NULL);
	if (follower->events.rewound)
		follower->events.rewound(follower->events.data);
	return true;
}

/*
 * Adds a page to the listing. The pages of a listing are not one snapshot, so
 * the watch starts at the revision of the first page: it repeats the changes
 * that were made while the other pages were read.
 */
static void follower_add_list_page(struct store_follower *follower,
				   struct store_page *page)
{
	const struct store_item *last;

	if (follower->list.position == 0)
		follower->list.position = page->position;
	g_ptr_array_extend_and_steal(follower->list.items,
				     g_steal_pointer(&page->items));
	if (page->has_more && follower->list.items->len > 0) {
		last = g_ptr_array_index(follower->list.items,
					 follower->list.items->len - 1);
		g_free(follower->list_after);
		follower->list_after = g_strdup(last->key);
		return;
	}
	follower->position = follower->list.position;
	follower_is_rewound(follower, follower->position);
	follower_set_reached(follower, true);
	follower->events.listed(follower->events.data, &follower->list);
	follower_clear_list(follower);
}

static bool follower_read(struct store_follower *follower, GBytes *body,
			  struct error *error)
{
	const struct store_dialect *dialect = follower->options.dialect;
	struct store_page page;
	bool is_read;

	store_page_init(&page);
	if (follower->state == FOLLOWER_LISTING) {
		is_read = dialect->read_list(body, follower->answered_era,
					     &page, error);
		if (is_read)
			follower_add_list_page(follower, &page);
	} else {
		is_read = dialect->read_watch(body, follower->answered_era,
					      &page, error);
		if (is_read && follower_is_rewound(follower, page.position)) {
			follower_forget(follower);
		} else if (is_read) {
			follower->position = page.position;
			follower_set_reached(follower, true);
			follower->events.changed(follower->events.data, &page);
		}
	}
	store_page_clear(&page);
	return is_read;
}

/* Counts the answer that is complete, if it is a page of a listing. */
static bool follower_list_is_too_large(struct store_follower *follower)
{
	if (follower->state != FOLLOWER_LISTING)
		return false;
	follower->list_bytes += follower->body->len;
	return follower->list_bytes > MAX_LISTING_BYTES;
}

static void on_complete(void *data)
{
	struct store_follower *follower = data;
	enum store_era_verdict verdict =
		follower_note_era(follower, follower->answered_era);
	struct error error = {.detail = ""};
	GBytes *body;
	bool is_read;

	if (verdict == STORE_ERA_RISEN || follower->status == STATUS_GONE) {
		/* The changes after the position are not to be had: list. */
		follower_forget(follower);
		follower_restart(follower);
		return;
	}
	if (verdict != STORE_ERA_CURRENT) {
		follower_fail(follower, store_era_verdict_text(verdict));
		return;
	}
	if (follower->status != STATUS_OK) {
		follower_fail(follower, "refused");
		return;
	}
	if (follower_list_is_too_large(follower)) {
		follower_clear_list(follower);
		follower_fail(follower, "listing too large");
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
	follower->is_unconfirmed = false;
	follower_stop_call(follower);
	follower_start_call(follower);
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
	.complete = on_complete,
	.failed = on_failed,
};

static int64_t follower_wait_ms(const struct store_follower *follower)
{
	return follower->is_reached && !follower->is_unconfirmed
		       ? WATCH_WAIT_MS
		       : CHECK_WAIT_MS;
}

static void follower_write(const struct store_follower *follower, GString *out)
{
	const struct store_dialect *dialect = follower->options.dialect;

	if (follower->state == FOLLOWER_LISTING)
		dialect->write_list(follower->address, follower->prefix,
				    follower->list_after, out);
	else
		dialect->write_watch(follower->address, follower->prefix,
				     follower->position,
				     follower_wait_ms(follower), out);
}

static void follower_start_call(struct store_follower *follower)
{
	struct attempt_options options = {
		.address = follower->address,
		.pool = follower->failures ? NULL : follower->pool,
		.request = g_string_new(NULL),
	};
	struct error error;
	guint timeout_ms;

	follower->state =
		follower->position == 0 ? FOLLOWER_LISTING : FOLLOWER_WATCHING;
	timeout_ms =
		follower->state == FOLLOWER_LISTING
			? LIST_TIMEOUT_MS
			: (guint)follower_wait_ms(follower) + WATCH_MARGIN_MS;
	follower->status = 0;
	follower->started_us = g_get_monotonic_time();
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

/*
 * Starts to list and then to watch; the store may be unreachable. Options and
 * events are copied, address and prefix too; the dialect and the log must
 * outlive the follower, which the caller owns.
 */
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
	follower_start_call(follower);
	return follower;
}

/* Aborts the calls in progress and frees the follower; NULL is allowed. */
void store_follower_destroy(struct store_follower *follower)
{
	if (!follower)
		return;
	store_follower_set_probing(follower, false);
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
 * Stops following, or continues from the last known revision. The next watch
 * delivers the changes made in between, or all keys are listed again if the
 * store no longer has those changes. That watch is answered at once, since the
 * state that this node has is old.
 */
void store_follower_set_active(struct store_follower *follower, bool active)
{
	if (active == (follower->state != FOLLOWER_INACTIVE))
		return;
	if (active) {
		follower->is_unconfirmed = true;
		follower_start_call(follower);
		return;
	}
	follower_stop_call(follower);
	follower->state = FOLLOWER_INACTIVE;
	follower->failures = 0;
}

/*
 * Sets whether to retry seldom, because another node retries often while the
 * store is unreachable. If all nodes retried often, the store would get most
 * calls while it can handle least, and each call is billed. Setting it to
 * false, once the other node has reached the store, retries after the shortest
 * backoff.
 */
void store_follower_set_slow_retry(struct store_follower *follower,
				   bool slow_retry)
{
	if (follower->slow_retry == slow_retry)
		return;
	follower->slow_retry = slow_retry;
	if (slow_retry || follower->state != FOLLOWER_BACKING_OFF)
		return;
	follower_stop_call(follower);
	follower->failures = 0;
	follower_back_off(follower);
}

/* Sets whether to probe each second if the store is still reachable. */
void store_follower_set_probing(struct store_follower *follower, bool probing)
{
	if (probing && !follower->probe_timer)
		follower->probe_timer =
			g_timeout_add(PROBE_MS, on_probe_due, follower);
	if (probing || !follower->probe_timer)
		return;
	g_source_remove(follower->probe_timer);
	follower->probe_timer = 0;
	attempt_destroy(g_steal_pointer(&follower->probe));
}

/*
 * To be called when the store is known to have a newer revision: calls the
 * store again on another connection, since the present one may be dead. An
 * answer that is arriving is read to its end instead.
 */
void store_follower_refresh(struct store_follower *follower)
{
	int64_t now_us = g_get_monotonic_time();

	if (follower->state == FOLLOWER_BACKING_OFF ||
	    follower->state == FOLLOWER_INACTIVE ||
	    store_follower_is_receiving(follower) ||
	    now_us - follower->refreshed_us < REFRESH_INTERVAL_US)
		return;
	follower->refreshed_us = now_us;
	follower_log_dropped(follower, now_us);
	follower_stop_call(follower);
	follower_start_call(follower);
}

/* Number of consecutive failed calls; 0: the last one was answered. */
int32_t store_follower_failures(const struct store_follower *follower)
{
	return follower->failures;
}

/* Whether the store answered the last call, and the last probe if any. */
bool store_follower_is_reached(const struct store_follower *follower)
{
	return follower->is_reached;
}
