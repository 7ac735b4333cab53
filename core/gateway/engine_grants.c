#include "core/gateway/engine_grants.h"

#include <string.h>

/*
 * A node tells its home of what it took within 0.1 s. One that hasn't after
 * this never took it, or is gone.
 */
#define FORGET_US G_USEC_PER_SEC

struct entry {
	char *node;
	char *endpoint_id;
	char *backup_id;
	uint64_t number;
	int64_t tokens;
	int64_t prompt_tokens;
	int64_t since_us;
};

struct engine_grants {
	struct registry *registry;
	GPtrArray *entries; /* struct entry, oldest first */
};

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	g_free(entry->node);
	g_free(entry->endpoint_id);
	g_free(entry->backup_id);
	g_free(entry);
}

/* No grants; the registry must outlive them. */
struct engine_grants *engine_grants_create(struct registry *registry)
{
	struct engine_grants *grants = g_new0(struct engine_grants, 1);

	grants->registry = registry;
	grants->entries = g_ptr_array_new_with_free_func(entry_free);
	return grants;
}

/* Frees them; NULL is allowed. */
void engine_grants_destroy(struct engine_grants *grants)
{
	if (!grants)
		return;
	g_ptr_array_unref(grants->entries);
	g_free(grants);
}

/* An endpoint that is forgotten takes what was granted there along. */
static void entry_count(const struct engine_grants *grants,
			const struct entry *entry, int32_t sign)
{
	struct endpoint *endpoint =
		registry_find(grants->registry, entry->endpoint_id);
	struct endpoint *backup =
		entry->backup_id
			? registry_find(grants->registry, entry->backup_id)
			: NULL;

	if (endpoint) {
		endpoint->granted.requests += sign;
		endpoint->granted.tokens += sign * entry->tokens;
		endpoint->granted.unread_tokens += sign * entry->prompt_tokens;
	}
	if (backup) {
		backup->granted.copies += sign;
		backup->granted.tokens += sign * entry->tokens;
	}
}

/* Counts a grant until its node has told of it. */
void engine_grants_add(struct engine_grants *grants,
		       const struct engine_grant *grant, int64_t now_us)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->node = g_strdup(grant->node);
	entry->endpoint_id = g_strdup(grant->endpoint_id);
	entry->backup_id = g_strdup(grant->backup_id);
	entry->number = grant->number;
	entry->tokens = grant->tokens;
	entry->prompt_tokens = grant->prompt_tokens;
	entry->since_us = now_us;
	g_ptr_array_add(grants->entries, entry);
	entry_count(grants, entry, 1);
}

static void drop(struct engine_grants *grants, guint i)
{
	entry_count(grants, g_ptr_array_index(grants->entries, i), -1);
	g_ptr_array_remove_index(grants->entries, i);
}

/*
 * What the node says that it holds includes all that it was granted up to this
 * question: counted on, it would count twice.
 */
void engine_grants_told(struct engine_grants *grants, const char *node,
			uint64_t answered)
{
	for (guint i = grants->entries->len; i-- > 0;) {
		const struct entry *entry =
			g_ptr_array_index(grants->entries, i);

		if (entry->number <= answered && strcmp(entry->node, node) == 0)
			drop(grants, i);
	}
}

/* Forgets grants that nobody told of in time. */
void engine_grants_step(struct engine_grants *grants, int64_t now_us)
{
	for (guint i = grants->entries->len; i-- > 0;) {
		const struct entry *entry =
			g_ptr_array_index(grants->entries, i);

		if (now_us - entry->since_us > FORGET_US)
			drop(grants, i);
	}
}
