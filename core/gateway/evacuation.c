#include "core/gateway/evacuation.h"

#define MS_US 1000

/*
 * If an engine sent events and then none for this long, the run continues from
 * its backup. This is five times the pause that callers notice, and above any
 * pause that another request's prompt causes.
 */
#define SILENT_US (900 * MS_US)

/*
 * An engine ends 1.5 s after its notice at the earliest. A run with a backup
 * moves between LEAVE_FROM_US and LEAVE_UNTIL_US after the notice; a run that
 * ends before LEAVE_FROM_US needs no other engine.
 */
#define LEAVE_FROM_US (500 * MS_US)

/*
 * Up to this time after the notice, a run waits for a moment at which the other
 * engine is not known to read a prompt. While that engine reads prompts, the
 * run would resume so late that its caller notices the pause.
 */
#define LEAVE_UNTIL_US (1200 * MS_US)

/*
 * Later after the notice, no run is stopped at an engine that works on: the
 * other engine may refuse it, and a leaving one gets no request after a while.
 * It stays to the engine's end, and goes on from its copy then.
 */
#define STOP_UNTIL_US (1400 * MS_US)

/*
 * Time after a run's first event by which its backup usually exists. If the
 * backup engine is asked earlier, the backup is taken for missing, and the
 * run's own engine has to copy the run in the time that is left.
 */
#define BACKUP_AGE_US (600 * MS_US)

/*
 * Before these times no part of a run can have reached its backup engine. The
 * backup engine is not asked until then, because an engine without a copy may
 * start the run from the beginning: a request that crashed its engine within a
 * few ms also ran at the next one, and a third was asked. BACKUP_EARLIEST_US
 * counts from the first event. BACKUP_UNSEEN_US is for a run of which no event
 * arrived because the link was cut; it allows for reading the prompt and then
 * sending the copy.
 */
#define BACKUP_EARLIEST_US (300 * MS_US)
#define BACKUP_UNSEEN_US (1000 * MS_US)

/* Copying 3,500 tokens takes 0.2 s, twice that between failure domains. */
#define COPY_TIMEOUT_US (2 * G_USEC_PER_SEC)

/*
 * Delay between two copy attempts. A preempted run can't be copied, and an
 * engine without room may have some when a generation there has ended.
 */
#define COPY_RETRY_US (120 * MS_US)

/*
 * Copy attempts for one run, as many as there is time for after a notice; after
 * them the run stays until its engine ends. Where memory is scarce most engines
 * refuse a copy, and have room a little later.
 */
#define MAX_COPIES 12

/* Tokens that an engine generates between its notice and its end. */
#define TOKENS_AFTER_NOTICE 110

static const char *const names[] = {
	[EVACUATION_STAY] = "stay",
	[EVACUATION_BEGIN_COPY] = "begin_copy",
	[EVACUATION_DROP_COPY] = "drop_copy",
	[EVACUATION_TO_COPY] = "to_copy",
	[EVACUATION_TO_BACKUP] = "to_backup",
};

/*
 * Before its first event an engine reads the prompt, queued behind other
 * prompts for an unbounded time. While the connection is up, no other engine
 * can hold a part of a run of which no event has arrived. A cut link is noticed
 * when the connection times out after 3 s.
 */
static bool is_silent(const struct evacuation_input *input)
{
	return input->has_begun && input->silent_us > SILENT_US;
}

/* Whether the other engine reads no prompts now, or time is running out. */
static bool may_move(const struct evacuation_input *input, bool reads_prompts)
{
	return input->under_notice_us > LEAVE_UNTIL_US || !reads_prompts;
}

/* Whether a run that its engine stops now could still return there. */
static bool could_return(const struct evacuation_input *input)
{
	return input->may_return && input->under_notice_us <= STOP_UNTIL_US;
}

static bool wants_copy(const struct evacuation_input *input)
{
	return input->can_copy && input->has_begun && !input->ends_in_time &&
	       input->under_notice_us > 0 &&
	       input->copy_elapsed_us >= COPY_RETRY_US &&
	       input->copy_failures < MAX_COPIES;
}

static enum evacuation decide_copy(const struct evacuation_input *input)
{
	switch (input->copy) {
	case COPY_NONE:
		return wants_copy(input) ? EVACUATION_BEGIN_COPY
					 : EVACUATION_STAY;
	case COPY_IN_PROGRESS:
		return input->copy_elapsed_us > COPY_TIMEOUT_US
			       ? EVACUATION_DROP_COPY
			       : EVACUATION_STAY;
	case COPY_COMPLETE:
		if (!input->target_serves)
			return EVACUATION_DROP_COPY;
		return input->budget_left && input->may_stop &&
				       (could_return(input) ||
					is_silent(input)) &&
				       may_move(input,
						input->target_reads_prompts)
			       ? EVACUATION_TO_COPY
			       : EVACUATION_STAY;
	case COPY_GIVEN_UP:
		break;
	}
	return EVACUATION_STAY;
}

static bool may_go_to_backup(const struct evacuation_input *input)
{
	return input->has_begun && input->under_notice_us > LEAVE_FROM_US &&
	       could_return(input) && input->begun_us >= BACKUP_AGE_US &&
	       input->budget_left && input->may_stop &&
	       may_move(input, input->backup_reads_prompts);
}

/* Whether the backup will exist before it is too late to ask for it. */
static bool backup_ready_in_time(const struct evacuation_input *input)
{
	return input->under_notice_us == 0 || !input->has_begun ||
	       input->begun_us + LEAVE_UNTIL_US - input->under_notice_us >=
		       BACKUP_AGE_US;
}

/*
 * Whether the engine named for the backup may hold a copy already. The
 * at-most-once guarantee after the loss of an engine depends on this check, not
 * on the other engine's answer that it has no copy. The events of an engine
 * arrive before the end of its connection: an engine that was in reach and sent
 * no event has copied nothing, however long the run was queued there behind
 * other prompts.
 */
static bool backup_may_exist(const struct evacuation_input *input)
{
	if (!input->has_backup)
		return false;
	if (input->has_begun)
		return input->begun_us >= BACKUP_EARLIEST_US;
	return !input->failed_in_reach && input->silent_us >= BACKUP_UNSEEN_US;
}

static enum evacuation decide_backup(const struct evacuation_input *input)
{
	if (may_go_to_backup(input))
		return EVACUATION_TO_BACKUP;
	if (is_silent(input) && backup_may_exist(input) && input->budget_left &&
	    input->may_stop)
		return EVACUATION_TO_BACKUP;
	return EVACUATION_STAY;
}

/*
 * Returns the next action for a running generation. No run continues elsewhere
 * before its engine has stopped it: run_stop tells when. A backup whose engine
 * has no room for the rest of the run, or rests, is left for the case that the
 * run's engine ends.
 */
enum evacuation evacuation_decide(const struct evacuation_input *input)
{
	bool has_copy =
		input->copy == COPY_IN_PROGRESS || input->copy == COPY_COMPLETE;

	if (input->has_backup && !input->backup_refused &&
	    !input->backup_rests && !has_copy && backup_ready_in_time(input))
		return decide_backup(input);
	return decide_copy(input);
}

/*
 * Returns what a run continues from when its engine is gone. A complete copy
 * comes first: it is newer than the backup, which may not exist yet. Using only
 * backups lost runs whose copy was waiting for a good moment.
 */
enum evacuation_source evacuation_source(const struct evacuation_input *input)
{
	if (input->copy == COPY_COMPLETE && input->target_serves)
		return EVACUATION_FROM_COPY;
	return backup_may_exist(input) ? EVACUATION_FROM_BACKUP
				       : EVACUATION_FROM_NOTHING;
}

/*
 * Whether a run is expected to end before its engine under notice does; such a
 * run needs no other engine. Both counts are in tokens.
 */
bool evacuation_ends_in_time(int64_t output_tokens, int64_t expected_tokens)
{
	return output_tokens < expected_tokens &&
	       expected_tokens - output_tokens < TOKENS_AFTER_NOTICE;
}

/* Returns the name of an action, a static string for logs and tables. */
const char *evacuation_name(enum evacuation evacuation)
{
	return names[evacuation];
}
