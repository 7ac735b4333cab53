#include "core/placement/endpoint_health.h"

#include <math.h>

#define FADE 0.8
#define FADED 0.05
#define HALF_LIFE_US (5.0 * G_USEC_PER_SEC)
#define FAILURES_ASIDE 1.5 /* a second one before the first has faded */
#define FIRST_ASIDE_US (2 * G_USEC_PER_SEC)
#define LONGEST_ASIDE_US (60 * G_USEC_PER_SEC)
#define RELAPSE_US (30 * G_USEC_PER_SEC)
#define FULL_TRIAL 32
#define LOST_POLLS 2

/* An endpoint of which nothing bad is known. */
void endpoint_health_init(struct endpoint_health *health)
{
	*health = (struct endpoint_health){.aside_us = FIRST_ASIDE_US};
}

/* Counts a failed request; true: the endpoint ought to be put aside. */
bool endpoint_health_report_failure(struct endpoint_health *health)
{
	health->failures += 1;
	return health->state == HEALTH_RETURNING ||
	       (health->state == HEALTH_GOOD &&
		health->failures >= FAILURES_ASIDE);
}

/* Counts a sign of life: an answer, or more tokens of a running one. */
void endpoint_health_report_success(struct endpoint_health *health,
				    int64_t now_us)
{
	health->failures *= FADE;
	if (health->state != HEALTH_RETURNING || health->trial_left > 0)
		return;
	if (health->trial >= FULL_TRIAL) {
		health->state = HEALTH_GOOD;
		health->relapse_before_us = now_us + RELAPSE_US;
		return;
	}
	health->trial *= 2;
	health->trial_left = health->trial;
}

static void endpoint_health_return(struct endpoint_health *health)
{
	health->state = HEALTH_RETURNING;
	health->trial = 1;
	health->trial_left = 1;
	health->failures = 0;
}

/*
 * Counts whether the endpoint answered a poll of its load. One that is
 * reached again after it was lost starts over gently: it may be a new process
 * with an empty cache, and all that waits would rush to it.
 */
void endpoint_health_report_poll(struct endpoint_health *health, bool reached,
				 int64_t now_us)
{
	bool was_lost = endpoint_health_is_unreachable(health);

	health->polls_lost = reached ? 0 : MIN(health->polls_lost + 1, 1000);
	if (reached && was_lost &&
	    (health->state != HEALTH_ASIDE || now_us < health->until_us))
		endpoint_health_return(health);
}

/* No new work for a while: twice as long as the last time if that was near. */
void endpoint_health_put_aside(struct endpoint_health *health, int64_t now_us)
{
	if (health->state == HEALTH_GOOD && now_us > health->relapse_before_us)
		health->aside_us = FIRST_ASIDE_US;
	health->state = HEALTH_ASIDE;
	health->until_us = now_us + health->aside_us;
	health->aside_us = MIN(2 * health->aside_us, LONGEST_ASIDE_US);
}

/*
 * Starts the return when the time aside is over. Failures fade with time as
 * well: an endpoint that is avoided for them gets no chance to succeed.
 */
void endpoint_health_step(struct endpoint_health *health, int64_t now_us)
{
	health->failures *=
		exp2(-(double)(now_us - health->faded_us) / HALF_LIFE_US);
	if (health->failures < FADED)
		health->failures = 0;
	health->faded_us = now_us;
	if (health->state == HEALTH_ASIDE && now_us >= health->until_us)
		endpoint_health_return(health);
}

/* No answer to several polls in a row. */
bool endpoint_health_is_unreachable(const struct endpoint_health *health)
{
	return health->polls_lost >= LOST_POLLS;
}

/*
 * Nothing is left at the endpoint and the round is used up: its requests ended
 * by their callers' doing and told nothing. Without another round the endpoint
 * would never get work again, and its callers would wait for ever.
 */
void endpoint_health_report_idle(struct endpoint_health *health)
{
	if (health->state == HEALTH_RETURNING && health->trial_left == 0)
		health->trial_left = health->trial;
}

/* Whether one request more may go there now. */
bool endpoint_health_allows(const struct endpoint_health *health)
{
	switch (health->state) {
	case HEALTH_GOOD:
		return true;
	case HEALTH_ASIDE:
		return false;
	case HEALTH_RETURNING:
		return health->trial_left > 0;
	}
	return false;
}

/* Counts a request that was placed there. */
void endpoint_health_count_placed(struct endpoint_health *health)
{
	if (health->state == HEALTH_RETURNING && health->trial_left > 0)
		health->trial_left--;
}

/* Name of a state, for the dump. */
const char *health_state_name(enum health_state state)
{
	switch (state) {
	case HEALTH_GOOD:
		return "good";
	case HEALTH_ASIDE:
		return "aside";
	case HEALTH_RETURNING:
		return "returning";
	}
	return "unknown";
}
