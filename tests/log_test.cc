#include "adapters/log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

static std::string format(const std::vector<std::string> &keys_and_values)
{
	GPtrArray *fields = g_ptr_array_new();

	for (const std::string &word : keys_and_values)
		g_ptr_array_add(fields, (gpointer)word.c_str());
	char *line = log_format("call_end", fields);
	std::string result(line);
	g_free(line);
	g_ptr_array_unref(fields);
	return result;
}

TEST(Log, WritesPlainValuesBare)
{
	EXPECT_EQ("event=call_end call=17 peer=127.0.0.1:9000",
		  format({"call", "17", "peer", "127.0.0.1:9000"}));
	EXPECT_EQ("event=call_end detail=\"\" last=\"\"",
		  format({"detail", "", "last"}));
}

/*
 * A caller sends an organisation name with a newline and a forged field. The
 * log must contain one line, with the forged text inside the quotes of its
 * value.
 */
TEST(Log, KeepsForgedLinesAndFieldsInsideTheirValue)
{
	EXPECT_EQ("event=call_end org=\"a\\nlevel=error event=x\" run=no",
		  format({"org", "a\nlevel=error event=x", "run", "no"}));
	EXPECT_EQ("event=call_end org=\"a\\\" run=\\\"yes\"",
		  format({"org", "a\" run=\"yes"}));
	EXPECT_EQ("event=call_end org=\"a\\\\\"", format({"org", "a\\"}));
	EXPECT_EQ("event=call_end org=\"\\x1b[2J\\x7f\\xc2\\x85\"",
		  format({"org", "\x1b[2J\x7f\xc2\x85"}));
	EXPECT_EQ("event=call_end a_b_c=1", format({"a b=c", "1"}));
}

TEST(Log, BoundsValuesAndLines)
{
	std::string line = format({"body", std::string(100000, '\n')});
	EXPECT_LT(line.size(), 1200u);
	EXPECT_NE(std::string::npos, line.find("...\""));

	std::vector<std::string> keys_and_values;
	for (int i = 0; i < 100; i++) {
		keys_and_values.push_back("key");
		keys_and_values.push_back(std::string(200, 'x'));
	}
	line = format(keys_and_values);
	EXPECT_LT(line.size(), 4200u);
	EXPECT_EQ(" cut=true", line.substr(line.size() - 9));
}

TEST(Log, WritesOneWholeLineOfItsLevel)
{
	struct log *log = log_create("n 1", LOG_LEVEL_WARN);
	struct error error;

	testing::internal::CaptureStdout();
	log_write(log, LOG_LEVEL_INFO, "quiet", "a", "1", NULL);
	error_set(&error, ERROR_TIMEOUT, "kv.txn", "127.0.0.1:2379",
		  "no answer %s", "%s%n");
	log_write_error(log, LOG_LEVEL_WARN, "kv_failed", &error);
	std::string text = testing::internal::GetCapturedStdout();
	log_destroy(log);

	EXPECT_EQ(0u, text.find("time="));
	EXPECT_EQ(text.size() - 1, text.find('\n'));
	EXPECT_NE(std::string::npos,
		  text.find("Z level=warn node=\"n 1\" event=kv_failed "
			    "error=timeout step=kv.txn peer=127.0.0.1:2379 "
			    "detail=\"no answer %s%n\"\n"));
}
