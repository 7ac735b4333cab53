#include "core/gateway/leaving_forecast.h"

#include <gtest/gtest.h>

#define SECOND_US G_USEC_PER_SEC

/* Engines that are replaced in groups: what their runs need elsewhere. */
class LeavingForecast : public testing::Test
{
      protected:
	struct leaving_forecast forecast = {};

	void Note(double share, double at_s)
	{
		leaving_forecast_note(&forecast, share,
				      (int64_t)(at_s * SECOND_US));
	}

	double Share(double at_s)
	{
		return leaving_forecast_share(&forecast,
					      (int64_t)(at_s * SECOND_US));
	}
};

/* Guards against room that is kept free where no engine leaves. */
TEST_F(LeavingForecast, IsNothingWhereNobodyLeaves)
{
	EXPECT_EQ(0, Share(100));
	for (int i = 0; i < 50; i++)
		Note(0, 100 + i * 0.2);
	EXPECT_EQ(0, Share(110));
}

/* Guards against room that is given away between two groups that leave. */
TEST_F(LeavingForecast, HoldsBetweenTheGroupsOfAReplacement)
{
	for (int group = 0; group < 4; group++) {
		double at_s = 100 + group * 3.3;

		Note(0.05, at_s);
		Note(0.14, at_s + 0.2);
		Note(0.02, at_s + 1.4);
		EXPECT_DOUBLE_EQ(0.14, Share(at_s + 3.2));
	}
}

/* Guards against room that is kept for a replacement that has ended. */
TEST_F(LeavingForecast, EndsWithTheLastGroup)
{
	Note(0.14, 100);
	EXPECT_DOUBLE_EQ(0.14, Share(109.9));
	EXPECT_EQ(0, Share(110.1));
	Note(0.1, 200);
	EXPECT_DOUBLE_EQ(0.1, Share(200.5));
}

/* Guards against a service that serves nothing new while most of it leaves. */
TEST_F(LeavingForecast, KeepsNoMoreThanHelps)
{
	Note(2.5, 100);
	EXPECT_DOUBLE_EQ(0.3, Share(100));
}
