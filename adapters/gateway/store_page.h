#ifndef ADAPTERS_GATEWAY_STORE_PAGE_H
#define ADAPTERS_GATEWAY_STORE_PAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A key of the platform's store in one state. */
struct store_item {
	char *key;
	GBytes *value;	  /* NULL: deleted */
	int64_t position; /* of its last change */
};

/* One answer of the platform's store: a part of a listing, or changes. */
struct store_page {
	GPtrArray *items; /* struct store_item */
	int64_t position; /* of the store when it answered */
	bool has_more;
};

void store_page_init(struct store_page *page);
void store_page_clear(struct store_page *page);
struct store_item *store_page_add(struct store_page *page);

G_END_DECLS

#endif
