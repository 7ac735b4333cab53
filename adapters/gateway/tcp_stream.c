#include "adapters/gateway/tcp_stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP_CONNECT "tcp.connect"
#define STEP_READ "tcp.read"
#define STEP_WRITE "tcp.write"
#define STEP_LISTEN "tcp.listen"

#define READ_BYTES 16384
#define BACKLOG 512

/*
 * A peer that vanished without closing is detected after about three seconds:
 * one of idleness and two unanswered probes. A shorter time would treat a link
 * that loses a few packets as dead.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNSENT_TIMEOUT_MS 3000

/* Time limits for the peer to read the unsent bytes, and then to close. */
#define FLUSH_TIMEOUT_US (30 * G_USEC_PER_SEC)
#define CLOSE_TIMEOUT_US (2 * G_USEC_PER_SEC)

struct tcp_stream {
	GSource source; /* must be first: GLib allocates and counts it */
	int fd;
	gpointer tag;
	const struct tcp_stream_events *events;
	void *data;
	GByteArray *unsent;
	size_t unsent_offset; /* bytes of it already sent */
	bool connecting;
	int64_t opened_us; /* when the connection was established */
	bool reading;
	bool has_sent;
	int connect_errno; /* why it failed to connect; 0: it did not */
	bool finishing;	   /* without owner: sends the rest, then closes */
	bool write_closed;
	size_t unread_bytes; /* see tcp_stream_unread_bytes; once failed */
	char peer[64];
};

/* Streams that nobody owns any more and that are not closed yet. */
static size_t finishing_count;

/* Splits IPv4:PORT into host and port. False if the address is invalid. */
bool tcp_address_parse(const char *address, char *host, size_t host_size,
		       uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	struct in_addr ip;
	guint64 number;

	if (!colon || (size_t)(colon - address) >= host_size)
		return false;
	g_strlcpy(host, address, (gsize)(colon - address) + 1);
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &number,
					NULL))
		return false;
	*port = (uint16_t)number;
	return inet_pton(AF_INET, host, &ip) == 1;
}

static bool address_fill(const char *address, struct sockaddr_in *to)
{
	char host[INET_ADDRSTRLEN];
	uint16_t port;

	if (!tcp_address_parse(address, host, sizeof(host), &port))
		return false;
	memset(to, 0, sizeof(*to));
	to->sin_family = AF_INET;
	to->sin_port = htons(port);
	return inet_pton(AF_INET, host, &to->sin_addr) == 1;
}

static void socket_set_int(int fd, int level, int option, int value)
{
	/* A system without the option loses only speed or early detection. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

static void socket_prepare(int fd)
{
	socket_set_int(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	socket_set_int(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	socket_set_int(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	socket_set_int(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	socket_set_int(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
	socket_set_int(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, UNSENT_TIMEOUT_MS);
}

/* Sets the conditions to poll for; to be called at each change of state. */
static void stream_update_conditions(struct tcp_stream *stream)
{
	GIOCondition wanted = 0;

	if (stream->fd < 0)
		return;
	if (stream->reading || stream->write_closed)
		wanted |= G_IO_IN;
	if (stream->connecting || stream->unsent->len > stream->unsent_offset)
		wanted |= G_IO_OUT;
	g_source_modify_unix_fd(&stream->source, stream->tag,
				wanted | G_IO_HUP | G_IO_ERR);
}

static void stream_close(struct tcp_stream *stream)
{
	if (stream->fd < 0)
		return;
	g_source_remove_unix_fd(&stream->source, stream->tag);
	close(stream->fd);
	stream->fd = -1;
}

static void stream_release(struct tcp_stream *stream)
{
	finishing_count -= stream->finishing;
	stream->finishing = false;
	stream_close(stream);
	stream->events = NULL;
	g_source_destroy(&stream->source);
	g_source_unref(&stream->source);
}

/* Whether the host was unreachable, rather than the connection closed. */
static bool errno_is_unreachable(int number)
{
	return number == ETIMEDOUT || number == EHOSTUNREACH ||
	       number == ENETUNREACH;
}

static enum error_code stream_error_code(const struct tcp_stream *stream,
					 int number)
{
	if (!stream->has_sent)
		return ERROR_UNREACHABLE;
	return errno_is_unreachable(number) ? ERROR_TIMEOUT : ERROR_CLOSED;
}

static void stream_fail(struct tcp_stream *stream, const char *step, int number)
{
	struct error error;

	if (stream->finishing) {
		stream_release(stream);
		return;
	}
	stream->unread_bytes = tcp_stream_unread_bytes(stream);
	stream_close(stream);
	error_set(&error, stream_error_code(stream, number), step, stream->peer,
		  "%s", g_strerror(number));
	if (stream->events)
		stream->events->failed(stream->data, &error);
}

/* Sends as much as the socket accepts; false on a broken connection. */
static bool stream_flush(struct tcp_stream *stream)
{
	while (stream->unsent->len > stream->unsent_offset) {
		ssize_t sent =
			send(stream->fd,
			     stream->unsent->data + stream->unsent_offset,
			     stream->unsent->len - stream->unsent_offset,
			     MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		stream->has_sent = true;
		stream->unsent_offset += (size_t)sent;
	}
	g_byte_array_set_size(stream->unsent, 0);
	stream->unsent_offset = 0;
	return true;
}

static void stream_finish_step(struct tcp_stream *stream)
{
	if (stream->write_closed || stream->unsent->len > stream->unsent_offset)
		return;
	stream->write_closed = true;
	shutdown(stream->fd, SHUT_WR);
	g_source_set_ready_time(&stream->source,
				g_get_monotonic_time() + CLOSE_TIMEOUT_US);
}

static void stream_on_writable(struct tcp_stream *stream)
{
	int number = 0;
	socklen_t size = sizeof(number);
	bool waited = stream->unsent->len > stream->unsent_offset;

	if (stream->connecting) {
		getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &number, &size);
		if (number) {
			stream->connect_errno = number;
			stream_fail(stream, STEP_CONNECT, number);
			return;
		}
		stream->connecting = false;
		stream->opened_us = g_get_monotonic_time();
		if (stream->events && stream->events->opened)
			stream->events->opened(stream->data);
		if (stream->fd < 0)
			return;
	}
	if (!stream_flush(stream)) {
		stream_fail(stream, STEP_WRITE, errno);
		return;
	}
	if (stream->finishing)
		stream_finish_step(stream);
	else if (waited && stream->unsent->len == 0 && stream->events &&
		 stream->events->drained)
		stream->events->drained(stream->data);
}

static void stream_on_readable(struct tcp_stream *stream)
{
	char bytes[READ_BYTES];
	ssize_t size = recv(stream->fd, bytes, sizeof(bytes), 0);

	if (size < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (size < 0) {
		stream_fail(stream, STEP_READ, errno);
		return;
	}
	if (stream->finishing) {
		if (size == 0)
			stream_release(stream);
		return;
	}
	if (size > 0) {
		stream->events->received(stream->data, bytes, (size_t)size);
		return;
	}
	stream->reading = false;
	stream->events->ended(stream->data);
}

static gboolean stream_dispatch(GSource *source, GSourceFunc callback,
				gpointer data)
{
	struct tcp_stream *stream = (struct tcp_stream *)source;
	GIOCondition got = g_source_query_unix_fd(source, stream->tag);

	(void)callback;
	(void)data;
	if (stream->finishing && g_source_get_ready_time(source) >= 0 &&
	    g_get_monotonic_time() >= g_source_get_ready_time(source)) {
		stream_release(stream);
		return G_SOURCE_REMOVE;
	}
	if (stream->connecting ? got : got & G_IO_OUT)
		stream_on_writable(stream);
	if (stream->fd >= 0 && !stream->connecting &&
	    (got & (G_IO_IN | G_IO_HUP | G_IO_ERR)) &&
	    (stream->reading || stream->write_closed || (got & G_IO_ERR)))
		stream_on_readable(stream);
	if (stream->fd >= 0 && !g_source_is_destroyed(source))
		stream_update_conditions(stream);
	return G_SOURCE_CONTINUE;
}

static void stream_finalize(GSource *source)
{
	struct tcp_stream *stream = (struct tcp_stream *)source;

	if (stream->fd >= 0)
		close(stream->fd);
	g_byte_array_unref(stream->unsent);
}

static GSourceFuncs stream_functions = {
	.dispatch = stream_dispatch,
	.finalize = stream_finalize,
};

static struct tcp_stream *
stream_create(int fd, const struct tcp_stream_events *events, void *data)
{
	struct tcp_stream *stream = (struct tcp_stream *)g_source_new(
		&stream_functions, sizeof(*stream));

	stream->fd = fd;
	stream->events = events;
	stream->data = data;
	stream->unsent = g_byte_array_new();
	stream->reading = true;
	stream->tag = g_source_add_unix_fd(&stream->source, fd, 0);
	socket_prepare(fd);
	return stream;
}

static void stream_attach(struct tcp_stream *stream)
{
	stream_update_conditions(stream);
	g_source_attach(&stream->source, g_main_context_get_thread_default());
}

/*
 * Starts to connect to IPv4:PORT; the event opened or failed follows later.
 * NULL with ERROR_UNREACHABLE if no connection can be started, or with
 * ERROR_INVALID for an invalid address.
 */
struct tcp_stream *tcp_stream_connect(const char *address,
				      const struct tcp_stream_events *events,
				      void *data, struct error *error)
{
	struct tcp_stream *stream;
	struct sockaddr_in to;
	int fd;

	if (!address_fill(address, &to)) {
		error_set(error, ERROR_INVALID, STEP_CONNECT, address,
			  "not an IPv4:PORT address");
		return NULL;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
		       errno != EINPROGRESS)) {
		error_set(error, ERROR_UNREACHABLE, STEP_CONNECT, address, "%s",
			  g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	stream = stream_create(fd, events, data);
	stream->connecting = true;
	g_strlcpy(stream->peer, address, sizeof(stream->peer));
	stream_attach(stream);
	return stream;
}

/* Makes a stream of an accepted connection and takes ownership of fd. */
struct tcp_stream *
tcp_stream_adopt(int fd, const struct tcp_stream_events *events, void *data)
{
	struct tcp_stream *stream = stream_create(fd, events, data);

	stream_attach(stream);
	return stream;
}

/* Directs further events to another owner, as from a pool to a request. */
void tcp_stream_set_owner(struct tcp_stream *stream,
			  const struct tcp_stream_events *events, void *data)
{
	stream->events = events;
	stream->data = data;
}

/* Closes at once and delivers no further event. NULL is allowed. */
void tcp_stream_destroy(struct tcp_stream *stream)
{
	if (stream)
		stream_release(stream);
}

/*
 * Sends the unsent bytes, then closes; the owner must not use the stream any
 * more. NULL is allowed. Closing a socket with unread bytes sends a reset,
 * which may make the peer discard the last answer: so the peer's bytes are read
 * and dropped until it closes, for a bounded time.
 */
void tcp_stream_finish(struct tcp_stream *stream)
{
	if (!stream)
		return;
	if (stream->fd < 0) {
		stream_release(stream);
		return;
	}
	stream->finishing = true;
	finishing_count++;
	stream->events = NULL;
	g_source_set_ready_time(&stream->source,
				g_get_monotonic_time() + FLUSH_TIMEOUT_US);
	stream_finish_step(stream);
	stream_update_conditions(stream);
}

/*
 * Returns the number of streams that were given to tcp_stream_finish and are
 * not closed yet: their peers may still read the last bytes.
 */
size_t tcp_stream_finishing_count(void)
{
	return finishing_count;
}

/* Sends the bytes, or copies them until the peer accepts them. */
void tcp_stream_write(struct tcp_stream *stream, const char *bytes, size_t size)
{
	ssize_t sent = 0;

	if (stream->fd < 0 || size == 0)
		return;
	if (!stream->connecting && stream->unsent->len == 0) {
		sent = send(stream->fd, bytes, size, MSG_NOSIGNAL);
		if (sent > 0)
			stream->has_sent = true;
		/* The next poll detects a broken connection. */
		sent = MAX(sent, 0);
	}
	if ((size_t)sent == size)
		return;
	g_byte_array_append(stream->unsent, (const guint8 *)bytes + sent,
			    (guint)(size - (size_t)sent));
	stream_update_conditions(stream);
}

/* Number of bytes written to the stream but not yet sent. */
size_t tcp_stream_unsent_bytes(const struct tcp_stream *stream)
{
	return stream->unsent->len - stream->unsent_offset;
}

/*
 * Number of bytes written to the stream that the peer's system has not
 * acknowledged: the peer can't have read them. Also valid once the stream has
 * failed.
 */
size_t tcp_stream_unread_bytes(const struct tcp_stream *stream)
{
	int queued = 0;

	if (stream->fd < 0)
		return stream->unread_bytes;
	if (ioctl(stream->fd, SIOCOUTQ, &queued) != 0)
		queued = 0;
	return tcp_stream_unsent_bytes(stream) + (size_t)MAX(queued, 0);
}

/* Whether bytes of the peer wait in the socket to be read. */
bool tcp_stream_has_unread(const struct tcp_stream *stream)
{
	int size = 0;

	return stream->fd >= 0 && ioctl(stream->fd, FIONREAD, &size) == 0 &&
	       size > 0;
}

/* Whether any byte may have reached the peer. */
bool tcp_stream_has_sent(const struct tcp_stream *stream)
{
	return stream->has_sent;
}

/*
 * Whether no process listens at the peer's address. Its host refuses such a
 * connection; a process that has too many resets it once it is established.
 */
bool tcp_stream_is_refused(const struct tcp_stream *stream)
{
	return stream->connect_errno == ECONNREFUSED;
}

/*
 * Whether a process has accepted the connection, also if it has reset it before
 * this one noticed.
 */
bool tcp_stream_was_accepted(const struct tcp_stream *stream)
{
	return stream->opened_us || stream->connect_errno == ECONNRESET ||
	       stream->connect_errno == EPIPE;
}

/*
 * Returns the monotonic time, in us, at which tcp_stream_connect established
 * the connection; 0: not yet.
 */
int64_t tcp_stream_opened_us(const struct tcp_stream *stream)
{
	return stream->opened_us;
}

/*
 * Closes the sending side unless bytes are still unsent, and goes on reading.
 */
void tcp_stream_close_sending(struct tcp_stream *stream)
{
	if (stream->fd >= 0 && !stream->connecting &&
	    tcp_stream_unsent_bytes(stream) == 0)
		shutdown(stream->fd, SHUT_WR);
}

/* Stops or resumes reading; meanwhile TCP flow control stops the peer. */
void tcp_stream_set_reading(struct tcp_stream *stream, bool reading)
{
	if (stream->reading == reading)
		return;
	stream->reading = reading;
	stream_update_conditions(stream);
}

/*
 * Opens a non-blocking listening socket at IPv4:PORT, owned by the caller. -1
 * and an error if the address is invalid or can't be bound.
 */
int tcp_listen(const char *address, struct error *error)
{
	struct sockaddr_in at;
	int fd = -1;

	if (!address_fill(address, &at)) {
		error_set(error, ERROR_INVALID, STEP_LISTEN, address,
			  "not an IPv4:PORT address");
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0)
		socket_set_int(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (fd >= 0 && bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0 &&
	    listen(fd, BACKLOG) == 0)
		return fd;
	error_set(error, ERROR_UNREACHABLE, STEP_LISTEN, address, "%s",
		  g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
