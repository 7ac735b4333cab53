#include "tests/soak/soak_directory.h"
#include "tests/soak/soak_http.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* A caller queries at most three nodes, with a timeout of one second each. */
#define MAX_QUERIED_NODES 3
#define QUERY_TIMEOUT_US G_TIME_SPAN_SECOND
/* Callers that keep answers too long use them for three times the ttl_s. */
#define STALE_TTL_FACTOR 3

struct soak_directory {
	struct soak_view *view;
	GRand *random;
	bool keeps_stale;
	GPtrArray *fronts;
	GHashTable *failed;
	int64_t expires_us;
};

/*
 * Sends no query yet. With keeps_stale, answers are used for longer than their
 * time to live. The view and random must outlive the directory.
 */
struct soak_directory *soak_directory_create(struct soak_view *view,
					     GRand *random, bool keeps_stale)
{
	struct soak_directory *directory = g_new0(struct soak_directory, 1);

	directory->view = view;
	directory->random = random;
	directory->keeps_stale = keeps_stale;
	directory->fronts = g_ptr_array_new_with_free_func(g_free);
	directory->failed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return directory;
}

/* Frees the directory, but neither view nor random; NULL is allowed. */
void soak_directory_destroy(struct soak_directory *directory)
{
	if (!directory)
		return;
	g_ptr_array_unref(directory->fronts);
	g_hash_table_unref(directory->failed);
	g_free(directory);
}

static bool directory_parse(struct soak_directory *directory, const char *text)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *object;
	JsonArray *list;
	int64_t ttl_us;

	if (!json_parser_load_from_data(parser, text, -1, NULL) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser)))
		return false;
	object = json_node_get_object(json_parser_get_root(parser));
	if (!json_object_has_member(object, "addresses"))
		return false;
	list = json_object_get_array_member(object, "addresses");
	if (json_array_get_length(list) == 0)
		return false;
	g_ptr_array_set_size(directory->fronts, 0);
	for (guint i = 0; i < json_array_get_length(list); i++)
		g_ptr_array_add(
			directory->fronts,
			g_strdup(json_array_get_string_element(list, i)));
	ttl_us = json_object_get_int_member_with_default(object, "ttl_s", 1) *
		 G_USEC_PER_SEC;
	if (directory->keeps_stale)
		ttl_us *= STALE_TTL_FACTOR;
	directory->expires_us = g_get_monotonic_time() + ttl_us;
	g_hash_table_remove_all(directory->failed);
	return true;
}

/* If no node answers, the addresses of the last answer stay in use. */
static void directory_query(struct soak_directory *directory)
{
	int32_t nodes = soak_view_nodes(directory->view);

	for (int i = 0; i < MAX_QUERIED_NODES; i++) {
		g_autofree char *address = soak_view_directory(
			directory->view,
			g_rand_int_range(directory->random, 0, nodes));
		struct soak_answer *answer = soak_answer_create();
		struct error error = {0};
		bool is_parsed =
			soak_http_call(address, "GET",
				       "/v1/resolve?name=reports.example"
				       "&region=r&zone=z",
				       NULL, answer, QUERY_TIMEOUT_US,
				       &error) &&
			answer->status == 200 &&
			directory_parse(directory, answer->body->str);

		soak_answer_destroy(answer);
		if (is_parsed)
			return;
	}
}

/*
 * Returns a random address that has not failed since the last answer, or NULL
 * if there is none; the caller frees it. Queries the directory first if the
 * last answer has expired.
 */
char *soak_directory_pick(struct soak_directory *directory)
{
	g_autoptr(GPtrArray) usable = g_ptr_array_new();

	if (g_get_monotonic_time() >= directory->expires_us)
		directory_query(directory);
	for (guint i = 0; i < directory->fronts->len; i++) {
		char *front = g_ptr_array_index(directory->fronts, i);

		if (!g_hash_table_contains(directory->failed, front))
			g_ptr_array_add(usable, front);
	}
	if (usable->len == 0) {
		directory->expires_us = 0;
		return NULL;
	}
	return g_strdup(g_ptr_array_index(
		usable,
		g_rand_int_range(directory->random, 0, (gint32)usable->len)));
}

/* Excludes the address until the next answer of the directory. */
void soak_directory_note_failed(struct soak_directory *directory,
				const char *front)
{
	g_hash_table_add(directory->failed, g_strdup(front));
}
