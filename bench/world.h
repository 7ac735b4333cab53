#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "core/config/config.h"
#include "core/node/node.h"
#include "fakes/engine_model.h"
#include "ports/action.h"
#include "ports/event.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Deterministic simulation of a cluster in one process and in virtual time. It
 * executes the actions of the nodes on model engines, plain endpoints, a model
 * key-value service and the other nodes, and returns the effects to the nodes
 * as events. The same seed gives the same run.
 *
 * Nodes and endpoints are numbered from 0; engines come before plain
 * endpoints. A link connects two parties (nodes, endpoints and the key-value
 * service), see world_party_*.
 *
 * The mark [[tokens=N]] in a request's body sets the length of its generation;
 * without it the length is derived from the body and the seed. The mark
 * [[poison]] crashes the endpoint that runs the request.
 */
struct world_options {
	uint64_t seed;
	int32_t node_count;
	int32_t engine_count;
	int32_t plain_count;
	struct node_options node; /* names, addresses and seeds are replaced */
	struct engine_model_options engine;
	int64_t client_delay_us; /* each delay is between half and twice this */
	int64_t peer_delay_us;
	int64_t endpoint_delay_us;
	int64_t kv_delay_us;
	int64_t chunk_us; /* interval between chunks; 0: a chunk per output */
	int64_t hold_us;  /* a generation is kept this long without a reader */
	int64_t plain_us; /* a call at a plain endpoint; half to twice this */
	int64_t restart_us; /* from a crash to the restart; 0: never */
	int64_t connect_timeout_us;
	int64_t vm_list_lag_us; /* until the VM list shows a leaving endpoint */
	int64_t vm_list_poll_us; /* interval at which each node reads it */
	bool seeds_unreachable;	 /* the seed addresses belong to no node */
	int32_t prefix_percent;	 /* of a prompt, covered by its prefix hash */
	int32_t peer_drop_permille; /* of peer messages */
	int32_t peer_duplicate_permille;
	int32_t peer_late_permille;  /* delayed by seconds, behind newer ones */
	int32_t chunk_drop_permille; /* of an engine's chunks */
	int32_t chunk_duplicate_permille;
	int32_t chunk_reorder_permille; /* swapped with the event before */
};

/* One run of a request at an endpoint. */
struct world_run {
	uint64_t number; /* from 1 on */
	int32_t endpoint;
	int32_t node;  /* that sent the request */
	uint64_t call; /* number that world_call returned */
	struct request *request;
	int64_t at_us;	       /* time of arrival */
	int64_t tokens;	       /* generated so far */
	int64_t output_tokens; /* length of the whole output */
	bool finished;
	char generation[32]; /* "" for plain endpoints */
};

struct world;

/* Callbacks of the world's user; each may be NULL. */
struct world_listener {
	/* An ACTION_CALL_* has reached the caller. */
	void (*answered)(void *data, uint64_t call,
			 const struct action *action);
	/* The connection broke or, with connected false, was refused. */
	void (*broken)(void *data, uint64_t call, bool connected);
	/* An engine has produced output, at the current time. */
	void (*engine_output)(void *data, const struct world_run *run,
			      const struct engine_output *output);
	void (*logged)(void *data, int32_t node, const struct action_log *log);
	void *data;
};

struct world_kv_mode {
	bool refused; /* connections are refused; requests are not applied */
	bool silent; /* accepts requests but neither applies nor answers them */
	int64_t extra_delay_us; /* each way */
	int32_t lose_percent;	/* of answers, after the request was applied */
};

typedef void (*world_callback)(struct world *world, void *data);

void world_options_default(struct world_options *options);
struct world *world_create(const struct world_options *options,
			   const struct world_listener *listener);
void world_destroy(struct world *world);
void world_run_until(struct world *world, int64_t until_us);
int64_t world_now_us(const struct world *world);
void world_schedule(struct world *world, int64_t at_us, world_callback callback,
		    void *data);

struct config *world_create_config(const struct world *world);
struct config_organisation *world_add_organisation(struct config *config,
						   const char *name);
int64_t world_put_config(struct world *world, const struct config *config);

uint64_t world_call(struct world *world, int32_t node, struct request *request);
uint64_t world_query(struct world *world, int32_t node, enum query_type type,
		     const char *operator_name, const char *plan_id,
		     GBytes *body);
void world_close_call(struct world *world, uint64_t call);
void world_set_call_flow(struct world *world, uint64_t call, bool full);

void world_kill_node(struct world *world, int32_t node);
void world_start_node(struct world *world, int32_t node);
void world_pause_node(struct world *world, int32_t node, int64_t until_us);
void world_drain_node(struct world *world, int32_t node);
bool world_node_alive(const struct world *world, int32_t node);
uint64_t world_node_incarnation(const struct world *world, int32_t node);
struct node *world_node(struct world *world, int32_t node);

void world_crash_endpoint(struct world *world, int32_t endpoint);
void world_restart_endpoint(struct world *world, int32_t endpoint);
void world_stall_endpoint(struct world *world, int32_t endpoint,
			  int64_t until_us);
void world_set_slowdown(struct world *world, int32_t engine, double factor);
void world_set_leaving(struct world *world, int32_t endpoint, bool in_report,
		       bool in_vm_list);
struct engine_model *world_engine(struct world *world, int32_t engine);

void world_set_kv_mode(struct world *world, const struct world_kv_mode *mode);
int64_t world_kv_calls(const struct world *world);

int32_t world_party_node(const struct world *world, int32_t node);
int32_t world_party_endpoint(const struct world *world, int32_t endpoint);
int32_t world_party_kv(const struct world *world);
void world_cut_link(struct world *world, int32_t from, int32_t to, bool cut);

const GPtrArray *world_runs(const struct world *world);

G_END_DECLS

#endif
