#include "tests/soak/soak_platform.h"
#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_http.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>

#define STEP_PLATFORM "soak.platform"
#define CALL_US (2 * G_TIME_SPAN_SECOND)
/* Distance between the version numbers of two configurations. */
#define VERSION_STEP 3

static bool post(const char *address, const char *path, const char *body,
		 struct error *error)
{
	struct soak_answer *answer = soak_answer_create();
	bool is_done = soak_http_call(address, "POST", path, body, answer,
				      CALL_US, error);

	if (is_done && answer->status != 200) {
		error_set(error, ERROR_REFUSED, STEP_PLATFORM, address,
			  "%s answered %d", path, answer->status);
		is_done = false;
	}
	soak_answer_destroy(answer);
	return is_done;
}

static bool post_key(const char *store, const char *path, const char *key,
		     const char *value, struct error *error)
{
	g_autoptr(JsonObject) object = json_object_new();
	g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
	g_autofree char *text = NULL;

	json_object_set_string_member(object, "key", key);
	if (value)
		json_object_set_string_member(object, "value", value);
	json_node_set_object(node, object);
	text = json_to_string(node, FALSE);
	return post(store, path, text, error);
}

/* Writes a key; returns true once the store has accepted the write. */
bool soak_platform_put(const char *store, const char *key, const char *value,
		       struct error *error)
{
	return post_key(store, "/fake/put", key, value, error);
}

/* Deletes a key; returns true once the store has accepted the deletion. */
bool soak_platform_delete(const char *store, const char *key,
			  struct error *error)
{
	return post_key(store, "/fake/delete", key, NULL, error);
}

/* Sets modes of a fake; returns false and sets error if it fails. */
bool soak_platform_set_mode(const char *address, const char *json,
			    struct error *error)
{
	return post(address, "/fake/mode", json, error);
}

/* Returns the failure domain of the endpoint with this index of its role. */
const char *soak_platform_domain(int32_t index)
{
	return index % 2 ? SOAK_EVACUATED_DOMAIN : "z";
}

/* Formats an endpoint's registration in the store; the caller frees it. */
char *soak_platform_entry(const char *service, const char *domain,
			  const char *address, bool is_leaving, int64_t born_ms)
{
	return g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"version\":\"v1\",\"slots\":24,\"state\":\"%s\","
		"\"warmup_left_ms\":0,\"sequence\":1,\"born\":%" PRId64 "}",
		service, address, domain, is_leaving ? "draining" : "ready",
		born_ms);
}

/*
 * Returns the path prefix of the route that configuration number index adds;
 * the caller frees it.
 */
char *soak_platform_route_prefix(int32_t index)
{
	return g_strdup_printf("/p%d/", index);
}

static void append_probe_route(GString *text, int32_t index)
{
	g_autofree char *prefix = soak_platform_route_prefix(index);

	g_string_append_printf(
		text,
		",{\"name\":\"p%d\",\"host\":\"" SOAK_HOST "\","
		"\"path_prefix\":\"%s\",\"kind\":\"safe\","
		"\"timeout_ms\":1500,\"slo_ms\":150,\"priority\":2,"
		"\"service\":\"portal\",\"max_attempts\":2}",
		index, prefix);
}

/*
 * Formats configuration number index; the caller frees it. It adds a route of
 * its own, keeps the route that configuration index - 1 added and removes the
 * one that index - 2 added. Idle connections of callers stay for
 * idle_timeout_ms. If is_urgent, queries go before reports at engines with
 * memory for a few generations.
 */
char *soak_platform_configuration(int32_t index, int32_t idle_timeout_ms,
				  bool is_urgent)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text,
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"report\",\"host\":\"" SOAK_HOST "\","
		"\"path_prefix\":\"/report/\",\"kind\":\"streaming\","
		"\"timeout_ms\":20000,\"slo_ms\":%d,\"priority\":%d,"
		"\"service\":\"engines\",\"max_attempts\":1,"
		"\"gap_target_ms\":180},"
		"{\"name\":\"query\",\"host\":\"" SOAK_HOST "\","
		"\"path_prefix\":\"/query/\",\"kind\":\"streaming\","
		"\"timeout_ms\":20000,\"slo_ms\":1800,\"priority\":0,"
		"\"service\":\"engines\",\"max_attempts\":2,"
		"\"gap_target_ms\":180,\"resumable\":true},"
		"{\"name\":\"lookup\",\"host\":\"" SOAK_HOST "\","
		"\"path_prefix\":\"/lookup/\",\"kind\":\"safe\","
		"\"timeout_ms\":1500,\"slo_ms\":150,\"priority\":2,"
		"\"service\":\"portal\",\"max_attempts\":2},"
		"{\"name\":\"export\",\"host\":\"" SOAK_HOST "\","
		"\"path_prefix\":\"/export/\",\"kind\":\"unsafe\","
		"\"timeout_ms\":1500,\"slo_ms\":150,\"priority\":2,"
		"\"service\":\"portal\",\"max_attempts\":1}",
		VERSION_STEP * (index + 1),
		is_urgent ? SOAK_REPORT_DUE_MS : 1800, is_urgent ? 2 : 0);
	for (int32_t i = MAX(index - 1, 0); i <= index; i++)
		append_probe_route(text, i);
	g_string_append_printf(
		text,
		"],\"services\":[{\"name\":\"engines\","
		"\"health_path\":\"/health\",\"engine\":{"
		"\"slots\":24,\"kv_cache_tokens\":%d,\"stride\":4,"
		"\"migrations\":true,\"backups\":true,\"handle_ttl_s\":5}},"
		"{\"name\":\"portal\",\"health_path\":\"/health\"}],"
		"\"limits\":{\"header_bytes\":4096,"
		"\"max_body_bytes\":65536,\"header_timeout_ms\":800,"
		"\"idle_timeout_ms\":%d},\"tenants\":[{\"name\":\"atlas\","
		"\"keys\":[\"" SOAK_KEY "\"]}]}",
		is_urgent ? 1300 : 34000, idle_timeout_ms);
	return g_string_free(text, FALSE);
}
