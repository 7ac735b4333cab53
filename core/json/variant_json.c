#include "core/json/variant_json.h"

#include <json-glib/json-glib.h>

/* Formats a variant as JSON and consumes its reference if that is floating. */
GBytes *variant_json_format(GVariant *variant)
{
	gsize length;
	gchar *text;

	g_variant_ref_sink(variant);
	text = json_gvariant_serialize_data(variant, &length);
	g_variant_unref(variant);
	return g_bytes_new_take(text, length);
}
