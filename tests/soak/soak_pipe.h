#ifndef TESTS_SOAK_SOAK_PIPE_H
#define TESTS_SOAK_SOAK_PIPE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One direction of a connection through the proxy: buffered bytes in order,
 * each with the earliest time at which it may be sent, followed by the way in
 * which the sender ended. The buffer is bounded; bytes that don't fit stay in
 * the sender's socket.
 */
struct soak_pipe;

enum soak_pipe_end { SOAK_PIPE_OPEN, SOAK_PIPE_CLOSED, SOAK_PIPE_RESET };

struct soak_pipe *soak_pipe_create(void);
void soak_pipe_destroy(struct soak_pipe *pipe);

size_t soak_pipe_free_bytes(const struct soak_pipe *pipe);
void soak_pipe_add(struct soak_pipe *pipe, const char *bytes, size_t size,
		   int64_t due_us);
void soak_pipe_set_end(struct soak_pipe *pipe, enum soak_pipe_end end,
		       int64_t due_us);
void soak_pipe_discard(struct soak_pipe *pipe);

enum soak_pipe_end soak_pipe_get_end(const struct soak_pipe *pipe);
bool soak_pipe_is_empty(const struct soak_pipe *pipe);
int64_t soak_pipe_due_us(const struct soak_pipe *pipe);
const char *soak_pipe_peek(const struct soak_pipe *pipe, size_t *size);
void soak_pipe_consume(struct soak_pipe *pipe, size_t size);

G_END_DECLS

#endif
