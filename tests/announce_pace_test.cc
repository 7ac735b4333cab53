#include "core/gateway/announce_pace.h"

#include <gtest/gtest.h>

static constexpr int64_t kTickUs = 25000;

/* Returns the number of records sent, with a change at each tick or none. */
static size_t records(size_t others, int64_t seconds, bool changed)
{
	struct announce_pace pace;
	size_t sent = 0;

	announce_pace_init(&pace, 0);
	for (int64_t now = 0; now < seconds * G_USEC_PER_SEC; now += kTickUs) {
		if (announce_pace_is_due(&pace, others, changed, now))
			sent += others;
	}
	return sent;
}

/* Few nodes get each change within 65 ms, and else four rounds a second. */
TEST(AnnouncePace, InformsFewNodesSoon)
{
	struct announce_pace pace;

	EXPECT_LE(4 * 6 * 10u, records(6, 10, false));
	announce_pace_init(&pace, 0);
	EXPECT_TRUE(announce_pace_is_due(&pace, 6, false, 0));
	EXPECT_FALSE(announce_pace_is_due(&pace, 6, true, kTickUs));
	EXPECT_FALSE(announce_pace_is_due(&pace, 6, false, 2 * kTickUs));
	EXPECT_TRUE(announce_pace_is_due(&pace, 6, false, 3 * kTickUs));
}

/*
 * Guards against announcements that keep an overload going. In an overload
 * something changes all the time; nodes that informed all others of each change
 * spent their processors on it, forwarded the output of engines late, and did
 * not recover.
 */
TEST(AnnouncePace, BoundsRecordsWhateverChanges)
{
	for (size_t others : {6, 24, 87, 299, 479})
		EXPECT_GE(150 * 10 + 150 + others, records(others, 10, true))
			<< others;
}

/* Every node gets a round within a period, however many nodes there are. */
TEST(AnnouncePace, SendsARoundInEachPeriod)
{
	for (size_t others : {6, 87, 299, 479}) {
		int64_t seconds = 30;
		size_t rounds = records(others, seconds, false) / others;
		int64_t periods = seconds * G_USEC_PER_SEC /
				  (announce_pace_period_us(others) + kTickUs);

		EXPECT_LE((size_t)periods, rounds) << others;
	}
}
