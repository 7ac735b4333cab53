#include "core/gateway/standing_pace.h"

/* A placement is known everywhere before the next one is likely to come. */
#define REGULAR_US (250 * 1000)
#define SOON_US (40 * 1000)

/*
 * Records that a node sends, and so also receives: each takes processor time
 * of both, and bytes between failure domains, which are paid for. Seven others
 * are told ten times a second.
 */
#define RECORDS_PER_S 75.0

/* Nothing sent yet; the first round is due at once. */
void standing_pace_init(struct standing_pace *pace, int64_t now_us)
{
	*pace = (struct standing_pace){
		.regular_us = now_us,
		.earned_us = now_us,
		.records = RECORDS_PER_S,
	};
}

/* How far apart rounds are at most in steady state, by the nodes told. */
int64_t standing_pace_period_us(size_t others)
{
	int64_t bound_us =
		(int64_t)((double)others * G_USEC_PER_SEC / RECORDS_PER_S);

	return MAX(REGULAR_US, bound_us);
}

static void earn(struct standing_pace *pace, size_t others, int64_t now_us)
{
	double most = MAX(RECORDS_PER_S, (double)others);
	double passed_s =
		(double)(now_us - pace->earned_us) / (double)G_USEC_PER_SEC;

	pace->records = MIN(most, pace->records + RECORDS_PER_S * passed_s);
	pace->earned_us = now_us;
}

/*
 * Whether to tell the others now; true counts as told. A change brings the next
 * round forward as far as the bound allows.
 */
bool standing_pace_is_due(struct standing_pace *pace, size_t others,
			  bool changed, int64_t now_us)
{
	earn(pace, others, now_us);
	if (changed)
		pace->regular_us = MIN(pace->regular_us, now_us + SOON_US);
	if (now_us < pace->regular_us || pace->records < (double)others)
		return false;
	pace->records -= (double)others;
	pace->regular_us = now_us + REGULAR_US;
	return true;
}
