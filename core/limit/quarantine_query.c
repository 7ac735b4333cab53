#include "core/limit/quarantine_query.h"

#include "core/json/variant_json.h"

#include <inttypes.h>
#include <string.h>

#define FINGERPRINT_DIGITS 16

/* Whether the event is a query that quarantine_answer_query answers. */
bool quarantine_is_query(const struct event *event)
{
	return event->type == EVENT_QUERY &&
	       (event->query.type == QUERY_QUARANTINE ||
		event->query.type == QUERY_LIFT);
}

static void add_answer(struct action_list *actions, uint64_t call,
		       int32_t status, GVariant *body)
{
	struct action *action = action_list_add(actions, ACTION_CALL_ANSWER);

	action->answer.call = call;
	action->answer.status = status;
	action->answer.content_type = g_strdup("application/json");
	action->answer.body = variant_json_format(body);
}

static bool parse_fingerprint(const char *text, uint64_t *fingerprint)
{
	return text && strlen(text) == FINGERPRINT_DIGITS &&
	       g_ascii_string_to_unsigned(text, 16, 0, UINT64_MAX, fingerprint,
					  NULL);
}

static void add_held(GVariantBuilder *list, const struct peer_loss *losses,
		     guint count, int64_t left_us)
{
	int64_t last_age_us = losses[0].age_us;
	char fingerprint[FINGERPRINT_DIGITS + 1];
	int32_t ends = 0;

	for (guint i = 0; i < count; i++) {
		ends += losses[i].state == LOSS_CONFIRMED;
		last_age_us = MIN(last_age_us, losses[i].age_us);
	}
	g_snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
		   losses[0].key);
	g_variant_builder_open(list, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(list, "{sv}", "fingerprint",
			      g_variant_new_string(fingerprint));
	g_variant_builder_add(list, "{sv}", "kind",
			      g_variant_new_string(suspect_kind_name(
				      suspect_key_kind(losses[0].key))));
	g_variant_builder_add(list, "{sv}", "ended_endpoints",
			      g_variant_new_int32(ends));
	g_variant_builder_add(
		list, "{sv}", "last_end_s_ago",
		g_variant_new_int64(last_age_us / G_USEC_PER_SEC));
	g_variant_builder_add(list, "{sv}", "held_for_s",
			      g_variant_new_int64(left_us / G_USEC_PER_SEC));
	g_variant_builder_close(list);
}

/* Lists what is held; the losses of one follow each other. */
static GVariant *format_held(const struct quarantine *quarantine,
			     int64_t now_us)
{
	GArray *losses = g_array_new(FALSE, FALSE, sizeof(struct peer_loss));
	GVariantBuilder list, answer;
	guint end;

	quarantine_add_held(quarantine, losses, now_us);
	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (guint i = 0; i < losses->len; i = end) {
		const struct peer_loss *first =
			&g_array_index(losses, struct peer_loss, i);

		for (end = i + 1; end < losses->len; end++)
			if (g_array_index(losses, struct peer_loss, end).key !=
			    first->key)
				break;
		add_held(&list, first, end - i,
			 quarantine_until_us(quarantine, first->key, now_us) -
				 now_us);
	}
	g_array_unref(losses);
	g_variant_builder_init(&answer, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(&answer, "{sv}", "held",
			      g_variant_builder_end(&list));
	return g_variant_builder_end(&answer);
}

static GVariant *format_lifted(const char *fingerprint, bool is_lifted)
{
	GVariantBuilder answer, error;

	g_variant_builder_init(&answer, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(&answer, "{sv}", "took_effect",
			      g_variant_new_string(is_lifted ? "yes" : "no"));
	if (is_lifted) {
		g_variant_builder_add(&answer, "{sv}", "fingerprint",
				      g_variant_new_string(fingerprint));
		return g_variant_builder_end(&answer);
	}
	g_variant_builder_init(&error, G_VARIANT_TYPE_VARDICT);
	g_variant_builder_add(&error, "{sv}", "code",
			      g_variant_new_string("not_held"));
	g_variant_builder_add(
		&error, "{sv}", "message",
		g_variant_new_string("nothing with this fingerprint is in "
				     "quarantine"));
	g_variant_builder_add(&answer, "{sv}", "error",
			      g_variant_builder_end(&error));
	return g_variant_builder_end(&answer);
}

/* Appends the answer to a query to the actions. */
void quarantine_answer_query(struct quarantine *quarantine,
			     const struct event_query *query, int64_t now_us,
			     struct action_list *actions)
{
	uint64_t fingerprint;
	bool is_lifted;

	if (query->type == QUERY_QUARANTINE) {
		add_answer(actions, query->call, 200,
			   format_held(quarantine, now_us));
		return;
	}
	is_lifted = parse_fingerprint(query->fingerprint, &fingerprint) &&
		    quarantine_until_us(quarantine, fingerprint, now_us) &&
		    quarantine_lift(quarantine, fingerprint, now_us);
	add_answer(actions, query->call, is_lifted ? 200 : 404,
		   format_lifted(query->fingerprint, is_lifted));
}
