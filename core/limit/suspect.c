#include "core/limit/suspect.h"

/* Returns when a run was lost last at the start. */
int64_t loss_last_us(const struct loss *loss)
{
	return MAX(loss->lost_us, loss->again_us);
}

/* Returns the loss at that start, or NULL. */
struct loss *suspect_find_loss(struct suspect *suspect, uint64_t start_key)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect->losses[i].start_key == start_key)
			return &suspect->losses[i];
	return NULL;
}

/* Whether another loss of the suspect came about the same time. */
static bool has_neighbour(const struct suspect *suspect,
			  const struct loss *loss)
{
	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *other = &suspect->losses[i];

		if (other != loss && other->state != LOSS_REFUTED &&
		    ABS(other->lost_us - loss->lost_us) <= SUSPECT_MOMENT_US)
			return true;
	}
	return false;
}

/*
 * How little is lost with a loss: refuted ones go first, then one of several
 * of one moment.
 */
static int32_t dispensability(const struct suspect *suspect,
			      const struct loss *loss)
{
	if (loss->state == LOSS_REFUTED)
		return 2;
	return has_neighbour(suspect, loss) ? 1 : 0;
}

/*
 * Whether the loss is given up rather than the other one. All nodes choose
 * alike, so that they don't tell each other the rest again and again.
 */
static bool goes_first(const struct suspect *suspect, const struct loss *loss,
		       const struct loss *other)
{
	int32_t rank = dispensability(suspect, loss);
	int32_t other_rank = dispensability(suspect, other);

	if (rank != other_rank)
		return rank > other_rank;
	return rank == 0 ? loss->lost_us < other->lost_us
			 : loss->start_key > other->start_key;
}

/*
 * Adds a loss at a start where the suspect has none. Of a full list one is
 * given up, never the oldest, which tells how long the suspect has ended
 * endpoints. Returns NULL if it is this one.
 */
struct loss *suspect_add_loss(struct suspect *suspect, const struct loss *added)
{
	struct loss *oldest = &suspect->losses[0];
	struct loss *given_up = NULL;

	suspect->losses[suspect->loss_count++] = *added;
	if (suspect->loss_count <= SUSPECT_MAX_LOSSES)
		return &suspect->losses[suspect->loss_count - 1];
	for (int32_t i = 1; i < suspect->loss_count; i++)
		if (suspect->losses[i].lost_us < oldest->lost_us)
			oldest = &suspect->losses[i];
	for (int32_t i = 0; i < suspect->loss_count; i++) {
		struct loss *loss = &suspect->losses[i];

		if (loss != oldest &&
		    (!given_up || goes_first(suspect, loss, given_up)))
			given_up = loss;
	}
	*given_up = suspect->losses[--suspect->loss_count];
	if (given_up == &suspect->losses[suspect->loss_count])
		return NULL;
	return given_up->start_key == added->start_key
		       ? given_up
		       : suspect_find_loss(suspect, added->start_key);
}

/* Returns when the suspect, which has losses, lost its last run. */
int64_t suspect_newest_loss_us(const struct suspect *suspect)
{
	int64_t newest_us = suspect->losses[0].lost_us;

	for (int32_t i = 0; i < suspect->loss_count; i++)
		newest_us = MAX(newest_us, suspect->losses[i].lost_us);
	return newest_us;
}

/* Returns whether the loss counts against the suspect. */
bool suspect_loss_counts(const struct suspect *suspect, const struct loss *loss)
{
	return loss->state == LOSS_CONFIRMED &&
	       (!suspect->cleared_us || loss->lost_us > suspect->cleared_us);
}

/* Returns whether any loss counts against the suspect. */
bool suspect_has_counted_loss(const struct suspect *suspect)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect_loss_counts(suspect, &suspect->losses[i]))
			return true;
	return false;
}

/* Returns whether a loss is later than what the suspect was cleared of so far.
 */
bool suspect_has_open_loss(const struct suspect *suspect)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect->losses[i].state != LOSS_REFUTED &&
		    suspect->losses[i].lost_us > suspect->cleared_us)
			return true;
	return false;
}

/* Makes losses up to that time count no longer. */
void suspect_clear(struct suspect *suspect, int64_t cleared_us)
{
	suspect->cleared_us = MAX(suspect->cleared_us, cleared_us);
}
