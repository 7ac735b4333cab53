#include "adapters/settings.h"

#include "adapters/toml_reader.h"

#include <gio/gio.h>
#include <stdio.h>
#include <string.h>

#define STEP "settings.load"
#define MAX_NAME_BYTES 64
#define MAX_SECRET_BYTES 256
#define MAX_SEEDS 64

enum setting_type {
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_ADDRESS_LIST,
	SETTING_SECRET,
	SETTING_CHOICE,
	SETTING_INT32,
	SETTING_INT64,
	SETTING_MS,   /* kept in microseconds */
	SETTING_S,    /* kept in microseconds */
	SETTING_RATIO /* kept in hundredths */
};

enum setting_need {
	NEED_NOT,
	NEED_ALWAYS,
	NEED_WITHOUT_GATEWAY,
	NEED_WITHOUT_STORE /* a gateway may have the platform's store */
};

struct setting {
	const char *section;
	const char *key;
	enum setting_type type;
	enum setting_need need;
	size_t offset;
	int64_t min; /* numbers: value; secrets: length */
	int64_t max;
	const char *const *choices; /* the default first, NULL-terminated */
	const char *help;
};

static const char *const level_choices[] = {"info", "warn", "error", NULL};
static const char *const placement_choices[] = {[NODE_PLACEMENT_HOME] = "home",
						[NODE_PLACEMENT_SHARES] =
							"shares",
						NULL};
static const char *const policy_choices[] = {
	[PLACEMENT_NAIVE] = "naive", [PLACEMENT_PEAK] = "peak", NULL};

#define FIELD(name) offsetof(struct settings, name)

static const struct setting table[] = {
	{"node", "name", SETTING_NAME, NEED_ALWAYS, FIELD(node.name), 0, 0,
	 NULL, "unique among the nodes"},
	{"node", "region", SETTING_NAME, NEED_ALWAYS, FIELD(node.region), 0, 0,
	 NULL, "region the VM is in"},
	{"node", "failure_domain", SETTING_NAME, NEED_ALWAYS,
	 FIELD(node.failure_domain), 0, 0, NULL, "failure domain the VM is in"},
	{"node", "http_address", SETTING_ADDRESS, NEED_ALWAYS,
	 FIELD(node.http_address), 0, 0, NULL,
	 "where callers and operators connect"},
	{"node", "peer_address", SETTING_ADDRESS, NEED_ALWAYS,
	 FIELD(node.peer_address), 0, 0, NULL, "where other nodes connect"},
	{"node", "seeds", SETTING_ADDRESS_LIST, NEED_NOT, FIELD(node.seeds), 0,
	 MAX_SEEDS, NULL, "peer addresses to join by; own one allowed"},

	{"keys", "event_key", SETTING_SECRET, NEED_WITHOUT_GATEWAY,
	 FIELD(node.event_key), 16, MAX_SECRET_BYTES, NULL,
	 "signs event ids; the same on all nodes"},
	{"keys", "operator_key", SETTING_SECRET, NEED_NOT, FIELD(operator_key),
	 16, MAX_SECRET_BYTES, NULL,
	 "opens the operators' API; none closes it"},

	{"platform", "kv_address", SETTING_ADDRESS, NEED_WITHOUT_STORE,
	 FIELD(kv_address), 0, 0, NULL, "key-value service"},
	{"platform", "vm_list_address", SETTING_ADDRESS, NEED_NOT,
	 FIELD(vm_list_address), 0, 0, NULL,
	 "VM list; none: endpoints leave by report only"},
	{"platform", "vm_list_poll_ms", SETTING_INT64, NEED_NOT,
	 FIELD(vm_list_poll_ms), 100, 60000, NULL,
	 "between reads of the VM list"},
	{"platform", "kv_timeout_ms", SETTING_MS, NEED_NOT,
	 FIELD(node.kv_timeout_us), 50, 60000, NULL,
	 "one call to the key-value service"},

	{"gateway", "address", SETTING_ADDRESS, NEED_NOT,
	 FIELD(gateway.address), 0, 0, NULL,
	 "callers' requests by routes; none: no gateway"},
	{"gateway", "ready_address", SETTING_ADDRESS, NEED_NOT,
	 FIELD(gateway.ready_address), 0, 0, NULL,
	 "answers whether the node takes work"},
	{"gateway", "directory_address", SETTING_ADDRESS, NEED_NOT,
	 FIELD(gateway.directory_address), 0, 0, NULL,
	 "answers which nodes take work"},
	{"gateway", "store_address", SETTING_ADDRESS, NEED_NOT,
	 FIELD(gateway.store_address), 0, 0, NULL,
	 "the platform's metadata store; none: own configuration"},
	{"gateway", "drain_s", SETTING_S, NEED_NOT, FIELD(gateway.drain_us), 1,
	 3600, NULL, "from SIGTERM to the end of the process"},
	{"gateway", "address_keep_s", SETTING_S, NEED_NOT,
	 FIELD(gateway.address_keep_us), 1, 60, NULL,
	 "callers keep an answer of the directory"},
	{"gateway", "retry_ratio", SETTING_RATIO, NEED_NOT,
	 FIELD(gateway.retry_percent), 0, 1, NULL,
	 "sends beyond the first, as a share of requests"},
	{"gateway", "retry_extra", SETTING_INT64, NEED_NOT,
	 FIELD(gateway.retry_extra), 0, 1000000, NULL,
	 "and so many more in a window, of all nodes together"},
	{"gateway", "retry_window_s", SETTING_S, NEED_NOT,
	 FIELD(gateway.retry_window_us), 1, 3600, NULL,
	 "window in which retries are counted"},

	{"policy", "placement", SETTING_CHOICE, NEED_NOT, FIELD(node.placement),
	 0, 0, placement_choices,
	 "who counts an engine: its home node, or each"},
	{"policy", "policy", SETTING_CHOICE, NEED_NOT, FIELD(node.policy), 0, 0,
	 policy_choices, "admission to engines"},
	{"policy", "engines_per_shard", SETTING_INT32, NEED_NOT,
	 FIELD(node.engines_per_shard), 1, 4096, NULL,
	 "engines that share one home node"},
	{"policy", "max_attempts", SETTING_INT32, NEED_NOT,
	 FIELD(node.max_attempts), 1, 10, NULL,
	 "endpoints tried for one request"},
	{"policy", "retry_percent", SETTING_INT32, NEED_NOT,
	 FIELD(node.retry_percent), 0, 100, NULL,
	 "retries as a share of first attempts"},

	{"limits", "max_calls", SETTING_INT32, NEED_NOT, FIELD(node.max_calls),
	 1, 1000000, NULL, "open calls"},
	{"limits", "max_waiting", SETTING_INT32, NEED_NOT,
	 FIELD(node.max_waiting), 1, 1000000, NULL,
	 "calls waiting for an endpoint"},
	{"limits", "max_outcomes", SETTING_INT32, NEED_NOT,
	 FIELD(node.max_outcomes), 1, 10000000, NULL, "request ids remembered"},
	{"limits", "max_outcome_bytes", SETTING_INT32, NEED_NOT,
	 FIELD(node.max_outcome_bytes), 0, 1 << 24, NULL,
	 "kept of one outcome"},
	{"limits", "max_connections", SETTING_INT64, NEED_NOT,
	 FIELD(max_connections), 1, 1000000, NULL,
	 "open connections of callers"},
	{"limits", "max_open_files", SETTING_INT64, NEED_NOT,
	 FIELD(max_open_files), 0, 10000000, NULL,
	 "fewer connections are taken if these don't suffice; 0: no bound"},
	{"limits", "max_header_bytes", SETTING_INT64, NEED_NOT,
	 FIELD(max_header_bytes), 1024, 1 << 20, NULL, "headers of a request"},
	{"limits", "max_body_bytes", SETTING_INT64, NEED_NOT,
	 FIELD(max_body_bytes), 1024, 1 << 30, NULL, "body of a request"},
	{"limits", "max_answer_bytes", SETTING_INT64, NEED_NOT,
	 FIELD(max_answer_bytes), 1024, 1 << 30, NULL,
	 "answer of a plain endpoint"},
	{"limits", "stream_buffer_bytes", SETTING_INT64, NEED_NOT,
	 FIELD(stream_buffer_bytes), 4096, 1 << 26, NULL,
	 "held for a slow caller of a stream"},
	{"limits", "max_peer_record_bytes", SETTING_INT64, NEED_NOT,
	 FIELD(max_peer_record_bytes), 4096, 1 << 24, NULL,
	 "one record from another node"},

	{"times", "heartbeat_ms", SETTING_MS, NEED_NOT,
	 FIELD(node.heartbeat_us), 50, 60000, NULL,
	 "between probes of a random node"},
	{"times", "suspect_ms", SETTING_MS, NEED_NOT, FIELD(node.suspect_us),
	 100, 600000, NULL, "from no answer to dead"},
	{"times", "load_poll_ms", SETTING_MS, NEED_NOT,
	 FIELD(node.load_poll_us), 50, 60000, NULL,
	 "between reads of an endpoint's load"},
	{"times", "progress_ms", SETTING_MS, NEED_NOT, FIELD(node.progress_us),
	 50, 60000, NULL, "between reports to a home node"},
	{"times", "connect_timeout_ms", SETTING_INT64, NEED_NOT,
	 FIELD(connect_timeout_ms), 10, 60000, NULL,
	 "connecting to an endpoint"},
	{"times", "first_token_timeout_ms", SETTING_MS, NEED_NOT,
	 FIELD(node.first_token_timeout_us), 100, 3600000, NULL,
	 "from sending to the first token"},
	{"times", "stall_timeout_ms", SETTING_MS, NEED_NOT,
	 FIELD(node.stall_timeout_us), 100, 3600000, NULL,
	 "between chunks of a stream"},
	{"times", "plain_timeout_ms", SETTING_MS, NEED_NOT,
	 FIELD(node.plain_timeout_us), 100, 3600000, NULL,
	 "a plain endpoint's whole answer"},
	{"times", "answer_keep_s", SETTING_S, NEED_NOT,
	 FIELD(node.answer_keep_us), 1, 3600, NULL,
	 "life of an answer of /v1/nodes"},
	{"times", "id_memory_s", SETTING_S, NEED_NOT, FIELD(node.id_memory_us),
	 1, 86400, NULL, "outcomes of request ids are remembered"},
	{"times", "drain_timeout_s", SETTING_S, NEED_NOT,
	 FIELD(node.drain_timeout_us), 0, 86400, NULL,
	 "streams may take to end when stopping; 0: no bound"},
	{"times", "isolation_s", SETTING_S, NEED_NOT, FIELD(node.isolation_us),
	 1, 3600, NULL, "without the service and most nodes: no new work"},

	{"log", "level", SETTING_CHOICE, NEED_NOT, FIELD(log_level), 0, 0,
	 level_choices, "least level written"},
};

static void *setting_field(const struct setting *setting,
			   struct settings *settings)
{
	return (char *)settings + setting->offset;
}

static bool setting_is_text(const struct setting *setting)
{
	return setting->type == SETTING_NAME ||
	       setting->type == SETTING_ADDRESS ||
	       setting->type == SETTING_SECRET;
}

static int64_t setting_scale(const struct setting *setting)
{
	switch (setting->type) {
	case SETTING_MS:
		return 1000;
	case SETTING_S:
		return 1000000;
	default:
		return 1;
	}
}

static int64_t setting_get_number(const struct setting *setting,
				  struct settings *settings)
{
	void *field = setting_field(setting, settings);

	if (setting->type == SETTING_INT32)
		return *(int32_t *)field;
	return *(int64_t *)field / setting_scale(setting);
}

static char *setting_ratio_text(const struct setting *setting,
				struct settings *settings)
{
	return g_strdup_printf(
		"%.2f",
		(double)*(int64_t *)setting_field(setting, settings) / 100);
}

static void setting_set_number(const struct setting *setting,
			       struct settings *settings, int64_t value)
{
	void *field = setting_field(setting, settings);

	if (setting->type == SETTING_INT32)
		*(int32_t *)field = (int32_t)value;
	else
		*(int64_t *)field = value * setting_scale(setting);
}

static void setting_set_text(const struct setting *setting,
			     struct settings *settings, const char *text)
{
	char **field = setting_field(setting, settings);

	g_free(*field);
	*field = g_strdup(text);
}

/* The log level is kept as text, the other choices as their enum. */
static bool setting_keeps_text(const struct setting *setting)
{
	return setting_is_text(setting) || setting->choices == level_choices;
}

static const struct setting *setting_find(const char *section, const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		if (strcmp(table[i].section, section) == 0 &&
		    (!*key || strcmp(table[i].key, key) == 0))
			return &table[i];
	}
	return NULL;
}

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

/* What the key takes, for errors and help. */
static char *setting_expectation(const struct setting *setting)
{
	char *choices, *text;

	switch (setting->type) {
	case SETTING_NAME:
		return g_strdup("1 to 63 letters, digits, '_', '.' or '-'");
	case SETTING_ADDRESS:
		return g_strdup("IP:PORT with a port from 1 to 65535");
	case SETTING_ADDRESS_LIST:
		return g_strdup_printf("a list of at most %d IP:PORT",
				       (int)setting->max);
	case SETTING_SECRET:
		return g_strdup_printf("a string of %d to %d bytes",
				       (int)setting->min, (int)setting->max);
	case SETTING_CHOICE:
		choices = g_strjoinv("\", \"", (char **)setting->choices);
		text = g_strdup_printf("one of \"%s\"", choices);
		g_free(choices);
		return text;
	case SETTING_RATIO:
		return g_strdup_printf("a number from %d to %d",
				       (int)setting->min, (int)setting->max);
	default:
		return g_strdup_printf("an integer from %" G_GINT64_FORMAT
				       " to %" G_GINT64_FORMAT,
				       setting->min, setting->max);
	}
}

static bool settings_fail(struct error *error, const char *path,
			  const struct toml_entry *entry,
			  const struct setting *setting, const char *problem)
{
	char *expectation = setting_expectation(setting);

	error_set(error, ERROR_INVALID, STEP, path,
		  "line %d: [%s] %s: %s, expected %s", entry->line,
		  setting->section, setting->key, problem, expectation);
	g_free(expectation);
	return false;
}

static bool settings_take_list(struct settings *settings, const char *path,
			       const struct setting *setting,
			       const struct toml_entry *entry,
			       struct error *error)
{
	char ***field = setting_field(setting, settings);

	if (entry->type != TOML_STRING_LIST)
		return settings_fail(error, path, entry, setting, "wrong type");
	if (g_strv_length(entry->strings) > setting->max)
		return settings_fail(error, path, entry, setting, "too many");
	for (char **item = entry->strings; *item; item++) {
		if (!address_is_valid(*item))
			return settings_fail(error, path, entry, setting,
					     "not an address");
		for (char **other = entry->strings; other < item; other++) {
			if (strcmp(*other, *item) == 0)
				return settings_fail(error, path, entry,
						     setting,
						     "duplicate address");
		}
	}
	g_strfreev(*field);
	*field = g_strdupv(entry->strings);
	return true;
}

static bool settings_take_text(struct settings *settings, const char *path,
			       const struct setting *setting,
			       const struct toml_entry *entry,
			       struct error *error)
{
	bool valid;

	if (entry->type != TOML_STRING)
		return settings_fail(error, path, entry, setting, "wrong type");
	if (setting->type == SETTING_NAME)
		valid = name_is_valid(entry->string);
	else if (setting->type == SETTING_ADDRESS)
		valid = address_is_valid(entry->string);
	else
		valid = secret_is_valid(setting, entry->string);
	if (!valid)
		return settings_fail(error, path, entry, setting,
				     "out of range");
	setting_set_text(setting, settings, entry->string);
	return true;
}

static bool settings_take_choice(struct settings *settings, const char *path,
				 const struct setting *setting,
				 const struct toml_entry *entry,
				 struct error *error)
{
	if (entry->type != TOML_STRING)
		return settings_fail(error, path, entry, setting, "wrong type");
	for (int i = 0; setting->choices[i]; i++) {
		if (strcmp(setting->choices[i], entry->string) != 0)
			continue;
		if (setting_keeps_text(setting))
			setting_set_text(setting, settings, entry->string);
		else
			*(int *)setting_field(setting, settings) = i;
		return true;
	}
	return settings_fail(error, path, entry, setting, "unknown value");
}

static bool settings_take_number(struct settings *settings, const char *path,
				 const struct setting *setting,
				 const struct toml_entry *entry,
				 struct error *error)
{
	if (entry->type != TOML_INTEGER)
		return settings_fail(error, path, entry, setting, "wrong type");
	if (entry->integer < setting->min || entry->integer > setting->max)
		return settings_fail(error, path, entry, setting,
				     "out of range");
	setting_set_number(setting, settings, entry->integer);
	return true;
}

static bool settings_take_ratio(struct settings *settings, const char *path,
				const struct setting *setting,
				const struct toml_entry *entry,
				struct error *error)
{
	double real = entry->real;

	if (entry->type == TOML_INTEGER)
		real = (double)entry->integer;
	else if (entry->type != TOML_FLOAT)
		return settings_fail(error, path, entry, setting, "wrong type");
	if (!(real >= (double)setting->min && real <= (double)setting->max))
		return settings_fail(error, path, entry, setting,
				     "out of range");
	*(int64_t *)setting_field(setting, settings) =
		(int64_t)(real * 100 + 0.5);
	return true;
}

static bool settings_take(struct settings *settings, const char *path,
			  const struct toml_entry *entry, struct error *error)
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
		return settings_take_text(settings, path, setting, entry,
					  error);
	case SETTING_ADDRESS_LIST:
		return settings_take_list(settings, path, setting, entry,
					  error);
	case SETTING_CHOICE:
		return settings_take_choice(settings, path, setting, entry,
					    error);
	case SETTING_INT32:
	case SETTING_INT64:
	case SETTING_MS:
	case SETTING_S:
		return settings_take_number(settings, path, setting, entry,
					    error);
	case SETTING_RATIO:
		return settings_take_ratio(settings, path, setting, entry,
					   error);
	}
	return false;
}

static bool setting_is_needed(const struct setting *setting,
			      const struct settings *settings)
{
	switch (setting->need) {
	case NEED_NOT:
		return false;
	case NEED_ALWAYS:
		return true;
	case NEED_WITHOUT_GATEWAY:
		return !*settings->gateway.address;
	case NEED_WITHOUT_STORE:
		return !*settings->gateway.address ||
		       !*settings->gateway.store_address;
	}
	return false;
}

static bool settings_check_required(struct settings *settings, const char *path,
				    struct error *error)
{
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		const struct setting *setting = &table[i];
		char *expectation;

		if (!setting_is_needed(setting, settings) ||
		    **(char **)setting_field(setting, settings))
			continue;
		expectation = setting_expectation(setting);
		error_set(error, ERROR_INVALID, STEP, path,
			  "[%s] %s: missing, expected %s", setting->section,
			  setting->key, expectation);
		g_free(expectation);
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

static struct settings *settings_create(void)
{
	struct settings *settings = g_new0(struct settings, 1);

	node_options_default(&settings->node);
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		char **field = setting_field(&table[i], settings);

		if (setting_is_text(&table[i]))
			*field = g_strdup("");
	}
	settings->node.seeds = (const char *const *)g_new0(char *, 1);
	settings->log_level = g_strdup(level_choices[0]);
	settings->vm_list_poll_ms = 1000;
	settings->max_header_bytes = 16384;
	settings->max_body_bytes = 4 << 20;
	settings->max_answer_bytes = 16 << 20;
	settings->stream_buffer_bytes = 256 << 10;
	settings->max_connections = 4096;
	settings->max_peer_record_bytes = 2 << 20;
	settings->connect_timeout_ms = 1000;
	settings->gateway.drain_us = 8 * G_USEC_PER_SEC;
	settings->gateway.address_keep_us = 2 * G_USEC_PER_SEC;
	settings->gateway.retry_percent = 20;
	settings->gateway.retry_extra = 50;
	settings->gateway.retry_window_us = 10 * G_USEC_PER_SEC;
	return settings;
}

/* The end of a path is what tells files apart where it has to be cut. */
static const char *settings_shorten_path(const char *path, size_t size)
{
	size_t length = strlen(path);

	return length < size ? path : path + length - size + 1;
}

/*
 * Reads and checks a settings file. Returns NULL and one error that names the
 * file, the key and what was expected; values of secrets are in no error.
 */
struct settings *settings_load(const char *path, struct error *error)
{
	const char *file = settings_shorten_path(path, sizeof(error->peer));
	GPtrArray *entries = toml_reader_load(path, error);
	struct settings *settings;
	bool valid = true;

	if (!entries) {
		g_strlcpy(error->peer, file, sizeof(error->peer));
		return NULL;
	}
	settings = settings_create();
	for (guint i = 0; valid && i < entries->len; i++)
		valid = settings_take(settings, file,
				      g_ptr_array_index(entries, i), error);
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
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		void *field = setting_field(&table[i], settings);

		if (table[i].type == SETTING_ADDRESS_LIST)
			g_strfreev(*(char ***)field);
		else if (setting_keeps_text(&table[i]))
			g_free(*(char **)field);
	}
	g_free(settings);
}

static char *setting_default(const struct setting *setting,
			     struct settings *settings)
{
	switch (setting->need) {
	case NEED_ALWAYS:
		return g_strdup("required");
	case NEED_WITHOUT_GATEWAY:
		return g_strdup("required without a gateway");
	case NEED_WITHOUT_STORE:
		return g_strdup("required without gateway.store_address");
	case NEED_NOT:
		break;
	}
	if (setting->choices == level_choices)
		return g_strdup(settings->log_level);
	if (setting->type == SETTING_CHOICE)
		return g_strdup(setting->choices[*(int *)setting_field(
			setting, settings)]);
	if (setting->type == SETTING_ADDRESS_LIST)
		return g_strdup("[]");
	if (setting_is_text(setting))
		return g_strdup("none");
	if (setting->type == SETTING_RATIO)
		return setting_ratio_text(setting, settings);
	return g_strdup_printf("%" G_GINT64_FORMAT,
			       setting_get_number(setting, settings));
}

/* Prints every key with its range, its default and what it is for. */
void settings_print_help(void)
{
	struct settings *settings = settings_create();
	const char *section = "";

	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {
		char *expectation = setting_expectation(&table[i]);
		char *preset = setting_default(&table[i], settings);

		if (strcmp(section, table[i].section) != 0) {
			section = table[i].section;
			printf("%s[%s]\n", i ? "\n" : "", section);
		}
		printf("  %-24s %s (%s; default: %s)\n", table[i].key,
		       table[i].help, expectation, preset);
		g_free(expectation);
		g_free(preset);
	}
	settings_destroy(settings);
}
