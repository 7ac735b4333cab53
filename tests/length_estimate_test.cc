#include "core/placement/length_estimate.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>

class LengthEstimate : public testing::Test
{
      protected:
	struct length_estimate_options options;
	struct length_estimate *estimate;
	GRand *rand;

	void SetUp() override
	{
		length_estimate_options_default(&options);
		options.max_classes = 64;
		estimate = length_estimate_create(&options);
		rand = g_rand_new_with_seed(3);
	}
	void TearDown() override
	{
		g_rand_free(rand);
		length_estimate_destroy(estimate);
	}
	int64_t draw(double median, double sigma)
	{
		double z = sqrt(-2 * log(1 - g_rand_double(rand))) *
			   cos(2 * G_PI * g_rand_double(rand));

		return 1 + (int64_t)(median * exp(sigma * z));
	}
	void observe_answers(struct length_class *cls, int answers,
			     double median)
	{
		for (int i = 0; i < answers; i++)
			length_class_count_end(cls, 0, draw(median, 0.6));
	}
	static double mean_left(struct length_class *cls, int64_t made)
	{
		return length_curve_mean_remaining(length_class_curve(cls),
						   made, 0);
	}
};

TEST_F(LengthEstimate, LearnsMeanAndRemainingLength)
{
	struct length_class *cls =
		length_estimate_get_class(estimate, "a", 1000, 0);

	observe_answers(cls, 1000, 500);
	EXPECT_NEAR(500 * exp(0.18), mean_left(cls, 0), 120);
	EXPECT_NEAR(0.5, length_curve_survival(length_class_curve(cls), 500),
		    0.1);
	EXPECT_GT(mean_left(cls, 1500), 200);
	EXPECT_LE(length_curve_mean_remaining(length_class_curve(cls), 0, 100),
		  100);
	length_class_unref(cls);
}

/*
 * Answers become three times as long. An estimate from ended answers alone
 * would expect short ones, and admit too many calls, until the first long
 * answers end. The progress of running answers alone must raise the estimate.
 */
TEST_F(LengthEstimate, DetectsAShiftFromRunningAnswers)
{
	struct length_class *cls =
		length_estimate_get_class(estimate, "a", 1000, 0);
	double before;

	observe_answers(cls, 1000, 300);
	before = mean_left(cls, 0);
	for (int i = 0; i < 40; i++)
		length_class_count_progress(cls, 0, 900);
	EXPECT_GT(mean_left(cls, 0), 2 * before);
	length_class_unref(cls);
}

TEST_F(LengthEstimate, NewClassesStartFromTheirParents)
{
	struct length_class *known =
		length_estimate_get_class(estimate, "a", 1000, 0);
	struct length_class *other =
		length_estimate_get_class(estimate, "b", 1000, 0);

	observe_answers(known, 500, 60);
	EXPECT_LT(mean_left(other, 0), 120);
	length_class_unref(known);
	length_class_unref(other);
}

/*
 * A caller sends a new prefix with each request. The table stays bounded,
 * classes in use stay valid, and the least recently used go first.
 */
TEST_F(LengthEstimate, BoundsTheNumberOfClasses)
{
	struct length_class *held =
		length_estimate_get_class(estimate, "a", 1000, 7);

	for (uint64_t i = 100; i < 2000; i++)
		length_class_unref(
			length_estimate_get_class(estimate, "a", 1000, i));
	EXPECT_LE(length_estimate_class_count(estimate), 66u);
	observe_answers(held, 10, 100);
	EXPECT_EQ(held, length_estimate_get_class(estimate, "a", 1000, 7));
	length_class_unref(held);
	length_class_unref(held);
}

TEST_F(LengthEstimate, AcceptsAnyNumbers)
{
	struct length_class *cls =
		length_estimate_get_class(estimate, "", -5, 1);

	length_class_count_end(cls, INT64_MAX, -1);
	length_class_count_end(cls, -7, INT64_MAX);
	length_class_count_progress(cls, INT64_MIN, INT64_MAX);
	EXPECT_TRUE(std::isfinite(mean_left(cls, INT64_MAX)));
	EXPECT_GE(length_curve_survival(length_class_curve(cls), -3), 0);
	length_class_unref(cls);
}
