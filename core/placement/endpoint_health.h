#ifndef CORE_PLACEMENT_ENDPOINT_HEALTH_H
#define CORE_PLACEMENT_ENDPOINT_HEALTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Whether an endpoint may get new work: put aside on failures or when it is
 * far slower than the others, for a time that doubles with each relapse, then
 * brought back a few requests at a time. How many may be aside at once is the
 * caller's to bound.
 */
enum health_state { HEALTH_GOOD, HEALTH_ASIDE, HEALTH_RETURNING };

struct endpoint_health {
	enum health_state state;
	double failures;  /* fading count */
	int64_t faded_us; /* until when it has faded */
	int64_t until_us;
	int64_t aside_us; /* for how long next time */
	int64_t relapse_before_us;
	int32_t trial;	    /* requests in this round of the return */
	int32_t trial_left; /* of them not yet placed */
	int32_t polls_lost; /* in a row */
};

void endpoint_health_init(struct endpoint_health *health);
bool endpoint_health_report_failure(struct endpoint_health *health);
void endpoint_health_report_success(struct endpoint_health *health,
				    int64_t now_us);
void endpoint_health_report_poll(struct endpoint_health *health, bool reached,
				 int64_t now_us);
void endpoint_health_put_aside(struct endpoint_health *health, int64_t now_us);
void endpoint_health_step(struct endpoint_health *health, int64_t now_us);
void endpoint_health_report_idle(struct endpoint_health *health);
bool endpoint_health_is_unreachable(const struct endpoint_health *health);
bool endpoint_health_allows(const struct endpoint_health *health);
void endpoint_health_count_placed(struct endpoint_health *health);
const char *health_state_name(enum health_state state);

G_END_DECLS

#endif
