#include "adapters/gateway/store_page.h"

static void item_free(gpointer data)
{
	struct store_item *item = data;

	g_free(item->key);
	if (item->value)
		g_bytes_unref(item->value);
	g_free(item);
}

/* Makes an empty page, to be freed by store_page_clear. */
void store_page_init(struct store_page *page)
{
	page->items = g_ptr_array_new_with_free_func(item_free);
	page->position = 0;
	page->has_more = false;
}

/* Frees all items of the page, but not the page itself. */
void store_page_clear(struct store_page *page)
{
	g_clear_pointer(&page->items, g_ptr_array_unref);
}

/* Appends an empty item, owned by the page, for the caller to fill in. */
struct store_item *store_page_add(struct store_page *page)
{
	struct store_item *item = g_new0(struct store_item, 1);

	g_ptr_array_add(page->items, item);
	return item;
}
