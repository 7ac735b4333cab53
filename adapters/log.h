#ifndef ADAPTERS_LOG_H
#define ADAPTERS_LOG_H

#include "core/base/error.h"
#include "ports/action.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Writes one line of key=value pairs for each event to standard output, through
 * log4c, without ever blocking on the reader. Values with spaces, quotes or
 * control characters are quoted and escaped, so that no caller's input can
 * forge a line or a field.
 */
struct log;

struct log *log_create(const char *node_name, enum log_level min_level);
void log_destroy(struct log *log);
void log_set_level(struct log *log, enum log_level min_level);
void log_write(struct log *log, enum log_level level, const char *event,
	       ...) G_GNUC_NULL_TERMINATED;
void log_write_action(struct log *log, const struct action_log *action);
void log_write_error(struct log *log, enum log_level level, const char *event,
		     const struct error *error);
char *log_format(const char *event, const GPtrArray *fields);

G_END_DECLS

#endif
