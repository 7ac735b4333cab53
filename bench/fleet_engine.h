#ifndef BENCH_FLEET_ENGINE_H
#define BENCH_FLEET_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One run of a generation at an engine. */
struct fleet_engine_run {
	void *generation; /* the struct fleet_generation of this run */
	int64_t prompt_tokens;
	int64_t generated; /* tokens */
	int64_t output_tokens;
	int64_t unread;	  /* tokens to read before the next is generated */
	int64_t begun_us; /* time of the first token here; 0: none yet */
	uint64_t order;	  /* of arrival; the highest is preempted first */
	bool is_admitted;
};

struct fleet_engine_options {
	int64_t memory_tokens;
	int32_t slots;
	double speed; /* factor on the step time; 1: the fastest */
};

/* Called at the end of a step for each run that has generated a token. */
typedef void (*fleet_token_callback)(void *data, struct fleet_engine_run *run,
				     int64_t at_us);

struct fleet_engine;

struct fleet_engine *
fleet_engine_create(const struct fleet_engine_options *options, int64_t now_us);
void fleet_engine_destroy(struct fleet_engine *engine);
struct fleet_engine_run *fleet_engine_add(struct fleet_engine *engine,
					  const struct fleet_engine_run *run,
					  bool is_first);
void fleet_engine_remove(struct fleet_engine *engine,
			 const struct fleet_engine_run *run);
bool fleet_engine_reserve_copy(struct fleet_engine *engine, int64_t tokens);
void fleet_engine_release_copy(struct fleet_engine *engine, int64_t tokens);
void fleet_engine_step(struct fleet_engine *engine, int64_t now_us,
		       fleet_token_callback on_token, void *data);
int64_t fleet_engine_preemptions(const struct fleet_engine *engine);
int64_t fleet_engine_recomputed_tokens(const struct fleet_engine *engine);

G_END_DECLS

#endif
