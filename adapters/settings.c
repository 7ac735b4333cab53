#include "adapters/settings.h"

#include "adapters/setting.h"
#include "adapters/toml_reader.h"

#include <gio/gio.h>
#include <string.h>

/*
 * From this number of nodes on, a node requests grants from home nodes. Fewer
 * nodes choose engines by themselves: the bound on standings lets each learn of
 * the placements of all others within 0.1 s.
 */
#define DEFAULT_HOME_FROM_NODES 16

#define STEP "settings.load"
#define MAX_NAME_BYTES 64

static bool address_is_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	GInetAddress *address;
	guint64 port;
	char *host;
	bool valid;

	if (!colon || strlen(text) >= MAX_NAME_BYTES ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return false;
	if (*text == '[' && colon[-1] == ']')
		host = g_strndup(text + 1, (gsize)(colon - text) - 2);
	else
		host = g_strndup(text, (gsize)(colon - text));
	address = g_inet_address_new_from_string(host);
	valid = address &&
		((*text == '[') ==
		 (g_inet_address_get_family(address) == G_SOCKET_FAMILY_IPV6));
	g_clear_object(&address);
	g_free(host);
	return valid;
}

static bool name_is_valid(const char *text)
{
	size_t length = strlen(text);

	if (length == 0 || length >= MAX_NAME_BYTES)
		return false;
	for (const char *p = text; *p; p++) {
		if (!g_ascii_isalnum(*p) && !strchr("_.-", *p))
			return false;
	}
	return true;
}

static bool secret_is_valid(const struct setting *setting, const char *text)
{
	int64_t length = (int64_t)strlen(text);

	return length >= setting->min && length <= setting->max;
}

static bool settings_set_error(struct error *error, const char *path,
			       const struct toml_entry *entry,
			       const struct setting *setting,
			       const char *problem)
{
	char *accepted_values = setting_accepted_values(setting);

	error_set(error, ERROR_INVALID, STEP, path,
		  "line %d: [%s] %s: %s, expected %s", entry->line,
		  setting->section, setting->key, problem, accepted_values);
	g_free(accepted_values);
	return false;
}

/* Whether the text is two names with one '=' between them. */
static bool pair_is_valid(const char *text)
{
	char **names = g_strsplit(text, "=", 3);
	bool valid = g_strv_length(names) == 2 && name_is_valid(names[0]) &&
		     name_is_valid(names[1]);

	g_strfreev(names);
	return valid;
}

static bool item_is_valid(const struct setting *setting, const char *text)
{
	return setting->type == SETTING_PAIR_LIST ? pair_is_valid(text)
						  : address_is_valid(text);
}

static bool settings_apply_list(struct settings *settings, const char *path,
				const struct setting *setting,
				const struct toml_entry *entry,
				struct error *error)
{
	char ***field = setting_field(setting, settings);
	bool is_pair = setting->type == SETTING_PAIR_LIST;

	if (entry->type != TOML_STRING_LIST)
		return settings_set_error(error, path, entry, setting,
					  "wrong type");
	if (g_strv_length(entry->strings) > setting->max)
		return settings_set_error(error, path, entry, setting,
					  "too many");
	for (char **item = entry->strings; *item; item++) {
		if (!item_is_valid(setting, *item))
			return settings_set_error(error, path, entry, setting,
						  is_pair ? "not a pair"
							  : "not an address");
		for (char **other = entry->strings; other < item; other++) {
			if (strcmp(*other, *item) == 0)
				return settings_set_error(
					error, path, entry, setting,
					is_pair ? "duplicate pair"
						: "duplicate address");
		}
	}
	g_strfreev(*field);
	*field = g_strdupv(entry->strings);
	return true;
}

static bool settings_apply_text(struct settings *settings, const char *path,
				const struct setting *setting,
				const struct toml_entry *entry,
				struct error *error)
{
	bool valid;

	if (entry->type != TOML_STRING)
		return settings_set_error(error, path, entry, setting,
					  "wrong type");
	if (setting->type == SETTING_NAME)
		valid = name_is_valid(entry->string);
	else if (setting->type == SETTING_ADDRESS)
		valid = address_is_valid(entry->string);
	else
		valid = secret_is_valid(setting, entry->string);
	if (!valid)
		return settings_set_error(error, path, entry, setting,
					  "out of range");
	setting_set_text(setting, settings, entry->string);
	return true;
}

static bool settings_apply_choice(struct settings *settings, const char *path,
				  const struct setting *setting,
				  const struct toml_entry *entry,
				  struct error *error)
{
	if (entry->type != TOML_STRING)
		return settings_set_error(error, path, entry, setting,
					  "wrong type");
	for (int i = 0; setting->choices[i]; i++) {
		if (strcmp(setting->choices[i], entry->string) != 0)
			continue;
		if (setting_stores_text(setting))
			setting_set_text(setting, settings, entry->string);
		else
			*(int *)setting_field(setting, settings) = i;
		return true;
	}
	return settings_set_error(error, path, entry, setting, "unknown value");
}

/*
 * Fractions are accepted, because a platform may derive a limit from its load.
 * The comparison is written so that it rejects NaN.
 */
static bool settings_apply_number(struct settings *settings, const char *path,
				  const struct setting *setting,
				  const struct toml_entry *entry,
				  struct error *error)
{
	double value = entry->real;

	if (entry->type == TOML_INTEGER)
		value = (double)entry->integer;
	else if (entry->type != TOML_FLOAT)
		return settings_set_error(error, path, entry, setting,
					  "wrong type");
	if (!(value >= (double)setting->min && value <= (double)setting->max))
		return settings_set_error(error, path, entry, setting,
					  "out of range");
	setting_set_number(setting, settings, value);
	return true;
}

static bool settings_apply_entry(struct settings *settings, const char *path,
				 const struct toml_entry *entry,
				 struct error *error)
{
	const struct setting *setting = setting_find(entry->section, "");

	if (!setting) {
		error_set(error, ERROR_INVALID, STEP, path,
			  "line %d: unknown section [%.40s], expected one of "
			  "[node], [keys], [platform], [gateway], [policy], "
			  "[limits], [times], [log]",
			  entry->line, entry->section);
		return false;
	}
	if (entry->type == TOML_SECTION)
		return true;
	setting = setting_find(entry->section, entry->key);
	if (!setting || !*entry->key) {
		error_set(error, ERROR_INVALID, STEP, path,
			  "line %d: unknown key %.40s in [%s], expected one "
			  "that --help-settings lists",
			  entry->line, entry->key, entry->section);
		return false;
	}
	switch (setting->type) {
	case SETTING_NAME:
	case SETTING_ADDRESS:
	case SETTING_SECRET:
		return settings_apply_text(settings, path, setting, entry,
					   error);
	case SETTING_ADDRESS_LIST:
	case SETTING_PAIR_LIST:
		return settings_apply_list(settings, path, setting, entry,
					   error);
	case SETTING_CHOICE:
		return settings_apply_choice(settings, path, setting, entry,
					     error);
	case SETTING_INT32:
	case SETTING_INT64:
	case SETTING_MS:
	case SETTING_S:
	case SETTING_RATIO:
		return settings_apply_number(settings, path, setting, entry,
					     error);
	}
	return false;
}

static bool setting_is_required(const struct setting *setting,
				const struct settings *settings)
{
	switch (setting->required) {
	case REQUIRED_NEVER:
		return false;
	case REQUIRED_ALWAYS:
		return true;
	case REQUIRED_WITHOUT_GATEWAY:
		return !*settings->gateway.address;
	case REQUIRED_WITHOUT_STORE:
		return !*settings->gateway.address ||
		       !*settings->gateway.store_address;
	}
	return false;
}

static bool settings_check_required(struct settings *settings, const char *path,
				    struct error *error)
{
	for (size_t i = 0; i < setting_count(); i++) {
		const struct setting *setting = setting_at(i);
		char *accepted_values;

		if (!setting_is_required(setting, settings) ||
		    **(char **)setting_field(setting, settings))
			continue;
		accepted_values = setting_accepted_values(setting);
		error_set(error, ERROR_INVALID, STEP, path,
			  "[%s] %s: missing, expected %s", setting->section,
			  setting->key, accepted_values);
		g_free(accepted_values);
		return false;
	}
	return true;
}

static bool settings_check_addresses(const struct settings *settings,
				     const char *path, struct error *error)
{
	const struct {
		const char *key;
		const char *address;
	} used[] = {
		{"http_address", settings->node.http_address},
		{"peer_address", settings->node.peer_address},
		{"kv_address", settings->kv_address},
		{"vm_list_address", settings->vm_list_address},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(used); i++) {
		for (size_t j = 0; j < MIN(i, 2); j++) {
			if (!*used[i].address ||
			    strcmp(used[i].address, used[j].address) != 0)
				continue;
			error_set(error, ERROR_INVALID, STEP, path,
				  "%s: duplicate address %s, expected one "
				  "other than %s",
				  used[i].key, used[i].address, used[j].key);
			return false;
		}
	}
	for (const char *const *seed = settings->node.seeds; *seed; seed++) {
		if (strcmp(*seed, settings->node.http_address) == 0) {
			error_set(error, ERROR_INVALID, STEP, path,
				  "seeds: duplicate address %s, expected peer "
				  "addresses only",
				  *seed);
			return false;
		}
	}
	return true;
}

/*
 * Creates settings with their defaults; a string without a default is empty.
 * The caller frees them with settings_destroy().
 */
struct settings *settings_create(void)
{
	struct settings *settings = g_new0(struct settings, 1);

	node_options_default(&settings->node);
	for (size_t i = 0; i < setting_count(); i++) {
		char **field = setting_field(setting_at(i), settings);

		if (setting_is_text(setting_at(i)))
			*field = g_strdup("");
	}
	settings->node.seeds = (const char *const *)g_new0(char *, 1);
	settings->domain_regions = g_new0(char *, 1);
	settings->log_level = g_strdup("info");
	settings->vm_list_poll_ms = 1000;
	settings->max_header_bytes = 16384;
	settings->max_body_bytes = 4 << 20;
	settings->max_answer_bytes = 16 << 20;
	settings->stream_buffer_bytes = 256 << 10;
	settings->max_connections = 4096;
	settings->memory_mb = 96;
	settings->max_peer_record_bytes = 2 << 20;
	settings->connect_timeout_ms = 1000;
	settings->gateway.drain_us = 8 * G_USEC_PER_SEC;
	settings->gateway.directory_ttl_us = 2 * G_USEC_PER_SEC;
	settings->gateway.retry_percent = 20;
	settings->gateway.retry_extra = 50;
	settings->gateway.home_from_nodes = DEFAULT_HOME_FROM_NODES;
	settings->gateway.warmup_excess_percent = 100;
	settings->gateway.retry_window_us = 10 * G_USEC_PER_SEC;
	return settings;
}

/* Returns the path, or its end if it is too long: the end identifies a file. */
static const char *settings_path_tail(const char *path, size_t size)
{
	size_t length = strlen(path);

	return length < size ? path : path + length - size + 1;
}

/*
 * Reads and checks a settings file. On failure returns NULL and sets an error
 * that names the file, the key and the accepted values. No error contains the
 * value of a secret.
 */
struct settings *settings_load(const char *path, struct error *error)
{
	const char *file = settings_path_tail(path, sizeof(error->peer));
	GPtrArray *entries = toml_reader_load(path, error);
	struct settings *settings;
	bool valid = true;

	if (!entries) {
		g_strlcpy(error->peer, file, sizeof(error->peer));
		return NULL;
	}
	settings = settings_create();
	for (guint i = 0; valid && i < entries->len; i++)
		valid = settings_apply_entry(
			settings, file, g_ptr_array_index(entries, i), error);
	valid = valid && settings_check_required(settings, file, error) &&
		settings_check_addresses(settings, file, error);
	g_ptr_array_unref(entries);
	if (!valid)
		g_clear_pointer(&settings, settings_destroy);
	return settings;
}

/* Frees settings; NULL is allowed. */
void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	for (size_t i = 0; i < setting_count(); i++) {
		void *field = setting_field(setting_at(i), settings);

		if (setting_is_list(setting_at(i)))
			g_strfreev(*(char ***)field);
		else if (setting_stores_text(setting_at(i)))
			g_free(*(char **)field);
	}
	g_free(settings);
}
