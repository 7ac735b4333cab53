#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_fleet_state.h"
#include "tests/soak/soak_odd.h"
#include "tests/soak/soak_platform.h"

#include <signal.h>
#include <string.h>

/*
 * How each kind of fault begins and ends at its target. A target that does not
 * run, or that another fault already affects, is skipped.
 */

#define STORM_VERSIONS 5
/* Documented grace of a stop, and slack for a busy machine. */
#define GRACE_US (8 * G_TIME_SPAN_SECOND)
#define GRACE_SLACK_US G_TIME_SPAN_SECOND
/*
 * Entries that expired during an outage of the store are written again within
 * two heartbeats of its return.
 */
#define REREGISTER_US G_TIME_SPAN_SECOND
/* Settings to which SIGHUP switches. */
static const struct soak_settings settings_changed = {.keep_s = 3,
						      .drain_s = 8};
static const struct soak_settings settings_shorter = {.keep_s = 2,
						      .drain_s = 1};
/* How often the signals of a stop come again, and when in the drain. */
#define MAX_AGAIN 4
#define FIRST_AGAIN_MS 50
#define LAST_AGAIN_MS 6500
/* Between a reload and the signal that overlaps it, and until the next one. */
#define MAX_OVERLAP_MS 30
#define MIN_RELOAD_MS 100
#define MAX_RELOAD_MS 600
/*
 * A silence is a moment: the next one comes later, and none comes before an
 * endpoint that has started is registered.
 */
#define SILENCE_REST_US (4 * G_TIME_SPAN_SECOND)
#define SETTLE_US G_TIME_SPAN_SECOND
/* Between two tries to reach an endpoint that has just started. */
#define MODE_RETRY_US (50 * G_TIME_SPAN_MILLISECOND)
/* Below the shortest time for which endpoints say that they leave. */
#define MIN_WORD_US (3500 * G_TIME_SPAN_MILLISECOND)
/* Endpoints ask for 1 s to this long. */
#define MAX_REST_S 4

typedef void (*member_action)(struct soak_fleet *fleet,
			      struct soak_member *member);

static void member_kill(struct soak_fleet *fleet, struct soak_member *member)
{
	(void)fleet;
	soak_member_kill(member);
	member->start_us = 0;
}

static void node_rename(struct soak_fleet *fleet, struct soak_member *member)
{
	member_kill(fleet, member);
	member->starts_renamed = true;
}

static void member_pause(struct soak_fleet *fleet, struct soak_member *member)
{
	(void)fleet;
	if (!member->life || member->is_paused)
		return;
	member->is_paused = true;
	soak_process_signal(member->process, SIGSTOP);
}

static void apply_waiting_modes(struct soak_fleet *fleet,
				struct soak_member *member);

/* Whether the endpoint's process may not listen yet. */
static bool member_is_starting(const struct soak_member *member)
{
	return g_get_monotonic_time() < member->life->from_us + SETTLE_US;
}

/*
 * Sets modes of a fake endpoint. For an endpoint that is paused, or does not
 * listen yet, they are queued, in order: if they were dropped, the end of a
 * fault would be lost, and the endpoint would fail for the rest of the run.
 */
static void member_set_mode(struct soak_fleet *fleet,
			    struct soak_member *member, const char *json)
{
	struct error error = {0};

	if (!member->life)
		return;
	if (member->is_paused || member->deferred_modes->len > 0) {
		g_ptr_array_add(member->deferred_modes, g_strdup(json));
		return;
	}
	if (soak_platform_set_mode(member->address, json, &error))
		return;
	soak_fleet_wait(MODE_RETRY_US); /* it may have ended just now */
	if (!soak_process_is_running(member->process))
		return;
	if (member_is_starting(member)) {
		g_ptr_array_add(member->deferred_modes, g_strdup(json));
		soak_fleet_defer(fleet, MODE_RETRY_US, apply_waiting_modes,
				 member);
	} else {
		soak_fleet_note_failure(fleet, "%s: %s: %s", member->name, json,
					error.detail);
	}
}

static void apply_waiting_modes(struct soak_fleet *fleet,
				struct soak_member *member)
{
	g_autoptr(GPtrArray) modes = member->deferred_modes;

	member->deferred_modes = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < modes->len; i++)
		member_set_mode(fleet, member, g_ptr_array_index(modes, i));
}

static void member_continue(struct soak_fleet *fleet,
			    struct soak_member *member)
{
	if (!member->is_paused)
		return;
	member->is_paused = false;
	soak_process_signal(member->process, SIGCONT);
	apply_waiting_modes(fleet, member);
	if (member->exit_deadline_us)
		member->exit_deadline_us =
			g_get_monotonic_time() + GRACE_US + GRACE_SLACK_US;
}

static void node_term(struct soak_fleet *fleet, struct soak_member *member)
{
	(void)fleet;
	if (!member->life || member->life->term_us)
		return;
	member->life->term_us = g_get_monotonic_time();
	member->exit_deadline_us =
		member->life->term_us + GRACE_US + GRACE_SLACK_US;
	soak_process_signal(member->process, SIGTERM);
}

static bool node_is_draining(const struct soak_member *member)
{
	return member->life && member->life->term_us;
}

static void node_signal_again(struct soak_fleet *fleet,
			      const struct soak_member *member, int number)
{
	if (!node_is_draining(member))
		return;
	soak_fleet_record_fault(fleet, SOAK_NODE_TERM_AGAIN, member->name);
	soak_process_signal(member->process, number);
	soak_fleet_record_fault_end(fleet, SOAK_NODE_TERM_AGAIN, member->name);
}

static void node_term_repeat(struct soak_fleet *fleet,
			     struct soak_member *member)
{
	node_signal_again(fleet, member, SIGTERM);
}

static void node_int_repeat(struct soak_fleet *fleet,
			    struct soak_member *member)
{
	node_signal_again(fleet, member, SIGINT);
}

static void node_shorten_drain(struct soak_fleet *fleet,
			       struct soak_member *member)
{
	if (!node_is_draining(member))
		return;
	soak_fleet_write_settings(fleet, member, &settings_shorter);
	soak_process_signal(member->process, SIGHUP);
}

static void node_restore_drain(struct soak_fleet *fleet,
			       struct soak_member *member)
{
	if (!node_is_draining(member))
		return;
	soak_fleet_write_settings(fleet, member, &soak_settings_usual);
	soak_process_signal(member->process, SIGHUP);
}

/* A signal of a stop that comes again, maybe overlapping two reloads. */
static void node_defer_again(struct soak_fleet *fleet,
			     struct soak_member *member, GRand *random)
{
	int64_t at_ms = g_rand_int_range(random, FIRST_AGAIN_MS, LAST_AGAIN_MS);
	int32_t overlap_ms = g_rand_int_range(random, 0, MAX_OVERLAP_MS);
	int32_t reload_ms =
		g_rand_int_range(random, MIN_RELOAD_MS, MAX_RELOAD_MS);
	bool reloads = g_rand_boolean(random);
	member_action repeat =
		g_rand_boolean(random) ? node_term_repeat : node_int_repeat;

	if (reloads) {
		soak_fleet_defer(fleet, at_ms * G_TIME_SPAN_MILLISECOND,
				 node_shorten_drain, member);
		soak_fleet_defer(fleet,
				 (at_ms + reload_ms) * G_TIME_SPAN_MILLISECOND,
				 node_restore_drain, member);
	}
	soak_fleet_defer(fleet, (at_ms + overlap_ms) * G_TIME_SPAN_MILLISECOND,
			 repeat, member);
}

/* A stop whose signal comes again, also as SIGINT, one to four times. */
static void node_term_again(struct soak_fleet *fleet,
			    struct soak_member *member)
{
	guint32 seeds[] = {fleet->schedule->seed, (guint32)fleet->drains++};
	GRand *random = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
	int32_t count = g_rand_int_range(random, 1, MAX_AGAIN + 1);

	node_term(fleet, member);
	for (int32_t i = 0; node_is_draining(member) && i < count; i++)
		node_defer_again(fleet, member, random);
	g_rand_free(random);
}

static void endpoint_fall_silent(struct soak_fleet *fleet,
				 struct soak_member *member)
{
	int64_t now_us = g_get_monotonic_time();

	if (!member->life || now_us < member->life->from_us + SETTLE_US ||
	    now_us < member->next_silence_us)
		return;
	member->next_silence_us = now_us + SILENCE_REST_US;
	member_pause(fleet, member);
}

/* The endpoint says in all answers that it leaves; its entry stays as it is. */
static void endpoint_say_leaving(struct soak_fleet *fleet,
				 struct soak_member *member)
{
	struct soak_leaving row = {.is_by_answer = true};

	if (!member->life || member->is_paused || member->is_leaving ||
	    member->word_us)
		return;
	row.engine = g_strdup(member->id);
	row.acked_us = g_get_monotonic_time();
	member->word_us = row.acked_us;
	g_array_append_val(fleet->evidence->leavings, row);
	member_set_mode(fleet, member, "{\"says_leaving\":true}");
}

/*
 * Ends an endpoint that has said so. Every other successor has its id and
 * address and is born later; the others have new ones. Faults overlap: the end
 * of one that began at an earlier start leaves a recent word alone.
 */
static void endpoint_follow_word(struct soak_fleet *fleet,
				 struct soak_member *member)
{
	int64_t now_us = g_get_monotonic_time();

	if (!member->life || !member->word_us ||
	    now_us < member->word_us + MIN_WORD_US)
		return;
	soak_member_kill(member);
	member->starts_renamed =
		(fleet->schedule->seed + (uint32_t)fleet->successors++) % 2;
	soak_fleet_start_member(fleet, member);
}

/* The next number of a mode that changes from fault to fault. */
static uint32_t next_variant(struct soak_fleet *fleet)
{
	return fleet->schedule->seed + (uint32_t)fleet->variants++;
}

/* The engine answers the call that stops a run late, each time differently. */
static void engine_answer_stops_late(struct soak_fleet *fleet,
				     struct soak_member *member)
{
	static const int32_t delays_ms[] = {1500, 2600, 6000};
	g_autofree char *json = g_strdup_printf(
		"{\"stop_answer_ms\":%d}",
		delays_ms[next_variant(fleet) % G_N_ELEMENTS(delays_ms)]);

	member_set_mode(fleet, member, json);
}

/* The engine answers that call with no success, or without a name. */
static void engine_answer_stops_oddly(struct soak_fleet *fleet,
				      struct soak_member *member)
{
	static const char *const answers[] = {
		"503 {}", "503 no room", "409 {}", "500 {}", "404 {}", "200 {}",
	};
	g_autofree char *json = g_strdup_printf(
		"{\"stop_answer\":\"%s\"}",
		answers[next_variant(fleet) % G_N_ELEMENTS(answers)]);

	member_set_mode(fleet, member, json);
}

static void endpoint_ask_rest(struct soak_fleet *fleet,
			      struct soak_member *member)
{
	uint32_t rest_s =
		1 +
		(fleet->schedule->seed + (uint32_t)fleet->rests++) % MAX_REST_S;
	g_autofree char *json = g_strdup_printf("{\"rest_s\":\"%u\"}", rest_s);

	member_set_mode(fleet, member, json);
}

static void endpoint_end_rest(struct soak_fleet *fleet,
			      struct soak_member *member)
{
	member_set_mode(fleet, member, "{\"rest_s\":\"\"}");
}

/* Restarts the member now, or as soon as its process has ended. */
static void member_restart(struct soak_fleet *fleet, struct soak_member *member)
{
	member->start_us = g_get_monotonic_time();
	soak_fleet_start_member(fleet, member);
}

static void node_hup(struct soak_fleet *fleet, struct soak_member *member)
{
	if (!member->life)
		return;
	soak_fleet_write_settings(fleet, member, &settings_changed);
	soak_process_signal(member->process, SIGHUP);
}

static void node_hup_restore(struct soak_fleet *fleet,
			     struct soak_member *member)
{
	if (!member->life)
		return;
	soak_fleet_write_settings(fleet, member, &soak_settings_usual);
	soak_process_signal(member->process, SIGHUP);
}

static void entry_expire(struct soak_fleet *fleet, struct soak_member *member)
{
	if (!member->life)
		soak_fleet_unregister(fleet, member);
}

static void endpoint_kill(struct soak_fleet *fleet, struct soak_member *member)
{
	if (!member->life)
		return;
	member_kill(fleet, member);
	soak_fleet_defer(fleet, ENTRY_EXPIRY_US, entry_expire, member);
}

static void endpoint_replace(struct soak_fleet *fleet,
			     struct soak_member *member)
{
	endpoint_kill(fleet, member);
	member->starts_renamed = true;
}

static void record_leaving(struct soak_fleet *fleet, struct soak_member *member)
{
	struct soak_leaving row = {.engine = g_strdup(member->id)};

	row.acked_us = g_get_monotonic_time();
	g_array_append_val(fleet->evidence->leavings, row);
}

static void endpoint_leave(struct soak_fleet *fleet, struct soak_member *member)
{
	if (!member->life || member->is_leaving || member->is_paused)
		return;
	member->is_leaving = true;
	soak_fleet_register(fleet, member);
	record_leaving(fleet, member);
}

static void endpoint_vanish(struct soak_fleet *fleet,
			    struct soak_member *member)
{
	if (!member->life || member->is_leaving || member->is_paused)
		return;
	member->is_leaving = true;
	soak_fleet_unregister(fleet, member);
	record_leaving(fleet, member);
}

/*
 * The endpoint leaves, and a report that it wrote before arrives after that.
 */
static void endpoint_leave_overtaken(struct soak_fleet *fleet,
				     struct soak_member *member)
{
	if (!member->life || member->is_leaving || member->is_paused)
		return;
	member_set_mode(fleet, member, "{\"draining\":true}");
	endpoint_leave(fleet, member);
	member->is_leaving = false;
	soak_fleet_register(fleet, member);
	member->is_leaving = true;
}

/* The same without a word: its entry is removed, and is there again. */
static void endpoint_vanish_overtaken(struct soak_fleet *fleet,
				      struct soak_member *member)
{
	if (!member->life || member->is_leaving || member->is_paused)
		return;
	member_set_mode(fleet, member, "{\"draining\":true}");
	endpoint_vanish(fleet, member);
	member->is_leaving = false;
	soak_fleet_register(fleet, member);
	member->is_leaving = true;
}

/* Kills an endpoint that has left, and starts one with a new id instead. */
static void endpoint_start_successor(struct soak_fleet *fleet,
				     struct soak_member *member)
{
	if (!member->is_leaving)
		return;
	soak_member_kill(member);
	soak_fleet_start_member(fleet, member);
}

static void nodes_apply(struct soak_fleet *fleet, member_action action)
{
	for (guint i = 0; i < fleet->nodes->len; i++)
		action(fleet, g_ptr_array_index(fleet->nodes, i));
}

static void store_mode(struct soak_fleet *fleet, const char *json)
{
	struct error error = {0};

	if (!soak_platform_set_mode(fleet->store_address, json, &error))
		soak_fleet_note_failure(fleet, "store: %s: %s", json,
					error.detail);
}

static void entry_restore(struct soak_fleet *fleet, struct soak_member *member)
{
	if (!member->is_leaving)
		soak_fleet_register(fleet, member);
}

static void entries_restore(struct soak_fleet *fleet)
{
	for (guint i = 0; i < fleet->endpoints->len; i++)
		soak_fleet_defer(fleet, REREGISTER_US, entry_restore,
				 g_ptr_array_index(fleet->endpoints, i));
}

/*
 * The interval between the bytes of a trickle, the delay of a slow link, and
 * the idle time before a stray answer.
 */
#define TRICKLE_US (2 * G_TIME_SPAN_MILLISECOND)
#define DELAY_US (300 * G_TIME_SPAN_MILLISECOND)
#define STRAY_IDLE_US (50 * G_TIME_SPAN_MILLISECOND)

#define LIMIT_MODE "{\"server_limit\":\"" G_STRINGIFY(SOAK_LIMIT_PER_S) "\"}"

#define KEY_EVACUATED "op/evacuate/" SOAK_EVACUATED_DOMAIN

/* Evacuates the domain, unless it is already. */
static void domain_evacuate(struct soak_fleet *fleet)
{
	struct soak_evacuation row = {0};
	struct error error = {0};

	if (fleet->evacuations++ > 0)
		return;
	if (!soak_platform_put(fleet->store_address, KEY_EVACUATED, "{}",
			       &error))
		soak_fleet_note_failure(fleet, "evacuation: %s", error.detail);
	row.acked_us = g_get_monotonic_time();
	g_array_append_val(fleet->evidence->evacuations, row);
}

/* Takes the domain back at the end of its last evacuation. */
static void domain_take_back(struct soak_fleet *fleet)
{
	GArray *rows = fleet->evidence->evacuations;
	struct error error = {0};

	if (--fleet->evacuations > 0)
		return;
	g_array_index(rows, struct soak_evacuation, rows->len - 1).lifted_us =
		g_get_monotonic_time();
	if (!soak_platform_delete(fleet->store_address, KEY_EVACUATED, &error))
		soak_fleet_note_failure(fleet, "evacuation: %s", error.detail);
}

/* Lowers how long connections may be idle, unless it is already low. */
static void idle_limit_lower(struct soak_fleet *fleet)
{
	if (fleet->idle_lowered++ == 0)
		soak_fleet_configure(fleet);
}

/* Takes the usual limit back at the end of its last lowering. */
static void idle_limit_restore(struct soak_fleet *fleet)
{
	if (--fleet->idle_lowered == 0)
		soak_fleet_configure(fleet);
}

/* Makes queries more urgent than reports, unless they are. */
static void urgency_raise(struct soak_fleet *fleet)
{
	if (fleet->urgency_raised++ == 0)
		soak_fleet_configure(fleet);
}

/* Takes the usual urgency back at the end of its last raise. */
static void urgency_restore(struct soak_fleet *fleet)
{
	if (--fleet->urgency_raised == 0)
		soak_fleet_configure(fleet);
}

/* Writes odd entries, unless they are there already. */
static void odd_entries_write(struct soak_fleet *fleet)
{
	struct error error = {0};

	if (fleet->odd_entries++ == 0 &&
	    !soak_odd_write(fleet->store_address, fleet->schedule->seed,
			    &error))
		soak_fleet_note_failure(fleet, "odd entries: %s", error.detail);
}

/* Removes them at the end of the last fault of the kind. */
static void odd_entries_remove(struct soak_fleet *fleet)
{
	struct error error = {0};

	if (--fleet->odd_entries == 0 &&
	    !soak_odd_remove(fleet->store_address, &error))
		soak_fleet_note_failure(fleet, "odd entries: %s", error.detail);
}

static const struct {
	member_action begin;
	member_action end;
	const char *mode;      /* set in a fake at the start, if not NULL */
	const char *end_mode;  /* set in it at the end, if not NULL */
	struct soak_link link; /* set in a proxy while the fault lasts */
} actions[SOAK_FAULT_KINDS] = {
	[SOAK_NODE_KILL] = {member_kill, member_restart, NULL, NULL},
	[SOAK_NODE_RENAME] = {node_rename, member_restart, NULL, NULL},
	[SOAK_NODE_PAUSE_SHORT] = {member_pause, member_continue, NULL, NULL},
	[SOAK_NODE_PAUSE_LONG] = {member_pause, member_continue, NULL, NULL},
	[SOAK_NODE_TERM] = {node_term, member_restart, NULL, NULL},
	[SOAK_NODE_HUP] = {node_hup, node_hup_restore, NULL, NULL},
	[SOAK_NODE_KILL_ALL] = {member_kill, member_restart, NULL, NULL},
	[SOAK_ENGINE_KILL] = {endpoint_kill, member_restart, NULL, NULL},
	[SOAK_ENGINE_REPLACE] = {endpoint_replace, member_restart, NULL, NULL},
	[SOAK_ENGINE_PAUSE] = {member_pause, member_continue, NULL, NULL},
	[SOAK_ENGINE_LEAVE] = {endpoint_leave, endpoint_start_successor, NULL,
			       NULL},
	[SOAK_ENGINE_VANISH] = {endpoint_vanish, endpoint_start_successor, NULL,
				NULL},
	[SOAK_ENGINE_FULL] = {NULL, NULL, "{\"full\":true}",
			      "{\"full\":false}"},
	[SOAK_ENGINE_RESET] = {NULL, NULL, "{\"crashing\":true}",
			       "{\"crashing\":false}"},
	[SOAK_ENGINE_NO_COPY] = {NULL, NULL, "{\"no_copy\":true}",
				 "{\"no_copy\":false}"},
	[SOAK_ENGINE_NO_ROOM] = {NULL, NULL, "{\"no_room\":true}",
				 "{\"no_room\":false}"},
	[SOAK_ENGINE_SLOW] = {NULL, NULL, "{\"answer_delay_ms\":1500}",
			      "{\"answer_delay_ms\":0}"},
	[SOAK_PLAIN_SLOW] = {NULL, NULL, "{\"answer_delay_ms\":2000}",
			     "{\"answer_delay_ms\":30}"},
	[SOAK_PLAIN_LIMIT] = {NULL, NULL, LIMIT_MODE,
			      "{\"server_limit\":\"\"}"},
	[SOAK_ENGINE_LIMIT] = {NULL, NULL, LIMIT_MODE,
			       "{\"server_limit\":\"\"}"},
	[SOAK_PLAIN_KILL] = {endpoint_kill, member_restart, NULL, NULL},
	[SOAK_PLAIN_FAIL] = {NULL, NULL, "{\"failing\":true}",
			     "{\"failing\":false}"},
	[SOAK_PLAIN_PAUSE] = {member_pause, member_continue, NULL, NULL},
	[SOAK_PLAIN_LEAVE] = {endpoint_leave, endpoint_start_successor, NULL,
			      NULL},
	[SOAK_STORE_DOWN] = {NULL, NULL, "{\"down\":true}", "{\"down\":false}"},
	[SOAK_STORE_SILENT] = {NULL, NULL, "{\"silent\":true}",
			       "{\"silent\":false}"},
	[SOAK_STORE_LOSE] = {NULL, NULL, "{\"lose\":true}", "{\"lose\":false}"},
	[SOAK_STORE_FORGET] = {NULL, NULL, "{\"forget\":true}", NULL},
	[SOAK_STORE_LAPSE] = {NULL, NULL, "{\"down\":true,\"lapse\":true}",
			      "{\"down\":false}"},
	[SOAK_STORE_SLOW] = {NULL, NULL, "{\"slow_ms\":1500}",
			     "{\"slow_ms\":0}"},
	[SOAK_STORE_STALE] = {NULL, NULL, "{\"stale_ms\":2000}",
			      "{\"stale_ms\":0}"},
	[SOAK_STORE_LINK_CUT] = {.link = {SOAK_LINK_CUT_BOTH, 0}},
	[SOAK_STORE_LINK_RESET] = {.link = {SOAK_LINK_RESET, 0}},
	[SOAK_STORE_LINK_SILENT] = {.link = {SOAK_LINK_SILENT, 0}},
	[SOAK_STORE_LINK_DELAY] = {.link = {SOAK_LINK_DELAY, DELAY_US}},
	[SOAK_STORE_LINK_HOLD] = {.link = {SOAK_LINK_HOLD_ANSWERS, 0}},
	[SOAK_CALLER_LINK_RESET] = {.link = {SOAK_LINK_RESET, 0}},
	[SOAK_CALLER_LINK_CUT] = {.link = {SOAK_LINK_CUT_BOTH, 0}},
	[SOAK_CALLER_LINK_DELAY] = {.link = {SOAK_LINK_DELAY, DELAY_US}},
	[SOAK_ENGINE_LINK_RESET] = {.link = {SOAK_LINK_RESET, 0}},
	[SOAK_ENGINE_LINK_CUT] = {.link = {SOAK_LINK_CUT_BOTH, 0}},
	[SOAK_ENGINE_LINK_CUT_BACK] = {.link = {SOAK_LINK_CUT_BACKWARD, 0}},
	[SOAK_ENGINE_LINK_SILENT] = {.link = {SOAK_LINK_SILENT, 0}},
	[SOAK_ENGINE_LINK_DELAY] = {.link = {SOAK_LINK_DELAY, DELAY_US}},
	[SOAK_PLAIN_LINK_RESET] = {.link = {SOAK_LINK_RESET, 0}},
	[SOAK_PLAIN_LINK_CUT_BACK] = {.link = {SOAK_LINK_CUT_BACKWARD, 0}},
	[SOAK_PLAIN_LINK_TRICKLE] = {.link = {SOAK_LINK_TRICKLE, TRICKLE_US}},
	[SOAK_NODE_TERM_AGAIN] = {node_term_again, member_restart, NULL, NULL},
	[SOAK_PLAIN_SILENCE] = {endpoint_fall_silent, member_continue, NULL,
				NULL},
	[SOAK_ENGINE_SILENCE] = {endpoint_fall_silent, member_continue, NULL,
				 NULL},
	[SOAK_PLAIN_LEAVES_BY_ANSWER] = {endpoint_say_leaving,
					 endpoint_follow_word, NULL, NULL},
	[SOAK_ENGINE_LEAVES_BY_ANSWER] = {endpoint_say_leaving,
					  endpoint_follow_word, NULL, NULL},
	[SOAK_PLAIN_ASKS_REST] = {endpoint_ask_rest, endpoint_end_rest, NULL,
				  NULL},
	[SOAK_ENGINE_ASKS_REST] = {endpoint_ask_rest, endpoint_end_rest, NULL,
				   NULL},
	[SOAK_ENGINE_SLOWS] = {NULL, NULL, "{\"slowdown_percent\":250}",
			       "{\"slowdown_percent\":100}"},
	[SOAK_ENGINE_BENDS] = {NULL, NULL, "{\"bends_at\":3}",
			       "{\"bends_at\":0,\"slowdown_percent\":100}"},
	[SOAK_PLAIN_SLOWS] = {NULL, NULL, "{\"slowdown_percent\":250}",
			      "{\"slowdown_percent\":100}"},
	[SOAK_ENGINE_CLOSE_AT_ONCE] = {NULL, NULL, "{\"watches_close\":true}",
				       "{\"watches_close\":false}"},
	[SOAK_ENGINE_CLOSE_LATE] = {NULL, NULL, "{\"close_notice_ms\":900}",
				    "{\"close_notice_ms\":0}"},
	[SOAK_ENGINE_CLOSE_NEVER] = {NULL, NULL, "{\"close_notice_ms\":-1}",
				     "{\"close_notice_ms\":0}"},
	[SOAK_ENGINE_STOP_REFUSED] = {NULL, NULL, "{\"stop_refused\":true}",
				      "{\"stop_refused\":false}"},
	[SOAK_ENGINE_STOP_LATE] = {NULL, NULL, "{\"stop_delay_ms\":700}",
				   "{\"stop_delay_ms\":0}"},
	[SOAK_ENGINE_STOP_DIES] = {NULL, NULL, "{\"stop_crashes\":true}",
				   "{\"stop_crashes\":false}"},
	[SOAK_ENGINE_GAPS] = {NULL, NULL, "{\"min_pace_ms\":700}",
			      "{\"min_pace_ms\":0}"},
	[SOAK_ENGINE_UNFRAMED] = {NULL, NULL, "{\"unframed\":true}",
				  "{\"unframed\":false}"},
	[SOAK_ENGINE_STOP_ANSWER_LATE] = {engine_answer_stops_late, NULL, NULL,
					  "{\"stop_answer_ms\":0}"},
	[SOAK_ENGINE_STOP_ANSWER_ODD] = {engine_answer_stops_oddly, NULL, NULL,
					 "{\"stop_answer\":\"\"}"},
	[SOAK_ENGINE_STOP_ANSWER_LOST] = {NULL, NULL,
					  "{\"stop_answer\":\"lost\"}",
					  "{\"stop_answer\":\"\"}"},
	[SOAK_STORE_CUT_WATCHES] = {NULL, NULL, "{\"cut_watches\":true}",
				    "{\"cut_watches\":false}"},
	[SOAK_PLAIN_VANISH] = {endpoint_vanish, endpoint_start_successor, NULL,
			       NULL},
	[SOAK_ENGINE_LATE_ENTRY] = {endpoint_leave_overtaken,
				    endpoint_start_successor, NULL, NULL},
	[SOAK_PLAIN_LATE_ENTRY] = {endpoint_vanish_overtaken,
				   endpoint_start_successor, NULL, NULL},
	[SOAK_PLAIN_LINK_EXTRA] = {.link = {SOAK_LINK_UNSOLICITED,
					    STRAY_IDLE_US}},
};

static struct soak_member *fault_target(struct soak_fleet *fleet,
					const struct soak_fault *fault)
{
	switch (soak_fault_type_at(fault->kind)->target) {
	case SOAK_TARGET_NODE:
		return g_ptr_array_index(fleet->nodes, fault->target);
	case SOAK_TARGET_ENGINE:
		return g_ptr_array_index(fleet->endpoints, fault->target);
	case SOAK_TARGET_PLAIN:
		return g_ptr_array_index(fleet->endpoints,
					 fleet->schedule->engines +
						 fault->target);
	default:
		return NULL;
	}
}

static const char *fault_target_name(struct soak_fleet *fleet,
				     const struct soak_fault *fault)
{
	const struct soak_member *member = fault_target(fleet, fault);

	if (member)
		return member->name;
	switch (soak_fault_type_at(fault->kind)->target) {
	case SOAK_TARGET_ALL_NODES:
		return "nodes";
	case SOAK_TARGET_STORE:
		return "store";
	default:
		return "operator";
	}
}

static void fault_apply(struct soak_fleet *fleet,
			const struct soak_fault *fault, member_action action,
			const char *mode)
{
	struct soak_member *member = fault_target(fleet, fault);
	enum soak_target target = soak_fault_type_at(fault->kind)->target;

	if (member && action)
		action(fleet, member);
	else if (member && mode)
		member_set_mode(fleet, member, mode);
	else if (target == SOAK_TARGET_ALL_NODES && action)
		nodes_apply(fleet, action);
	else if (target == SOAK_TARGET_STORE && mode)
		store_mode(fleet, mode);
}

/* The proxy of the link that a fault affects; NULL: it affects no link. */
static struct soak_proxy *fault_proxy(struct soak_fleet *fleet,
				      const struct soak_fault *fault)
{
	const struct soak_member *member = fault_target(fleet, fault);

	if (!soak_fault_type_at(fault->kind)->is_link || !member)
		return NULL;
	return soak_fault_type_at(fault->kind)->is_to_store
		       ? member->store_proxy
		       : member->proxy;
}

static void proxy_set(struct soak_proxy *proxy, const struct soak_link *link)
{
	if (proxy)
		soak_proxy_set_link(proxy, link);
}

/* The fake store identifies a node by its source address, that of its proxy. */
static void store_refuse_source(struct soak_fleet *fleet,
				const struct soak_proxy *proxy)
{
	g_autofree char *json =
		g_strdup_printf("{\"refused\":\"%s\",\"refusal\":\"reset\"}",
				soak_proxy_source(proxy));

	store_mode(fleet, json);
}

/* Begins a fault and records it. */
void soak_fleet_begin_fault(struct soak_fleet *fleet,
			    const struct soak_fault *fault)
{
	soak_fleet_record_fault(fleet, fault->kind,
				fault_target_name(fleet, fault));
	fault_apply(fleet, fault, actions[fault->kind].begin,
		    actions[fault->kind].mode);
	proxy_set(fault_proxy(fleet, fault), &actions[fault->kind].link);
	if (fault->kind == SOAK_STORE_REFUSES)
		store_refuse_source(fleet, fault_proxy(fleet, fault));
	if (fault->kind == SOAK_DOMAIN_EVACUATE)
		domain_evacuate(fleet);
	if (fault->kind == SOAK_CONFIG_IDLE)
		idle_limit_lower(fleet);
	if (fault->kind == SOAK_CONFIG_URGENT)
		urgency_raise(fleet);
	if (fault->kind == SOAK_ENTRY_ODD)
		odd_entries_write(fleet);
	if (fault->kind == SOAK_CONFIG)
		soak_fleet_configure(fleet);
	for (int i = 0; fault->kind == SOAK_CONFIG_STORM && i < STORM_VERSIONS;
	     i++)
		soak_fleet_configure(fleet);
}

/* Ends a fault and records its end. */
void soak_fleet_end_fault(struct soak_fleet *fleet,
			  const struct soak_fault *fault)
{
	static const struct soak_link normal = {SOAK_LINK_NORMAL, 0};

	fault_apply(fleet, fault, actions[fault->kind].end,
		    actions[fault->kind].end_mode);
	proxy_set(fault_proxy(fleet, fault), &normal);
	if (fault->kind == SOAK_STORE_REFUSES)
		store_mode(fleet, "{\"refused\":\"\"}");
	if (fault->kind == SOAK_DOMAIN_EVACUATE)
		domain_take_back(fleet);
	if (fault->kind == SOAK_CONFIG_IDLE)
		idle_limit_restore(fleet);
	if (fault->kind == SOAK_CONFIG_URGENT)
		urgency_restore(fleet);
	if (fault->kind == SOAK_ENTRY_ODD)
		odd_entries_remove(fleet);
	if (fault->kind == SOAK_STORE_LAPSE)
		entries_restore(fleet);
	soak_fleet_record_fault_end(fleet, fault->kind,
				    fault_target_name(fleet, fault));
}
