#ifndef CORE_GATEWAY_EVACUATION_H
#define CORE_GATEWAY_EVACUATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides when a running generation moves to another engine. The caller asks a
 * few dozen times a second for each generation, with its state at that moment,
 * and gets the next action. A generation continues as the same run from a copy
 * of its memory: either the backup, which another engine has kept from the
 * start, or a copy that its own engine makes when it is about to leave.
 */

/* State of the copy that an engine under notice makes. */
enum evacuation_copy {
	COPY_NONE,
	COPY_IN_PROGRESS,
	COPY_COMPLETE, /* complete, waits for a good moment to move */
	COPY_GIVEN_UP
};

struct evacuation_input {
	int64_t under_notice_us; /* since the engine's notice; 0: none */
	int64_t silent_us;    /* since the last event, or since it was sent */
	bool has_begun;	      /* the engine has sent an event */
	int64_t begun_us;     /* since the first event of this engine */
	bool ends_in_time;    /* expected to end before its engine */
	bool budget_left;     /* a retry is left for another engine */
	bool failed_in_reach; /* the engine failed while it was in reach */

	bool may_stop;	     /* the engine may be asked to stop the run now */
	bool may_return;     /* its engine would be asked to take it back */
	bool has_backup;     /* at a serving engine */
	bool backup_refused; /* its engine has no room to take the run over */
	bool backup_rests;   /* its engine wants no request for a while */
	bool backup_reads_prompts;

	bool can_copy;
	enum evacuation_copy copy;
	int32_t copy_failures;	 /* consecutive, such as engines without room */
	int64_t copy_elapsed_us; /* since the copy began, or the last one failed
				  */
	bool target_serves;	 /* the engine that receives the copy */
	bool target_reads_prompts;
};

enum evacuation {
	EVACUATION_STAY,
	EVACUATION_BEGIN_COPY, /* the engine copies the run to another one */
	EVACUATION_DROP_COPY,  /* the copy timed out, or its target is gone */
	EVACUATION_TO_COPY,    /* stop the run, continue it from the copy */
	EVACUATION_TO_BACKUP   /* stop the run, continue it from the backup */
};

/* What a run continues from when its engine is lost. */
enum evacuation_source {
	EVACUATION_FROM_NOTHING,
	EVACUATION_FROM_COPY,
	EVACUATION_FROM_BACKUP
};

enum evacuation evacuation_decide(const struct evacuation_input *input);
enum evacuation_source evacuation_source(const struct evacuation_input *input);
const char *evacuation_name(enum evacuation evacuation);

bool evacuation_ends_in_time(int64_t output_tokens, int64_t expected_tokens);

G_END_DECLS

#endif
