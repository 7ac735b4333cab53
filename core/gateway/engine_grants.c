#include "core/gateway/engine_grants.h"

#include <string.h>

/*
 * A node announces to its home within 0.1 s what it placed on a granted engine.
 * A node that has not done so after this time never used the grant, or is gone.
 */
#define GRANT_TIMEOUT_US G_USEC_PER_SEC

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

/*
 * Returns an empty set of grants, which the caller owns. The registry must
 * outlive it.
 */
struct engine_grants *engine_grants_create(struct registry *registry)
{
	struct engine_grants *grants = g_new0(struct engine_grants, 1);

	grants->registry = registry;
	grants->entries = g_ptr_array_new_with_free_func(entry_free);
	return grants;
}

/* Frees the grants; NULL is allowed. */
void engine_grants_destroy(struct engine_grants *grants)
{
	if (!grants)
		return;
	g_ptr_array_unref(grants->entries);
	g_free(grants);
}

/* Grants on an endpoint that the registry has removed count nowhere. */
static void entry_count(const struct engine_grants *grants,
			const struct entry *entry, int32_t sign)
{
	struct endpoint *endpoint =
		entry->endpoint_id
			? registry_find(grants->registry, entry->endpoint_id)
			: NULL;
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

/*
 * Counts a grant until its node confirms it or it expires. Copies the strings.
 */
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

static void entry_remove(struct engine_grants *grants, guint i)
{
	entry_count(grants, g_ptr_array_index(grants->entries, i), -1);
	g_ptr_array_remove_index(grants->entries, i);
}

/*
 * Removes the node's grants up to the request with number answered_up_to: the
 * load that the node announces includes them now, so they would count twice.
 */
void engine_grants_confirm(struct engine_grants *grants, const char *node,
			   uint64_t answered_up_to)
{
	for (guint i = grants->entries->len; i-- > 0;) {
		const struct entry *entry =
			g_ptr_array_index(grants->entries, i);

		if (entry->number <= answered_up_to &&
		    strcmp(entry->node, node) == 0)
			entry_remove(grants, i);
	}
}

/* Removes grants that their nodes have not confirmed in time. */
void engine_grants_expire(struct engine_grants *grants, int64_t now_us)
{
	for (guint i = grants->entries->len; i-- > 0;) {
		const struct entry *entry =
			g_ptr_array_index(grants->entries, i);

		if (now_us - entry->since_us > GRANT_TIMEOUT_US)
			entry_remove(grants, i);
	}
}
