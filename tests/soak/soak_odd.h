#ifndef TESTS_SOAK_SOAK_ODD_H
#define TESTS_SOAK_SOAK_ODD_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Entries of a stranger that name no endpoint to use. */
bool soak_odd_write(const char *store, uint32_t seed, struct error *error);
bool soak_odd_remove(const char *store, struct error *error);

G_END_DECLS

#endif
