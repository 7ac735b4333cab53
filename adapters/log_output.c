#include "adapters/log_output.h"

#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <stdbool.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

struct log_output {
	int fd;
	size_t max_bytes;
	GByteArray *buffer;
	uint64_t dropped;
	uint64_t dropped_unlogged; /* not yet written as a line */
	guint source;
	bool is_nonblocking; /* a pipe or socket, whose reader may stop */
};

/*
 * Creates an output that writes to fd, which the caller keeps and closes, and
 * buffers at most max_bytes. Only a pipe or a socket is set to non-blocking:
 * the flags of a terminal are shared with the shell that owns it, and a write
 * to a file does not wait for a reader.
 */
struct log_output *log_output_create(int fd, size_t max_bytes)
{
	struct log_output *output = g_new0(struct log_output, 1);
	struct stat status;
	int flags = fcntl(fd, F_GETFL);

	output->fd = fd;
	output->max_bytes = max_bytes;
	output->buffer = g_byte_array_new();
	if (fstat(fd, &status) == 0 && flags >= 0 &&
	    (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode)))
		output->is_nonblocking =
			fcntl(fd, F_SETFL, flags | O_NONBLOCK) == 0;
	return output;
}

/* Tries once to write the buffer, then frees the output. NULL is allowed. */
void log_output_destroy(struct log_output *output)
{
	if (!output)
		return;
	if (output->source)
		g_source_remove(output->source);
	if (output->buffer->len > 0 &&
	    write(output->fd, output->buffer->data, output->buffer->len) < 0)
		output->dropped++;
	g_byte_array_unref(output->buffer);
	g_free(output);
}

static void output_append_dropped(struct log_output *output)
{
	char line[64];

	if (output->dropped_unlogged == 0)
		return;
	g_snprintf(line, sizeof(line),
		   "event=log_dropped lines=%" G_GUINT64_FORMAT "\n",
		   output->dropped_unlogged);
	output->dropped_unlogged = 0;
	g_byte_array_append(output->buffer, (const guint8 *)line,
			    (guint)strlen(line));
}

/* Writes the buffer; returns true once it is empty. */
static bool output_flush(struct log_output *output)
{
	while (output->buffer->len > 0) {
		ssize_t size = write(output->fd, output->buffer->data,
				     output->buffer->len);

		if (size < 0 && errno == EINTR)
			continue;
		if (size <= 0)
			return false;
		g_byte_array_remove_range(output->buffer, 0, (guint)size);
		if (output->buffer->len == 0)
			output_append_dropped(output);
	}
	return true;
}

static gboolean on_writable(gint fd, GIOCondition condition, gpointer data)
{
	struct log_output *output = data;

	(void)fd;
	/* After an error or a hangup there is no reader left to write to. */
	if (!(condition & (G_IO_ERR | G_IO_HUP)) && !output_flush(output))
		return G_SOURCE_CONTINUE;
	output->source = 0;
	return G_SOURCE_REMOVE;
}

static void output_drop(struct log_output *output)
{
	output->dropped++;
	output->dropped_unlogged++;
}

/*
 * Writes one line of size bytes. What cannot be written now is buffered; if the
 * buffer is full, it is dropped and counted.
 */
void log_output_write(struct log_output *output, const char *line, size_t size)
{
	ssize_t written;

	if (output->buffer->len == 0) {
		written = write(output->fd, line, size);
		if (written == (ssize_t)size)
			return;
		if (written > 0) {
			line += written;
			size -= (size_t)written;
		} else if (errno != EAGAIN && errno != EINTR) {
			output_drop(output);
			return;
		}
	}
	if (output->buffer->len + size > output->max_bytes) {
		output_drop(output);
		return;
	}
	g_byte_array_append(output->buffer, (const guint8 *)line, (guint)size);
	if (!output->source)
		output->source = g_unix_fd_add(output->fd, G_IO_OUT,
					       on_writable, output);
}

/* Returns the number of lines dropped so far. */
uint64_t log_output_dropped(const struct log_output *output)
{
	return output->dropped;
}
