#include "adapters/gateway/exchange_state.h"
#include "core/placement/home.h"

#include <string.h>

/*
 * One node, the home, chooses the engines of generations for all nodes of its
 * region; see core/gateway/engine_grants.h for what that is good for. It is a
 * hint like all that nodes tell one another: a home that is silent is passed by
 * and each node chooses by itself.
 */

/*
 * An answer takes one way there and back, a few ms, and the home's turn. Losing
 * this much costs a caller less than a prompt behind two others.
 */
#define ANSWER_US (100 * 1000)

/* Membership finds a dead node within 2.7 s; until then it isn't asked. */
#define PASS_BY_US (2700 * 1000)

/* Between two standings to the home: prompts are read in 0.2 to 0.4 s. */
#define TELL_HOME_US (100 * 1000)

/* The home of the service; NULL: this node, or too few nodes for one. */
static const struct member *find_home(const struct gateway *gateway,
				      const char *service)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	const struct member *home;

	if ((int64_t)membership_count(members) <
	    gateway->options.home_from_nodes)
		return NULL;
	home = home_find(members, membership_self(members)->region, service, 0);
	if (!home || strcmp(home->name, gateway->options.node_name) == 0)
		return NULL;
	return home;
}

static void remember_home(struct gateway *gateway, const struct member *home)
{
	if (g_strcmp0(gateway->home_address, home->peer_address) == 0)
		return;
	g_free(gateway->home_address);
	gateway->home_address = g_strdup(home->peer_address);
}

static struct peer_message *question_create(const struct exchange *exchange,
					    uint64_t number)
{
	struct gateway *gateway = exchange->gateway;
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_CHOOSE);
	struct peer_choose *choose = &message->choose;

	choose->number = number;
	choose->service = g_strdup(exchange->service_name);
	choose->failure_domain = g_strdup(gateway->options.failure_domain);
	choose->tokens = exchange_held_tokens(exchange);
	choose->prompt_tokens = exchange->asked.prompt_tokens;
	choose->wants_backup = exchange_wants_backup(exchange);
	for (guint i = 0; i < exchange->tried->len; i++)
		g_ptr_array_add(choose->avoid, g_strdup(g_ptr_array_index(
						       exchange->tried, i)));
	return message;
}

/* Asks the home for an engine; false where this node chooses itself. */
bool exchange_ask_home(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	const struct member *home;

	if (!exchange_is_generation(exchange) ||
	    gateway->now_us < gateway->home_passed_until_us)
		return false;
	home = find_home(gateway, exchange->service_name);
	if (!home)
		return false;
	remember_home(gateway, home);
	exchange->question = ++gateway->questions;
	exchange->asked_home_us = gateway->now_us;
	g_hash_table_insert(gateway->asking, &exchange->question, exchange);
	gateway_send(gateway, home->peer_address,
		     question_create(exchange, exchange->question));
	counters_add(gateway->options.counters, COUNTER_GATEWAY_HOME_ASKED, 1);
	return true;
}

/* The exchange waits for no answer any more. */
void exchange_forget_home(struct exchange *exchange)
{
	if (!exchange->question)
		return;
	g_hash_table_remove(exchange->gateway->asking, &exchange->question);
	exchange->question = 0;
}

/* While there is no leg: the home may be silent. */
void exchange_step_asking(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (gateway->now_us - exchange->asked_home_us <= ANSWER_US)
		return;
	if (gateway->home_passed_until_us < gateway->now_us)
		log_write(gateway->log, LOG_LEVEL_WARN, "home_silent",
			  "address", gateway->home_address, NULL);
	gateway->home_passed_until_us = gateway->now_us + PASS_BY_US;
	counters_add(gateway->options.counters, COUNTER_GATEWAY_HOME_SILENT, 1);
	exchange_forget_home(exchange);
	exchange_choose(exchange);
}

/* This node's questions up to this one have had their answers, or get none. */
uint64_t gateway_home_answered(const struct gateway *gateway)
{
	uint64_t answered = gateway->questions;
	GHashTableIter iter;
	gpointer number;

	g_hash_table_iter_init(&iter, gateway->asking);
	while (g_hash_table_iter_next(&iter, &number, NULL))
		answered = MIN(answered, *(const uint64_t *)number - 1);
	return answered;
}

/* The home hears of each change, at most so often, whoever else does. */
void gateway_home_step(struct gateway *gateway)
{
	engine_grants_step(gateway->grants, gateway->now_us);
	if (!gateway->home_address || !gateway->home_untold ||
	    gateway->now_us - gateway->home_told_us < TELL_HOME_US)
		return;
	gateway->home_untold = false;
	gateway->home_told_us = gateway->now_us;
	gateway_send(gateway, gateway->home_address,
		     gateway_standing_create(gateway));
}

static struct endpoint *choose_for(struct gateway *gateway,
				   const struct peer_choose *choose,
				   const struct config_service *service,
				   struct endpoint **backup)
{
	struct endpoint_wish wish = {
		.service = choose->service,
		.engine = &service->engine,
		.failure_domain = choose->failure_domain,
		.avoid = choose->avoid,
		.tokens = choose->tokens,
		.now_us = gateway->now_us,
		.draw = g_rand_double(gateway->random),
	};
	struct endpoint *endpoint = endpoint_choose(gateway->registry, &wish);

	*backup = NULL;
	if (endpoint && choose->wants_backup) {
		wish.avoid_also = endpoint->said->id;
		*backup = endpoint_choose_backup(gateway->registry, &wish);
	}
	return endpoint;
}

/*
 * Another node asks for an engine. Where this one knows of none that serves, it
 * keeps silent: it may have just started, and a refusal would be the caller's.
 */
void gateway_home_take_question(struct gateway *gateway,
				const struct peer_message *message)
{
	const struct peer_choose *choose = &message->choose;
	const struct config_service *service =
		gateway->table ? route_table_find_service(gateway->table,
							  choose->service)
			       : NULL;
	struct endpoint *endpoint, *backup;
	struct peer_message *answer;
	struct engine_grant grant;

	if (!service || service->engine.slots == 0 ||
	    registry_ready_count(gateway->registry, choose->service) == 0)
		return;
	endpoint = choose_for(gateway, choose, service, &backup);
	answer = gateway->host.message(gateway->host.data, PEER_CHOSEN);
	answer->chosen.number = choose->number;
	answer->chosen.endpoint = g_strdup(endpoint ? endpoint->said->id : "");
	answer->chosen.backup = g_strdup(backup ? backup->said->id : "");
	gateway_send(gateway, message->from_address, answer);
	if (!endpoint)
		return;
	grant = (struct engine_grant){
		.node = message->from,
		.number = choose->number,
		.endpoint_id = endpoint->said->id,
		.backup_id = backup ? backup->said->id : NULL,
		.tokens = choose->tokens,
		.prompt_tokens = choose->prompt_tokens,
	};
	engine_grants_add(gateway->grants, &grant, gateway->now_us);
}

static bool is_tried(const struct exchange *exchange, const char *id)
{
	return g_ptr_array_find_with_equal_func(exchange->tried, id,
						g_str_equal, NULL);
}

/*
 * The home's answer. An engine that this node knows to leave, or doesn't know,
 * is not taken on its word: this node's own news may be newer.
 */
void gateway_home_take_answer(struct gateway *gateway,
			      const struct peer_message *message)
{
	const struct peer_chosen *chosen = &message->chosen;
	struct exchange *exchange =
		g_hash_table_lookup(gateway->asking, &chosen->number);
	struct endpoint *endpoint;

	if (!exchange)
		return;
	exchange_forget_home(exchange);
	endpoint = registry_find(gateway->registry, chosen->endpoint);
	if (!*chosen->endpoint) {
		exchange_place(exchange, NULL);
	} else if (!endpoint || !endpoint_is_usable(endpoint) ||
		   is_tried(exchange, chosen->endpoint)) {
		exchange_choose(exchange);
	} else {
		g_free(exchange->chosen_backup);
		exchange->chosen_backup = g_strdup(chosen->backup);
		exchange_place(exchange, endpoint);
	}
}
