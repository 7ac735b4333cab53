#include "core/gateway/announce_pace.h"

/*
 * Time between regular rounds, and delay of a round after a change: all nodes
 * know of a placement before the next one is likely to come.
 */
#define ROUND_INTERVAL_US (250 * 1000)
#define CHANGE_DELAY_US (40 * 1000)

/*
 * Records that a node sends a second; as all nodes do the same, it receives as
 * many. Each record takes processor time of both nodes, and traffic between
 * failure domains costs money. With seven other nodes this allows ten rounds a
 * second.
 */
#define RECORDS_PER_S 75.0

/* Starts with a full bucket; the first round is due at once. */
void announce_pace_init(struct announce_pace *pace, int64_t now_us)
{
	*pace = (struct announce_pace){
		.next_round_us = now_us,
		.refilled_us = now_us,
		.records = RECORDS_PER_S,
	};
}

/*
 * Returns the longest time between two rounds in steady state, in us, with this
 * number of other nodes.
 */
int64_t announce_pace_period_us(size_t others)
{
	int64_t bound_us =
		(int64_t)((double)others * G_USEC_PER_SEC / RECORDS_PER_S);

	return MAX(ROUND_INTERVAL_US, bound_us);
}

static void refill(struct announce_pace *pace, size_t others, int64_t now_us)
{
	double capacity = MAX(RECORDS_PER_S, (double)others);
	double passed_s =
		(double)(now_us - pace->refilled_us) / (double)G_USEC_PER_SEC;

	pace->records = MIN(capacity, pace->records + RECORDS_PER_S * passed_s);
	pace->refilled_us = now_us;
}

/*
 * Whether a round to the other nodes is due now; true counts it as sent. A
 * change brings the next round forward as far as the bound allows.
 */
bool announce_pace_is_due(struct announce_pace *pace, size_t others,
			  bool changed, int64_t now_us)
{
	refill(pace, others, now_us);
	if (changed)
		pace->next_round_us =
			MIN(pace->next_round_us, now_us + CHANGE_DELAY_US);
	if (now_us < pace->next_round_us || pace->records < (double)others)
		return false;
	pace->records -= (double)others;
	pace->next_round_us = now_us + ROUND_INTERVAL_US;
	return true;
}
