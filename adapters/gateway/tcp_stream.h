#ifndef ADAPTERS_GATEWAY_TCP_STREAM_H
#define ADAPTERS_GATEWAY_TCP_STREAM_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A TCP connection on the thread's main loop. Never blocks: bytes that the peer
 * does not accept yet are kept in memory, and their number tells the owner when
 * to stop reading elsewhere. A peer that vanished without closing is detected,
 * idle or not; one that just doesn't read is left to the owner.
 */
struct tcp_stream;

/* Bytes of finished streams that were not read. */
struct tcp_stream_loss {
	size_t bytes;
	const char *detail; /* a static string */
};

struct tcp_stream_events {
	void (*opened)(void *data); /* only after tcp_stream_connect */
	void (*received)(void *data, const char *bytes, size_t size);
	void (*ended)(void *data); /* the peer closed its sending side */
	void (*failed)(void *data, const struct error *error);
	void (*drained)(void *data); /* all unsent bytes were sent */
};

struct tcp_stream *tcp_stream_connect(const char *address,
				      const struct tcp_stream_events *events,
				      void *data, struct error *error);
struct tcp_stream *
tcp_stream_adopt(int fd, const struct tcp_stream_events *events, void *data);
void tcp_stream_set_owner(struct tcp_stream *stream,
			  const struct tcp_stream_events *events, void *data);
void tcp_stream_destroy(struct tcp_stream *stream);
void tcp_stream_reset(struct tcp_stream *stream);
void tcp_stream_reset_unless_finished(struct tcp_stream *stream);
void tcp_stream_finish(struct tcp_stream *stream);

void tcp_stream_write(struct tcp_stream *stream, const char *bytes,
		      size_t size);
void tcp_stream_take(struct tcp_stream *stream, GString *bytes);
void tcp_stream_share(struct tcp_stream *stream, GByteArray *bytes);
size_t tcp_stream_finishing_count(void);
bool tcp_stream_take_loss(struct tcp_stream_loss *taken);
size_t tcp_stream_unsent_bytes(const struct tcp_stream *stream);
size_t tcp_stream_kept_bytes(const struct tcp_stream *stream);
size_t tcp_stream_unread_bytes(const struct tcp_stream *stream);
int64_t tcp_stream_taken_bytes(const struct tcp_stream *stream);
bool tcp_stream_has_unread(const struct tcp_stream *stream);
void tcp_stream_read_waiting(struct tcp_stream *stream);
bool tcp_stream_has_sent(const struct tcp_stream *stream);
bool tcp_stream_is_refused(const struct tcp_stream *stream);
bool tcp_stream_was_accepted(const struct tcp_stream *stream);
int64_t tcp_stream_opened_us(const struct tcp_stream *stream);
void tcp_stream_set_reading(struct tcp_stream *stream, bool reading);
void tcp_stream_close_sending(struct tcp_stream *stream);

/* Connections that may wait at a listening socket to be accepted. */
#define TCP_LISTEN_BACKLOG 512

bool tcp_tells_ages(void);
int tcp_listen(const char *address, struct error *error);
bool tcp_address_parse(const char *address, char *host, size_t host_size,
		       uint16_t *port);

G_END_DECLS

#endif
