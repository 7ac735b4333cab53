#include "bench/world_state.h"

/* Load reports that homes request from endpoints. */

#define LOAD_TIMEOUT_US G_USEC_PER_SEC /* same as in the daemon */

/* A request for a load report, then its answer, in transit. */
struct load_poll {
	int32_t node;
	int32_t endpoint;
	struct event event;
};

static void load_answer_arrive(struct world *world, void *data)
{
	const struct load_poll *poll = data;

	world_node_step(world, poll->node, &poll->event);
}

static void endpoint_report(struct world *world, int32_t index,
			    struct load_report *report)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	if (endpoint->is_engine) {
		world_engine_run(world, index);
		engine_model_report(endpoint->model, world->now_us, report);
	} else {
		report->reported_at_us = world->now_us;
		report->running = endpoint->open->len;
		report->waiting = -1;
		report->tokens_used = -1;
		report->tokens_capacity = -1;
		report->preemptions_total = -1;
	}
	report->leaving = endpoint->leaving;
}

static void load_request_arrive(struct world *world, void *data)
{
	const struct load_poll *request = data;
	const struct world_endpoint *endpoint =
		&world->endpoints[request->endpoint];
	int32_t party = world_party_endpoint(world, request->endpoint);
	struct load_poll *poll = g_memdup2(request, sizeof(*request));
	int64_t delay_us =
		world_delay_us(world, world->options.endpoint_delay_us);

	bool is_cut = world_link_cut(world, request->node, party) ||
		      world_link_cut(world, party, request->node);

	poll->event.load.is_refused = !endpoint->alive || is_cut;
	poll->event.load.reached = !poll->event.load.is_refused &&
				   endpoint->stalled_until_us <= world->now_us;
	if (poll->event.load.reached)
		endpoint_report(world, request->endpoint,
				&poll->event.load.report);
	else if (endpoint->alive)
		delay_us += LOAD_TIMEOUT_US;
	world_post_node(world, world->now_us + delay_us, request->node,
			load_answer_arrive, poll, g_free);
}

/* Executes ACTION_POLL_LOAD; an unknown address is ignored. */
void world_poll_load(struct world *world, int32_t node, const char *address)
{
	int32_t endpoint = world_find_endpoint(world, address);
	struct load_poll *poll;

	if (endpoint == INDEX_NONE)
		return;
	poll = g_new0(struct load_poll, 1);
	poll->node = node;
	poll->endpoint = endpoint;
	poll->event.type = EVENT_LOAD;
	poll->event.load.endpoint = world->endpoints[endpoint].address;
	world_post(
		world,
		world->now_us +
			world_delay_us(world, world->options.endpoint_delay_us),
		load_request_arrive, poll, g_free);
}
