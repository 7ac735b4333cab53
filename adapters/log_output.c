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
	GByteArray *kept;
	uint64_t dropped;
	uint64_t dropped_since; /* not yet told */
	guint source;
	bool is_waiting_kind; /* a pipe or socket, whose reader may stop */
};

/*
 * Writes go to fd, which stays the caller's. Only a pipe or a socket is made
 * not to block: a terminal's setting is shared with the shell that owns it,
 * and a file takes what it gets.
 */
struct log_output *log_output_create(int fd, size_t max_bytes)
{
	struct log_output *output = g_new0(struct log_output, 1);
	struct stat status;
	int flags = fcntl(fd, F_GETFL);

	output->fd = fd;
	output->max_bytes = max_bytes;
	output->kept = g_byte_array_new();
	if (fstat(fd, &status) == 0 && flags >= 0 &&
	    (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode)))
		output->is_waiting_kind =
			fcntl(fd, F_SETFL, flags | O_NONBLOCK) == 0;
	return output;
}

/* Writes what still can be written and frees; NULL is allowed. */
void log_output_destroy(struct log_output *output)
{
	if (!output)
		return;
	if (output->source)
		g_source_remove(output->source);
	if (output->kept->len > 0 &&
	    write(output->fd, output->kept->data, output->kept->len) < 0)
		output->dropped++;
	g_byte_array_unref(output->kept);
	g_free(output);
}

static void output_tell_dropped(struct log_output *output)
{
	char line[64];

	if (output->dropped_since == 0)
		return;
	g_snprintf(line, sizeof(line),
		   "event=log_dropped lines=%" G_GUINT64_FORMAT "\n",
		   output->dropped_since);
	output->dropped_since = 0;
	g_byte_array_append(output->kept, (const guint8 *)line,
			    (guint)strlen(line));
}

/* True when all that was kept is written. */
static bool output_flush(struct log_output *output)
{
	while (output->kept->len > 0) {
		ssize_t size = write(output->fd, output->kept->data,
				     output->kept->len);

		if (size < 0 && errno == EINTR)
			continue;
		if (size <= 0)
			return false;
		g_byte_array_remove_range(output->kept, 0, (guint)size);
		if (output->kept->len == 0)
			output_tell_dropped(output);
	}
	return true;
}

static gboolean on_writable(gint fd, GIOCondition condition, gpointer data)
{
	struct log_output *output = data;

	(void)fd;
	/* Without a reader nothing more can be told to anybody. */
	if (!(condition & (G_IO_ERR | G_IO_HUP)) && !output_flush(output))
		return G_SOURCE_CONTINUE;
	output->source = 0;
	return G_SOURCE_REMOVE;
}

static void output_drop(struct log_output *output)
{
	output->dropped++;
	output->dropped_since++;
}

/* Writes one line, or keeps it, or drops and counts it. */
void log_output_write(struct log_output *output, const char *line, size_t size)
{
	ssize_t written;

	if (output->kept->len == 0) {
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
	if (output->kept->len + size > output->max_bytes) {
		output_drop(output);
		return;
	}
	g_byte_array_append(output->kept, (const guint8 *)line, (guint)size);
	if (!output->source)
		output->source = g_unix_fd_add(output->fd, G_IO_OUT,
					       on_writable, output);
}

/* Lines dropped so far. */
uint64_t log_output_dropped(const struct log_output *output)
{
	return output->dropped;
}
