#include "tests/loopback.h"

#include <glib/gstdio.h>

#include <cstdlib>
#include <cstring>
#include <memory>

namespace
{

/* A stand-in for an engine in a process of its own, with a journal. */
class Backend
{
      public:
	std::string address;
	std::string journal;

	Backend(const std::string &folder, const std::string &id,
		const char *kind = nullptr)
	    : journal(folder + "/" + id + ".journal")
	{
		const char *bin = getenv("SISKINLINK_BIN");
		std::string program =
			std::string(bin ? bin : "build/bin") + "/fake_backend";
		GDataInputStream *out;
		char *line;

		process = g_subprocess_new(
			(GSubprocessFlags)(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
					   G_SUBPROCESS_FLAGS_STDERR_SILENCE),
			nullptr, program.c_str(), "--id", id.c_str(),
			"--journal", journal.c_str(), kind, nullptr);
		out = g_data_input_stream_new(
			g_subprocess_get_stdout_pipe(process));
		line = g_data_input_stream_read_line(out, nullptr, nullptr,
						     nullptr);
		EXPECT_NE(nullptr, line);
		address = line ? line + strlen("listening ") : "";
		g_free(line);
		g_object_unref(out);
	}

	~Backend()
	{
		kill_it();
		g_object_unref(process);
	}

	void kill_it()
	{
		g_subprocess_force_exit(process);
		g_subprocess_wait(process, nullptr, nullptr);
	}

	int wait_end()
	{
		g_subprocess_wait(process, nullptr, nullptr);
		return g_subprocess_get_if_exited(process)
			       ? g_subprocess_get_exit_status(process)
			       : -1;
	}

	/* Sends a request and leaves its answer to the caller. */
	std::unique_ptr<Connection> send(const std::string &line,
					 const std::string &fields = "",
					 const std::string &body = "") const
	{
		std::unique_ptr<Connection> connection(
			Connection::open(address));

		connection->send(line + " HTTP/1.1\r\nHost: h\r\n" + fields +
				 "Connection: close\r\nContent-Length: " +
				 std::to_string(body.size()) + "\r\n\r\n" +
				 body);
		return connection;
	}

	/* A request with an id. */
	std::unique_ptr<Connection> ask(const std::string &id,
					const std::string &fields = "",
					const std::string &body = "") const
	{
		return send("POST /a",
			    "X-Siskinlink-Request-Id: " + id + "\r\n" + fields,
			    body);
	}

	/* The whole answer, up to the connection's end. */
	static std::string whole(std::unique_ptr<Connection> connection)
	{
		EXPECT_TRUE(connection->wait_closed());
		return connection->input;
	}

	void mode(const std::string &json) const
	{
		std::string answer = whole(send("POST /fake/mode", "", json));

		EXPECT_EQ(0u, answer.find("HTTP/1.1 200")) << answer;
	}

	/* Event, request and whether it is from a copy, a line each. */
	std::string events() const
	{
		g_autofree char *text = nullptr;
		g_auto(GStrv) lines = nullptr;
		std::string events;

		g_file_get_contents(journal.c_str(), &text, nullptr, nullptr);
		lines = g_strsplit(text ? text : "", "\n", -1);
		for (char **line = lines; *line && **line; line++) {
			g_auto(GStrv) words = g_strsplit(*line, " ", -1);

			EXPECT_EQ(5u, g_strv_length(words)) << *line;
			EXPECT_GT(g_ascii_strtoll(words[0], nullptr, 10), 0);
			events += std::string(words[1]) + " " + words[2] + " " +
				  words[4] + "\n";
		}
		return events;
	}

	bool wait_events(const std::string &expected) const
	{
		return run_until([&] { return events() == expected; });
	}

      private:
	GSubprocess *process;
};

class FakeBackend : public testing::Test
{
      protected:
	std::string folder;

	void SetUp() override
	{
		g_autofree char *made =
			g_dir_make_tmp("siskinlink.XXXXXX", nullptr);

		ASSERT_NE(nullptr, made);
		folder = made;
	}

	void TearDown() override
	{
		GDir *dir = g_dir_open(folder.c_str(), 0, nullptr);
		const char *name;

		while ((name = g_dir_read_name(dir)))
			g_unlink((folder + "/" + name).c_str());
		g_dir_close(dir);
		g_rmdir(folder.c_str());
	}
};

bool has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

/* Whether an engine's state has the field at the value. */
bool state_is(const Backend &backend, const std::string &field)
{
	return has(Backend::whole(backend.send("GET /fake/state")), field);
}

TEST_F(FakeBackend, KeepsItsJournalWhenItIsKilled)
{
	Backend plain(folder, "i-1", "--plain");
	std::unique_ptr<Connection> caller;

	EXPECT_TRUE(has(Backend::whole(plain.ask("r-1")), "i-1 r-1 /a"));
	plain.mode("{\"answer_delay_ms\": 600000}");
	caller = plain.ask("r-2");
	EXPECT_TRUE(plain.wait_events("arrival r-1 0\nrun r-1 0\nend r-1 0\n"
				      "arrival r-2 0\nrun r-2 0\n"));
	plain.kill_it();
	EXPECT_EQ("arrival r-1 0\nrun r-1 0\nend r-1 0\n"
		  "arrival r-2 0\nrun r-2 0\n",
		  plain.events());
}

TEST_F(FakeBackend, HearsOfACallerThatLeavesBeforeTheAnswer)
{
	Backend plain(folder, "i-1", "--plain");
	std::unique_ptr<Connection> caller;

	plain.mode("{\"answer_delay_ms\": 600000}");
	caller = plain.ask("r-1");
	EXPECT_TRUE(plain.wait_events("arrival r-1 0\nrun r-1 0\n"));
	caller->close();
	EXPECT_TRUE(
		plain.wait_events("arrival r-1 0\nrun r-1 0\nleft r-1 0\n"));
}

TEST_F(FakeBackend, CrashesInTheMiddleOfARun)
{
	Backend engine(folder, "i-1");
	std::string answer;

	engine.mode("{\"pace_ms\": 2, \"crash_after\": 3}");
	answer = Backend::whole(engine.ask("r-1"));
	EXPECT_TRUE(has(answer, "r-1.2")) << answer;
	EXPECT_FALSE(has(answer, "r-1.3")) << answer;
	EXPECT_EQ(3, engine.wait_end());
	EXPECT_EQ("arrival r-1 0\nrun r-1 0\n", engine.events());
}

TEST_F(FakeBackend, CrashesBetweenTheRunAndItsAnswer)
{
	Backend plain(folder, "i-1", "--plain");

	plain.mode("{\"crash_before_answer\": true}");
	EXPECT_EQ("", Backend::whole(plain.ask("r-1")));
	EXPECT_EQ(3, plain.wait_end());
	EXPECT_EQ("arrival r-1 0\nrun r-1 0\nend r-1 0\n", plain.events());
}

TEST_F(FakeBackend, CrashesOnARequestThatCrashesEngines)
{
	Backend engine(folder, "i-1");

	EXPECT_EQ("", Backend::whole(
			      engine.ask("r-1", "", "text [[poison]] text")));
	EXPECT_EQ(3, engine.wait_end());
	EXPECT_EQ("arrival r-1 0\nrun r-1 0\n", engine.events());
}

TEST_F(FakeBackend, ShedsWithoutTheWordThatItDidNotRun)
{
	Backend plain(folder, "i-1", "--plain");
	std::string answer;

	plain.mode("{\"shed_silently\": true}");
	answer = Backend::whole(plain.ask("r-1"));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 503")) << answer;
	EXPECT_FALSE(has(answer, "Not-Executed")) << answer;
	EXPECT_EQ("arrival r-1 0\nrefusal r-1 0\n", plain.events());
}

/* A request that fails at one engine fails at another one as well. */
TEST_F(FakeBackend, FailsAShareOfTheRequests)
{
	Backend one(folder, "i-1", "--plain");
	Backend other(folder, "i-2", "--plain");
	int failed = 0;

	one.mode("{\"error_percent\": 50}");
	other.mode("{\"error_percent\": 50}");
	for (int i = 0; i < 40; i++) {
		std::string id = "r-" + std::to_string(i);
		std::string answer = Backend::whole(one.ask(id));

		failed += answer.find("HTTP/1.1 500") == 0;
		EXPECT_EQ(answer.substr(0, 12),
			  Backend::whole(other.ask(id)).substr(0, 12));
	}
	EXPECT_GT(failed, 0);
	EXPECT_LT(failed, 40);
}

TEST_F(FakeBackend, TakesRequestsInAndAnswersNone)
{
	Backend plain(folder, "i-1", "--plain");
	std::unique_ptr<Connection> caller;

	plain.mode("{\"mute\": true}");
	caller = plain.ask("r-1");
	EXPECT_TRUE(plain.wait_events("arrival r-1 0\n"));
	run_idle();
	caller->read();
	EXPECT_EQ("", caller->input);
	EXPECT_FALSE(caller->closed);
}

/*
 * The run's memory is copied while it grows. The other engine goes on from the
 * copy once; before it came, and a second time, it has none and runs nothing.
 */
TEST_F(FakeBackend, GoesOnFromACopyThatItWasSent)
{
	Backend one(folder, "i-1");
	Backend other(folder, "i-2");
	const std::string from =
		"Last-Event-Id: 1\r\nKv-From: " + other.address + "/r-1\r\n";
	std::unique_ptr<Connection> caller;
	std::string answer;

	one.mode("{\"real_copies\": true, \"events\": 100000}");
	other.mode("{\"real_copies\": true, \"events\": 4, \"pace_ms\": 2}");
	answer = Backend::whole(other.ask("r-1", from));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 503")) << answer;
	EXPECT_TRUE(has(answer, "X-Siskinlink-Not-Executed")) << answer;
	caller = one.ask("r-1",
			 "X-Siskinlink-Kv-Backup: " + other.address + "\r\n");
	EXPECT_TRUE(caller->wait_for("r-1.1\""));
	EXPECT_TRUE(run_until([&] { return state_is(other, "\"copies\":1"); }));
	one.kill_it();
	answer = Backend::whole(other.ask("r-1", from));
	EXPECT_FALSE(has(answer, "r-1.1\"")) << answer;
	EXPECT_TRUE(has(answer, "r-1.2\"") && has(answer, "r-1.3\"")) << answer;
	answer = Backend::whole(other.ask("r-1", from));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 503")) << answer;
	EXPECT_EQ("arrival r-1 1\nrefusal r-1 1\n"
		  "arrival r-1 1\ngo_on r-1 1\nend r-1 1\n"
		  "arrival r-1 1\nrefusal r-1 1\n",
		  other.events());
}

TEST_F(FakeBackend, DropsTheCopyOfARunThatHasEnded)
{
	Backend one(folder, "i-1");
	Backend other(folder, "i-2");
	std::unique_ptr<Connection> caller;

	one.mode("{\"real_copies\": true, \"events\": 100000}");
	caller = one.ask("r-1",
			 "X-Siskinlink-Kv-Backup: " + other.address + "\r\n");
	EXPECT_TRUE(run_until([&] { return state_is(other, "\"copies\":1"); }));
	one.mode("{\"events\": 1}");
	EXPECT_TRUE(caller->wait_closed());
	EXPECT_TRUE(run_until([&] { return state_is(other, "\"copies\":0"); }));
}

TEST_F(FakeBackend, MovesARunThatItHas)
{
	Backend one(folder, "i-1");
	Backend other(folder, "i-2");
	const std::string target = "\",\"target\":\"" + other.address + "\"}";
	std::unique_ptr<Connection> caller;
	std::string answer;

	one.mode("{\"real_copies\": true, \"events\": 100000}");
	other.mode("{\"real_copies\": true, \"events\": 1, \"pace_ms\": 2}");
	answer = Backend::whole(
		one.send("POST /v1/kv-move", "", "{\"id\":\"r-1" + target));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 404")) << answer;
	caller = one.ask("r-1");
	EXPECT_TRUE(caller->wait_for("r-1.1\""));
	answer = Backend::whole(
		one.send("POST /v1/kv-move", "", "{\"id\":\"r-1" + target));
	EXPECT_TRUE(has(answer, "\"handle\":\"i-1-h2\"")) << answer;
	answer = Backend::whole(
		other.ask("r-2", "Kv-From: " + one.address + "/i-1-h2\r\n"));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 503")) << answer;
	answer = Backend::whole(
		other.ask("r-1", "Kv-From: " + one.address + "/i-1-h2\r\n"));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 200")) << answer;
	other.kill_it();
	answer = Backend::whole(
		one.send("POST /v1/kv-move", "", "{\"id\":\"r-1" + target));
	EXPECT_EQ(0u, answer.find("HTTP/1.1 503")) << answer;
}

TEST_F(FakeBackend, ReportsItsRunsAndWhenItLeaves)
{
	Backend engine(folder, "i-1");
	std::unique_ptr<Connection> caller;
	std::string report;

	engine.mode("{\"events\": 100000}");
	caller = engine.ask("r-1");
	EXPECT_TRUE(caller->wait_for("r-1.1\""));
	report = Backend::whole(engine.send("GET /v1/report"));
	EXPECT_TRUE(has(report, "\"state\":\"ready\"")) << report;
	EXPECT_TRUE(has(report, "\"running\":1")) << report;
	EXPECT_TRUE(has(report, "\"runs\":[[\"r-1\",")) << report;
	EXPECT_FALSE(has(report, "leaves_ms")) << report;
	engine.mode("{\"leave_ms\": 600000}");
	report = Backend::whole(engine.send("GET /v1/report"));
	EXPECT_TRUE(has(report, "\"state\":\"draining\"")) << report;
	EXPECT_TRUE(has(report, "\"leaves_ms\":")) << report;
}

TEST_F(FakeBackend, EndsWhenItHasLeft)
{
	Backend engine(folder, "i-1");
	std::unique_ptr<Connection> caller;

	engine.mode("{\"events\": 100000}");
	caller = engine.ask("r-1");
	EXPECT_TRUE(caller->wait_for("r-1.1\""));
	engine.mode("{\"leave_ms\": 20}");
	EXPECT_EQ(0, engine.wait_end());
	EXPECT_TRUE(caller->wait_closed());
}

} // namespace
