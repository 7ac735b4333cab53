#include "bench/world_state.h"

/* How homes ask endpoints for their load. */

#define LOAD_TIMEOUT_US G_USEC_PER_SEC /* as in the daemon */

struct load_poll {
	int32_t node;
	int32_t endpoint;
	struct event event;
};

static void load_arrive(struct world *world, void *data)
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

static void load_asked(struct world *world, void *data)
{
	const struct load_poll *asked = data;
	const struct world_endpoint *endpoint =
		&world->endpoints[asked->endpoint];
	int32_t party = world_party_endpoint(world, asked->endpoint);
	struct load_poll *poll = g_memdup2(asked, sizeof(*asked));
	int64_t delay_us =
		world_delay_us(world, world->options.endpoint_delay_us);

	poll->event.load.reached =
		endpoint->alive &&
		endpoint->stalled_until_us <= world->now_us &&
		!world_link_cut(world, asked->node, party) &&
		!world_link_cut(world, party, asked->node);
	if (poll->event.load.reached)
		endpoint_report(world, asked->endpoint,
				&poll->event.load.report);
	else if (endpoint->alive)
		delay_us += LOAD_TIMEOUT_US;
	world_post_node(world, world->now_us + delay_us, asked->node,
			load_arrive, poll, g_free);
}

/* ACTION_POLL_LOAD */
void world_poll_load(struct world *world, int32_t node, const char *address)
{
	int32_t endpoint = world_find_endpoint(world, address);
	struct load_poll *poll;

	if (endpoint == NOT_BOUND)
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
		load_asked, poll, g_free);
}
