#include "tests/soak/soak_proxy.h"

#include "tests/loopback.h"

#include <memory>

/* A client and a target with a proxy between them; ports are free ones. */
class SoakProxy : public ::testing::Test
{
      protected:
	static constexpr int64_t SOON_US = 2000;
	Listener listener;
	struct soak_proxy *proxy = nullptr;
	std::unique_ptr<Connection> client;
	std::unique_ptr<Connection> target;

	void SetUp() override
	{
		struct error error = {};

		proxy = soak_proxy_create(listener.address().c_str(), &error);
		ASSERT_NE(nullptr, proxy) << error.detail;
	}

	void TearDown() override
	{
		soak_proxy_destroy(proxy);
	}

	void set(enum soak_link_kind kind, int64_t delay_us = 0)
	{
		struct soak_link link = {kind, delay_us};

		soak_proxy_set_link(proxy, &link);
	}

	void connect()
	{
		client.reset(Connection::open(soak_proxy_address(proxy)));
		target.reset(listener.accept());
	}

	/* Sends both ways, so that the proxy has connected to the target. */
	void exchange_ping()
	{
		client->send("ping");
		EXPECT_TRUE(target->wait_for("ping"));
		target->send("pong");
		EXPECT_TRUE(client->wait_for("pong"));
	}

	void expect_nothing(Connection &at, const std::string &before)
	{
		run_idle();
		at.read();
		EXPECT_EQ(before, at.input);
		EXPECT_FALSE(at.closed);
	}
};

TEST(SoakLink, FindsKindsByName)
{
	enum soak_link_kind kind;

	for (int i = 0; i < SOAK_LINK_KINDS; i++) {
		const char *name = soak_link_kind_name((enum soak_link_kind)i);

		ASSERT_TRUE(soak_link_kind_parse(name, &kind)) << name;
		EXPECT_EQ(i, kind);
	}
	EXPECT_FALSE(soak_link_kind_parse("broken", &kind));
}

TEST(SoakProxyCreate, RejectsAnInvalidTarget)
{
	struct error error = {};

	EXPECT_EQ(nullptr, soak_proxy_create("nowhere", &error));
	EXPECT_EQ(ERROR_INVALID, error.code);
}

TEST_F(SoakProxy, ForwardsBytesAndTheEndOfEachSide)
{
	connect();
	exchange_ping();
	g_socket_shutdown(client->socket, FALSE, TRUE, nullptr);
	EXPECT_TRUE(target->wait_closed());
	target->send("after");
	EXPECT_TRUE(client->wait_for("after"));
	target->close();
	EXPECT_TRUE(client->wait_closed());
}

/* A target can then refuse some of its clients and serve the others. */
TEST_F(SoakProxy, ConnectsFromItsOwnAddress)
{
	g_autoptr(GSocketAddress) from = nullptr;
	g_autofree char *text = nullptr;

	connect();
	from = g_socket_get_remote_address(target->socket, nullptr);
	text = g_inet_address_to_string(
		g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(from)));
	EXPECT_STREQ(soak_proxy_source(proxy), text);
	EXPECT_EQ(0u, std::string(text).find("127.1."));
}

TEST_F(SoakProxy, ForwardsMoreThanItsBuffer)
{
	const std::string bytes(1 << 20, 'x');

	connect();
	client->send(bytes + "end");
	EXPECT_TRUE(run_until([&] {
		client->read();
		target->read();
		return target->input.size() == bytes.size() + 3;
	}));
	EXPECT_EQ(bytes + "end", target->input);
}

TEST_F(SoakProxy, ForwardsAReset)
{
	connect();
	exchange_ping();
	target->reset();
	EXPECT_TRUE(client->wait_closed());
}

/*
 * The client closes while the target is still sending. The target sees the
 * close and continues, because it may still have to answer; the client's host
 * answers the next bytes with a reset, which must reach the target.
 */
TEST_F(SoakProxy, ForwardsAResetAfterAClose)
{
	connect();
	exchange_ping();
	client->close();
	EXPECT_TRUE(target->wait_closed());
	EXPECT_TRUE(run_until([&] {
		g_autoptr(GError) error = nullptr;

		g_socket_send(target->socket, "more", 4, nullptr, &error);
		return error && !g_error_matches(error, G_IO_ERROR,
						 G_IO_ERROR_WOULD_BLOCK);
	}));
}

/*
 * While the target process is gone, new connections are reset, as by a host
 * without a listener. After a restart at another address the target is
 * reached through the same proxy address.
 */
TEST_F(SoakProxy, FollowsATargetToANewAddress)
{
	Listener other;

	listener.close();
	client.reset(Connection::open(soak_proxy_address(proxy)));
	EXPECT_TRUE(client->wait_closed());
	soak_proxy_set_target(proxy, other.address().c_str());
	client.reset(Connection::open(soak_proxy_address(proxy)));
	target.reset(other.accept());
	exchange_ping();
}

TEST_F(SoakProxy, DelaysBytesAndKeepsTheirOrder)
{
	int64_t sent_us;

	connect();
	exchange_ping();
	set(SOAK_LINK_DELAY, 20 * SOON_US);
	sent_us = g_get_monotonic_time();
	client->send("slow.");
	run_until([&] { return g_get_monotonic_time() > sent_us + SOON_US; });
	set(SOAK_LINK_NORMAL);
	client->send("fast.");
	EXPECT_TRUE(target->wait_for("slow.fast."));
	EXPECT_GE(g_get_monotonic_time(), sent_us + 20 * SOON_US);
}

TEST_F(SoakProxy, ResetsOpenAndNewConnections)
{
	connect();
	exchange_ping();
	set(SOAK_LINK_RESET);
	EXPECT_TRUE(client->wait_closed());
	EXPECT_TRUE(target->wait_closed());
	client.reset(Connection::open(soak_proxy_address(proxy)));
	EXPECT_TRUE(client->wait_closed());
	set(SOAK_LINK_NORMAL);
	connect();
	exchange_ping();
}

/* Bytes and ends sent during the cut are delivered after it. */
TEST_F(SoakProxy, HoldsBytesOfTheClientDuringACut)
{
	connect();
	exchange_ping();
	set(SOAK_LINK_CUT_FORWARD);
	client->send("held");
	target->send("back");
	EXPECT_TRUE(client->wait_for("back"));
	client->close();
	expect_nothing(*target, "ping");
	set(SOAK_LINK_NORMAL);
	EXPECT_TRUE(target->wait_for("held"));
	EXPECT_TRUE(target->wait_closed());
}

/*
 * As in a partitioned network, connecting neither succeeds nor fails. It
 * completes when the kernel retries, within the first second after the cut.
 */
TEST_F(SoakProxy, ConnectingHangsDuringACut)
{
	std::string address = soak_proxy_address(proxy);
	g_autoptr(GSocketAddress) to = g_inet_socket_address_new_from_string(
		"127.0.0.1",
		(guint)std::stoi(address.substr(address.rfind(':') + 1)));
	g_autoptr(GError) error = nullptr;
	GSocket *socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, nullptr);

	set(SOAK_LINK_CUT_BOTH);
	client.reset(new Connection(socket));
	EXPECT_FALSE(g_socket_connect(socket, to, nullptr, &error));
	EXPECT_TRUE(g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING));
	run_idle();
	EXPECT_EQ(0, g_socket_condition_check(
			     socket, (GIOCondition)(G_IO_OUT | G_IO_HUP)));
	EXPECT_EQ(nullptr, g_socket_accept(listener.socket, nullptr, nullptr));
	set(SOAK_LINK_NORMAL);
	EXPECT_TRUE(run_until([&] {
		return g_socket_condition_check(socket, G_IO_OUT) != 0;
	}));
	EXPECT_TRUE(g_socket_check_connect_result(socket, nullptr));
	target.reset(listener.accept());
	exchange_ping();
	EXPECT_EQ(nullptr, g_socket_accept(listener.socket, nullptr, nullptr));
}

/* Connections are accepted after each of several cuts. */
TEST_F(SoakProxy, AcceptsConnectionsBetweenCuts)
{
	for (int i = 0; i < 5; i++) {
		set(SOAK_LINK_CUT_FORWARD);
		set(i % 2 ? SOAK_LINK_CUT_BOTH : SOAK_LINK_CUT_FORWARD);
		run_idle();
		set(SOAK_LINK_NORMAL);
		set(SOAK_LINK_CUT_FORWARD);
		set(SOAK_LINK_NORMAL);
		connect();
		exchange_ping();
	}
	run_idle();
	EXPECT_EQ(nullptr, g_socket_accept(listener.socket, nullptr, nullptr));
}

/* Bytes held back by a cut must not make the main loop spin. */
TEST_F(SoakProxy, IsIdleWhileBothSidesHaveEndedDuringACut)
{
	connect();
	exchange_ping();
	set(SOAK_LINK_CUT_BACKWARD);
	g_socket_shutdown(client->socket, FALSE, TRUE, nullptr);
	EXPECT_TRUE(target->wait_closed());
	target->send("held");
	target->close();
	run_idle();
	EXPECT_FALSE(g_main_context_pending(nullptr));
	set(SOAK_LINK_NORMAL);
	EXPECT_TRUE(client->wait_for("held"));
	EXPECT_TRUE(client->wait_closed());
}

TEST_F(SoakProxy, HoldsBytesOfTheTargetDuringACut)
{
	connect();
	exchange_ping();
	set(SOAK_LINK_CUT_BACKWARD);
	client->send("there");
	EXPECT_TRUE(target->wait_for("there"));
	target->send("held");
	target->reset();
	expect_nothing(*client, "pong");
	set(SOAK_LINK_NORMAL);
	EXPECT_TRUE(client->wait_closed());
}

TEST_F(SoakProxy, HoldsBothDirectionsDuringACut)
{
	connect();
	exchange_ping();
	set(SOAK_LINK_CUT_BOTH);
	client->send("there");
	target->send("back");
	expect_nothing(*client, "pong");
	expect_nothing(*target, "ping");
	set(SOAK_LINK_NORMAL);
	EXPECT_TRUE(target->wait_for("there"));
	EXPECT_TRUE(client->wait_for("back"));
}

TEST_F(SoakProxy, HoldsAnswersAndReleasesThem)
{
	connect();
	exchange_ping();
	set(SOAK_LINK_HOLD_ANSWERS);
	client->send("there");
	EXPECT_TRUE(target->wait_for("there"));
	target->send("late");
	expect_nothing(*client, "pong");
	set(SOAK_LINK_NORMAL);
	EXPECT_TRUE(client->wait_for("late"));
}

/*
 * A host has vanished: its connections neither carry bytes nor end, even after
 * the network has recovered; new connections work.
 */
TEST_F(SoakProxy, SilentConnectionsStaySilent)
{
	std::unique_ptr<Connection> old_client;
	std::unique_ptr<Connection> old_target;

	connect();
	exchange_ping();
	set(SOAK_LINK_SILENT);
	old_client = std::move(client);
	old_target = std::move(target);
	connect();
	exchange_ping();
	set(SOAK_LINK_NORMAL);
	old_client->send("lost");
	old_target->close();
	expect_nothing(*old_client, "pong");
	exchange_ping();
}

TEST_F(SoakProxy, ForwardsOneByteAtATime)
{
	std::vector<size_t> sizes;

	connect();
	exchange_ping();
	set(SOAK_LINK_TRICKLE, SOON_US);
	client->send("bytes");
	EXPECT_TRUE(run_until([&] {
		target->read();
		if (sizes.empty() || sizes.back() != target->input.size())
			sizes.push_back(target->input.size());
		return target->input == "pingbytes";
	}));
	EXPECT_GT(sizes.size(), 2u);
}

/* The target's answer is complete; the bytes after it match no request. */
TEST_F(SoakProxy, AddsAnUnsolicitedAnswer)
{
	connect();
	set(SOAK_LINK_UNSOLICITED, SOON_US);
	exchange_ping();
	EXPECT_TRUE(client->wait_for("stray"));
	EXPECT_EQ(0u, client->input.find("pongHTTP/1.1 200 OK\r\n"));
	expect_nothing(*client, client->input);
	client->send("again");
	expect_nothing(*client, client->input);
	EXPECT_TRUE(target->wait_for("again"));
}
