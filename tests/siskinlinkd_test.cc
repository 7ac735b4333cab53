#include "tests/loopback.h"

#include <glib-unix.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>

/* siskinlinkd in a child process, which the destructor kills. */
class Daemon
{
      public:
	explicit Daemon(const std::vector<std::string> &arguments,
			GSpawnChildSetupFunc setup = nullptr)
	{
		const char *folder = getenv("SISKINLINK_BIN");
		std::string program =
			std::string(folder ? folder : "build/bin") +
			"/siskinlinkd";
		std::vector<char *> args = {(char *)program.c_str()};
		GError *failure = nullptr;

		for (const std::string &argument : arguments)
			args.push_back((char *)argument.c_str());
		args.push_back(nullptr);
		g_spawn_async_with_pipes(nullptr, args.data(), nullptr,
					 G_SPAWN_DO_NOT_REAP_CHILD, setup,
					 nullptr, &pid, nullptr, &out_fd,
					 &err_fd, &failure);
		EXPECT_EQ(nullptr, failure);
		if (failure) {
			ended = true;
			g_error_free(failure);
			return;
		}
		g_unix_set_fd_nonblocking(out_fd, TRUE, nullptr);
		g_unix_set_fd_nonblocking(err_fd, TRUE, nullptr);
	}

	~Daemon()
	{
		signal(SIGKILL);
		if (!ended)
			waitpid(pid, &status, 0);
		close(out_fd);
		close(err_fd);
	}

	/* Sends a signal to a program that was started and has not ended: to
	 * pid 0 it would go to the whole process group of the tests. */
	void signal(int number)
	{
		if (!ended && pid > 0)
			kill(pid, number);
	}

	void read()
	{
		take(out_fd, out);
		take(err_fd, err);
		if (!ended && waitpid(pid, &status, WNOHANG) == pid) {
			ended = true;
			take(out_fd, out);
			take(err_fd, err);
		}
	}

	bool wait_for(const std::string &text, const std::string &part)
	{
		return run_until([&] {
			read();
			return text.find(part) != std::string::npos;
		});
	}

	int wait_end()
	{
		EXPECT_TRUE(run_until([&] {
			read();
			return ended;
		}));
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

	static void take(int fd, std::string &text)
	{
		char buffer[4096];
		ssize_t got;

		while ((got = ::read(fd, buffer, sizeof(buffer))) > 0)
			text.append(buffer, (size_t)got);
	}

	GPid pid = 0;
	int out_fd = -1, err_fd = -1;
	int status = 0;
	bool ended = false;
	std::string out, err;
};

class Siskinlinkd : public testing::Test
{
      protected:
	void SetUp() override
	{
		char *name = nullptr;
		int fd = g_file_open_tmp("siskinlinkd-XXXXXX.toml", &name,
					 nullptr);

		ASSERT_GE(fd, 0);
		close(fd);
		file = name;
		g_free(name);
		http = free_address();
	}

	void TearDown() override
	{
		unlink(file.c_str());
	}

	void write(const std::string &more)
	{
		std::string text = "[node]\nname = \"n1\"\nregion = \"r\"\n"
				   "failure_domain = \"d\"\nhttp_address = \"" +
				   http + "\"\npeer_address = \"" +
				   free_address() +
				   "\"\n[keys]\nevent_key = \"0123456789abcdef"
				   "\"\n[platform]\nkv_address = \"" +
				   free_address() + "\"\n" + more;

		ASSERT_TRUE(g_file_set_contents(file.c_str(), text.data(),
						(gssize)text.size(), nullptr));
	}

	std::string file, http;
};

TEST_F(Siskinlinkd, NamesWhatIsWrongWithItsUse)
{
	const struct {
		std::vector<std::string> arguments;
		int status;
		const char *text;
	} uses[] = {
		{{}, 2, "--config FILE is needed"},
		{{"--colour"}, 2, "--colour"},
		{{"--config", "a", "b"}, 2, "unexpected argument: b"},
		{{"--config", "/nonexistent"}, 2, "/nonexistent"},
		{{"--version"}, 0, "siskinlinkd 0.1.0\n"},
		{{"--help"}, 0, "--check-config"},
		{{"--help-settings"}, 0, "stream_buffer_bytes"},
	};

	for (const auto &use : uses) {
		Daemon daemon(use.arguments);

		EXPECT_EQ(use.status, daemon.wait_end());
		EXPECT_NE(std::string::npos,
			  (daemon.out + daemon.err).find(use.text))
			<< daemon.out << daemon.err;
		EXPECT_EQ(use.status == 0, daemon.err.empty());
	}
}

static void allow_few_files(gpointer)
{
	struct rlimit few = {512, 512};

	setrlimit(RLIMIT_NOFILE, &few);
}

TEST_F(Siskinlinkd, ChecksItsSettingsAndStartsNothing)
{
	write("");
	Daemon good({"--config", file, "--check-config"});
	EXPECT_EQ(0, good.wait_end());
	EXPECT_EQ("", good.out + good.err);
	write("[limits]\nmax_connection = 5\n");
	Daemon bad({"--config", file});
	EXPECT_EQ(2, bad.wait_end());
	EXPECT_EQ("", bad.out);
	EXPECT_NE(std::string::npos, bad.err.find("max_connection"));
	EXPECT_NE(std::string::npos, bad.err.find(file));
	EXPECT_EQ(bad.err.size() - 1, bad.err.find('\n'));
	write("");
	Daemon hungry({"--config", file}, allow_few_files);
	EXPECT_EQ(1, hungry.wait_end());
	EXPECT_NE(std::string::npos, hungry.err.find("open files"));
}

TEST_F(Siskinlinkd, SaysThatItsAddressIsTaken)
{
	Listener taken;

	http = taken.address();
	write("");
	Daemon daemon({"--config", file});
	EXPECT_EQ(1, daemon.wait_end());
	EXPECT_NE(std::string::npos,
		  daemon.err.find("http.listen: " + http + ": "))
		<< daemon.err;
}

/*
 * The platform is down when the node starts. The node serves requests that need
 * no configuration, dumps its state on SIGUSR1, and exits with status 0 once it
 * has drained after SIGTERM.
 */
TEST_F(Siskinlinkd, RunsTellsItsStateAndDrains)
{
	write("[times]\nanswer_keep_s = 1\n");
	Daemon daemon({"--config", file});
	ASSERT_TRUE(daemon.wait_for(daemon.out, "listening " + http + "\n"))
		<< daemon.err;
	ASSERT_TRUE(daemon.wait_for(daemon.out, "event=start"));
	std::unique_ptr<Connection> c(Connection::open(http));
	c->send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
	EXPECT_TRUE(c->wait_for("siskinlink_calls_total 0"));
	daemon.signal(SIGUSR1);
	EXPECT_TRUE(daemon.wait_for(daemon.err, "\"config_revision\":0"));
	daemon.signal(SIGTERM);
	EXPECT_EQ(0, daemon.wait_end());
	EXPECT_NE(std::string::npos, daemon.out.find("event=stop"));
}

/*
 * Guards against a drain that ends at once when its signal comes again: callers
 * may still use the node for answer_keep_s.
 */
TEST_F(Siskinlinkd, DrainsThoughItsSignalComesAgain)
{
	write("[times]\nanswer_keep_s = 2\n");
	Daemon daemon({"--config", file});
	int64_t drained_us;

	ASSERT_TRUE(daemon.wait_for(daemon.out, "event=start")) << daemon.err;
	daemon.signal(SIGTERM);
	ASSERT_TRUE(daemon.wait_for(daemon.out, "event=drain "));
	drained_us = g_get_monotonic_time();
	for (int number : {SIGTERM, SIGINT, SIGTERM, SIGHUP}) {
		std::unique_ptr<Connection> c(Connection::open(http));

		daemon.signal(number);
		c->send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
		EXPECT_TRUE(c->wait_for("siskinlink_calls_total 0"));
	}
	ASSERT_TRUE(daemon.wait_for(daemon.out, "event=drain_goes_on"));
	EXPECT_EQ(0, daemon.wait_end());
	EXPECT_GE(g_get_monotonic_time() - drained_us, 2 * G_USEC_PER_SEC);
}

/*
 * Guards against signals whose default action ends the process while it starts:
 * its settings come through a pipe, so that it waits for them.
 */
TEST_F(Siskinlinkd, TakesSignalsThatComeWhileItStarts)
{
	std::string pipe = file + ".pipe", text;
	char *contents = nullptr;

	write("[times]\nanswer_keep_s = 1\n");
	ASSERT_TRUE(
		g_file_get_contents(file.c_str(), &contents, nullptr, nullptr));
	text = contents;
	g_free(contents);
	ASSERT_EQ(0, mkfifo(pipe.c_str(), 0600));
	Daemon daemon({"--config", pipe});
	int fd = open(pipe.c_str(), O_WRONLY);

	ASSERT_GE(fd, 0);
	ASSERT_EQ(0, rename(file.c_str(), pipe.c_str()));
	for (int number : {SIGHUP, SIGUSR1, SIGHUP})
		daemon.signal(number);
	ASSERT_EQ((ssize_t)text.size(), ::write(fd, text.data(), text.size()));
	close(fd);
	EXPECT_TRUE(daemon.wait_for(daemon.out, "event=reload"));
	daemon.signal(SIGTERM);
	EXPECT_EQ(0, daemon.wait_end()) << daemon.err;
	unlink(pipe.c_str());
}

/* Guards against a process that ends by a fault without a word in its log. */
TEST_F(Siskinlinkd, TellsOfItsFault)
{
	write("");
	Daemon daemon({"--config", file});

	ASSERT_TRUE(daemon.wait_for(daemon.out, "event=start")) << daemon.err;
	daemon.signal(SIGABRT);
	EXPECT_EQ(-1, daemon.wait_end());
	EXPECT_NE(std::string::npos,
		  daemon.out.find(
			  "level=error node=n1 event=crash signal=SIGABRT\n"));
}
