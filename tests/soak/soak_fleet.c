#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_fleet_state.h"
#include "tests/soak/soak_platform.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define MS_US G_TIME_SPAN_MILLISECOND
/* An engine that a request crashed is restarted after two seconds. */
#define CRASH_RESTART_US (2 * G_TIME_SPAN_SECOND)
/* A plain endpoint that a request ended is back after one of these times. */
static const int64_t plain_restart_us[] = {
	50 * MS_US, 100 * MS_US, 300 * MS_US, 1000 * MS_US, 5000 * MS_US,
};
#define SAMPLE_US (500 * MS_US)
#define TERM_WAIT_US (10 * G_TIME_SPAN_SECOND)

/*
 * Starts no process yet. The schedule, the view, the evidence and the strings
 * of paths must outlive the fleet.
 */
struct soak_fleet *soak_fleet_create(const struct soak_schedule *schedule,
				     const struct soak_fleet_paths *paths,
				     struct soak_view *view,
				     struct soak_evidence *evidence)
{
	struct soak_fleet *fleet = g_new0(struct soak_fleet, 1);

	fleet->schedule = schedule;
	fleet->paths = *paths;
	fleet->view = view;
	fleet->evidence = evidence;
	fleet->version = -1;
	fleet->nodes = g_ptr_array_new_with_free_func(soak_member_destroy);
	fleet->endpoints = g_ptr_array_new_with_free_func(soak_member_destroy);
	fleet->deferred =
		g_array_new(FALSE, TRUE, sizeof(struct soak_deferred));
	fleet->store = soak_process_create(paths->folder, "store");
	return fleet;
}

/* Kills the processes that still run; NULL is allowed. */
void soak_fleet_destroy(struct soak_fleet *fleet)
{
	if (!fleet)
		return;
	g_ptr_array_unref(fleet->nodes);
	g_ptr_array_unref(fleet->endpoints);
	g_array_unref(fleet->deferred);
	soak_process_destroy(fleet->store);
	g_clear_object(&fleet->range_lock);
	g_free(fleet);
}

/* Records a failure that the soak itself found. */
void soak_fleet_note_failure(struct soak_fleet *fleet, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	g_ptr_array_add(fleet->evidence->failures,
			g_strdup_vprintf(format, arguments));
	va_end(arguments);
}

/* Records that a fault begins at the process or party named who. */
void soak_fleet_record_fault(struct soak_fleet *fleet,
			     enum soak_fault_kind kind, const char *who)
{
	struct soak_fault_record row = {.kind = kind};

	g_strlcpy(row.who, who, sizeof(row.who));
	row.from_us = g_get_monotonic_time();
	g_array_append_val(fleet->evidence->fault_records, row);
}

/* Records the end of the last open fault of that kind at who, if any. */
void soak_fleet_record_fault_end(struct soak_fleet *fleet,
				 enum soak_fault_kind kind, const char *who)
{
	GArray *rows = fleet->evidence->fault_records;

	for (guint i = rows->len; i-- > 0;) {
		struct soak_fault_record *row =
			&g_array_index(rows, struct soak_fault_record, i);

		if (row->kind != kind || row->to_us ||
		    strcmp(row->who, who) != 0)
			continue;
		row->to_us = g_get_monotonic_time();
		return;
	}
}

/*
 * Calls run for the member in after_us microseconds, unless the member has
 * another id by then.
 */
void soak_fleet_defer(struct soak_fleet *fleet, int64_t after_us,
		      void (*run)(struct soak_fleet *, struct soak_member *),
		      struct soak_member *member)
{
	struct soak_deferred deferred = {.run = run, .member = member};

	deferred.at_us = g_get_monotonic_time() + after_us;
	g_strlcpy(deferred.id, member->id, sizeof(deferred.id));
	g_array_append_val(fleet->deferred, deferred);
}

/*
 * Whether SIGTERM ended a node that had not begun to run, as one that is paused
 * right after its start: it has no handler yet, and has written no line.
 */
static bool ended_before_its_start(const struct soak_life *life)
{
	return life->status == -SIGTERM && life->log_bytes == 0;
}

/*
 * Starts a plain endpoint again that a request has ended, some under their ids,
 * some under new ones.
 */
static void supervise_plain(struct soak_fleet *fleet,
			    struct soak_member *member)
{
	uint32_t draw = fleet->schedule->seed + (uint32_t)fleet->plain_ends++;

	soak_fleet_record_fault(fleet, SOAK_POISON_PLAIN, member->name);
	member->start_us =
		g_get_monotonic_time() +
		plain_restart_us[draw % G_N_ELEMENTS(plain_restart_us)];
	member->starts_with_new_id = draw / 2 % 2 == 0;
}

/* Starts an engine again that a request has ended; some under new ids. */
static void supervise_engine(struct soak_fleet *fleet,
			     struct soak_member *member)
{
	const GArray *faults = fleet->schedule->faults;

	soak_fleet_record_fault(fleet, SOAK_POISON, member->name);
	member->start_us = g_get_monotonic_time() + CRASH_RESTART_US;
	for (guint i = 0; i < faults->len; i++)
		if (g_array_index(faults, struct soak_fault, i).kind ==
		    SOAK_POISON_PART)
			member->starts_with_new_id =
				fleet->engine_ends % 2 == 0;
	fleet->engine_ends++;
}

static void member_handle_end(struct soak_fleet *fleet,
			      struct soak_member *member,
			      const struct soak_life *life)
{
	if (member->role == SOAK_ROLE_PLAIN) {
		supervise_plain(fleet, member);
		return;
	}
	if (member->role == SOAK_ROLE_ENGINE) {
		supervise_engine(fleet, member);
		return;
	}
	if (!life->term_us)
		member->start_us = g_get_monotonic_time();
}

static void member_tick(struct soak_fleet *fleet, struct soak_member *member,
			int64_t now_us)
{
	struct soak_life *life = member->life;

	if (soak_member_end_life(member))
		member_handle_end(fleet, member, life);
	if (member->life && member->exit_deadline_us &&
	    now_us >= member->exit_deadline_us) {
		soak_fleet_note_failure(
			fleet, "%s still runs past its grace after SIGTERM",
			member->name);
		soak_member_kill(member);
	}
	if (*member->earlier_id && now_us >= member->earlier_until_us)
		soak_fleet_remove_earlier_entry(fleet, member);
	if (!member->life && member->start_us && now_us >= member->start_us)
		soak_fleet_start_member(fleet, member);
}

static void members_tick(struct soak_fleet *fleet, const GPtrArray *members,
			 bool samples)
{
	int64_t now_us = g_get_monotonic_time();

	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		member_tick(fleet, member, now_us);
		if (samples)
			soak_member_sample(member);
	}
}

static void deferred_run(struct soak_fleet *fleet,
			 const struct soak_deferred *deferred)
{
	if (deferred->run && strcmp(deferred->id, deferred->member->id) == 0)
		deferred->run(fleet, deferred->member);
}

static gboolean on_timeout(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Runs the main loop, and with it the proxies, for for_us microseconds. */
void soak_fleet_wait(int64_t for_us)
{
	bool is_over = false;

	g_timeout_add((guint)(for_us / MS_US), on_timeout, &is_over);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

/*
 * Handles ended processes, and runs the starts and deferred actions that are
 * due. The run calls it every few ms.
 */
void soak_fleet_tick(struct soak_fleet *fleet)
{
	int64_t now_us = g_get_monotonic_time();
	bool samples = now_us - fleet->sampled_us >= SAMPLE_US;

	if (samples)
		fleet->sampled_us = now_us;
	members_tick(fleet, fleet->nodes, samples);
	members_tick(fleet, fleet->endpoints, samples);
	for (guint i = fleet->deferred->len; i-- > 0;) {
		struct soak_deferred deferred =
			g_array_index(fleet->deferred, struct soak_deferred, i);

		if (now_us < deferred.at_us)
			continue;
		g_array_remove_index(fleet->deferred, i);
		deferred_run(fleet, &deferred);
	}
}

static bool members_are_running(const GPtrArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		const struct soak_member *member =
			g_ptr_array_index(members, i);

		if (!member->life || member->is_paused ||
		    member->exit_deadline_us || member->is_leaving)
			return false;
	}
	return true;
}

/* Whether all members run normally and no deferred action is pending. */
bool soak_fleet_is_healthy(const struct soak_fleet *fleet)
{
	return fleet->deferred->len == 0 && members_are_running(fleet->nodes) &&
	       members_are_running(fleet->endpoints);
}

static void members_stop(const GPtrArray *members)
{
	int64_t until_us = g_get_monotonic_time() + TERM_WAIT_US;

	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		if (!soak_process_is_running(member->process))
			continue;
		soak_process_signal(member->process, SIGCONT);
		soak_process_signal(member->process, SIGTERM);
		if (member->life && !member->life->term_us)
			member->life->term_us = g_get_monotonic_time();
	}
	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

		while (soak_process_is_running(member->process) &&
		       g_get_monotonic_time() < until_us)
			soak_fleet_wait(10 * MS_US);
		if (!soak_member_end_life(member))
			soak_member_kill(member);
	}
}

static void fleet_read_journals(struct soak_fleet *fleet)
{
	for (guint i = 0; i < fleet->endpoints->len; i++) {
		g_autofree char *path = soak_fleet_journal_path(
			fleet, g_ptr_array_index(fleet->endpoints, i));
		struct error error = {0};

		if (!soak_evidence_read_journal(fleet->evidence, path, &error))
			soak_fleet_note_failure(fleet, "%s", error.detail);
	}
}

/* Notes each end of a node that nobody asked for, also while all are stopped.
 */
static void fleet_judge_ends(struct soak_fleet *fleet)
{
	const GPtrArray *lives = fleet->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (!life->front ||
		    (life->was_killed && life->status == -SIGKILL))
			continue;
		if (!life->term_us)
			soak_fleet_note_failure(
				fleet, "%s ended by itself with status %d",
				life->name, life->status);
		else if (life->status != 0 && !ended_before_its_start(life))
			soak_fleet_note_failure(
				fleet, "%s ended with status %d after SIGTERM",
				life->name, life->status);
	}
}

/* Ends all processes, the nodes first, and reads the endpoints' journals. */
void soak_fleet_stop(struct soak_fleet *fleet)
{
	members_stop(fleet->nodes);
	members_stop(fleet->endpoints);
	fleet_judge_ends(fleet);
	soak_process_kill(fleet->store);
	fleet_read_journals(fleet);
}
