#include "core/limit/quarantine.h"

#include <gtest/gtest.h>

class Quarantine : public testing::Test
{
      protected:
	struct quarantine_options options;
	struct quarantine *quarantine;

	void SetUp() override
	{
		quarantine_options_default(&options);
		options.max_entries = 8;
		quarantine = quarantine_create(&options);
	}
	void TearDown() override
	{
		quarantine_destroy(quarantine);
	}
};

/*
 * A request crashes the engine it runs on, and its caller sends it again. After
 * the second engine it is refused until a given time, while a request that only
 * shared the first engine and then completed is not refused.
 */
TEST_F(Quarantine, HoldsWhatWasInFlightAtTwoCrashes)
{
	EXPECT_FALSE(quarantine_report_crash(quarantine, 1, "a:1", 10));
	EXPECT_FALSE(quarantine_report_crash(quarantine, 2, "a:1", 10));
	EXPECT_TRUE(quarantine_is_suspect(quarantine, 2, 11));
	quarantine_report_success(quarantine, 2);
	EXPECT_TRUE(quarantine_report_crash(quarantine, 1, "b:1", 20));
	EXPECT_FALSE(quarantine_report_crash(quarantine, 2, "b:1", 20));
	EXPECT_EQ(20 + options.hold_us, quarantine_until_us(quarantine, 1, 21));
	EXPECT_EQ(0, quarantine_until_us(quarantine, 2, 21));
	EXPECT_EQ(0, quarantine_until_us(quarantine, 1, 20 + options.hold_us));
}

/*
 * One engine crashes repeatedly on its own. Its callers do not cause the
 * crashes, so the same endpoint counts once.
 */
TEST_F(Quarantine, OneCrashingEndpointHoldsNobody)
{
	for (int i = 0; i < 5; i++)
		EXPECT_FALSE(quarantine_report_crash(quarantine, 1, "a:1", i));
	EXPECT_EQ(0, quarantine_until_us(quarantine, 1, 10));
}

TEST_F(Quarantine, ForgetsCrashesThatAreLongAgo)
{
	quarantine_report_crash(quarantine, 1, "a:1", 0);
	EXPECT_FALSE(quarantine_report_crash(quarantine, 1, "b:1",
					     options.suspect_us + 1));
}

/* A caller that keeps sending new crashing bodies must not grow the table. */
TEST_F(Quarantine, IsBounded)
{
	for (uint64_t i = 0; i < 1000; i++) {
		quarantine_report_crash(quarantine, i, "a:1", 0);
		quarantine_report_crash(quarantine, i, "b:1", 0);
		quarantine_report_crash(quarantine, 5000 + i, "a:1", 0);
	}
	EXPECT_EQ(16u, quarantine_count(quarantine));
	EXPECT_NE(0, quarantine_until_us(quarantine, 999, 1));
}

/*
 * A request is in flight at crashes of two engines, continues at a third and
 * completes there. When its caller sends it again, it must not be refused.
 */
TEST_F(Quarantine, ReleasesWhatEndedWholeAfterTwoCrashes)
{
	EXPECT_FALSE(quarantine_report_crash(quarantine, 7, "e1", 1000));
	EXPECT_TRUE(quarantine_report_crash(quarantine, 7, "e2", 2000));
	EXPECT_NE(0, quarantine_until_us(quarantine, 7, 3000));
	quarantine_report_success(quarantine, 7);
	EXPECT_EQ(0, quarantine_until_us(quarantine, 7, 3000));
}
