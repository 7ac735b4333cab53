#ifndef CORE_BASE_PLAIN_TEXT_H
#define CORE_BASE_PLAIN_TEXT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

bool plain_text_is_valid(const char *text, size_t max_bytes);

G_END_DECLS

#endif
