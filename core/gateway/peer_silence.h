#ifndef CORE_GATEWAY_PEER_SILENCE_H
#define CORE_GATEWAY_PEER_SILENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How long the system of a connection's peer has left packets unanswered. A
 * peer that doesn't read closes its window, but its system goes on to answer:
 * data with acknowledgements, and probes of the closed window.
 */
struct peer_silence {
	int64_t since_us; /* since then; the last sample if none waits */
};

/* What the transport knows of a connection at one moment. */
struct peer_sample {
	bool has_probe;	     /* a probe was sent and not answered yet */
	bool has_unacked;    /* so was data, which is sent again */
	int64_t ack_age_us;  /* since the peer's last acknowledgement */
	int64_t sent_age_us; /* since data was last sent */
};

void peer_silence_begin(struct peer_silence *silence, int64_t now_us);
int64_t peer_silence_update(struct peer_silence *silence,
			    const struct peer_sample *sample, int64_t now_us);

G_END_DECLS

#endif
