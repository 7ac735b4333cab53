#include "adapters/settings.h"
#include "adapters/toml_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <glib/gstdio.h>
#include <string>

static const char minimal[] = "[node]\n"
			      "name = \"n1\"\n"
			      "region = \"r1\"\n"
			      "failure_domain = \"d1\"\n"
			      "http_address = \"127.0.0.1:8080\"\n"
			      "peer_address = \"127.0.0.1:8090\"\n"
			      "[keys]\n"
			      "event_key = \"0123456789abcdef\"\n"
			      "[platform]\n"
			      "kv_address = \"127.0.0.1:2379\"\n";

static struct settings *load(const std::string &text, struct error *error)
{
	char *path = nullptr;
	int file = g_file_open_tmp("settings-XXXXXX.toml", &path, nullptr);

	g_close(file, nullptr);
	g_file_set_contents(path, text.data(), (gssize)text.size(), nullptr);
	error_clear(error);
	struct settings *settings = settings_load(path, error);
	g_unlink(path);
	g_free(path);
	return settings;
}

static std::string load_error(const std::string &text)
{
	struct error error;
	struct settings *settings = load(text, &error);

	EXPECT_EQ(nullptr, settings);
	settings_destroy(settings);
	EXPECT_STREQ("settings.load", error.step);
	EXPECT_NE('\0', error.peer[0]);
	EXPECT_EQ(nullptr, strchr(error.detail, '\n'));
	return error.detail;
}

static std::string minimal_with(const std::string &old_text,
				const std::string &new_text)
{
	std::string text = minimal;

	text.replace(text.find(old_text), old_text.size(), new_text);
	return text;
}

TEST(Settings, TakesDefaultsAndScalesUnits)
{
	struct error error;
	struct settings *settings = load(
		std::string(minimal) +
			"kv_timeout_ms = 250\n[times]\nanswer_keep_s = 7\n"
			"[policy]\nplacement = \"shares\"\nmax_attempts = 2\n",
		&error);

	ASSERT_NE(nullptr, settings) << error.detail;
	EXPECT_STREQ("n1", settings->node.name);
	EXPECT_EQ(250000, settings->node.kv_timeout_us);
	EXPECT_EQ(7000000, settings->node.answer_keep_us);
	EXPECT_EQ(NODE_PLACEMENT_SHARES, settings->node.placement);
	EXPECT_EQ(PLACEMENT_PEAK, settings->node.policy);
	EXPECT_EQ(2, settings->node.max_attempts);
	EXPECT_EQ(nullptr, settings->node.seeds[0]);
	EXPECT_STREQ("", settings->operator_key);
	EXPECT_STREQ("", settings->vm_list_address);
	EXPECT_STREQ("info", settings->log_level);
	settings_destroy(settings);
}

TEST(Settings, TakesTheExampleFile)
{
	struct error error;
	struct settings *settings =
		settings_load("config/siskinlinkd.example.toml", &error);

	ASSERT_NE(nullptr, settings) << error.detail;
	EXPECT_STREQ("127.0.0.1:8092", settings->node.seeds[2]);
	settings_destroy(settings);
}

TEST(Settings, NamesKeyAndExpectationOfWhatItRefuses)
{
	EXPECT_EQ("line 11: unknown key colour in [platform], expected one "
		  "that --help-settings lists",
		  load_error(std::string(minimal) + "colour = 1\n"));
	EXPECT_EQ("line 11: unknown section [extra], expected one of [node], "
		  "[keys], [platform], [gateway], [policy], [limits], "
		  "[times], [log]",
		  load_error(std::string(minimal) + "[extra]\n"));
	EXPECT_EQ("line 11: unknown section [times.deep], expected one of "
		  "[node], [keys], [platform], [gateway], [policy], "
		  "[limits], [times], [log]",
		  load_error(std::string(minimal) + "[times.deep]\na = 1\n"));
	EXPECT_EQ("line 12: [times] heartbeat_ms: wrong type, expected a "
		  "number from 50 to 60000",
		  load_error(std::string(minimal) +
			     "[times]\nheartbeat_ms = \"1s\"\n"));
	EXPECT_EQ(
		"line 12: [times] heartbeat_ms: out of range, expected a "
		"number from 50 to 60000",
		load_error(std::string(minimal) + "[times]\nheartbeat_ms=9\n"));
	EXPECT_EQ("[node] name: missing, expected 1 to 63 letters, digits, "
		  "'_', '.' or '-'",
		  load_error(minimal_with("name = \"n1\"\n", "")));
	EXPECT_EQ(
		"line 12: [log] level: unknown value, expected one of "
		"\"info\", \"warn\", \"error\"",
		load_error(std::string(minimal) + "[log]\nlevel = \"all\"\n"));
	EXPECT_EQ("line 5: [node] http_address: out of range, expected "
		  "IP:PORT with a port from 1 to 65535",
		  load_error(minimal_with("127.0.0.1:8080", "localhost:8080")));
}

static const char gateway_node[] = "[node]\n"
				   "name = \"n1\"\n"
				   "region = \"r1\"\n"
				   "failure_domain = \"d1\"\n"
				   "http_address = \"127.0.0.1:8080\"\n"
				   "peer_address = \"127.0.0.1:8090\"\n"
				   "[gateway]\n"
				   "address = \"127.0.0.1:8000\"\n"
				   "store_address = \"127.0.0.1:8742\"\n";

/* Loads the file of a gateway with one more line, and returns its settings. */
static struct gateway_settings load_gateway(const std::string &line)
{
	struct gateway_settings gateway = {};
	struct error error;
	struct settings *settings =
		load(std::string(gateway_node) + line + "\n", &error);

	EXPECT_NE(nullptr, settings) << line << ": " << error.detail;
	if (settings)
		gateway = settings->gateway;
	settings_destroy(settings);
	return gateway;
}

/* Guards against a process that ends at its start on a platform's fraction. */
TEST(Settings, TakesFractionsOfNumbers)
{
	struct error error;

	EXPECT_EQ(33, load_gateway("retry_extra = 33.157").retry_extra);
	EXPECT_EQ(33, load_gateway("retry_extra = 33.999999").retry_extra);
	EXPECT_EQ(0, load_gateway("retry_extra = 0.9").retry_extra);
	EXPECT_EQ(0, load_gateway("retry_extra = 0").retry_extra);
	EXPECT_EQ(630, load_gateway("retry_extra = 630").retry_extra);
	EXPECT_EQ(4900000,
		  load_gateway("retry_window_s = 4.9").retry_window_us);
	EXPECT_EQ(1000001,
		  load_gateway("retry_window_s = 1.000001").retry_window_us);
	EXPECT_EQ(8250000, load_gateway("drain_s = 8.25").drain_us);
	EXPECT_EQ(3600000000, load_gateway("drain_s = 3600.0").drain_us);
	EXPECT_EQ(13, load_gateway("retry_ratio = 0.13").retry_percent);
	EXPECT_EQ(19, load_gateway("retry_ratio = 0.199").retry_percent);
	EXPECT_EQ(150,
		  load_gateway("warmup_excess = 1.5").warmup_excess_percent);
	EXPECT_EQ(90,
		  load_gateway("warmup_excess = 0.9").warmup_excess_percent);
	EXPECT_EQ(5, load_gateway("warmup_slack = 5.0").warmup_slack);
	EXPECT_EQ(0, load_gateway("drain_s = 8").max_answer_bytes);
	EXPECT_EQ(0, load_gateway("max_answer_bytes = 0").max_answer_bytes);
	EXPECT_EQ(4097,
		  load_gateway("max_answer_bytes = 4097.5").max_answer_bytes);

	struct settings *settings =
		load(std::string(gateway_node) +
			     "[limits]\nmax_open_files = 4100.5\n"
			     "[policy]\nmax_attempts = 2.0\n",
		     &error);
	ASSERT_NE(nullptr, settings) << error.detail;
	EXPECT_EQ(4100, settings->max_open_files);
	EXPECT_EQ(2, settings->node.max_attempts);
	settings_destroy(settings);
}

TEST(Settings, RefusesNumbersOutsideTheirRange)
{
	static const char *const keys[] = {"retry_extra", "retry_ratio",
					   "retry_window_s", "drain_s",
					   "max_answer_bytes"};
	static const char *const values[] = {"-1",   "-0.001", "nan",
					     "inf",  "-inf",   "1e18",
					     "true", "[1]",    "\"1\""};

	for (const char *key : keys) {
		for (const char *value : values) {
			std::string text =
				load_error(std::string(gateway_node) + key +
					   " = " + value);
			std::string start =
				std::string("line 10: [gateway] ") + key + ": ";

			EXPECT_EQ(0u, text.find(start)) << text;
			EXPECT_NE(std::string::npos,
				  text.find("expected a number from "))
				<< text;
		}
		/* The TOML reader reports numbers beyond its range. */
		EXPECT_EQ(0u, load_error(std::string(gateway_node) + key +
					 " = 1e400")
				      .find("line 10: "));
	}
	EXPECT_EQ("line 10: [gateway] retry_window_s: out of range, expected "
		  "a number from 1 to 3600",
		  load_error(std::string(gateway_node) +
			     "retry_window_s = 0.999"));
}

TEST(Settings, ReadsTheRegionsOfFailureDomains)
{
	EXPECT_EQ("line 7: [node] domain_regions: not a pair, expected a list "
		  "of at most 1024 DOMAIN=REGION",
		  load_error(minimal_with("[keys]", "domain_regions = [\"a\"]\n"
						    "[keys]")));
	EXPECT_EQ("line 7: [node] domain_regions: not a pair, expected a list "
		  "of at most 1024 DOMAIN=REGION",
		  load_error(minimal_with("[keys]",
					  "domain_regions = [\"a=b=c\"]\n"
					  "[keys]")));
}

TEST(Settings, RefusesDuplicateAddresses)
{
	EXPECT_EQ("peer_address: duplicate address 127.0.0.1:8080, expected "
		  "one other than http_address",
		  load_error(minimal_with("127.0.0.1:8090", "127.0.0.1:8080")));
	EXPECT_EQ("kv_address: duplicate address 127.0.0.1:8090, expected one "
		  "other than peer_address",
		  load_error(minimal_with("127.0.0.1:2379", "127.0.0.1:8090")));
	EXPECT_EQ("line 7: [node] seeds: duplicate address, expected a list of "
		  "at most 64 IP:PORT",
		  load_error(minimal_with("[keys]",
					  "seeds = [\"[::1]:1\", \"[::1]:1\"]\n"
					  "[keys]")));
}

/*
 * The error for an invalid secret is logged and copied into tickets, so it must
 * name the key and never contain the value.
 */
TEST(Settings, NeverShowsASecret)
{
	std::string text =
		load_error(minimal_with("0123456789abcdef", "hunter2"));

	EXPECT_EQ("line 8: [keys] event_key: out of range, expected a string "
		  "of 16 to 256 bytes",
		  text);
}

TEST(Settings, RefusesWhatIsNotTomlOnOneLine)
{
	EXPECT_EQ(0u, load_error("[node\nname").find("line 1: not TOML"));
	EXPECT_EQ(0u, load_error(std::string(minimal) + "kv_address = 1\n")
			      .find("line 11: not TOML"));
	load_error(std::string("\0\xff\xfe", 3));
	EXPECT_EQ(0u, load_error(std::string(minimal) + "\xd1\xbf = 1\n")
			      .find("line 11: not TOML"));
	load_error(std::string(100000, '['));
	load_error(std::string(2 << 20, ' '));
	struct error error;
	EXPECT_EQ(nullptr, settings_load("/nonexistent.toml", &error));
	EXPECT_EQ(ERROR_UNREACHABLE, error.code);
}

TEST(TomlReader, TakesAnyLetterInStringsAndComments)
{
	struct error error;

	for (const char *text :
	     {"a = \"\xc3\xa9\" # \xc3\xa9\n", "a = '''\n\xc3\xa9''''\n",
	      "a = \"\\\"\xc3\xa9\"\n", "a = \"\"\"\\\n \xc3\xa9\"\"\"\n",
	      "\"\xc3\xa9\" = ''\n", "a = \"\"\"\\\"\xc3\xa9\"\"\"\"\"\n"}) {
		char *json = toml_reader_to_json(text, &error);

		EXPECT_NE(nullptr, json) << text << error.detail;
		g_free(json);
	}
	for (const char *text :
	     {"a = \"\"\xc3\xa9", "a = 'x' \xc3\xa9", "a = \"x\n\xc3\xa9\"",
	      "a = \"\"\"x\"\"\"\"\" \xc3\xa9\"\n"})
		EXPECT_EQ(nullptr, toml_reader_to_json(text, &error)) << text;
}

TEST(TomlReader, TurnsTomlIntoJson)
{
	struct error error;
	char *json = toml_reader_to_json(
		"[[services]]\nname = \"a\"\nslots = 3\n", &error);

	ASSERT_NE(nullptr, json);
	std::string text(json);
	g_free(json);
	text.erase(std::remove_if(text.begin(), text.end(), isspace),
		   text.end());
	EXPECT_EQ("{\"services\":[{\"name\":\"a\",\"slots\":3}]}", text);
	EXPECT_EQ(nullptr, toml_reader_to_json("= 3", &error));
	EXPECT_EQ(ERROR_INVALID, error.code);
}
