#include "core/config/config_json.h"
#include "core/plan/plan.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

const char *const base_text =
	R"({"services":[
	{"name":"writer","kind":"generation","endpoints":[
	 {"address":"127.0.0.1:9002","failure_domain":"b","capacity_tokens":60000},
	 {"address":"127.0.0.1:9001","failure_domain":"a","capacity_tokens":60000}]},
	{"name":"portal","kind":"plain","endpoints":[
	 {"address":"127.0.0.1:9101","failure_domain":"a","slots":4},
	 {"address":"127.0.0.1:9102","failure_domain":"b","slots":4}]}],
	"organisations":[{"name":"atlas","key_sha256":")"
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	R"(","priority":5,"requests_per_s":100}]})";

GBytes *bytes_of(const std::string &text)
{
	return g_bytes_new(text.data(), text.size());
}

std::string text_of(GBytes *bytes)
{
	gsize size = 0;
	const char *data = (const char *)g_bytes_get_data(bytes, &size);
	std::string text(data, size);

	g_bytes_unref(bytes);
	return text;
}

struct config *parse(const std::string &text, struct error *error)
{
	GBytes *document = bytes_of(text);
	struct config *config = config_json_parse(document, 7, error);

	g_bytes_unref(document);
	return config;
}

std::string parse_error(const std::string &text)
{
	struct error error = {};
	struct config *config = parse(text, &error);

	EXPECT_EQ(nullptr, config) << text;
	config_unref(config);
	return std::string(error_code_name(error.code)) + ": " + error.detail;
}

struct plan *plan_from_base(const char *base, const std::string &intent,
			    struct error *error)
{
	struct config *config = parse(base, nullptr);
	GBytes *body = bytes_of(intent);
	struct plan *plan =
		plan_create(config, body, "n1-7", "aicha", 0, error);

	g_bytes_unref(body);
	config_unref(config);
	return plan;
}

std::string plan_error(const std::string &intent)
{
	struct error error = {};
	struct plan *plan = plan_from_base(base_text, intent, &error);

	EXPECT_EQ(nullptr, plan) << intent;
	plan_destroy(plan);
	return std::string(error_code_name(error.code)) + ": " + error.detail;
}

std::string lines(const GPtrArray *array)
{
	std::string text;

	for (guint i = 0; i < array->len; i++)
		text += std::string((char *)g_ptr_array_index(array, i)) + "\n";
	return text;
}

} // namespace

TEST(ConfigJson, FormatIsCanonical)
{
	struct config *config = parse(base_text, nullptr);
	std::string once = text_of(config_json_format(config));
	struct config *again = parse(once, nullptr);

	ASSERT_NE(nullptr, again);
	EXPECT_EQ(7, again->revision);
	EXPECT_EQ(once, text_of(config_json_format(again)));
	EXPECT_LT(once.find("127.0.0.1:9001"), once.find("127.0.0.1:9002"));
	EXPECT_LT(once.find("portal"), once.find("writer"));
	config_unref(config);
	config_unref(again);
}

TEST(ConfigJson, ErrorNamesThePlace)
{
	const struct {
		const char *text;
		const char *error;
	} cases[] = {
		{"", "invalid: expected JSON in UTF-8"},
		{"[]", "invalid: : expected an object"},
		{"{\"services\":{}}", "invalid: services: expected an array"},
		{"{\"sevices\":[]}", "invalid: sevices: expected no such key"},
		{"{\"services\":[],\"services\":[]}",
		 "invalid: an object has two members of one name"},
		{"/* */{}", "invalid: expected plain JSON at byte 0"},
		{R"({"services":[{"name":"a","kind":"x"}]})",
		 "invalid: services[0].kind: expected \"generation\" or "
		 "\"plain\""},
		{R"({"services":[{"name":"a b","kind":"plain"}]})",
		 "invalid: services[0].name: expected letters, digits and . _ "
		 ": / @ + - only"},
		{R"({"services":[{"name":"a","kind":"plain","endpoints":[
		 {"address":"127.0.0.1:09001"}]}]})",
		 "invalid: services[0].endpoints[0].address: expected "
		 "HOST:PORT"},
		{R"({"services":[{"name":"a","kind":"plain","endpoints":[
		 {"address":"127.0.0.1:9001","slots":0}]}]})",
		 "invalid: services[0].endpoints[0].slots: expected a whole "
		 "number from 1 to 100000"},
		{R"({"services":[{"name":"a","kind":"plain","endpoints":[
		 {"address":"127.0.0.1:9001"},{"address":"127.0.0.1:9001"}]}]})",
		 "invalid: endpoint 127.0.0.1:9001: expected once, found in a "
		 "and a"},
		{R"({"organisations":[{"name":"a","priority":1.5}]})",
		 "invalid: organisations[0].priority: expected a whole number "
		 "from 0 to 9"},
		{R"({"organisations":[{"name":"a","priority":99999999999999999999}]})",
		 "invalid: expected a number of JSON within 64 bits at byte "
		 "61"},
		{R"({"organisations":[{"name":"a","key":"clear-text"}]})",
		 "invalid: organisations[0].key: expected no such key"},
		{R"({"organisations":[{"name":"a"},{"name":"a"}]})",
		 "invalid: organisation a: expected once, found in "
		 "\"organisations\" and \"organisations\""},
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.error, parse_error(c.text)) << c.text;
}

/*
 * Guards against a stack overflow in the recursive parser. A document nested a
 * million levels deep, or of more than a megabyte, comes from a broken service
 * or an attacker; it must be refused with an error before the parser sees it.
 */
TEST(ConfigJson, RefusesDeepAndLargeDocuments)
{
	EXPECT_EQ("invalid: expected at most 32 levels at byte 32",
		  parse_error(std::string(1000000, '[')));
	EXPECT_EQ("too_large: 1048577 bytes, at most 1048576 allowed",
		  parse_error(std::string((1 << 20) + 1, ' ')));
}

TEST(Plan, ListsDifferencesAndWarnings)
{
	struct error error = {};
	struct plan *plan = plan_from_base(
		base_text,
		R"({"services":[{"name":"writer","kind":"generation","endpoints":[
		 {"address":"127.0.0.1:9001","failure_domain":"a",
		  "capacity_tokens":50000}]}],
		"organisations":[{"name":"atlas","priority":6,
		 "requests_per_s":50,"key":"a-new-secret"}],
		"remove_services":["portal"]})",
		&error);

	ASSERT_NE(nullptr, plan) << error.detail;
	EXPECT_EQ("change endpoint 127.0.0.1:9001 of writer: capacity_tokens "
		  "60000 -> 50000\n"
		  "remove endpoint 127.0.0.1:9002 from writer\n"
		  "remove service portal: 2 endpoints\n"
		  "change organisation atlas: key replaced, priority 5 -> 6, "
		  "requests_per_s 100 -> 50\n",
		  lines(plan->differences));
	EXPECT_EQ("service writer has every endpoint in one failure domain\n"
		  "failure domain b has no endpoint of service writer left\n"
		  "service writer loses 70000 of 120000 tokens of capacity\n"
		  "service portal is removed: its requests are refused\n"
		  "organisation atlas: requests_per_s falls from 100 to 50\n"
		  "organisation atlas: requests with its old key are refused\n",
		  lines(plan->warnings));
	plan_destroy(plan);
}

TEST(Plan, ResultCarriesPlanAndHistoryButShowsNoSecret)
{
	struct plan *plan =
		plan_from_base(base_text,
			       R"({"organisations":[{"name":"kgotso",
				    "key":"very-secret-key"}]})",
			       nullptr);
	char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						     "very-secret-key", -1);
	std::string shown = text_of(plan_format_json(plan));
	struct error error = {};
	struct config *result = config_json_parse(plan->document, 8, &error);

	ASSERT_NE(nullptr, result) << error.detail;
	EXPECT_STREQ("n1-7", result->plan_id);
	ASSERT_EQ(1u, result->history->len);
	EXPECT_STREQ("kgotso",
		     config_find_key_owner(result, "very-secret-key")->name);
	EXPECT_EQ(std::string::npos, shown.find("very-secret-key"));
	EXPECT_EQ(std::string::npos, shown.find(digest));
	EXPECT_EQ("{\"plan_id\":\"n1-7\",\"operator\":\"aicha\","
		  "\"base_revision\":7,\"differences\":[\"add organisation "
		  "kgotso: priority 0, weight 1, requests_per_s 0, "
		  "concurrent_tokens 0\"],\"warnings\":[],\"capacity\":["
		  "{\"service\":\"writer\",\"endpoints_before\":2,"
		  "\"endpoints_after\":2,\"tokens_before\":120000,"
		  "\"tokens_after\":120000},{\"service\":\"portal\","
		  "\"endpoints_before\":2,\"endpoints_after\":2,"
		  "\"tokens_before\":0,\"tokens_after\":0}]}",
		  shown);
	g_free(digest);
	config_unref(result);
	plan_destroy(plan);
}

TEST(Plan, OrganisationWithoutKeyKeepsItsKey)
{
	struct plan *plan = plan_from_base(
		base_text,
		R"({"organisations":[{"name":"atlas","priority":1}]})",
		nullptr);

	EXPECT_EQ("change organisation atlas: priority 5 -> 1, requests_per_s "
		  "100 -> 0\n",
		  lines(plan->differences));
	plan_destroy(plan);
}

TEST(Plan, RefusesInvalidIntents)
{
	EXPECT_EQ("invalid: service: expected no such key",
		  plan_error(R"({"service":[]})"));
	EXPECT_EQ("invalid: remove_services[0]: expected the name of a service "
		  "that is there and not also in \"services\"",
		  plan_error(R"({"remove_services":["nobody"]})"));
	EXPECT_EQ("invalid: organisation new: expected \"key_sha256\" or "
		  "\"key\"",
		  plan_error(R"({"organisations":[{"name":"new"}]})"));
	EXPECT_EQ("invalid: endpoint 127.0.0.1:9101: expected once, found in "
		  "portal and other",
		  plan_error(R"({"services":[{"name":"other","kind":"plain",
			"endpoints":[{"address":"127.0.0.1:9101"}]}]})"));
	EXPECT_EQ("invalid: key: expected once, found in atlas and new",
		  plan_error(
			  R"({"organisations":[{"name":"new","key_sha256":)"
			  R"("0123456789abcdef0123456789abcdef0123456789abcdef)"
			  R"(0123456789abcdef"}]})"));
}

TEST(Plan, RolloutShowsItsBatches)
{
	struct error error = {};
	struct plan *plan =
		plan_from_base(base_text,
			       R"({"rollouts":[{"name":"v2","service":"writer",
		"target":"draft-v2","max_parallel":2}]})",
			       &error);

	ASSERT_NE(nullptr, plan) << error.detail;
	EXPECT_EQ("add rollout v2: service writer, target draft-v2, "
		  "max_parallel 2, min_ready_percent 50, max_failures 0\n"
		  "rollout v2: batch 1: 127.0.0.1:9001 in failure domain a\n"
		  "rollout v2: batch 2: 127.0.0.1:9002 in failure domain b\n",
		  lines(plan->differences));
	EXPECT_EQ(
		"rollout v2 leaves 1 of 2 endpoints of service writer in use "
		"while it runs\n"
		"rollout v2: 2 endpoints do not check fencing numbers; a late "
		"order there is corrected after it ran\n",
		lines(plan->warnings));
	EXPECT_STREQ("n1-7", config_find_rollout(plan->result, "v2")->id);
	plan_destroy(plan);
}

TEST(Plan, UnchangedRolloutKeepsItsId)
{
	const char *const rollout =
		R"({"name":"v2","service":"w","target":"t"})";
	std::string base =
		std::string(
			R"({"services":[{"name":"w","kind":"generation"}],)") +
		R"("rollouts":[{"name":"v2","service":"w","target":"t",)" +
		R"("id":"old"}]})";
	std::string same = std::string("{\"rollouts\":[") + rollout + "]}";
	struct plan *kept = plan_from_base(base.c_str(), same, nullptr);
	struct plan *changed = plan_from_base(
		base.c_str(),
		R"({"rollouts":[{"name":"v2","service":"w","target":"u"}]})",
		nullptr);
	struct plan *removed = plan_from_base(
		base.c_str(), R"({"remove_rollouts":["v2"]})", nullptr);

	EXPECT_STREQ("old", config_find_rollout(kept->result, "v2")->id);
	EXPECT_STREQ("n1-7", config_find_rollout(changed->result, "v2")->id);
	EXPECT_EQ("remove rollout v2\n", lines(removed->differences));
	plan_destroy(kept);
	plan_destroy(changed);
	plan_destroy(removed);
}

TEST(Plan, RefusesInvalidRollouts)
{
	EXPECT_EQ("invalid: rollout v2: expected a service of kind generation, "
		  "found none named portal",
		  plan_error(R"({"rollouts":[{"name":"v2","service":"portal",
			"target":"t"}]})"));
	EXPECT_EQ("invalid: service of a rollout: expected once, found in v2 "
		  "and v3",
		  plan_error(R"({"rollouts":[
			{"name":"v2","service":"writer","target":"t"},
			{"name":"v3","service":"writer","target":"u"}]})"));
	EXPECT_EQ("invalid: rollouts[0].id: expected no such key",
		  plan_error(R"({"rollouts":[{"name":"v2","service":"writer",
			"target":"t","id":"x"}]})"));
	EXPECT_EQ("invalid: remove_rollouts[0]: expected the name of a rollout "
		  "that is there and not also in \"rollouts\"",
		  plan_error(R"({"remove_rollouts":["v2"]})"));
}

static const char *const routes_base =
	R"({"services":[{"name":"old","kind":"plain","endpoints":[
	 {"address":"127.0.0.1:9101","failure_domain":"a"},
	 {"address":"127.0.0.1:9102","failure_domain":"b"}]},
	{"name":"new","kind":"plain","endpoints":[
	 {"address":"127.0.0.1:9201","failure_domain":"a"},
	 {"address":"127.0.0.1:9202","failure_domain":"b"}]}],
	"routes":[{"name":"lookup","host":"Reports.example",
	 "path_prefix":"/lookup/","kind":"once","timeout_ms":2500,
	 "targets":[{"service":"old"}]}]})";

static std::string route_plan_error(const std::string &intent)
{
	struct error error = {};
	struct plan *plan = plan_from_base(routes_base, intent, &error);

	EXPECT_EQ(nullptr, plan) << intent;
	plan_destroy(plan);
	return error.detail;
}

TEST(PlanRoutes, ShowsWhatChangesForCallers)
{
	struct error error = {};
	struct plan *plan = plan_from_base(
		routes_base,
		R"({"routes":[{"name":"lookup","host":"reports.example",
		 "path_prefix":"/lookup/","kind":"idempotent","public":true,
		 "max_attempts":2,"timeout_ms":1500,"targets":[
		 {"service":"old","weight":90},{"service":"new","weight":10}]},
		 {"name":"draft","host":"reports.example","path_prefix":"/d/",
		 "kind":"stream","priority":1,"targets":[{"service":"new"}]}],
		 "callers":{"body_bytes":65536}})",
		&error);

	ASSERT_NE(nullptr, plan) << error.detail;
	EXPECT_EQ("change route lookup: kind once -> idempotent, public no -> "
		  "yes, max_attempts 1 -> 2, timeout_ms 2500 -> 1500, targets "
		  "old 1 -> old 90, new 10\n"
		  "add route draft: reports.example/d/, stream, priority 1, "
		  "timeout_ms 30000, to new 1\n"
		  "change callers: body_bytes 1048576 -> 65536\n",
		  lines(plan->differences));
	EXPECT_EQ("route lookup: its requests may run more than once\n"
		  "route lookup: its requests need no key any more\n"
		  "route lookup: requests that run longer than 1500 ms are cut "
		  "off\n",
		  lines(plan->warnings));
	plan_destroy(plan);
}

TEST(PlanRoutes, KeepsWhatTheIntentLeavesOut)
{
	struct error error = {};
	struct plan *plan = plan_from_base(
		routes_base, R"({"services":[{"name":"more","kind":"plain"}]})",
		&error);
	struct config *result;

	ASSERT_NE(nullptr, plan) << error.detail;
	result = config_json_parse(plan->document, 8, &error);
	ASSERT_NE(nullptr, result) << error.detail;
	EXPECT_EQ(2500000, config_find_route(result, "lookup")->timeout_us);
	EXPECT_STREQ("reports.example",
		     config_find_route(result, "lookup")->host);
	config_unref(result);
	plan_destroy(plan);
}

TEST(PlanRoutes, WarnsAboutRemovedRoute)
{
	struct error error = {};
	struct plan *plan = plan_from_base(
		routes_base, R"({"remove_routes":["lookup"]})", &error);

	ASSERT_NE(nullptr, plan) << error.detail;
	EXPECT_EQ("remove route lookup\n", lines(plan->differences));
	EXPECT_EQ("route lookup is removed: requests for "
		  "reports.example/lookup/ are refused or taken by another "
		  "route\n",
		  lines(plan->warnings));
	plan_destroy(plan);
}

TEST(PlanRoutes, RefusesInvalidRoutes)
{
	const std::string route =
		R"({"routes":[{"name":"a","host":"h","path_prefix":"/a/",
		 "kind":"once","targets":[{"service":"old"}])";

	EXPECT_EQ("remove_routes[0]: expected the name of a route that is "
		  "there and not also in \"routes\"",
		  route_plan_error(R"({"remove_routes":["none"]})"));
	EXPECT_EQ("route a: expected a service, found none named gone",
		  route_plan_error(R"({"routes":[{"name":"a","host":"h",
		 "path_prefix":"/a/","kind":"once",
		 "targets":[{"service":"gone"}]}]})"));
	EXPECT_EQ("host and path_prefix: expected once, found in a and b",
		  route_plan_error(route +
				   R"(},{"name":"b","host":"H",
		 "path_prefix":"/a/","kind":"once",
		 "targets":[{"service":"old"}]}]})"));
	EXPECT_EQ("routes[0].timeout_ms: expected a whole number from 10 to "
		  "3600000",
		  route_plan_error(route + R"(,"timeout_ms":0}]})"));
	EXPECT_EQ("routes[0].path_prefix: expected a path that begins and ends "
		  "with a slash",
		  route_plan_error(R"({"routes":[{"name":"a","host":"h",
		 "path_prefix":"/a","kind":"once",
		 "targets":[{"service":"old"}]}]})"));
	EXPECT_EQ("routes[0].targets: expected a weight above 0",
		  route_plan_error(R"({"routes":[{"name":"a","host":"h",
		 "path_prefix":"/a/","kind":"once",
		 "targets":[{"service":"old","weight":0}]}]})"));
	EXPECT_EQ("routes[0].targets: expected at least one service",
		  route_plan_error(R"({"routes":[{"name":"a","host":"h",
		 "path_prefix":"/a/","kind":"once"}]})"));
	EXPECT_EQ("callers.header_bytes: expected a whole number from 256 to "
		  "1048576",
		  route_plan_error(R"({"callers":{"header_bytes":1}})"));
}

TEST(PlanRoutes, RefusesToRemoveAServiceInUse)
{
	EXPECT_EQ("route lookup: expected a service, found none named old",
		  route_plan_error(R"({"remove_services":["old"]})"));
}

TEST(PlanRoutes, RoutesAndKeysSurviveFormatAndParse)
{
	const std::string digest(64, 'a');
	const std::string text =
		std::string(routes_base)
			.substr(0, std::string(routes_base).size() - 1) +
		R"(,"callers":{"idle_timeout_ms":15000},
		"organisations":[{"name":"atlas","more_keys_sha256":[")" +
		digest + R"("],"route_priority":2}]})";
	struct config *config = parse(text, nullptr);
	struct config *again;
	GBytes *once;

	ASSERT_NE(nullptr, config);
	once = config_json_format(config);
	again = config_json_parse(once, 7, nullptr);
	ASSERT_NE(nullptr, again);
	EXPECT_EQ(text_of(g_bytes_ref(once)),
		  text_of(config_json_format(again)));
	EXPECT_TRUE(route_is_equal(config_find_route(config, "lookup"),
				   config_find_route(again, "lookup")));
	EXPECT_EQ(15000000, again->callers.idle_timeout_us);
	EXPECT_EQ(2, config_find_organisation(again, "atlas")->route_priority);
	EXPECT_EQ(1u, config_find_organisation(again, "atlas")->more_keys->len);
	g_bytes_unref(once);
	config_unref(config);
	config_unref(again);
}
