#include "adapters/gateway/tcp_stream.h"
#include "tests/loopback.h"

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <string>

#ifndef TCP_RTO_MAX_MS
#define TCP_RTO_MAX_MS 44
#endif

/* What the kernel tells of a connection. */
enum info_told {
	TOLD_ALL,
	TOLD_NO_TIMES,	 /* zeros but for the state */
	TOLD_FIRST_WORD, /* as a system does that knows only whole numbers */
	TOLD_NOTHING,
};

static enum info_told told = TOLD_ALL;

/* Takes the place of the C library's for the whole test program. */
extern "C" int getsockopt(int fd, int level, int name, void *value,
			  socklen_t *size) noexcept
{
	bool is_info = level == IPPROTO_TCP && name == TCP_INFO;
	int status;

	if (is_info && told == TOLD_NOTHING) {
		errno = ENOPROTOOPT;
		return -1;
	}
	status = (int)syscall(SYS_getsockopt, fd, level, name, value, size);
	if (is_info && told == TOLD_NO_TIMES)
		memset((char *)value + 1, 0, *size - 1);
	if (is_info && told == TOLD_FIRST_WORD)
		*size = sizeof(int);
	return status;
}

static void shrink_buffer(int fd)
{
	int bytes = 8192;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

/*
 * A stream to a peer on loopback, whose window is closed after some kilobytes
 * that it doesn't read.
 */
struct side {
	struct tcp_stream *stream = nullptr;
	std::unique_ptr<Connection> peer;
	std::string end;
	int64_t end_us = 0;
	enum error_code code = {};
};

/* Two streams: one connects, as to an endpoint, one is a caller's. */
class TcpStream : public testing::Test
{
      protected:
	static void on_received(void *, const char *, size_t)
	{
	}

	static void note_end(struct side *side, const std::string &end)
	{
		side->end = end;
		side->end_us = g_get_monotonic_time();
	}

	static void on_ended(void *data)
	{
		note_end((struct side *)data, "ended");
	}

	static void on_failed(void *data, const struct error *error)
	{
		note_end((struct side *)data, error->detail);
		((struct side *)data)->code = error->code;
	}

	static constexpr struct tcp_stream_events EVENTS = {
		.opened = nullptr,
		.received = on_received,
		.ended = on_ended,
		.failed = on_failed,
		.drained = nullptr,
	};

	void SetUp() override
	{
		shrink_buffer(g_socket_get_fd(listener.socket));
		Connect(&sides[0]);
		Adopt(&sides[1]);
		run_idle();
	}

	void TearDown() override
	{
		for (struct side &side : sides)
			tcp_stream_destroy(side.stream);
	}

	void Connect(struct side *side)
	{
		struct error error;

		side->stream = tcp_stream_connect(listener.address().c_str(),
						  &EVENTS, side, &error);
		ASSERT_NE(nullptr, side->stream) << error.detail;
		side->peer.reset(listener.accept());
	}

	void Adopt(struct side *side)
	{
		std::string text = listener.address();
		struct sockaddr_in to = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		std::unique_ptr<Connection> accepted;

		to.sin_family = AF_INET;
		to.sin_port = htons(
			(uint16_t)std::stoi(text.substr(text.find(':') + 1)));
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		shrink_buffer(fd);
		ASSERT_EQ(0, connect(fd, (struct sockaddr *)&to, sizeof(to)));
		side->peer.reset(
			new Connection(g_socket_new_from_fd(fd, nullptr)));
		g_socket_set_blocking(side->peer->socket, FALSE);
		accepted.reset(listener.accept());
		side->stream = tcp_stream_adopt(
			dup(g_socket_get_fd(accepted->socket)), &EVENTS, side);
	}

	/*
	 * The peers' system drops all that comes before TCP sees it, as if the
	 * peers had vanished; they still can send.
	 */
	void Vanish()
	{
		struct sock_filter drop = {BPF_RET | BPF_K, 0, 0, 0};
		struct sock_fprog program = {1, &drop};

		for (struct side &side : sides)
			ASSERT_EQ(0,
				  setsockopt(g_socket_get_fd(side.peer->socket),
					     SOL_SOCKET, SO_ATTACH_FILTER,
					     &program, sizeof(program)));
		vanished_us = g_get_monotonic_time();
	}

	void Write(size_t size)
	{
		std::string bytes(size, 'x');

		written += size;
		for (struct side &side : sides)
			tcp_stream_write(side.stream, bytes.data(), size);
	}

	/* In real time: the kernel's timers know no other. */
	void Wait(int64_t ms)
	{
		int64_t until_us = g_get_monotonic_time() + ms * 1000;

		run_until([&] { return g_get_monotonic_time() >= until_us; });
	}

	void ExpectOpen()
	{
		for (const struct side &side : sides)
			EXPECT_EQ("", side.end);
	}

	void ExpectAllRead()
	{
		for (const struct side &side : sides) {
			run_until([&] {
				side.peer->read();
				return side.peer->input.size() >= written ||
				       side.peer->closed;
			});
			EXPECT_EQ(written, side.peer->input.size());
		}
	}

	/* Whether the system can limit the time between probes. */
	bool LimitsProbes()
	{
		int ms = 1000;

		return setsockopt(g_socket_get_fd(sides[0].peer->socket),
				  IPPROTO_TCP, TCP_RTO_MAX_MS, &ms,
				  sizeof(ms)) == 0;
	}

	/* Both are found out, sooner than any other limit would do it. */
	void ExpectGone(int64_t limit_s = 6)
	{
		run_until([&] {
			return !sides[0].end.empty() && !sides[1].end.empty();
		});
		for (const struct side &side : sides) {
			EXPECT_EQ("Connection timed out", side.end);
			EXPECT_EQ(ERROR_TIMEOUT, side.code);
			EXPECT_GT(limit_s * G_USEC_PER_SEC,
				  side.end_us - vanished_us);
		}
	}

	Listener listener;
	struct side sides[2];
	size_t written = 0;
	int64_t vanished_us = 0;
};

/* How many open sockets are reset by their close. */
static int count_resetting()
{
	int count = 0;

	for (int fd = 0; fd < 256; fd++) {
		struct linger linger = {};
		socklen_t size = sizeof(linger);

		if (getsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, &size) == 0)
			count += linger.l_onoff;
	}
	return count;
}

/*
 * Guards against a part that is taken for the whole, and against a whole that
 * is cut as the process ends, where the close is the only end.
 */
TEST_F(TcpStream, ResetsUnlessItHasFinished)
{
	for (struct side &side : sides)
		tcp_stream_reset_unless_finished(side.stream);
	Write(4000);
	EXPECT_EQ(2, count_resetting());
	tcp_stream_destroy(g_steal_pointer(&sides[0].stream));
	tcp_stream_finish(g_steal_pointer(&sides[1].stream));
	EXPECT_EQ(0, count_resetting());
	for (struct side &side : sides)
		EXPECT_TRUE(side.peer->wait_closed());
	EXPECT_TRUE(sides[0].peer->was_reset);
	EXPECT_FALSE(sides[1].peer->was_reset);
	EXPECT_EQ(written, sides[1].peer->input.size());
}

/*
 * Guards against a peer that is taken for gone because it doesn't read: its
 * window stays closed for longer than a vanished peer is given.
 */
TEST_F(TcpStream, KeepsAPeerThatDoesNotRead)
{
	Write(200000);
	Wait(4500);
	ExpectOpen();
	ExpectAllRead();
	Write(1000);
	ExpectAllRead();
}

/* The same on systems that don't tell when the peer answered. */
class TcpStreamTold : public TcpStream,
		      public testing::WithParamInterface<info_told>
{
      protected:
	void SetUp() override
	{
		told = GetParam();
		TcpStream::SetUp();
	}

	void TearDown() override
	{
		TcpStream::TearDown();
		told = TOLD_ALL;
	}
};

INSTANTIATE_TEST_SUITE_P(Each, TcpStreamTold,
			 testing::Values(TOLD_NO_TIMES, TOLD_FIRST_WORD,
					 TOLD_NOTHING));

TEST_P(TcpStreamTold, KeepsAPeerThatDoesNotRead)
{
	Write(200000);
	Wait(4500);
	ExpectOpen();
	ExpectAllRead();
	Write(1000);
	ExpectAllRead();
}

/* Guards against a vanished peer that is kept for ever on such a system. */
TEST_F(TcpStream, FindsOutThatAPeerIsGoneWhereNothingIsTold)
{
	told = TOLD_NOTHING;
	Vanish();
	Write(1000);
	Wait(32500);
	told = TOLD_ALL;
	ExpectGone(32);
}

/* The same where the owner has given the stream up with bytes to send. */
TEST_F(TcpStream, SendsTheRestToAPeerThatReadsLater)
{
	Write(200000);
	for (struct side &side : sides)
		tcp_stream_finish(g_steal_pointer(&side.stream));
	Wait(5500);
	EXPECT_EQ(2u, tcp_stream_finishing_count());
	ExpectAllRead();
	for (struct side &side : sides)
		EXPECT_TRUE(side.peer->wait_closed());
}

/* Guards against bytes of a large request that come twice or not at all. */
TEST_F(TcpStream, SendsWhatItTakesOnce)
{
	std::string all;

	for (size_t size : {10, 300000, 20, 200000}) {
		std::string bytes(size, (char)('a' + all.size() % 26));

		for (struct side &side : sides)
			tcp_stream_take(
				side.stream,
				g_string_new_len(bytes.data(), (gssize)size));
		all += bytes;
		written = all.size();
		if (size == 20)
			ExpectAllRead();
	}
	ExpectAllRead();
	for (const struct side &side : sides) {
		EXPECT_EQ(all, side.peer->input);
		EXPECT_EQ(0u, tcp_stream_unsent_bytes(side.stream));
	}
}

/*
 * Guards against a reset, which may cost the peer its answer, while it still
 * sends a body that was refused; and against one that sends for ever.
 */
TEST_F(TcpStream, ReadsOnWhileAPeerSendsWhatNobodyWants)
{
	Write(10);
	ExpectAllRead();
	for (struct side &side : sides)
		tcp_stream_finish(g_steal_pointer(&side.stream));
	for (int i = 0; i < 14; i++) {
		for (struct side &side : sides)
			side.peer->send("x");
		Wait(250);
	}
	EXPECT_EQ(2u, tcp_stream_finishing_count());
	run_until([] { return tcp_stream_finishing_count() == 0; });
	EXPECT_EQ(0u, tcp_stream_finishing_count());
}

/*
 * Guards against a body that is in memory twice while it is sent, and against
 * its bytes out of order beside others.
 */
TEST_F(TcpStream, SharesWhatIsNotSentYet)
{
	std::string all;

	for (size_t size : {6000000, 20, 3000000}) {
		std::string head(10, (char)('a' + all.size() % 26));
		std::string body(size, (char)('A' + all.size() % 26));
		GByteArray *shared = g_byte_array_new();

		g_byte_array_append(shared, (const guint8 *)body.data(),
				    (guint)size);
		for (struct side &side : sides) {
			tcp_stream_write(side.stream, head.data(), head.size());
			tcp_stream_share(side.stream, shared);
		}
		g_byte_array_unref(shared);
		all += head + body;
		written = all.size();
		if (size == 20)
			ExpectAllRead();
	}
	ExpectAllRead();
	for (const struct side &side : sides) {
		EXPECT_EQ(all, side.peer->input);
		EXPECT_EQ(0u, tcp_stream_unsent_bytes(side.stream));
		EXPECT_EQ(0u, tcp_stream_kept_bytes(side.stream));
	}
}

/* Guards against a vanished peer that is waited for while bytes are unread. */
TEST_F(TcpStream, FindsOutThatAPeerIsGone)
{
	Vanish();
	Write(1000);
	ExpectGone();
	for (const struct side &side : sides)
		EXPECT_EQ(1000u, tcp_stream_unread_bytes(side.stream));
}

/* The same for a peer that has stopped reading before it vanishes. */
TEST_F(TcpStream, FindsOutThatAPeerIsGoneThatDidNotRead)
{
	Write(200000);
	Wait(7000);
	ExpectOpen();
	Vanish();
	ExpectGone(LimitsProbes() ? 6 : 15);
}

/* The same for a peer that owes nothing: keep-alive probes tell it. */
TEST_F(TcpStream, FindsOutThatAnIdlePeerIsGone)
{
	Write(200000);
	Wait(600);
	ExpectAllRead();
	Wait(1000);
	Vanish();
	ExpectGone();
}
