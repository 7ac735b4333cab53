#include "adapters/gateway/listener.h"
#include "adapters/gateway/tcp_stream.h"
#include "tests/gateway_pair.h"

/* Drains of a gateway, with its callers on loopback. */
class GatewayDrain : public GatewayPair
{
      protected:
	void Begin(int64_t drain_us)
	{
		Create(1);
		Limit(drain_us);
		gateway_drain(nodes[0]->gateway);
	}

	/* Applies the settings anew, with this length of drains. */
	void Limit(int64_t drain_us)
	{
		struct gateway *gateway = nodes[0]->gateway;

		gateway_set_limits(gateway, drain_us,
				   gateway->options.directory_ttl_us,
				   gateway->options.retry_percent,
				   gateway->options.retry_extra);
	}

	bool IsStopped() const
	{
		return nodes[0]->gateway->is_stopped;
	}
};

/* Guards against a drain that ends with time left while a request arrives. */
TEST_F(GatewayDrain, AnswersWhatArrives)
{
	Begin(1500000);
	std::unique_ptr<Connection> whole(Connection::open(nodes[0]->address));
	std::unique_ptr<Connection> part(Connection::open(nodes[0]->address));

	Wait(400);
	whole->send("GET /lookup/a HTTP/1.1\r\n");
	part->send("GET /lookup/a HTTP/1.1\r\n");
	Wait(300);
	EXPECT_FALSE(IsStopped());
	whole->send("Host: h\r\n\r\n");
	EXPECT_TRUE(whole->wait_for("HTTP/1.1 "));
	EXPECT_TRUE(whole->wait_closed());
	EXPECT_TRUE(run_until([&] { return IsStopped(); }));
	part->read();
	EXPECT_EQ("HTTP/1.1 408", part->input.substr(0, 12));
}

/* Guards against an end in the tick that closes kept connections. */
TEST_F(GatewayDrain, ClosesIdleConnectionsBeforeItEnds)
{
	Begin(1300000);
	std::unique_ptr<Connection> kept(Connection::open(nodes[0]->address));

	ASSERT_TRUE(
		run_until([&] { return tcp_stream_finishing_count() > 0; }));
	Wait(100);
	EXPECT_FALSE(IsStopped()) << "its caller has not closed it yet";
	EXPECT_TRUE(kept->wait_closed());
	EXPECT_TRUE(run_until([&] { return IsStopped(); }));
}

/* Guards against a drain that is cut short by new settings: requests were
 * accepted to end within the length that it began with. */
TEST_F(GatewayDrain, KeepsItsLength)
{
	Begin(8000000);
	Limit(100000);
	Wait(300);
	EXPECT_FALSE(IsStopped());
}

/* Guards against a new connection that is closed before its first request. */
TEST_F(GatewayDrain, AnswersTheFirstRequestOfANewConnection)
{
	Begin(1500000);
	Wait(450);
	std::unique_ptr<Connection> late(Connection::open(nodes[0]->address));

	Wait(110);
	late->send("GET /lookup/a HTTP/1.1\r\nHost: h\r\n\r\n");
	EXPECT_TRUE(late->wait_for("HTTP/1.1 "));
	EXPECT_TRUE(late->wait_closed());
	EXPECT_TRUE(run_until([&] { return IsStopped(); }));
}

/* Guards against a reset of connections that wait as a node stops to listen. */
TEST_F(GatewayDrain, AnswersConnectionsThatWaitToBeAccepted)
{
	Begin(1500000);
	std::unique_ptr<Connection> late(Connection::open(nodes[0]->address));

	late->send("GET /lookup/a HTTP/1.1\r\nHost: h\r\n\r\n");
	listener_finish(g_steal_pointer(&nodes[0]->gateway->listeners[0]));
	EXPECT_TRUE(late->wait_for("HTTP/1.1 "));
}

/* Guards against callers that connect to a node that will not answer them. */
TEST_F(GatewayDrain, StopsToListenBeforeItEnds)
{
	Begin(1300000);
	ASSERT_TRUE(run_until(
		[&] { return nodes[0]->gateway->listeners[0] == nullptr; }));
	EXPECT_FALSE(IsStopped());
	EXPECT_TRUE(run_until([&] { return IsStopped(); }));
}
