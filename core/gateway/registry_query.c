#include "core/gateway/registry_query.h"

#include "core/json/variant_json.h"

#include <string.h>

static const char *text_or_empty(const char *text)
{
	return text ? text : "";
}

static int compare_endpoints(gconstpointer a, gconstpointer b)
{
	const struct registration *left =
		(*(const struct endpoint *const *)a)->last_registration;
	const struct registration *right =
		(*(const struct endpoint *const *)b)->last_registration;
	int order = strcmp(text_or_empty(left->service),
			   text_or_empty(right->service));

	return order ? order : strcmp(left->id, right->id);
}

static void add_text(GVariantBuilder *entry, const char *name, const char *text)
{
	g_variant_builder_add(entry, "{sv}", name,
			      g_variant_new_string(text_or_empty(text)));
}

static void add_number(GVariantBuilder *entry, const char *name, int64_t number)
{
	g_variant_builder_add(entry, "{sv}", name, g_variant_new_int64(number));
}

static void add_flag(GVariantBuilder *entry, const char *name, bool is_set)
{
	g_variant_builder_add(entry, "{sv}", name,
			      g_variant_new_boolean(is_set));
}

/* Adds what is left in ms, rounded up: 0 says that nothing is. */
static void add_left(GVariantBuilder *entry, const char *name, int64_t left_us)
{
	add_number(entry, name, (MAX(left_us, 0) + 999) / 1000);
}

static int64_t age_ms(int64_t at_us, int64_t now_us)
{
	return MAX(now_us - at_us, 0) / 1000;
}

/* Adds what keeps requests away; all of these can hold at once. */
static void add_obstacles(GVariantBuilder *entry,
			  const struct endpoint *endpoint, int64_t now_us)
{
	const struct endpoint_health *health = &endpoint->health;
	bool is_aside = health->state == HEALTH_ASIDE;

	if (endpoint->said_leaving_us)
		add_number(entry, "said_leaving_ms_ago",
			   age_ms(endpoint->said_leaving_us, now_us));
	if (endpoint->replaced_us)
		add_number(entry, "replaced_ms_ago",
			   age_ms(endpoint->replaced_us, now_us));
	add_flag(entry, "cordoned", endpoint->is_cordoned);
	add_left(entry, "resting_ms",
		 endpoint_rest_left_us(&endpoint->rest, now_us));
	add_left(entry, "full_ms", endpoint->full_until_us - now_us);
	add_text(entry, "health", health_state_name(health->state));
	add_flag(entry, "health_allows", endpoint_health_allows(health));
	add_left(entry, "health_aside_ms",
		 is_aside ? health->until_us - now_us : 0);
	add_left(entry, "notices_aside_ms",
		 endpoint_suspicion_allows(&endpoint->suspicion, now_us)
			 ? 0
			 : endpoint->suspicion.until_us - now_us);
	if (endpoint->limit.is_limited)
		g_variant_builder_add(
			entry, "{sv}", "limit_per_s",
			g_variant_new_double(
				(double)endpoint->limit.rate_per_ks / 1000));
}

/* Adds how fast the endpoint is, if anything is known of it. */
static void add_speed(GVariantBuilder *entry,
		      const struct endpoint_speed *speed, int64_t now_us)
{
	int32_t evidence = endpoint_speed_evidence(speed, now_us);
	int64_t known_us = MAX(endpoint_speed_observed_us(speed, now_us),
			       speed->stated_us);

	if (evidence == 0 && !endpoint_speed_is_stated(speed, now_us))
		return;
	add_number(entry, "time_percent",
		   (int64_t)(100 * endpoint_speed_ratio(speed, now_us) + 0.5));
	add_number(entry, "time_observations", evidence);
	add_number(entry, "time_known_ms_ago", age_ms(known_us, now_us));
}

static void add_endpoint(GVariantBuilder *list, const struct endpoint *endpoint,
			 int64_t now_us)
{
	const struct registration *last = endpoint->last_registration;

	g_variant_builder_open(list, G_VARIANT_TYPE_VARDICT);
	add_text(list, "id", last->id);
	add_text(list, "service", last->service);
	add_text(list, "address", last->address);
	add_text(list, "failure_domain", last->failure_domain);
	add_text(list, "state", endpoint_presence_name(endpoint->presence));
	add_number(list, "in_state_ms", age_ms(endpoint->since_us, now_us));
	add_obstacles(list, endpoint, now_us);
	add_number(list, "own_requests", endpoint->own.requests);
	add_speed(list, &endpoint->speed, now_us);
	g_variant_builder_close(list);
}

/* Returns the endpoints of the service, or of all if it is "", in order. */
static GPtrArray *list_endpoints(const struct registry *registry,
				 const char *service)
{
	const GPtrArray *all = registry_endpoints(registry);
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(all, i);

		if (!*service || g_strcmp0(endpoint->last_registration->service,
					   service) == 0)
			g_ptr_array_add(list, endpoint);
	}
	g_ptr_array_sort(list, compare_endpoints);
	return list;
}

static GVariant *registry_format(const struct registry *registry,
				 const char *service, int64_t now_us)
{
	GPtrArray *endpoints = registry ? list_endpoints(registry, service)
					: g_ptr_array_new();
	guint count = MIN(endpoints->len, REGISTRY_QUERY_MAX);
	GVariantBuilder list, answer;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (guint i = 0; i < count; i++)
		add_endpoint(&list, g_ptr_array_index(endpoints, i), now_us);
	g_variant_builder_init(&answer, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(&answer, "{sv}", "endpoints",
			      g_variant_builder_end(&list));
	add_number(&answer, "total", endpoints->len);
	g_ptr_array_unref(endpoints);
	return g_variant_builder_end(&answer);
}

/*
 * Appends the answer to an operator's query to the actions: the endpoints of a
 * service, or of all if it is "", by service and id, and how many there are.
 * Without a registry, as at a node without a gateway, it lists none.
 */
void registry_answer_query(const struct registry *registry,
			   const struct event_query *query, int64_t now_us,
			   struct action_list *actions)
{
	struct action *action = action_list_add(actions, ACTION_CALL_ANSWER);

	action->answer.call = query->call;
	action->answer.status = 200;
	action->answer.content_type = g_strdup("application/json");
	action->answer.body = variant_json_format(
		registry_format(registry, query->service, now_us));
}
