#include "core/config/config_json.h"

#include "core/json/json_reader.h"

#include <string.h>

enum {
	MAX_NAME_BYTES = 128,
	MAX_SUMMARY_BYTES = 512,
	MIN_KEY_BYTES = 8,
	MAX_KEY_BYTES = 256,
	MAX_SLOTS = 100000,
	MAX_WEIGHT = 1000000,
	MAX_PARALLEL = 1000,
	DEFAULT_SLOTS = 8,
	DEFAULT_READY_PERCENT = 50,
	MAX_ROLLBACK_BYTES = 256
};

#define MAX_TOKENS INT64_C(1000000000000)

static const char *const kind_names[] = {
	[SERVICE_GENERATION] = "generation",
	[SERVICE_PLAIN] = "plain",
};

/* Names stand in paths, headers, keys and logs, so few characters are let in.
 */
static bool name_is_valid(const char *name)
{
	for (const char *c = name; *c; c++) {
		if (!g_ascii_isalnum(*c) && !strchr("._:/@+-", *c))
			return false;
	}
	return true;
}

static const char *read_name(struct json_fields *fields, const char *name,
			     size_t min_bytes)
{
	const char *value =
		json_fields_string(fields, name, min_bytes, MAX_NAME_BYTES);

	if (!name_is_valid(value))
		json_fields_fail(fields, name,
				 "letters, digits and . _ : / @ + - only");
	return value;
}

static bool port_is_valid(const char *port)
{
	guint64 number;

	return *port != '0' &&
	       g_ascii_string_to_unsigned(port, 10, 1, 65535, &number, NULL);
}

/* host:port with one spelling for each port, so that equal ones are found. */
static bool address_is_valid(const char *address)
{
	const char *colon = strrchr(address, ':');

	if (!colon || colon == address || !port_is_valid(colon + 1))
		return false;
	if (*address == '[')
		return colon[-1] == ']' &&
		       strspn(address + 1, "0123456789abcdef:.") ==
			       (size_t)(colon - address) - 2;
	for (const char *c = address; c < colon; c++) {
		if (!g_ascii_isalnum(*c) && *c != '.' && *c != '-')
			return false;
	}
	return true;
}

static const char *read_address(struct json_fields *fields)
{
	const char *value =
		json_fields_string(fields, "address", 1, MAX_NAME_BYTES);

	if (!address_is_valid(value))
		json_fields_fail(fields, "address", "HOST:PORT");
	return value;
}

static void replace_string(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(value);
}

static bool read_endpoint(struct config_service *service, JsonNode *node,
			  guint i, guint j, struct error *error)
{
	static const char *const names[] = {
		"address", "failure_domain", "region",	"capacity_tokens",
		"slots",   "checks_fence",   "leaving", NULL};
	struct config_endpoint *endpoint;
	struct json_fields fields;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "services[%u].endpoints[%u].", i, j))
		return false;
	json_fields_allow(&fields, names);
	endpoint = config_service_add_endpoint(service, read_address(&fields));
	replace_string(&endpoint->failure_domain,
		       read_name(&fields, "failure_domain", 0));
	replace_string(&endpoint->region, read_name(&fields, "region", 0));
	endpoint->capacity_tokens =
		json_fields_int(&fields, "capacity_tokens", 0, MAX_TOKENS, 0);
	endpoint->slots = (int32_t)json_fields_int(&fields, "slots", 1,
						   MAX_SLOTS, DEFAULT_SLOTS);
	endpoint->checks_fence =
		json_fields_bool(&fields, "checks_fence", false);
	endpoint->leaving = json_fields_bool(&fields, "leaving", false);
	return !fields.failed;
}

static enum service_kind read_kind(struct json_fields *fields)
{
	const char *value = json_fields_string(fields, "kind", 1, 16);

	for (size_t i = 0; i < G_N_ELEMENTS(kind_names); i++) {
		if (strcmp(value, kind_names[i]) == 0)
			return (enum service_kind)i;
	}
	json_fields_fail(fields, "kind", "\"generation\" or \"plain\"");
	return SERVICE_PLAIN;
}

static bool read_service(struct config *config, JsonNode *node, guint i,
			 struct error *error)
{
	static const char *const names[] = {"name", "kind", "endpoints", NULL};
	struct config_service *service;
	struct json_fields fields;
	JsonArray *endpoints;
	const char *name;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "services[%u].", i))
		return false;
	json_fields_allow(&fields, names);
	name = read_name(&fields, "name", 1);
	service = config_add_service(config, name, read_kind(&fields));
	endpoints = json_fields_array(&fields, "endpoints");
	if (fields.failed)
		return false;
	for (guint j = 0; endpoints && j < json_array_get_length(endpoints);
	     j++) {
		if (!read_endpoint(service,
				   json_array_get_element(endpoints, j), i, j,
				   error))
			return false;
	}
	return true;
}

static bool digest_is_valid(const char *digest)
{
	return !*digest || (strlen(digest) == 64 &&
			    strspn(digest, "0123456789abcdef") == 64);
}

/* A key in clear is replaced by its digest here and stored nowhere. */
static char *read_digest(struct json_fields *fields, bool is_intent)
{
	const char *digest = json_fields_string(fields, "key_sha256", 0, 64);
	const char *key;

	if (!digest_is_valid(digest))
		json_fields_fail(fields, "key_sha256",
				 "64 hexadecimal digits in lower case");
	if (!is_intent || !json_fields_has(fields, "key"))
		return g_strdup(digest);
	if (*digest)
		json_fields_fail(fields, "key",
				 "either \"key\" or \"key_sha256\"");
	key = json_fields_string(fields, "key", MIN_KEY_BYTES, MAX_KEY_BYTES);
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
}

static bool read_organisation(struct config *config, JsonNode *node, guint i,
			      bool is_intent, struct error *error)
{
	static const char *const names[] = {
		"name",		  "key_sha256",	       "priority", "weight",
		"requests_per_s", "concurrent_tokens", "key",	   NULL};
	static const char *const stored_names[] = {
		"name",		  "key_sha256",	       "priority", "weight",
		"requests_per_s", "concurrent_tokens", NULL};
	struct config_organisation *organisation;
	struct json_fields fields;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "organisations[%u].", i))
		return false;
	json_fields_allow(&fields, is_intent ? names : stored_names);
	organisation =
		config_add_organisation(config, read_name(&fields, "name", 1));
	g_free(organisation->key_sha256);
	organisation->key_sha256 = read_digest(&fields, is_intent);
	organisation->priority =
		(int32_t)json_fields_int(&fields, "priority", 0, 9, 0);
	organisation->weight =
		(int32_t)json_fields_int(&fields, "weight", 1, MAX_WEIGHT, 1);
	organisation->requests_per_s = (int32_t)json_fields_int(
		&fields, "requests_per_s", 0, G_MAXINT32, 0);
	organisation->concurrent_tokens =
		json_fields_int(&fields, "concurrent_tokens", 0, MAX_TOKENS, 0);
	return !fields.failed;
}

static bool read_rollout(struct config *config, JsonNode *node, guint i,
			 bool is_intent, struct error *error)
{
	static const char *const names[] = {"name",
					    "service",
					    "target",
					    "max_parallel",
					    "min_ready_percent",
					    "max_failures",
					    NULL};
	static const char *const stored_names[] = {"name",
						   "service",
						   "target",
						   "max_parallel",
						   "min_ready_percent",
						   "max_failures",
						   "id",
						   NULL};
	struct config_rollout *rollout;
	struct json_fields fields;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "rollouts[%u].", i))
		return false;
	json_fields_allow(&fields, is_intent ? names : stored_names);
	rollout = config_add_rollout(config, read_name(&fields, "name", 1));
	replace_string(&rollout->service, read_name(&fields, "service", 1));
	replace_string(&rollout->target, read_name(&fields, "target", 1));
	replace_string(&rollout->id,
		       json_fields_string(&fields, "id", 0, MAX_NAME_BYTES));
	rollout->max_parallel = (int32_t)json_fields_int(
		&fields, "max_parallel", 1, MAX_PARALLEL, 1);
	rollout->min_ready_percent = (int32_t)json_fields_int(
		&fields, "min_ready_percent", 0, 100, DEFAULT_READY_PERCENT);
	rollout->max_failures = (int32_t)json_fields_int(
		&fields, "max_failures", 0, MAX_PARALLEL, 0);
	return !fields.failed;
}

static bool read_confirmation(struct config *config, JsonNode *node, guint i,
			      struct error *error)
{
	static const char *const names[] = {"base_revision", "plan_id",
					    "confirmed_by",  "confirmed_s",
					    "summary",	     NULL};
	struct config_confirmation *confirmation;
	struct json_fields fields;
	int64_t base_revision;
	int64_t confirmed_s;
	const char *plan_id;
	const char *confirmed_by;
	const char *summary;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "history[%u].", i))
		return false;
	json_fields_allow(&fields, names);
	base_revision =
		json_fields_int(&fields, "base_revision", 0, G_MAXINT64, 0);
	confirmed_s = json_fields_int(&fields, "confirmed_s", 0, G_MAXINT64, 0);
	plan_id = json_fields_string(&fields, "plan_id", 0, MAX_NAME_BYTES);
	confirmed_by =
		json_fields_string(&fields, "confirmed_by", 0, MAX_NAME_BYTES);
	summary = json_fields_string(&fields, "summary", 0, MAX_SUMMARY_BYTES);
	if (fields.failed)
		return false;
	confirmation = config_add_confirmation(config, base_revision, plan_id,
					       confirmed_by, summary);
	confirmation->confirmed_s = confirmed_s;
	return true;
}

/* The services and organisations that a document and an intent both have. */
static bool read_items(struct config *config, struct json_fields *fields,
		       bool is_intent, struct error *error)
{
	JsonArray *services = json_fields_array(fields, "services");
	JsonArray *organisations = json_fields_array(fields, "organisations");
	JsonArray *rollouts = json_fields_array(fields, "rollouts");

	if (fields->failed)
		return false;
	for (guint i = 0; services && i < json_array_get_length(services);
	     i++) {
		if (!read_service(config, json_array_get_element(services, i),
				  i, error))
			return false;
	}
	for (guint i = 0;
	     organisations && i < json_array_get_length(organisations); i++) {
		if (!read_organisation(config,
				       json_array_get_element(organisations, i),
				       i, is_intent, error))
			return false;
	}
	for (guint i = 0; rollouts && i < json_array_get_length(rollouts);
	     i++) {
		if (!read_rollout(config, json_array_get_element(rollouts, i),
				  i, is_intent, error))
			return false;
	}
	return is_intent ? config_check_names(config, "intent.parse", error)
			 : config_check(config, "config.parse", error);
}

static bool read_document(struct config *config, JsonNode *root,
			  struct error *error)
{
	static const char *const names[] = {
		"plan_id",  "confirmed_by", "services", "organisations",
		"rollouts", "history",	    NULL};
	struct json_fields fields;
	JsonArray *history;

	if (!json_fields_begin(&fields, root, "config.parse", error, "%s", ""))
		return false;
	json_fields_allow(&fields, names);
	replace_string(&config->plan_id, json_fields_string(&fields, "plan_id",
							    0, MAX_NAME_BYTES));
	replace_string(
		&config->confirmed_by,
		json_fields_string(&fields, "confirmed_by", 0, MAX_NAME_BYTES));
	history = json_fields_array(&fields, "history");
	if (!read_items(config, &fields, false, error))
		return false;
	for (guint i = 0; history && i < json_array_get_length(history); i++) {
		if (!read_confirmation(config,
				       json_array_get_element(history, i), i,
				       error))
			return false;
	}
	return true;
}

/*
 * Reads a stored document, which was found at this revision of its key.
 * Returns NULL with ERROR_INVALID, which names the place and what was
 * expected there, or with ERROR_TOO_LARGE above CONFIG_JSON_MAX_BYTES.
 */
struct config *config_json_parse(GBytes *document, int64_t revision,
				 struct error *error)
{
	JsonNode *root = json_reader_parse(document, CONFIG_JSON_MAX_BYTES,
					   "config.parse", error);
	struct config *config;

	if (!root)
		return NULL;
	config = config_create();
	config->revision = revision;
	if (!read_document(config, root, error))
		g_clear_pointer(&config, config_unref);
	json_node_unref(root);
	return config;
}

static bool read_removals(GPtrArray *removals, struct json_fields *fields,
			  const char *name)
{
	JsonArray *array = json_fields_array(fields, name);

	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (json_node_get_value_type(node) != G_TYPE_STRING) {
			json_fields_fail(fields, name, "an array of names");
			break;
		}
		g_ptr_array_add(removals, g_strdup(json_node_get_string(node)));
	}
	return !fields->failed;
}

/*
 * Reads an intent: an object with any of "services", "organisations",
 * "remove_services" and "remove_organisations". Errors as of
 * config_json_parse(); they never show the text of a key.
 */
struct intent *intent_json_parse(GBytes *document, struct error *error)
{
	static const char *const names[] = {"services",
					    "organisations",
					    "remove_services",
					    "remove_organisations",
					    "rollouts",
					    "remove_rollouts",
					    NULL};
	JsonNode *root = json_reader_parse(document, CONFIG_JSON_MAX_BYTES,
					   "intent.parse", error);
	struct intent *intent;
	struct json_fields fields;
	bool ok;

	if (!root)
		return NULL;
	intent = g_new0(struct intent, 1);
	intent->items = config_create();
	intent->remove_services = g_ptr_array_new_with_free_func(g_free);
	intent->remove_organisations = g_ptr_array_new_with_free_func(g_free);
	intent->remove_rollouts = g_ptr_array_new_with_free_func(g_free);
	ok = json_fields_begin(&fields, root, "intent.parse", error, "%s", "");
	if (ok)
		json_fields_allow(&fields, names);
	ok = ok &&
	     read_removals(intent->remove_services, &fields,
			   "remove_services") &&
	     read_removals(intent->remove_organisations, &fields,
			   "remove_organisations") &&
	     read_removals(intent->remove_rollouts, &fields,
			   "remove_rollouts") &&
	     read_items(intent->items, &fields, true, error);
	json_node_unref(root);
	if (!ok)
		g_clear_pointer(&intent, intent_destroy);
	return intent;
}

/*
 * Whether an intent asks to go back to the configuration of a revision:
 * {"rollback_to": N}, which stands alone.
 */
bool intent_json_parse_rollback(GBytes *document, int64_t *revision)
{
	static const char *const names[] = {"rollback_to", NULL};
	JsonNode *root = json_reader_parse(document, MAX_ROLLBACK_BYTES,
					   "intent.parse", NULL);
	struct json_fields fields;
	bool ok = root && json_fields_begin(&fields, root, "intent.parse", NULL,
					    "%s", "");

	if (ok) {
		json_fields_allow(&fields, names);
		*revision = json_fields_int(&fields, "rollback_to", 1,
					    G_MAXINT64, 0);
		ok = !fields.failed && *revision != 0;
	}
	g_clear_pointer(&root, json_node_unref);
	return ok;
}

/* Frees an intent; NULL is allowed. */
void intent_destroy(struct intent *intent)
{
	if (!intent)
		return;
	config_unref(intent->items);
	g_ptr_array_unref(intent->remove_services);
	g_ptr_array_unref(intent->remove_organisations);
	g_ptr_array_unref(intent->remove_rollouts);
	g_free(intent);
}

static void add_string(JsonBuilder *builder, const char *name,
		       const char *value)
{
	if (!*value)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value,
		    int64_t absent)
{
	if (value == absent)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void add_true(JsonBuilder *builder, const char *name, bool value)
{
	if (!value)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, TRUE);
}

static void add_endpoint(JsonBuilder *builder,
			 const struct config_endpoint *endpoint)
{
	json_builder_begin_object(builder);
	add_string(builder, "address", endpoint->address);
	add_string(builder, "failure_domain", endpoint->failure_domain);
	add_string(builder, "region", endpoint->region);
	add_int(builder, "capacity_tokens", endpoint->capacity_tokens, 0);
	add_int(builder, "slots", endpoint->slots, DEFAULT_SLOTS);
	add_true(builder, "checks_fence", endpoint->checks_fence);
	add_true(builder, "leaving", endpoint->leaving);
	json_builder_end_object(builder);
}

static gint compare_endpoints(gconstpointer a, gconstpointer b)
{
	const struct config_endpoint *const *left = a;
	const struct config_endpoint *const *right = b;

	return strcmp((*left)->address, (*right)->address);
}

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const struct config_service *const *left = a;
	const struct config_service *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static gint compare_organisations(gconstpointer a, gconstpointer b)
{
	const struct config_organisation *const *left = a;
	const struct config_organisation *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

/* A sorted view of items that others own. */
static GPtrArray *sorted_view(const GPtrArray *items, GCompareFunc compare)
{
	GPtrArray *view = g_ptr_array_sized_new(items->len);

	for (guint i = 0; i < items->len; i++)
		g_ptr_array_add(view, g_ptr_array_index(items, i));
	g_ptr_array_sort(view, compare);
	return view;
}

static void add_service(JsonBuilder *builder,
			const struct config_service *service)
{
	GPtrArray *endpoints =
		sorted_view(service->endpoints, compare_endpoints);

	json_builder_begin_object(builder);
	add_string(builder, "name", service->name);
	add_string(builder, "kind", kind_names[service->kind]);
	json_builder_set_member_name(builder, "endpoints");
	json_builder_begin_array(builder);
	for (guint i = 0; i < endpoints->len; i++)
		add_endpoint(builder, g_ptr_array_index(endpoints, i));
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	g_ptr_array_unref(endpoints);
}

static void add_organisation(JsonBuilder *builder,
			     const struct config_organisation *organisation)
{
	json_builder_begin_object(builder);
	add_string(builder, "name", organisation->name);
	add_string(builder, "key_sha256", organisation->key_sha256);
	add_int(builder, "priority", organisation->priority, 0);
	add_int(builder, "weight", organisation->weight, 1);
	add_int(builder, "requests_per_s", organisation->requests_per_s, 0);
	add_int(builder, "concurrent_tokens", organisation->concurrent_tokens,
		0);
	json_builder_end_object(builder);
}

static gint compare_rollouts(gconstpointer a, gconstpointer b)
{
	const struct config_rollout *const *left = a;
	const struct config_rollout *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static void add_rollouts(JsonBuilder *builder, const GPtrArray *items)
{
	GPtrArray *rollouts = sorted_view(items, compare_rollouts);

	json_builder_set_member_name(builder, "rollouts");
	json_builder_begin_array(builder);
	for (guint i = 0; i < rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(rollouts, i);

		json_builder_begin_object(builder);
		add_string(builder, "name", rollout->name);
		add_string(builder, "service", rollout->service);
		add_string(builder, "target", rollout->target);
		add_string(builder, "id", rollout->id);
		add_int(builder, "max_parallel", rollout->max_parallel, 1);
		add_int(builder, "min_ready_percent",
			rollout->min_ready_percent, DEFAULT_READY_PERCENT);
		add_int(builder, "max_failures", rollout->max_failures, 0);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	g_ptr_array_unref(rollouts);
}

static void add_history(JsonBuilder *builder, const GPtrArray *history)
{
	json_builder_set_member_name(builder, "history");
	json_builder_begin_array(builder);
	for (guint i = 0; i < history->len; i++) {
		const struct config_confirmation *confirmation =
			g_ptr_array_index(history, i);

		json_builder_begin_object(builder);
		add_int(builder, "base_revision", confirmation->base_revision,
			0);
		add_string(builder, "plan_id", confirmation->plan_id);
		add_string(builder, "confirmed_by", confirmation->confirmed_by);
		add_int(builder, "confirmed_s", confirmation->confirmed_s, 0);
		add_string(builder, "summary", confirmation->summary);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void add_document(JsonBuilder *builder, const struct config *config)
{
	GPtrArray *services = sorted_view(config->services, compare_services);
	GPtrArray *organisations =
		sorted_view(config->organisations, compare_organisations);

	json_builder_begin_object(builder);
	add_string(builder, "plan_id", config->plan_id);
	add_string(builder, "confirmed_by", config->confirmed_by);
	json_builder_set_member_name(builder, "services");
	json_builder_begin_array(builder);
	for (guint i = 0; i < services->len; i++)
		add_service(builder, g_ptr_array_index(services, i));
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "organisations");
	json_builder_begin_array(builder);
	for (guint i = 0; i < organisations->len; i++)
		add_organisation(builder, g_ptr_array_index(organisations, i));
	json_builder_end_array(builder);
	add_rollouts(builder, config->rollouts);
	add_history(builder, config->history);
	json_builder_end_object(builder);
	g_ptr_array_unref(services);
	g_ptr_array_unref(organisations);
}

/*
 * The document as stored: members in a fixed order, items sorted by name,
 * defaults left out, no white space. The revision is not part of it.
 */
GBytes *config_json_format(const struct config *config)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	add_document(builder, config);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return g_bytes_new_take(text, strlen(text));
}
