#include "adapters/engine_event.h"
#include "adapters/load_text.h"
#include "adapters/sse_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

static bool collect(void *data, const struct sse_event *event)
{
	auto *events = static_cast<std::vector<std::string> *>(data);

	events->push_back(std::string(event->id) + "|" + event->type + "|" +
			  std::string(event->data, event->data_length));
	return events->size() < 5;
}

static std::vector<std::string> read_in_pieces(const std::string &text,
					       size_t piece, bool *ok)
{
	std::vector<std::string> events;
	struct sse_reader *reader = sse_reader_create(64, collect, &events);
	struct error error;

	*ok = true;
	for (size_t at = 0; at < text.size() && *ok; at += piece)
		*ok = sse_reader_feed(reader, text.data() + at,
				      std::min(piece, text.size() - at),
				      &error);
	sse_reader_destroy(reader);
	return events;
}

/* The network may split a stream anywhere; the events must be the same. */
TEST(SseReader, SplitsDoNotChangeEvents)
{
	const std::string text = ": comment\nid: a:1\ndata: one\n\n"
				 "data:two\r\ndata\r\ndata:  three\r\n\r\n"
				 "event: error\rdata: {}\r\r"
				 "other: x\nid: none\n\ndata: cut";
	const std::vector<std::string> expected = {
		"a:1|message|one", "|message|two\n\n three", "|error|{}"};

	for (size_t piece = 1; piece <= text.size(); piece++) {
		bool ok;

		EXPECT_EQ(expected, read_in_pieces(text, piece, &ok)) << piece;
		EXPECT_TRUE(ok);
	}
}

TEST(SseReader, BoundsLinesAndEvents)
{
	const std::string texts[] = {
		std::string(65, 'x'),
		"data: " + std::string(60, 'x'),
		"data: " + std::string(40, 'x') +
			"\ndata: " + std::string(40, 'x') + "\n",
		std::string("data: a\0b\n\n", 11),
	};

	for (const std::string &text : texts) {
		bool ok;

		EXPECT_EQ(0u, read_in_pieces(text, 7, &ok).size());
		EXPECT_FALSE(ok) << text;
	}
}

TEST(SseReader, StopsWhenCallbackReturnsFalse)
{
	std::string text;
	bool ok;

	for (int i = 0; i < 9; i++)
		text += "data: x\n\n";
	EXPECT_EQ(5u, read_in_pieces(text, text.size(), &ok).size());
	EXPECT_TRUE(ok);
}

static bool read_event(const char *id, const std::string &data,
		       struct engine_event *event)
{
	struct sse_event sse = {id, "message", data.c_str(), data.size()};
	struct error error;

	return engine_event_read(&sse, "g1", 10, event, &error);
}

TEST(EngineEvent, CountsTokensByTheId)
{
	struct engine_event event;

	ASSERT_TRUE(read_event("g1:7",
			       "{\"choices\":[{\"text\":\"a\"}],\"tokens\":3}",
			       &event));
	EXPECT_EQ(4, event.first_token);
	EXPECT_EQ(3, event.token_count);
	ASSERT_TRUE(read_event("", "{\"choices\":[{\"text\":\"a\"}]}", &event));
	EXPECT_EQ(10, event.first_token);
	EXPECT_EQ(1, event.token_count);
	ASSERT_TRUE(read_event("",
			       "{\"choices\":[{\"text\":\"\",\"finish_reason\":"
			       "\"stop\"}],\"usage\":{\"completion_tokens\":10}"
			       "}",
			       &event));
	EXPECT_EQ(0, event.token_count);
	EXPECT_EQ(10, event.total_tokens);
	EXPECT_STREQ("stop", event.finish_reason);
	ASSERT_TRUE(read_event("", "[DONE]", &event));
	EXPECT_TRUE(event.done);
}

TEST(EngineEvent, MarksAnotherGenerationsEvent)
{
	const std::string data = "{\"choices\":[{\"text\":\"a\"}]}";
	struct engine_event event;

	for (const char *id : {"g2:11", "g:11", "g11:11", ":11"}) {
		ASSERT_TRUE(read_event(id, data, &event));
		EXPECT_TRUE(event.other_generation) << id;
	}
}

TEST(EngineEvent, RejectsMalformedEvents)
{
	const std::string data = "{\"choices\":[{\"text\":\"a\"}]}";
	struct engine_event event;

	for (const char *id :
	     {"g1", "g1:", "g1:-1", "g1:0", "g1:x", "g1:99999999999999999999"})
		EXPECT_FALSE(read_event(id, data, &event)) << id;
	for (const std::string &text :
	     {std::string("no"), std::string("[]"),
	      std::string("{\"tokens\":-1}"), std::string("{\"tokens\":1e9}"),
	      std::string("{\"tokens\":\"1\"}"),
	      std::string("{\"usage\":{\"completion_tokens\":-5}}"),
	      std::string(100000, '[')})
		EXPECT_FALSE(read_event("g1:11", text, &event)) << text;
}

static bool parse(const std::string &text, struct load_report *report)
{
	struct error error;

	return load_text_parse(text.data(), text.size(), report, &error);
}

TEST(LoadText, ReadsAReport)
{
	struct load_report report;

	ASSERT_TRUE(parse("# HELP x y\nengine_requests_running{e=\"a b\"} 3\n"
			  "engine_tokens_used 1.5e3 1700000000\r\n"
			  "engine_leaving 1\nprocess_start_time -5\n",
			  &report));
	EXPECT_EQ(3, report.running);
	EXPECT_EQ(1500, report.tokens_used);
	EXPECT_TRUE(report.leaving);
	EXPECT_EQ(-1, report.waiting);
	EXPECT_EQ(-1, report.tokens_capacity);
	ASSERT_TRUE(parse("endpoint_requests_running 2", &report));
	EXPECT_EQ(2, report.running);
	EXPECT_FALSE(report.leaving);
}

TEST(LoadText, RejectsNegativeImplausibleMalformed)
{
	struct load_report report;

	for (const char *text :
	     {"", "other 1\n", "engine_requests_running -1",
	      "engine_requests_running NaN", "engine_requests_running +Inf",
	      "engine_tokens_used 1e300", "engine_tokens_used 12x",
	      "engine_tokens_used", "engine_tokens_used{a 1",
	      "<html>hello</html>"})
		EXPECT_FALSE(parse(text, &report)) << text;
	EXPECT_FALSE(parse(std::string(5000, 'x'), &report));
}
