#include "ports/action.h"

#include <stdarg.h>

struct action_list {
	GArray *actions;
};

static void action_clear(gpointer data)
{
	struct action *action = data;

	switch (action->type) {
	case ACTION_CALL_ANSWER:
		g_free(action->answer.content_type);
		g_clear_pointer(&action->answer.body, g_bytes_unref);
		break;
	case ACTION_CALL_REFUSE:
		g_free(action->refuse.detail);
		break;
	case ACTION_CALL_CHUNK:
		g_free(action->chunk.event_id);
		g_clear_pointer(&action->chunk.data, g_bytes_unref);
		break;
	case ACTION_CALL_END:
		g_free(action->end.finish_reason);
		break;
	case ACTION_ATTEMPT_SEND:
		g_free(action->send.endpoint);
		request_unref(action->send.request);
		break;
	case ACTION_ATTEMPT_RESUME:
		g_free(action->resume.endpoint);
		g_free(action->resume.generation);
		break;
	case ACTION_POLL_LOAD:
		g_free(action->poll_load.endpoint);
		break;
	case ACTION_ORDER:
		g_free(action->order.endpoint);
		g_free(action->order.target);
		break;
	case ACTION_READ_ORDER:
		g_free(action->read_order.endpoint);
		break;
	case ACTION_PEER_SEND:
		g_free(action->peer_send.peer_address);
		peer_message_destroy(action->peer_send.message);
		break;
	case ACTION_KV:
		kv_request_clear(&action->kv);
		break;
	case ACTION_KV_WATCH:
		g_free(action->kv_watch);
		break;
	case ACTION_CONFIG:
		g_clear_pointer(&action->config.document, g_bytes_unref);
		break;
	case ACTION_LOG:
		g_clear_pointer(&action->log.fields, g_ptr_array_unref);
		break;
	case ACTION_CALL_BEGIN:
	case ACTION_ATTEMPT_CANCEL:
	case ACTION_ATTEMPT_FLOW:
	case ACTION_STOPPED:
	case ACTION_TYPES:
		break;
	}
}

/* Creates an empty list, to be freed by action_list_destroy(). */
struct action_list *action_list_create(void)
{
	struct action_list *list = g_new0(struct action_list, 1);

	list->actions = g_array_new(FALSE, TRUE, sizeof(struct action));
	g_array_set_clear_func(list->actions, action_clear);
	return list;
}

/* Frees the list and the actions left in it; NULL is allowed. */
void action_list_destroy(struct action_list *list)
{
	if (!list)
		return;
	g_array_unref(list->actions);
	g_free(list);
}

/* Returns the number of actions in the list. */
size_t action_list_count(const struct action_list *list)
{
	return list->actions->len;
}

/* Returns the action at index i; valid until the next one is added. */
struct action *action_list_get(struct action_list *list, size_t i)
{
	return &g_array_index(list->actions, struct action, i);
}

/* Frees all actions and keeps the list for the next step. */
void action_list_clear(struct action_list *list)
{
	g_array_set_size(list->actions, 0);
}

/*
 * Appends an action with all other fields zero. The pointer is valid until the
 * next action is added.
 */
struct action *action_list_add(struct action_list *list, enum action_type type)
{
	struct action *action;

	g_array_set_size(list->actions, list->actions->len + 1);
	action = action_list_get(list, list->actions->len - 1);
	action->type = type;
	return action;
}

/*
 * Appends a log line. The arguments after event are pairs of key and value,
 * both strings, ended by NULL. A NULL value would end the list early, so pass
 * "" for an empty value.
 */
void action_list_log(struct action_list *list, enum log_level level,
		     const char *event, ...)
{
	struct action *action = action_list_add(list, ACTION_LOG);
	const char *field;
	va_list args;

	action->log.level = level;
	action->log.event = event;
	action->log.fields = g_ptr_array_new_with_free_func(g_free);
	va_start(args, event);
	while ((field = va_arg(args, const char *)))
		g_ptr_array_add(action->log.fields, g_strdup(field));
	va_end(args);
}
