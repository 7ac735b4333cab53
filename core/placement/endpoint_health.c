#include "core/placement/endpoint_health.h"

#include <math.h>

#define FAILURE_DECAY 0.8 /* factor on the count at each success */
#define MIN_FAILURES 0.05 /* a lower count becomes 0 */
#define FAILURE_HALF_LIFE_US (5.0 * G_USEC_PER_SEC)
#define ASIDE_FAILURES 1.5 /* a second failure before the first decayed */
#define FIRST_ASIDE_US (2 * G_USEC_PER_SEC)
#define MAX_ASIDE_US (60 * G_USEC_PER_SEC)
#define RELAPSE_WINDOW_US (30 * G_USEC_PER_SEC) /* after its return ended */
#define LAST_TRIAL_SIZE 32
#define UNREACHABLE_POLLS 2

/* Initialises the health of an endpoint that has no failures yet. */
void endpoint_health_init(struct endpoint_health *health)
{
	*health = (struct endpoint_health){.next_aside_us = FIRST_ASIDE_US};
}

/* Counts a failed request; returns true if the endpoint is to be put aside. */
bool endpoint_health_report_failure(struct endpoint_health *health)
{
	health->failures += 1;
	return health->state == HEALTH_RETURNING ||
	       (health->state == HEALTH_GOOD &&
		health->failures >= ASIDE_FAILURES);
}

/*
 * Counts an answer, or further tokens of a running one. Once every request of a
 * round is placed, this starts the next round or ends the return.
 */
void endpoint_health_report_success(struct endpoint_health *health,
				    int64_t now_us)
{
	health->failures *= FAILURE_DECAY;
	if (health->state != HEALTH_RETURNING || health->trial_left > 0)
		return;
	if (health->trial_size >= LAST_TRIAL_SIZE) {
		health->state = HEALTH_GOOD;
		health->relapse_before_us = now_us + RELAPSE_WINDOW_US;
		return;
	}
	health->trial_size *= 2;
	health->trial_left = health->trial_size;
}

static void endpoint_health_start_return(struct endpoint_health *health)
{
	health->state = HEALTH_RETURNING;
	health->trial_size = 1;
	health->trial_left = 1;
	health->failures = 0;
}

/*
 * Counts whether the endpoint answered a poll of its load. An endpoint that
 * answers again after it was unreachable returns in rounds: it may be a new
 * process with an empty cache, and all waiting requests would go to it at
 * once.
 */
void endpoint_health_report_poll(struct endpoint_health *health, bool reached,
				 int64_t now_us)
{
	bool was_unreachable = endpoint_health_is_unreachable(health);

	health->unanswered_polls =
		reached ? 0 : MIN(health->unanswered_polls + 1, 1000);
	if (reached && was_unreachable &&
	    (health->state != HEALTH_ASIDE || now_us < health->until_us))
		endpoint_health_start_return(health);
}

/*
 * Puts the endpoint aside, first for FIRST_ASIDE_US. The time doubles, up to
 * MAX_ASIDE_US, if this happens during the return or within RELAPSE_WINDOW_US
 * after it.
 */
void endpoint_health_put_aside(struct endpoint_health *health, int64_t now_us)
{
	if (health->state == HEALTH_GOOD && now_us > health->relapse_before_us)
		health->next_aside_us = FIRST_ASIDE_US;
	health->state = HEALTH_ASIDE;
	health->until_us = now_us + health->next_aside_us;
	health->next_aside_us = MIN(2 * health->next_aside_us, MAX_ASIDE_US);
}

/*
 * Starts the return when the time aside is over. The count of failures also
 * decays with time, because an endpoint that is avoided for its failures gets
 * no request that could succeed.
 */
void endpoint_health_step(struct endpoint_health *health, int64_t now_us)
{
	health->failures *= exp2(-(double)(now_us - health->decayed_us) /
				 FAILURE_HALF_LIFE_US);
	if (health->failures < MIN_FAILURES)
		health->failures = 0;
	health->decayed_us = now_us;
	if (health->state == HEALTH_ASIDE && now_us >= health->until_us)
		endpoint_health_start_return(health);
}

/* Whether the endpoint left several consecutive polls unanswered. */
bool endpoint_health_is_unreachable(const struct endpoint_health *health)
{
	return health->unanswered_polls >= UNREACHABLE_POLLS;
}

/*
 * Called when no request is left at the endpoint. If all requests of a round
 * ended because their callers cancelled them, they count neither as successes
 * nor as failures; the round is then repeated. Otherwise the endpoint would
 * never get a request again, and its callers would wait for ever.
 */
void endpoint_health_report_idle(struct endpoint_health *health)
{
	if (health->state == HEALTH_RETURNING && health->trial_left == 0)
		health->trial_left = health->trial_size;
}

/* Whether the endpoint may get one more request now. */
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

/* Counts a request that was placed on the endpoint. */
void endpoint_health_count_placed(struct endpoint_health *health)
{
	if (health->state == HEALTH_RETURNING && health->trial_left > 0)
		health->trial_left--;
}

/* Returns the name of a state in the dump; a static string. */
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
