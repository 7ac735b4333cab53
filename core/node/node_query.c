#include "core/node/node_state.h"

#include "core/gateway/registry_query.h"
#include "core/gateway/wait_query.h"
#include "core/json/variant_json.h"
#include "core/limit/quarantine_query.h"
#include "core/once/request_id.h"

#include <string.h>

/* Queries of callers and operators about the system itself. */

static void query_answer(struct node *node, uint64_t call, GBytes *body)
{
	struct action *action =
		action_list_add(node->actions, ACTION_CALL_ANSWER);

	action->answer.call = call;
	action->answer.status = 200;
	action->answer.content_type = g_strdup("application/json");
	action->answer.body = body;
}

static void nodes_add_member(const struct node *node, GVariantBuilder *list,
			     const struct member *member)
{
	char *prefix = request_id_format_prefix(
		member->name, member->incarnation, node->now_us);

	g_variant_builder_open(list, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(list, "{sv}", "name",
			      g_variant_new_string(member->name));
	g_variant_builder_add(list, "{sv}", "address",
			      g_variant_new_string(member->http_address));
	g_variant_builder_add(list, "{sv}", "failure_domain",
			      g_variant_new_string(member->failure_domain));
	g_variant_builder_add(list, "{sv}", "weight", g_variant_new_int32(1));
	g_variant_builder_add(list, "{sv}", "id_prefix",
			      g_variant_new_string(prefix));
	g_variant_builder_close(list);
	g_free(prefix);
}

/* Omits leaving and suspected nodes, which callers should not use. */
static GBytes *node_format_nodes(const struct node *node)
{
	GVariantBuilder answer;
	GVariantBuilder list;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		if (member->state == MEMBER_LIVE)
			nodes_add_member(node, &list, member);
	}
	g_variant_builder_init(&answer, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(&answer, "{sv}", "nodes",
			      g_variant_builder_end(&list));
	g_variant_builder_add(&answer, "{sv}", "keep_s",
			      g_variant_new_int64(node->options.answer_keep_us /
						  G_USEC_PER_SEC));
	return variant_json_format(g_variant_builder_end(&answer));
}

static void query_show(struct node *node, uint64_t call)
{
	if (!node->config_document) {
		node_refuse(node, call, REFUSAL_NO_CONFIG, RUN_NO,
			    G_USEC_PER_SEC, NULL);
		return;
	}
	query_answer(node, call, g_bytes_ref(node->config_document));
}

/* Answers a query; the plan book handles plan, confirm and history. */
void node_query_receive(struct node *node, const struct event_query *event)
{
	switch (event->type) {
	case QUERY_NODES:
		query_answer(node, event->call, node_format_nodes(node));
		break;
	case QUERY_DUMP:
		query_answer(
			node, event->call,
			variant_json_format(node_dump(node, node->now_us)));
		break;
	case QUERY_CONFIG:
		query_show(node, event->call);
		break;
	case QUERY_PLAN:
		plan_book_create_plan(node->plans, event->call, event->body,
				      event->operator_name, node->config,
				      node->now_us, node->actions);
		break;
	case QUERY_CONFIRM:
		plan_book_confirm(node->plans, event->call, event->plan_id,
				  event->operator_name, node->config,
				  node->now_us, node->actions);
		break;
	case QUERY_HISTORY:
		plan_book_send_history(event->call, node->config,
				       node->actions);
		break;
	case QUERY_QUARANTINE:
	case QUERY_LIFT:
		quarantine_answer_query(node->quarantine, event, node->now_us,
					node->actions);
		break;
	case QUERY_ENDPOINTS:
		registry_answer_query(NULL, event, node->now_us, node->actions);
		break;
	case QUERY_WAITING:
		wait_query_answer(wait_query_begin(), event->call,
				  node->actions);
		break;
	}
}
