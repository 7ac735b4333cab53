#include "tests/soak/soak_schedule.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#define STEP_SIZES "soak.sizes"
/* Memory of one machine in the smaller of the two deployments. */
#define NODE_BYTES (110LL << 20)
/* A run may use half of the machine's memory and 300 processes. */
#define MAX_PROCESSES 300
#define OTHER_PROCESSES 12
#define MIN_LOAD_MS 5000
#define MAX_LOAD_MS 600000
/* The first streams are running before the first fault begins. */
#define FIRST_FAULT_MS 1000
/* Faults begin in this part of the load; some load follows the last one. */
#define FAULTS_PERCENT 75
/* About one series of faults of one kind begins per 1500 ms of load. */
#define MS_PER_SERIES 1500
#define MAX_IN_SERIES 4

/*
 * Short pauses end before, and long pauses after, the 1 s after which other
 * nodes declare a silent node dead. A stop is given the documented 8 s.
 */
static const struct soak_fault_type types[SOAK_FAULT_KINDS] = {
	[SOAK_NODE_KILL] = {"node_kill", SOAK_TARGET_NODE, 100, 3000, false,
			    "a node is killed and restarts", false, false},
	[SOAK_NODE_RENAME] = {"node_rename", SOAK_TARGET_NODE, 100, 3000, false,
			      "a node is killed; one with a new name and "
			      "address starts",
			      false, false},
	[SOAK_NODE_PAUSE_SHORT] = {"node_pause_short", SOAK_TARGET_NODE, 100,
				   800, false, "a node is paused", false,
				   false},
	[SOAK_NODE_PAUSE_LONG] = {"node_pause_long", SOAK_TARGET_NODE, 1500,
				  5000, false,
				  "a node is paused until others declare it "
				  "dead",
				  false, false},
	[SOAK_NODE_TERM] = {"node_term", SOAK_TARGET_NODE, 1000, 4000, true,
			    "a busy node gets SIGTERM and restarts", false,
			    false},
	[SOAK_NODE_HUP] = {"node_hup", SOAK_TARGET_NODE, 100, 1000, true,
			   "a node's settings change", false, false},
	[SOAK_NODE_KILL_ALL] = {"node_kill_all", SOAK_TARGET_ALL_NODES, 100,
				1500, false, "all nodes are killed and restart",
				false, false},
	[SOAK_ENGINE_KILL] = {"engine_kill", SOAK_TARGET_ENGINE, 500, 5000,
			      false, "an engine is killed and restarts", false,
			      false},
	[SOAK_ENGINE_REPLACE] = {"engine_replace", SOAK_TARGET_ENGINE, 500,
				 5000, false,
				 "an engine is killed; another one starts",
				 false, false},
	[SOAK_ENGINE_PAUSE] = {"engine_pause", SOAK_TARGET_ENGINE, 300, 3000,
			       false, "an engine is paused", false, false,
			       true},
	[SOAK_ENGINE_LEAVE] = {"engine_leave", SOAK_TARGET_ENGINE, 3000, 5000,
			       true, "an engine announces its stop and stops",
			       false, false},
	[SOAK_ENGINE_VANISH] = {"engine_vanish", SOAK_TARGET_ENGINE, 3000, 5000,
				true,
				"an engine's entry is deleted, then it stops",
				false, false},
	[SOAK_ENGINE_FULL] = {"engine_full", SOAK_TARGET_ENGINE, 300, 3000,
			      false, "an engine rejects requests", false,
			      false},
	[SOAK_ENGINE_RESET] = {"engine_reset", SOAK_TARGET_ENGINE, 300, 2000,
			       false, "an engine resets requests it has begun",
			       false, false},
	[SOAK_ENGINE_NO_COPY] = {"engine_no_copy", SOAK_TARGET_ENGINE, 500,
				 4000, false, "an engine has lost its copies",
				 false, false},
	[SOAK_ENGINE_NO_ROOM] = {"engine_no_room", SOAK_TARGET_ENGINE, 500,
				 4000, false,
				 "an engine has no capacity for copies", false,
				 false},
	[SOAK_ENGINE_SLOW] = {"engine_slow", SOAK_TARGET_ENGINE, 500, 4000,
			      true, "an engine begins after 1.5 s", false,
			      false},
	[SOAK_PLAIN_SLOW] = {"plain_slow", SOAK_TARGET_PLAIN, 500, 4000, true,
			     "a plain endpoint answers after 2 s", false,
			     false},
	[SOAK_PLAIN_KILL] = {"plain_kill", SOAK_TARGET_PLAIN, 300, 3000, false,
			     "a plain endpoint is killed and restarts", false,
			     false},
	[SOAK_PLAIN_FAIL] = {"plain_fail", SOAK_TARGET_PLAIN, 300, 3000, false,
			     "a plain endpoint answers 500", false, false},
	[SOAK_PLAIN_PAUSE] = {"plain_pause", SOAK_TARGET_PLAIN, 300, 3000,
			      false, "a plain endpoint is paused", false,
			      false},
	[SOAK_PLAIN_LEAVE] = {"plain_leave", SOAK_TARGET_PLAIN, 3000, 5000,
			      true, "a plain endpoint leaves, another starts",
			      false, false},
	[SOAK_STORE_DOWN] = {"store_down", SOAK_TARGET_STORE, 300, 5000, false,
			     "the store refuses all calls", false, false},
	[SOAK_STORE_SILENT] = {"store_silent", SOAK_TARGET_STORE, 300, 5000,
			       false, "the store does not answer", false,
			       false},
	[SOAK_STORE_LOSE] = {"store_lose", SOAK_TARGET_STORE, 300, 3000, false,
			     "answers of the store are lost", false, false},
	[SOAK_STORE_FORGET] = {"store_forget", SOAK_TARGET_STORE, 100, 100,
			       false, "the store loses its revision history",
			       false, false},
	[SOAK_STORE_LAPSE] = {"store_lapse", SOAK_TARGET_STORE, 1000, 4000,
			      false,
			      "the store is unreachable; engines' entries "
			      "return 1 s after the store",
			      false, false},
	[SOAK_STORE_SLOW] = {"store_slow", SOAK_TARGET_STORE, 500, 4000, false,
			     "the store answers after 1.5 s", false, false},
	[SOAK_STORE_STALE] = {"store_stale", SOAK_TARGET_STORE, 500, 4000,
			      false, "reads that may be stale are 2 s old",
			      false, false},
	[SOAK_CONFIG] = {"config", SOAK_TARGET_OPERATOR, 100, 100, true,
			 "a new configuration", false, false},
	[SOAK_CONFIG_STORM] = {"config_storm", SOAK_TARGET_OPERATOR, 100, 100,
			       true, "five configurations at once", false,
			       false},
	[SOAK_POISON] = {"poison", SOAK_TARGET_CALLER, 100, 100, false,
			 "a request that crashes the engines that run it",
			 false, false},
	[SOAK_STORE_LINK_CUT] = {"store_link_cut", SOAK_TARGET_NODE, 300, 5000,
				 false, "a node and the store are partitioned",
				 true, true},
	[SOAK_STORE_LINK_RESET] =
		{"store_link_reset", SOAK_TARGET_NODE, 300, 4000, false,
		 "a node's connections to the store are reset", true, true},
	[SOAK_STORE_LINK_SILENT] =
		{"store_link_silent", SOAK_TARGET_NODE, 300, 4000, false,
		 "a node's connections to the store go silent", true, true},
	[SOAK_STORE_LINK_DELAY] = {"store_link_delay", SOAK_TARGET_NODE, 500,
				   4000, false,
				   "the link from a node to the store is slow",
				   true, true},
	[SOAK_STORE_LINK_HOLD] = {"store_link_hold", SOAK_TARGET_NODE, 300,
				  3000, false,
				  "the store's answers to a node are delayed",
				  true, true},
	[SOAK_STORE_REFUSES] = {"store_refuses", SOAK_TARGET_NODE, 300, 5000,
				false, "the store rejects one node", true,
				true},
	[SOAK_CALLER_LINK_RESET] = {"caller_link_reset", SOAK_TARGET_NODE, 100,
				    1500, false,
				    "callers' connections to a node are reset",
				    true, false},
	[SOAK_CALLER_LINK_CUT] = {"caller_link_cut", SOAK_TARGET_NODE, 100,
				  2000, false,
				  "callers and a node are partitioned", true,
				  false},
	[SOAK_CALLER_LINK_DELAY] = {"caller_link_delay", SOAK_TARGET_NODE, 300,
				    3000, false, "callers' bytes are delayed",
				    true, false},
	[SOAK_ENGINE_LINK_RESET] = {"engine_link_reset", SOAK_TARGET_ENGINE,
				    100, 2000, false,
				    "an engine's connections are reset", true,
				    false},
	[SOAK_ENGINE_LINK_CUT] = {"engine_link_cut", SOAK_TARGET_ENGINE, 200,
				  4000, false, "an engine is unreachable", true,
				  false, true},
	[SOAK_ENGINE_LINK_CUT_BACK] = {"engine_link_cut_back",
				       SOAK_TARGET_ENGINE, 200, 4000, false,
				       "bytes from an engine are held back",
				       true, false, true},
	[SOAK_ENGINE_LINK_SILENT] = {"engine_link_silent", SOAK_TARGET_ENGINE,
				     200, 4000, false,
				     "open connections to an engine go silent",
				     true, false, true},
	[SOAK_ENGINE_LINK_DELAY] = {"engine_link_delay", SOAK_TARGET_ENGINE,
				    300, 3000, false,
				    "an engine's bytes are delayed", true,
				    false},
	[SOAK_PLAIN_LINK_RESET] = {"plain_link_reset", SOAK_TARGET_PLAIN, 100,
				   2000, false,
				   "an endpoint's connections are reset", true,
				   false},
	[SOAK_PLAIN_LINK_CUT_BACK] = {"plain_link_cut_back", SOAK_TARGET_PLAIN,
				      200, 3000, false,
				      "bytes from an endpoint are held back",
				      true, false},
	[SOAK_PLAIN_LINK_TRICKLE] =
		{"plain_link_trickle", SOAK_TARGET_PLAIN, 200, 2000, false,
		 "an endpoint's answers arrive byte by byte", true, false},
	[SOAK_PLAIN_LINK_EXTRA] = {"plain_link_extra", SOAK_TARGET_PLAIN, 200,
				   3000, false,
				   "an endpoint sends unsolicited answers",
				   true, false},
	[SOAK_DOMAIN_EVACUATE] = {"domain_evacuate", SOAK_TARGET_OPERATOR, 6000,
				  9000, true,
				  "a failure domain of endpoints is evacuated",
				  false, false},
	[SOAK_PLAIN_LIMIT] = {"plain_limit", SOAK_TARGET_PLAIN, 6000, 9000,
			      true, "a plain endpoint states a limit", false,
			      false},
	[SOAK_ENGINE_LIMIT] = {"engine_limit", SOAK_TARGET_ENGINE, 6000, 9000,
			       true, "an engine states a limit", false, false},
	[SOAK_POISON_PLAIN] = {"poison_plain", SOAK_TARGET_CALLER, 100, 100,
			       false,
			       "a request that ends plain endpoints, which a "
			       "supervisor starts again",
			       false, false},
	[SOAK_POISON_PART] = {"poison_part", SOAK_TARGET_CALLER, 100, 100,
			      false,
			      "a prompt part that ends the engines which begin "
			      "to answer it, requests no two alike",
			      false, false},
	[SOAK_NODE_TERM_AGAIN] = {"node_term_again", SOAK_TARGET_NODE, 1000,
				  4000, true,
				  "a node gets SIGTERM, and in its drain "
				  "signals again and other settings",
				  false, false},
	[SOAK_CONFIG_IDLE] = {"config_idle", SOAK_TARGET_OPERATOR, 1000, 3000,
			      true,
			      "a configuration closes idle connections much "
			      "sooner",
			      false, false},
	[SOAK_PLAIN_SILENCE] = {"plain_silence", SOAK_TARGET_PLAIN, 800, 1200,
				true, "a plain endpoint is silent for a moment",
				false, false},
	[SOAK_ENGINE_SILENCE] = {"engine_silence", SOAK_TARGET_ENGINE, 800,
				 1200, true, "an engine is silent for a moment",
				 false, false},
	[SOAK_PLAIN_LEAVES_BY_ANSWER] =
		{"plain_leaves_by_answer", SOAK_TARGET_PLAIN, 4000, 7000, true,
		 "a plain endpoint says only in its answers that it leaves, "
		 "then another start comes",
		 false, false},
	[SOAK_ENGINE_LEAVES_BY_ANSWER] =
		{"engine_leaves_by_answer", SOAK_TARGET_ENGINE, 4000, 7000,
		 true,
		 "an engine says only in its answers that it leaves, then "
		 "another start comes",
		 false, false},
	[SOAK_PLAIN_ASKS_REST] =
		{"plain_asks_rest", SOAK_TARGET_PLAIN, 3000, 6000, true,
		 "a plain endpoint turns requests away and asks for rest",
		 false, false},
	[SOAK_ENGINE_ASKS_REST] =
		{"engine_asks_rest", SOAK_TARGET_ENGINE, 3000, 6000, true,
		 "an engine turns requests away and asks for rest", false,
		 false},
	[SOAK_ENGINE_SLOWS] = {"engine_slows", SOAK_TARGET_ENGINE, 600, 4000,
			       true,
			       "an engine's work takes 2.5 times as long, as "
			       "it states",
			       false, false},
	[SOAK_ENGINE_BENDS] = {"engine_bends", SOAK_TARGET_ENGINE, 2000, 6000,
			       true,
			       "an engine slows with each run above three",
			       false, false},
	[SOAK_PLAIN_SLOWS] = {"plain_slows", SOAK_TARGET_PLAIN, 600, 4000, true,
			      "a plain endpoint's work takes 2.5 times as "
			      "long, as it states",
			      false, false},
	[SOAK_CONFIG_URGENT] = {"config_urgent", SOAK_TARGET_OPERATOR, 2000,
				6000, true,
				"a configuration makes queries more urgent "
				"than reports, at engines with little memory",
				false, false},
	[SOAK_ENGINE_CLOSE_AT_ONCE] =
		{"engine_close_at_once", SOAK_TARGET_ENGINE, 3000, 6000, true,
		 "an engine notices closed connections at once", false, false},
	[SOAK_ENGINE_CLOSE_LATE] =
		{"engine_close_late", SOAK_TARGET_ENGINE, 3000, 6000, true,
		 "an engine works on for 0.9 s after a connection is closed",
		 false, false},
	[SOAK_ENGINE_CLOSE_NEVER] =
		{"engine_close_never", SOAK_TARGET_ENGINE, 3000, 6000, true,
		 "an engine works on to the end after a connection is closed",
		 false, false},
	[SOAK_ENGINE_STOP_REFUSED] = {"engine_stop_refused", SOAK_TARGET_ENGINE,
				      3000, 6000, true,
				      "an engine refuses to stop its runs",
				      false, false},
	[SOAK_ENGINE_STOP_LATE] =
		{"engine_stop_late", SOAK_TARGET_ENGINE, 3000, 6000, true,
		 "an engine stops its runs 0.7 s after it was asked", false,
		 false},
	[SOAK_ENGINE_STOP_DIES] =
		{"engine_stop_dies", SOAK_TARGET_ENGINE, 3000, 6000, false,
		 "an engine ends when it is asked to stop a run, and restarts",
		 false, false},
	[SOAK_ENGINE_GAPS] = {"engine_gaps", SOAK_TARGET_ENGINE, 3000, 6000,
			      true, "an engine makes an event in 0.7 s", false,
			      false},
	[SOAK_ENTRY_ODD] = {"entry_odd", SOAK_TARGET_OPERATOR, 500, 4000, true,
			    "a stranger writes odd entries among the "
			    "endpoints'",
			    false, false},
	[SOAK_ENGINE_UNFRAMED] = {"engine_unframed", SOAK_TARGET_ENGINE, 6000,
				  9000, true,
				  "an engine's streams end by the close of "
				  "their connections",
				  false, false},
	[SOAK_ENGINE_STOP_ANSWER_LATE] =
		{"engine_stop_answer_late", SOAK_TARGET_ENGINE, 3000, 6000,
		 true,
		 "an engine stops its runs when asked, and answers 1.5 to 6 s "
		 "later",
		 false, false},
	[SOAK_ENGINE_STOP_ANSWER_ODD] =
		{"engine_stop_answer_odd", SOAK_TARGET_ENGINE, 3000, 6000, true,
		 "an engine stops its runs when asked, and answers as if not",
		 false, false},
	[SOAK_ENGINE_STOP_ANSWER_LOST] =
		{"engine_stop_answer_lost", SOAK_TARGET_ENGINE, 3000, 6000,
		 true,
		 "an engine stops its runs when asked, and resets the "
		 "connection of the call",
		 false, false},
	[SOAK_STORE_CUT_WATCHES] = {"store_cut_watches", SOAK_TARGET_STORE,
				    4000, 8000, true,
				    "the store cuts each watch that waits",
				    false, false},
	[SOAK_PLAIN_VANISH] = {"plain_vanish", SOAK_TARGET_PLAIN, 3000, 5000,
			       true,
			       "a plain endpoint's entry is deleted, then it "
			       "stops",
			       false, false},
	[SOAK_ENGINE_LATE_ENTRY] =
		{"engine_late_entry", SOAK_TARGET_ENGINE, 3000, 5000, true,
		 "an engine leaves, and a report from before is written after "
		 "that",
		 false, false},
	[SOAK_PLAIN_LATE_ENTRY] =
		{"plain_late_entry", SOAK_TARGET_PLAIN, 3000, 5000, true,
		 "a plain endpoint's entry is deleted, and a report from "
		 "before is written after that",
		 false, false},
};

/* Returns the static description of a kind of fault. */
const struct soak_fault_type *soak_fault_type_at(enum soak_fault_kind kind)
{
	return &types[kind];
}

/* Finds a kind by its name; returns false for an unknown name. */
bool soak_fault_kind_parse(const char *name, enum soak_fault_kind *kind)
{
	for (int i = 0; i < SOAK_FAULT_KINDS; i++) {
		if (strcmp(types[i].name, name) != 0)
			continue;
		*kind = (enum soak_fault_kind)i;
		return true;
	}
	return false;
}

static int64_t max_nodes(void)
{
	int64_t memory_bytes =
		(int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);

	return MIN(memory_bytes / 2 / NODE_BYTES - OTHER_PROCESSES,
		   MAX_PROCESSES - OTHER_PROCESSES);
}

/* Returns false, with the value and its range, if a size is out of range. */
bool soak_sizes_check(const struct soak_sizes *sizes, struct error *error)
{
	if (sizes->nodes != 0 &&
	    (sizes->nodes < 1 || sizes->nodes > max_nodes())) {
		error_set(error, ERROR_INVALID, STEP_SIZES, NULL,
			  "--nodes %d: expected 1 to %" PRId64
			  " on this machine",
			  sizes->nodes, max_nodes());
		return false;
	}
	if (sizes->load_ms < MIN_LOAD_MS || sizes->load_ms > MAX_LOAD_MS) {
		error_set(error, ERROR_INVALID, STEP_SIZES, NULL,
			  "--seconds %" PRId64 ": expected %d to %d",
			  sizes->load_ms / 1000, MIN_LOAD_MS / 1000,
			  MAX_LOAD_MS / 1000);
		return false;
	}
	return true;
}

static int32_t target_count(const struct soak_schedule *schedule,
			    enum soak_target target)
{
	switch (target) {
	case SOAK_TARGET_NODE:
		return schedule->nodes;
	case SOAK_TARGET_ENGINE:
		return schedule->engines;
	case SOAK_TARGET_PLAIN:
		return schedule->plains;
	default:
		return 1;
	}
}

static int fault_compare(gconstpointer a, gconstpointer b)
{
	const struct soak_fault *one = a;
	const struct soak_fault *other = b;

	return (one->at_ms > other->at_ms) - (one->at_ms < other->at_ms);
}

/* Adds 1 to 4 faults of one kind on successive targets. */
static void schedule_add_series(struct soak_schedule *schedule, GRand *random,
				enum soak_fault_kind kind)
{
	const struct soak_fault_type *type = &types[kind];
	int32_t targets = target_count(schedule, type->target);
	int32_t count = g_rand_int_range(random, 1, MAX_IN_SERIES + 1);
	int32_t first = g_rand_int_range(random, 0, targets);
	int64_t last_ms = schedule->load_ms * FAULTS_PERCENT / 100;
	int64_t at_ms =
		g_rand_int_range(random, FIRST_FAULT_MS, (gint32)last_ms);
	int64_t interval_ms = g_rand_int_range(random, 50, 1500);

	for (int32_t i = 0; i < count && at_ms < last_ms; i++) {
		struct soak_fault fault = {
			.kind = kind,
			.target = (first + i) % targets,
			.at_ms = at_ms,
			.duration_ms = g_rand_int_range(
				random, (gint32)type->min_duration_ms,
				(gint32)type->max_duration_ms + 1),
		};

		g_array_append_val(schedule->faults, fault);
		at_ms += interval_ms;
	}
}

static int32_t series_count(const struct soak_schedule *schedule)
{
	return (int32_t)(schedule->load_ms / MS_PER_SERIES);
}

/*
 * Creates the run of a seed, which the caller owns. The same seed and sizes
 * give the same run on each machine.
 */
struct soak_schedule *soak_schedule_create(uint32_t seed,
					   const struct soak_sizes *sizes)
{
	struct soak_schedule *schedule = g_new0(struct soak_schedule, 1);
	GRand *random = g_rand_new_with_seed(seed);

	schedule->seed = seed;
	schedule->nodes = g_rand_int_range(random, 3, 10);
	schedule->engines = g_rand_int_range(random, 3, 7);
	schedule->plains = 2;
	schedule->callers = g_rand_int_range(random, 12, 31);
	schedule->events = g_rand_int_range(random, 30, 200);
	schedule->pace_ms = g_rand_int_range(random, 15, 35);
	schedule->load_ms = sizes->load_ms;
	if (sizes->nodes)
		schedule->nodes = sizes->nodes;
	schedule->faults = g_array_new(FALSE, TRUE, sizeof(struct soak_fault));
	for (int32_t i = 0; i < series_count(schedule); i++)
		schedule_add_series(schedule, random,
				    (enum soak_fault_kind)g_rand_int_range(
					    random, 0, SOAK_DRAWN_KINDS));
	g_array_sort(schedule->faults, fault_compare);
	g_rand_free(random);
	return schedule;
}

/* Frees a schedule; NULL is allowed. */
void soak_schedule_destroy(struct soak_schedule *schedule)
{
	if (!schedule)
		return;
	g_array_unref(schedule->faults);
	g_free(schedule);
}

/* Removes all faults; such a run must have no findings. */
void soak_schedule_remove_faults(struct soak_schedule *schedule)
{
	g_array_set_size(schedule->faults, 0);
}

/* Replaces the faults by the same number of series, of the given kinds only. */
void soak_schedule_set_kinds(struct soak_schedule *schedule,
			     const GArray *kinds)
{
	GRand *random = g_rand_new_with_seed(schedule->seed);
	int32_t count = MAX(series_count(schedule), (int32_t)kinds->len);

	g_array_set_size(schedule->faults, 0);
	for (int32_t i = 0; i < count; i++)
		schedule_add_series(schedule, random,
				    g_array_index(kinds, enum soak_fault_kind,
						  i % kinds->len));
	g_array_sort(schedule->faults, fault_compare);
	g_rand_free(random);
}

/* Returns whether a fault is of that kind. */
bool soak_schedule_has_kind(const struct soak_schedule *schedule,
			    enum soak_fault_kind kind)
{
	for (guint i = 0; i < schedule->faults->len; i++)
		if (g_array_index(schedule->faults, struct soak_fault, i)
			    .kind == kind)
			return true;
	return false;
}

/* Returns whether a fault affects such a link, which then needs proxies. */
bool soak_schedule_has_links(const struct soak_schedule *schedule,
			     enum soak_target target, bool to_store)
{
	for (guint i = 0; i < schedule->faults->len; i++) {
		const struct soak_fault_type *type =
			&types[g_array_index(schedule->faults,
					     struct soak_fault, i)
				       .kind];

		if (type->is_link && type->target == target &&
		    type->is_to_store == to_store)
			return true;
	}
	return false;
}

/* Formats one line for the sizes and one per fault; the caller frees it. */
char *soak_schedule_print(const struct soak_schedule *schedule)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "seed %u: %d nodes, %d engines, %d plain "
			       "endpoints, %d callers, streams of %" PRId64
			       " events, one in %" PRId64 " ms\n",
			       schedule->seed, schedule->nodes,
			       schedule->engines, schedule->plains,
			       schedule->callers, schedule->events,
			       schedule->pace_ms);
	for (guint i = 0; i < schedule->faults->len; i++) {
		const struct soak_fault *fault =
			&g_array_index(schedule->faults, struct soak_fault, i);

		g_string_append_printf(
			text, "%6" PRId64 " ms %-17s %d for %" PRId64 " ms\n",
			fault->at_ms, types[fault->kind].name, fault->target,
			fault->duration_ms);
	}
	return g_string_free(text, FALSE);
}
