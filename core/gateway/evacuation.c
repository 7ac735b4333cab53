#include "core/gateway/evacuation.h"

#define MS_US 1000

/*
 * An engine that made events and has gone silent for so long is given up for
 * one that holds a copy: five times the pause that callers notice, above any
 * pause that another request's prompt causes.
 */
#define SILENT_US (900 * MS_US)

/*
 * An engine under notice ends 1.5 s after it at the earliest. A run with a
 * backup leaves between these two; what ends before the first needs no other
 * engine.
 */
#define LEAVE_FROM_US (500 * MS_US)

/*
 * Until then a run waits for a moment at which the other engine reads no
 * prompt that is known of: beside prompts it goes on so late that its caller
 * notices the pause.
 */
#define LEAVE_UNTIL_US (1200 * MS_US)

/*
 * A backup mostly stands so long after the run's first event. Asked for too
 * early it is held for missing, and the run's own engine has to copy it in what
 * time is left.
 */
#define BACKUP_AGE_US (600 * MS_US)

/*
 * Before these nothing of a run can have reached the engine named for its
 * backup, and an engine asked to go on from nothing may begin: a request that
 * crashes its engine within a few ms ran at the next one as well, and a third
 * was asked. The first counts from its first event. The second is for a run
 * that made none that came here, behind a cut link: its prompt has to be read
 * and the copy to follow.
 */
#define BACKUP_FIRST_US (300 * MS_US)
#define BACKUP_UNSEEN_US (1000 * MS_US)

/*
 * Two engines may work on one run for 400 ms while it changes between them.
 * The old one goes on until the new one has answered, so that the caller sees
 * no pause and nothing is lost if the copy is missing; this is when it is let
 * go at the latest, with time for the close to reach it.
 */
#define OVERLAP_US (250 * MS_US)

/* A copy of 3,500 tokens takes 0.2 s, twice that between failure domains. */
#define COPY_TIMEOUT_US (2 * G_USEC_PER_SEC)

/*
 * Between two tries: a run that is preempted can't be copied, and what has no
 * room now may have some when a generation there has ended.
 */
#define COPY_AGAIN_US (120 * MS_US)

/*
 * Engines asked for room before the end is waited for: as many as there is time
 * for until an engine under notice ends. Where memory is scarce most refuse,
 * and room comes a little later.
 */
#define MAX_COPIES 12

/* Made by an engine between its notice and its end, in tokens. */
#define LAST_TOKENS 110

static const char *const names[] = {
	[EVACUATION_STAY] = "stay",
	[EVACUATION_BEGIN_COPY] = "begin_copy",
	[EVACUATION_DROP_COPY] = "drop_copy",
	[EVACUATION_ASK_COPY] = "ask_copy",
	[EVACUATION_ASK_BACKUP] = "ask_backup",
	[EVACUATION_LET_OLD_GO] = "let_old_go",
	[EVACUATION_DROP_ASKED] = "drop_asked",
	[EVACUATION_GIVE_UP] = "give_up",
};

/*
 * An engine that took the request but has not answered may work on it, so the
 * other one is let go. One that took not even the connection does not.
 */
static enum evacuation decide_asked(const struct evacuation_input *input)
{
	if (input->asked_us <= OVERLAP_US)
		return EVACUATION_STAY;
	return input->asked_is_connected ? EVACUATION_LET_OLD_GO
					 : EVACUATION_DROP_ASKED;
}

/* A good moment to change, or the last one. */
static bool may_change(const struct evacuation_input *input, bool reads_prompts)
{
	return input->under_notice_us > LEAVE_UNTIL_US || !reads_prompts;
}

static bool wants_copy(const struct evacuation_input *input)
{
	return input->can_copy && input->has_begun && !input->ends_in_time &&
	       input->under_notice_us > 0 && input->copy_us >= COPY_AGAIN_US &&
	       input->copy_failures < MAX_COPIES;
}

static enum evacuation decide_copy(const struct evacuation_input *input)
{
	switch (input->copy) {
	case COPY_NONE:
		return wants_copy(input) ? EVACUATION_BEGIN_COPY
					 : EVACUATION_STAY;
	case COPY_UNDER_WAY:
		return input->copy_us > COPY_TIMEOUT_US ? EVACUATION_DROP_COPY
							: EVACUATION_STAY;
	case COPY_WHOLE:
		if (!input->target_serves)
			return EVACUATION_DROP_COPY;
		return input->budget_left &&
				       may_change(input,
						  input->target_reads_prompts)
			       ? EVACUATION_ASK_COPY
			       : EVACUATION_STAY;
	case COPY_GIVEN_UP:
		break;
	}
	return EVACUATION_STAY;
}

/*
 * Before its first event an engine reads the prompt, behind others' prompts,
 * for however long. While its connection stands nothing of a run can be
 * elsewhere that has not come here. A cut link shows by the connection, which
 * times out after 3 s.
 */
static bool is_silent(const struct evacuation_input *input)
{
	return input->has_begun && input->silent_us > SILENT_US;
}

static bool may_ask_backup(const struct evacuation_input *input)
{
	return input->has_begun && input->under_notice_us > LEAVE_FROM_US &&
	       input->begun_us >= BACKUP_AGE_US && input->budget_left &&
	       may_change(input, input->backup_reads_prompts);
}

/* Whether the backup stands before it is too late to ask for it. */
static bool backup_comes_in_time(const struct evacuation_input *input)
{
	return input->under_notice_us == 0 || !input->has_begun ||
	       input->begun_us + LEAVE_UNTIL_US - input->under_notice_us >=
		       BACKUP_AGE_US;
}

/*
 * An engine that is named for a backup is not yet a copy. This is what at most
 * once rests on when an engine is lost; the other engine's word that it has no
 * copy is not relied on. What an engine makes comes before the end of its
 * connection: one that was in reach and made no event has copied none, however
 * long the run waited there behind others' prompts.
 */
static bool backup_may_stand(const struct evacuation_input *input)
{
	if (!input->has_backup)
		return false;
	if (input->has_begun)
		return input->begun_us >= BACKUP_FIRST_US;
	return !input->broke_off && input->silent_us >= BACKUP_UNSEEN_US;
}

static enum evacuation decide_backup(const struct evacuation_input *input)
{
	if (may_ask_backup(input))
		return EVACUATION_ASK_BACKUP;
	if (is_silent(input) && backup_may_stand(input))
		return EVACUATION_GIVE_UP;
	return EVACUATION_STAY;
}

/*
 * What to do next. A silent engine is given up only where a backup stands:
 * without one its silence may still end, and nothing else can go on.
 */
enum evacuation evacuation_decide(const struct evacuation_input *input)
{
	bool has_copy =
		input->copy == COPY_UNDER_WAY || input->copy == COPY_WHOLE;

	if (input->is_asked)
		return decide_asked(input);
	if (input->has_backup && !has_copy && backup_comes_in_time(input))
		return decide_backup(input);
	return decide_copy(input);
}

/*
 * Its engine is gone, at whatever moment. A copy that is whole comes first: it
 * is younger than its backup, which may not stand yet. Looking at backups alone
 * lost runs whose copy was waiting for a good moment.
 */
enum evacuation_source evacuation_source(const struct evacuation_input *input)
{
	if (input->copy == COPY_WHOLE && input->target_serves)
		return EVACUATION_FROM_COPY;
	return backup_may_stand(input) ? EVACUATION_FROM_BACKUP
				       : EVACUATION_FROM_NOTHING;
}

/* Whether a run ends by itself before its engine does, as far as expected. */
bool evacuation_ends_in_time(int64_t made_tokens, int64_t expected_tokens)
{
	return made_tokens < expected_tokens &&
	       expected_tokens - made_tokens < LAST_TOKENS;
}

/* Name of a decision, for logs and tables. */
const char *evacuation_name(enum evacuation evacuation)
{
	return names[evacuation];
}
