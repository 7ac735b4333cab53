#include "fakes/platform_store_state.h"
#include "tests/soak/soak_proxy.h"
#include "tests/store_fixture.h"

#include <memory>

namespace
{

/* The faults of the stand-in, as callers at its socket see them. */
class PlatformStore : public StoreFixture
{
      protected:
	void SetUp() override
	{
		StartStore();
		platform_store_put(store, "servers/a", "one");
	}

	void TearDown() override
	{
		StopStore();
	}

	std::string address() const
	{
		return fake_server_address(server);
	}

	static std::unique_ptr<Connection> call(const std::string &address,
						const std::string &line,
						const std::string &body = "")
	{
		std::unique_ptr<Connection> connection(
			Connection::open(address));

		connection->send(line +
				 " HTTP/1.1\r\nHost: h\r\n"
				 "Connection: close\r\nContent-Length: " +
				 std::to_string(body.size()) + "\r\n\r\n" +
				 body);
		return connection;
	}

	/* The whole answer, up to the connection's end. */
	static std::string ask(const std::string &address,
			       const std::string &line,
			       const std::string &body = "")
	{
		std::unique_ptr<Connection> connection =
			call(address, line, body);

		EXPECT_TRUE(connection->wait_closed());
		return connection->input;
	}

	std::string get(const std::string &query) const
	{
		return ask(address(), "GET /v1/kv-key?" + query);
	}
};

bool has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

/* Two machines call; the store turns the one away and serves the other. */
class RefusingStore : public PlatformStore,
		      public testing::WithParamInterface<const char *>
{
      protected:
	struct soak_proxy *turned_away = nullptr;
	struct soak_proxy *served = nullptr;

	void SetUp() override
	{
		struct error error = {};

		PlatformStore::SetUp();
		turned_away = soak_proxy_create(address().c_str(), &error);
		served = soak_proxy_create(address().c_str(), &error);
		ASSERT_TRUE(turned_away && served) << error.detail;
	}

	void TearDown() override
	{
		soak_proxy_destroy(turned_away);
		soak_proxy_destroy(served);
		PlatformStore::TearDown();
	}

	void expect_refused(Connection &caller)
	{
		std::string refusal = GetParam();

		if (refusal == "none") {
			run_idle();
			caller.read();
			EXPECT_EQ("", caller.input);
			EXPECT_FALSE(caller.closed);
			return;
		}
		EXPECT_TRUE(caller.wait_closed());
		EXPECT_EQ(refusal == "reset" ? "" : "HTTP/1.1 " + refusal,
			  caller.input.substr(0, 12));
	}
};

TEST_P(RefusingStore, ServesTheOthers)
{
	const std::string line = "GET /v1/kv-key?key=servers/a";
	std::unique_ptr<Connection> watch =
		call(soak_proxy_address(turned_away),
		     "GET /v1/kv-watch?path_prefix=x&after=1&wait_ms=30000");
	std::unique_ptr<Connection> caller;

	run_idle();
	mode(std::string("{\"refused\":\"127.9.9.9,") +
	     soak_proxy_source(turned_away) + "\",\"refusal\":\"" + GetParam() +
	     "\"}");
	expect_refused(*watch);
	caller = call(soak_proxy_address(turned_away), line);
	expect_refused(*caller);
	EXPECT_TRUE(has(ask(soak_proxy_address(served), line), "servers/a"));
	mode("{\"slow_ms\": 1}");
	caller = call(soak_proxy_address(turned_away), line);
	expect_refused(*caller);
	mode("{\"slow_ms\": 0, \"refused\": \"\"}");
	EXPECT_TRUE(
		has(ask(soak_proxy_address(turned_away), line), "servers/a"));
}

INSTANTIATE_TEST_SUITE_P(Refusals, RefusingStore,
			 testing::Values("503", "429", "reset", "none"));

/* A call that is late is dealt with late; one that waits, waits on. */
TEST_F(PlatformStore, IsSlow)
{
	std::unique_ptr<Connection> watch;
	std::unique_ptr<Connection> caller;
	int64_t asked_us;

	mode("{\"slow_ms\": 40}");
	asked_us = g_get_monotonic_time();
	EXPECT_TRUE(has(get("key=servers/a"), "servers/a"));
	EXPECT_GE(g_get_monotonic_time() - asked_us, 40 * 1000);
	watch = call(address(),
		     "GET /v1/kv-watch?path_prefix=x&after=1&wait_ms=30000");
	EXPECT_TRUE(has(get("key=servers/a"), "servers/a"));
	watch->read();
	EXPECT_EQ("", watch->input);
	platform_store_put(store, "x", "changed");
	EXPECT_TRUE(watch->wait_for("\"key\":\"x\""));
	mode("{\"slow_ms\": 600000}");
	caller = call(address(), "GET /v1/kv-key?key=servers/a");
	run_idle();
	caller->read();
	EXPECT_EQ("", caller->input);
}

TEST_F(PlatformStore, LosesLeasesAndEntriesWhileItIsDown)
{
	std::string answer =
		ask(address(), "POST /v1/kv-lease", "{\"ttl_ms\": 600000}");

	EXPECT_TRUE(has(answer, "\"lease\":1")) << answer;
	ask(address(), "POST /v1/kv-txn",
	    "{\"writes\":[{\"key\":\"mine\",\"value\":\"\",\"lease\":1}]}");
	platform_store_put(store, "op/config", "stays");
	EXPECT_TRUE(has(get("key=mine"), "\"lease\":1"));
	mode("{\"down\": true, \"lapse\": true}");
	mode("{\"down\": false}");
	EXPECT_EQ(0u, get("key=mine").find("HTTP/1.1 404"));
	EXPECT_EQ(0u, get("key=servers/a").find("HTTP/1.1 404"));
	EXPECT_TRUE(has(get("key=op/config"), "op/config"));
	answer = ask(address(), "POST /v1/kv-keep/1");
	EXPECT_EQ(0u, answer.find("HTTP/1.1 404")) << answer;
}

/* The shortest lease is a second; without the switch its key would be gone. */
TEST_F(PlatformStore, KeepsLeasesWhileItIsDown)
{
	int64_t granted_us;

	ask(address(), "POST /v1/kv-lease", "{\"ttl_ms\": 1000}");
	mode("{\"pause\": true}");
	ask(address(), "POST /v1/kv-txn",
	    "{\"writes\":[{\"key\":\"mine\",\"value\":\"\",\"lease\":1}]}");
	mode("{\"down\": true}");
	granted_us = g_get_monotonic_time();
	run_until([&] {
		return g_get_monotonic_time() - granted_us > 1100 * 1000;
	});
	EXPECT_NE(nullptr, platform_store_latest(store, "mine")->value);
	mode("{\"down\": false}");
	EXPECT_TRUE(run_until(
		[&] { return !platform_store_latest(store, "mine")->value; }));
}

/* Only reads that allow it are told what was so some time ago. */
TEST_F(PlatformStore, AnswersStaleReadsWithWhatWas)
{
	const std::string range = "GET /v1/kv-range?path_prefix=servers/";
	std::string stale;

	mode("{\"stale_ms\": 600000}");
	EXPECT_TRUE(has(get("key=servers/a"), "\"as_of\":1"));
	EXPECT_EQ(0u, get("key=servers/a&allow_stale=1").find("HTTP/1.1 404"));
	EXPECT_TRUE(has(ask(address(), range), "servers/a"));
	stale = ask(address(), range + "&allow_stale=1");
	EXPECT_TRUE(has(stale, "\"items\":[],\"as_of\":0")) << stale;
	mode("{\"stale_ms\": 1}");
	EXPECT_TRUE(run_until([&] {
		return has(get("key=servers/a&allow_stale=1"), "\"as_of\":1");
	}));
}

} // namespace
