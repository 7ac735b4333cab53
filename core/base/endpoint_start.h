#ifndef CORE_BASE_ENDPOINT_START_H
#define CORE_BASE_ENDPOINT_START_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One start of an endpoint: its process from its birth to its end. The next one
 * may listen at the same address, under the same id or another one, before its
 * registration tells of it. What is known of one start holds for no other.
 */
struct endpoint_start {
	uint64_t endpoint_key; /* hash of the id; 0: only the address is known
				*/
	int64_t born_ms;       /* as the registration states; 0: unknown */
	int32_t number;	       /* ends of this id that were known before it */
};

/* How one start relates to another. */
enum start_order {
	START_SAME, /* as far as is known */
	START_EARLIER,
	START_LATER,
	START_UNKNOWN /* of another endpoint, or of an unknown one */
};

enum start_order endpoint_start_compare(const struct endpoint_start *start,
					const struct endpoint_start *other);
uint64_t endpoint_start_key(const struct endpoint_start *start);

G_END_DECLS

#endif
