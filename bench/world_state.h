#ifndef BENCH_WORLD_STATE_H
#define BENCH_WORLD_STATE_H

#include "bench/event_queue.h"
#include "bench/world.h"
#include "fakes/kv_model.h"

G_BEGIN_DECLS

/*
 * The world's state and the functions shared by its source files. Private to
 * bench/world*.c:
 *
 *   world.c           creation, the event loop, links, configuration
 *   world_node.c      nodes: start and end, steps and actions
 *   world_call.c      callers
 *   world_attempt.c   connections from nodes to endpoints and nodes
 *   world_endpoint.c  model engines and plain endpoints
 *   world_stream.c    generations at engines and their readers
 *   world_load.c      load reports that homes request from endpoints
 *   world_kv.c        key-value service
 */

#define INDEX_NONE (-1) /* no node or endpoint */

struct world_node {
	struct node *node; /* NULL: dead */
	char *name;
	char *http_address;
	char *peer_address;
	uint64_t incarnation;
	bool paused;
	int64_t wake_us; /* of the wake-up in the queue */
	GQueue deferred; /* struct queued_event that came due during a pause */
	GHashTable *attempts; /* attempt number to struct world_attempt */
};

/* A caller's connection to a node. */
struct world_caller {
	uint64_t call;
	int32_t node;
	uint64_t incarnation;
	struct world_attempt *origin; /* of the forwarding node, or NULL */
	GString *forwarded;	      /* text of a forwarded stream so far */
	GQueue answers;		      /* struct action_list, one action each */
};

struct world_endpoint {
	char *address;
	bool is_engine;
	bool alive;
	bool leaving;	       /* according to its load report */
	int64_t leaving_vm_us; /* when the VM list starts to show it */
	int64_t stalled_until_us;
	struct engine_model *model; /* NULL for plain endpoints */
	int64_t wake_us;	    /* of the wake-up in the queue */
	GPtrArray *open; /* plain: struct world_attempt in progress */
};

/* A generation at an engine; it is kept for hold_us without a reader. */
struct world_stream {
	struct world_run *run;
	struct world_attempt *reader; /* NULL: none */
	int64_t sent;		      /* tokens sent to the reader */
	bool flush_queued;
	uint64_t reader_epoch; /* incremented when the reader changes */
};

/* A node's connection to an endpoint or to another node. */
struct world_attempt {
	int32_t node;
	uint64_t number;
	int32_t endpoint;	 /* INDEX_NONE: to another node */
	int32_t peer_node;	 /* INDEX_NONE: to an endpoint */
	uint64_t call;		 /* at the sending node */
	uint64_t forwarded_call; /* at the peer node */
	int32_t priority;
	struct request *request; /* NULL: resumes generation */
	char *generation;	 /* to resume, or NULL */
	int64_t next_token;	 /* first token that the node lacks */
	bool closed;	   /* by the node: no more events are delivered to it */
	bool keep_running; /* the generation outlives the closed attempt */
	bool ended;	   /* by the other side: the last event is queued */
	bool paused;	   /* the node does not read */
	struct world_stream *stream;
	GQueue events; /* struct attempt_event in transit to the node */
};

struct world {
	struct world_options options;
	struct world_listener listener;
	struct event_queue *queue;
	GRand *random;
	int64_t now_us;
	struct action_list *actions;

	struct world_node *nodes;
	struct world_endpoint *endpoints;
	int32_t endpoint_count;
	int32_t party_count;
	bool *cut; /* party_count squared, indexed by from and to */

	GArray *root_calls;  /* uint64_t by call: the client's original call */
	GHashTable *callers; /* call to struct world_caller */
	GPtrArray *runs;     /* struct world_run */
	GHashTable *streams; /* run number to struct world_stream */
	GArray *outputs;     /* struct engine_output not yet handled */

	struct kv_model *kv;
	struct world_kv_mode kv_mode;
	GPtrArray *watches; /* struct world_watch */
	int64_t kv_calls;
};

/* world.c */
void world_post(struct world *world, int64_t at_us, event_callback run,
		void *data, GDestroyNotify destroy);
void world_post_node(struct world *world, int64_t at_us, int32_t node,
		     event_callback run, void *data, GDestroyNotify destroy);
int64_t world_delay_us(struct world *world, int64_t mean_us);
bool world_chance(struct world *world, int32_t permille);
bool world_link_cut(const struct world *world, int32_t from, int32_t to);

/* world_node.c */
void world_nodes_create(struct world *world);
void world_nodes_destroy(struct world *world);
void world_node_step(struct world *world, int32_t node,
		     const struct event *event);

/* world_call.c */
uint64_t world_forward(struct world *world, struct world_attempt *attempt);
void world_caller_answer(struct world *world, struct action *action);
void world_break_callers(struct world *world, int32_t node);
void world_caller_destroy(gpointer data);
void world_caller_close(struct world *world, uint64_t call);

/* world_attempt.c */
struct world_attempt *world_attempt_ref(struct world_attempt *attempt);
void world_attempt_unref(gpointer data);
void world_attempt_send(struct world *world, int32_t node,
			const struct action_attempt_send *send);
void world_attempt_resume(struct world *world, int32_t node,
			  const struct action_attempt_resume *resume);
void world_attempt_cancel(struct world *world, int32_t node,
			  const struct action_attempt_cancel *cancel);
void world_attempt_flow(struct world *world, int32_t node,
			const struct action_attempt_flow *flow);
void world_attempt_started(struct world *world, struct world_attempt *attempt,
			   const char *generation);
void world_attempt_chunk(struct world *world, struct world_attempt *attempt,
			 int64_t first, int64_t count);
void world_attempt_done(struct world *world, struct world_attempt *attempt,
			int64_t token_count);
void world_attempt_answer(struct world *world, struct world_attempt *attempt,
			  int32_t status, const char *content_type,
			  GBytes *body);
void world_attempt_fail(struct world *world, struct world_attempt *attempt,
			enum attempt_stage stage, int64_t delay_us);
void world_attempts_drop(struct world *world, int32_t node);

/* world_endpoint.c */
void world_endpoints_create(struct world *world);
void world_endpoints_destroy(struct world *world);
void world_endpoint_accept(struct world *world, struct world_attempt *attempt);
int32_t world_find_endpoint(const struct world *world, const char *address);
void world_engine_run(struct world *world, int32_t index);
void world_engine_queue_wake(struct world *world,
			     struct world_endpoint *engine);

/* world_stream.c */
struct world_stream *world_find_stream(struct world *world, uint64_t number);
void world_stream_attach(struct world *world, struct world_stream *stream,
			 struct world_attempt *attempt);
void world_stream_resume(struct world *world, struct world_attempt *attempt);
void world_stream_reader_closed(struct world *world,
				struct world_attempt *attempt);
void world_stream_flush(struct world *world, struct world_stream *stream);
void world_stream_queue_flush(struct world *world, struct world_stream *stream);
void world_streams_drop(struct world *world, int32_t endpoint);
void world_stream_destroy(gpointer data);

/* world_load.c */
void world_poll_load(struct world *world, int32_t node, const char *address);

/* world_kv.c */
void world_kv_send(struct world *world, int32_t node,
		   struct kv_request *request);
void world_kv_watch(struct world *world, int32_t node, const char *key);
void world_kv_notify(struct world *world);
void world_watch_destroy(gpointer data);

G_END_DECLS

#endif
