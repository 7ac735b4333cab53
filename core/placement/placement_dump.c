#include "core/placement/placement_state.h"

static void dump_book(GVariantBuilder *list, const struct endpoint_book *book)
{
	GVariantDict dict;

	g_variant_dict_init(&dict, NULL);
	g_variant_dict_insert(&dict, "address", "s", book->address);
	g_variant_dict_insert(&dict, "calls", "u", book->calls->len);
	g_variant_dict_insert(&dict, "tokens", "x",
			      (int64_t)book->load.mean[0]);
	g_variant_dict_insert(&dict, "foreign_tokens", "x",
			      book->foreign_tokens);
	g_variant_dict_insert(&dict, "capacity_tokens", "x",
			      book->capacity_tokens);
	g_variant_dict_insert(&dict, "interval_us", "x",
			      (int64_t)book->interval_us);
	g_variant_dict_insert(&dict, "leaving", "b",
			      book->leaving || book->reported_leaving);
	g_variant_dict_insert(&dict, "health", "s",
			      health_state_name(book->health.state));
	g_variant_builder_add_value(list, g_variant_dict_end(&dict));
}

/* State of the placement for a node's dump, as a floating a{sv}. */
GVariant *placement_dump(const struct placement *placement,
			 G_GNUC_UNUSED int64_t now_us)
{
	const struct placement_counts *counts = &placement->counts;
	GVariantBuilder list;
	GVariantDict dict;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (guint i = 0; i < placement->books->len; i++)
		dump_book(&list, g_ptr_array_index(placement->books, i));
	g_variant_dict_init(&dict, NULL);
	g_variant_dict_insert(&dict, "waiting", "u",
			      placement_waiting_count(placement));
	g_variant_dict_insert(&dict, "placed", "t", counts->placed);
	g_variant_dict_insert(&dict, "refused", "t", counts->refused);
	g_variant_dict_insert(&dict, "put_aside", "t", counts->put_aside);
	g_variant_dict_insert(&dict, "reports_older", "t",
			      counts->reports_older);
	g_variant_dict_insert(&dict, "reports_absurd", "t",
			      counts->reports_absurd);
	g_variant_dict_insert(&dict, "unknown", "t", counts->unknown);
	g_variant_dict_insert(&dict, "deviations", "d", placement->deviations);
	g_variant_dict_insert(&dict, "length_shift", "d",
			      length_estimate_shift(placement->lengths));
	g_variant_dict_insert_value(&dict, "endpoints",
				    g_variant_builder_end(&list));
	return g_variant_dict_end(&dict);
}
