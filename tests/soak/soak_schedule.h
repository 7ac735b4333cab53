#ifndef TESTS_SOAK_SOAK_SCHEDULE_H
#define TESTS_SOAK_SOAK_SCHEDULE_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* The run of one seed: sizes, load, and faults with their times. */

enum soak_target {
	SOAK_TARGET_NODE,
	SOAK_TARGET_ALL_NODES,
	SOAK_TARGET_ENGINE, /* generates streams */
	SOAK_TARGET_PLAIN,  /* answers at once, no stream */
	SOAK_TARGET_STORE,
	SOAK_TARGET_OPERATOR,
	SOAK_TARGET_CALLER,
};

enum soak_fault_kind {
	SOAK_NODE_KILL,
	SOAK_NODE_RENAME,
	SOAK_NODE_PAUSE_SHORT,
	SOAK_NODE_PAUSE_LONG,
	SOAK_NODE_TERM,
	SOAK_NODE_HUP,
	SOAK_NODE_KILL_ALL,
	SOAK_ENGINE_KILL,
	SOAK_ENGINE_REPLACE,
	SOAK_ENGINE_PAUSE,
	SOAK_ENGINE_LEAVE,
	SOAK_ENGINE_VANISH,
	SOAK_ENGINE_FULL,
	SOAK_ENGINE_RESET,
	SOAK_ENGINE_NO_COPY,
	SOAK_ENGINE_NO_ROOM,
	SOAK_ENGINE_SLOW,
	SOAK_PLAIN_KILL,
	SOAK_PLAIN_FAIL,
	SOAK_PLAIN_PAUSE,
	SOAK_PLAIN_SLOW,
	SOAK_PLAIN_LEAVE,
	SOAK_STORE_DOWN,
	SOAK_STORE_SILENT,
	SOAK_STORE_LOSE,
	SOAK_STORE_FORGET,
	SOAK_STORE_LAPSE,
	SOAK_STORE_SLOW,
	SOAK_STORE_STALE,
	SOAK_CONFIG,
	SOAK_CONFIG_STORM,
	SOAK_POISON,
	SOAK_STORE_LINK_CUT,
	SOAK_STORE_LINK_RESET,
	SOAK_STORE_LINK_SILENT,
	SOAK_STORE_LINK_DELAY,
	SOAK_STORE_LINK_HOLD,
	SOAK_STORE_REFUSES,
	SOAK_CALLER_LINK_RESET,
	SOAK_CALLER_LINK_CUT,
	SOAK_CALLER_LINK_DELAY,
	SOAK_ENGINE_LINK_RESET,
	SOAK_ENGINE_LINK_CUT,
	SOAK_ENGINE_LINK_CUT_BACK,
	SOAK_ENGINE_LINK_SILENT,
	SOAK_ENGINE_LINK_DELAY,
	SOAK_PLAIN_LINK_RESET,
	SOAK_PLAIN_LINK_CUT_BACK,
	SOAK_PLAIN_LINK_TRICKLE,
	SOAK_PLAIN_LINK_EXTRA,
	/* Only by name: a seed keeps the faults that it has always drawn. */
	SOAK_DRAWN_KINDS,
	SOAK_DOMAIN_EVACUATE = SOAK_DRAWN_KINDS,
	SOAK_PLAIN_LIMIT,
	SOAK_ENGINE_LIMIT,
	SOAK_POISON_PLAIN,
	SOAK_POISON_PART,
	SOAK_NODE_TERM_AGAIN,
	SOAK_CONFIG_IDLE,
	SOAK_PLAIN_SILENCE,
	SOAK_ENGINE_SILENCE,
	SOAK_PLAIN_LEAVES_BY_ANSWER,
	SOAK_ENGINE_LEAVES_BY_ANSWER,
	SOAK_PLAIN_ASKS_REST,
	SOAK_ENGINE_ASKS_REST,
	SOAK_ENGINE_SLOWS,
	SOAK_ENGINE_BENDS,
	SOAK_PLAIN_SLOWS,
	SOAK_CONFIG_URGENT,
	SOAK_ENGINE_CLOSE_AT_ONCE,
	SOAK_ENGINE_CLOSE_LATE,
	SOAK_ENGINE_CLOSE_NEVER,
	SOAK_ENGINE_STOP_REFUSED,
	SOAK_ENGINE_STOP_LATE,
	SOAK_ENGINE_STOP_DIES,
	SOAK_ENGINE_GAPS,
	SOAK_ENTRY_ODD,
	SOAK_ENGINE_UNFRAMED,
	SOAK_ENGINE_STOP_ANSWER_LATE,
	SOAK_ENGINE_STOP_ANSWER_ODD,
	SOAK_ENGINE_STOP_ANSWER_LOST,
	SOAK_STORE_CUT_WATCHES,
	SOAK_PLAIN_VANISH,
	SOAK_ENGINE_LATE_ENTRY,
	SOAK_PLAIN_LATE_ENTRY,
	SOAK_FAULT_KINDS
};

/* Requests a second that a limited endpoint takes. */
#define SOAK_LIMIT_PER_S 2

struct soak_fault_type {
	const char *name;
	enum soak_target target;
	int64_t min_duration_ms; /* range of the duration */
	int64_t max_duration_ms;
	bool is_planned; /* planned work; must not affect callers */
	const char *description;
	bool is_link;	      /* affects connections to the target */
	bool is_to_store;     /* or from the target to the store */
	bool is_out_of_reach; /* no node can have a call to the engine answered
			       */
};

struct soak_fault {
	enum soak_fault_kind kind;
	int32_t target; /* index among the targets of its type */
	int64_t at_ms;	/* from the start of the load */
	int64_t duration_ms;
};

struct soak_sizes {
	int32_t nodes; /* 0: derived from the seed */
	int64_t load_ms;
};

struct soak_schedule {
	uint32_t seed;
	int32_t nodes;
	int32_t engines;
	int32_t plains;
	int32_t callers;
	int64_t events; /* per stream */
	int64_t pace_ms;
	int64_t load_ms;
	GArray *faults; /* struct soak_fault, by time */
};

const struct soak_fault_type *soak_fault_type_at(enum soak_fault_kind kind);
bool soak_fault_kind_parse(const char *name, enum soak_fault_kind *kind);
bool soak_sizes_check(const struct soak_sizes *sizes, struct error *error);

struct soak_schedule *soak_schedule_create(uint32_t seed,
					   const struct soak_sizes *sizes);
void soak_schedule_destroy(struct soak_schedule *schedule);
void soak_schedule_remove_faults(struct soak_schedule *schedule);
void soak_schedule_set_kinds(struct soak_schedule *schedule,
			     const GArray *kinds);
bool soak_schedule_has_kind(const struct soak_schedule *schedule,
			    enum soak_fault_kind kind);
bool soak_schedule_has_links(const struct soak_schedule *schedule,
			     enum soak_target target, bool to_store);
char *soak_schedule_print(const struct soak_schedule *schedule);

G_END_DECLS

#endif
