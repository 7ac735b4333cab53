#ifndef TESTS_SOAK_SOAK_PROXY_H
#define TESTS_SOAK_SOAK_PROXY_H

#include "core/base/error.h"
#include "tests/soak/soak_link.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * A loopback TCP proxy between a client and a target, in the default main
 * context. The client is given the proxy's address in place of the target's.
 * The proxy injects the link faults that are set.
 */
struct soak_proxy;

struct soak_proxy *soak_proxy_create(const char *target, struct error *error);
void soak_proxy_destroy(struct soak_proxy *proxy);
const char *soak_proxy_address(const struct soak_proxy *proxy);
const char *soak_proxy_source(const struct soak_proxy *proxy);
void soak_proxy_set_target(struct soak_proxy *proxy, const char *target);
void soak_proxy_set_link(struct soak_proxy *proxy,
			 const struct soak_link *link);

G_END_DECLS

#endif
