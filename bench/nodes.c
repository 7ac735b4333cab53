#include "bench/nodes.h"
#include "bench/world.h"
#include "core/placement/home.h"

#include <string.h>

#define NODES 8
#define ENGINES 10
#define PLAIN_ENDPOINTS 3
#define PLAIN_SLOTS 16
#define PLAIN_SERVICE_US 120000
/* Callers start once the nodes have discovered each other. */
#define START_US (5 * G_USEC_PER_SEC)
#define CHUNK_US (200 * 1000)
#define MAX_SENDS 4
#define RECLAIM_NOTICE_US (10 * G_USEC_PER_SEC)
#define FAULT_DURATION_US (60 * G_USEC_PER_SEC)
#define ENGINE_STALL_US (20 * G_USEC_PER_SEC)
#define HOME_PAUSE_US (15 * G_USEC_PER_SEC)
#define SLOWDOWN_FACTOR 4.0
#define LOAD_LAG_US (5 * G_USEC_PER_SEC)

/* A caller's request and its outcome over all the calls that it takes. */
struct caller {
	struct flow flow;
	struct request *request;
	int32_t node;
	int32_t sends;
	uint64_t run_number; /* of the run that generated its tokens */
	char *last_event_id;
};

struct nodes {
	const struct scenario *scenario;
	struct world *world;
	GArray *items;
	struct caller *callers;
	GHashTable *caller_by_call; /* call -> struct caller */
	GRand *rand;
	struct measure measure;
	guint next_item;
	int32_t lost_node; /* node to restart when the fault ends */
};

static const char *const portal_path = "/status";

static int64_t nodes_now_us(const struct nodes *nodes)
{
	return world_now_us(nodes->world) - START_US;
}

static int32_t nodes_pick_live(const struct nodes *nodes)
{
	int32_t node = g_rand_int_range(nodes->rand, 0, NODES);

	while (!world_node_alive(nodes->world, node))
		node = (node + 1) % NODES;
	return node;
}

static struct request *item_create_request(const struct workload_item *item)
{
	const char *name = workload_organisation_name(item->organisation);
	struct request *request;
	char *body;

	request = request_create(item->kind == WORKLOAD_PLAIN
					 ? REQUEST_PLAIN
					 : REQUEST_GENERATION);
	request->bearer = g_strdup(name);
	request->organisation = g_strdup(name);
	request->priority = item->priority;
	request->deadline_in_us = item->deadline_us;
	if (item->kind == WORKLOAD_PLAIN) {
		request->service = g_strdup("portal");
		request->method = g_strdup("GET");
		request->path = g_strdup(portal_path);
		return request;
	}
	request->service = g_strdup("model");
	request->stream = true;
	request->prompt_tokens = item->prompt_tokens;
	request->prefix_hash = item->prefix_hash;
	request->true_tokens = item->output_tokens;
	body = g_strdup_printf("{\"prompt\":\"[[tokens=%" G_GINT64_FORMAT
			       "]] %" G_GINT64_FORMAT "\"}",
			       item->output_tokens, item->at_us);
	g_bytes_unref(request->body);
	request->body = g_bytes_new_take(body, strlen(body));
	return request;
}

static struct request *caller_create_resume(const struct caller *caller)
{
	struct request *request = request_create(REQUEST_RESUME);

	request->stream = true;
	request->bearer = g_strdup(caller->request->bearer);
	request->organisation = g_strdup(caller->request->organisation);
	request->service = g_strdup(caller->request->service);
	request->last_event_id = g_strdup(caller->last_event_id);
	return request;
}

static void nodes_send(struct nodes *nodes, struct caller *caller)
{
	struct request *request = caller->last_event_id
					  ? caller_create_resume(caller)
					  : request_ref(caller->request);
	uint64_t *call = g_new(uint64_t, 1);

	caller->sends++;
	caller->node = nodes_pick_live(nodes);
	*call = world_call(nodes->world, caller->node, request);
	g_hash_table_insert(nodes->caller_by_call, call, caller);
	request_unref(request);
}

static void nodes_finish_request(struct nodes *nodes, struct caller *caller,
				 enum flow_end end, enum refusal refusal)
{
	if (caller->flow.end != FLOW_OPEN)
		return;
	caller->flow.end = end;
	caller->flow.refusal = refusal;
	caller->flow.last_us = nodes_now_us(nodes);
	g_clear_pointer(&caller->last_event_id, g_free);
}

static void nodes_on_answer(void *data, uint64_t call,
			    const struct action *action)
{
	struct nodes *nodes = data;
	struct caller *caller =
		g_hash_table_lookup(nodes->caller_by_call, &call);

	if (!caller || caller->flow.end != FLOW_OPEN)
		return;
	switch (action->type) {
	case ACTION_CALL_ANSWER:
		nodes_finish_request(nodes, caller,
				     action->answer.status < 300 ? FLOW_COMPLETE
								 : FLOW_BROKEN,
				     REFUSAL_NONE);
		break;
	case ACTION_CALL_REFUSE:
		nodes_finish_request(nodes, caller, FLOW_REFUSED,
				     action->refuse.refusal);
		break;
	case ACTION_CALL_CHUNK:
		g_free(caller->last_event_id);
		caller->last_event_id = g_strdup(action->chunk.event_id);
		break;
	case ACTION_CALL_END:
		nodes_finish_request(nodes, caller,
				     action->end.refusal == REFUSAL_NONE
					     ? FLOW_COMPLETE
					     : FLOW_BROKEN,
				     action->end.refusal);
		break;
	default:
		break;
	}
}

/*
 * The connection to the node broke or could not be opened. The caller resumes
 * its stream at another node, or repeats its request if it has received no
 * event, until it has sent MAX_SENDS times.
 */
static void nodes_on_connection_lost(void *data, uint64_t call,
				     G_GNUC_UNUSED bool connected)
{
	struct nodes *nodes = data;
	struct caller *caller =
		g_hash_table_lookup(nodes->caller_by_call, &call);

	if (!caller || caller->flow.end != FLOW_OPEN)
		return;
	if (caller->sends >= MAX_SENDS)
		nodes_finish_request(nodes, caller, FLOW_BROKEN, REFUSAL_NONE);
	else
		nodes_send(nodes, caller);
}

static void nodes_on_engine_output(void *data, const struct world_run *run,
				   const struct engine_output *output)
{
	struct nodes *nodes = data;
	struct caller *caller =
		g_hash_table_lookup(nodes->caller_by_call, &run->call);

	if (!caller || output->type != ENGINE_TOKENS)
		return;
	if (caller->run_number != run->number) {
		caller->run_number = run->number;
		caller->flow.tokens = 0;
		caller->flow.stall_us = 0;
	}
	measure_add_tokens(&nodes->measure, &caller->flow, output->token_count,
			   output->at_us - START_US);
}

static void nodes_send_next(struct world *world, void *data)
{
	struct nodes *nodes = data;
	const struct workload_item *item;

	nodes_send(nodes, &nodes->callers[nodes->next_item++]);
	if (nodes->next_item >= nodes->items->len)
		return;
	item = &g_array_index(nodes->items, struct workload_item,
			      nodes->next_item);
	world_schedule(world, item->at_us + START_US, nodes_send_next, nodes);
}

/* Returns the home of the engines, by the rule that the nodes apply. */
static int32_t nodes_find_home(const struct nodes *nodes)
{
	int32_t best = 0;
	uint64_t best_hash = 0;

	for (int32_t i = 0; i < NODES; i++) {
		char name[16];
		uint64_t hash;

		g_snprintf(name, sizeof(name), "n%d", i);
		hash = home_hash(name, "model", 0);
		if (world_node_alive(nodes->world, i) && hash > best_hash) {
			best = i;
			best_hash = hash;
		}
	}
	return best;
}

static void nodes_end_fault(struct world *world, void *data)
{
	struct nodes *nodes = data;
	const struct world_kv_mode available = {0};

	switch (nodes->scenario->fault) {
	case FAULT_CRASH:
		world_restart_endpoint(world, 0);
		break;
	case FAULT_RECLAIM:
		world_crash_endpoint(world, 0);
		world_crash_endpoint(world, 1);
		break;
	case FAULT_SLOW:
		world_set_slowdown(world, 0, 1);
		break;
	case FAULT_HOME_LOST:
		world_start_node(world, nodes->lost_node);
		break;
	case FAULT_KV_OUTAGE:
		world_set_kv_mode(world, &available);
		break;
	default:
		break;
	}
}

static void nodes_begin_fault(struct world *world, void *data)
{
	struct nodes *nodes = data;
	const struct world_kv_mode outage = {.refused = true};
	int64_t now_us = world_now_us(world);
	int32_t home = nodes_find_home(nodes);

	switch (nodes->scenario->fault) {
	case FAULT_CRASH:
		world_crash_endpoint(world, 0);
		break;
	case FAULT_RECLAIM:
		world_set_leaving(world, 0, true, true);
		world_set_leaving(world, 1, true, true);
		break;
	case FAULT_STALL:
		world_stall_endpoint(world, 0, now_us + ENGINE_STALL_US);
		break;
	case FAULT_SLOW:
		world_set_slowdown(world, 0, SLOWDOWN_FACTOR);
		break;
	case FAULT_NODE_LOST:
		world_kill_node(world, (home + 1) % NODES);
		break;
	case FAULT_HOME_LOST:
		nodes->lost_node = home;
		world_kill_node(world, home);
		break;
	case FAULT_HOME_PAUSED:
		world_pause_node(world, home, now_us + HOME_PAUSE_US);
		break;
	case FAULT_KV_OUTAGE:
		world_set_kv_mode(world, &outage);
		break;
	case FAULT_NONE:
	case FAULT_LATE_LOAD:
	case FAULT_WRONG_LOAD:
	case FAULTS:
		break;
	}
}

static void nodes_schedule_fault(struct nodes *nodes)
{
	int64_t duration_us = nodes->scenario->fault == FAULT_RECLAIM
				      ? RECLAIM_NOTICE_US
				      : FAULT_DURATION_US;

	world_schedule(nodes->world, START_US + SCENARIO_MID_US,
		       nodes_begin_fault, nodes);
	world_schedule(nodes->world, START_US + SCENARIO_MID_US + duration_us,
		       nodes_end_fault, nodes);
}

static void nodes_configure(const struct nodes *nodes)
{
	struct config *config = world_create_config(nodes->world);
	const struct config_service *portal =
		config_find_service(config, "portal");

	for (guint i = 0; i < portal->endpoints->len; i++) {
		struct config_endpoint *endpoint =
			g_ptr_array_index(portal->endpoints, i);

		endpoint->slots = PLAIN_SLOTS;
	}
	for (int32_t i = 0; i < WORKLOAD_ORGANISATIONS; i++)
		world_add_organisation(config, workload_organisation_name(i))
			->weight = workload_organisation_weight(i);
	world_put_config(nodes->world, config);
	config_unref(config);
}

static void nodes_create_world(struct nodes *nodes, enum bench_policy policy,
			       uint64_t seed)
{
	struct world_listener listener = {
		.answered = nodes_on_answer,
		.broken = nodes_on_connection_lost,
		.engine_output = nodes_on_engine_output,
		.data = nodes,
	};
	struct world_options options;

	world_options_default(&options);
	options.seed = seed;
	options.node_count = NODES;
	options.engine_count = ENGINES;
	options.plain_count = PLAIN_ENDPOINTS;
	options.plain_us = PLAIN_SERVICE_US;
	options.chunk_us = CHUNK_US;
	options.node.policy = bench_policy_placement(policy);
	if (policy == BENCH_NAIVE)
		options.node.retry_percent = 1000;
	if (policy == BENCH_SHARES)
		options.node.placement = NODE_PLACEMENT_SHARES;
	if (nodes->scenario->fault == FAULT_LATE_LOAD)
		options.engine.load_lag_us = LOAD_LAG_US;
	nodes->world = world_create(&options, &listener);
}

static void nodes_create(struct nodes *nodes, const struct scenario *scenario,
			 enum bench_policy policy, uint64_t seed)
{
	struct workload_options workload;

	memset(nodes, 0, sizeof(*nodes));
	nodes->scenario = scenario;
	scenario_fill_workload(scenario, seed, &workload);
	nodes->items = workload_generate(&workload);
	nodes->callers = g_new0(struct caller, nodes->items->len);
	for (guint i = 0; i < nodes->items->len; i++) {
		const struct workload_item *item =
			&g_array_index(nodes->items, struct workload_item, i);

		nodes->callers[i].flow.item = item;
		nodes->callers[i].request = item_create_request(item);
	}
	nodes->caller_by_call = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	nodes->rand = g_rand_new_with_seed((guint32)seed);
	measure_init(&nodes->measure, SCENARIO_WARMUP_US, SCENARIO_END_US);
	nodes_create_world(nodes, policy, seed);
	nodes_configure(nodes);
	world_schedule(nodes->world, START_US, nodes_send_next, nodes);
	if (scenario->fault != FAULT_NONE)
		nodes_schedule_fault(nodes);
}

static void nodes_count_runs(struct nodes *nodes)
{
	const GPtrArray *runs = world_runs(nodes->world);

	for (guint i = 0; i < runs->len; i++) {
		const struct world_run *run = g_ptr_array_index(runs, i);
		struct caller *caller =
			g_hash_table_lookup(nodes->caller_by_call, &run->call);

		if (!caller)
			continue;
		if (caller->flow.attempts++ == 0)
			caller->flow.placed_us = run->at_us - START_US;
	}
	for (int32_t i = 0; i < NODES; i++) {
		struct node *node = world_node(nodes->world, i);

		if (node)
			nodes->measure.sent_attempts +=
				(int64_t)node_counters(node)
					->value[COUNTER_ATTEMPTS];
	}
	for (int32_t i = 0; i < ENGINES; i++) {
		const struct engine_totals *totals =
			engine_model_totals(world_engine(nodes->world, i));

		nodes->measure.preemptions += totals->preemptions;
		nodes->measure.recomputed_tokens += totals->recomputed_tokens;
	}
}

static void nodes_clear(struct nodes *nodes)
{
	world_destroy(nodes->world);
	for (guint i = 0; i < nodes->items->len; i++) {
		request_unref(nodes->callers[i].request);
		g_free(nodes->callers[i].last_event_id);
	}
	g_free(nodes->callers);
	g_hash_table_unref(nodes->caller_by_call);
	g_array_unref(nodes->items);
	g_rand_free(nodes->rand);
	measure_clear(&nodes->measure);
}

static bool nodes_has_open_request(const struct nodes *nodes)
{
	for (guint i = 0; i < nodes->items->len; i++)
		if (nodes->callers[i].flow.end == FLOW_OPEN)
			return true;
	return false;
}

/*
 * Runs a scenario on eight complete nodes, with their membership, homes, peer
 * messages and the key-value service, in front of the same engine models as
 * direct_run. A caller whose node is lost continues at another node. Fills in
 * all figures of the run.
 */
void nodes_run(const struct scenario *scenario, enum bench_policy policy,
	       uint64_t seed, double figures[FIGURES])
{
	struct nodes *nodes = g_new(struct nodes, 1);
	int64_t until_us = START_US + SCENARIO_END_US;

	nodes_create(nodes, scenario, policy, seed);
	world_run_until(nodes->world, until_us);
	while (nodes_has_open_request(nodes) &&
	       until_us < START_US + SCENARIO_END_US + SCENARIO_DRAIN_US) {
		until_us += G_USEC_PER_SEC;
		world_run_until(nodes->world, until_us);
	}
	nodes_count_runs(nodes);
	for (guint i = 0; i < nodes->items->len; i++)
		measure_add_request(&nodes->measure, &nodes->callers[i].flow);
	measure_figures(&nodes->measure,
			scenario->fault == FAULT_NONE ? 0 : SCENARIO_MID_US,
			figures);
	nodes_clear(nodes);
	g_free(nodes);
}
