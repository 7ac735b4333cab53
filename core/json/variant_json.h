#ifndef CORE_JSON_VARIANT_JSON_H
#define CORE_JSON_VARIANT_JSON_H

#include <glib.h>

G_BEGIN_DECLS

/* JSON text of a variant, for dumps and answers to queries. */
GBytes *variant_json_format(GVariant *variant);

G_END_DECLS

#endif
