#include "core/gateway/wait_room.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <vector>

static const int64_t ms = 1000;
static const int64_t start_us = 1000 * G_USEC_PER_SEC;

/* A room whose requests are named by numbers from 1. */
class WaitRoom : public testing::Test
{
      protected:
	struct wait_room *room = wait_room_create();
	int64_t now_us = start_us;
	int64_t retry_after_us = 0;
	std::map<int, struct wait_ticket *> tickets;

	void TearDown() override
	{
		wait_room_destroy(room);
	}

	/* Returns whether it waits. Its first event is due in due_ms. */
	bool Admit(int name, const std::string &organisation, int rank,
		   bool is_deferrable, int64_t tokens, int64_t due_ms,
		   int64_t prompt_tokens = 0, bool is_restricted = false)
	{
		struct wait_request request = {};
		struct wait_ticket *ticket;

		request.organisation = organisation.c_str();
		request.weight = 1;
		request.rank = rank;
		request.is_deferrable = is_deferrable;
		request.is_restricted = is_restricted;
		request.tokens = tokens;
		request.prompt_tokens = prompt_tokens;
		request.due_us = now_us + due_ms * ms;
		request.owner = GINT_TO_POINTER(name);
		retry_after_us = 0;
		ticket = wait_room_admit(room, &request, now_us,
					 &retry_after_us);
		if (ticket)
			tickets[name] = ticket;
		return ticket;
	}

	int Next()
	{
		struct wait_ticket *ticket = wait_room_next(room, now_us);

		return ticket ? GPOINTER_TO_INT(wait_ticket_owner(ticket)) : 0;
	}

	/* Grants all in their order and returns it. */
	std::vector<int> GrantAll()
	{
		std::vector<int> order;
		int name;

		wait_room_begin_round(room);
		while ((name = Next())) {
			order.push_back(name);
			wait_room_grant(room, tickets[name]);
		}
		return order;
	}

	/* Frees so many tokens in each 100 ms of a time. */
	void Free(int64_t tokens, int64_t for_ms)
	{
		for (int64_t i = 0; i < for_ms; i += 100) {
			wait_room_note_freed(room, tokens, now_us);
			now_us += 100 * ms;
		}
	}
};

/* Guards against an urgent request that waits behind one that can wait. */
TEST_F(WaitRoom, GrantsTheMostUrgentFirst)
{
	ASSERT_TRUE(Admit(1, "a", 2, true, 3800, 4000));
	ASSERT_TRUE(Admit(2, "a", 2, true, 3800, 3000));
	ASSERT_TRUE(Admit(3, "b", 0, false, 2500, 1500));
	EXPECT_EQ((std::vector<int>{3, 2, 1}), GrantAll());
	EXPECT_EQ(0u, wait_room_length(room));
}

/* Guards against a lane that goes first although its ranks are worse. */
TEST_F(WaitRoom, RankDecidesBetweenTheLanes)
{
	ASSERT_TRUE(Admit(1, "a", 1, false, 2500, 1500));
	ASSERT_TRUE(Admit(2, "b", 0, true, 3800, 4000));
	EXPECT_EQ((std::vector<int>{2, 1}), GrantAll());
}

/* Guards against free capacity that nobody gets behind a large request. */
TEST_F(WaitRoom, TriesSmallerOnesBehindOneThatDoesNotFit)
{
	ASSERT_TRUE(Admit(1, "a", 0, false, 3800, 1000));
	ASSERT_TRUE(Admit(2, "b", 0, false, 2500, 1500));
	ASSERT_TRUE(Admit(3, "c", 0, false, 3900, 1500));
	wait_room_begin_round(room);
	ASSERT_EQ(1, Next());
	wait_room_pass_over(room, tickets[1]);
	ASSERT_EQ(2, Next());
	wait_room_grant(room, tickets[2]);
	EXPECT_EQ(0, Next()) << "3,900 fit where 3,800 do not";
	wait_room_begin_round(room);
	EXPECT_EQ(1, Next());
}

/* Guards against a request of one region that holds back all others. */
TEST_F(WaitRoom, OneThatIsRestrictedTellsNothingOfOthers)
{
	ASSERT_TRUE(Admit(1, "a", 0, false, 2500, 1000, 0, true));
	ASSERT_TRUE(Admit(2, "b", 0, false, 2500, 1500));
	wait_room_begin_round(room);
	ASSERT_EQ(1, Next());
	wait_room_pass_over(room, tickets[1]);
	EXPECT_EQ(2, Next());
}

/* Guards against one that is due too soon and holds back all that are not. */
TEST_F(WaitRoom, OneThatWouldBeLateTellsNothingOfOthers)
{
	ASSERT_TRUE(Admit(1, "a", 0, false, 2500, 1000));
	ASSERT_TRUE(Admit(2, "b", 0, false, 2500, 1500));
	wait_room_begin_round(room);
	ASSERT_EQ(1, Next());
	wait_room_pass_over_one(room, tickets[1]);
	EXPECT_EQ(2, Next());
}

/* Guards against an organisation that takes all by asking most. */
TEST_F(WaitRoom, OrganisationsGetEqualShares)
{
	std::vector<int> order;
	int of_small = 0;

	for (int i = 1; i <= 30; i++)
		ASSERT_TRUE(Admit(i, "large", 2, true, 3800, 4000));
	for (int i = 31; i <= 35; i++)
		ASSERT_TRUE(Admit(i, "small", 2, true, 3800, 4000));
	order = GrantAll();
	for (size_t i = 0; i < 10; i++)
		of_small += order[i] > 30;
	EXPECT_EQ(5, of_small);
}

/* Guards against a grant whose prompt can't be read in time any more. */
TEST_F(WaitRoom, TheLatestStartLeavesTimeToReadThePrompt)
{
	EXPECT_FALSE(Admit(1, "a", 0, false, 7100, 900, 7000));
	EXPECT_EQ(-1, retry_after_us);
	ASSERT_TRUE(Admit(2, "a", 0, false, 7100, 1200, 7000));
	now_us += 200 * ms;
	EXPECT_EQ(nullptr, wait_room_expired(room, now_us));
	now_us += ms;
	EXPECT_EQ(tickets[2], wait_room_expired(room, now_us));
}

/* Guards against callers who wait for what the forecast rules out. */
TEST_F(WaitRoom, RefusesWhatTheForecastRulesOut)
{
	Free(1000, 2000);
	for (int i = 1; i <= 10; i++)
		ASSERT_TRUE(Admit(i, "a", 0, false, 1000, 1500));
	EXPECT_TRUE(Admit(11, "a", 0, false, 1000, 1200));
	EXPECT_FALSE(Admit(12, "a", 0, false, 1000, 1100));
	EXPECT_NEAR(1200 * ms, retry_after_us, 20 * ms);
	EXPECT_TRUE(Admit(13, "b", 0, false, 1000, 1100)) << "a fair share";
	EXPECT_FALSE(Admit(14, "b", 1, false, 1000, 1100)) << "a worse rank";
}

/* Guards against log lines whose figures are not those that decided. */
TEST_F(WaitRoom, TellsWhatTheForecastIsMadeOf)
{
	struct wait_request request = {};
	struct wait_forecast forecast = {};

	request.organisation = "a";
	request.weight = 1;
	request.rank = 1;
	request.tokens = 1000;
	request.prompt_tokens = 700;
	request.due_us = now_us + 2500 * ms;
	wait_room_forecast(room, &request, now_us, &forecast);
	EXPECT_EQ(-1, forecast.wait_us) << "not known";
	EXPECT_EQ(0, forecast.freed_per_s);
	EXPECT_EQ(2400 * ms, forecast.start_within_us);
	Free(1000, 2000);
	request.due_us = now_us + 2500 * ms;
	ASSERT_TRUE(Admit(1, "a", 0, false, 3000, 2500));
	ASSERT_TRUE(Admit(2, "a", 1, false, 2000, 2500));
	ASSERT_TRUE(Admit(3, "a", 2, false, 4000, 2500));
	wait_room_forecast(room, &request, now_us, &forecast);
	EXPECT_EQ(5000, forecast.tokens_ahead) << "not those of a worse rank";
	EXPECT_NEAR(10000, forecast.freed_per_s, 100);
	EXPECT_NEAR(600 * ms, forecast.wait_us, 6 * ms);
	EXPECT_EQ(3u, forecast.waiting);
}

/* Guards against refusals for which there is no evidence. */
TEST_F(WaitRoom, WithoutEvidenceNothingIsRefused)
{
	EXPECT_TRUE(Admit(1, "a", 0, false, 100000, 100));
	Free(1, 400);
	EXPECT_TRUE(Admit(2, "a", 0, false, 100000, 100));
	Free(1, 200);
	EXPECT_FALSE(Admit(3, "a", 0, false, 100000, 100));
}

/* Guards against a forecast by what was freed long ago. */
TEST_F(WaitRoom, ForgetsWhatWasFreedLongAgo)
{
	Free(100000, 1000);
	Free(100, 2000);
	EXPECT_FALSE(Admit(1, "a", 0, false, 3000, 2500));
	EXPECT_NEAR(3000 * ms, retry_after_us, 200 * ms);
}

/* Guards against memory that callers can fill without bound. */
TEST_F(WaitRoom, HoldsALimitedNumber)
{
	for (int i = 1; i <= WAIT_ROOM_MAX_REQUESTS; i++)
		ASSERT_TRUE(
			Admit(i, "o" + std::to_string(i), 0, false, 1, 10000));
	EXPECT_FALSE(Admit(2000, "a", 0, false, 1, 10000));
	wait_room_withdraw(room, tickets[7]);
	EXPECT_TRUE(Admit(2001, "a", 0, false, 1, 10000));
	EXPECT_EQ((size_t)WAIT_ROOM_MAX_REQUESTS, GrantAll().size());
}

/* Guards against an entry that is found after it was withdrawn. */
TEST_F(WaitRoom, AWithdrawnOneIsGone)
{
	ASSERT_TRUE(Admit(1, "a", 0, false, 2500, 100));
	ASSERT_TRUE(Admit(2, "a", 0, false, 2500, 200));
	wait_room_withdraw(room, tickets[1]);
	now_us += 150 * ms;
	EXPECT_EQ(nullptr, wait_room_expired(room, now_us));
	EXPECT_EQ((std::vector<int>{2}), GrantAll());
	EXPECT_EQ(nullptr, wait_room_first(room));
}

/*
 * Ten servers hold 3,000 tokens each for 1 s. Every 80 ms a request comes,
 * which may wait for 2 s, so that a fifth has to be refused.
 */
class WaitRoomScene : public WaitRoom
{
      protected:
	int in_time = 0, late = 0, refused = 0, off = 0;
	int64_t error_us = 0; /* of forecasts, sum */
	std::deque<int64_t> ends;
	std::map<int, int64_t> forecast_us; /* time of the grant */

	void Step()
	{
		int64_t freed = 0;
		int name;

		now_us += 20 * ms;
		while (!ends.empty() && ends.front() <= now_us) {
			ends.pop_front();
			freed += 3000;
		}
		wait_room_note_freed(room, freed, now_us);
		for (; wait_room_expired(room, now_us); late++)
			wait_room_withdraw(room,
					   wait_room_expired(room, now_us));
		wait_room_begin_round(room);
		while (ends.size() < 10 && (name = Next())) {
			int64_t error = llabs(now_us - forecast_us[name]);

			wait_room_grant(room, tickets[name]);
			ends.push_back(now_us + 1000 * ms);
			error_us += error;
			off += error > 300 * ms;
			in_time++;
		}
	}

	void Play(int organisations)
	{
		for (int64_t i = 0; i < 10; i++)
			ends.push_back(now_us + i * 100 * ms);
		for (int i = 0; i < 200; i++) /* evidence for the forecast */
			Step();
		for (int i = 1; i <= 500; i++) {
			for (int step = 0; step < 4; step++)
				Step();
			if (!Admit(i, "o" + std::to_string(i % organisations),
				   1, true, 3000, 2000)) {
				refused++;
				continue;
			}
			forecast_us[i] =
				now_us + wait_room_retry_after_us(
						 room, tickets[i], now_us);
		}
		printf("in time %d, late %d, refused at once %d, mean error of "
		       "the forecast %ld ms, off by 300 ms: %d\n",
		       in_time, late, refused,
		       (long)(error_us / in_time / 1000), off);
	}
};

/* Prints what a decision costs with 1,000 requests; at most 5 us are allowed.
 */
TEST_F(WaitRoom, PrintsTheCostOfADecision)
{
	const int count = 20000;

	Free(100000, 2000);
	for (int i = 1; i <= 1000; i++)
		ASSERT_TRUE(Admit(i, "o" + std::to_string(i % 24),
				  i % 3 ? 2 : 0, i % 3 != 0, 100 + i % 7,
				  60000));
	auto begun = std::chrono::steady_clock::now();
	for (int i = 0; i < count; i++) {
		wait_room_begin_round(room);
		wait_room_pass_over(room, wait_room_next(room, now_us));
		wait_room_next(room, now_us);
		wait_room_expired(room, now_us);
	}
	auto middle = std::chrono::steady_clock::now();
	for (int i = 0; i < count; i++) {
		Admit(2000, "o1", 0, false, 100, 60000);
		wait_room_withdraw(room, tickets[2000]);
	}
	auto end = std::chrono::steady_clock::now();
	printf("a round without a grant %.2f us, an admission and a withdrawal "
	       "%.2f us\n",
	       std::chrono::duration<double, std::micro>(middle - begun)
			       .count() /
		       count,
	       std::chrono::duration<double, std::micro>(end - middle).count() /
		       count);
}

/* Guards against a forecast that has nothing to do with what happens. */
TEST_F(WaitRoomScene, TheForecastIsCloseToWhatHappens)
{
	Play(1);
	EXPECT_GE(in_time, 395) << "capacity for 400";
	EXPECT_LE(late, 12) << "accepted, but not served in time";
	EXPECT_LE(error_us / in_time, 120 * ms);
	EXPECT_LE(off, 20);
}

/* The same with newcomers of other organisations that may go first. */
TEST_F(WaitRoomScene, TheForecastKnowsOfFairShares)
{
	Play(3);
	EXPECT_GE(in_time, 395) << "capacity for 400";
	EXPECT_LE(late, 20) << "accepted, but not served in time";
	EXPECT_LE(error_us / in_time, 150 * ms);
	EXPECT_LE(off, 40);
}
