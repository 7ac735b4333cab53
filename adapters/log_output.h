#ifndef ADAPTERS_LOG_OUTPUT_H
#define ADAPTERS_LOG_OUTPUT_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Writes lines to a descriptor without ever blocking on its reader. Lines that
 * cannot be written yet are buffered up to a limit. Lines beyond it are dropped
 * and counted, and the count is written as a line once the buffer is empty.
 */
struct log_output;

struct log_output *log_output_create(int fd, size_t max_bytes);
void log_output_destroy(struct log_output *output);
void log_output_write(struct log_output *output, const char *line, size_t size);
uint64_t log_output_dropped(const struct log_output *output);

G_END_DECLS

#endif
