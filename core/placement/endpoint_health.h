#ifndef CORE_PLACEMENT_ENDPOINT_HEALTH_H
#define CORE_PLACEMENT_ENDPOINT_HEALTH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Whether an endpoint may get new requests. An endpoint that fails, or is far
 * slower than the others, is put aside for a time that doubles with each
 * relapse. It then returns in rounds of trial requests, each round twice the
 * size of the one before. The caller limits how many endpoints are aside at
 * once.
 */
enum health_state { HEALTH_GOOD, HEALTH_ASIDE, HEALTH_RETURNING };

struct endpoint_health {
	enum health_state state;
	double failures;	   /* decaying count */
	int64_t decayed_us;	   /* when failures last decayed */
	int64_t until_us;	   /* end of the time aside */
	int64_t next_aside_us;	   /* duration of the next time aside */
	int64_t relapse_before_us; /* being put aside until then is a relapse */
	int32_t trial_size;	   /* requests in this round */
	int32_t trial_left;	   /* requests of this round not yet placed */
	int32_t unanswered_polls;  /* consecutive */
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
