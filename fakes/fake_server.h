#ifndef FAKES_FAKE_SERVER_H
#define FAKES_FAKE_SERVER_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <popt.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The HTTP server that all fakes share: it parses the command line, prints
 * `listening ADDRESS` to standard output once it is ready, ends on SIGTERM,
 * sets modes by POST /fake/mode, and can simulate a link that stalls without
 * closing. It runs in the default main context.
 */
struct fake_server;

enum fake_mode_type { FAKE_MODE_BOOL, FAKE_MODE_INT, FAKE_MODE_STRING };

/*
 * A setting of POST /fake/mode. value points to a bool, an int64_t or a char *;
 * a replaced string is freed with g_free.
 */
struct fake_mode {
	const char *name;
	enum fake_mode_type type;
	void *value;
};

/* A line of a fake's metrics. */
struct fake_metric {
	const char *name;
	int64_t value;
};

typedef void (*fake_server_handler)(void *data, SoupServerMessage *message,
				    const char *path);
typedef void (*fake_server_callback)(void *data);

struct fake_server *fake_server_create(int argc, const char **argv,
				       struct poptOption *options);
void fake_server_destroy(struct fake_server *server);
void fake_server_add_handler(struct fake_server *server, const char *path,
			     fake_server_handler handler, void *data);
void fake_server_set_modes(struct fake_server *server,
			   const struct fake_mode *modes, size_t count,
			   fake_server_callback changed, void *data);
int fake_server_run(struct fake_server *server);
const char *fake_server_address(const struct fake_server *server);

void fake_server_stall_link(struct fake_server *server, int64_t stall_ms);
bool fake_server_link_stalled(const struct fake_server *server);

JsonObject *fake_message_read_json(SoupServerMessage *message);
void fake_message_answer_json(SoupServerMessage *message, unsigned status,
			      JsonBuilder *builder);
void fake_message_answer_text(SoupServerMessage *message, unsigned status,
			      const char *text);
void fake_message_answer_metrics(SoupServerMessage *message,
				 const struct fake_metric *metrics,
				 size_t count);
const char *fake_message_header(SoupServerMessage *message, const char *name);
void fake_message_close_connection(SoupServerMessage *message);
void fake_message_set_reset(SoupServerMessage *message, bool is_reset);
void fake_message_reset_connection(SoupServerMessage *message);
GSource *fake_message_on_disconnect(SoupServerMessage *message,
				    fake_server_callback closed, void *data);

G_END_DECLS

#endif
