#include "core/gateway/wait_query.h"

#include "core/json/variant_json.h"

struct wait_query {
	GVariantBuilder queues, asked;
};

/* Where the requests and organisations of one queue are added. */
struct room_lists {
	GVariantBuilder requests, organisations;
	guint request_count, organisation_count;
	wait_owner_name name;
};

static void add_text(GVariantBuilder *entry, const char *name, const char *text)
{
	g_variant_builder_add(entry, "{sv}", name, g_variant_new_string(text));
}

static void add_number(GVariantBuilder *entry, const char *name, int64_t number)
{
	g_variant_builder_add(entry, "{sv}", name, g_variant_new_int64(number));
}

/* Returns an empty answer; wait_query_answer frees it. */
struct wait_query *wait_query_begin(void)
{
	struct wait_query *query = g_new0(struct wait_query, 1);

	g_variant_builder_init(&query->queues, G_VARIANT_TYPE("aa{sv}"));
	g_variant_builder_init(&query->asked, G_VARIANT_TYPE("aa{sv}"));
	return query;
}

static void add_entry(const struct wait_entry *entry, void *data)
{
	struct room_lists *lists = data;
	const struct wait_owner owner = lists->name(entry->owner);
	GVariantBuilder *list = &lists->requests;

	if (lists->request_count++ >= WAIT_QUERY_MAX)
		return;
	g_variant_builder_open(list, G_VARIANT_TYPE_VARDICT);
	add_text(list, "id", owner.request);
	add_text(list, "node", owner.node);
	add_text(list, "organisation", entry->organisation);
	add_number(list, "rank", entry->rank);
	g_variant_builder_add(list, "{sv}", "deferrable",
			      g_variant_new_boolean(entry->is_deferrable));
	add_number(list, "tokens", entry->tokens);
	add_number(list, "waited_ms", entry->waited_us / 1000);
	add_number(list, "start_within_ms", entry->start_within_us / 1000);
	g_variant_builder_close(list);
}

static void add_share(const struct wait_share *share, void *data)
{
	struct room_lists *lists = data;
	GVariantBuilder *list = &lists->organisations;

	if (lists->organisation_count++ >= WAIT_QUERY_MAX)
		return;
	g_variant_builder_open(list, G_VARIANT_TYPE_VARDICT);
	add_text(list, "name", share->organisation);
	add_number(list, "weight", share->weight);
	add_number(list, "waiting", share->waiting);
	add_number(list, "waiting_tokens", share->waiting_tokens);
	add_number(list, "granted_token_s", (int64_t)share->granted_token_s);
	g_variant_builder_close(list);
}

/* Adds the queue of a service; name says whose request an owner is. */
void wait_query_add_room(struct wait_query *query, const char *service,
			 struct wait_room *room, wait_owner_name name,
			 int64_t now_us)
{
	GVariantBuilder *queue = &query->queues;
	struct room_lists lists = {.name = name};

	g_variant_builder_init(&lists.requests, G_VARIANT_TYPE("aa{sv}"));
	g_variant_builder_init(&lists.organisations, G_VARIANT_TYPE("aa{sv}"));
	wait_room_foreach(room, now_us, add_entry, &lists);
	wait_room_foreach_share(room, add_share, &lists);
	g_variant_builder_open(queue, G_VARIANT_TYPE_VARDICT);
	add_text(queue, "service", service);
	add_number(queue, "waiting", wait_room_length(room));
	add_number(queue, "freed_tokens_per_s",
		   (int64_t)wait_room_freed_per_s(room, now_us));
	g_variant_builder_add(queue, "{sv}", "requests",
			      g_variant_builder_end(&lists.requests));
	g_variant_builder_add(queue, "{sv}", "organisations",
			      g_variant_builder_end(&lists.organisations));
	g_variant_builder_close(queue);
}

/* Adds a request of this node that waits at its home. */
void wait_query_add_asked(struct wait_query *query, const char *request,
			  const char *home, int64_t waited_us)
{
	GVariantBuilder *asked = &query->asked;

	g_variant_builder_open(asked, G_VARIANT_TYPE_VARDICT);
	add_text(asked, "id", request);
	add_text(asked, "home", home);
	add_number(asked, "waited_ms", waited_us / 1000);
	g_variant_builder_close(asked);
}

/* Appends the answer to the call to the actions, and frees the query. */
void wait_query_answer(struct wait_query *query, uint64_t call,
		       struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_CALL_ANSWER);
	GVariantBuilder answer;

	g_variant_builder_init(&answer, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(&answer, "{sv}", "queues",
			      g_variant_builder_end(&query->queues));
	g_variant_builder_add(&answer, "{sv}", "at_home",
			      g_variant_builder_end(&query->asked));
	action->answer.call = call;
	action->answer.status = 200;
	action->answer.content_type = g_strdup("application/json");
	action->answer.body =
		variant_json_format(g_variant_builder_end(&answer));
	g_free(query);
}
