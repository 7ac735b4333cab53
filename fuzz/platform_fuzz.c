#include "platform/platform.h"

#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_page(GBytes *bytes)
{
	struct store_page page;
	struct error error;

	store_page_init(&page);
	platform_store_dialect.read_list(bytes, &page, &error);
	platform_store_dialect.read_watch(bytes, &page, &error);
	store_page_clear(&page);
}

static void read_entry(GBytes *bytes)
{
	char key[] = "servers/i-1";
	struct store_item item = {.key = key, .value = bytes, .revision = 1};
	struct registration *said = platform_read_entry(&item);

	if (!said || (!said->is_removed &&
		      (!said->service || !said->address || said->slots < 1)))
		abort();
	registration_destroy(said);
}

static void read_answers(GBytes *bytes)
{
	struct move_answer answer = {NULL};

	if (platform_dialect.read_move(bytes, &answer) != (answer.handle != 0))
		abort();
	g_free(answer.handle);
	platform_dialect.read_report_leaves(bytes);
}

/* All that the store, its writers and the engines may send. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *bytes = g_bytes_new(data, size);
	struct error error;
	struct config *config = platform_read_document(bytes, &error);

	if (config && config->revision < 0)
		abort();
	config_unref(config);
	read_page(bytes);
	read_entry(bytes);
	read_answers(bytes);
	g_bytes_unref(bytes);
	return 0;
}
