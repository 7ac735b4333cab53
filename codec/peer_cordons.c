#include "codec/peer_cordons.h"

#include "codec/peer_field.h"

#define MAX_CORDONS 4096
#define CHILD_CORDONS 3

/* Returns the body of a PEER_CORDONS record as a floating variant. */
GVariant *peer_cordons_encode(const struct peer_message *message)
{
	const GPtrArray *list = message->cordons.cordons;
	GVariantBuilder builder;

	g_variant_builder_init(&builder,
			       G_VARIANT_TYPE("a" PEER_CORDON_FORMAT));
	for (guint i = 0; i < MIN(list->len, MAX_CORDONS); i++) {
		const struct cordon *cordon = g_ptr_array_index(list, i);

		g_variant_builder_add(&builder, PEER_CORDON_FORMAT,
				      cordon->position,
				      (guchar)cordon->is_lifted,
				      peer_field_text(cordon->failure_domain));
	}
	return g_variant_new("(tss@a" PEER_CORDON_FORMAT ")",
			     message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     g_variant_builder_end(&builder));
}

static bool decode_list(GVariant *list, GPtrArray *cordons)
{
	gsize count = g_variant_n_children(list);

	if (count > MAX_CORDONS)
		return false;
	for (gsize i = 0; i < count; i++) {
		struct cordon *cordon = g_new0(struct cordon, 1);
		guchar is_lifted;

		g_variant_get_child(list, i, PEER_CORDON_FORMAT,
				    &cordon->position, &is_lifted,
				    &cordon->failure_domain);
		cordon->is_lifted = is_lifted;
		g_ptr_array_add(cordons, cordon);
		if (is_lifted > 1 || cordon->position < 0 ||
		    !peer_field_text_is_valid(cordon->failure_domain, false))
			return false;
	}
	return true;
}

/* Fills cordons from a body. Returns false if a value is out of range. */
bool peer_cordons_decode(GVariant *body, struct peer_cordons *cordons)
{
	GVariant *list = g_variant_get_child_value(body, CHILD_CORDONS);
	bool valid = decode_list(list, cordons->cordons);

	g_variant_unref(list);
	return valid;
}
