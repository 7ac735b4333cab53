#ifndef CORE_GATEWAY_PROMPT_READING_H
#define CORE_GATEWAY_PROMPT_READING_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

int64_t prompt_reading_us(int64_t tokens);

G_END_DECLS

#endif
