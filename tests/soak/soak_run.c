#include "tests/soak/soak_run.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_view.h"

#define STEP_RUN "soak.run"
#define MS_US G_TIME_SPAN_MILLISECOND
#define TICK_US (5 * MS_US)
/* Nodes must serve within 12 s after all processes are back. */
#define RECOVERY_US (12 * G_TIME_SPAN_SECOND)
/* Time within which all nodes must serve before the first fault. */
#define READY_US (10 * G_TIME_SPAN_SECOND)
/* Time after the last fault's end for restarts on a busy machine. */
#define HEALTHY_US (15 * G_TIME_SPAN_SECOND)

struct run {
	const struct soak_schedule *schedule;
	const volatile sig_atomic_t *interrupted;
	struct soak_view *view;
	struct soak_evidence *evidence;
	struct soak_fleet *fleet;
	struct soak_callers *callers;
	bool *has_begun; /* indexed like schedule->faults */
	bool *has_ended;
};

static void run_faults(struct run *run, int64_t elapsed_us)
{
	const GArray *faults = run->schedule->faults;

	for (guint i = 0; i < faults->len; i++) {
		const struct soak_fault *fault =
			&g_array_index(faults, struct soak_fault, i);

		if (!run->has_begun[i] && elapsed_us >= fault->at_ms * MS_US) {
			run->has_begun[i] = true;
			soak_fleet_begin_fault(run->fleet, fault);
			soak_callers_send_poison(run->callers, fault->kind);
		}
		if (run->has_begun[i] && !run->has_ended[i] &&
		    elapsed_us >= (fault->at_ms + fault->duration_ms) * MS_US) {
			run->has_ended[i] = true;
			soak_fleet_end_fault(run->fleet, fault);
		}
	}
}

static bool run_has_ended_all(const struct run *run)
{
	for (guint i = 0; i < run->schedule->faults->len; i++) {
		if (!run->has_ended[i])
			return false;
	}
	return true;
}

static void run_under_load(struct run *run)
{
	int64_t begun_us = g_get_monotonic_time();
	int64_t elapsed_us = 0;

	run->evidence->begun_us = begun_us;
	while (!*run->interrupted &&
	       (elapsed_us < run->schedule->load_ms * MS_US ||
		!run_has_ended_all(run))) {
		run_faults(run, elapsed_us);
		soak_fleet_tick(run->fleet);
		soak_fleet_wait(TICK_US);
		elapsed_us = g_get_monotonic_time() - begun_us;
	}
}

static bool all_served_since(const struct run *run, int64_t since_us)
{
	for (int32_t i = 0; i < run->schedule->nodes; i++) {
		if (soak_view_served_us(run->view, i) < since_us)
			return false;
	}
	return true;
}

/* Runs until every node has answered a probe with 200 since since_us. */
static bool run_until_served(struct run *run, int64_t since_us,
			     int64_t until_us)
{
	while (!*run->interrupted && g_get_monotonic_time() < until_us) {
		soak_fleet_tick(run->fleet);
		if (all_served_since(run, since_us))
			return true;
		soak_fleet_wait(TICK_US);
	}
	return false;
}

/* Waits for the processes that the last faults stopped to restart. */
static void run_until_healthy(struct run *run)
{
	int64_t until_us = g_get_monotonic_time() + HEALTHY_US;

	while (!*run->interrupted && !soak_fleet_is_healthy(run->fleet) &&
	       g_get_monotonic_time() < until_us) {
		soak_fleet_tick(run->fleet);
		soak_fleet_wait(TICK_US);
	}
}

static void run_recover(struct run *run)
{
	int64_t healthy_us;

	run_until_healthy(run);
	healthy_us = g_get_monotonic_time();
	if (!run_until_served(run, healthy_us, healthy_us + RECOVERY_US) &&
	    !*run->interrupted)
		g_ptr_array_add(run->evidence->failures,
				g_strdup("a node does not serve within 12 s "
					 "after all processes are back"));
	run->evidence->load_end_us = g_get_monotonic_time();
	soak_view_end_load(run->view);
}

static bool run_schedule(struct run *run, struct error *error)
{
	int64_t now_us;
	bool is_ready;

	if (!soak_fleet_start(run->fleet, error))
		return false;
	run->callers = soak_callers_create(run->schedule, run->view);
	now_us = g_get_monotonic_time();
	is_ready = run_until_served(run, now_us, now_us + READY_US);
	if (is_ready) {
		run_under_load(run);
		run_recover(run);
	} else {
		error_set(error, ERROR_TIMEOUT, STEP_RUN, NULL,
			  "the nodes did not serve within 10 s of their start");
	}
	soak_view_end_probes(run->view);
	while (!soak_callers_have_ended(run->callers)) {
		soak_fleet_tick(run->fleet);
		soak_fleet_wait(TICK_US);
	}
	soak_callers_finish(run->callers, run->evidence);
	run->evidence->ended_us = g_get_monotonic_time();
	return is_ready;
}

/* Runs a schedule and returns its evidence, which the caller owns. */
struct soak_evidence *soak_run(const struct soak_schedule *schedule,
			       const struct soak_fleet_paths *paths,
			       const volatile sig_atomic_t *interrupted,
			       struct error *error)
{
	struct run run = {.schedule = schedule, .interrupted = interrupted};

	run.view = soak_view_create(schedule->nodes);
	run.evidence = soak_evidence_create();
	run.fleet = soak_fleet_create(schedule, paths, run.view, run.evidence);
	run.has_begun = g_new0(bool, schedule->faults->len + 1);
	run.has_ended = g_new0(bool, schedule->faults->len + 1);
	if (run_schedule(&run, error)) {
		soak_fleet_stop(run.fleet);
		soak_evidence_sort(run.evidence);
	} else {
		g_clear_pointer(&run.evidence, soak_evidence_destroy);
	}
	soak_fleet_destroy(run.fleet);
	soak_view_destroy(run.view);
	g_free(run.has_begun);
	g_free(run.has_ended);
	return run.evidence;
}
