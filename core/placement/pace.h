#ifndef CORE_PLACEMENT_PACE_H
#define CORE_PLACEMENT_PACE_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Time between tokens of one engine as a linear function of its batch size,
 * fitted by weighted least squares to the progress of its streams. The weights
 * of old observations decay. All members are weighted sums; intervals are in
 * microseconds.
 */
struct pace {
	double weight;
	double batch;
	double batch_squared;
	double interval;
	double batch_interval;
};

void pace_init(struct pace *pace, int64_t step_us);
void pace_observe(struct pace *pace, int32_t batch, int64_t tokens,
		  int64_t elapsed_us);
int64_t pace_interval_us(const struct pace *pace, int32_t batch);

G_END_DECLS

#endif
