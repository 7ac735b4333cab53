#include "adapters/gateway/http_head.h"
#include "core/gateway/route_table.h"
#include "core/base/store_position.h"
#include "core/limit/suspect_key.h"
#include "platform/platform.h"

#include <gtest/gtest.h>
#include <json-glib/json-glib.h>

#include <cstring>
#include <string>
#include <vector>

static GBytes *bytes_of(const std::string &text)
{
	return g_bytes_new(text.data(), text.size());
}

static struct registration *read_entry(const std::string &value,
				       const char *key = "servers/i-1")
{
	struct store_item item = {};
	struct registration *record;

	item.key = const_cast<char *>(key);
	item.value = bytes_of(value);
	item.position = 9;
	record = platform_read_entry(&item);
	g_bytes_unref(item.value);
	return record;
}

static const char entry[] =
	"{\"service\":\"s\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\","
	"\"version\":\"v1\",\"slots\":24,\"state\":\"ready\","
	"\"warmup_left_ms\":250,\"sequence\":4,\"born\":1780000000000,"
	"\"more\":[]}";

TEST(Platform, ReadsAnEntry)
{
	struct registration *record = read_entry(entry);

	ASSERT_NE(nullptr, record);
	EXPECT_FALSE(record->is_removed);
	EXPECT_STREQ("i-1", record->id);
	EXPECT_STREQ("10.0.0.1:8080", record->address);
	EXPECT_EQ(1780000000000, record->started_ms);
	EXPECT_EQ(250000, record->warmup_remaining_us);
	EXPECT_EQ(9, record->position);
	registration_destroy(record);
}

/*
 * Another program writes entries that can't be used. Each must read as removed
 * and must not prevent the others from being read.
 */
TEST(Platform, ReadsAnUnusableEntryAsNone)
{
	const std::string good = entry;
	std::string bad[] = {
		"",
		"null",
		"[]",
		"{",
		"\xff\xfe",
		good.substr(0, 40),
		std::string(good).replace(good.find("\"10."), 15, "7"),
		std::string(good).replace(good.find("\"10."), 15, "\"host:1\""),
		std::string(good).replace(good.find("ready"), 5, "other"),
		std::string(good).replace(good.find("24"), 2, "\"x\""),
		std::string(good).replace(good.find("24"), 2, "0"),
		std::string(good).replace(good.find("version"), 7, "versiom"),
	};

	for (const std::string &value : bad) {
		struct registration *record = read_entry(value);

		ASSERT_NE(nullptr, record) << value;
		EXPECT_TRUE(record->is_removed) << value;
		registration_destroy(record);
	}
	EXPECT_EQ(nullptr, read_entry(entry, "servers/"));
	EXPECT_EQ(nullptr, read_entry(entry, "other/i-1"));
}

/* A text of count levels, closed or not. */
static std::string nested(size_t count, const char *open, const char *close)
{
	std::string text;

	for (size_t i = 0; i < count; i++)
		text += open;
	for (size_t i = 0; i < count && *close; i++)
		text += close;
	return text;
}

/*
 * Guards against the end of the process at a text of another program: the
 * parser recurses for each level and overflows the stack.
 */
TEST(Platform, RejectsTextsThatAreNestedTooDeeply)
{
	const size_t count = 300000;
	const std::string start =
		std::string(entry).substr(0, strlen(entry) - 3);
	const std::string texts[] = {
		nested(count, "[", ""),
		nested(count, "[", "]"),
		"{\"a\":" + nested(count, "{\"a\":", ""),
		start + nested(count, "[", "]") + "}",
		start + nested(33, "[", "]") + "}",
		/* In an extension of the parser, a quote that hides what
		   follows. */
		"/* \" */" + nested(count, "[", ""),
		"{'\"':" + nested(count, "[", "]") + "}",
		start + "\"\\\\\"," + nested(count, "[", ""),
	};

	for (const std::string &text : texts) {
		struct registration *record = read_entry(text);
		struct kv_request request = {};
		struct kv_answer answer = {};
		struct move_answer move = {};
		struct store_page page;
		struct error error;
		GBytes *bytes = bytes_of(text);

		ASSERT_NE(nullptr, record);
		EXPECT_TRUE(record->is_removed) << text.substr(0, 20);
		registration_destroy(record);
		EXPECT_EQ(nullptr, platform_read_document(bytes, &error));
		store_page_init(&page);
		EXPECT_FALSE(platform_store_dialect.read_list(bytes, 1, &page,
							      &error));
		store_page_clear(&page);
		EXPECT_FALSE(platform_dialect.read_move_answer(bytes, &move));
		EXPECT_FALSE(platform_dialect.read_report_is_leaving(bytes));
		request.op = KV_CAS;
		EXPECT_FALSE(platform_kv_dialect.read_call(
			&request, 200, 1, bytes, &answer, &error));
		kv_answer_clear(&answer);
		g_bytes_unref(bytes);
	}
}

/* What stands in strings is no nesting, and some levels are allowed. */
TEST(Platform, ReadsTextsWithBracketsInStringsAndSomeLevels)
{
	const std::string start =
		std::string(entry).substr(0, strlen(entry) - 3);
	const std::string texts[] = {
		start + nested(30, "[", "]") + "}",
		start + "\"" + nested(300000, "[", "") + "\"}",
		start + "\"\\\"" + nested(300000, "{", "") + "\"}",
		"\xef\xbb\xbf" + std::string(entry),
	};

	for (const std::string &text : texts) {
		struct registration *record = read_entry(text);

		ASSERT_NE(nullptr, record);
		EXPECT_FALSE(record->is_removed) << text.substr(0, 20);
		registration_destroy(record);
	}
}

static struct route_table *read_document(const std::string &text)
{
	GBytes *document = bytes_of(text);
	struct error error;
	struct config *config = platform_read_document(document, &error);
	struct route_table *table =
		config ? route_table_create(config) : nullptr;

	config_unref(config);
	g_bytes_unref(document);
	return table;
}

TEST(Platform, ReadsTheConfiguration)
{
	struct route_table *table = read_document(
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"path_prefix\":\"/a/\",\"kind\":\"streaming\","
		"\"timeout_ms\":39000,\"slo_ms\":1800,\"priority\":1,"
		"\"traffic_split\":[{\"service\":\"s\",\"weight\":90},"
		"{\"service\":\"t\",\"weight\":10}],\"max_attempts\":1,"
		"\"gap_target_ms\":180}],\"services\":[{\"name\":\"s\","
		"\"max_conns\":272,\"engine\":{\"slots\":24,"
		"\"kv_cache_tokens\":34292,\"backups\":true,\"stride\":4}}],"
		"\"limits\":{\"header_bytes\":16384,\"max_body_bytes\":100,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"atlas\",\"keys\":[\"k\",7],"
		"\"priority\":2}]}");
	const struct route *route;
	const struct config_service *service;

	ASSERT_NE(nullptr, table);
	EXPECT_EQ(7, route_table_version(table));
	EXPECT_TRUE(route_table_requires_keys(table));
	EXPECT_EQ(3000000, route_table_limits(table)->header_timeout_us);
	route = route_table_find(table, "h", "/a/b");
	ASSERT_NE(nullptr, route);
	EXPECT_EQ(ROUTE_STREAM, route->kind);
	EXPECT_EQ(39000000, route->timeout_us);
	EXPECT_EQ(2u, route->targets->len);
	service = route_table_find_service(table, "s");
	ASSERT_NE(nullptr, service);
	EXPECT_EQ(34292, service->engine.memory_tokens);
	EXPECT_TRUE(service->engine.can_back_up);
	EXPECT_FALSE(service->engine.can_move);
	EXPECT_EQ(2, route_table_find_organisation(table, "k")->route_priority);
	route_table_unref(table);
	EXPECT_EQ(nullptr, read_document(""));
	EXPECT_EQ(nullptr, read_document("{\"version\":8}"));
	EXPECT_EQ(nullptr, read_document("{\"version\":8,\"limits\":{},"
					 "\"routes\":[{}]}"));
}

/* The error names the path of the invalid or missing member. */
TEST(Platform, SaysWhatItCannotReadInAConfiguration)
{
	const char *const cases[][2] = {
		{"[]", "no object with a version"},
		{"{\"version\":8}", "limits missing"},
		{"{\"version\":8,\"limits\":{},\"routes\":[{}]}",
		 "routes[0] can't be read"},
		{"{\"version\":8,\"limits\":{},\"services\":"
		 "[{\"name\":\"s\"},{}]}",
		 "services[1] can't be read"},
		{"{\"version\":8,\"limits\":{},\"tenants\":[7]}",
		 "tenants[0] can't be read"},
	};

	for (const auto &wrong : cases) {
		GBytes *document = bytes_of(wrong[0]);
		struct error error = {};

		EXPECT_EQ(nullptr, platform_read_document(document, &error));
		EXPECT_STREQ(wrong[1], error.detail);
		g_bytes_unref(document);
	}
}

static struct http_head *caller_head(const char *id)
{
	struct http_head *head = http_head_create();
	const char *fields[][2] = {
		{"Host", "h"},
		{"X-Siskinlink-Request-Id", id},
		{"X-Siskinlink-Token-Count", "1460, 80"},
		{"X-Siskinlink-Deadline-Ms", "39000"},
		{"X-Siskinlink-Tenant", "forged"},
		{"X-Siskinlink-Hold", "h1"},
		{"Kv-From", "10.0.0.9:1/x"},
		{"Authorization", "Bearer secret"},
		{"Connection", "close, X-Private"},
		{"X-Private", "1"},
		{"Accept", "a"},
	};

	head->method = g_strdup("POST");
	head->target = g_strdup("/a/b?c");
	for (const auto &field : fields)
		http_head_add(head, field[0], strlen(field[0]), field[1],
			      strlen(field[1]));
	return head;
}

TEST(Platform, ReadsACallersRequest)
{
	struct http_head *head = caller_head("9c41");
	struct caller_request request;
	struct error error;

	ASSERT_TRUE(platform_dialect.read_request(head, &request, &error));
	EXPECT_STREQ("9c41", request.id);
	EXPECT_STREQ("secret", request.key);
	EXPECT_EQ(1460, request.prompt_tokens);
	EXPECT_EQ(80, request.max_tokens);
	EXPECT_EQ(39000000, request.patience_us);
	http_head_destroy(head);
	head = caller_head("");
	EXPECT_FALSE(platform_dialect.read_request(head, &request, &error));
	http_head_destroy(head);
}

/* The parts of a request whose fields list these prompts. */
static std::string read_parts(const std::vector<std::string> &prompts,
			      bool *is_incomplete = nullptr)
{
	struct http_head *head = caller_head("9c41");
	struct caller_request request;
	struct error error;
	std::string text;

	for (const std::string &prompt : prompts)
		http_head_add(head, "x-siskinlink-prompt-prefix", 26,
			      prompt.data(), prompt.size());
	EXPECT_TRUE(platform_dialect.read_request(head, &request, &error));
	for (int32_t i = 0; i < request.parts.count; i++) {
		char key[20];

		EXPECT_EQ(SUSPECT_PART,
			  suspect_key_kind(request.parts.keys[i]));
		snprintf(key, sizeof(key), "%s%llx", i ? " " : "",
			 (unsigned long long)request.parts.keys[i] &
				 0xffffffffffff);
		text += key;
	}
	if (is_incomplete)
		*is_incomplete = request.parts.is_incomplete;
	http_head_destroy(head);
	return text;
}

TEST(Platform, ReadsThePartsThatRequestsShare)
{
	bool is_incomplete;

	EXPECT_EQ("5c1e07a2 91bd3f06",
		  read_parts({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
			     &is_incomplete));
	EXPECT_FALSE(is_incomplete);
	EXPECT_EQ("5c1e07a2", read_parts({" 5C1E07A2 : 8 , 5c1e07a2:8, 1:2"}))
		<< "twice, in other case";
	EXPECT_EQ("a b", read_parts({"0a:1,00b:2,c:3"})) << "leading zeros";
	EXPECT_EQ("a b", read_parts({"a:1,b:1", "c:1"})) << "two fields";
	EXPECT_EQ("", read_parts({"5c1e07a2:800"})) << "the last is its own";
	EXPECT_EQ("b", read_parts({"a:1,b:1,a:1"})) << "the last one again";
	EXPECT_EQ("", read_parts({}));
	EXPECT_EQ("", read_parts({""}));
}

/* Guards against a caller whose lists of parts crash a node, fill it up, or
 * hide the parts that can be read. */
TEST(Platform, ReadsWhatItCanOfPoorLists)
{
	bool is_incomplete;
	std::string many;

	EXPECT_EQ("a b", read_parts({"a:-1,b:99999999999999999999,c:1"},
				    &is_incomplete));
	EXPECT_FALSE(is_incomplete) << "tokens name no part";
	for (const char *poor : {"a:1,:5,b:1,c:1", "a:1,,b:1,c:1",
				 "a:1,xyz:5,b:1,c:1", "a:1,\xff\x01,b:1,c:1"}) {
		EXPECT_EQ("a b", read_parts({poor}, &is_incomplete)) << poor;
		EXPECT_TRUE(is_incomplete) << poor;
	}
	EXPECT_EQ("", read_parts({std::string(65, 'a') + ":1,b:1"}));
	EXPECT_NE("", read_parts({std::string(64, 'a') + ":1,b:1"}));
	EXPECT_NE(read_parts({std::string(64, 'a') + ":1,b:1"}),
		  read_parts({std::string(63, 'a') + ":1,b:1"}));
	for (int i = 1; i <= 10000; i++)
		many += "1" + std::to_string(i) + ":1,";
	EXPECT_EQ(0u, read_parts({many}, &is_incomplete).find("11 12 13"));
	EXPECT_TRUE(is_incomplete);
}

/* Fields that only the system may set never reach an engine from a caller. */
TEST(Platform, WritesWhatAnEngineIsTold)
{
	struct http_head *head = caller_head("9c41");
	struct endpoint_request to = {};
	GString *out = g_string_new(nullptr);

	to.endpoint_id = "i-1";
	to.organisation = "atlas";
	to.drops_key = true;
	to.patience_us = 1500000;
	to.is_generation = true;
	to.backup_address = "10.0.0.2:8080";
	to.copy_address = "10.0.0.3:8080";
	to.copy_name = "9c41";
	to.after_event = 17;
	platform_dialect.write_request(head, &to, 3, out);
	EXPECT_STREQ("POST /a/b?c HTTP/1.1\r\n"
		     "Host: h\r\n"
		     "X-Siskinlink-Request-Id: 9c41\r\n"
		     "X-Siskinlink-Token-Count: 1460, 80\r\n"
		     "Accept: a\r\n"
		     "X-Siskinlink-Deadline-Ms: 1500\r\n"
		     "X-Siskinlink-Expect-Instance: i-1\r\n"
		     "X-Siskinlink-Tenant: atlas\r\n"
		     "X-Siskinlink-Request-Priority: 0\r\n"
		     "X-Siskinlink-Kv-Backup: 10.0.0.2:8080\r\n"
		     "Kv-From: 10.0.0.3:8080/9c41\r\n"
		     "Last-Event-Id: 17\r\n"
		     "Connection: close\r\n"
		     "Content-Length: 3\r\n\r\n",
		     out->str);
	http_head_destroy(head);
	g_string_free(out, TRUE);
}

/*
 * A caller's id may contain any visible character. Unescaped, it would make the
 * request to a leaving engine for a copy of the run invalid, or name another
 * run or target.
 */
TEST(Platform, WritesAMoveOfAnyId)
{
	const char id[] = "a\"b\\c\",\"target\":\"d";
	GString *out = g_string_new(nullptr);
	JsonParser *parser = json_parser_new();
	const char *body;
	JsonObject *object;

	platform_dialect.write_move_request("10.0.0.1:1", id, "10.0.0.2:2",
					    false, out);
	body = strstr(out->str, "\r\n\r\n");
	ASSERT_NE(nullptr, body);
	ASSERT_TRUE(json_parser_load_from_data(parser, body, -1, nullptr));
	object = json_node_get_object(json_parser_get_root(parser));
	EXPECT_STREQ(id, json_object_get_string_member(object, "id"));
	EXPECT_STREQ("10.0.0.2:2",
		     json_object_get_string_member(object, "target"));
	EXPECT_FALSE(json_object_get_boolean_member(object, "last"));
	g_object_unref(parser);
	g_string_free(out, TRUE);
}

/* Guards against a run that goes on though its engine was to stop it. */
TEST(Platform, WritesALastMove)
{
	GString *out = g_string_new(nullptr);

	platform_dialect.write_move_request("10.0.0.1:1", "r", "10.0.0.2:2",
					    true, out);
	EXPECT_NE(nullptr, strstr(out->str, "\"last\":true"));
	g_string_free(out, TRUE);
}

/* Guards against a handle that ends the request line, or adds fields. */
TEST(Platform, EscapesAHandle)
{
	GString *out = g_string_new(nullptr);

	platform_dialect.write_free_request("10.0.0.1:1", "a b\r\nc/d", out);
	EXPECT_EQ(0u, std::string(out->str).find(
			      "DELETE /v1/kv-handle/a%20b%0D%0Ac%2Fd "
			      "HTTP/1.1\r\nHost: 10.0.0.1:1\r\n"));
	g_string_free(out, TRUE);
}

TEST(Platform, ReadsPagesOfTheStore)
{
	GBytes *body = bytes_of(
		"{\"events\":[{\"key\":\"a\",\"value\":\"aGk=\","
		"\"revision\":5,\"lease\":0},{\"key\":\"b\",\"revision\":6,"
		"\"deleted\":true}],\"as_of\":6}");
	struct store_page page;
	struct error error;

	store_page_init(&page);
	EXPECT_FALSE(platform_store_dialect.read_list(body, 0, &page, &error));
	ASSERT_TRUE(platform_store_dialect.read_watch(body, 0, &page, &error));
	EXPECT_EQ(6, page.position);
	ASSERT_EQ(2u, page.items->len);
	auto *first = (struct store_item *)g_ptr_array_index(page.items, 0);
	auto *second = (struct store_item *)g_ptr_array_index(page.items, 1);
	EXPECT_EQ("hi", std::string((const char *)g_bytes_get_data(first->value,
								   nullptr),
				    g_bytes_get_size(first->value)));
	EXPECT_EQ(nullptr, second->value);
	store_page_clear(&page);
	g_bytes_unref(body);
}

/* Guards against positions made from an era that no store would name. */
TEST(Platform, ReadsTheErasOfAnswers)
{
	static const struct {
		const char *text;
		int64_t era;
	} rows[] = {{"1", 1},
		    {"1048575", 1048575},
		    {"1048576", STORE_ERA_INVALID},
		    {"0", STORE_ERA_INVALID},
		    {"-1", STORE_ERA_INVALID},
		    {"", STORE_ERA_INVALID},
		    {"two", STORE_ERA_INVALID},
		    {"1.5", STORE_ERA_INVALID},
		    {"18446744073709551616", STORE_ERA_INVALID}};

	for (const auto &row : rows) {
		struct http_head *head = http_head_create();

		http_head_add(head, "store-era", 9, row.text, strlen(row.text));
		EXPECT_EQ(row.era, platform_store_dialect.read_era(head))
			<< row.text;
		http_head_add(head, "Store-Era", 9, "1", 1);
		EXPECT_EQ(STORE_ERA_INVALID,
			  platform_store_dialect.read_era(head))
			<< "twice";
		http_head_destroy(head);
	}
	struct http_head *head = http_head_create();
	EXPECT_EQ(STORE_ERA_NONE, platform_store_dialect.read_era(head));
	http_head_destroy(head);
}

/*
 * A service that has run a request may answer 421 for reasons of its own. If
 * that counted as "did not run", a request that may run only once would be sent
 * to the next endpoint and run there, too. Only the explicit field counts.
 */
TEST(Platform, ReadsNotRunOnlyFromTheWordForIt)
{
	static const char field[] = "X-Siskinlink-Not-Executed";
	struct http_head *head = http_head_create();
	struct endpoint_answer answer = {};

	head->status = 421;
	platform_dialect.read_answer(head, &answer);
	EXPECT_FALSE(answer.did_not_run);
	http_head_add(head, field, strlen(field), "1", 1);
	platform_dialect.read_answer(head, &answer);
	EXPECT_TRUE(answer.did_not_run);
	http_head_destroy(head);
}

/* Guards against an endpoint that is used because a full one, or the next one
 * at its address, answered its health check. */
TEST(Platform, ReadsWhetherAnEndpointServes)
{
	static const struct {
		int status;
		const char *field, *value;
		enum endpoint_status expected;
	} answers[] = {
		{200, "X-Siskinlink-Instance-Id", "i-1", ENDPOINT_SERVES},
		{200, "X-Siskinlink-Instance-Id", "i-2", ENDPOINT_IS_ANOTHER},
		{200, "Server-Leaving", "1", ENDPOINT_LEAVES},
		{503, "X-Siskinlink-Instance-Id", "i-1", ENDPOINT_LEAVES},
		{503, "X-Siskinlink-Not-Executed", "1", ENDPOINT_UNCLEAR},
		{429, "X-Siskinlink-Not-Executed", "1", ENDPOINT_UNCLEAR},
		{404, "X-Siskinlink-Instance-Id", "i-1", ENDPOINT_UNCLEAR},
	};

	for (const auto &answer : answers) {
		struct http_head *head = http_head_create();

		head->status = answer.status;
		http_head_add(head, answer.field, strlen(answer.field),
			      answer.value, strlen(answer.value));
		EXPECT_EQ(answer.expected,
			  platform_dialect.read_status(head, "i-1"))
			<< answer.status << " " << answer.field;
		http_head_destroy(head);
	}
}

/* Each value of the limit that an endpoint states has one meaning. */
TEST(Platform, ReadsTheLimitOfAnEndpointWhateverItsValue)
{
	static const struct {
		std::vector<const char *> values;
		enum limit_statement statement;
		int64_t per_ks;
	} rows[] = {
		{{}, LIMIT_UNSTATED, 0},
		{{"4.8"}, LIMIT_STATED, 4800},
		{{"3"}, LIMIT_STATED, 3000},
		{{" 0.25 "}, LIMIT_STATED, 250},
		{{".5"}, LIMIT_STATED, 500},
		{{"7."}, LIMIT_STATED, 7000},
		{{"0"}, LIMIT_STATED, 0},
		{{"0.0004"}, LIMIT_STATED, 0},
		{{"4.79999"}, LIMIT_STATED, 4799},
		{{"999999"}, LIMIT_STATED, 999999000},
		{{"1000001"}, LIMIT_STATED, LIMIT_MAX_PER_KS},
		{{"99999999999999999999999999.9"},
		 LIMIT_STATED,
		 LIMIT_MAX_PER_KS},
		{{"4.8", "4.8"}, LIMIT_STATED, 4800},
		{{"4.8", "3"}, LIMIT_STATED, 3000},
		{{"3, 4.8"}, LIMIT_STATED, 3000},
		{{"slow", "6"}, LIMIT_STATED, 6000},
		{{"6", "slow"}, LIMIT_STATED, 6000},
		{{""}, LIMIT_UNREADABLE, 0},
		{{" "}, LIMIT_UNREADABLE, 0},
		{{"."}, LIMIT_UNREADABLE, 0},
		{{"-3"}, LIMIT_UNREADABLE, 0},
		{{"+3"}, LIMIT_UNREADABLE, 0},
		{{"3/s"}, LIMIT_UNREADABLE, 0},
		{{"1e3"}, LIMIT_UNREADABLE, 0},
		{{"1.2.3"}, LIMIT_UNREADABLE, 0},
		{{"0x10"}, LIMIT_UNREADABLE, 0},
		{{"nan"}, LIMIT_UNREADABLE, 0},
		{{"inf"}, LIMIT_UNREADABLE, 0},
	};

	for (const auto &row : rows) {
		struct http_head *head = http_head_create();
		struct endpoint_answer answer = {};
		std::string text;

		head->status = 200;
		http_head_add(head, "X-Siskinlink-Engine-Stamp", 25, "s", 1);
		for (const char *value : row.values) {
			http_head_add(head, "server-limit", 12, value,
				      strlen(value));
			http_head_add(head, "server-brittle", 14, value,
				      strlen(value));
			text += value;
			text += "|";
		}
		platform_dialect.read_answer(head, &answer);
		EXPECT_EQ(row.statement, answer.limit.statement) << text;
		if (row.statement == LIMIT_STATED) {
			EXPECT_EQ(row.per_ks, answer.limit.rate_per_ks) << text;
			EXPECT_EQ(row.per_ks, answer.brittle.rate_per_ks)
				<< text;
		}
		EXPECT_EQ(row.statement, answer.brittle.statement) << text;
		http_head_destroy(head);
	}
}

/* Answers of proxies and of other engines say nothing about an endpoint. */
TEST(Platform, ReadsLimitsOnlyFromTheEndpointItself)
{
	static const struct {
		int32_t status;
		const char *field;
		bool has_limit;
		enum limit_statement statement;
	} rows[] = {
		{200, "X-Siskinlink-Engine-Stamp", false, LIMIT_UNSTATED},
		{500, "X-Siskinlink-Engine-Stamp", true, LIMIT_STATED},
		{503, "X-Siskinlink-Not-Executed", true, LIMIT_STATED},
		{503, "X-Siskinlink-Not-Executed", false, LIMIT_UNKNOWN},
		{421, "X-Siskinlink-Not-Executed", true, LIMIT_UNKNOWN},
		{200, "Via", true, LIMIT_UNKNOWN},
		{502, "Via", false, LIMIT_UNKNOWN},
	};

	for (const auto &row : rows) {
		struct http_head *head = http_head_create();
		struct endpoint_answer answer = {};

		head->status = row.status;
		http_head_add(head, row.field, strlen(row.field), "1", 1);
		if (row.has_limit)
			http_head_add(head, "Server-Limit", 12, "4", 1);
		if (row.has_limit)
			http_head_add(head, "Server-Brittle", 14, "2", 1);
		platform_dialect.read_answer(head, &answer);
		EXPECT_EQ(row.statement, answer.limit.statement)
			<< row.status << row.field << row.has_limit;
		EXPECT_EQ(row.statement, answer.brittle.statement)
			<< row.status << row.field << row.has_limit;
		http_head_destroy(head);
	}
}

/*
 * Some statuses tell callers that nothing ran. If one comes from an endpoint
 * that may have run the request and is forwarded, the caller sends the request
 * again. Such a status is distinct from the explicit field of an endpoint.
 */
TEST(Platform, KnowsWhichStatusesPromiseThatNothingRan)
{
	struct endpoint_answer answer = {};

	for (int32_t status : {200, 400, 404, 408, 421, 429, 500, 503, 504}) {
		struct http_head *head = http_head_create();

		head->status = status;
		platform_dialect.read_answer(head, &answer);
		EXPECT_EQ(status == 408 || status == 421 || status == 429 ||
				  status == 503,
			  answer.status_implies_not_run)
			<< status;
		EXPECT_FALSE(answer.did_not_run) << status;
		http_head_destroy(head);
	}
}

/* The key alone counts; one without a zone names nothing. */
TEST(Platform, ReadsAnEvacuatedZoneWhateverItsValue)
{
	const struct {
		const char *key;
		const char *value; /* NULL: deleted */
		const char *domain;
	} cases[] = {
		{"op/evacuate/casa-ain", "{}", "casa-ain"},
		{"op/evacuate/casa-ain", "", "casa-ain"},
		{"op/evacuate/casa-ain", "\xff not json", "casa-ain"},
		{"op/evacuate/casa-ain", nullptr, "casa-ain"},
		{"op/evacuate/", "{}", nullptr},
		{"op/evacuate/0123456789012345678901234567890123456789"
		 "012345678901234567890123",
		 "{}", nullptr},
	};

	for (const auto &row : cases) {
		struct store_item item = {};
		struct cordon *cordon;

		item.key = (char *)row.key;
		item.position = 7;
		if (row.value)
			item.value = g_bytes_new(row.value, strlen(row.value));
		ASSERT_TRUE(platform_is_cordon(row.key));
		cordon = platform_read_cordon(&item);
		if (row.domain) {
			ASSERT_NE(nullptr, cordon) << row.key;
			EXPECT_STREQ(row.domain, cordon->failure_domain);
			EXPECT_EQ(7, cordon->position);
			EXPECT_EQ(row.value == nullptr, cordon->is_lifted);
		} else {
			EXPECT_EQ(nullptr, cordon) << row.key;
		}
		cordon_destroy(cordon);
		if (item.value)
			g_bytes_unref(item.value);
	}
	EXPECT_FALSE(platform_is_cordon("op/config"));
	EXPECT_FALSE(platform_is_cordon("servers/evacuate"));
}

/* A rate that is no number above 0 sets no limit; fractions count. */
TEST(Platform, ReadsTheRateOfColdEndpoints)
{
	const struct {
		const char *field;
		int64_t per_ks;
	} cases[] = {
		{"\"warmup_per_s\":36.0", 36000}, {"\"warmup_per_s\":0.5", 500},
		{"\"warmup_per_s\":4", 4000},	  {"\"warmup_per_s\":0", 0},
		{"\"warmup_per_s\":-3", 0},	  {"\"warmup_per_s\":\"9\"", 0},
		{"\"warmup_per_s\":1e300", 0},	  {"\"other\":9", 0},
	};

	for (const auto &row : cases) {
		std::string text = std::string("{\"version\":1,\"limits\":{},"
					       "\"services\":[{\"name\":\"s\","
					       "\"cold_start_s\":1.5,") +
				   row.field + "}]}";
		struct route_table *table = read_document(text);
		const struct config_service *service;

		ASSERT_NE(nullptr, table) << text;
		service = route_table_find_service(table, "s");
		EXPECT_EQ(row.per_ks, service->warmup_per_ks) << text;
		EXPECT_EQ(1500000, service->warmup_us);
		route_table_unref(table);
	}
}

/* Homes of routes and of tenants; a list that can't be read allows nothing. */
TEST(Platform, ReadsTheRegionsOfRoutesAndOrganisations)
{
	struct route_table *table = read_document(
		"{\"version\":1,\"limits\":{},\"services\":[],\"routes\":["
		"{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\","
		"\"kind\":\"safe\",\"timeout_ms\":9,"
		"\"allowed_regions\":[\"casa\",\"rabat\"]},"
		"{\"name\":\"s\",\"host\":\"h\",\"path_prefix\":\"/b/\","
		"\"kind\":\"safe\",\"timeout_ms\":9,\"allowed_regions\":[]},"
		"{\"name\":\"t\",\"host\":\"h\",\"path_prefix\":\"/c/\","
		"\"kind\":\"safe\",\"timeout_ms\":9,\"allowed_regions\":[7]}],"
		"\"tenants\":[{\"name\":\"atlas\",\"keys\":[\"k\"],"
		"\"allowed_regions\":[\"rabat\"]}]}");

	ASSERT_NE(nullptr, table);
	EXPECT_EQ(2u, route_table_find(table, "h", "/a/x")->regions->len);
	EXPECT_EQ(nullptr, route_table_find(table, "h", "/b/x")->regions);
	EXPECT_EQ(0u, route_table_find(table, "h", "/c/x")->regions->len);
	EXPECT_STREQ("rabat",
		     (const char *)route_table_find_organisation(table, "k")
			     ->regions->pdata[0]);
	route_table_unref(table);
}

TEST(Platform, ReadsTheRegionOfACaller)
{
	const struct {
		const char *target;
		const char *region;
	} cases[] = {
		{"/v1/resolve?name=h&region=casa&zone=z", "casa"},
		{"/v1/resolve?name=h", nullptr},
		{"/v1/resolve", nullptr},
		{"/v1/resolve?region=%zz", nullptr},
	};

	for (const auto &row : cases) {
		struct http_head *head = http_head_create();
		char *region;

		head->target = g_strdup(row.target);
		region = platform_dialect.read_caller_region(head);
		EXPECT_STREQ(row.region, region) << row.target;
		g_free(region);
		http_head_destroy(head);
	}
}

static struct answered_load read_load(const std::vector<std::string> &values,
				      const char *field, int32_t status = 200)
{
	static const char name[] = "X-Siskinlink-Engine-Load";
	struct http_head *head = http_head_create();
	struct endpoint_answer answer = {};

	head->status = status;
	http_head_add(head, field, strlen(field), "1", 1);
	for (const std::string &value : values)
		http_head_add(head, name, strlen(name), value.data(),
			      value.size());
	platform_dialect.read_answer(head, &answer);
	http_head_destroy(head);
	return answer.load;
}

static const char stamp[] = "X-Siskinlink-Engine-Stamp";

/* Guards against figures that are confused with each other. */
TEST(Platform, ReadsTheLoadOfAnEndpoint)
{
	struct answered_load load = read_load({"3,1,24"}, stamp);

	EXPECT_EQ(LOAD_STATED, load.statement);
	EXPECT_EQ(3, load.running);
	EXPECT_EQ(1, load.waiting);
	EXPECT_EQ(24, load.slots);
	EXPECT_EQ(0, load.slowdown_percent);
	load = read_load({" 24, 7 ,24 , 250"}, stamp);
	EXPECT_EQ(LOAD_STATED, load.statement);
	EXPECT_EQ(24, load.running);
	EXPECT_EQ(250, load.slowdown_percent);
	EXPECT_EQ(LOAD_UNSTATED, read_load({}, stamp).statement);
}

/*
 * Guards against a load that is believed although it is missing, malformed,
 * negative, far too large or contradicts itself.
 */
TEST(Platform, ReadsALoadWithoutAMeaningAsNone)
{
	for (const char *value : {"",
				  " ",
				  ",",
				  "3",
				  "3,1",
				  "3,1,",
				  "3,,24",
				  "3,1,24,",
				  "a,b,c",
				  "3;1;24",
				  "3,1,24,100,5",
				  "3,1,24,1e2",
				  "3,1,24,1.5",
				  "+3,1,24",
				  "-3,1,24",
				  "3,-1,24",
				  "3,1,-24",
				  "3,1,24,-100",
				  "1000000000000,1,24",
				  "3,1000000000000,24",
				  "3,1,1000000000000",
				  "3,1,24,1000000000000",
				  "99999999999999999999999,1,24",
				  "25,0,24",
				  "0,0,0",
				  "3,1,0",
				  "3,1,24,0",
				  "3 1,1,24",
				  "0x3,1,24"}) {
		struct answered_load load = read_load({value}, stamp);

		EXPECT_EQ(LOAD_UNREADABLE, load.statement) << value;
		EXPECT_EQ(0, load.running) << value;
		EXPECT_EQ(0, load.slowdown_percent) << value;
	}
	EXPECT_EQ(LOAD_UNREADABLE,
		  read_load({"3,1,24", "9,1,24"}, stamp).statement);
}

/* Guards against the load of a proxy or of another endpoint at the address. */
TEST(Platform, ReadsTheLoadOnlyFromTheEndpointItself)
{
	EXPECT_EQ(LOAD_UNSTATED, read_load({"3,1,24"}, "Via").statement);
	EXPECT_EQ(LOAD_UNSTATED,
		  read_load({"3,1,24"}, "X-Siskinlink-Not-Executed", 421)
			  .statement);
	EXPECT_EQ(LOAD_STATED, read_load({"3,1,24"}, stamp, 500).statement);
}
