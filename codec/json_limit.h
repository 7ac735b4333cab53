#ifndef CODEC_JSON_LIMIT_H
#define CODEC_JSON_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/* Deepest nesting of arrays and objects read from outside. */
#define JSON_DEPTH_MAX 64

bool json_depth_within(const char *text, size_t length, int32_t depth_max);

G_END_DECLS

#endif
