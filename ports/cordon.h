#ifndef PORTS_CORDON_H
#define PORTS_CORDON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * An operator's request that the endpoints of a failure domain get no new
 * requests, or the notice that it was lifted.
 */
struct cordon {
	char *failure_domain;
	int64_t position; /* in the store's history, of its last change */
	bool is_lifted;
};

struct cordon *cordon_create(const char *failure_domain, int64_t position,
			     bool is_lifted);
void cordon_destroy(struct cordon *cordon);
GPtrArray *cordon_list_create(void); /* owns struct cordon */

G_END_DECLS

#endif
