#include "tests/soak/soak_pipe.h"

#include <glib.h>
#include <string.h>

/* About what a socket buffers on a slow link; every soak request fits. */
#define PIPE_BYTES ((size_t)64 * 1024)

struct piece {
	char *bytes;
	size_t size;
	size_t sent;
	int64_t due_us;
};

struct soak_pipe {
	GQueue pieces; /* struct piece */
	size_t held_bytes;
	int64_t last_due_us; /* later pieces are not due earlier */
	enum soak_pipe_end end;
	int64_t end_due_us;
};

/* Creates an empty pipe with an open sender; the caller owns it. */
struct soak_pipe *soak_pipe_create(void)
{
	struct soak_pipe *pipe = g_new0(struct soak_pipe, 1);

	g_queue_init(&pipe->pieces);
	return pipe;
}

static void piece_free(gpointer data)
{
	struct piece *piece = data;

	g_free(piece->bytes);
	g_free(piece);
}

/* Frees the pipe and the buffered bytes; NULL is allowed. */
void soak_pipe_destroy(struct soak_pipe *pipe)
{
	if (!pipe)
		return;
	g_queue_clear_full(&pipe->pieces, piece_free);
	g_free(pipe);
}

/* Returns how many more bytes fit into the pipe. */
size_t soak_pipe_free_bytes(const struct soak_pipe *pipe)
{
	return pipe->held_bytes < PIPE_BYTES ? PIPE_BYTES - pipe->held_bytes
					     : 0;
}

/* Appends a copy of the bytes, to be sent at due_us at the earliest. */
void soak_pipe_add(struct soak_pipe *pipe, const char *bytes, size_t size,
		   int64_t due_us)
{
	struct piece *piece = g_new0(struct piece, 1);

	pipe->last_due_us = MAX(pipe->last_due_us, due_us);
	piece->bytes = g_memdup2(bytes, size);
	piece->size = size;
	piece->due_us = pipe->last_due_us;
	g_queue_push_tail(&pipe->pieces, piece);
	pipe->held_bytes += size;
}

/*
 * Records how the sender ended. The first call counts, except that a reset
 * replaces a close: a sender that closed its side may still reset later.
 */
void soak_pipe_set_end(struct soak_pipe *pipe, enum soak_pipe_end end,
		       int64_t due_us)
{
	if (pipe->end == SOAK_PIPE_RESET ||
	    (pipe->end == SOAK_PIPE_CLOSED && end != SOAK_PIPE_RESET))
		return;
	pipe->end = end;
	pipe->end_due_us = MAX(pipe->last_due_us, due_us);
}

/* Discards the buffered bytes because the receiver is gone. */
void soak_pipe_discard(struct soak_pipe *pipe)
{
	g_queue_clear_full(&pipe->pieces, piece_free);
	pipe->held_bytes = 0;
}

/* Returns how the sender ended, also while bytes are still buffered. */
enum soak_pipe_end soak_pipe_get_end(const struct soak_pipe *pipe)
{
	return pipe->end;
}

/* Returns whether no bytes are buffered. */
bool soak_pipe_is_empty(const struct soak_pipe *pipe)
{
	return g_queue_is_empty((GQueue *)&pipe->pieces);
}

/* Returns when the next bytes or the end are due; INT64_MAX: nothing is. */
int64_t soak_pipe_due_us(const struct soak_pipe *pipe)
{
	const struct piece *first = g_queue_peek_head((GQueue *)&pipe->pieces);

	if (first)
		return first->due_us;
	return pipe->end == SOAK_PIPE_OPEN ? INT64_MAX : pipe->end_due_us;
}

/* Returns the next bytes, which the pipe owns, or NULL if there are none. */
const char *soak_pipe_peek(const struct soak_pipe *pipe, size_t *size)
{
	const struct piece *first = g_queue_peek_head((GQueue *)&pipe->pieces);

	if (!first)
		return NULL;
	*size = first->size - first->sent;
	return first->bytes + first->sent;
}

/* Removes up to all of the bytes that soak_pipe_peek returned. */
void soak_pipe_consume(struct soak_pipe *pipe, size_t size)
{
	struct piece *first = g_queue_peek_head(&pipe->pieces);

	first->sent += size;
	pipe->held_bytes -= size;
	if (first->sent == first->size)
		piece_free(g_queue_pop_head(&pipe->pieces));
}
