#include "core/limit/quarantine.h"

#include <gtest/gtest.h>

#include <map>

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
	/* A loss at an endpoint that ends at once; whether that holds it. */
	bool Crash(uint64_t key, const char *endpoint, int64_t now_us)
	{
		const struct quarantine_run run = {
			.key = key,
			.start = {.endpoint_key = (uint64_t)g_str_hash(endpoint)
						  << 32},
		};

		if (quarantine_until_us(quarantine, key, now_us))
			return false;
		quarantine_report_loss(quarantine, &run, now_us);
		quarantine_report_end(quarantine, &run.start, now_us);
		return quarantine_until_us(quarantine, key, now_us) != 0;
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
	EXPECT_FALSE(Crash(1, "a:1", 10));
	EXPECT_FALSE(Crash(2, "a:1", 10));
	EXPECT_TRUE(quarantine_is_suspect(quarantine, 2, 11));
	quarantine_report_success(quarantine, 2, 11, 11);
	EXPECT_TRUE(Crash(1, "b:1", 20));
	EXPECT_FALSE(Crash(2, "b:1", 20));
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
		EXPECT_FALSE(Crash(1, "a:1", i));
	EXPECT_EQ(0, quarantine_until_us(quarantine, 1, 10));
}

TEST_F(Quarantine, ForgetsCrashesThatAreLongAgo)
{
	Crash(1, "a:1", 0);
	EXPECT_FALSE(Crash(1, "b:1", options.suspect_us + 1));
}

/* A caller that keeps sending new crashing bodies must not grow the table. */
TEST_F(Quarantine, IsBounded)
{
	for (uint64_t i = 0; i < 1000; i++) {
		Crash(i, "a:1", 0);
		Crash(i, "b:1", 0);
		Crash(i, "c:1", 0);
		Crash(5000 + i, "a:1", 0);
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
	EXPECT_FALSE(Crash(7, "e1", 1000));
	EXPECT_TRUE(Crash(7, "e2", 2000));
	EXPECT_NE(0, quarantine_until_us(quarantine, 7, 3000));
	quarantine_report_success(quarantine, 7, 3000, 3000);
	EXPECT_EQ(0, quarantine_until_us(quarantine, 7, 3000));
}

/* Losses and answers of one table, as a text of what is held. */
class QuarantineEvidence : public Quarantine
{
      protected:
	void lose(uint64_t fingerprint, uint64_t endpoint, double at_s,
		  uint64_t owner = 1)
	{
		struct quarantine_run run = {fingerprint, owner,
					     current(endpoint)};

		quarantine_report_loss(quarantine, &run, us(at_s));
		lost[endpoint] = run.start;
	}

	/* The start that lost a run last has ended. */
	void end(uint64_t endpoint, double at_s)
	{
		quarantine_report_end(quarantine, &lost[endpoint], us(at_s));
	}

	struct endpoint_start current(uint64_t endpoint)
	{
		return quarantine_current_start(quarantine, key(endpoint));
	}

	/* Low bits of keys are of no meaning. */
	static uint64_t key(uint64_t endpoint)
	{
		return endpoint << 32;
	}

	/* Over a connection that was opened at connected_s, the endpoint
	 * answers what was sent at sent_s. */
	void answer(uint64_t endpoint, double connected_s, double sent_s)
	{
		struct quarantine_answer answer = {key(endpoint),
						   us(connected_s), us(sent_s)};

		quarantine_report_answer(quarantine, &answer, us(sent_s));
	}

	enum quarantine_verdict judge(uint64_t fingerprint, int64_t now_us)
	{
		struct suspect_list request = {{fingerprint}, 1};

		return quarantine_judge(quarantine, &request, now_us, nullptr);
	}

	bool is_held(uint64_t fingerprint, double at_s)
	{
		return quarantine_until_us(quarantine, fingerprint, us(at_s)) >
		       0;
	}

	static int64_t us(double s)
	{
		return (int64_t)(s * G_USEC_PER_SEC);
	}

	std::map<uint64_t, struct endpoint_start> lost;
};

/* Guards against holding what broken connections, not ended endpoints, lost. */
TEST_F(QuarantineEvidence, BrokenConnectionsHoldNothing)
{
	for (uint64_t endpoint = 1; endpoint <= 4; endpoint++)
		lose(1, endpoint, 1);
	EXPECT_FALSE(is_held(1, 2));
	EXPECT_FALSE(quarantine_is_suspect(quarantine, 1, us(2)));
	end(1, 2);
	EXPECT_FALSE(is_held(1, 2));
	end(2, 2);
	EXPECT_TRUE(is_held(1, 2));
}

/* Guards against counting a connection that broke long before its endpoint
 * ended, with a cause of its own. */
TEST_F(QuarantineEvidence, AnEndCountsOnlyWhatItBrokeOff)
{
	lose(1, 1, 1);
	lose(2, 1, 9);
	end(1, 9.1);
	EXPECT_FALSE(quarantine_is_suspect(quarantine, 1, us(10)));
	EXPECT_TRUE(quarantine_is_suspect(quarantine, 2, us(10)));
}

/* Guards against a node that is cut off and takes all endpoints for ended. */
TEST_F(QuarantineEvidence, AnAnswerRefutesAnEnd)
{
	lose(1, 1, 1);
	lose(1, 2, 1);
	end(1, 1.1);
	end(2, 1.1);
	EXPECT_TRUE(is_held(1, 2));
	answer(2, 0.8, 0.9);
	EXPECT_TRUE(is_held(1, 2)) << "sent before the end";
	answer(2, 1.2, 1.5);
	EXPECT_TRUE(is_held(1, 2)) << "maybe of a new start";
	answer(2, 0.9, 1.5);
	EXPECT_FALSE(is_held(1, 2));
	lose(1, 2, 3);
	end(2, 3.1);
	EXPECT_TRUE(is_held(1, 4)) << "it ends later, under the request";
}

/* Guards against holding requests that ran beside one that ends endpoints. */
TEST_F(QuarantineEvidence, SharedLossesNeedOneMore)
{
	for (uint64_t endpoint : {1, 2}) {
		lose(1, endpoint, (double)endpoint);
		lose(2, endpoint, (double)endpoint);
		end(endpoint, (double)endpoint);
	}
	EXPECT_FALSE(is_held(1, 3)) << "either may have ended both";
	EXPECT_FALSE(is_held(2, 3));
	lose(1, 3, 3);
	end(3, 3);
	EXPECT_TRUE(is_held(1, 3));
	EXPECT_FALSE(is_held(2, 3));
}

/* Guards against holding a popular request that runs at every endpoint. */
TEST_F(QuarantineEvidence, WhatIsAnsweredWholeEndsNothing)
{
	quarantine_report_success(quarantine, 7, us(1), us(1));
	for (uint64_t endpoint = 1; endpoint <= 4; endpoint++) {
		lose(7, endpoint, 1 + (double)endpoint);
		lose(8, endpoint, 1 + (double)endpoint);
		end(endpoint, 1 + (double)endpoint);
	}
	EXPECT_FALSE(is_held(7, 6)) << "answered shortly before";
	EXPECT_TRUE(is_held(8, 6));
	for (uint64_t endpoint = 11; endpoint <= 13; endpoint++) {
		lose(7, endpoint, 20);
		end(endpoint, 20);
	}
	EXPECT_TRUE(is_held(7, 21)) << "long after its last whole answer";
	quarantine_report_success(quarantine, 7, us(22), us(22));
	EXPECT_FALSE(is_held(7, 22));
}

/* Guards against a request that ends two more endpoints after its quarantine.
 */
TEST_F(QuarantineEvidence, OneRunTriesAgainAfterTheHold)
{
	double hold_s = (double)options.hold_us / G_USEC_PER_SEC;

	for (uint64_t endpoint : {1, 2}) {
		lose(1, endpoint, 1);
		end(endpoint, 1);
	}
	EXPECT_EQ(QUARANTINE_HELD, judge(1, us(hold_s)));
	EXPECT_EQ(QUARANTINE_TRIAL, judge(1, us(hold_s + 2)));
	quarantine_begin_trial(quarantine, 1, us(hold_s + 2));
	EXPECT_EQ(QUARANTINE_HELD, judge(1, us(hold_s + 3)))
		<< "one run at a time";
	lose(1, 3, hold_s + 4);
	end(3, hold_s + 4);
	EXPECT_TRUE(is_held(1, hold_s + 70)) << "one more end is enough";
	EXPECT_EQ(QUARANTINE_TRIAL, judge(1, us(2 * hold_s + 10)));
	quarantine_begin_trial(quarantine, 1, us(2 * hold_s + 10));
	quarantine_report_success(quarantine, 1, us(2 * hold_s + 11),
				  us(2 * hold_s + 11));
	EXPECT_EQ(QUARANTINE_NONE, judge(1, us(2 * hold_s + 11)));
}

/* Guards against an end that is counted twice, because two runs that it broke
 * off are lost one after the other, or two nodes saw it. */
TEST_F(QuarantineEvidence, RunsOfOneStartCountOnce)
{
	struct quarantine_run run = {1, 1, current(1)};

	for (double at_s : {1.0, 1.2, 5.0}) {
		quarantine_report_loss(quarantine, &run, us(at_s));
		quarantine_report_end(quarantine, &run.start, us(at_s + 0.1));
	}
	EXPECT_TRUE(quarantine_is_suspect(quarantine, 1, us(6)));
	EXPECT_FALSE(is_held(1, 6));
	EXPECT_EQ(1, current(1).number);
	lose(1, 1, 7);
	end(1, 7.1);
	EXPECT_TRUE(is_held(1, 8)) << "the next start";
}

/* Guards against a request that ends one endpoint again and again, because the
 * endpoint starts again under its id. */
TEST_F(QuarantineEvidence, EndsOfOneIdEachCount)
{
	for (int i = 0; i < 12; i++) {
		lose(1, 1, i);
		end(1, i + 0.1);
	}
	EXPECT_TRUE(is_held(1, 13));
}

TEST_F(QuarantineEvidence, AnOperatorLiftsIt)
{
	EXPECT_FALSE(quarantine_lift(quarantine, 1, us(1)));
	for (uint64_t endpoint : {1, 2}) {
		lose(1, endpoint, 1);
		end(endpoint, 1);
	}
	EXPECT_TRUE(quarantine_lift(quarantine, 1, us(2)));
	EXPECT_FALSE(is_held(1, 2));
	for (uint64_t endpoint : {3, 4}) {
		lose(1, endpoint, 2.5);
		end(endpoint, 2.5);
	}
	EXPECT_TRUE(is_held(1, 3)) << "what comes after that counts";
}

/* Guards against a caller that varies its requests and so pushes out those of
 * other organisations. */
TEST_F(QuarantineEvidence, AFloodEvictsItsOwnOnly)
{
	lose(1, 1, 1, 1);
	end(1, 1);
	for (uint64_t i = 0; i < 1000; i++) {
		lose(100 + i, 50, 2, 2);
		end(50, 2);
		for (uint64_t endpoint = 51; endpoint < 54; endpoint++) {
			lose(2000 + i, endpoint, 2, 2);
			end(endpoint, 2);
		}
	}
	EXPECT_LE(quarantine_count(quarantine), 16u);
	EXPECT_TRUE(quarantine_is_suspect(quarantine, 1, us(3)));
	lose(1, 2, 3, 1);
	end(2, 3);
	EXPECT_FALSE(is_held(1, 3)) << "most ends came without it";
	lose(1, 3, 3, 1);
	end(3, 3);
	EXPECT_TRUE(is_held(1, 3));
}

/* Guards against holding what was lost twice among many ends of other causes.
 */
TEST_F(QuarantineEvidence, AmongOtherEndsOneMoreIsNeeded)
{
	lose(1, 1, 1);
	end(1, 1);
	lose(2, 2, 1);
	end(2, 1);
	lose(3, 3, 1);
	end(3, 1);
	lose(1, 4, 2);
	end(4, 2);
	EXPECT_TRUE(is_held(1, 2)) << "two of four ends";
	lose(4, 5, 3);
	end(5, 3);
	EXPECT_FALSE(is_held(1, 3)) << "two of five";
	lose(1, 6, 4);
	end(6, 4);
	EXPECT_TRUE(is_held(1, 4));
}
