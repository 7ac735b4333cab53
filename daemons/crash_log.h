#ifndef DAEMONS_CRASH_LOG_H
#define DAEMONS_CRASH_LOG_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Writes a line to the log when a signal of a fault ends the process, which
 * then ends as without it. Nothing of the process's state is used for the line.
 */
void crash_log_install(const char *node_name);

G_END_DECLS

#endif
