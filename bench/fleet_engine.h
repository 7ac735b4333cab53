#ifndef BENCH_FLEET_ENGINE_H
#define BENCH_FLEET_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One generation at one engine. */
struct fleet_run_at {
	void *generation; /* whose run it is */
	int64_t prompt_tokens;
	int64_t made;
	int64_t output_tokens;
	int64_t unread;	  /* tokens to read before the next one is made */
	int64_t begun_us; /* its first token here; 0: none yet */
	uint64_t order;	  /* the newest is preempted first */
	bool is_admitted;
};

struct fleet_engine_options {
	int64_t memory_tokens;
	int32_t slots;
	double speed; /* of a step; 1: the fastest */
};

/* Tokens that one step has made, told run by run. */
typedef void (*fleet_made)(void *data, struct fleet_run_at *run, int64_t at_us);

struct fleet_engine;

struct fleet_engine *
fleet_engine_create(const struct fleet_engine_options *options, int64_t now_us);
void fleet_engine_destroy(struct fleet_engine *engine);
struct fleet_run_at *fleet_engine_add(struct fleet_engine *engine,
				      const struct fleet_run_at *run,
				      bool is_first);
void fleet_engine_remove(struct fleet_engine *engine,
			 const struct fleet_run_at *run);
bool fleet_engine_keep_copy(struct fleet_engine *engine, int64_t tokens);
void fleet_engine_drop_copy(struct fleet_engine *engine, int64_t tokens);
void fleet_engine_step(struct fleet_engine *engine, int64_t now_us,
		       fleet_made made, void *data);
int64_t fleet_engine_preemptions(const struct fleet_engine *engine);
int64_t fleet_engine_read_again(const struct fleet_engine *engine);

G_END_DECLS

#endif
