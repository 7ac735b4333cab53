#ifndef FAKES_ENGINE_STREAM_H
#define FAKES_ENGINE_STREAM_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One generation of the fake engine and its reader, at most one at a time. It
 * outlives its reader for as long as the request asked.
 */
enum engine_stream_state {
	ENGINE_STREAM_WAITING,
	ENGINE_STREAM_RUNNING,
	ENGINE_STREAM_DONE,
	ENGINE_STREAM_CANCELLED
};

struct engine_stream {
	uint64_t id;
	char *generation;
	bool chat;
	int64_t tokens;	       /* made so far */
	int64_t output_tokens; /* of the whole answer */
	bool cut;	       /* ended by the caller's max_tokens */
	enum engine_stream_state state;
	int64_t hold_ms;

	SoupServerMessage *reader;
	GSource *close_watch;
	gulong finished_signal;
	int64_t sent; /* tokens given to the reader */
	bool ended;   /* its answer is complete */
	guint hold_timer;
	void (*abandoned)(void *data, struct engine_stream *stream);
	void *abandoned_data;
};

struct engine_stream *engine_stream_create(uint64_t id, const char *generation);
void engine_stream_destroy(struct engine_stream *stream);
void engine_stream_attach(struct engine_stream *stream,
			  SoupServerMessage *reader, int64_t from);
void engine_stream_flush(struct engine_stream *stream);
const char *engine_stream_state_name(enum engine_stream_state state);

G_END_DECLS

#endif
