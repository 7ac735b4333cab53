#ifndef CORE_JSON_JSON_SCAN_H
#define CORE_JSON_JSON_SCAN_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Looks at a JSON text of another program before it is parsed, for what would
 * end the process, take too much memory or be read as something else.
 */
const char *json_scan(const char *text, size_t size, int max_values,
		      size_t *at);
GBytes *json_scan_replace_invalid(GBytes *document);

G_END_DECLS

#endif
