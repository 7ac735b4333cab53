#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_fleet_state.h"
#include "tests/soak/soak_platform.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define MS_US G_TIME_SPAN_MILLISECOND
/* An engine that a request crashed is back after some seconds. */
#define CRASHED_AWAY_US (2 * G_TIME_SPAN_SECOND)
#define SAMPLE_US (500 * MS_US)
#define TERM_WAIT_US (10 * G_TIME_SPAN_SECOND)

/* Nothing runs yet. */
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
	fleet->later = g_array_new(FALSE, TRUE, sizeof(struct soak_later));
	fleet->store = soak_process_create(paths->folder, "store");
	return fleet;
}

/* Kills what still runs; NULL is allowed. */
void soak_fleet_destroy(struct soak_fleet *fleet)
{
	if (!fleet)
		return;
	g_ptr_array_unref(fleet->nodes);
	g_ptr_array_unref(fleet->endpoints);
	g_array_unref(fleet->later);
	soak_process_destroy(fleet->store);
	g_clear_object(&fleet->lock);
	g_free(fleet);
}

/* Something that the soak itself saw, a find. */
void soak_fleet_note_failure(struct soak_fleet *fleet, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	g_ptr_array_add(fleet->evidence->failures,
			g_strdup_vprintf(format, arguments));
	va_end(arguments);
}

/* A fault begins at somebody. */
void soak_fleet_disturb(struct soak_fleet *fleet, enum soak_fault_kind kind,
			const char *who)
{
	struct soak_disruption row = {.kind = kind};

	g_strlcpy(row.who, who, sizeof(row.who));
	row.from_us = g_get_monotonic_time();
	g_array_append_val(fleet->evidence->disruptions, row);
}

/* It has ended; the last one of that kind there, if any. */
void soak_fleet_calm(struct soak_fleet *fleet, enum soak_fault_kind kind,
		     const char *who)
{
	GArray *rows = fleet->evidence->disruptions;

	for (guint i = rows->len; i-- > 0;) {
		struct soak_disruption *row =
			&g_array_index(rows, struct soak_disruption, i);

		if (row->kind != kind || row->to_us ||
		    strcmp(row->who, who) != 0)
			continue;
		row->to_us = g_get_monotonic_time();
		return;
	}
}

/* Has run called for the member after that time, if it is the same then. */
void soak_fleet_do_later(struct soak_fleet *fleet, int64_t after_us,
			 void (*run)(struct soak_fleet *, struct soak_member *),
			 struct soak_member *member)
{
	struct soak_later later = {.run = run, .member = member};

	later.at_us = g_get_monotonic_time() + after_us;
	g_strlcpy(later.id, member->id, sizeof(later.id));
	g_array_append_val(fleet->later, later);
}

static void member_has_ended(struct soak_fleet *fleet,
			     struct soak_member *member,
			     const struct soak_life *life)
{
	if (member->role != SOAK_ROLE_NODE) {
		soak_fleet_disturb(fleet, SOAK_POISON, member->name);
		member->start_us = g_get_monotonic_time() + CRASHED_AWAY_US;
		return;
	}
	if (!life->term_us) {
		soak_fleet_note_failure(fleet,
					"%s ended by itself with status %d",
					member->name, life->status);
		member->start_us = g_get_monotonic_time();
	} else if (life->status != 0) {
		soak_fleet_note_failure(fleet,
					"%s ended with status %d after SIGTERM",
					member->name, life->status);
	}
}

static void member_tick(struct soak_fleet *fleet, struct soak_member *member,
			int64_t now_us)
{
	struct soak_life *life = member->life;

	if (soak_member_end_life(member))
		member_has_ended(fleet, member, life);
	if (member->life && member->end_by_us && now_us >= member->end_by_us) {
		soak_fleet_note_failure(
			fleet, "%s still runs past its grace after SIGTERM",
			member->name);
		soak_member_kill(member);
	}
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

static void later_run(struct soak_fleet *fleet, const struct soak_later *later)
{
	if (later->run && strcmp(later->id, later->member->id) == 0)
		later->run(fleet, later->member);
}

static gboolean on_waited(gpointer data)
{
	*(bool *)data = true;
	return G_SOURCE_REMOVE;
}

/* Lets the proxies work for that long: they run in this thread. */
void soak_fleet_wait(int64_t for_us)
{
	bool is_over = false;

	g_timeout_add((guint)(for_us / MS_US), on_waited, &is_over);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

/* What is due now: starts, ends, entries. Called every few ms. */
void soak_fleet_tick(struct soak_fleet *fleet)
{
	int64_t now_us = g_get_monotonic_time();
	bool samples = now_us - fleet->sampled_us >= SAMPLE_US;

	if (samples)
		fleet->sampled_us = now_us;
	members_tick(fleet, fleet->nodes, samples);
	members_tick(fleet, fleet->endpoints, samples);
	for (guint i = fleet->later->len; i-- > 0;) {
		struct soak_later later =
			g_array_index(fleet->later, struct soak_later, i);

		if (now_us < later.at_us)
			continue;
		g_array_remove_index(fleet->later, i);
		later_run(fleet, &later);
	}
}

static bool members_are_whole(const GPtrArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		const struct soak_member *member =
			g_ptr_array_index(members, i);

		if (!member->life || member->is_paused || member->end_by_us ||
		    member->is_leaving)
			return false;
	}
	return true;
}

/* Whether everybody runs, and nothing is left to be done. */
bool soak_fleet_is_whole(const struct soak_fleet *fleet)
{
	return fleet->later->len == 0 && members_are_whole(fleet->nodes) &&
	       members_are_whole(fleet->endpoints);
}

static void members_stop(const GPtrArray *members)
{
	int64_t until_us = g_get_monotonic_time() + TERM_WAIT_US;

	for (guint i = 0; i < members->len; i++) {
		struct soak_member *member = g_ptr_array_index(members, i);

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

/* Ends all processes, the nodes first, and reads the engines' journals. */
void soak_fleet_stop(struct soak_fleet *fleet)
{
	members_stop(fleet->nodes);
	members_stop(fleet->endpoints);
	soak_process_kill(fleet->store);
	fleet_read_journals(fleet);
}
