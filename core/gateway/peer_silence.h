#ifndef CORE_GATEWAY_PEER_SILENCE_H
#define CORE_GATEWAY_PEER_SILENCE_H

#include "core/gateway/read_progress.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A peer whose system leaves packets unanswered for so long is gone. */
#define PEER_SILENCE_LIMIT_US (3 * G_USEC_PER_SEC)

/*
 * How long the system of a connection's peer has left packets unanswered. A
 * peer that doesn't read closes its window, but its system goes on to answer:
 * data with acknowledgements, and probes of the closed window.
 *
 * Not each transport tells when packets were answered. Without that, a peer
 * that reads nothing can't be told from one that is gone, and gets the time of
 * READ_STALL_US to take a byte.
 */
struct peer_silence {
	int64_t since_us; /* since then; the last sample if none waits */
	struct read_progress progress;
	bool has_ack_age; /* the transport has told these ages */
	bool has_sent_age;
};

/* What the transport knows of a connection at one moment; zeros: nothing. */
struct peer_sample {
	bool has_probe;	     /* a probe was sent and not answered yet */
	bool has_unacked;    /* so was data, which is sent again */
	int64_t ack_age_us;  /* since the peer's last acknowledgement */
	int64_t sent_age_us; /* since data was last sent */
};

void peer_silence_begin(struct peer_silence *silence, int64_t now_us);
int64_t peer_silence_update(struct peer_silence *silence,
			    const struct peer_sample *sample, int64_t now_us);
bool peer_silence_is_over_limit(struct peer_silence *silence,
				const struct peer_sample *sample,
				int64_t taken_bytes, int64_t now_us);

G_END_DECLS

#endif
