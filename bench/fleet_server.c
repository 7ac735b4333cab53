#include "bench/fleet_state.h"

#include <string.h>

/*
 * An engine leaves NOTICE_MIN_US to NOTICE_MIN_US + NOTICE_SPREAD_US after its
 * notice. Its replacement starts REPLACE_DELAY_US after it has left.
 */
#define NOTICE_MIN_US 1500000
#define NOTICE_SPREAD_US 600000
#define REPLACE_DELAY_US 4000000
#define DOMAINS 3

/* The gateway's registry entry of a server. */
struct endpoint *fleet_endpoint(struct fleet *fleet,
				const struct fleet_server *server)
{
	return registry_find(fleet->registry, server->id);
}

/* Whether a server runs, under notice or not; NULL: false. */
bool fleet_server_serves(const struct fleet_server *server)
{
	return server && server->engine;
}

/* The server of an endpoint, which may be NULL; NULL: not found. */
struct fleet_server *fleet_server_of(const struct fleet *fleet,
				     const struct endpoint *endpoint)
{
	for (guint i = 0; endpoint && i < fleet->servers->len; i++) {
		struct fleet_server *server =
			g_ptr_array_index(fleet->servers, i);

		if (strcmp(server->id, endpoint->last_registration->id) == 0)
			return server;
	}
	return NULL;
}

/* Adds to the gateway's own load of a server; negative to subtract. */
void fleet_add_load(struct fleet *fleet, const struct fleet_server *server,
		    int32_t requests, int64_t tokens, int64_t unread)
{
	struct endpoint *endpoint = fleet_endpoint(fleet, server);

	endpoint->own.requests += requests;
	endpoint->own.tokens += tokens;
	endpoint->own.unread_tokens += unread;
}

static void register_server(struct fleet *fleet,
			    const struct fleet_server *server)
{
	const struct registration said = {
		.id = (char *)server->id,
		.service = (char *)SERVICE,
		.address = (char *)server->id,
		.failure_domain = (char *)server->domain,
		.slots = fleet->options.slots,
		.position = ++fleet->revision,
		.is_leaving = server->notice_us != 0,
		.is_removed = !server->engine,
	};

	registry_apply(fleet->registry, &said, false, fleet->now_us);
}

/* Starts an engine of random speed and registers it. */
void fleet_start_server(struct fleet *fleet)
{
	const struct fleet_engine_options options = {
		.memory_tokens = fleet->options.memory_tokens,
		.slots = fleet->options.slots,
		.speed = 1 + 0.3 * g_rand_double(fleet->faults),
	};
	struct fleet_server *server = g_new0(struct fleet_server, 1);
	int32_t number = fleet->started_count++;

	g_snprintf(server->id, sizeof(server->id), "e%d", number);
	g_snprintf(server->domain, sizeof(server->domain), "%c",
		   'a' + number % DOMAINS);
	server->engine = fleet_engine_create(&options, fleet->now_us);
	g_ptr_array_add(fleet->servers, server);
	register_server(fleet, server);
}

/*
 * Stops an engine with its runs and plans its replacement. Takeovers requested
 * from it fail; those whose old engine is already released lose the generation.
 */
static void stop_server(struct fleet *fleet, struct fleet_server *server)
{
	fleet->result->preemptions += fleet_engine_preemptions(server->engine);
	fleet->result->recomputed_tokens +=
		fleet_engine_recomputed_tokens(server->engine);
	fleet_engine_destroy(g_steal_pointer(&server->engine));
	register_server(fleet, server);
	for (size_t i = 0; i < G_N_ELEMENTS(fleet->replace_us); i++) {
		if (fleet->replace_us[i])
			continue;
		fleet->replace_us[i] = fleet->now_us + REPLACE_DELAY_US;
		break;
	}
	for (guint i = fleet->generations->len; i-- > 0;) {
		struct fleet_generation *generation =
			g_ptr_array_index(fleet->generations, i);

		if (generation->asked_server != server)
			continue;
		fleet_add_load(fleet, server, -1,
			       -generation->asked_load_tokens, 0);
		generation->asked_server = NULL;
		if (!generation->server && !fleet_return(fleet, generation))
			fleet_lose(fleet, generation);
	}
}

static struct fleet_server *random_server(struct fleet *fleet)
{
	for (int tries = 0; tries < 100; tries++) {
		struct fleet_server *server = g_ptr_array_index(
			fleet->servers,
			(guint)g_rand_int_range(fleet->faults, 0,
						(gint32)fleet->servers->len));

		if (server->engine && !server->notice_us)
			return server;
	}
	return NULL;
}

/* Applies the notices and crashes that are due. */
void fleet_step_faults(struct fleet *fleet)
{
	struct fleet_server *server;

	if (fleet->next_notice_us && fleet->now_us >= fleet->next_notice_us) {
		fleet->next_notice_us +=
			(int64_t)(fleet->options.notice_every_s *
				  G_USEC_PER_SEC);
		server = random_server(fleet);
		if (server) {
			server->notice_us = fleet->now_us;
			server->ends_us =
				fleet->now_us + NOTICE_MIN_US +
				(int64_t)(g_rand_double(fleet->faults) *
					  NOTICE_SPREAD_US);
			register_server(fleet, server);
		}
	}
	if (fleet->next_crash_us && fleet->now_us >= fleet->next_crash_us) {
		fleet->next_crash_us += (int64_t)(fleet->options.crash_every_s *
						  G_USEC_PER_SEC);
		server = random_server(fleet);
		if (server)
			stop_server(fleet, server);
	}
}

/* Runs the engines, stops those that are due and starts replacements. */
void fleet_step_servers(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->servers->len; i++) {
		struct fleet_server *server =
			g_ptr_array_index(fleet->servers, i);

		if (!server->engine)
			continue;
		fleet_engine_step(server->engine, fleet->now_us,
				  fleet_handle_token, fleet);
		if (server->notice_us && fleet->now_us >= server->ends_us)
			stop_server(fleet, server);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fleet->replace_us); i++) {
		if (!fleet->replace_us[i] ||
		    fleet->now_us < fleet->replace_us[i])
			continue;
		fleet->replace_us[i] = 0;
		fleet_start_server(fleet);
	}
}

/* Frees a server, a struct fleet_server, with its engine. */
void fleet_server_destroy(gpointer data)
{
	struct fleet_server *server = data;

	fleet_engine_destroy(server->engine);
	g_free(server);
}
