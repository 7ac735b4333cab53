#include "core/config/config_read.h"

#include "core/config/config_check.h"
#include "core/config/route_json.h"

#include <string.h>

enum {
	MIN_KEY_BYTES = 8,
	MAX_KEY_BYTES = 256,
	MAX_MORE_KEYS = 64,
	MAX_SLOTS = 100000,
	MAX_WEIGHT = 1000000,
	MAX_PARALLEL = 1000,
	MAX_TOKENS_PER_EVENT = 1000,
	MAX_COPY_KEEP_MS = 600000,
	MAX_ROUTE_PRIORITY = 9
};

#define MAX_TOKENS INT64_C(1000000000000)

/* Names are used in paths, headers, keys and logs, so few characters are valid.
 */
static bool name_is_valid(const char *name)
{
	for (const char *c = name; *c; c++) {
		if (!g_ascii_isalnum(*c) && !strchr("._:/@+-", *c))
			return false;
	}
	return true;
}

/*
 * Reads the name of an item. It is optional if min_bytes is 0. The returned
 * string belongs to the JSON document.
 */
const char *config_read_name(struct json_fields *fields, const char *name,
			     size_t min_bytes)
{
	const char *value = json_fields_string(fields, name, min_bytes,
					       CONFIG_MAX_NAME_BYTES);

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

/*
 * Checks for host:port. Each port has one valid spelling, so that comparing
 * strings finds equal addresses.
 */
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
		json_fields_string(fields, "address", 1, CONFIG_MAX_NAME_BYTES);

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
	json_fields_allow_only(&fields, names);
	endpoint = config_service_add_endpoint(service, read_address(&fields));
	replace_string(&endpoint->failure_domain,
		       config_read_name(&fields, "failure_domain", 0));
	replace_string(&endpoint->region,
		       config_read_name(&fields, "region", 0));
	endpoint->capacity_tokens =
		json_fields_int(&fields, "capacity_tokens", 0, MAX_TOKENS, 0);
	endpoint->slots = (int32_t)json_fields_int(
		&fields, "slots", 1, MAX_SLOTS, CONFIG_DEFAULT_SLOTS);
	endpoint->checks_fence =
		json_fields_bool(&fields, "checks_fence", false);
	endpoint->leaving = json_fields_bool(&fields, "leaving", false);
	return !fields.failed;
}

static enum service_kind read_kind(struct json_fields *fields)
{
	const char *value = json_fields_string(fields, "kind", 1, 16);

	for (int kind = SERVICE_GENERATION; kind <= SERVICE_PLAIN; kind++) {
		if (strcmp(value, service_kind_name(kind)) == 0)
			return (enum service_kind)kind;
	}
	json_fields_fail(fields, "kind", "\"generation\" or \"plain\"");
	return SERVICE_PLAIN;
}

static void read_capabilities(struct config_service *service,
			      struct json_fields *fields)
{
	struct engine_capabilities *engine = &service->engine;

	service->max_connections = (int32_t)json_fields_int(
		fields, "max_connections", 0, MAX_SLOTS, 0);
	engine->slots = (int32_t)json_fields_int(fields, "engine_slots", 0,
						 MAX_SLOTS, 0);
	engine->memory_tokens = json_fields_int(fields, "engine_memory_tokens",
						0, MAX_TOKENS, 0);
	engine->tokens_per_event = (int32_t)json_fields_int(
		fields, "tokens_per_event", 1, MAX_TOKENS_PER_EVENT, 1);
	engine->copy_keep_us = 1000 * json_fields_int(fields, "copy_keep_ms", 0,
						      MAX_COPY_KEEP_MS, 0);
	engine->can_move = json_fields_bool(fields, "can_move", false);
	engine->can_back_up = json_fields_bool(fields, "can_back_up", false);
}

static bool read_service(struct config *config, JsonNode *node, guint i,
			 struct error *error)
{
	static const char *const names[] = {"name",
					    "kind",
					    "endpoints",
					    "max_connections",
					    "engine_slots",
					    "engine_memory_tokens",
					    "tokens_per_event",
					    "copy_keep_ms",
					    "can_move",
					    "can_back_up",
					    NULL};
	struct config_service *service;
	struct json_fields fields;
	JsonArray *endpoints;
	const char *name;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "services[%u].", i))
		return false;
	json_fields_allow_only(&fields, names);
	name = config_read_name(&fields, "name", 1);
	service = config_add_service(config, name, read_kind(&fields));
	read_capabilities(service, &fields);
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

/*
 * Reads the digest of a key. An intent may give the key in clear instead: it is
 * replaced by its digest here and never stored.
 */
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

/* Reads the digests of further valid keys, used while keys are replaced. */
static void read_more_keys(struct config_organisation *organisation,
			   struct json_fields *fields)
{
	JsonArray *keys = json_fields_array(fields, "more_keys_sha256");
	guint count = keys ? json_array_get_length(keys) : 0;

	for (guint i = 0; i < count; i++) {
		JsonNode *node = json_array_get_element(keys, i);
		const char *digest = json_node_get_string(node);

		if (count > MAX_MORE_KEYS || !digest || !*digest ||
		    !digest_is_valid(digest)) {
			json_fields_fail(fields, "more_keys_sha256",
					 "at most 64 strings of 64 hexadecimal "
					 "digits in lower case");
			return;
		}
		g_ptr_array_add(organisation->more_keys, g_strdup(digest));
	}
}

static bool read_organisation(struct config *config, JsonNode *node, guint i,
			      bool is_intent, struct error *error)
{
	static const char *const names[] = {"name",
					    "key_sha256",
					    "priority",
					    "weight",
					    "requests_per_s",
					    "concurrent_tokens",
					    "route_priority",
					    "more_keys_sha256",
					    "key",
					    NULL};
	static const char *const stored_names[] = {
		"name",		  "key_sha256",	      "priority",
		"weight",	  "requests_per_s",   "concurrent_tokens",
		"route_priority", "more_keys_sha256", NULL};
	struct config_organisation *organisation;
	struct json_fields fields;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "organisations[%u].", i))
		return false;
	json_fields_allow_only(&fields, is_intent ? names : stored_names);
	organisation = config_add_organisation(
		config, config_read_name(&fields, "name", 1));
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
	organisation->route_priority = (int32_t)json_fields_int(
		&fields, "route_priority", -1, MAX_ROUTE_PRIORITY, -1);
	read_more_keys(organisation, &fields);
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
	json_fields_allow_only(&fields, is_intent ? names : stored_names);
	rollout = config_add_rollout(config,
				     config_read_name(&fields, "name", 1));
	replace_string(&rollout->service,
		       config_read_name(&fields, "service", 1));
	replace_string(&rollout->target,
		       config_read_name(&fields, "target", 1));
	replace_string(&rollout->id, json_fields_string(&fields, "id", 0,
							CONFIG_MAX_NAME_BYTES));
	rollout->max_parallel = (int32_t)json_fields_int(
		&fields, "max_parallel", 1, MAX_PARALLEL, 1);
	rollout->min_ready_percent =
		(int32_t)json_fields_int(&fields, "min_ready_percent", 0, 100,
					 CONFIG_DEFAULT_READY_PERCENT);
	rollout->max_failures = (int32_t)json_fields_int(
		&fields, "max_failures", 0, MAX_PARALLEL, 0);
	return !fields.failed;
}

/*
 * Reads the items that documents and intents share: services, organisations,
 * rollouts, routes and the limits of callers. Then checks a document in full,
 * and an intent only for duplicates. Returns false with an error if a member
 * or a check fails.
 */
bool config_read_items(struct config *config, struct json_fields *fields,
		       bool is_intent, struct error *error)
{
	JsonArray *services = json_fields_array(fields, "services");
	JsonArray *organisations = json_fields_array(fields, "organisations");
	JsonArray *rollouts = json_fields_array(fields, "rollouts");
	JsonArray *routes = json_fields_array(fields, "routes");

	if (fields->failed)
		return false;
	for (guint i = 0; routes && i < json_array_get_length(routes); i++) {
		if (!route_json_read(config, json_array_get_element(routes, i),
				     i, error))
			return false;
	}
	if (json_fields_has(fields, "callers") &&
	    !caller_limits_json_read(
		    &config->callers,
		    json_object_get_member(fields->object, "callers"), error))
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
	return is_intent ? config_check_unique(config, "intent.parse", error)
			 : config_check(config, "config.parse", error);
}
