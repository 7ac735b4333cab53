#include "platform/platform.h"

#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>

#define MAX_TOKEN_BYTES ((size_t)8)
#define NESTED_LEVELS 8192
#define SMALL_STACK_BYTES (256 * 1024)

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
	struct move_answer answer = {0};

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

static void read_texts(GBytes *bytes)
{
	struct error error;
	struct config *config = platform_read_document(bytes, &error);

	if (config && config->revision < 0)
		abort();
	config_unref(config);
	read_page(bytes);
	read_entry(bytes);
	read_engine_answers(bytes);
}

static void *read_on_small_stack(void *bytes)
{
	read_texts(bytes);
	return NULL;
}

/* The size of the start of the input that begins a level; 0: none does. */
static size_t first_token_size(const uint8_t *data, size_t size)
{
	bool is_object = false;

	for (size_t i = 0; i < MIN(size, MAX_TOKEN_BYTES); i++) {
		if (data[i] == '[' || (is_object && data[i] == ':'))
			return i + 1;
		is_object = is_object || data[i] == '{';
	}
	return 0;
}

/*
 * Reads the input with its first token repeated, as inputs of the usual size
 * are not nested deeply enough to overflow a stack. On a small stack few levels
 * do.
 */
static void read_nested(const uint8_t *data, size_t size)
{
	size_t token_size = first_token_size(data, size);
	GByteArray *text;
	GBytes *bytes;
	pthread_attr_t attributes;
	pthread_t thread;

	if (token_size == 0)
		return;
	text = g_byte_array_new();
	for (int i = 0; i < NESTED_LEVELS; i++)
		g_byte_array_append(text, data, (guint)token_size);
	g_byte_array_append(text, data + token_size,
			    (guint)(size - token_size));
	bytes = g_byte_array_free_to_bytes(text);
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, SMALL_STACK_BYTES);
	if (pthread_create(&thread, &attributes, read_on_small_stack, bytes) !=
	    0)
		abort();
	pthread_join(thread, NULL);
	pthread_attr_destroy(&attributes);
	g_bytes_unref(bytes);
}

/*
 * Parses the input as each kind of message that the store, its writers or the
 * engines may send.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *bytes = g_bytes_new(data, size);

	read_parts(data, size);
	read_last_event(data, size);
	read_texts(bytes);
	read_kv_answers(bytes);
	g_bytes_unref(bytes);
	read_nested(data, size);
	return 0;
}
