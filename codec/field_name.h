#ifndef CODEC_FIELD_NAME_H
#define CODEC_FIELD_NAME_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

bool field_name_is_valid(const char *name, size_t size);

G_END_DECLS

#endif
