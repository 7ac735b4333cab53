#ifndef CORE_GATEWAY_EVACUATION_H
#define CORE_GATEWAY_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When a running generation changes its engine. It is asked a few dozen times
 * a second for each generation, with all that is known at that moment, and
 * answers what to do next. A generation goes on as one run: from a copy of its
 * memory, either one that another engine has kept from the start (the backup)
 * or one that its own engine makes when it is about to leave.
 */

/* How far a copy has got that the engine under notice makes. */
enum evacuation_copy {
	COPY_NONE,
	COPY_UNDER_WAY,
	COPY_WHOLE, /* waits for a good moment */
	COPY_GIVEN_UP
};

struct evacuation_input {
	int64_t under_notice_us; /* since its engine said so; 0: it did not */
	int64_t silent_us; /* since its last event, or since it was sent */
	bool has_begun;	   /* it has made an event */
	int64_t begun_us;  /* since its first event at this engine */
	bool ends_in_time; /* before its engine does, as expected */
	bool budget_left;  /* another engine may be asked */
	bool broke_off;	   /* lost, but not behind a link that is cut */

	bool has_backup; /* at an engine that serves, not known to be missing */
	bool backup_reads_prompts;

	bool can_copy;
	enum evacuation_copy copy;
	int32_t copy_failures; /* in a row: engines that had no room, say */
	int64_t copy_us;    /* since it was begun, or since the last failed */
	bool target_serves; /* the engine that gets the copy */
	bool target_reads_prompts;

	bool is_asked; /* another engine was asked to go on */
	bool asked_is_connected;
	int64_t asked_us; /* since then */
};

enum evacuation {
	EVACUATION_STAY,
	EVACUATION_BEGIN_COPY, /* its engine copies it to another one */
	EVACUATION_DROP_COPY,  /* it comes too late, or its target is gone */
	EVACUATION_ASK_COPY,   /* go on from the copy */
	EVACUATION_ASK_BACKUP, /* go on from the backup */
	EVACUATION_LET_OLD_GO, /* the engine that was asked has the run */
	EVACUATION_DROP_ASKED, /* it does not: the old engine goes on */
	EVACUATION_GIVE_UP     /* the engine is silent: it counts as failed */
};

/* From where a run can go on whose engine is lost. */
enum evacuation_source {
	EVACUATION_FROM_NOTHING,
	EVACUATION_FROM_COPY,
	EVACUATION_FROM_BACKUP
};

enum evacuation evacuation_decide(const struct evacuation_input *input);
enum evacuation_source evacuation_source(const struct evacuation_input *input);
const char *evacuation_name(enum evacuation evacuation);

/* What an engine under notice still makes; what ends before needs no other. */
bool evacuation_ends_in_time(int64_t made_tokens, int64_t expected_tokens);

G_END_DECLS

#endif
