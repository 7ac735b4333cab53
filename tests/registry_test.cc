#include "core/gateway/registry.h"
#include "ports/peer_message.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

static constexpr int64_t second_us = 1000000;

class Registry : public testing::Test
{
      protected:
	struct registry *registry = registry_create();
	int64_t now_us = second_us;

	~Registry() override
	{
		registry_destroy(registry);
	}

	static struct registration *say(const char *id, int64_t revision,
					bool leaving = false,
					int64_t started_ms = 0)
	{
		struct registration *said = g_new0(struct registration, 1);

		said->id = g_strdup(id);
		said->service = g_strdup("engines");
		said->address = g_strdup("10.0.0.1:9000");
		said->failure_domain = g_strdup("a");
		said->slots = 24;
		said->revision = revision;
		said->is_leaving = leaving;
		said->started_ms = started_ms;
		return said;
	}

	bool take(struct registration *said, bool doubtful = false)
	{
		bool changed = registry_take(registry, said, doubtful, now_us);

		registration_destroy(said);
		return changed;
	}

	bool remove(const char *id, int64_t revision, bool doubtful = false)
	{
		struct registration *said = g_new0(struct registration, 1);

		said->id = g_strdup(id);
		said->revision = revision;
		said->is_removed = true;
		return take(said, doubtful);
	}

	enum endpoint_presence presence(const char *id)
	{
		return registry_find(registry, id)->presence;
	}

	void step(int64_t doubted_before_us)
	{
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

		registry_step(registry, doubted_before_us, now_us, changed);
		g_ptr_array_unref(changed);
	}
};

/*
 * An engine keeps a copy of a run, says other things of itself, and then starts
 * again under its id: the copy is gone, though the engine is there. Whoever
 * asked it to go on would have the run begin a second time.
 */
TEST_F(Registry, KnowsThatAnEngineThatStartedAgainKeptNothing)
{
	const struct endpoint *engine;
	int64_t known_us;

	take(say("e1", 5, false, 100));
	engine = registry_find(registry, "e1");
	known_us = engine->known_us;
	now_us += second_us;
	take(say("e1", 6, false, 100));
	EXPECT_TRUE(endpoint_keeps_since(engine, known_us));
	now_us += second_us;
	take(say("e1", 7, false, 200));
	EXPECT_TRUE(endpoint_is_usable(engine));
	EXPECT_FALSE(endpoint_keeps_since(engine, known_us));
}

/*
 * An endpoint leaves, and a peer that lags still says that it is ready. The
 * older word must not bring it back: it would get work that it cannot end.
 */
TEST_F(Registry, NeverGoesBackToOlderNews)
{
	EXPECT_TRUE(take(say("e1", 4)));
	EXPECT_TRUE(take(say("e1", 6, true)));
	EXPECT_FALSE(take(say("e1", 5)));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e1"));
	EXPECT_TRUE(remove("e1", 7));
	EXPECT_FALSE(take(say("e1", 6)));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
}

/*
 * The store was away and the leases of its writers ran out; the endpoints
 * serve on. Callers must not be refused until they have registered again, and
 * one that does not come back is given up.
 */
TEST_F(Registry, KeepsUsingWhatMayOnlyHaveLapsed)
{
	take(say("e1", 4));
	take(say("e2", 5));
	EXPECT_TRUE(remove("e1", 8, true));
	EXPECT_TRUE(remove("e2", 9, true));
	EXPECT_EQ(2u, registry_ready_count(registry, "engines"));
	EXPECT_TRUE(take(say("e1", 10)));
	step(now_us - 1);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e2"));
	step(now_us);
	EXPECT_EQ(PRESENCE_GONE, presence("e2"));
	EXPECT_EQ(PRESENCE_READY, presence("e1"));
}

/* A peer that watched without a break knows that the entry did not lapse. */
TEST_F(Registry, BelievesAPeerThatHasNoDoubt)
{
	take(say("e1", 4));
	remove("e1", 8, true);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	EXPECT_TRUE(remove("e1", 8));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
}

/* What is missing in a whole reading was removed, unless it is newer. */
TEST_F(Registry, TakesAWholeReading)
{
	GPtrArray *list = registration_list_create();
	GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

	take(say("old", 4));
	take(say("newer", 20));
	g_ptr_array_add(list, say("found", 9));
	registry_take_all(registry, list, 10, false, now_us, changed);
	EXPECT_EQ(2u, changed->len);
	EXPECT_EQ(PRESENCE_GONE, presence("old"));
	EXPECT_EQ(PRESENCE_READY, presence("newer"));
	EXPECT_EQ(PRESENCE_READY, presence("found"));
	g_ptr_array_unref(list);
	g_ptr_array_unref(changed);
}

/*
 * An engine starts again under its old id. What failed at its earlier life
 * says nothing of it.
 */
TEST_F(Registry, ForgetsTheFailuresOfAnEarlierStart)
{
	struct endpoint *endpoint;

	take(say("e1", 4, false, 1000));
	endpoint = registry_find(registry, "e1");
	endpoint_health_put_aside(&endpoint->health, now_us);
	take(say("e1", 5, false, 1000));
	EXPECT_FALSE(endpoint_health_allows(&endpoint->health));
	take(say("e1", 6, false, 2000));
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
}

/* The same where it doesn't say when it began, but listens elsewhere. */
TEST_F(Registry, TakesAnotherAddressForAnotherStart)
{
	struct registration *moved = say("e1", 5);
	struct endpoint *endpoint;

	take(say("e1", 4));
	endpoint = registry_find(registry, "e1");
	endpoint_health_put_aside(&endpoint->health, now_us);
	g_free(moved->address);
	moved->address = g_strdup("10.0.0.2:9000");
	take(moved);
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
}

/*
 * Another node reports all that it holds each time; the last word counts, and
 * a node that fell silent holds nothing any more.
 */
TEST_F(Registry, AddsUpWhatOtherNodesHold)
{
	auto report = [&](const char *node, int32_t requests) {
		struct peer_message *message =
			peer_message_create(PEER_STANDING);
		struct peer_held *one = peer_standing_add(&message->standing,
							  endpoint_key("e1"));

		one->requests = requests;
		one->tokens = requests * 100;
		registry_take_held(registry, node, 1, message->standing.held,
				   now_us);
		peer_message_destroy(message);
	};

	report("n1", 3);
	take(say("e1", 4));
	report("n2", 4);
	EXPECT_EQ(7, registry_find(registry, "e1")->others.requests);
	now_us += second_us;
	report("n1", 1);
	EXPECT_EQ(5, registry_find(registry, "e1")->others.requests);
	registry_forget_silent(registry, now_us);
	EXPECT_EQ(1, registry_find(registry, "e1")->others.requests);
	EXPECT_EQ(100, registry_find(registry, "e1")->others.tokens);
}

/*
 * An endpoint is forgotten while another node still says that it holds
 * something there, and comes back under its id: what that node holds counts
 * again, once, and leaves nothing behind when the node holds nothing.
 */
TEST_F(Registry, CountsWhatIsHeldAgainAfterForgetting)
{
	struct peer_message *message = peer_message_create(PEER_STANDING);
	GArray *held = message->standing.held;

	peer_standing_add(&message->standing, endpoint_key("e1"))->requests = 3;
	peer_standing_add(&message->standing, endpoint_key("e2"))->requests = 4;
	take(say("e1", 4));
	registry_take_held(registry, "n1", 1, held, now_us);
	remove("e1", 5);
	now_us += 61 * second_us;
	step(INT64_MIN);
	ASSERT_EQ(nullptr, registry_find(registry, "e1"));
	registry_take_held(registry, "n1", 1, held, now_us);
	take(say("e1", 6));
	take(say("e2", 6));
	EXPECT_EQ(3, registry_find(registry, "e1")->others.requests);
	EXPECT_EQ(4, registry_find(registry, "e2")->others.requests);
	g_array_set_size(held, 0);
	registry_take_held(registry, "n1", 1, held, now_us);
	EXPECT_EQ(0, registry_find(registry, "e1")->others.requests);
	EXPECT_EQ(0, registry_find(registry, "e2")->others.requests);
	peer_message_destroy(message);
}

/* Gone endpoints are remembered for a minute and then forgotten. */
TEST_F(Registry, ForgetsTheLongGone)
{
	take(say("e1", 4));
	remove("e1", 5);
	now_us += 61 * second_us;
	step(INT64_MIN);
	EXPECT_EQ(nullptr, registry_find(registry, "e1"));
	EXPECT_EQ(0u, registry_endpoints(registry)->len);
}

/*
 * An engine refused a connection once and was put aside for two seconds. It
 * must get requests again after that, one at first, also if nobody ever tries
 * it in between; left aside for good, each such moment would cost an engine.
 */
TEST_F(Registry, BringsBackWhatWasPutAside)
{
	struct endpoint *endpoint;

	take(say("e1", 4));
	endpoint = registry_find(registry, "e1");
	endpoint_health_put_aside(&endpoint->health, now_us);
	step(INT64_MIN);
	EXPECT_FALSE(endpoint_health_allows(&endpoint->health));
	now_us += 3 * second_us;
	step(INT64_MIN);
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
	endpoint_health_count_placed(&endpoint->health);
	EXPECT_FALSE(endpoint_health_allows(&endpoint->health));
	step(INT64_MIN);
	EXPECT_TRUE(endpoint_health_allows(&endpoint->health));
}

/* Guards against new work on an engine that says itself that it leaves. */
TEST_F(Registry, TakesAnEnginesWordForARemovalInDoubt)
{
	take(say("e1", 5));
	take(say("e2", 6));
	remove("e1", 7, true);
	EXPECT_EQ(PRESENCE_DOUBTED, presence("e1"));
	EXPECT_TRUE(registry_mark_leaving(registry, "e1", now_us));
	EXPECT_EQ(PRESENCE_GONE, presence("e1"));
	EXPECT_TRUE(registry_mark_leaving(registry, "e2", now_us));
	EXPECT_EQ(PRESENCE_LEAVING, presence("e2"));
	EXPECT_FALSE(registry_mark_leaving(registry, "e1", now_us));
}
