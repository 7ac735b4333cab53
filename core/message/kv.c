#include "ports/kv.h"

static void kv_entry_destroy(gpointer data)
{
	struct kv_entry *entry = data;

	g_free(entry->key);
	g_bytes_unref(entry->value);
	g_free(entry);
}

/* Frees the members of a request, but not the struct itself. */
void kv_request_clear(struct kv_request *request)
{
	g_clear_pointer(&request->key, g_free);
	g_clear_pointer(&request->value, g_bytes_unref);
}

/* Frees the members of an answer, but not the struct itself. */
void kv_answer_clear(struct kv_answer *answer)
{
	g_clear_pointer(&answer->entries, g_ptr_array_unref);
}

/* Creates an empty list of struct kv_entry; the list owns its entries. */
GPtrArray *kv_entries_create(void)
{
	return g_ptr_array_new_with_free_func(kv_entry_destroy);
}

/* Appends an entry; copies key and takes a reference to value. */
struct kv_entry *kv_entries_add(GPtrArray *entries, const char *key,
				GBytes *value, int64_t create_revision,
				int64_t mod_revision)
{
	struct kv_entry *entry = g_new0(struct kv_entry, 1);

	entry->key = g_strdup(key);
	entry->value = g_bytes_ref(value);
	entry->create_revision = create_revision;
	entry->mod_revision = mod_revision;
	g_ptr_array_add(entries, entry);
	return entry;
}

/* Returns the name of an outcome for log lines. */
const char *kv_outcome_name(enum kv_outcome outcome)
{
	switch (outcome) {
	case KV_OK:
		return "ok";
	case KV_CONFLICT:
		return "conflict";
	case KV_NOT_FOUND:
		return "not_found";
	case KV_NOT_APPLIED:
		return "not_applied";
	case KV_ANSWER_LOST:
		return "answer_lost";
	}
	return "unknown";
}
