#include "tests/soak/soak_pipe.h"

#include <glib.h>
#include <string.h>

/* As much as a socket holds on a slow link; enough for any request here. */
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
	int64_t last_due_us; /* nothing may overtake what was added before */
	enum soak_pipe_end end;
	int64_t end_due_us;
};

/* Empty, its sender still there. */
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

/* NULL is allowed. */
void soak_pipe_destroy(struct soak_pipe *pipe)
{
	if (!pipe)
		return;
	g_queue_clear_full(&pipe->pieces, piece_free);
	g_free(pipe);
}

/* How many bytes it takes in now. */
size_t soak_pipe_room(const struct soak_pipe *pipe)
{
	return pipe->held_bytes < PIPE_BYTES ? PIPE_BYTES - pipe->held_bytes
					     : 0;
}

/* Appends a copy of the bytes; they leave at due_us at the earliest. */
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
 * The sender has ended; the first word of it holds, but one that had closed may
 * turn out to be gone.
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

/* Throws away what is held: its receiver is gone. */
void soak_pipe_discard(struct soak_pipe *pipe)
{
	g_queue_clear_full(&pipe->pieces, piece_free);
	pipe->held_bytes = 0;
}

/* How the sender has ended, also while bytes of it are still held. */
enum soak_pipe_end soak_pipe_get_end(const struct soak_pipe *pipe)
{
	return pipe->end;
}

/* Whether no bytes are held. */
bool soak_pipe_is_empty(const struct soak_pipe *pipe)
{
	return g_queue_is_empty((GQueue *)&pipe->pieces);
}

/* When its next bytes, or its end, may leave; INT64_MAX: there is nothing. */
int64_t soak_pipe_due_us(const struct soak_pipe *pipe)
{
	const struct piece *first = g_queue_peek_head((GQueue *)&pipe->pieces);

	if (first)
		return first->due_us;
	return pipe->end == SOAK_PIPE_OPEN ? INT64_MAX : pipe->end_due_us;
}

/* The next bytes, which stay the pipe's; NULL: none. */
const char *soak_pipe_peek(const struct soak_pipe *pipe, size_t *size)
{
	const struct piece *first = g_queue_peek_head((GQueue *)&pipe->pieces);

	if (!first)
		return NULL;
	*size = first->size - first->sent;
	return first->bytes + first->sent;
}

/* Takes bytes off that soak_pipe_peek gave. */
void soak_pipe_drop(struct soak_pipe *pipe, size_t size)
{
	struct piece *first = g_queue_peek_head(&pipe->pieces);

	first->sent += size;
	pipe->held_bytes -= size;
	if (first->sent == first->size)
		piece_free(g_queue_pop_head(&pipe->pieces));
}
