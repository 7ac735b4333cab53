#include "core/plan/intent_check.h"

#include "core/config/config_lint.h"
#include "core/config/intent_json.h"
#include "core/json/json_reader.h"
#include "core/plan/plan.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define STEP "intent.check"

static const char *const lists[] = {"services", "organisations", "rollouts",
				    "routes"};

static void finding_destroy(gpointer data)
{
	struct intent_finding *finding = data;

	g_free(finding->path);
	g_free(finding->text);
	g_free(finding);
}

/* Adds a finding, which takes ownership of path. */
static void add_finding(struct intent_check *check,
			enum intent_finding_kind kind, char *path,
			const char *text)
{
	struct intent_finding *finding = g_new0(struct intent_finding, 1);

	finding->kind = kind;
	finding->path = path;
	finding->text = g_strdup(text);
	g_ptr_array_add(check->findings, finding);
}

/*
 * Adds an error whose detail is "PATH: TEXT". The entry that it is about was
 * read alone, as the first one of its list; its place is at the index.
 */
static void add_entry_error(struct intent_check *check, const char *list,
			    guint index, const char *detail)
{
	char *first = g_strdup_printf("%s[0]", list);
	size_t size = strlen(first);
	const char *text = strstr(detail, ": ");

	if (text && g_str_has_prefix(detail, first))
		add_finding(check, INTENT_ERROR,
			    g_strdup_printf("%s[%u]%.*s", list, index,
					    (int)(text - detail - (long)size),
					    detail + size),
			    text + 2);
	else
		add_finding(check, INTENT_ERROR,
			    g_strdup_printf("%s[%u]", list, index), detail);
	g_free(first);
}

/* Reads an entry of an intent's list by itself. */
static void check_entry(struct intent_check *check, const char *list,
			guint index, JsonNode *entry)
{
	JsonBuilder *builder = json_builder_new();
	struct error error;
	struct intent *intent;
	JsonNode *root;
	GBytes *document;
	char *text;

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, list);
	json_builder_begin_array(builder);
	json_builder_add_value(builder, json_node_copy(entry));
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	document = g_bytes_new_take(text, strlen(text));
	intent = intent_json_parse(document, &error);
	if (!intent)
		add_entry_error(check, list, index, error.detail);
	intent_destroy(intent);
	g_bytes_unref(document);
	json_node_unref(root);
	g_object_unref(builder);
}

static JsonArray *find_list(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
						   : NULL;
}

/* Finds the first error of each entry. */
static void check_entries(struct intent_check *check, JsonObject *object)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		JsonArray *list = find_list(object, lists[i]);

		for (guint j = 0; list && j < json_array_get_length(list); j++)
			check_entry(check, lists[i], j,
				    json_array_get_element(list, j));
	}
}

/* Adds an error about the whole intent, unless an entry has one already. */
static void add_whole_error(struct intent_check *check,
			    const struct error *error)
{
	const char *text = strstr(error->detail, ": ");
	size_t size = text ? (size_t)(text - error->detail) : 0;
	bool is_path = text && strcspn(error->detail, " ") > size;

	if (check->findings->len > 0)
		return;
	add_finding(check, INTENT_ERROR,
		    g_strndup(error->detail, is_path ? size : 0),
		    is_path ? text + 2 : error->detail);
}

/* Returns the path of an entry's member in the intent; "": it is not there. */
static char *find_path(JsonObject *object, const struct lint_finding *lint)
{
	JsonArray *list = find_list(object, lint->list);

	for (guint i = 0; list && i < json_array_get_length(list); i++) {
		JsonNode *node = json_array_get_element(list, i);
		JsonObject *entry = JSON_NODE_HOLDS_OBJECT(node)
					    ? json_node_get_object(node)
					    : NULL;

		if (entry &&
		    g_strcmp0(json_object_get_string_member_with_default(
				      entry, "name", NULL),
			      lint->name) == 0)
			return g_strdup_printf("%s[%u].%s", lint->list, i,
					       lint->member);
	}
	return g_strdup("");
}

/* Whether the configuration in force holds the same in vain already. */
static bool is_known(const GPtrArray *findings, const struct lint_finding *lint)
{
	for (guint i = 0; i < findings->len; i++) {
		const struct lint_finding *other =
			g_ptr_array_index(findings, i);

		if (strcmp(other->name, lint->name) == 0 &&
		    strcmp(other->text, lint->text) == 0)
			return true;
	}
	return false;
}

/* Adds what is in vain in the intent's entries, or becomes so by it. */
static void add_lint(struct intent_check *check, JsonObject *object,
		     const struct config *base, const struct config *config)
{
	static const enum intent_finding_kind kinds[] = {
		[LINT_NO_EFFECT] = INTENT_NO_EFFECT,
		[LINT_CONTRADICTION] = INTENT_CONTRADICTION,
	};
	GPtrArray *before = config_lint(base);
	GPtrArray *findings = config_lint(config);

	for (guint i = 0; i < findings->len; i++) {
		const struct lint_finding *lint =
			g_ptr_array_index(findings, i);
		char *path = find_path(object, lint);
		char *text;

		if (!*path && is_known(before, lint)) {
			g_free(path);
			continue;
		}
		text = g_strdup_printf("%s %s: %s: %s", lint->list, lint->name,
				       lint->member, lint->text);
		add_finding(check, kinds[lint->kind], path, text);
		g_free(text);
	}
	g_ptr_array_unref(findings);
	g_ptr_array_unref(before);
}

static void take_lines(GPtrArray *to, const GPtrArray *from)
{
	for (guint i = 0; i < from->len; i++)
		g_ptr_array_add(to, g_strdup(g_ptr_array_index(from, i)));
}

static void check_whole(struct intent_check *check, JsonObject *object,
			const struct config *base, const char *text)
{
	GBytes *document = g_bytes_new(text, strlen(text));
	struct error error;
	struct intent *intent = intent_json_parse(document, &error);
	struct plan *plan = NULL;

	if (!intent)
		add_whole_error(check, &error);
	else if (base && check->findings->len == 0)
		plan = plan_create(base, document, "check", "check", 0, &error);
	if (intent && base && !plan)
		add_whole_error(check, &error);
	if (plan) {
		add_lint(check, object, base, plan->result);
		take_lines(check->differences, plan->differences);
		take_lines(check->warnings, plan->warnings);
	}
	plan_destroy(plan);
	intent_destroy(intent);
	g_bytes_unref(document);
}

/*
 * Checks an intent in JSON against the configuration in force. Without one, if
 * base is NULL, it finds errors of entries only: what an intent refers to may
 * be in force already. The caller frees the result.
 */
struct intent_check *intent_check_create(const struct config *base,
					 const char *intent)
{
	struct intent_check *check = g_new0(struct intent_check, 1);
	GBytes *document = g_bytes_new(intent, strlen(intent));
	struct error error = {.detail = "no JSON object"};
	JsonNode *root;

	check->findings = g_ptr_array_new_with_free_func(finding_destroy);
	check->differences = g_ptr_array_new_with_free_func(g_free);
	check->warnings = g_ptr_array_new_with_free_func(g_free);
	root = json_reader_parse_lax(document, g_bytes_get_size(document), STEP,
				     &error);
	if (root && JSON_NODE_HOLDS_OBJECT(root)) {
		check_entries(check, json_node_get_object(root));
		check_whole(check, json_node_get_object(root), base, intent);
	} else {
		add_finding(check, INTENT_ERROR, g_strdup(""), error.detail);
	}
	g_clear_pointer(&root, json_node_unref);
	g_bytes_unref(document);
	return check;
}

/* Frees a check; NULL is allowed. */
void intent_check_destroy(struct intent_check *check)
{
	if (!check)
		return;
	g_ptr_array_unref(check->findings);
	g_ptr_array_unref(check->differences);
	g_ptr_array_unref(check->warnings);
	g_free(check);
}
