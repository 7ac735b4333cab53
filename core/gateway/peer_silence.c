#include "core/gateway/peer_silence.h"

/*
 * With a closed window, data that the peer had no room for is sent again at
 * growing intervals: it is unacknowledged all the time, while each try is
 * answered at once.
 */
static bool sample_is_owed(const struct peer_sample *sample)
{
	return sample->has_probe || (sample->has_unacked &&
				     sample->ack_age_us > sample->sent_age_us);
}

/* Begins anew: until now_us, no packet waited for an answer. */
void peer_silence_begin(struct peer_silence *silence, int64_t now_us)
{
	*silence = (struct peer_silence){.since_us = now_us};
}

/*
 * Takes a sample; the time between two is to be short against the limit on the
 * result. Returns for how long, in us, the peer has owed an answer and given
 * none, counted from the sample before the first packet without an answer; 0 if
 * it owes none.
 */
int64_t peer_silence_update(struct peer_silence *silence,
			    const struct peer_sample *sample, int64_t now_us)
{
	if (!sample_is_owed(sample))
		silence->since_us = now_us;
	silence->since_us = MAX(silence->since_us, now_us - sample->ack_age_us);
	return now_us - silence->since_us;
}

/*
 * Takes a sample as peer_silence_update does, and the number of bytes that the
 * peer has taken so far, while more wait for it. Returns whether the peer is
 * gone.
 */
bool peer_silence_is_over_limit(struct peer_silence *silence,
				const struct peer_sample *sample,
				int64_t taken_bytes, int64_t now_us)
{
	int64_t stalled_us =
		read_progress_note(&silence->progress, taken_bytes, now_us);
	int64_t silent_us = peer_silence_update(silence, sample, now_us);

	silence->has_ack_age = silence->has_ack_age || sample->ack_age_us > 0;
	silence->has_sent_age =
		silence->has_sent_age || sample->sent_age_us > 0;
	if (silence->has_ack_age && silence->has_sent_age)
		return silent_us >= PEER_SILENCE_LIMIT_US;
	return stalled_us > READ_STALL_US;
}
