#ifndef CORE_JSON_JSON_LINE_H
#define CORE_JSON_JSON_LINE_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Finds where a value is in a JSON text. The parser keeps no positions; this
 * reads a text that it accepted.
 */
int32_t json_line_of(const char *text, const char *path);

G_END_DECLS

#endif
