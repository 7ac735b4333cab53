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
	silence->since_us = now_us;
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
