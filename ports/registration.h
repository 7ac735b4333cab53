#ifndef PORTS_REGISTRATION_H
#define PORTS_REGISTRATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What an endpoint says of itself, or that its entry is gone. */
struct registration {
	char *id; /* of one start of the endpoint */
	char *service;
	char *address;
	char *failure_domain;
	int64_t started_ms; /* 0: not said */
	int64_t warmup_left_us;
	int64_t revision; /* of the store, when it was written */
	int32_t slots;	  /* requests at once; 0: not said */
	bool is_leaving;
	bool is_removed; /* only id and revision are filled in */
};

struct registration *registration_copy(const struct registration *other);
void registration_destroy(struct registration *registration);
GPtrArray *registration_list_create(void); /* owns struct registration */

G_END_DECLS

#endif
