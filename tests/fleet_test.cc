#include "bench/fleet.h"

#include <gtest/gtest.h>

namespace
{

struct fleet_result run_fleet(enum fleet_policy policy, uint64_t seed,
			      double crash_every_s = 0)
{
	struct fleet_options options;
	struct fleet_result result;

	fleet_options_default(&options);
	options.policy = policy;
	options.seed = seed;
	options.crash_every_s = crash_every_s;
	fleet_run(&options, &result);
	return result;
}

} /* namespace */

TEST(Fleet, TheSameSeedGivesTheSameDay)
{
	struct fleet_result one = run_fleet(FLEET_BOTH, 7, 5);
	struct fleet_result other = run_fleet(FLEET_BOTH, 7, 5);

	EXPECT_EQ(one.worth, other.worth);
	EXPECT_EQ(one.copied_tokens, other.copied_tokens);
	EXPECT_EQ(one.in_aim, other.in_aim);
}

/* Each report is counted once: on time, late, lost or refused. */
TEST(Fleet, CountsEachReportOnce)
{
	for (int policy = FLEET_STAY; policy < FLEET_POLICIES; policy++)
		for (uint64_t seed = 1; seed <= 5; seed++) {
			struct fleet_result result =
				run_fleet((enum fleet_policy)policy, seed, 4);

			EXPECT_EQ(result.reports,
				  result.in_aim + result.late_first +
					  result.late_pause + result.lost +
					  result.refused);
		}
}

/*
 * Engines leave after a notice throughout the run. Without copies a fifth of
 * the reports is lost; with copies nearly all complete on time.
 */
TEST(Fleet, NearlyAllReportsOutliveANotice)
{
	int64_t reports = 0, lost_staying = 0, in_aim_moving = 0;

	for (uint64_t seed = 1; seed <= 10; seed++) {
		struct fleet_result moving = run_fleet(FLEET_BOTH, seed);

		reports += moving.reports;
		in_aim_moving += moving.in_aim;
		lost_staying += run_fleet(FLEET_STAY, seed).lost;
	}
	EXPECT_GT(lost_staying * 100, reports * 15);
	EXPECT_GT(in_aim_moving * 100, reports * 95);
}

/* Engines crash without notice: only a backup saves a report. */
TEST(Fleet, ABackupOutlivesACrash)
{
	int64_t lost_moving = 0, lost_both = 0;

	for (uint64_t seed = 1; seed <= 60; seed++) {
		lost_moving += run_fleet(FLEET_MOVE, seed, 6).lost;
		lost_both += run_fleet(FLEET_BOTH, seed, 6).lost;
	}
	EXPECT_LT(lost_both * 10, lost_moving * 8);
}
