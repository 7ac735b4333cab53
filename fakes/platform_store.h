#ifndef FAKES_PLATFORM_STORE_H
#define FAKES_PLATFORM_STORE_H

#include "fakes/fake_server.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * A fake of the platform's metadata store, with revisioned keys, paged
 * listings, long-polling watches, conditional transactions and leases. The
 * operator and the engines write with POST /fake/put and /fake/delete; faults
 * are switched with POST /fake/mode.
 */
struct platform_store;

struct platform_store *platform_store_create(struct fake_server *server);
void platform_store_destroy(struct platform_store *store);
void platform_store_put(struct platform_store *store, const char *key,
			const char *value);
int64_t platform_store_last_wait_ms(const struct platform_store *store);

G_END_DECLS

#endif
