#include "adapters/gateway/http_head.h"

#include <stdlib.h>
#include <string.h>

/* Hop-by-hop fields, which are never forwarded (RFC 9110). */
static const char *const hop_by_hop_fields[] = {
	"connection",
	"keep-alive",
	"proxy-connection",
	"te",
	"trailer",
	"transfer-encoding",
	"upgrade",
	"expect",
	"content-length", /* written again with the forwarded body */
	NULL,
};

static void field_clear(gpointer data)
{
	struct http_field *field = data;

	g_free(field->name);
	g_free(field->value);
}

/* Creates an empty head; http_head_destroy frees it. */
struct http_head *http_head_create(void)
{
	struct http_head *head = g_new0(struct http_head, 1);

	head->fields = g_array_new(FALSE, FALSE, sizeof(struct http_field));
	g_array_set_clear_func(head->fields, field_clear);
	head->content_length = -1;
	return head;
}

/* Frees a head; NULL is allowed. */
void http_head_destroy(struct http_head *head)
{
	if (!head)
		return;
	g_array_unref(head->fields);
	g_free(head->method);
	g_free(head->target);
	g_free(head->reason);
	g_free(head);
}

/* Appends a field; name and value are copied. */
void http_head_add(struct http_head *head, const char *name, size_t name_size,
		   const char *value, size_t value_size)
{
	struct http_field field = {.name = g_strndup(name, name_size),
				   .value = g_strndup(value, value_size)};

	g_array_append_val(head->fields, field);
}

/*
 * The value of the first field with this name, compared without case; NULL if
 * there is none. The head owns it.
 */
const char *http_head_get(const struct http_head *head, const char *name)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);

		if (g_ascii_strcasecmp(field->name, name) == 0)
			return field->value;
	}
	return NULL;
}

/* The number of fields with this name, compared without case. */
size_t http_head_count(const struct http_head *head, const char *name)
{
	size_t count = 0;

	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);

		count += g_ascii_strcasecmp(field->name, name) == 0;
	}
	return count;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const char *const *first = a, *const *second = b;

	return g_ascii_strcasecmp(*first, *second);
}

/*
 * Returns the names of all fields that the Connection fields list, sorted. The
 * caller frees it.
 */
static GPtrArray *head_connection_names(const struct http_head *head)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);
		char **words;

		if (g_ascii_strcasecmp(field->name, "Connection") != 0)
			continue;
		words = g_strsplit(field->value, ",", -1);
		for (char **word = words; *word; word++)
			g_ptr_array_add(names, g_strstrip(*word));
		g_free(words);
	}
	g_ptr_array_sort(names, compare_names);
	return names;
}

static bool names_contain(const GPtrArray *names, const char *name)
{
	return names->len > 0 && bsearch(&name, names->pdata, names->len,
					 sizeof(gpointer), compare_names);
}

static bool list_has_token(const char *list, const char *token)
{
	char **words = g_strsplit(list, ",", -1);
	bool found = false;

	for (char **word = words; *word && !found; word++)
		found = g_ascii_strcasecmp(g_strstrip(*word), token) == 0;
	g_strfreev(words);
	return found;
}

/* Whether a field with this name lists the token, compared without case. */
bool http_head_has_token(const struct http_head *head, const char *name,
			 const char *token)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);

		if (g_ascii_strcasecmp(field->name, name) == 0 &&
		    list_has_token(field->value, token))
			return true;
	}
	return false;
}

static bool name_is_listed(const char *name, const char *const *list)
{
	for (; list && *list; list++) {
		if (g_ascii_strcasecmp(*list, name) == 0)
			return true;
	}
	return false;
}

/*
 * Appends the end-to-end fields to out, one line each, except those in
 * excluded: NULL or a list of names that ends with NULL. Fields that the head
 * itself names in Connection are for this connection only.
 */
void http_head_append_end_to_end(const struct http_head *head,
				 const char *const *excluded, GString *out)
{
	GPtrArray *connection = head_connection_names(head);

	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);

		if (name_is_listed(field->name, hop_by_hop_fields) ||
		    name_is_listed(field->name, excluded) ||
		    names_contain(connection, field->name))
			continue;
		g_string_append_printf(out, "%s: %s\r\n", field->name,
				       field->value);
	}
	g_ptr_array_unref(connection);
}
