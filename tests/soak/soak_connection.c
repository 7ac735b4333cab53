#include "tests/soak/soak_connection.h"

#include "tests/soak/soak_pipe.h"
#include "tests/soak/soak_socket.h"

#include <string.h>

/* An unsolicited answer, which looks like that to the next request. */
#define STRAY_ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"

#define READ_BYTES 16384

enum { CLIENT, TARGET, SIDES };

struct side {
	GSocket *socket;
	gpointer tag; /* of the fd in the source; NULL: not polled */
	GIOCondition polled;
	struct soak_pipe *sent; /* bytes received from this side */
	int64_t next_byte_us;	/* to this side, with SOAK_LINK_TRICKLE */
	bool shutdown_sent;	/* the end of the other side was forwarded */
	bool reset_sent;	/* it was forwarded as a reset */
	bool failed;		/* nothing more can be sent to this side */
};

struct soak_connection {
	GSource *source;
	struct side sides[SIDES];
	const struct soak_link *link;
	bool connecting;
	bool silent;	      /* forwards nothing, until the connection ends */
	bool answered;	      /* the last bytes forwarded went to the client */
	int64_t last_sent_us; /* time of the last bytes forwarded */
	soak_connection_ended ended;
	void *data;
};

struct connection_source {
	GSource base;
	struct soak_connection *connection;
};

static bool link_blocks(const struct soak_connection *connection, int from)
{
	if (connection->silent)
		return true;
	return from == CLIENT ? soak_link_holds_forward(connection->link)
			      : soak_link_holds_back(connection->link);
}

static int64_t forward_due_us(const struct soak_connection *connection,
			      int64_t now_us)
{
	if (connection->link->kind == SOAK_LINK_DELAY)
		return now_us + connection->link->delay_us;
	return now_us;
}

/*
 * Marks a side as failed: discards what was to be sent to it, and forwards a
 * reset to the other side as soon as the link lets it through.
 */
static void side_fail(struct soak_connection *connection, int from,
		      int64_t now_us)
{
	struct side *side = &connection->sides[from];

	side->failed = true;
	soak_pipe_discard(connection->sides[1 - from].sent);
	soak_pipe_set_end(side->sent, SOAK_PIPE_RESET,
			  forward_due_us(connection, now_us));
}

/* Reads from a side as much as fits into its pipe. */
static void side_read(struct soak_connection *connection, int from,
		      int64_t now_us)
{
	struct side *side = &connection->sides[from];
	char bytes[READ_BYTES];
	size_t free_bytes =
		MIN(soak_pipe_free_bytes(side->sent), sizeof(bytes));
	g_autoptr(GError) error = NULL;
	gssize got;

	if (free_bytes == 0 || soak_pipe_get_end(side->sent) != SOAK_PIPE_OPEN)
		return;
	got = g_socket_receive(side->socket, bytes, free_bytes, NULL, &error);
	if (got > 0 && !connection->sides[1 - from].failed) {
		soak_pipe_add(side->sent, bytes, (size_t)got,
			      forward_due_us(connection, now_us));
		if (from == CLIENT)
			connection->answered = false;
	} else if (got == 0) {
		soak_pipe_set_end(side->sent, SOAK_PIPE_CLOSED,
				  forward_due_us(connection, now_us));
	} else if (got < 0 &&
		   !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		side_fail(connection, from, now_us);
}

/* Forwards one chunk to a side; false: nothing more can be sent now. */
static bool side_write(struct soak_connection *connection, int to,
		       int64_t now_us)
{
	struct side *side = &connection->sides[to];
	struct soak_pipe *pipe = connection->sides[1 - to].sent;
	bool trickles = connection->link->kind == SOAK_LINK_TRICKLE;
	g_autoptr(GError) error = NULL;
	const char *bytes;
	size_t size;
	gssize sent;

	bytes = soak_pipe_peek(pipe, &size);
	if (!bytes || soak_pipe_due_us(pipe) > now_us ||
	    (trickles && side->next_byte_us > now_us))
		return false;
	sent = g_socket_send(side->socket, bytes, trickles ? 1 : size, NULL,
			     &error);
	if (sent > 0) {
		soak_pipe_consume(pipe, (size_t)sent);
		side->next_byte_us = now_us + connection->link->delay_us;
		connection->answered = to == CLIENT;
		connection->last_sent_us = now_us;
		return true;
	}
	if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		side_fail(connection, to, now_us);
	return false;
}

/*
 * Whether the end of the other side has been forwarded. A reset is forwarded
 * even after a close: a party that has closed and still receives bytes answers
 * with a reset, and the sender must get it in order to stop.
 */
static bool side_end_is_forwarded(const struct soak_connection *connection,
				  int to)
{
	const struct side *side = &connection->sides[to];
	const struct soak_pipe *pipe = connection->sides[1 - to].sent;

	return side->reset_sent || (side->shutdown_sent &&
				    soak_pipe_get_end(pipe) != SOAK_PIPE_RESET);
}

/* Forwards the end of the other side, after the last bytes. */
static void side_forward_end(struct soak_connection *connection, int to,
			     int64_t now_us)
{
	struct side *side = &connection->sides[to];
	const struct soak_pipe *pipe = connection->sides[1 - to].sent;

	if (side_end_is_forwarded(connection, to) ||
	    !soak_pipe_is_empty(pipe) || soak_pipe_due_us(pipe) > now_us)
		return;
	side->shutdown_sent = true;
	side->reset_sent = soak_pipe_get_end(pipe) == SOAK_PIPE_RESET;
	if (side->reset_sent)
		soak_socket_reset(side->socket);
	else if (!side->failed)
		g_socket_shutdown(side->socket, FALSE, TRUE, NULL);
}

static void connection_forward(struct soak_connection *connection, int from,
			       int64_t now_us)
{
	if (link_blocks(connection, from))
		return;
	if (connection->connecting && from == CLIENT)
		return;
	while (side_write(connection, 1 - from, now_us))
		continue;
	side_forward_end(connection, 1 - from, now_us);
}

static int64_t stray_due_us(const struct soak_connection *connection)
{
	if (connection->link->kind != SOAK_LINK_UNSOLICITED ||
	    !connection->answered ||
	    soak_pipe_get_end(connection->sides[TARGET].sent) != SOAK_PIPE_OPEN)
		return INT64_MAX;
	return connection->last_sent_us + connection->link->delay_us;
}

static void add_stray_answer(struct soak_connection *connection, int64_t now_us)
{
	if (stray_due_us(connection) > now_us)
		return;
	soak_pipe_add(connection->sides[TARGET].sent, STRAY_ANSWER,
		      strlen(STRAY_ANSWER), now_us);
	connection_forward(connection, TARGET, now_us);
	connection->answered = false;
}

static void finish_connect(struct soak_connection *connection, int64_t now_us)
{
	struct side *target = &connection->sides[TARGET];

	if (!(g_socket_condition_check(target->socket,
				       G_IO_OUT | G_IO_ERR | G_IO_HUP)))
		return;
	connection->connecting = false;
	if (!g_socket_check_connect_result(target->socket, NULL))
		side_fail(connection, TARGET, now_us);
}

/* Whether nothing more has to be forwarded to a side. */
static bool side_is_finished(const struct soak_connection *connection, int i)
{
	const struct side *side = &connection->sides[i];

	return connection->silent
		       ? soak_pipe_get_end(side->sent) != SOAK_PIPE_OPEN
		       : side->shutdown_sent ||
				 g_socket_is_closed(side->socket);
}

static bool connection_is_finished(const struct soak_connection *connection)
{
	if (side_is_finished(connection, CLIENT) &&
	    side_is_finished(connection, TARGET))
		return true;
	/* If one side is closed here, the other one has been reset. */
	return g_socket_is_closed(connection->sides[CLIENT].socket) ||
	       g_socket_is_closed(connection->sides[TARGET].socket);
}

static GIOCondition poll_condition(const struct soak_connection *connection,
				   int i, int64_t now_us)
{
	const struct side *side = &connection->sides[i];
	const struct soak_pipe *pipe = connection->sides[1 - i].sent;
	GIOCondition condition = 0;

	if (connection->connecting && i == TARGET)
		return G_IO_OUT;
	if (soak_pipe_free_bytes(side->sent) > 0 &&
	    soak_pipe_get_end(side->sent) == SOAK_PIPE_OPEN)
		condition |= G_IO_IN;
	if (!link_blocks(connection, 1 - i) && !side->failed &&
	    connection->link->kind != SOAK_LINK_TRICKLE &&
	    !soak_pipe_is_empty(pipe) && soak_pipe_due_us(pipe) <= now_us)
		condition |= G_IO_OUT;
	return condition;
}

/*
 * A socket that waits for nothing is not polled: its hang-up would be delivered
 * again and again.
 */
static void side_poll(struct soak_connection *connection, int i, int64_t now_us)
{
	struct side *side = &connection->sides[i];
	GIOCondition condition = poll_condition(connection, i, now_us);

	if (side->tag && condition == side->polled)
		return;
	if (side->tag)
		g_source_remove_unix_fd(connection->source, side->tag);
	side->tag = NULL;
	side->polled = condition;
	if (condition)
		side->tag = g_source_add_unix_fd(connection->source,
						 g_socket_get_fd(side->socket),
						 condition);
}

/* When the next delayed byte may be sent to a side; INT64_MAX: not by time. */
static int64_t side_due_us(const struct soak_connection *connection, int to,
			   int64_t now_us)
{
	const struct side *side = &connection->sides[to];
	int64_t due_us = soak_pipe_due_us(connection->sides[1 - to].sent);

	if (link_blocks(connection, 1 - to) ||
	    side_end_is_forwarded(connection, to) ||
	    (connection->connecting && to == TARGET))
		return INT64_MAX;
	if (connection->link->kind == SOAK_LINK_TRICKLE && due_us <= now_us)
		return side->next_byte_us;
	return due_us <= now_us ? INT64_MAX : due_us; /* due: poll */
}

static void schedule_next(struct soak_connection *connection, int64_t now_us)
{
	int64_t due_us = stray_due_us(connection);

	for (int i = 0; i < SIDES; i++) {
		side_poll(connection, i, now_us);
		due_us = MIN(due_us, side_due_us(connection, i, now_us));
	}
	g_source_set_ready_time(connection->source,
				due_us == INT64_MAX ? -1 : due_us);
}

static gboolean connection_dispatch(GSource *source,
				    GSourceFunc callback G_GNUC_UNUSED,
				    gpointer data G_GNUC_UNUSED)
{
	struct soak_connection *connection =
		((struct connection_source *)source)->connection;
	int64_t now_us = g_get_monotonic_time();

	if (connection->connecting)
		finish_connect(connection, now_us);
	side_read(connection, CLIENT, now_us);
	if (!connection->connecting)
		side_read(connection, TARGET, now_us);
	connection_forward(connection, CLIENT, now_us);
	connection_forward(connection, TARGET, now_us);
	add_stray_answer(connection, now_us);
	if (connection_is_finished(connection))
		connection->ended(connection->data, connection);
	else
		schedule_next(connection, now_us);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_functions = {.dispatch = connection_dispatch};

/*
 * Starts to connect. A refusal may arrive at once or when the socket is polled;
 * the client then gets a reset, as from a host without a listener on that port.
 */
static void start_connect(struct soak_connection *connection,
			  GSocketAddress *target)
{
	g_autoptr(GError) error = NULL;

	if (g_socket_connect(connection->sides[TARGET].socket, target, NULL,
			     &error))
		return;
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING))
		connection->connecting = true;
	else
		side_fail(connection, TARGET, g_get_monotonic_time());
}

static void side_open(struct side *side, GSocket *socket)
{
	side->socket = socket;
	side->sent = soak_pipe_create();
	soak_socket_configure(socket);
}

/*
 * Connects from source to the target, and takes ownership of the client's
 * socket. Returns NULL, after a reset to the client, if this process has no
 * socket left. The link must outlive the connection, which reads it at each
 * event.
 */
struct soak_connection *
soak_connection_create(GSocket *client, GSocketAddress *source,
		       GSocketAddress *target, const struct soak_link *link,
		       soak_connection_ended ended, void *data)
{
	struct soak_connection *connection;
	GSocket *socket = soak_socket_open(source);

	if (!socket) {
		soak_socket_reset(client);
		g_object_unref(client);
		return NULL;
	}
	connection = g_new0(struct soak_connection, 1);
	connection->link = link;
	connection->ended = ended;
	connection->data = data;
	side_open(&connection->sides[CLIENT], client);
	side_open(&connection->sides[TARGET], socket);
	connection->source = g_source_new(&source_functions,
					  sizeof(struct connection_source));
	((struct connection_source *)connection->source)->connection =
		connection;
	start_connect(connection, target);
	g_source_set_ready_time(connection->source, 0);
	g_source_attach(connection->source, NULL);
	return connection;
}

/* Closes both sides and frees the connection; NULL is allowed. */
void soak_connection_destroy(struct soak_connection *connection)
{
	if (!connection)
		return;
	g_source_destroy(connection->source);
	g_source_unref(connection->source);
	for (int i = 0; i < SIDES; i++) {
		g_socket_close(connection->sides[i].socket, NULL);
		g_object_unref(connection->sides[i].socket);
		soak_pipe_destroy(connection->sides[i].sent);
	}
	g_free(connection);
}

/*
 * Applies a changed kind or delay of the link. SOAK_LINK_SILENT applies to the
 * connection until it ends, whatever the link becomes later.
 */
void soak_connection_link_changed(struct soak_connection *connection)
{
	if (connection->link->kind == SOAK_LINK_SILENT)
		connection->silent = true;
	g_source_set_ready_time(connection->source, 0);
}

/* Resets both sides at once, and destroys the connection. */
void soak_connection_reset(struct soak_connection *connection)
{
	for (int i = 0; i < SIDES; i++)
		soak_socket_reset(connection->sides[i].socket);
	soak_connection_destroy(connection);
}
