#include "core/gateway/peer_silence.h"
#include "core/gateway/read_progress.h"

#include <gtest/gtest.h>

static const int64_t MS = 1000;

/* One sample each half a second; a row gives its time and what it shows. */
struct row {
	int64_t ms;
	bool has_probe;
	bool has_unacked;
	int64_t ack_age_ms;
	int64_t sent_age_ms;
	int64_t silent_ms;
};

static void expect_silence(const std::vector<row> &rows)
{
	struct peer_silence silence;

	peer_silence_begin(&silence, 500 * MS);
	for (const row &row : rows) {
		struct peer_sample sample = {
			.has_probe = row.has_probe,
			.has_unacked = row.has_unacked,
			.ack_age_us = row.ack_age_ms * MS,
			.sent_age_us = row.sent_age_ms * MS,
		};

		EXPECT_EQ(row.silent_ms * MS,
			  peer_silence_update(&silence, &sample, row.ms * MS))
			<< "at " << row.ms;
	}
}

/* A window that is closed for long: a probe now and then, each answered. */
TEST(PeerSilence, AnsweredProbesAreNoSilence)
{
	expect_silence({{1000, false, false, 100, 900, 0},
			{1500, true, false, 600, 1400, 500},
			{2000, false, false, 200, 1900, 0},
			{9000, false, false, 6400, 8900, 0},
			{9500, true, false, 6900, 9400, 500},
			{10000, false, false, 300, 9900, 0}});
}

/* Data that the peer has no room for is sent again, and refused each time. */
TEST(PeerSilence, RefusedDataIsNoSilence)
{
	expect_silence({{1000, false, true, 100, 101, 0},
			{4000, false, true, 3100, 3101, 0},
			{4500, false, true, 3600, 10, 500},
			{5000, false, true, 400, 410, 0}});
}

/* Guards against a busy stream that looks silent in each of its samples. */
TEST(PeerSilence, AnswersToEarlierPacketsAreNoSilence)
{
	expect_silence({{1000, false, true, 20, 1, 20},
			{1500, false, true, 20, 1, 20},
			{4500, false, true, 20, 1, 20}});
}

TEST(PeerSilence, LastsFromTheFirstPacketWithoutAnAnswer)
{
	expect_silence({{1000, false, true, 200, 10, 200},
			{1500, false, true, 700, 100, 700},
			{3700, false, true, 2900, 600, 2900},
			{3900, false, true, 3100, 700, 3100}});
	expect_silence({{8500, false, false, 5900, 8400, 0},
			{9000, true, false, 6400, 8900, 500},
			{11500, true, false, 8900, 11400, 3000},
			{12000, false, false, 20, 12400, 0}});
}

/* What a transport tells of a peer that takes no byte, and when it is gone. */
static int64_t gone_after_ms(const struct peer_sample &sample)
{
	struct peer_silence silence;

	peer_silence_begin(&silence, 0);
	for (int64_t ms = 500; ms <= 60000; ms += 500) {
		if (peer_silence_is_over_limit(&silence, &sample, 7, ms * MS))
			return ms;
	}
	return -1;
}

/* Guards against a slow reader that is taken for gone where nothing is told. */
TEST(PeerSilence, HasTheTimeOfASlowReaderWithoutAges)
{
	const struct peer_sample nothing = {};
	const struct peer_sample no_ages = {.has_probe = true,
					    .has_unacked = true};
	const struct peer_sample no_ack_age = {.has_unacked = true,
					       .sent_age_us = 9 * MS};
	const struct peer_sample no_sent_age = {.has_unacked = true,
						.ack_age_us = 90000 * MS};
	const struct peer_sample both_ages = {.has_unacked = true,
					      .ack_age_us = 90000 * MS,
					      .sent_age_us = 9 * MS};

	EXPECT_EQ(31000, gone_after_ms(nothing));
	EXPECT_EQ(31000, gone_after_ms(no_ages));
	EXPECT_EQ(31000, gone_after_ms(no_ack_age));
	EXPECT_EQ(31000, gone_after_ms(no_sent_age));
	EXPECT_EQ(3000, gone_after_ms(both_ages));
}

/* Guards against an answering peer that is given up as it reads nothing. */
TEST(PeerSilence, EndsNoPeerThatAnswersProbes)
{
	const struct peer_sample answered = {.ack_age_us = 300 * MS,
					     .sent_age_us = 400 * MS};

	EXPECT_EQ(-1, gone_after_ms(answered));
}

/* A slow reader makes progress, one that doesn't read makes none. */
TEST(ReadProgress, LastsSinceTheLastByteTaken)
{
	struct read_progress progress = {};

	EXPECT_EQ(0, read_progress_note(&progress, 100, 5000 * MS));
	EXPECT_EQ(500 * MS, read_progress_note(&progress, 100, 5500 * MS));
	EXPECT_EQ(0, read_progress_note(&progress, 101, 6000 * MS));
	EXPECT_EQ(30000 * MS, read_progress_note(&progress, 101, 36000 * MS));
}
