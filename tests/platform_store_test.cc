#include "fakes/platform_store_state.h"
#include "tests/soak/soak_proxy.h"
#include "tests/store_fixture.h"

#include <memory>

namespace
{

/* Tests the faults of the fake store as callers at its socket see them. */
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

	static std::unique_ptr<Connection>
	open_call(const std::string &address, const std::string &line,
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

	/* Returns the complete answer, read until the connection closes. */
	static std::string fetch(const std::string &address,
				 const std::string &line,
				 const std::string &body = "")
	{
		std::unique_ptr<Connection> connection =
			open_call(address, line, body);

		EXPECT_TRUE(connection->wait_closed());
		return connection->input;
	}

	std::string get(const std::string &query) const
	{
		return fetch(address(), "GET /v1/kv-key?" + query);
	}
};

bool contains(const std::string &text, const std::string &fragment)
{
	return text.find(fragment) != std::string::npos;
}

/* Two callers with different addresses: the store refuses one of them. */
class RefusingStore : public PlatformStore,
		      public testing::WithParamInterface<const char *>
{
      protected:
	struct soak_proxy *refused_proxy = nullptr;
	struct soak_proxy *served_proxy = nullptr;

	void SetUp() override
	{
		struct error error = {};

		PlatformStore::SetUp();
		refused_proxy = soak_proxy_create(address().c_str(), &error);
		served_proxy = soak_proxy_create(address().c_str(), &error);
		ASSERT_TRUE(refused_proxy && served_proxy) << error.detail;
	}

	void TearDown() override
	{
		soak_proxy_destroy(refused_proxy);
		soak_proxy_destroy(served_proxy);
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

TEST_P(RefusingStore, ServesOtherCallers)
{
	const std::string line = "GET /v1/kv-key?key=servers/a";
	std::unique_ptr<Connection> watch = open_call(
		soak_proxy_address(refused_proxy),
		"GET /v1/kv-watch?path_prefix=x&after=1&wait_ms=30000");
	std::unique_ptr<Connection> caller;

	run_idle();
	mode(std::string("{\"refused\":\"127.9.9.9,") +
	     soak_proxy_source(refused_proxy) + "\",\"refusal\":\"" +
	     GetParam() + "\"}");
	expect_refused(*watch);
	caller = open_call(soak_proxy_address(refused_proxy), line);
	expect_refused(*caller);
	EXPECT_TRUE(contains(fetch(soak_proxy_address(served_proxy), line),
			     "servers/a"));
	mode("{\"slow_ms\": 1}");
	caller = open_call(soak_proxy_address(refused_proxy), line);
	expect_refused(*caller);
	mode("{\"slow_ms\": 0, \"refused\": \"\"}");
	EXPECT_TRUE(contains(fetch(soak_proxy_address(refused_proxy), line),
			     "servers/a"));
}

INSTANTIATE_TEST_SUITE_P(Refusals, RefusingStore,
			 testing::Values("503", "429", "reset", "none"));

/* Calls are handled after slow_ms; a delayed watch still waits for changes. */
TEST_F(PlatformStore, DelaysCalls)
{
	std::unique_ptr<Connection> watch;
	std::unique_ptr<Connection> caller;
	int64_t sent_us;

	mode("{\"slow_ms\": 40}");
	sent_us = g_get_monotonic_time();
	EXPECT_TRUE(contains(get("key=servers/a"), "servers/a"));
	EXPECT_GE(g_get_monotonic_time() - sent_us, 40 * 1000);
	watch = open_call(
		address(),
		"GET /v1/kv-watch?path_prefix=x&after=1&wait_ms=30000");
	EXPECT_TRUE(contains(get("key=servers/a"), "servers/a"));
	watch->read();
	EXPECT_EQ("", watch->input);
	platform_store_put(store, "x", "changed");
	EXPECT_TRUE(watch->wait_for("\"key\":\"x\""));
	mode("{\"slow_ms\": 600000}");
	caller = open_call(address(), "GET /v1/kv-key?key=servers/a");
	run_idle();
	caller->read();
	EXPECT_EQ("", caller->input);
}

TEST_F(PlatformStore, LosesLeasesAndEntriesWhileItIsDown)
{
	std::string answer =
		fetch(address(), "POST /v1/kv-lease", "{\"ttl_ms\": 600000}");

	EXPECT_TRUE(contains(answer, "\"lease\":1")) << answer;
	fetch(address(), "POST /v1/kv-txn",
	      "{\"writes\":[{\"key\":\"mine\",\"value\":\"\",\"lease\":1}]}");
	platform_store_put(store, "op/config", "stays");
	EXPECT_TRUE(contains(get("key=mine"), "\"lease\":1"));
	mode("{\"down\": true, \"lapse\": true}");
	mode("{\"down\": false}");
	EXPECT_EQ(0u, get("key=mine").find("HTTP/1.1 404"));
	EXPECT_EQ(0u, get("key=servers/a").find("HTTP/1.1 404"));
	EXPECT_TRUE(contains(get("key=op/config"), "op/config"));
	answer = fetch(address(), "POST /v1/kv-keep/1");
	EXPECT_EQ(0u, answer.find("HTTP/1.1 404")) << answer;
}

/* The shortest lease is 1 s; without "pause" its key would be gone by 1.1 s. */
TEST_F(PlatformStore, KeepsLeasesWhileItIsDown)
{
	int64_t granted_us;

	fetch(address(), "POST /v1/kv-lease", "{\"ttl_ms\": 1000}");
	mode("{\"pause\": true}");
	fetch(address(), "POST /v1/kv-txn",
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

/* Only reads with allow_stale get the data as of stale_ms ago. */
TEST_F(PlatformStore, AnswersStaleReadsWithOldData)
{
	const std::string range = "GET /v1/kv-range?path_prefix=servers/";
	std::string stale;

	mode("{\"stale_ms\": 600000}");
	EXPECT_TRUE(contains(get("key=servers/a"), "\"as_of\":1"));
	EXPECT_EQ(0u, get("key=servers/a&allow_stale=1").find("HTTP/1.1 404"));
	EXPECT_TRUE(contains(fetch(address(), range), "servers/a"));
	stale = fetch(address(), range + "&allow_stale=1");
	EXPECT_TRUE(contains(stale, "\"items\":[],\"as_of\":0")) << stale;
	mode("{\"stale_ms\": 1}");
	EXPECT_TRUE(run_until([&] {
		return contains(get("key=servers/a&allow_stale=1"),
				"\"as_of\":1");
	}));
}

} // namespace
