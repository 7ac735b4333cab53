#include "tests/gateway_pair.h"

/* A gateway with 1 MiB for requests, and an endpoint that doesn't answer. */
class GatewayMemory : public GatewayPair
{
      protected:
	void SetUp() override
	{
		memory_bytes = 2 << 20;
		timeout_us = 30 * G_USEC_PER_SEC;
		endpoint.is_silent = true;
		Create(1);
		Register(0, "portal", {{endpoint.id, endpoint.address}});
	}

	static std::string Head(const std::string &id,
				const std::string &framing)
	{
		return "POST /lookup/a HTTP/1.1\r\nHost: h\r\n"
		       "X-Siskinlink-Request-Id: " +
		       id + "\r\n" + framing + "\r\n\r\n";
	}

	static std::string Sized(const std::string &id, size_t bytes)
	{
		return Head(id, "Content-Length: " + std::to_string(bytes));
	}

	std::unique_ptr<Connection> Send(const std::string &text)
	{
		std::unique_ptr<Connection> caller(
			Connection::open(nodes[0]->address));

		caller->send(text);
		return caller;
	}

	/* Sends a whole request and waits until the endpoint has it. */
	std::unique_ptr<Connection> Begin(const std::string &id, size_t bytes)
	{
		auto caller = Send(Sized(id, bytes) + std::string(bytes, 'x'));

		EXPECT_TRUE(run_until([&] {
			caller->read();
			return endpoint.runs[id] == 1;
		})) << id;
		return caller;
	}

	void ExpectRefused(Connection *caller, const char *status)
	{
		ASSERT_TRUE(caller->wait_for("\r\n\r\n"));
		EXPECT_EQ(std::string("HTTP/1.1 ") + status,
			  caller->input.substr(0, 12));
		EXPECT_TRUE(caller->wait_closed());
	}

	size_t Held()
	{
		return memory_budget_held(nodes[0]->gateway->memory);
	}

	uint64_t Refused()
	{
		return nodes[0]->counters.value[COUNTER_GATEWAY_NO_MEMORY];
	}

	PairEndpoint endpoint{"i-1"};
};

/* Guards against bodies that exceed the memory of the process together. */
TEST_F(GatewayMemory, RefusesABodyBeforeItIsRead)
{
	auto first = Begin("first", 500000);
	auto second = Send(Sized("second", 400000));

	ExpectRefused(second.get(), "503");
	EXPECT_NE(std::string::npos, second->input.find("\r\nRetry-After: "));
	EXPECT_NE(std::string::npos,
		  second->input.find("Request-Id: second\r\n"));
	EXPECT_EQ(1u, Refused());
	EXPECT_EQ(0, endpoint.runs["second"]);
}

/* Guards against small requests that are refused for the large ones. */
TEST_F(GatewayMemory, ServesSmallRequestsBesideLargeOnes)
{
	auto large = Begin("large", 780000);
	auto other = Send(Sized("other", 100000));
	std::vector<std::unique_ptr<Connection>> small;

	ExpectRefused(other.get(), "503");
	for (int i = 0; i < 3; i++)
		small.push_back(Begin("small-" + std::to_string(i), 60000));
	EXPECT_EQ(1u, Refused());
}

/* Guards against memory that is never given back. */
TEST_F(GatewayMemory, TakesABodyOnceOthersHaveEnded)
{
	auto first = Begin("first", 700000);
	auto part = Send(Sized("part", 60000) + std::string(30000, 'x'));

	EXPECT_TRUE(run_until([&] {
		part->read();
		return Held() > 760000;
	}));
	EXPECT_LT(Held(), 762000u);
	first->close();
	part->close();
	EXPECT_TRUE(run_until([&] { return Held() == 0; }));
	Begin("second", 700000);
	EXPECT_EQ(0u, Refused());
}

/* Guards against bodies in chunks, whose size no head says. */
TEST_F(GatewayMemory, RefusesABodyThatGrowsBeyondIt)
{
	auto first = Begin("first", 500000);
	auto second = Send(Head("second", "Transfer-Encoding: chunked"));
	std::string chunk = "c350\r\n" + std::string(50000, 'x') + "\r\n";

	for (int i = 0; i < 10; i++)
		second->send(chunk);
	ExpectRefused(second.get(), "503");
	EXPECT_EQ(1u, Refused());
	EXPECT_TRUE(run_until([&] { return Held() < 502000; }));
}

/* Guards against a promise to return for a body that never finds room. */
TEST_F(GatewayMemory, SaysThatABodyIsTooLargeForTheProcess)
{
	auto caller = Send(Sized("huge", 900000));

	ExpectRefused(caller.get(), "413");
	EXPECT_EQ(std::string::npos, caller->input.find("Retry-After"));
}

/* Guards against a lower limit that is taken from what is under way. */
TEST_F(GatewayMemory, KeepsWhatItGrantedUnderALowerLimit)
{
	auto first = Begin("first", 700000);
	std::unique_ptr<Connection> second;

	gateway_set_memory(nodes[0]->gateway, 1 << 20);
	second = Send(Sized("second", 100000));
	ExpectRefused(second.get(), "503");
	first->read();
	EXPECT_FALSE(first->closed);
	gateway_set_memory(nodes[0]->gateway, 4 << 20);
	Begin("third", 100000);
}
