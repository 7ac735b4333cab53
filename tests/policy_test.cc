#include "bench/direct.h"
#include "bench/scenario.h"
#include "core/placement/admission.h"
#include "core/placement/pace.h"

#include <gtest/gtest.h>

#include <cstring>

static void run(const char *workload, enum bench_policy policy, uint64_t seed,
		double figures[FIGURES])
{
	direct_run(scenario_find(workload), policy, seed, figures);
	figures[FIGURE_DECISION_US] = 0; /* the only real-time figure */
}

/*
 * Reports become three times as long in mid-run at full load. Naive placement
 * fills the engines' memory, which causes preemptions. The project's placement
 * must cause less than a tenth as many and serve over 95 % as many tokens. The
 * margins are wide: docs/POLICY.md has the figures.
 */
TEST(Policy, KeepsClearOfPreemptionsWhenLengthsShift)
{
	double naive[FIGURES], project[FIGURES];

	run("shift", BENCH_NAIVE, 1, naive);
	run("shift", BENCH_PROJECT, 1, project);
	EXPECT_GT(naive[FIGURE_PREEMPTIONS_PER_1000], 30);
	EXPECT_LT(project[FIGURE_PREEMPTIONS_PER_1000],
		  naive[FIGURE_PREEMPTIONS_PER_1000] / 10);
	EXPECT_LT(project[FIGURE_STALL_P99_MS],
		  naive[FIGURE_STALL_P99_MS] / 10);
	EXPECT_GT(project[FIGURE_IN_TIME_PERCENT],
		  naive[FIGURE_IN_TIME_PERCENT]);
	EXPECT_GT(project[FIGURE_GOOD_TOKENS_PER_S],
		  naive[FIGURE_GOOD_TOKENS_PER_S] * 0.95);
	EXPECT_LT(project[FIGURE_CHECK_FIRST_P99_MS], 500);
}

TEST(Policy, SameSeedGivesTheSameRun)
{
	double first[FIGURES], second[FIGURES];

	run("load60", BENCH_PROJECT, 2, first);
	run("load60", BENCH_PROJECT, 2, second);
	EXPECT_EQ(0, memcmp(first, second, sizeof(first)));
	EXPECT_EQ(100, first[FIGURE_IN_TIME_PERCENT]);
}

TEST(Admission, KnownPeakIsJustBeforeAnEnd)
{
	GArray *known =
		g_array_new(FALSE, FALSE, sizeof(struct admission_known_run));
	const struct admission_known_run items[] = {
		{100, 10}, {50, 100}, {10, 60}};

	g_array_append_vals(known, items, 3);
	EXPECT_EQ(190, admission_exact_peak(known));
	g_array_unref(known);
}

/*
 * Requests whose length estimates err together need a larger memory margin than
 * requests with independent errors.
 */
TEST(Admission, ACommonFactorWidensTheMargin)
{
	struct length_estimate_options options;
	struct length_estimate *estimate;
	struct length_class *cls;
	struct admission_demand demand;
	struct admission_load load = {};
	struct admission_margin independent = {2, 0}, correlated = {2, 0.3};

	length_estimate_options_default(&options);
	estimate = length_estimate_create(&options);
	cls = length_estimate_get_class(estimate, "a", 100, 0);
	for (int i = 1; i < 500; i++)
		length_class_count_end(cls, 0, i);
	admission_demand_fill(&demand, length_class_curve(cls), 100, 0, 0);
	for (int i = 0; i < 50; i++)
		admission_load_add(&load, &demand);
	EXPECT_GT(admission_peak(&load, &demand, &independent), 51 * 100);
	EXPECT_GT(admission_peak(&load, &demand, &correlated),
		  1.02 * admission_peak(&load, &demand, &independent));
	for (int i = 0; i < 50; i++)
		admission_load_remove(&load, &demand);
	EXPECT_NEAR(0, load.mean[0], 1);
	length_class_unref(cls);
	length_estimate_destroy(estimate);
}

TEST(Pace, LearnsHowTheIntervalGrowsWithTheBatch)
{
	struct pace pace;

	pace_init(&pace, 28000);
	for (int i = 0; i < 2000; i++) {
		int32_t batch = 10 + i % 50;

		pace_observe(&pace, batch, 20, 20 * (8000 + 100 * batch));
	}
	EXPECT_NEAR(8000 + 100 * 50, pace_interval_us(&pace, 50), 600);
	EXPECT_NEAR(8000 + 100 * 100, pace_interval_us(&pace, 100), 2500);
	pace_observe(&pace, -1, -5, 0);
	EXPECT_GT(pace_interval_us(&pace, 1), 0);
}
