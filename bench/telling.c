#include "bench/telling.h"

#include "core/gateway/standing_pace.h"
#include "core/gateway/table_fetch.h"

#include <string.h>

#define STEP_US (25 * 1000) /* as the gateway's own tick */

/* Shares of a core that nodes have in turn, as on the users' larger sites. */
static const double shares[] = {0.12, 0.25, 0.5};

/*
 * Processor time of each kind of work, in us. A request is a call or a
 * generation of some hundred events, mixed as the users' are: 0.0164 cores at
 * 6.6 requests/s of a node. Records of 8 endpoints as they were first measured;
 * they have become cheaper, but a bound has to hold where they are dear. A
 * document of 50 routes is checked and turned into a table.
 */
#define REQUEST_US 2000
#define WRITE_US 35
#define READ_US 37
#define DOCUMENT_US 3000

#define RECORD_BYTES 384
#define DOCUMENT_BYTES 20000

/* Standings that a request brings about: placed, prompt read, ended. */
#define CHANGES_A_REQUEST 3

/* What is read later than this was dropped before: queues are bounded. */
#define MAX_QUEUE_RECORDS 4000

/* The aim of the shortest kind of request, most of it left for the endpoint. */
#define AIM_US (100 * 1000)

/* A node's own watch of the store tells it of a change after so long. */
#define WATCH_US (30 * 1000)

/* From one node to another. */
#define LINK_US (1 * 1000)

struct telling_node {
	double share;
	double backlog_us; /* processor time of what waits */
	int64_t queued;	   /* records among it */
	struct standing_pace pace;
	int64_t version;
	int64_t version_due_us; /* its own watch; 0: nothing new */
	int64_t heard_version;	/* the newest that another has */
	size_t heard_from;
	struct table_fetch fetch;
	struct table_offer offer;
	bool changed;
	int64_t told_us; /* the last round, without the bound */
};

struct telling {
	const struct telling_options *options;
	struct telling_result *result;
	GRand *random;
	struct telling_node *nodes;
	int64_t now_us;
	int64_t version;
	int64_t version_us;
	double telling_us;
	int64_t bytes;
	int64_t records;
};

/* 88 nodes that are pushed to three times their load for ten seconds. */
void telling_options_default(struct telling_options *options)
{
	*options = (struct telling_options){
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

static void work(struct telling *telling, struct telling_node *node, double us)
{
	node->backlog_us += us;
	telling->telling_us += us;
}

static bool is_overload(const struct telling *telling)
{
	return telling->now_us >= telling->options->overload_from_us &&
	       telling->now_us < telling->options->overload_until_us;
}

/* A request waits for the work that came before it. */
static void arrive(struct telling *telling, struct telling_node *node)
{
	int64_t second = telling->now_us / G_USEC_PER_SEC;
	double wait_us = (node->backlog_us + REQUEST_US) / node->share;

	telling->result->requests[second]++;
	if (wait_us <= AIM_US)
		telling->result->in_aim[second]++;
	node->backlog_us += REQUEST_US;
}

static void step_requests(struct telling *telling, struct telling_node *node)
{
	double rate = telling->options->requests_per_s *
		      (is_overload(telling) ? telling->options->overload : 1);
	double a_step = rate * STEP_US / G_USEC_PER_SEC;

	if (g_rand_double(telling->random) < a_step)
		arrive(telling, node);
	if (g_rand_double(telling->random) < a_step * CHANGES_A_REQUEST)
		node->changed = true;
}

static bool round_is_due(const struct telling *telling,
			 struct telling_node *node)
{
	size_t others = telling->options->node_count - 1;
	int64_t since_us = telling->now_us - node->told_us;

	if (!telling->options->unbounded_standings)
		return standing_pace_is_due(&node->pace, others, node->changed,
					    telling->now_us);
	if (since_us < (node->changed ? 40 * 1000 : 250 * 1000))
		return false;
	node->told_us = telling->now_us;
	return true;
}

static void send_document(struct telling *telling, struct telling_node *from,
			  struct telling_node *to)
{
	work(telling, from, WRITE_US);
	work(telling, to, DOCUMENT_US);
	telling->bytes += DOCUMENT_BYTES;
	telling->records++;
	to->version = MAX(to->version, from->version);
}

static void hear(struct telling *telling, struct telling_node *node,
		 size_t teller)
{
	struct telling_node *from = &telling->nodes[teller];

	if (node->queued >= MAX_QUEUE_RECORDS)
		return;
	node->queued++;
	work(telling, node, READ_US);
	if (telling->options->all_help && from->version < node->version)
		send_document(telling, node, from);
	if (from->version > node->heard_version) {
		node->heard_version = from->version;
		node->heard_from = teller;
	}
}

static void ask(struct telling *telling, struct telling_node *node)
{
	struct telling_node *other = &telling->nodes[node->heard_from];

	work(telling, node, WRITE_US);
	work(telling, other, READ_US);
	telling->records++;
	if (table_offer_take(&other->offer, DOCUMENT_BYTES, telling->now_us))
		send_document(telling, other, node);
}

/* A watch that is late is read anew, then another node is asked. */
static void step_fetch(struct telling *telling, struct telling_node *node)
{
	struct table_fetch_input input = {
		.now_us = telling->now_us,
		.reaches_store = true,
	};

	if (node->version >= node->heard_version) {
		node->fetch = (struct table_fetch){0};
		return;
	}
	if (telling->options->all_help)
		return;
	switch (table_fetch_decide(&node->fetch, &input)) {
	case TABLE_FETCH_WAIT:
		break;
	case TABLE_FETCH_READ_STORE:
		node->version_due_us = 0;
		break;
	case TABLE_FETCH_ASK_NODE:
		ask(telling, node);
		break;
	}
}

static void step_telling(struct telling *telling, size_t i)
{
	struct telling_node *node = &telling->nodes[i];

	if (!round_is_due(telling, node))
		return;
	node->changed = false;
	for (size_t k = 0; k < telling->options->node_count; k++) {
		if (k == i)
			continue;
		work(telling, node, WRITE_US);
		telling->bytes += RECORD_BYTES;
		telling->records++;
		hear(telling, &telling->nodes[k], i);
	}
}

/* A watch is read when the processor comes to it. */
static void step_watch(struct telling *telling, struct telling_node *node)
{
	int64_t stale_us;

	if (node->version == telling->version)
		return;
	stale_us = telling->now_us - telling->version_us;
	telling->result->longest_stale =
		MAX(telling->result->longest_stale, stale_us);
	if (!node->version_due_us)
		node->version_due_us =
			telling->now_us + WATCH_US +
			(int64_t)(node->backlog_us / node->share);
	if (telling->now_us < node->version_due_us)
		return;
	node->version_due_us = 0;
	node->version = telling->version;
	node->changed = true;
	work(telling, node, DOCUMENT_US);
}

static void step_processor(struct telling_node *node)
{
	double done_us = MIN(node->backlog_us, node->share * STEP_US);

	if (node->backlog_us > 0)
		node->queued -= (int64_t)((double)node->queued * done_us /
					  node->backlog_us);
	node->backlog_us -= done_us;
}

static void step_change(struct telling *telling)
{
	int64_t change_us = telling->options->change_us;

	if (!change_us || telling->now_us - telling->version_us < change_us ||
	    !is_overload(telling))
		return;
	telling->version++;
	telling->version_us = telling->now_us;
}

static void telling_init(struct telling *telling)
{
	size_t count = telling->options->node_count;

	telling->random = g_rand_new_with_seed((guint32)telling->options->seed);
	telling->nodes = g_new0(struct telling_node, count);
	for (size_t i = 0; i < count; i++) {
		struct telling_node *node = &telling->nodes[i];

		node->share = shares[i % G_N_ELEMENTS(shares)];
		node->told_us = g_rand_int_range(telling->random, 0, 250000);
		standing_pace_init(&node->pace, node->told_us);
	}
}

static void telling_clear(struct telling *telling)
{
	g_free(telling->nodes);
	g_rand_free(telling->random);
}

static void telling_figures(struct telling *telling)
{
	double node_s = (double)telling->options->node_count *
			(double)telling->options->run_us / G_USEC_PER_SEC;

	telling->result->cores = telling->telling_us / G_USEC_PER_SEC / node_s;
	telling->result->bytes_per_s = (double)telling->bytes / node_s;
	telling->result->records_per_s = (double)telling->records / node_s;
}

/* Plays the run; the same seed gives the same result. */
void telling_run(const struct telling_options *options,
		 struct telling_result *result)
{
	struct telling telling = {.options = options, .result = result};

	memset(result, 0, sizeof(*result));
	telling_init(&telling);
	for (; telling.now_us < options->run_us; telling.now_us += STEP_US) {
		step_change(&telling);
		for (size_t i = 0; i < options->node_count; i++) {
			step_watch(&telling, &telling.nodes[i]);
			step_fetch(&telling, &telling.nodes[i]);
			step_requests(&telling, &telling.nodes[i]);
			step_telling(&telling, i);
		}
		for (size_t i = 0; i < options->node_count; i++)
			step_processor(&telling.nodes[i]);
	}
	telling_figures(&telling);
	telling_clear(&telling);
}

/* The share of requests within their aim, of those of some seconds. */
double telling_in_aim(const struct telling_result *result, int64_t from_s,
		      int64_t until_s)
{
	int64_t requests = 0, in_aim = 0;

	for (int64_t second = from_s; second < until_s; second++) {
		requests += result->requests[second];
		in_aim += result->in_aim[second];
	}
	return requests ? (double)in_aim / (double)requests : 1;
}
