#include "codec/peer_reach.h"

#include "codec/peer_field.h"

#define MAX_SERVICES 1024
#define CHILD_IS_CUT 3
#define CHILD_SERVICES 4

/* Returns the body of a PEER_REACH record as a floating variant. */
GVariant *peer_reach_encode(const struct peer_message *message)
{
	const struct peer_reach *reach = &message->reach;
	GVariant *services = g_variant_new_fixed_array(
		G_VARIANT_TYPE_UINT64, reach->lost_services->data,
		MIN(reach->lost_services->len, MAX_SERVICES), sizeof(uint64_t));

	return g_variant_new("(tssb@at)", message->incarnation,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     reach->is_cut, services);
}

/* Fills reach from a body. Returns false if it lists too many services. */
bool peer_reach_decode(GVariant *body, struct peer_reach *reach)
{
	GVariant *list = g_variant_get_child_value(body, CHILD_SERVICES);
	gsize count;
	const uint64_t *services =
		g_variant_get_fixed_array(list, &count, sizeof(uint64_t));
	gboolean is_cut;

	if (count <= MAX_SERVICES)
		g_array_append_vals(reach->lost_services, services,
				    (guint)count);
	g_variant_get_child(body, CHILD_IS_CUT, "b", &is_cut);
	reach->is_cut = is_cut;
	g_variant_unref(list);
	return count <= MAX_SERVICES;
}
