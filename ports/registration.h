#ifndef PORTS_REGISTRATION_H
#define PORTS_REGISTRATION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* An endpoint's registration in the store, or the notice of its removal. */
struct registration {
	char *id; /* differs at each start of the endpoint */
	char *service;
	char *address;
	char *failure_domain;
	int64_t started_ms;   /* 0: unknown */
	int64_t report_count; /* of this start up to this one; 0: unknown */
	int64_t warmup_remaining_us;
	int64_t position; /* in the store's history, of its last change */
	int32_t slots;	  /* concurrent requests; 0: unknown */
	bool is_leaving;
	bool is_removed; /* only id and position are filled in */
};

struct registration *registration_copy(const struct registration *other);
void registration_destroy(struct registration *registration);
GPtrArray *registration_list_create(void); /* owns struct registration */

G_END_DECLS

#endif
