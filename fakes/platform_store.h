#ifndef FAKES_PLATFORM_STORE_H
#define FAKES_PLATFORM_STORE_H

#include "fakes/fake_server.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * A stand-in for the platform's metadata store: keys with revisions, lists in
 * pages, watches that wait, changes under a condition and leases. The operator
 * and the engines write by POST /fake/put and /fake/delete; the faults are
 * switches.
 */
struct platform_store;

struct platform_store *platform_store_create(struct fake_server *server);
void platform_store_destroy(struct platform_store *store);
void platform_store_put(struct platform_store *store, const char *key,
			const char *value);
int64_t platform_store_last_wait_ms(const struct platform_store *store);

G_END_DECLS

#endif
