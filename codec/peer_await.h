#ifndef CODEC_PEER_AWAIT_H
#define CODEC_PEER_AWAIT_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Bodies of the records about requests that wait at their home: PEER_AWAIT,
 * PEER_WAITING, PEER_UNAVAILABLE and PEER_WITHDRAW.
 */

#define PEER_AWAIT_FORMAT "(ttuuyssssyusas)"
#define PEER_WAIT_NOTICE_FORMAT "(ttss)"
#define PEER_UNAVAILABLE_FORMAT "(ttxss)"

GVariant *peer_await_encode(const struct peer_message *message);
bool peer_await_decode(GVariant *body, struct peer_await *await);
GVariant *peer_wait_notice_encode(const struct peer_message *message);
void peer_wait_notice_decode(GVariant *body, struct peer_wait_notice *notice);
GVariant *peer_unavailable_encode(const struct peer_message *message);
bool peer_unavailable_decode(GVariant *body,
			     struct peer_unavailable *unavailable);

G_END_DECLS

#endif
