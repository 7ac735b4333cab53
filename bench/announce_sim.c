#include "bench/announce_sim.h"

#include "core/gateway/announce_pace.h"
#include "core/gateway/table_fetch.h"

#include <string.h>

#define STEP_US (25 * 1000) /* tick of the gateway */

/* Cores per node, assigned in turn, as on the users' larger sites. */
static const double cpu_shares[] = {0.12, 0.25, 0.5};

/*
 * Processor time of each operation, in us. A request is a plain call or a
 * generation of some hundred events; in the users' mix, a node spends 0.0164
 * cores on 6.6 requests/s. The times to write and read a record were measured
 * with 8 endpoints in it, on the first implementation. Records are cheaper now,
 * but the bound on announcements must also hold at that cost. A configuration
 * document has 50 routes, which are checked and turned into a table.
 */
#define REQUEST_CPU_US 2000
#define WRITE_CPU_US 35
#define READ_CPU_US 37
#define DOCUMENT_CPU_US 3000

#define RECORD_BYTES 384
#define DOCUMENT_BYTES 20000

/* Changes of a standing per request: placed, prompt read, ended. */
#define CHANGES_PER_REQUEST 3

/* Queues are bounded: a record that arrives at a full queue is dropped. */
#define MAX_QUEUE_RECORDS 4000

/*
 * Latency target of the shortest kind of request; most of it is reserved for
 * the endpoint.
 */
#define LATENCY_TARGET_US (100 * 1000)

/* Time from a change in the store until the node's own watch delivers it. */
#define WATCH_DELAY_US (30 * 1000)

/* Delay between two nodes; not used, records arrive in the same step. */
#define LINK_DELAY_US (1 * 1000)

struct announce_node {
	double cpu_share;
	double backlog_us; /* processor time of the queued work */
	int64_t queued;	   /* records in the backlog */
	struct announce_pace pace;
	int64_t version;
	int64_t version_due_us;	   /* update by its own watch; 0: none */
	int64_t announced_version; /* newest that another node announced */
	size_t announced_by;
	struct table_fetch fetch;
	struct table_copy_limit offer;
	bool changed;
	int64_t announced_us; /* last round, with unbounded_standings */
};

struct sim {
	const struct announce_sim_options *options;
	struct announce_sim_result *result;
	GRand *random;
	struct announce_node *nodes;
	int64_t now_us;
	int64_t version;
	int64_t version_us;
	double announce_cpu_us;
	int64_t bytes;
	int64_t records;
};

/* Sets the defaults: 88 nodes, three times the rate for ten seconds. */
void announce_sim_options_default(struct announce_sim_options *options)
{
	*options = (struct announce_sim_options){
		.node_count = 88,
		.requests_per_s = 2.5,
		.overload = 3,
		.change_us = 500 * 1000,
		.overload_from_us = 10 * G_USEC_PER_SEC,
		.overload_until_us = 20 * G_USEC_PER_SEC,
		.run_us = 40 * G_USEC_PER_SEC,
		.seed = 1,
	};
}

static void charge_work(struct sim *sim, struct announce_node *node, double us)
{
	node->backlog_us += us;
	sim->announce_cpu_us += us;
}

static bool is_overload(const struct sim *sim)
{
	return sim->now_us >= sim->options->overload_from_us &&
	       sim->now_us < sim->options->overload_until_us;
}

/* Counts a request, which waits for all work queued before it. */
static void add_request(struct sim *sim, struct announce_node *node)
{
	int64_t second = sim->now_us / G_USEC_PER_SEC;
	double wait_us = (node->backlog_us + REQUEST_CPU_US) / node->cpu_share;

	sim->result->requests[second]++;
	if (wait_us <= LATENCY_TARGET_US)
		sim->result->in_target[second]++;
	node->backlog_us += REQUEST_CPU_US;
}

static void step_requests(struct sim *sim, struct announce_node *node)
{
	double rate = sim->options->requests_per_s *
		      (is_overload(sim) ? sim->options->overload : 1);
	double per_step = rate * STEP_US / G_USEC_PER_SEC;

	if (g_rand_double(sim->random) < per_step)
		add_request(sim, node);
	if (g_rand_double(sim->random) < per_step * CHANGES_PER_REQUEST)
		node->changed = true;
}

static bool round_is_due(const struct sim *sim, struct announce_node *node)
{
	size_t others = sim->options->node_count - 1;
	int64_t since_us = sim->now_us - node->announced_us;

	if (!sim->options->unbounded_standings)
		return announce_pace_is_due(&node->pace, others, node->changed,
					    sim->now_us);
	if (since_us < (node->changed ? 40 * 1000 : 250 * 1000))
		return false;
	node->announced_us = sim->now_us;
	return true;
}

static void send_document(struct sim *sim, struct announce_node *from,
			  struct announce_node *to)
{
	charge_work(sim, from, WRITE_CPU_US);
	charge_work(sim, to, DOCUMENT_CPU_US);
	sim->bytes += DOCUMENT_BYTES;
	sim->records++;
	to->version = MAX(to->version, from->version);
}

static void receive_record(struct sim *sim, struct announce_node *node,
			   size_t sender)
{
	struct announce_node *from = &sim->nodes[sender];

	if (node->queued >= MAX_QUEUE_RECORDS)
		return;
	node->queued++;
	charge_work(sim, node, READ_CPU_US);
	if (sim->options->all_send_config && from->version < node->version)
		send_document(sim, node, from);
	if (from->version > node->announced_version) {
		node->announced_version = from->version;
		node->announced_by = sender;
	}
}

static void request_document(struct sim *sim, struct announce_node *node)
{
	struct announce_node *other = &sim->nodes[node->announced_by];

	charge_work(sim, node, WRITE_CPU_US);
	charge_work(sim, other, READ_CPU_US);
	sim->records++;
	if (table_copy_limit_take(&other->offer, DOCUMENT_BYTES, sim->now_us))
		send_document(sim, other, node);
}

/*
 * Fetches a configuration that is overdue: the node reads the store again, and
 * then requests the document from another node.
 */
static void step_fetch(struct sim *sim, struct announce_node *node)
{
	struct table_fetch_input input = {
		.now_us = sim->now_us,
		.reaches_store = true,
	};

	if (node->version >= node->announced_version) {
		node->fetch = (struct table_fetch){0};
		return;
	}
	if (sim->options->all_send_config)
		return;
	switch (table_fetch_decide(&node->fetch, &input)) {
	case TABLE_FETCH_WAIT:
		break;
	case TABLE_FETCH_READ_STORE:
		node->version_due_us = 0;
		break;
	case TABLE_FETCH_ASK_NODE:
		request_document(sim, node);
		break;
	}
}

static void step_announcing(struct sim *sim, size_t i)
{
	struct announce_node *node = &sim->nodes[i];

	if (!round_is_due(sim, node))
		return;
	node->changed = false;
	for (size_t k = 0; k < sim->options->node_count; k++) {
		if (k == i)
			continue;
		charge_work(sim, node, WRITE_CPU_US);
		sim->bytes += RECORD_BYTES;
		sim->records++;
		receive_record(sim, &sim->nodes[k], i);
	}
}

/* Delivers a watch update after its delay and the work queued before it. */
static void step_watch(struct sim *sim, struct announce_node *node)
{
	int64_t stale_us;

	if (node->version == sim->version)
		return;
	stale_us = sim->now_us - sim->version_us;
	sim->result->longest_stale_us =
		MAX(sim->result->longest_stale_us, stale_us);
	if (!node->version_due_us)
		node->version_due_us =
			sim->now_us + WATCH_DELAY_US +
			(int64_t)(node->backlog_us / node->cpu_share);
	if (sim->now_us < node->version_due_us)
		return;
	node->version_due_us = 0;
	node->version = sim->version;
	node->changed = true;
	charge_work(sim, node, DOCUMENT_CPU_US);
}

static void step_processor(struct announce_node *node)
{
	double done_us = MIN(node->backlog_us, node->cpu_share * STEP_US);

	if (node->backlog_us > 0)
		node->queued -= (int64_t)((double)node->queued * done_us /
					  node->backlog_us);
	node->backlog_us -= done_us;
}

static void step_config_change(struct sim *sim)
{
	int64_t change_us = sim->options->change_us;

	if (!change_us || sim->now_us - sim->version_us < change_us ||
	    !is_overload(sim))
		return;
	sim->version++;
	sim->version_us = sim->now_us;
}

static void announce_sim_init(struct sim *sim)
{
	size_t count = sim->options->node_count;

	sim->random = g_rand_new_with_seed((guint32)sim->options->seed);
	sim->nodes = g_new0(struct announce_node, count);
	for (size_t i = 0; i < count; i++) {
		struct announce_node *node = &sim->nodes[i];

		node->cpu_share = cpu_shares[i % G_N_ELEMENTS(cpu_shares)];
		node->announced_us = g_rand_int_range(sim->random, 0, 250000);
		announce_pace_init(&node->pace, node->announced_us);
	}
}

static void announce_sim_clear(struct sim *sim)
{
	g_free(sim->nodes);
	g_rand_free(sim->random);
}

static void announce_sim_average(struct sim *sim)
{
	double node_s = (double)sim->options->node_count *
			(double)sim->options->run_us / G_USEC_PER_SEC;

	sim->result->cores = sim->announce_cpu_us / G_USEC_PER_SEC / node_s;
	sim->result->bytes_per_s = (double)sim->bytes / node_s;
	sim->result->records_per_s = (double)sim->records / node_s;
}

/* Runs the simulation and fills in result; a seed gives the same result. */
void announce_sim_run(const struct announce_sim_options *options,
		      struct announce_sim_result *result)
{
	struct sim sim = {.options = options, .result = result};

	memset(result, 0, sizeof(*result));
	announce_sim_init(&sim);
	for (; sim.now_us < options->run_us; sim.now_us += STEP_US) {
		step_config_change(&sim);
		for (size_t i = 0; i < options->node_count; i++) {
			step_watch(&sim, &sim.nodes[i]);
			step_fetch(&sim, &sim.nodes[i]);
			step_requests(&sim, &sim.nodes[i]);
			step_announcing(&sim, i);
		}
		for (size_t i = 0; i < options->node_count; i++)
			step_processor(&sim.nodes[i]);
	}
	announce_sim_average(&sim);
	announce_sim_clear(&sim);
}

/*
 * Returns the share of requests within their latency target, of those that
 * arrived from from_s until before until_s; 1 if there were none.
 */
double announce_sim_share_in_target(const struct announce_sim_result *result,
				    int64_t from_s, int64_t until_s)
{
	int64_t requests = 0, in_target = 0;

	for (int64_t second = from_s; second < until_s; second++) {
		requests += result->requests[second];
		in_target += result->in_target[second];
	}
	return requests ? (double)in_target / (double)requests : 1;
}
