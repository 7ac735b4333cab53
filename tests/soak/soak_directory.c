#include "tests/soak/soak_directory.h"
#include "tests/soak/soak_http.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* A caller asks three nodes at most, each for a second. */
#define ASKED_NODES 3
#define ASK_US G_TIME_SPAN_SECOND
/* Some callers keep an answer three times as long as it says. */
#define LONG_FACTOR 3

struct soak_directory {
	struct soak_view *view;
	GRand *random;
	bool keeps_long;
	GPtrArray *fronts;
	GHashTable *failed;
	int64_t until_us;
};

/* Asks nobody yet. */
struct soak_directory *soak_directory_create(struct soak_view *view,
					     GRand *random, bool keeps_long)
{
	struct soak_directory *directory = g_new0(struct soak_directory, 1);

	directory->view = view;
	directory->random = random;
	directory->keeps_long = keeps_long;
	directory->fronts = g_ptr_array_new_with_free_func(g_free);
	directory->failed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return directory;
}

/* NULL is allowed. */
void soak_directory_destroy(struct soak_directory *directory)
{
	if (!directory)
		return;
	g_ptr_array_unref(directory->fronts);
	g_hash_table_unref(directory->failed);
	g_free(directory);
}

static bool directory_read(struct soak_directory *directory, const char *text)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *object;
	JsonArray *list;
	int64_t keep_us;

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
	keep_us = json_object_get_int_member_with_default(object, "ttl_s", 1) *
		  G_USEC_PER_SEC;
	if (directory->keeps_long)
		keep_us *= LONG_FACTOR;
	directory->until_us = g_get_monotonic_time() + keep_us;
	g_hash_table_remove_all(directory->failed);
	return true;
}

/* Without an answer the last one serves on. */
static void directory_ask(struct soak_directory *directory)
{
	int32_t nodes = soak_view_nodes(directory->view);

	for (int i = 0; i < ASKED_NODES; i++) {
		g_autofree char *address = soak_view_directory(
			directory->view,
			g_rand_int_range(directory->random, 0, nodes));
		struct soak_answer *answer = soak_answer_create();
		struct error error = {0};
		bool is_read = soak_http_call(address, "GET",
					      "/v1/resolve?name=reports.example"
					      "&region=r&zone=z",
					      NULL, answer, ASK_US, &error) &&
			       answer->status == 200 &&
			       directory_read(directory, answer->body->str);

		soak_answer_destroy(answer);
		if (is_read)
			return;
	}
}

/* Any address of the answer that has not failed; NULL: none is known. */
char *soak_directory_choose(struct soak_directory *directory)
{
	g_autoptr(GPtrArray) sound = g_ptr_array_new();

	if (g_get_monotonic_time() >= directory->until_us)
		directory_ask(directory);
	for (guint i = 0; i < directory->fronts->len; i++) {
		char *front = g_ptr_array_index(directory->fronts, i);

		if (!g_hash_table_contains(directory->failed, front))
			g_ptr_array_add(sound, front);
	}
	if (sound->len == 0) {
		directory->until_us = 0;
		return NULL;
	}
	return g_strdup(
		g_ptr_array_index(sound, g_rand_int_range(directory->random, 0,
							  (gint32)sound->len)));
}

/* It is not chosen again until the next answer. */
void soak_directory_note_failed(struct soak_directory *directory,
				const char *front)
{
	g_hash_table_add(directory->failed, g_strdup(front));
}
