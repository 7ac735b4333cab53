#include "core/gateway/endpoint_choice.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

/*
 * Generations on engines of 34,000 tokens and 24 slots, the size and mix of
 * the reporting service: prompts of 3,000 tokens, answers of about 900.
 */
class EndpointChoice : public testing::Test
{
      protected:
	struct registry *registry = registry_create();
	struct engine_ability engine = {};
	struct endpoint_wish wish = {};
	GPtrArray *avoid = g_ptr_array_new_with_free_func(g_free);

	EndpointChoice()
	{
		engine.slots = 24;
		engine.memory_tokens = 34000;
		engine.can_back_up = true;
		wish.service = "engines";
		wish.engine = &engine;
		wish.failure_domain = "a";
		wish.avoid = avoid;
		wish.tokens = 3400;
		wish.now_us = 1000000;
	}

	~EndpointChoice() override
	{
		registry_destroy(registry);
		g_ptr_array_unref(avoid);
	}

	struct endpoint *add(const char *id, int64_t tokens, int32_t requests,
			     const char *domain = "a")
	{
		struct registration said = {};
		struct endpoint *endpoint;

		said.id = const_cast<char *>(id);
		said.service = const_cast<char *>("engines");
		said.address = const_cast<char *>("10.0.0.1:9000");
		said.failure_domain = const_cast<char *>(domain);
		said.slots = 24;
		said.revision = 1;
		registry_take(registry, &said, false, 0);
		endpoint = registry_find(registry, id);
		endpoint->others.tokens = tokens;
		endpoint->others.requests = requests;
		return endpoint;
	}

	std::string choose()
	{
		struct endpoint *found = endpoint_choose(registry, &wish);

		return found ? found->said->id : "none";
	}

	std::string backup()
	{
		struct endpoint *found =
			endpoint_choose_backup(registry, &wish);

		return found ? found->said->id : "none";
	}
};

TEST_F(EndpointChoice, TakesTheEngineWithTheMostRoom)
{
	add("busy", 20000, 5);
	add("free", 9000, 3);
	EXPECT_EQ("free", choose());
}

/*
 * Many prompts arrive at once. An engine that still has three of them to read
 * makes the next one wait for a second, though it has room in memory.
 */
TEST_F(EndpointChoice, SpreadsPromptsThatAreStillToBeRead)
{
	add("reading", 9000, 3)->others.unread_tokens = 9000;
	add("running", 16000, 4);
	EXPECT_EQ("running", choose());
}

/*
 * Everything is full. A request is still placed a little over the plan, and
 * refused where engines would have to preempt others for it.
 */
TEST_F(EndpointChoice, RefusesBeforeEnginesPreempt)
{
	struct endpoint *only = add("only", 29800, 8);

	EXPECT_EQ("only", choose());
	only->others.tokens = 32000;
	EXPECT_EQ("only", choose());
	only->others.tokens = 33000;
	EXPECT_EQ("none", choose());
	EXPECT_EQ(nullptr, endpoint_choose_rescue(registry, &wish));
}

/*
 * Load: engines are full, and one leaves with its reports. Moved to engines
 * that have no room to spare they made these preempt others there, and more
 * callers were late than reports were saved. A report moves where it fits.
 */
TEST_F(EndpointChoice, MovesReportsOnlyWhereTheyFit)
{
	add("full", 21000, 6);
	EXPECT_EQ(nullptr, endpoint_choose_rescue(registry, &wish));
	add("new", 3000, 1);
	EXPECT_STREQ("new", endpoint_choose_rescue(registry, &wish)->said->id);
}

TEST_F(EndpointChoice, KeepsBackupsOnlyWhereThereIsRoomToSpare)
{
	struct endpoint *only = add("only", 18000, 4);

	EXPECT_EQ("only", backup());
	only->others.tokens = 19000;
	EXPECT_EQ("none", backup());
	only->others.tokens = 0;
	wish.avoid_also = "only";
	EXPECT_EQ("none", backup());
}

TEST_F(EndpointChoice, GivesNothingToOnesThatLeaveOrAreFull)
{
	struct endpoint *leaving = add("leaving", 0, 0);
	struct endpoint *full = add("full", 0, 0);

	leaving->presence = PRESENCE_LEAVING;
	full->full_until_us = wish.now_us + 1;
	EXPECT_EQ("none", choose());
	add("last", 20000, 6);
	EXPECT_EQ("last", choose());
	g_ptr_array_add(avoid, g_strdup("last"));
	EXPECT_EQ("none", choose());
}

/*
 * Load: two engines of five leave with eight reports each, and the others are
 * half full. New requests come faster than reports move, and took the room that
 * was left: the reports were refused by one engine after the other and cut off.
 * While they have not moved, new requests are refused, and the reports find
 * room; then the same room is there for new ones.
 */
TEST_F(EndpointChoice, KeepsRoomForReportsOfEnginesThatLeave)
{
	struct endpoint *leaving[] = {add("leaving", 28000, 8),
				      add("leaving too", 28000, 8)};

	add("one", 17000, 5);
	add("two", 17100, 5);
	add("three", 17200, 5);
	for (struct endpoint *each : leaving)
		each->presence = PRESENCE_LEAVING;
	EXPECT_EQ("none", choose());
	EXPECT_NE(nullptr, endpoint_choose_rescue(registry, &wish));
	for (struct endpoint *each : leaving)
		each->others = {};
	EXPECT_EQ("one", choose());
}

/* What leaves with copies of others' reports alone needs no room. */
TEST_F(EndpointChoice, KeepsNoRoomForCopiesThatLeave)
{
	struct endpoint *leaving = add("leaving", 28000, 0);

	leaving->presence = PRESENCE_LEAVING;
	leaving->others.copies = 8;
	add("one", 23800, 7);
	EXPECT_EQ("one", choose());
}

/* A copy to another failure domain takes twice as long on the link. */
TEST_F(EndpointChoice, PrefersTheNearEndpointForCopies)
{
	add("near", 12000, 4);
	add("far", 8000, 3, "b");
	EXPECT_EQ("far", choose());
	wish.far_weight = 0.3;
	EXPECT_EQ("near", choose());
}

/*
 * Engines crashed one after the other and are back. One that looks bad gets
 * nothing while another has room; when all do, a caller must not be refused
 * for seconds by engines that would serve it.
 */
TEST_F(EndpointChoice, TriesAnEngineThatLooksBadLast)
{
	endpoint_health_put_aside(&add("aside", 0, 0)->health, wish.now_us);
	EXPECT_EQ("aside", choose());
	add("good", 29000, 8);
	EXPECT_EQ("good", choose());
}

/*
 * Two other nodes say that the emptiest engine breaks off what it runs. This
 * node has lost nothing there yet, and is to lose nothing.
 */
TEST_F(EndpointChoice, BelievesOtherNodesOfAnEngineThatBreaksOff)
{
	struct endpoint *broken = add("broken", 0, 0);

	add("good", 20000, 6);
	EXPECT_EQ("broken", choose());
	endpoint_word_take(&broken->word, 2, wish.now_us);
	endpoint_word_take(&broken->word, 3, wish.now_us);
	EXPECT_EQ("good", choose());
}

/*
 * Ten nodes were cut off from everything. Back again, they tell of all that
 * broke off meanwhile, at engine after engine. Believed, no engine would take a
 * report whose own one leaves, or a backup, for two seconds: so many engines
 * at once do not break, the ways to them do.
 */
TEST_F(EndpointChoice, DoesNotBelieveThatMostEnginesBreakOff)
{
	for (const char *id : {"one", "two", "three", "four"}) {
		struct endpoint *endpoint = add(id, 9000, 3);

		endpoint_word_take(&endpoint->word, 2, wish.now_us);
		endpoint_word_take(&endpoint->word, 3, wish.now_us);
	}
	EXPECT_NE("none", backup());
	EXPECT_NE(nullptr, endpoint_choose_rescue(registry, &wish));
}

/*
 * A plain service of which all endpoints look bad: they may have recovered,
 * and a refusal would be certain.
 */
TEST_F(EndpointChoice, TriesAPlainServiceThatLooksBad)
{
	struct endpoint *one = add("one", 0, 0);

	wish.engine = nullptr;
	wish.tokens = 0;
	endpoint_health_put_aside(&one->health, wish.now_us);
	EXPECT_EQ("one", choose());
}

/* An endpoint with many errors of its own gets fewer requests, not none. */
TEST_F(EndpointChoice, ShiftsRequestsAwayFromErrors)
{
	struct endpoint *grey = add("grey", 0, 0);

	add("good", 0, 2);
	wish.engine = nullptr;
	EXPECT_EQ("grey", choose());
	for (int i = 0; i < 10; i++)
		endpoint_count_answer(grey, true);
	EXPECT_EQ("good", choose());
}

/* Nodes that decide at once, by the same numbers, spread over equal engines. */
TEST_F(EndpointChoice, SpreadsDecisionsOfTheSameMoment)
{
	std::map<std::string, int> counts;

	for (const char *id : {"e1", "e2", "e3", "e4"})
		add(id, 9000, 3);
	for (int i = 0; i < 200; i++) {
		wish.draw = i / 200.0;
		counts[choose()]++;
	}
	EXPECT_EQ(4u, counts.size());
	for (const auto &count : counts)
		EXPECT_LT(count.second, 120) << count.first;
}
