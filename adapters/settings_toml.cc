#include "adapters/toml_reader.h"

#include <stdexcept>

/*
 * Some malformed files reach an assertion of the parser, which would abort
 * the process (or, built without assertions, be undefined). Thrown instead, it
 * is one more parse error.
 */
[[noreturn]] static void toml_assertion_failed()
{
	throw std::logic_error("not TOML");
}
#undef NDEBUG
#define TOML_ASSERT(expr)                                                      \
	((expr) ? static_cast<void>(0) : toml_assertion_failed())
#include <toml++/toml.h>

#include <sstream>
#include <string>
#include <string_view>

namespace
{

constexpr size_t max_file_bytes = 1 << 20;

void toml_entry_destroy(gpointer data)
{
	auto *entry = static_cast<struct toml_entry *>(data);

	g_free(entry->section);
	g_free(entry->key);
	g_free(entry->string);
	g_strfreev(entry->strings);
	g_free(entry);
}

struct toml_entry *toml_entry_add(GPtrArray *entries,
				  const std::string &section,
				  std::string_view key, uint32_t line)
{
	struct toml_entry *entry = g_new0(struct toml_entry, 1);

	entry->section = g_strdup(section.c_str());
	entry->key = g_strndup(key.data(), key.size());
	entry->line = static_cast<int32_t>(line);
	entry->type = TOML_OTHER;
	g_ptr_array_add(entries, entry);
	return entry;
}

bool toml_text_has_nul(const std::string &text)
{
	return text.find('\0') != std::string::npos;
}

void toml_entry_set_list(struct toml_entry *entry, const toml::array &array)
{
	GPtrArray *strings = g_ptr_array_new();
	bool legal = true;

	for (const toml::node &item : array) {
		const auto *text = item.as_string();

		if (!text || toml_text_has_nul(text->get())) {
			legal = false;
			break;
		}
		g_ptr_array_add(strings, g_strdup(text->get().c_str()));
	}
	g_ptr_array_add(strings, nullptr);
	entry->strings =
		reinterpret_cast<char **>(g_ptr_array_free(strings, FALSE));
	if (legal)
		entry->type = TOML_STRING_LIST;
}

void toml_entry_set(struct toml_entry *entry, const toml::node &node)
{
	if (const auto *text = node.as_string()) {
		if (toml_text_has_nul(text->get()))
			return;
		entry->type = TOML_STRING;
		entry->string = g_strdup(text->get().c_str());
	} else if (const auto *integer = node.as_integer()) {
		entry->type = TOML_INTEGER;
		entry->integer = integer->get();
	} else if (const auto *boolean = node.as_boolean()) {
		entry->type = TOML_BOOLEAN;
		entry->boolean = boolean->get();
	} else if (const auto *array = node.as_array()) {
		toml_entry_set_list(entry, *array);
	}
}

/* A table inside a section becomes a section "outer.inner". */
void toml_flatten(GPtrArray *entries, const std::string &section,
		  const toml::table &table)
{
	for (const auto &[key, node] : table) {
		uint32_t line = node.source().begin.line;

		if (const auto *inner = node.as_table()) {
			std::string name = section.empty() ? "" : section + ".";

			name += key.str();
			toml_entry_add(entries, name, "", line)->type =
				TOML_SECTION;
			toml_flatten(entries, name, *inner);
			continue;
		}
		toml_entry_set(
			toml_entry_add(entries, section, key.str(), line),
			node);
	}
}

int toml_compare_lines(gconstpointer a, gconstpointer b)
{
	const auto *left = *static_cast<struct toml_entry *const *>(a);
	const auto *right = *static_cast<struct toml_entry *const *>(b);

	return left->line - right->line;
}

/* The parser's text goes on one line and never holds a whole value. */
void toml_set_parse_error(struct error *error, const char *step,
			  const char *peer, const toml::parse_error &failure)
{
	error_set(error, ERROR_INVALID, step, peer, "line %u: not TOML: %s",
		  static_cast<unsigned>(failure.source().begin.line),
		  std::string(failure.description()).c_str());
}

} // namespace

/*
 * Reads a TOML file of at most one megabyte. Returns struct toml_entry in the
 * order of the file, or NULL and an error that names the file:
 * ERROR_UNREACHABLE when it cannot be read, ERROR_INVALID when it is not TOML.
 */
GPtrArray *toml_reader_load(const char *path, struct error *error)
{
	static const char step[] = "settings.load";
	GPtrArray *entries;
	GError *failure = nullptr;
	gsize size = 0;
	char *text = nullptr;

	if (!g_file_get_contents(path, &text, &size, &failure)) {
		error_set(error, ERROR_UNREACHABLE, step, path, "%s",
			  failure->message);
		g_error_free(failure);
		return nullptr;
	}
	entries = g_ptr_array_new_with_free_func(toml_entry_destroy);
	try {
		if (size > max_file_bytes)
			throw std::length_error("larger than 1 MB");
		toml::table table = toml::parse(std::string_view(text, size));

		toml_flatten(entries, "", table);
		g_ptr_array_sort(entries, toml_compare_lines);
	} catch (const toml::parse_error &caught) {
		toml_set_parse_error(error, step, path, caught);
		g_clear_pointer(&entries, g_ptr_array_unref);
	} catch (const std::exception &caught) {
		error_set(error, ERROR_INVALID, step, path, "%s",
			  caught.what());
		g_clear_pointer(&entries, g_ptr_array_unref);
	}
	g_free(text);
	return entries;
}

/*
 * The TOML text as JSON, freed by the caller, or NULL and ERROR_INVALID. Dates
 * become strings.
 */
char *toml_reader_to_json(const char *text, struct error *error)
{
	static const char step[] = "toml.to_json";

	try {
		std::ostringstream out;
		toml::table table = toml::parse(std::string_view(text));

		out << toml::json_formatter{table};
		return g_strdup(out.str().c_str());
	} catch (const toml::parse_error &caught) {
		toml_set_parse_error(error, step, "", caught);
	} catch (const std::exception &caught) {
		error_set(error, ERROR_INVALID, step, "", "%s", caught.what());
	}
	return nullptr;
}
