#include "daemons/ctl_check.h"

#include "adapters/toml_reader.h"
#include "core/config/config_json.h"
#include "core/json/json_line.h"
#include "core/json/json_writer.h"
#include "core/plan/intent_check.h"

#include <json-glib/json-glib.h>
#include <string.h>

static const char *const kind_names[] = {
	[INTENT_ERROR] = "error",
	[INTENT_NO_EFFECT] = "no effect",
	[INTENT_CONTRADICTION] = "contradiction",
};

static bool is_json(const char *text)
{
	return text[strspn(text, " \t\r\n")] == '{';
}

static int32_t line_of(const struct ctl_check *check, const char *path)
{
	if (!*path)
		return 0;
	return is_json(check->text) ? json_line_of(check->text, path)
				    : toml_reader_line_of(check->text, path);
}

static void print_finding(const struct ctl_check *check,
			  const struct intent_finding *finding, FILE *out)
{
	int32_t line = line_of(check, finding->path);

	fputs(check->path, out);
	if (line > 0)
		fprintf(out, ":%d", line);
	fprintf(out, ": %s: ", kind_names[finding->kind]);
	if (finding->kind == INTENT_ERROR && *finding->path)
		fprintf(out, "%s: ", finding->path);
	fprintf(out, "%s\n", finding->text);
}

static void print_lines(const char *what, const GPtrArray *lines, FILE *out)
{
	for (guint i = 0; i < lines->len; i++)
		fprintf(out, "%s: %s\n", what,
			(const char *)g_ptr_array_index(lines, i));
}

static void print_text(const struct ctl_check *check,
		       const struct intent_check *result, FILE *out)
{
	for (guint i = 0; i < result->findings->len; i++)
		print_finding(check, g_ptr_array_index(result->findings, i),
			      out);
	print_lines("change", result->differences, out);
	print_lines("warning", result->warnings, out);
	if (!check->base)
		fputs("not compared with a configuration in force\n", out);
}

static void add_finding(const struct ctl_check *check,
			const struct intent_finding *finding,
			JsonBuilder *builder)
{
	json_builder_begin_object(builder);
	json_writer_add_string(builder, "kind", kind_names[finding->kind]);
	json_writer_add_string(builder, "file", check->path);
	json_writer_add_int(builder, "line", line_of(check, finding->path));
	json_writer_add_string(builder, "field", finding->path);
	json_writer_add_string(builder, "text", finding->text);
	json_builder_end_object(builder);
}

static void print_json(const struct ctl_check *check,
		       const struct intent_check *result, FILE *out)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	json_writer_begin_array(builder, "findings");
	for (guint i = 0; i < result->findings->len; i++)
		add_finding(check, g_ptr_array_index(result->findings, i),
			    builder);
	json_builder_end_array(builder);
	json_writer_add_strings(builder, "changes", result->differences);
	json_writer_add_strings(builder, "warnings", result->warnings);
	json_builder_set_member_name(builder, "compared");
	json_builder_add_boolean_value(builder, check->base != NULL);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, TRUE);
	fprintf(out, "%s\n", text);
	g_free(text);
	json_node_unref(root);
	g_object_unref(builder);
}

/* Prints why the file can't be read as TOML. */
static enum ctl_exit refuse_syntax(const struct ctl_check *check,
				   const struct error *error, FILE *out)
{
	fprintf(out, "%s: error: %s\n", check->path, error->detail);
	return CTL_REFUSED;
}

/*
 * Checks an intent and prints what was found. Returns CTL_OK if there was
 * nothing but changes, CTL_REFUSED if the intent has errors or entries that are
 * in vain, and CTL_USAGE if the base is no configuration.
 */
enum ctl_exit ctl_check_run(const struct ctl_check *check, FILE *out)
{
	struct config *base = NULL;
	struct intent_check *result;
	enum ctl_exit status;
	struct error error;
	char *intent;

	if (check->base) {
		GBytes *document =
			g_bytes_new(check->base, strlen(check->base));

		base = config_json_parse(document, 1, &error);
		g_bytes_unref(document);
		if (!base) {
			fprintf(stderr,
				"siskinlinkctl: the configuration to compare "
				"with: %s\n",
				error.detail);
			return CTL_USAGE;
		}
	}
	intent = is_json(check->text)
			 ? g_strdup(check->text)
			 : toml_reader_to_json(check->text, &error);
	if (!intent) {
		config_unref(base);
		return refuse_syntax(check, &error, out);
	}
	result = intent_check_create(base, intent);
	(check->json ? print_json : print_text)(check, result, out);
	status = result->findings->len > 0 ? CTL_REFUSED : CTL_OK;
	intent_check_destroy(result);
	config_unref(base);
	g_free(intent);
	return status;
}
