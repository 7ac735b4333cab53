#include <gio/gio.h>
#include <gtest/gtest.h>
#include <libsoup/soup.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

/* Runs a fake engine as a separate process and ends it with the test. */
class FakeEngine : public testing::Test
{
      protected:
	void SetUp() override
	{
		const char *folder = getenv("SISKINLINK_BIN");
		std::string program =
			std::string(folder ? folder : "build/bin") +
			"/fake_engine";
		gsize size = 0;

		process = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE,
					   nullptr, program.c_str(), "--seed",
					   "5", nullptr);
		ASSERT_NE(nullptr, process);
		GDataInputStream *out = g_data_input_stream_new(
			g_subprocess_get_stdout_pipe(process));
		char *line = g_data_input_stream_read_line(out, &size, nullptr,
							   nullptr);
		ASSERT_NE(nullptr, line);
		address = std::string(line).substr(strlen("listening "));
		g_free(line);
		g_object_unref(out);
		session = soup_session_new();
	}

	void TearDown() override
	{
		g_subprocess_force_exit(process);
		g_subprocess_wait(process, nullptr, nullptr);
		g_object_unref(session);
		g_object_unref(process);
	}

	/* Returns the answer's body; status is 0 if the connection broke. */
	std::string Request(const char *method, const std::string &path,
			    const std::string &body = "",
			    const char *header = nullptr,
			    const char *value = "")
	{
		SoupMessage *message = soup_message_new(
			method, ("http://" + address + path).c_str());
		GBytes *bytes = g_bytes_new(body.data(), body.size());

		if (!body.empty())
			soup_message_set_request_body_from_bytes(
				message, "application/json", bytes);
		if (header)
			soup_message_headers_append(
				soup_message_get_request_headers(message),
				header, value);
		GBytes *answer = soup_session_send_and_read(session, message,
							    nullptr, nullptr);
		std::string text;
		status = answer ? soup_message_get_status(message) : 0;
		if (answer) {
			gsize size;
			auto *data = static_cast<const char *>(
				g_bytes_get_data(answer, &size));

			text.assign(data ? data : "", size);
			g_bytes_unref(answer);
		}
		g_bytes_unref(bytes);
		g_object_unref(message);
		return text;
	}

	/* Starts a stream, reads its first bytes and closes the connection. */
	void ReadFirstBytes(const std::string &body, const char *hold_ms)
	{
		SoupMessage *message = soup_message_new(
			"POST",
			("http://" + address + "/v1/completions").c_str());
		GBytes *bytes = g_bytes_new(body.data(), body.size());
		char buffer[64];

		soup_message_set_request_body_from_bytes(
			message, "application/json", bytes);
		soup_message_headers_append(
			soup_message_get_request_headers(message),
			"X-Resume-Hold-Ms", hold_ms);
		GInputStream *stream =
			soup_session_send(session, message, nullptr, nullptr);
		ASSERT_NE(nullptr, stream);
		EXPECT_LT(0, g_input_stream_read(stream, buffer, sizeof(buffer),
						 nullptr, nullptr));
		g_input_stream_close(stream, nullptr, nullptr);
		g_object_unref(stream);
		g_bytes_unref(bytes);
		g_object_unref(message);
	}

	GSubprocess *process = nullptr;
	SoupSession *session = nullptr;
	std::string address;
	guint status = 0;
};

} // namespace

TEST_F(FakeEngine, StreamsNumberedTokensAndEndsOnSigterm)
{
	std::string text = Request("POST", "/v1/completions",
				   R"({"prompt":"a [[tokens=3]]"})");

	EXPECT_EQ(200u, status);
	EXPECT_NE(std::string::npos, text.find("id: g1-5:3\n"));
	EXPECT_NE(std::string::npos, text.find("g1-5.2 "));
	EXPECT_EQ(std::string::npos, text.find("g1-5.3 "));
	EXPECT_NE(std::string::npos, text.find("data: [DONE]\n\n"));
	EXPECT_NE(std::string::npos,
		  Request("GET", "/metrics")
			  .find("engine_tokens_capacity 60000"));
	g_subprocess_send_signal(process, SIGTERM);
	g_subprocess_wait(process, nullptr, nullptr);
	EXPECT_TRUE(g_subprocess_get_successful(process));
}

/*
 * A reader disconnects after a few tokens. If it asked for a hold, the
 * generation continues, and a second reader receives the remaining tokens from
 * the offset it names. Otherwise the generation is cancelled and can no longer
 * be resumed.
 */
TEST_F(FakeEngine, ResumesWhatIsHeldAndCancelsWhatIsNot)
{
	ReadFirstBytes(R"({"prompt":"a [[tokens=40]]"})", "5000");
	std::string text = Request("GET", "/v1/generations/g1-5", "",
				   "Last-Event-ID", "g1-5:1");
	EXPECT_EQ(200u, status);
	EXPECT_EQ(std::string::npos, text.find("g1-5.0 "));
	EXPECT_NE(std::string::npos, text.find("g1-5.1 "));
	EXPECT_NE(std::string::npos, text.find("g1-5.39 "));
	EXPECT_NE(std::string::npos, text.find("[DONE]"));

	ReadFirstBytes(R"({"prompt":"b [[tokens=4000]]"})", "0");
	text.clear();
	for (int i = 0; i < 100 && text.find("cancelled") == text.npos; i++) {
		g_usleep(20000);
		text = Request("GET", "/fake/runs");
	}
	EXPECT_NE(std::string::npos, text.find("\"state\":\"cancelled\""));
	Request("GET", "/v1/generations/g2-5");
	EXPECT_EQ(404u, status);
}

TEST_F(FakeEngine, RefusesWithoutRunningAndDiesOfPoison)
{
	Request("POST", "/fake/mode", R"({"refuse":true,"crash_on":"poison"})");
	EXPECT_EQ(200u, status);
	Request("POST", "/v1/completions", R"({"prompt":"a"})");
	EXPECT_EQ(503u, status);
	EXPECT_EQ("[]", Request("GET", "/fake/runs"));
	Request("POST", "/fake/mode", R"({"no_such_switch":1})");
	EXPECT_EQ(400u, status);
	Request("POST", "/v1/completions", R"({"prompt":"a poison"})");
	EXPECT_EQ(0u, status);
	g_subprocess_wait(process, nullptr, nullptr);
	EXPECT_TRUE(g_subprocess_get_if_signaled(process));
}
