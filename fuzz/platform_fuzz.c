#include "platform/platform.h"

#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void read_page(GBytes *bytes)
{
	struct store_page page;
	struct error error;

	store_page_init(&page);
	platform_store_dialect.read_list(bytes, 1, &page, &error);
	platform_store_dialect.read_watch(bytes, 1, &page, &error);
	store_page_clear(&page);
}

/* Reads the input as a caller's list of prompt parts. */
static void read_parts(const uint8_t *data, size_t size)
{
	struct http_head *head = http_head_create();
	struct caller_request request;
	struct error error;

	http_head_add(head, "X-Siskinlink-Request-Id", 23, "1", 1);
	http_head_add(head, "X-Siskinlink-Prompt-Prefix", 26,
		      (const char *)data, size);
	if (!platform_dialect.read_request(head, &request, &error) ||
	    request.parts.count > PROMPT_PARTS_MAX)
		abort();
	http_head_destroy(head);
}

/* Reads the input as the last event that a caller has. */
static void read_last_event(const uint8_t *data, size_t size)
{
	struct http_head *head = http_head_create();
	struct caller_request request;
	struct error error;

	http_head_add(head, "X-Siskinlink-Request-Id", 23, "1", 1);
	http_head_add(head, "Last-Event-Id", 13, (const char *)data, size);
	if (!platform_dialect.read_request(head, &request, &error) ||
	    request.last_event < -1 ||
	    (request.last_event >= 0) == request.last_event_is_bad)
		abort();
	http_head_destroy(head);
}

static void read_entry(GBytes *bytes)
{
	char key[] = "servers/i-1";
	struct store_item item = {.key = key, .value = bytes, .position = 1};
	struct registration *entry = platform_read_entry(&item);

	if (!entry ||
	    (!entry->is_removed &&
	     (!entry->service || !entry->address || entry->slots < 1)))
		abort();
	registration_destroy(entry);
}

static void read_engine_answers(GBytes *bytes)
{
	struct move_answer answer = {NULL};

	if (platform_dialect.read_move_answer(bytes, &answer) !=
	    (answer.handle != 0))
		abort();
	g_free(answer.handle);
	platform_dialect.read_report_is_leaving(bytes);
}

/*
 * Parses the input as the answer to each key-value operation, with each status
 * that has a meaning of its own.
 */
static void read_kv_answers(GBytes *bytes)
{
	static const int32_t statuses[] = {200, 404, 412, 429, 500};

	for (int op = KV_GET; op <= KV_LEASE_REVOKE; op++)
		for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
			const struct kv_request request = {
				.op = (enum kv_op)op};
			struct kv_answer answer = {0};
			struct error error;

			if (!platform_kv_dialect.read_call(
				    &request, statuses[i], 1, bytes, &answer,
				    &error) &&
			    answer.outcome != KV_ANSWER_LOST)
				abort();
			kv_answer_clear(&answer);
		}
}

/*
 * Parses the input as each kind of message that the store, its writers or the
 * engines may send.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *bytes = g_bytes_new(data, size);
	struct error error;
	struct config *config = platform_read_document(bytes, &error);

	if (config && config->revision < 0)
		abort();
	config_unref(config);
	read_parts(data, size);
	read_last_event(data, size);
	read_page(bytes);
	read_entry(bytes);
	read_engine_answers(bytes);
	read_kv_answers(bytes);
	g_bytes_unref(bytes);
	return 0;
}
