#include "adapters/gateway/tcp_stream.h"

#include "adapters/gateway/answer_memory.h"
#include "core/gateway/peer_silence.h"
#include "core/gateway/read_progress.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <linux/sockios.h>
#include <stddef.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP_CONNECT "tcp.connect"
#define STEP_READ "tcp.read"
#define STEP_WRITE "tcp.write"
#define STEP_LISTEN "tcp.listen"

#define READ_BYTES 16384

/*
 * A peer that vanished without closing is detected after about three seconds:
 * one of idleness and two unanswered probes. A shorter time would treat a link
 * that loses a few packets as dead.
 */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/*
 * Limits a connect only: the kernel would also reset an established connection
 * whose peer answers all probes and just doesn't read. So where bytes wait, the
 * stream itself looks for a peer that is gone.
 */
#define CONNECT_TIMEOUT_MS 3000
#define CHECK_INTERVAL_US (500 * 1000)

/*
 * Probes of a closed window come at growing intervals, and only they show that
 * the peer has vanished meanwhile. Linux 6.15 and later can limit them.
 */
#ifndef TCP_RTO_MAX_MS
#define TCP_RTO_MAX_MS 44
#endif
#define PROBE_INTERVAL_MS 1000
#define PROBE_INTERVAL_DEFAULT_MS 120000

/*
 * Time limit for the peer to close, once it has read all bytes, or to send more
 * of a body that was refused: on a slow link it may not notice for a while that
 * nobody wants the rest. The second limit holds for all of it.
 */
#define CLOSE_TIMEOUT_US (2 * G_USEC_PER_SEC)
#define MAX_CLOSE_US (15 * G_USEC_PER_SEC)

struct tcp_stream {
	GSource source; /* must be first: GLib allocates and counts it */
	int fd;
	gpointer tag;
	const struct tcp_stream_events *events;
	void *data;
	GByteArray *unsent;
	size_t unsent_offset; /* bytes of it already sent */
	GByteArray *shared;   /* sent after them, and not copied; or NULL */
	size_t shared_offset; /* bytes of it already sent */
	size_t held_bytes;    /* counted in the answers' memory */
	bool is_accepted;     /* what it sends are answers */
	bool connecting;
	int64_t opened_us; /* when the connection was established */
	bool reading;
	bool has_sent;
	int connect_errno; /* why it failed to connect; 0: it did not */
	bool finishing;	   /* without owner: sends the rest, then closes */
	bool write_closed;
	int64_t all_read_us; /* when the peer had read all bytes; 0: not yet */
	bool resets_unless_finished;
	bool is_checked;    /* bytes may be unread; see stream_check */
	bool limits_probes; /* see PROBE_INTERVAL_MS */
	struct peer_silence silence;
	struct read_progress progress; /* once finishing */
	int64_t written_bytes;
	size_t unread_bytes; /* see tcp_stream_unread_bytes; once failed */
	char peer[64];
};

/* Streams that nobody owns any more and that are not closed yet. */
static size_t finishing_count;

/* What such streams lost since tcp_stream_take_loss() was last called. */
static struct tcp_stream_loss loss;

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
}

static bool stream_has_unsent(const struct tcp_stream *stream)
{
	return tcp_stream_unsent_bytes(stream) > 0;
}

/* Sets the conditions to poll for; to be called at each change of state. */
static void stream_update_conditions(struct tcp_stream *stream)
{
	GIOCondition wanted = 0;

	if (stream->fd < 0)
		return;
	if (stream->reading || stream->write_closed)
		wanted |= G_IO_IN;
	if (stream->connecting || stream_has_unsent(stream))
		wanted |= G_IO_OUT;
	g_source_modify_unix_fd(&stream->source, stream->tag,
				wanted | G_IO_HUP | G_IO_ERR);
}

/*
 * Lets a check follow while bytes may be unread. The times of all streams fall
 * on the same moments, so that one wake-up serves many.
 */
static void stream_schedule_check(struct tcp_stream *stream)
{
	int64_t slot = g_get_monotonic_time() / CHECK_INTERVAL_US;

	if (!stream->is_checked)
		peer_silence_begin(&stream->silence, g_get_monotonic_time());
	stream->is_checked = true;
	g_source_set_ready_time(&stream->source,
				(slot + 1) * CHECK_INTERVAL_US);
}

static void stream_set_reset(struct tcp_stream *stream, bool resets)
{
	const struct linger linger = {.l_onoff = resets};

	if (stream->fd >= 0)
		(void)setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
}

/* Lets the close drop what the peer has not read: it no longer takes memory. */
static void stream_drop_unread(struct tcp_stream *stream)
{
	stream_set_reset(stream, true);
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

/* Releases a stream that nobody owns, and notes what its peer has not read. */
static void stream_abandon(struct tcp_stream *stream, const char *detail)
{
	size_t bytes = tcp_stream_unread_bytes(stream);

	if (bytes > 0) {
		loss.bytes += bytes;
		loss.detail = detail;
	}
	stream_release(stream);
}

static void stream_fail(struct tcp_stream *stream, const char *step, int number)
{
	struct error error;

	if (stream->finishing) {
		stream_abandon(stream, g_strerror(number));
		return;
	}
	stream->unread_bytes = tcp_stream_unread_bytes(stream);
	stream_close(stream);
	error_set(&error, stream_error_code(stream, number), step, stream->peer,
		  "%s", g_strerror(number));
	if (stream->events)
		stream->events->failed(stream->data, &error);
}

/* Sees to it that a peer with a closed window is probed often enough. */
static void stream_limit_probes(struct tcp_stream *stream,
				const struct tcp_info *info)
{
	bool is_closed = info->tcpi_unacked == 0 && info->tcpi_backoff > 0;

	if (!is_closed || stream->limits_probes || stream->finishing)
		return;
	stream->limits_probes = true;
	socket_set_int(stream->fd, IPPROTO_TCP, TCP_RTO_MAX_MS,
		       PROBE_INTERVAL_MS);
}

/* Reads what the kernel tells of a socket; false if it lacks fields. */
static bool socket_read_info(int fd, struct tcp_info *info)
{
	socklen_t size = sizeof(*info);

	*info = (struct tcp_info){0};
	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &size) == 0 &&
	       size >= offsetof(struct tcp_info, tcpi_pmtu);
}

/* Takes a sample of the connection; zeros where the kernel tells nothing. */
static struct peer_sample stream_sample(struct tcp_stream *stream)
{
	struct tcp_info info;

	if (!socket_read_info(stream->fd, &info))
		return (struct peer_sample){0};
	stream_limit_probes(stream, &info);
	return (struct peer_sample){
		.has_probe = info.tcpi_probes > 0,
		.has_unacked = info.tcpi_unacked > 0,
		.ack_age_us = (int64_t)info.tcpi_last_ack_recv * 1000,
		.sent_age_us = (int64_t)info.tcpi_last_data_sent * 1000,
	};
}

/* Whether the peer's system has vanished, as far as can be told. */
static bool stream_peer_is_gone(struct tcp_stream *stream)
{
	const struct peer_sample sample = stream_sample(stream);

	return peer_silence_is_over_limit(&stream->silence, &sample,
					  tcp_stream_taken_bytes(stream),
					  g_get_monotonic_time());
}

/* Whether a peer that is to read the rest takes no byte of it for too long. */
static bool stream_is_stalled(struct tcp_stream *stream)
{
	int64_t taken_bytes = tcp_stream_taken_bytes(stream);

	return stream->finishing &&
	       read_progress_note(&stream->progress, taken_bytes,
				  g_get_monotonic_time()) > READ_STALL_US;
}

/* All is read; a stream that is finishing waits for its peer's close. */
static void stream_end_checks(struct tcp_stream *stream)
{
	stream->is_checked = false;
	if (!stream->write_closed) {
		g_source_set_ready_time(&stream->source, -1);
		return;
	}
	stream->all_read_us = g_get_monotonic_time();
	g_source_set_ready_time(&stream->source,
				stream->all_read_us + CLOSE_TIMEOUT_US);
}

/* The peer of a stream that nobody owns has sent bytes, which are dropped. */
static void stream_prolong_close(struct tcp_stream *stream)
{
	int64_t now_us = g_get_monotonic_time();

	if (stream->all_read_us)
		g_source_set_ready_time(
			&stream->source,
			MIN(now_us + CLOSE_TIMEOUT_US,
			    stream->all_read_us + MAX_CLOSE_US));
}

/*
 * Ends a connection whose peer has vanished, or that nobody owns any more and
 * whose peer doesn't read.
 */
static void stream_check(struct tcp_stream *stream)
{
	if (stream->fd < 0 || tcp_stream_unread_bytes(stream) == 0) {
		stream_end_checks(stream);
		return;
	}
	stream_schedule_check(stream);
	if (stream->connecting ||
	    (!stream_peer_is_gone(stream) && !stream_is_stalled(stream)))
		return;
	stream_drop_unread(stream);
	stream_fail(stream, STEP_WRITE, ETIMEDOUT);
}

/* Counts what an accepted connection keeps until all of it is sent. */
static void stream_count_held(struct tcp_stream *stream)
{
	size_t size = stream->is_accepted ? stream->unsent->len : 0;

	answer_memory_change(stream->held_bytes, size);
	stream->held_bytes = size;
}

/* Frees bytes that are sent: an emptied array would keep its memory. */
static void stream_clear_unsent(struct tcp_stream *stream)
{
	stream->unsent_offset = 0;
	if (stream->unsent->len == 0)
		return;
	g_byte_array_unref(stream->unsent);
	stream->unsent = g_byte_array_new();
	stream_count_held(stream);
}

/*
 * Sends as much of size bytes as the socket accepts, and adds it to offset.
 * False on a broken connection.
 */
static bool stream_send(struct tcp_stream *stream, const uint8_t *bytes,
			size_t size, size_t *offset)
{
	while (size > *offset) {
		ssize_t sent = send(stream->fd, bytes + *offset, size - *offset,
				    MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		stream->has_sent = true;
		*offset += (size_t)sent;
	}
	return true;
}

static void stream_clear_shared(struct tcp_stream *stream)
{
	g_clear_pointer(&stream->shared, g_byte_array_unref);
	stream->shared_offset = 0;
}

/* Sends as much as the socket accepts; false on a broken connection. */
static bool stream_flush(struct tcp_stream *stream)
{
	if (!stream_send(stream, stream->unsent->data, stream->unsent->len,
			 &stream->unsent_offset))
		return false;
	if (stream->unsent->len > stream->unsent_offset)
		return true;
	stream_clear_unsent(stream);
	if (!stream->shared)
		return true;
	if (!stream_send(stream, stream->shared->data, stream->shared->len,
			 &stream->shared_offset))
		return false;
	if (stream->shared_offset == stream->shared->len)
		stream_clear_shared(stream);
	return true;
}

static void stream_finish_step(struct tcp_stream *stream)
{
	if (stream->write_closed || stream_has_unsent(stream))
		return;
	stream->write_closed = true;
	if (stream->resets_unless_finished)
		stream_set_reset(stream, false);
	shutdown(stream->fd, SHUT_WR);
}

static void stream_on_writable(struct tcp_stream *stream)
{
	int number = 0;
	socklen_t size = sizeof(number);
	bool waited = stream_has_unsent(stream);

	if (stream->connecting) {
		getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &number, &size);
		if (number) {
			stream->connect_errno = number;
			stream_fail(stream, STEP_CONNECT, number);
			return;
		}
		stream->connecting = false;
		stream->opened_us = g_get_monotonic_time();
		socket_set_int(stream->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
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
	else if (waited && !stream_has_unsent(stream) && stream->events &&
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
			stream_abandon(stream, "closed");
		else
			stream_prolong_close(stream);
		return;
	}
	if (size > 0) {
		stream->events->received(stream->data, bytes, (size_t)size);
		return;
	}
	stream->reading = false;
	stream->events->ended(stream->data);
}

static bool stream_is_due(struct tcp_stream *stream)
{
	int64_t ready_us = g_source_get_ready_time(&stream->source);

	return ready_us >= 0 && g_get_monotonic_time() >= ready_us;
}

static gboolean stream_dispatch(GSource *source, GSourceFunc callback,
				gpointer data)
{
	struct tcp_stream *stream = (struct tcp_stream *)source;
	GIOCondition got = g_source_query_unix_fd(source, stream->tag);

	(void)callback;
	(void)data;
	if (stream_is_due(stream)) {
		if (!stream->is_checked) {
			stream_release(stream);
			return G_SOURCE_REMOVE;
		}
		stream_check(stream);
		if (g_source_is_destroyed(source))
			return G_SOURCE_REMOVE;
		if (stream->fd < 0)
			return G_SOURCE_CONTINUE;
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
	answer_memory_change(stream->held_bytes, 0);
	g_byte_array_unref(stream->unsent);
	stream_clear_shared(stream);
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
	if (fd >= 0)
		socket_set_int(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			       CONNECT_TIMEOUT_MS);
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

	stream->is_accepted = true;
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
 * Closes at once with a reset: bytes that the peer has not read are dropped,
 * and no longer take memory. Delivers no further event.
 */
void tcp_stream_reset(struct tcp_stream *stream)
{
	stream_drop_unread(stream);
	stream_release(stream);
}

/*
 * Lets each close be a reset, unless tcp_stream_finish() has sent all bytes
 * before: the peer would take another close for the end of what it reads.
 */
void tcp_stream_reset_unless_finished(struct tcp_stream *stream)
{
	stream->resets_unless_finished = true;
	stream_set_reset(stream, true);
}

/*
 * Sends the unsent bytes, then closes; the owner must not use the stream any
 * more. Gives up if the peer takes none of them for READ_STALL_US. NULL is
 * allowed. Closing a socket with unread bytes sends a reset,
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
	/*
	 * What is left when the process ends is sent on by the kernel, which
	 * gives up at the longest interval.
	 */
	if (stream->limits_probes)
		socket_set_int(stream->fd, IPPROTO_TCP, TCP_RTO_MAX_MS,
			       PROBE_INTERVAL_DEFAULT_MS);
	stream_schedule_check(stream);
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

/*
 * Takes what streams that were given to tcp_stream_finish lost since the last
 * call: bytes that their peers had not read when the connection failed or was
 * closed, and why the last one did. Returns false if they lost none.
 */
bool tcp_stream_take_loss(struct tcp_stream_loss *taken)
{
	*taken = loss;
	loss = (struct tcp_stream_loss){0};
	return taken->bytes > 0;
}

/* Sends as many of new bytes as the socket accepts; returns their number. */
static size_t stream_send_first(struct tcp_stream *stream, const char *bytes,
				size_t size)
{
	ssize_t sent = 0;

	stream->written_bytes += (int64_t)size;
	if (!stream->is_checked)
		stream_schedule_check(stream);
	if (!stream->connecting && !stream_has_unsent(stream)) {
		sent = send(stream->fd, bytes, size, MSG_NOSIGNAL);
		if (sent > 0)
			stream->has_sent = true;
		/* The next poll detects a broken connection. */
		sent = MAX(sent, 0);
	}
	return (size_t)sent;
}

/* Copies shared bytes that are still unsent, as others are to follow them. */
static void stream_copy_shared(struct tcp_stream *stream)
{
	if (!stream->shared)
		return;
	g_byte_array_append(stream->unsent,
			    stream->shared->data + stream->shared_offset,
			    stream->shared->len - (guint)stream->shared_offset);
	stream_clear_shared(stream);
}

/* Sends the bytes, or copies them until the peer accepts them. */
void tcp_stream_write(struct tcp_stream *stream, const char *bytes, size_t size)
{
	size_t sent;

	if (stream->fd < 0 || size == 0)
		return;
	stream_copy_shared(stream);
	sent = stream_send_first(stream, bytes, size);
	if (sent == size)
		return;
	g_byte_array_append(stream->unsent, (const guint8 *)bytes + sent,
			    (guint)(size - sent));
	stream_count_held(stream);
	stream_update_conditions(stream);
}

/*
 * Sends the bytes as tcp_stream_write does, and takes ownership of them: those
 * of a large request are kept until they are sent, and not copied.
 */
void tcp_stream_take(struct tcp_stream *stream, GString *bytes)
{
	size_t size = bytes->len;

	if (stream->fd < 0 || size == 0 || stream->unsent->len > 0 ||
	    stream->shared) {
		tcp_stream_write(stream, bytes->str, size);
		g_string_free(bytes, TRUE);
		return;
	}
	stream->unsent_offset = stream_send_first(stream, bytes->str, size);
	g_byte_array_unref(stream->unsent);
	stream->unsent = g_byte_array_new_take(
		(guint8 *)g_string_free(bytes, FALSE), size);
	stream_count_held(stream);
	if (stream->unsent_offset == size)
		stream_clear_unsent(stream);
	stream_update_conditions(stream);
}

/*
 * Sends the bytes as tcp_stream_write does, and holds a reference to them
 * instead of a copy until all are sent: nobody may change them before.
 */
void tcp_stream_share(struct tcp_stream *stream, GByteArray *bytes)
{
	if (stream->fd < 0 || bytes->len == 0)
		return;
	stream_copy_shared(stream);
	stream->shared_offset = stream_send_first(
		stream, (const char *)bytes->data, bytes->len);
	if (stream->shared_offset < bytes->len)
		stream->shared = g_byte_array_ref(bytes);
	else
		stream->shared_offset = 0;
	stream_update_conditions(stream);
}

/* Number of bytes written to the stream but not yet sent. */
size_t tcp_stream_unsent_bytes(const struct tcp_stream *stream)
{
	size_t bytes = stream->unsent->len - stream->unsent_offset;

	return stream->shared
		       ? bytes + stream->shared->len - stream->shared_offset
		       : bytes;
}

/*
 * Number of bytes whose memory is kept: sent ones too, until all are sent. 0
 * only if none is unsent.
 */
size_t tcp_stream_kept_bytes(const struct tcp_stream *stream)
{
	return stream->unsent->len + (stream->shared ? stream->shared->len : 0);
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

/*
 * Number of bytes written to the stream since its begin that the peer's system
 * has acknowledged.
 */
int64_t tcp_stream_taken_bytes(const struct tcp_stream *stream)
{
	return stream->written_bytes - (int64_t)tcp_stream_unread_bytes(stream);
}

/* Bytes of the peer that wait in the socket to be read. */
static size_t stream_waiting_bytes(const struct tcp_stream *stream)
{
	int size = 0;

	if (stream->fd < 0 || ioctl(stream->fd, FIONREAD, &size) != 0)
		return 0;
	return (size_t)MAX(size, 0);
}

/* Whether bytes of the peer wait in the socket to be read. */
bool tcp_stream_has_unread(const struct tcp_stream *stream)
{
	return stream_waiting_bytes(stream) > 0;
}

/*
 * Delivers what waits in the socket now, an end included, unless reading is
 * stopped: to be called before a time limit ends the connection, as the peer
 * may have met it. A peer that goes on sending can't prolong this. The stream
 * may be destroyed on return.
 */
void tcp_stream_read_waiting(struct tcp_stream *stream)
{
	size_t reads = stream_waiting_bytes(stream) / READ_BYTES + 2;

	g_source_ref(&stream->source);
	for (size_t i = 0; i < reads; i++) {
		if (stream->fd < 0 || stream->connecting || !stream->reading)
			break;
		stream_on_readable(stream);
	}
	if (!g_source_is_destroyed(&stream->source))
		stream_update_conditions(stream);
	g_source_unref(&stream->source);
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
 * Whether the system tells when a peer last answered. Where it doesn't, a peer
 * that has vanished with bytes unread is found out after READ_STALL_US.
 */
bool tcp_tells_ages(void)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct tcp_info info;
	bool tells;

	if (fd < 0)
		return false;
	tells = socket_read_info(fd, &info);
	close(fd);
	return tells;
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
	    listen(fd, TCP_LISTEN_BACKLOG) == 0)
		return fd;
	error_set(error, ERROR_UNREACHABLE, STEP_LISTEN, address, "%s",
		  g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}
