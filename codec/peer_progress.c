#include "codec/peer_progress.h"

#include "codec/peer_field.h"

#define MAX_HOLDINGS 16384
#define PROGRESS_CHILDREN 14

/*
 * Holdings are encoded in columns, because a node with 800 streams sends all of
 * them every few seconds: each name is sent once in a table, numbers take four
 * bytes, and a column of zeros is sent empty. Index 0 is the empty name.
 */
struct columns {
	GPtrArray *names; /* not owned */
	GHashTable *index_by_name;
	GArray *tickets;	 /* uint64_t */
	GArray *offsets;	 /* uint32_t, from base_ticket */
	GArray *name_indices[3]; /* uint16_t: service, endpoint, organisation */
	GArray *token_counts[3]; /* uint32_t: prompt, max, tokens */
	uint64_t base_ticket;
};

static uint16_t columns_add_name(struct columns *columns, const char *name)
{
	gpointer found;

	if (!name || !*name)
		return 0;
	found = g_hash_table_lookup(columns->index_by_name, name);
	if (found)
		return (uint16_t)GPOINTER_TO_UINT(found);
	g_ptr_array_add(columns->names, (gpointer)name);
	g_hash_table_insert(columns->index_by_name, (gpointer)name,
			    GUINT_TO_POINTER(columns->names->len));
	return (uint16_t)columns->names->len;
}

static void columns_init(struct columns *columns)
{
	columns->names = g_ptr_array_new();
	columns->index_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	columns->tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	columns->offsets = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (int i = 0; i < 3; i++) {
		columns->name_indices[i] =
			g_array_new(FALSE, FALSE, sizeof(uint16_t));
		columns->token_counts[i] =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
	}
}

static void columns_clear(struct columns *columns)
{
	g_ptr_array_unref(columns->names);
	g_hash_table_unref(columns->index_by_name);
	g_array_unref(columns->tickets);
	g_array_unref(columns->offsets);
	for (int i = 0; i < 3; i++) {
		g_array_unref(columns->name_indices[i]);
		g_array_unref(columns->token_counts[i]);
	}
}

static void columns_add(struct columns *columns,
			const struct peer_holding *holding)
{
	uint16_t name_indices[] = {
		columns_add_name(columns, holding->service),
		columns_add_name(columns, holding->endpoint),
		columns_add_name(columns, holding->organisation)};
	uint32_t token_counts[] = {peer_field_tokens(holding->prompt_tokens),
				   peer_field_tokens(holding->max_tokens),
				   peer_field_tokens(holding->tokens)};

	g_array_append_val(columns->tickets, holding->ticket);
	for (int i = 0; i < 3; i++) {
		g_array_append_val(columns->name_indices[i], name_indices[i]);
		g_array_append_val(columns->token_counts[i], token_counts[i]);
	}
}

/*
 * Replaces the tickets by offsets from the smallest one if four bytes hold each
 * offset.
 */
static void columns_pack_tickets(struct columns *columns)
{
	const uint64_t *tickets = (const uint64_t *)columns->tickets->data;
	uint64_t min_ticket = UINT64_MAX, max_ticket = 0;

	for (guint i = 0; i < columns->tickets->len; i++) {
		min_ticket = MIN(min_ticket, tickets[i]);
		max_ticket = MAX(max_ticket, tickets[i]);
	}
	if (columns->tickets->len == 0 || max_ticket - min_ticket > UINT32_MAX)
		return;
	columns->base_ticket = min_ticket;
	for (guint i = 0; i < columns->tickets->len; i++) {
		uint32_t offset = (uint32_t)(tickets[i] - min_ticket);

		g_array_append_val(columns->offsets, offset);
	}
	g_array_set_size(columns->tickets, 0);
}

static GVariant *column_to_variant(const GArray *column, const char *type)
{
	gsize size = g_array_get_element_size((GArray *)column);
	const char *data = column->data;
	gsize length = 0;

	for (gsize i = 0; i < column->len * size; i++) {
		if (data[i])
			length = column->len;
	}
	return g_variant_new_fixed_array(G_VARIANT_TYPE(type), data, length,
					 size);
}

/*
 * Returns the body of a PEER_PROGRESS record, of type PEER_PROGRESS_FORMAT, as
 * a floating variant. Holdings beyond MAX_HOLDINGS are omitted, and the record
 * is then not marked as complete.
 */
GVariant *peer_progress_encode(const struct peer_message *message)
{
	const struct peer_progress *progress = &message->progress;
	guint count = MIN(progress->holdings->len, MAX_HOLDINGS);
	bool complete = progress->complete && count == progress->holdings->len;
	struct columns columns = {0};
	GVariant *body;

	columns_init(&columns);
	for (guint i = 0; i < count; i++)
		columns_add(&columns, g_ptr_array_index(progress->holdings, i));
	columns_pack_tickets(&columns);
	body = g_variant_new(
		"(ttbss@as@at@au@aq@aq@aq@au@au@au)", message->incarnation,
		columns.base_ticket, (gboolean)complete,
		peer_field_text(message->from),
		peer_field_text(message->from_address),
		g_variant_new_strv((const char *const *)columns.names->pdata,
				   columns.names->len),
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT64,
					  columns.tickets->data,
					  columns.tickets->len, 8),
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT32,
					  columns.offsets->data,
					  columns.offsets->len, 4),
		column_to_variant(columns.name_indices[0], "q"),
		column_to_variant(columns.name_indices[1], "q"),
		column_to_variant(columns.name_indices[2], "q"),
		column_to_variant(columns.token_counts[0], "u"),
		column_to_variant(columns.token_counts[1], "u"),
		column_to_variant(columns.token_counts[2], "u"));
	columns_clear(&columns);
	return body;
}

struct progress_body {
	GVariant *children[PROGRESS_CHILDREN]; /* NULL before 5, the names */
	uint64_t base_ticket;
	gsize count; /* holdings */
	const char **names;
	gsize name_count;
	const guint64 *tickets;
	const guint32 *offsets;
	const guint16 *name_indices[3];
	const guint32 *token_counts[3];
};

static void progress_body_clear(struct progress_body *progress)
{
	for (int i = 0; i < PROGRESS_CHILDREN; i++) {
		if (progress->children[i])
			g_variant_unref(progress->children[i]);
	}
	g_free(progress->names);
}

/* A column has one value per holding, or is empty, which means all zeros. */
static bool progress_body_read_column(const struct progress_body *progress,
				      int i, gsize size, const void *data)
{
	const void **column = (const void **)data;
	gsize length;

	*column =
		g_variant_get_fixed_array(progress->children[i], &length, size);
	if (length == 0)
		*column = NULL;
	return length == 0 || length == progress->count;
}

static bool progress_body_read_names(struct progress_body *progress)
{
	progress->names = g_variant_get_strv(progress->children[5],
					     &progress->name_count);
	if (progress->name_count > G_MAXUINT16)
		return false;
	for (gsize i = 0; i < progress->name_count; i++) {
		if (!peer_field_text_is_valid(progress->names[i], false))
			return false;
	}
	return true;
}

static bool progress_body_read(struct progress_body *progress, GVariant *body)
{
	bool valid;

	g_variant_get_child(body, 1, "t", &progress->base_ticket);
	for (int i = 5; i < PROGRESS_CHILDREN; i++)
		progress->children[i] = g_variant_get_child_value(body, i);
	progress->count = g_variant_n_children(progress->children[6]) +
			  g_variant_n_children(progress->children[7]);
	valid = progress->count <= MAX_HOLDINGS &&
		progress_body_read_names(progress) &&
		progress_body_read_column(progress, 6, 8, &progress->tickets) &&
		progress_body_read_column(progress, 7, 4, &progress->offsets);
	for (int i = 0; valid && i < 3; i++)
		valid = progress_body_read_column(progress, 8 + i, 2,
						  &progress->name_indices[i]) &&
			progress_body_read_column(progress, 11 + i, 4,
						  &progress->token_counts[i]);
	return valid;
}

static int64_t progress_body_tokens(const struct progress_body *progress,
				    int column, gsize i)
{
	const guint32 *token_counts = progress->token_counts[column];

	return token_counts ? token_counts[i] : 0;
}

/* Returns a new string, or NULL if the index is outside the table of names. */
static char *progress_body_name(const struct progress_body *progress,
				int column, gsize i)
{
	const guint16 *name_indices = progress->name_indices[column];
	guint16 index = name_indices ? name_indices[i] : 0;

	if (index == 0)
		return g_strdup("");
	if (index > progress->name_count)
		return NULL;
	return g_strdup(progress->names[index - 1]);
}

static bool progress_body_add(const struct progress_body *progress, gsize i,
			      struct peer_progress *result)
{
	struct peer_holding *holding = peer_progress_add_holding(result);

	if (progress->tickets)
		holding->ticket = progress->tickets[i];
	else
		holding->ticket = progress->base_ticket + progress->offsets[i];
	holding->service = progress_body_name(progress, 0, i);
	holding->endpoint = progress_body_name(progress, 1, i);
	holding->organisation = progress_body_name(progress, 2, i);
	holding->prompt_tokens = progress_body_tokens(progress, 0, i);
	holding->max_tokens = progress_body_tokens(progress, 1, i);
	holding->tokens = progress_body_tokens(progress, 2, i);
	return holding->service && holding->endpoint && holding->organisation &&
	       holding->prompt_tokens <= PEER_FIELD_MAX_TOKENS &&
	       holding->max_tokens <= PEER_FIELD_MAX_TOKENS &&
	       holding->tokens <= PEER_FIELD_MAX_TOKENS;
}

/*
 * Fills result with the holdings of a body in normal form. Returns false if a
 * column differs in length from the others, or if an index, text or number is
 * out of range.
 */
bool peer_progress_decode(GVariant *body, struct peer_progress *result)
{
	struct progress_body progress = {0};
	gboolean complete;
	bool valid;

	g_variant_get_child(body, 2, "b", &complete);
	result->complete = complete;
	valid = progress_body_read(&progress, body);
	for (gsize i = 0; valid && i < progress.count; i++)
		valid = progress_body_add(&progress, i, result);
	progress_body_clear(&progress);
	return valid;
}
