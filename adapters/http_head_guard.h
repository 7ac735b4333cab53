#ifndef ADAPTERS_HTTP_HEAD_GUARD_H
#define ADAPTERS_HTTP_HEAD_GUARD_H

#include <glib.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/*
 * libsoup ends an answer's head at the close of the connection as well as at
 * its empty line, and does not tell which. On the connections of a guarded
 * session a close before the empty line is a read error instead. So is a status
 * that codec/status_line takes for none: libsoup passes on 600 to 999, and
 * waits behind a 101 for what its peer does not send. So are interim answers
 * without end, of which libsoup reads any number.
 */
void http_head_guard_add(SoupSession *session);
char *http_head_guard_error_text(const GError *error);

G_END_DECLS

#endif
