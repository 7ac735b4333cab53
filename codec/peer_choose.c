#include "codec/peer_choose.h"

#include "codec/peer_field.h"

/* Engines that a request was already sent to; each took one of its retries. */
#define MAX_AVOIDED 16

/*
 * Returns the body of a PEER_CHOOSE record as a floating variant. Engines to
 * avoid beyond MAX_AVOIDED are omitted.
 */
GVariant *peer_choose_encode(const struct peer_message *message)
{
	const struct peer_choose *choose = &message->choose;

	return g_variant_new("(ttuuyssss@as)", message->incarnation,
			     choose->number, peer_field_tokens(choose->tokens),
			     peer_field_tokens(choose->prompt_tokens),
			     (guchar)choose->purpose,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     peer_field_text(choose->service),
			     peer_field_text(choose->failure_domain),
			     peer_choose_encode_avoid(choose->avoid));
}

/* Returns the list of engines to avoid, as a floating variant. */
GVariant *peer_choose_encode_avoid(const GPtrArray *avoid)
{
	return g_variant_new_strv((const char *const *)avoid->pdata,
				  (gssize)MIN(avoid->len, MAX_AVOIDED));
}

static bool decode_avoid(GVariant *list, GPtrArray *avoid)
{
	gsize count = g_variant_n_children(list);

	if (count > MAX_AVOIDED)
		return false;
	for (gsize i = 0; i < count; i++) {
		char *id;

		g_variant_get_child(list, i, "s", &id);
		g_ptr_array_add(avoid, id);
		if (!peer_field_text_is_valid(id, false))
			return false;
	}
	return true;
}

/*
 * Fills choose from a body in which the engines to avoid are the child of this
 * index, and the other fields are where PEER_CHOOSE has them. Returns false if
 * a value is out of range.
 */
bool peer_choose_decode_fields(GVariant *body, gsize avoid_index,
			       struct peer_choose *choose)
{
	GVariant *avoid = g_variant_get_child_value(body, avoid_index);
	guint32 tokens, prompt_tokens;
	guchar purpose;
	bool valid;

	g_variant_get_child(body, 1, "t", &choose->number);
	g_variant_get_child(body, 2, "u", &tokens);
	g_variant_get_child(body, 3, "u", &prompt_tokens);
	g_variant_get_child(body, 4, "y", &purpose);
	g_variant_get_child(body, 7, "s", &choose->service);
	g_variant_get_child(body, 8, "s", &choose->failure_domain);
	choose->tokens = tokens;
	choose->prompt_tokens = prompt_tokens;
	choose->purpose = (enum choose_purpose)purpose;
	valid = purpose < CHOOSE_PURPOSE_COUNT &&
		tokens <= PEER_FIELD_MAX_TOKENS &&
		prompt_tokens <= PEER_FIELD_MAX_TOKENS &&
		peer_field_text_is_valid(choose->service, false) &&
		peer_field_text_is_valid(choose->failure_domain, true) &&
		decode_avoid(avoid, choose->avoid);
	g_variant_unref(avoid);
	return valid;
}

/* Fills choose from a body. Returns false if a value is out of range. */
bool peer_choose_decode(GVariant *body, struct peer_choose *choose)
{
	return peer_choose_decode_fields(body, 9, choose);
}

/*
 * Returns the body of a PEER_CHOSEN record as a floating variant. Texts are not
 * truncated; the decoder rejects a record with a text over 64 bytes.
 */
GVariant *peer_chosen_encode(const struct peer_message *message)
{
	return g_variant_new(PEER_CHOSEN_FORMAT, message->incarnation,
			     message->chosen.number,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     peer_field_text(message->chosen.endpoint),
			     peer_field_text(message->chosen.backup));
}

/* Fills chosen from a body. Returns false if a value is out of range. */
bool peer_chosen_decode(GVariant *body, struct peer_chosen *chosen)
{
	g_variant_get_child(body, 1, "t", &chosen->number);
	g_variant_get_child(body, 4, "s", &chosen->endpoint);
	g_variant_get_child(body, 5, "s", &chosen->backup);
	return peer_field_text_is_valid(chosen->endpoint, true) &&
	       peer_field_text_is_valid(chosen->backup, true);
}
