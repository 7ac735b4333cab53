#ifndef ADAPTERS_LOG_OUTPUT_H
#define ADAPTERS_LOG_OUTPUT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Lines written to a descriptor without ever waiting for its reader. What the
 * reader hasn't taken is kept up to a bound; lines beyond it are dropped and
 * counted, and the count is written as a line once there is room again.
 */
struct log_output;

struct log_output *log_output_create(int fd, size_t max_bytes);
void log_output_destroy(struct log_output *output);
void log_output_write(struct log_output *output, const char *line, size_t size);
uint64_t log_output_dropped(const struct log_output *output);

G_END_DECLS

#endif
