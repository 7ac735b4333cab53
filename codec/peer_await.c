#include "codec/peer_await.h"

#include "codec/peer_choose.h"
#include "codec/peer_field.h"

#define MAX_RANK 9

/* No first event is due, and no retry is worth while, after more than that. */
#define MAX_WAIT_US ((int64_t)3600 * G_USEC_PER_SEC)

#define CHILD_RANK 9
#define CHILD_WAIT 10
#define CHILD_ORGANISATION 11
#define CHILD_AVOID 12

/*
 * Returns the body of a PEER_AWAIT record as a floating variant. Its first
 * fields are those of PEER_CHOOSE.
 */
GVariant *peer_await_encode(const struct peer_message *message)
{
	const struct peer_await *await = &message->await;
	const struct peer_choose *choose = &await->choose;

	return g_variant_new("(ttuuyssssyus@as)", message->incarnation,
			     choose->number, peer_field_tokens(choose->tokens),
			     peer_field_tokens(choose->prompt_tokens),
			     (guchar)choose->purpose,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address),
			     peer_field_text(choose->service),
			     peer_field_text(choose->failure_domain),
			     (guchar)CLAMP(await->rank, 0, MAX_RANK),
			     (guint32)CLAMP(await->wait_us, 0, MAX_WAIT_US),
			     peer_field_text(await->organisation),
			     peer_choose_encode_avoid(choose->avoid));
}

/* Fills await from a body. Returns false if a value is out of range. */
bool peer_await_decode(GVariant *body, struct peer_await *await)
{
	guint32 wait_us;
	guchar rank;

	g_variant_get_child(body, CHILD_RANK, "y", &rank);
	g_variant_get_child(body, CHILD_WAIT, "u", &wait_us);
	g_variant_get_child(body, CHILD_ORGANISATION, "s",
			    &await->organisation);
	await->rank = rank;
	await->wait_us = wait_us;
	return peer_choose_decode_fields(body, CHILD_AVOID, &await->choose) &&
	       await->choose.purpose != CHOOSE_MOVE && rank <= MAX_RANK &&
	       wait_us <= MAX_WAIT_US &&
	       peer_field_text_is_valid(await->organisation, true);
}

/* Returns the body of a PEER_WAITING or PEER_WITHDRAW as a floating variant. */
GVariant *peer_wait_notice_encode(const struct peer_message *message)
{
	return g_variant_new(PEER_WAIT_NOTICE_FORMAT, message->incarnation,
			     message->wait_notice.number,
			     peer_field_text(message->from),
			     peer_field_text(message->from_address));
}

/* Fills a notice from a body; each number is valid. */
void peer_wait_notice_decode(GVariant *body, struct peer_wait_notice *notice)
{
	g_variant_get_child(body, 1, "t", &notice->number);
}

/* Returns the body of a PEER_UNAVAILABLE record as a floating variant. */
GVariant *peer_unavailable_encode(const struct peer_message *message)
{
	const struct peer_unavailable *unavailable = &message->unavailable;

	return g_variant_new(
		PEER_UNAVAILABLE_FORMAT, message->incarnation,
		unavailable->number,
		(gint64)CLAMP(unavailable->retry_after_us, -1, MAX_WAIT_US),
		peer_field_text(message->from),
		peer_field_text(message->from_address));
}

/* Fills unavailable from a body. Returns false if a value is out of range. */
bool peer_unavailable_decode(GVariant *body,
			     struct peer_unavailable *unavailable)
{
	gint64 retry_after_us;

	g_variant_get_child(body, 1, "t", &unavailable->number);
	g_variant_get_child(body, 2, "x", &retry_after_us);
	unavailable->retry_after_us = retry_after_us;
	return retry_after_us >= -1 && retry_after_us <= MAX_WAIT_US;
}
