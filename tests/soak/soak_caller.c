#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_directory.h"

#include <inttypes.h>
#include <string.h>

#define MS_US G_TIME_SPAN_MILLISECOND
/* Documented timeouts of a caller: to connect, and to receive the answer. */
#define CONNECT_TIMEOUT_US G_TIME_SPAN_SECOND
#define PLAIN_DEADLINE_US (2500 * MS_US)
#define STREAM_DEADLINE_US (15 * G_TIME_SPAN_SECOND)
/* A caller reads for this long after its deadline before it disconnects. */
#define DEADLINE_SLACK_US (250 * MS_US)
#define RETRIES 1
/* Callers that ignore Retry-After retry at once, and this many times. */
#define IMPATIENT_RETRIES 4
#define PROBE_EVERY_US (150 * MS_US)
#define KEEPERS_PER_NODE 3
/* Keepers wait this long at most between requests; the last one of a node. */
#define KEEPER_PAUSE_MS 300
#define SLOW_KEEPER_PAUSE_MS 2500
/* The fake engine crashes when a request body contains this text. */
#define POISON "[[poison]]"
#define POISON_ATTEMPTS 5
#define POISON_EVERY_US (300 * MS_US)
#define POISON_PLAIN_ATTEMPTS 40
#define POISON_PLAIN_EVERY_US (200 * MS_US)
/* The fake engine crashes when a prompt has this part. */
#define POISON_PART "badbad01"
#define POISON_PART_ATTEMPTS 60
#define POISON_PART_EVERY_US (250 * MS_US)
/* All prompts begin with one part; sound ones go on with one of a few. */
#define FIRST_PART "5c1e07a2"
#define SECOND_PARTS 8
/* A route is removed this many versions after the one that added it. */
#define ROUTE_LIFE_VERSIONS 2

enum behaviour {
	BEHAVIOUR_NEW_CONNECTION,  /* opens a connection for each request */
	BEHAVIOUR_KEEP_ALIVE,	   /* reuses a connection until it ends */
	BEHAVIOUR_STALE_DIRECTORY, /* uses expired directory answers */
	BEHAVIOUR_DISCONNECT, /* disconnects in the middle of some answers */
	BEHAVIOUR_IMPATIENT,  /* retries at once and more often */
	BEHAVIOUR_ONE_KEY,    /* uses key 0 in every path */
	BEHAVIOURS
};

struct caller {
	const struct soak_schedule *schedule;
	struct soak_callers *callers;
	struct soak_view *view;
	GThread *thread;
	GRand *random;
	struct soak_directory *directory;
	struct soak_session *kept;
	char *kept_front;
	int64_t kept_since_us; /* 0: it is known to be closed */
	GPtrArray *attempts;
	int32_t number;
	int32_t node;	      /* of a keeper */
	int32_t max_pause_ms; /* of a keeper */
	int32_t sent;
	enum behaviour behaviour;
};

struct soak_callers {
	const struct soak_schedule *schedule;
	struct soak_view *view;
	gint running;	 /* threads that run; atomic */
	GPtrArray *list; /* struct caller */
};

static struct caller *caller_create(struct soak_callers *callers)
{
	struct caller *caller = g_new0(struct caller, 1);
	guint32 seeds[2];

	caller->schedule = callers->schedule;
	caller->callers = callers;
	caller->view = callers->view;
	caller->number = (int32_t)callers->list->len;
	caller->behaviour = (enum behaviour)(caller->number % BEHAVIOURS);
	seeds[0] = callers->schedule->seed;
	seeds[1] = (guint32)caller->number;
	caller->random = g_rand_new_with_seed_array(seeds, 2);
	caller->directory = soak_directory_create(
		callers->view, caller->random,
		caller->behaviour == BEHAVIOUR_STALE_DIRECTORY);
	caller->attempts = g_ptr_array_new();
	g_ptr_array_add(callers->list, caller);
	return caller;
}

static void caller_destroy(struct caller *caller)
{
	soak_session_destroy(caller->kept);
	soak_directory_destroy(caller->directory);
	g_free(caller->kept_front);
	g_rand_free(caller->random);
	g_ptr_array_unref(caller->attempts);
	g_free(caller);
}

static void caller_start(struct caller *caller, GThreadFunc run)
{
	g_atomic_int_inc(&caller->callers->running);
	caller->thread = g_thread_new("caller", run, caller);
}

/* Returns the fields of a generation; its last part is its own. */
static char *generation_fields(const struct soak_attempt *attempt)
{
	guint hash = g_str_hash(attempt->id);
	g_autofree char *second =
		attempt->kind == SOAK_KIND_POISON_PART
			? g_strdup(POISON_PART)
			: g_strdup_printf("50%x", hash % SECOND_PARTS);

	return g_strdup_printf("X-Siskinlink-Token-Count: 300,200\r\n"
			       "X-Siskinlink-Prompt-Prefix: " FIRST_PART
			       ":200,%s:60,%x:40\r\n",
			       second, hash);
}

static char *request_text(const struct soak_attempt *attempt)
{
	bool streams = soak_kind_is_stream(attempt->kind) ||
		       attempt->kind == SOAK_KIND_POISON ||
		       attempt->kind == SOAK_KIND_POISON_PART;
	/* Poison comes again as it was, unless it is in a part of the prompt.
	 */
	const char *body =
		attempt->kind == SOAK_KIND_POISON ||
				attempt->kind == SOAK_KIND_POISON_PLAIN
			? POISON
			: attempt->id;
	g_autofree char *fields =
		streams ? generation_fields(attempt) : g_strdup("");
	g_autofree char *last =
		attempt->after_event < 0
			? g_strdup("")
			: g_strdup_printf("Last-Event-Id: %" PRId64 "\r\n",
					  attempt->after_event);
	bool has_body = attempt->kind != SOAK_KIND_IDEMPOTENT &&
			attempt->kind != SOAK_KIND_PROBE;
	int64_t left_us = attempt->deadline_us - g_get_monotonic_time();

	return g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: " SOAK_HOST "\r\n"
		"Authorization: Bearer " SOAK_KEY "\r\n"
		"X-Siskinlink-Request-Id: %s\r\n"
		"X-Siskinlink-Deadline-Ms: %" PRId64 "\r\n"
		"%s%sContent-Length: %" G_GSIZE_FORMAT "\r\n\r\n%s",
		has_body ? "POST" : "GET", attempt->path, attempt->id,
		MAX(left_us / MS_US, 1), fields, last,
		has_body ? strlen(body) : 0, has_body ? body : "");
}

/*
 * Returns since when a kept connection to the front was idle, if it is found
 * closed now; otherwise 0. Tells of each connection once.
 */
static int64_t caller_note_closed(struct caller *caller, const char *front)
{
	int64_t since_us = caller->kept_since_us;

	if (!caller->kept || g_strcmp0(caller->kept_front, front) != 0 ||
	    soak_session_is_reusable(caller->kept))
		return 0;
	caller->kept_since_us = 0;
	return since_us;
}

/* Reuses the kept connection to the front if it is usable, or connects. */
static struct soak_session *caller_connect(struct caller *caller,
					   const char *front)
{
	g_autofree char *via = soak_view_connect_address(caller->view, front);
	struct error error = {0};

	if (caller->kept && g_strcmp0(caller->kept_front, front) == 0 &&
	    soak_session_is_reusable(caller->kept))
		return g_steal_pointer(&caller->kept);
	return soak_session_create(
		via, g_get_monotonic_time() + CONNECT_TIMEOUT_US, &error);
}

static void caller_release_connection(struct caller *caller, const char *front,
				      struct soak_session *connection)
{
	if (caller->behaviour != BEHAVIOUR_KEEP_ALIVE ||
	    !soak_session_is_reusable(connection)) {
		soak_session_destroy(connection);
		return;
	}
	soak_session_destroy(caller->kept);
	g_free(caller->kept_front);
	caller->kept = connection;
	caller->kept_front = g_strdup(front);
	caller->kept_since_us = g_get_monotonic_time();
}

/* Sets the time or the byte count at which the caller disconnects early. */
static void caller_plan_disconnect(struct caller *caller, int64_t *until_us,
				   int64_t *disconnect_bytes)
{
	*disconnect_bytes = 0;
	if (caller->behaviour != BEHAVIOUR_DISCONNECT ||
	    g_rand_boolean(caller->random))
		return;
	if (g_rand_boolean(caller->random))
		*disconnect_bytes = g_rand_int_range(caller->random, 1, 2000);
	else
		*until_us = g_get_monotonic_time() +
			    g_rand_int_range(caller->random, 5, 500) * MS_US;
}

/*
 * Sends one attempt, reads its answer and records both. It goes on after the
 * last event of the attempt that broke off before, if that is not NULL.
 */
static struct soak_attempt *caller_resume(struct caller *caller,
					  enum soak_kind kind, const char *path,
					  const char *front,
					  int64_t deadline_us,
					  const struct soak_attempt *resumed)
{
	g_autofree char *id =
		g_strdup_printf("s%u-%d-%d", caller->schedule->seed,
				caller->number, caller->sent++);
	struct soak_attempt *attempt =
		soak_attempt_create(kind, id, path, front);
	int64_t until_us = deadline_us + DEADLINE_SLACK_US;
	const struct soak_session *kept = caller->kept;
	int64_t closed_since_us = caller_note_closed(caller, front);
	struct soak_session *connection = caller_connect(caller, front);
	struct error error = {0};
	int64_t disconnect_bytes;

	g_ptr_array_add(caller->attempts, attempt);
	attempt->deadline_us = deadline_us;
	if (resumed)
		attempt->after_event = soak_attempt_last_event(resumed);
	attempt->closed_since_us = closed_since_us;
	attempt->on_kept = connection && connection == kept;
	if (connection) {
		g_autofree char *text = request_text(attempt);

		caller_plan_disconnect(caller, &until_us, &disconnect_bytes);
		attempt->end = SOAK_END_RESET;
		if (soak_session_send(connection, text, until_us, &error)) {
			attempt->sent_us = g_get_monotonic_time();
			attempt->end =
				soak_session_read(connection, attempt->answer,
						  until_us, disconnect_bytes);
			if (attempt->end == SOAK_END_TIMEOUT &&
			    until_us < deadline_us)
				attempt->end = SOAK_END_STOPPED;
		}
		caller_release_connection(caller, front, connection);
	}
	attempt->ended_us = g_get_monotonic_time();
	return attempt;
}

static struct soak_attempt *caller_attempt(struct caller *caller,
					   enum soak_kind kind,
					   const char *path, const char *front,
					   int64_t deadline_us)
{
	return caller_resume(caller, kind, path, front, deadline_us, NULL);
}

static bool is_not_executed_status(int32_t status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static bool may_retry(const struct soak_attempt *attempt)
{
	int32_t status = attempt->answer->status;

	if (attempt->end == SOAK_END_NOT_SENT)
		return true;
	if (attempt->end == SOAK_END_COMPLETE && is_not_executed_status(status))
		return true;
	if (attempt->end == SOAK_END_STOPPED ||
	    (attempt->kind != SOAK_KIND_IDEMPOTENT &&
	     attempt->kind != SOAK_KIND_QUERY))
		return false;
	return attempt->end != SOAK_END_COMPLETE || status >= 500;
}

static void caller_wait_to_retry(struct caller *caller,
				 const struct soak_attempt *attempt)
{
	int64_t left_us = attempt->deadline_us - g_get_monotonic_time();
	int64_t wait_us = MAX(attempt->answer->retry_after_us, 0);

	if (caller->behaviour != BEHAVIOUR_IMPATIENT && left_us > 0)
		g_usleep((gulong)MIN(wait_us, left_us / 3));
}

static void caller_send(struct caller *caller, enum soak_kind kind,
			const char *path)
{
	int64_t deadline_us = g_get_monotonic_time() +
			      (soak_kind_is_stream(kind) ? STREAM_DEADLINE_US
							 : PLAIN_DEADLINE_US);
	int retries = caller->behaviour == BEHAVIOUR_IMPATIENT
			      ? IMPATIENT_RETRIES
			      : RETRIES;
	const struct soak_attempt *attempt = NULL;

	for (int i = 0; i <= retries; i++) {
		g_autofree char *front =
			caller->kept && caller->kept_front
				? g_strdup(caller->kept_front)
				: soak_directory_pick(caller->directory);

		if (!front || g_get_monotonic_time() >= deadline_us)
			return;
		attempt =
			caller_resume(caller, kind, path, front, deadline_us,
				      kind == SOAK_KIND_QUERY ? attempt : NULL);
		if (attempt->end == SOAK_END_NOT_SENT ||
		    attempt->end == SOAK_END_RESET)
			soak_directory_note_failed(caller->directory, front);
		if (!may_retry(attempt))
			return;
		caller_wait_to_retry(caller, attempt);
	}
}

/* A part of the requests that callers send; the percentages add up to 100. */
struct load {
	const char *prefix;
	enum soak_kind kind;
	int percent;
};

static const struct load *caller_draw_load(struct caller *caller)
{
	static const struct load mix[] = {
		{"/report/", SOAK_KIND_STREAM, 15},
		{"/query/", SOAK_KIND_QUERY, 10},
		{"/export/", SOAK_KIND_ONCE, 40},
		{"/lookup/", SOAK_KIND_IDEMPOTENT, 35},
	};
	int32_t draw = g_rand_int_range(caller->random, 0, 100);
	size_t i = 0;

	while (draw >= mix[i].percent)
		draw -= mix[i++].percent;
	return &mix[i];
}

static void caller_send_any(struct caller *caller)
{
	const struct load *load = caller_draw_load(caller);
	int32_t key = caller->behaviour == BEHAVIOUR_ONE_KEY
			      ? 0
			      : g_rand_int_range(caller->random, 1, 1000);
	g_autofree char *path = g_strdup_printf("%s%d", load->prefix, key);

	caller_send(caller, load->kind, path);
}

static gpointer caller_run(gpointer data)
{
	struct caller *caller = data;

	while (soak_view_has_load(caller->view)) {
		caller_send_any(caller);
		g_usleep((gulong)(g_rand_int_range(caller->random, 20, 200) *
				  MS_US));
	}
	g_atomic_int_add(&caller->callers->running, -1);
	return NULL;
}

/*
 * Stays with one node until its process is gone, whatever the directory says,
 * and connects to it again as long as it accepts.
 */
static gpointer keeper_run(gpointer data)
{
	struct caller *caller = data;

	while (soak_view_has_load(caller->view)) {
		const struct load *load = caller_draw_load(caller);
		g_autofree char *front =
			soak_view_front(caller->view, caller->node);
		g_autofree char *path =
			g_strdup_printf("%s%d", load->prefix, caller->sent);
		int64_t limit_us = soak_kind_is_stream(load->kind)
					   ? STREAM_DEADLINE_US
					   : PLAIN_DEADLINE_US;

		caller_attempt(caller, load->kind, path, front,
			       g_get_monotonic_time() + limit_us);
		g_usleep((gulong)(g_rand_int_range(caller->random, 20,
						   caller->max_pause_ms) *
				  MS_US));
	}
	g_atomic_int_add(&caller->callers->running, -1);
	return NULL;
}

/*
 * Requests from one node, in turn, the route that the newest configuration
 * added and the one that it removed.
 */
static gpointer prober_run(gpointer data)
{
	struct caller *caller = data;
	int32_t node = caller->number;

	for (int32_t i = 0; soak_view_has_probes(caller->view); i++) {
		int32_t newest = soak_view_version(caller->view);
		int32_t version = i % 2 ? newest - ROUTE_LIFE_VERSIONS : newest;
		g_autofree char *front = soak_view_front(caller->view, node);
		g_autofree char *path = g_strdup_printf("/p%d/%d", version, i);
		struct soak_attempt *attempt;

		if (version >= 0) {
			attempt = caller_attempt(
				caller, SOAK_KIND_PROBE, path, front,
				g_get_monotonic_time() + PLAIN_DEADLINE_US);
			attempt->version = version;
			if (attempt->answer->status == 200)
				soak_view_record_served(caller->view, node);
		}
		g_usleep(PROBE_EVERY_US);
	}
	g_atomic_int_add(&caller->callers->running, -1);
	return NULL;
}

/* A request that ends its endpoint, sent several times, to any node. */
struct poison {
	enum soak_kind kind;
	const char *path;
	int32_t attempts;
	int64_t deadline_us;
	int64_t every_us;
};

static void send_poison(struct caller *caller, const struct poison *poison)
{
	for (int i = 0; i < poison->attempts; i++) {
		g_autofree char *front = soak_directory_pick(caller->directory);

		if (front)
			caller_attempt(
				caller, poison->kind, poison->path, front,
				g_get_monotonic_time() + poison->deadline_us);
		g_usleep(poison->every_us);
	}
	g_atomic_int_add(&caller->callers->running, -1);
}

static gpointer poison_run(gpointer data)
{
	static const struct poison poison = {
		SOAK_KIND_POISON, "/report/poison", POISON_ATTEMPTS,
		STREAM_DEADLINE_US, POISON_EVERY_US};

	send_poison(data, &poison);
	return NULL;
}

static gpointer poison_plain_run(gpointer data)
{
	static const struct poison poison = {
		SOAK_KIND_POISON_PLAIN, "/export/poison", POISON_PLAIN_ATTEMPTS,
		PLAIN_DEADLINE_US, POISON_PLAIN_EVERY_US};

	send_poison(data, &poison);
	return NULL;
}

static gpointer poison_part_run(gpointer data)
{
	static const struct poison poison = {
		SOAK_KIND_POISON_PART, "/report/part", POISON_PART_ATTEMPTS,
		PLAIN_DEADLINE_US, POISON_PART_EVERY_US};

	send_poison(data, &poison);
	return NULL;
}

/* Whether faults are about connections that callers keep to a node. */
static bool needs_keepers(const struct soak_schedule *schedule)
{
	return soak_schedule_has_kind(schedule, SOAK_NODE_TERM_AGAIN) ||
	       soak_schedule_has_kind(schedule, SOAK_CONFIG_IDLE);
}

static void start_keepers(struct soak_callers *callers)
{
	int32_t nodes = callers->schedule->nodes;

	for (int32_t i = 0; i < nodes * KEEPERS_PER_NODE; i++) {
		struct caller *caller = caller_create(callers);

		caller->behaviour = BEHAVIOUR_KEEP_ALIVE;
		caller->node = i % nodes;
		caller->max_pause_ms = i / nodes == KEEPERS_PER_NODE - 1
					       ? SLOW_KEEPER_PAUSE_MS
					       : KEEPER_PAUSE_MS;
		caller_start(caller, keeper_run);
	}
}

/*
 * Starts a prober for each node, the callers of the schedule, and keepers if
 * its faults need them. The schedule and the view must outlive the callers.
 */
struct soak_callers *soak_callers_create(const struct soak_schedule *schedule,
					 struct soak_view *view)
{
	struct soak_callers *callers = g_new0(struct soak_callers, 1);

	callers->schedule = schedule;
	callers->view = view;
	callers->list = g_ptr_array_new();
	for (int32_t i = 0; i < schedule->nodes + schedule->callers; i++) {
		struct caller *caller = caller_create(callers);
		bool is_prober = i < schedule->nodes;

		if (is_prober)
			caller->behaviour = BEHAVIOUR_NEW_CONNECTION;
		caller_start(caller, is_prober ? prober_run : caller_run);
	}
	if (needs_keepers(schedule))
		start_keepers(callers);
	return callers;
}

/*
 * Starts one more caller, whose requests end the endpoints that run them, if
 * the kind of fault is one of these.
 */
void soak_callers_send_poison(struct soak_callers *callers,
			      enum soak_fault_kind kind)
{
	static const GThreadFunc runs[SOAK_FAULT_KINDS] = {
		[SOAK_POISON] = poison_run,
		[SOAK_POISON_PLAIN] = poison_plain_run,
		[SOAK_POISON_PART] = poison_part_run,
	};
	struct caller *caller;

	if (!runs[kind])
		return;
	caller = caller_create(callers);
	caller->behaviour = BEHAVIOUR_NEW_CONNECTION;
	caller_start(caller, runs[kind]);
}

/* Whether all threads have ended; soak_callers_finish does not block then. */
bool soak_callers_have_ended(struct soak_callers *callers)
{
	return g_atomic_int_get(&callers->running) == 0;
}

/* Waits for all threads, moves their attempts to evidence, and frees them. */
void soak_callers_finish(struct soak_callers *callers,
			 struct soak_evidence *evidence)
{
	for (guint i = 0; i < callers->list->len; i++) {
		struct caller *caller = g_ptr_array_index(callers->list, i);

		g_thread_join(caller->thread);
		for (guint j = 0; j < caller->attempts->len; j++)
			g_ptr_array_add(evidence->attempts,
					g_ptr_array_index(caller->attempts, j));
		caller_destroy(caller);
	}
	g_ptr_array_unref(callers->list);
	g_free(callers);
}
