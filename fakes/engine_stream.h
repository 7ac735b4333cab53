#ifndef FAKES_ENGINE_STREAM_H
#define FAKES_ENGINE_STREAM_H

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

enum engine_stream_state {
	ENGINE_STREAM_WAITING,
	ENGINE_STREAM_RUNNING,
	ENGINE_STREAM_DONE,
	ENGINE_STREAM_CANCELLED
};

/*
 * One generation of the fake engine and its reader; there is at most one
 * reader at a time. After the reader finishes or disconnects, the generation is
 * kept for hold_ms, which the request sets, so that a new reader can attach;
 * then on_hold_expired is called.
 */
struct engine_stream {
	uint64_t id;
	char *generation;
	bool chat;
	int64_t tokens;	       /* generated so far */
	int64_t output_tokens; /* of the complete answer */
	bool length_limited;   /* output limited by max_tokens */
	enum engine_stream_state state;
	int64_t hold_ms;

	SoupServerMessage *reader;
	GSource *close_watch;
	gulong finished_signal;
	int64_t sent_tokens;	/* tokens sent to the reader */
	bool response_complete; /* the reader's answer is complete */
	guint hold_timer;
	void (*on_hold_expired)(void *data, struct engine_stream *stream);
	void *hold_expired_data;
};

struct engine_stream *engine_stream_create(uint64_t id, const char *generation);
void engine_stream_destroy(struct engine_stream *stream);
void engine_stream_attach(struct engine_stream *stream,
			  SoupServerMessage *reader, int64_t from);
void engine_stream_flush(struct engine_stream *stream);
const char *engine_stream_state_name(enum engine_stream_state state);

G_END_DECLS

#endif
