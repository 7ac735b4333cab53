#ifndef CORE_LIMIT_SUSPECT_KEY_H
#define CORE_LIMIT_SUSPECT_KEY_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Keys of what endpoints may end under. A key tells its kind, so that nodes
 * exchange keys of all kinds in one record.
 */
enum suspect_kind {
	SUSPECT_REQUEST, /* one request, by its fingerprint */
	SUSPECT_PART	 /* each request with this part in its prompt */
};

#define SUSPECT_KIND_COUNT (SUSPECT_PART + 1)

uint64_t suspect_key_of_request(uint64_t fingerprint);
uint64_t suspect_key_of_part(const char *id, size_t size);
enum suspect_kind suspect_key_kind(uint64_t key);
const char *suspect_kind_name(enum suspect_kind kind);

G_END_DECLS

#endif
