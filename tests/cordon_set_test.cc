#include "core/base/store_position.h"
#include "core/gateway/cordon_set.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

static constexpr int64_t second_us = 1000000;

class CordonSet : public testing::Test
{
      protected:
	struct cordon_set *set = cordon_set_create();
	int64_t now_us = second_us;

	~CordonSet() override
	{
		cordon_set_destroy(set);
	}

	bool apply(const char *domain, int64_t position, bool is_lifted = false)
	{
		struct cordon *news =
			cordon_create(domain, position, is_lifted);
		bool changed = cordon_set_apply(set, news, now_us);

		cordon_destroy(news);
		return changed;
	}

	size_t list(std::vector<std::string> domains, int64_t position)
	{
		GPtrArray *list = cordon_list_create();
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);
		size_t count;

		for (const std::string &domain : domains)
			g_ptr_array_add(list, cordon_create(domain.c_str(),
							    position, false));
		cordon_set_apply_listing(set, list, position, now_us, changed);
		count = changed->len;
		g_ptr_array_unref(changed);
		g_ptr_array_unref(list);
		return count;
	}

	size_t step()
	{
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);
		size_t count;

		cordon_set_step(set, now_us, changed);
		count = changed->len;
		g_ptr_array_unref(changed);
		return count;
	}

	bool covers(const char *domain)
	{
		return cordon_set_covers(set, domain);
	}

	static int64_t position(int64_t era, int64_t revision)
	{
		int64_t position = 0;

		EXPECT_TRUE(store_position_make(era, revision, &position));
		return position;
	}
};

/* Guards against a cordon that late news from a lagging node lifts. */
TEST_F(CordonSet, IgnoresOlderNews)
{
	EXPECT_TRUE(apply("a", 10));
	EXPECT_FALSE(apply("a", 9, true));
	EXPECT_FALSE(apply("a", 10, true));
	EXPECT_TRUE(covers("a"));
	EXPECT_TRUE(apply("a", 11, true));
	EXPECT_FALSE(apply("a", 10));
	EXPECT_FALSE(covers("a"));
}

/* Guards against a domain cordoned again while its lifting is on its way. */
TEST_F(CordonSet, KeepsTwoDomainsApartAndTakesOneTwice)
{
	apply("a", 10);
	apply("b", 11);
	EXPECT_TRUE(covers("a"));
	EXPECT_TRUE(covers("b"));
	EXPECT_FALSE(covers("c"));
	EXPECT_FALSE(apply("a", 14)) << "its lifting was missed";
	EXPECT_FALSE(apply("a", 12, true)) << "older than the second cordon";
	EXPECT_TRUE(covers("a"));
	EXPECT_TRUE(covers("b"));
}

/* Guards against a cordon that is never lifted as the watch missed it. */
TEST_F(CordonSet, ListingLiftsWhatItLacks)
{
	EXPECT_FALSE(cordon_set_is_known(set));
	EXPECT_EQ(2u, list({"a", "b"}, 10));
	EXPECT_TRUE(cordon_set_is_known(set));
	EXPECT_EQ(1u, list({"b"}, 20));
	EXPECT_FALSE(covers("a"));
	EXPECT_TRUE(covers("b"));
	EXPECT_FALSE(apply("a", 15)) << "older than the listing";
}

/* Guards against a listing older than a peer's news lifting its cordon. */
TEST_F(CordonSet, OlderListingLiftsNothing)
{
	apply("a", 30);
	EXPECT_EQ(0u, list({}, 20));
	EXPECT_TRUE(covers("a"));
}

/*
 * Guards against engines that get requests again because the store came back
 * from a copy older than the operator's request.
 */
TEST_F(CordonSet, KeepsACordonThatACopyLacksUntilTheStoreHasSettled)
{
	apply("a", position(3, 50));
	EXPECT_EQ(0u, list({}, position(4, 20)));
	EXPECT_EQ(0u, step());
	EXPECT_TRUE(covers("a"));
	now_us += 2 * second_us;
	apply("a", position(4, 25));
	now_us += 10 * second_us;
	EXPECT_EQ(0u, step()) << "written again";
	EXPECT_TRUE(covers("a"));
	EXPECT_EQ(0u, list({}, position(5, 1)));
	now_us += 7 * second_us;
	EXPECT_EQ(1u, step()) << "not written again";
	EXPECT_FALSE(covers("a"));
}

/* The same for a store that shows no era: its revisions went back. */
TEST_F(CordonSet, RevisionsThatWentBackCountAsANewEra)
{
	apply("a", 50);
	cordon_set_rewind(set);
	EXPECT_EQ(0u, list({}, 20));
	EXPECT_TRUE(covers("a"));
	EXPECT_TRUE(apply("a", 21, true));
	EXPECT_FALSE(covers("a"));
}

/*
 * Guards against a node that the store turns away and that missed the one
 * record: news is repeated, to few nodes at a time and only while it matters.
 */
TEST_F(CordonSet, IsPassedOnOftenWhileFresh)
{
	size_t receivers = 0;

	for (int i = 0; i < 100; i++, now_us += second_us / 10)
		receivers += cordon_set_count_receivers(set, now_us);
	EXPECT_EQ(0u, receivers) << "nothing to tell";
	apply("a", 10);
	for (int i = 0; i < 50; i++, now_us += second_us / 10)
		receivers += cordon_set_count_receivers(set, now_us);
	EXPECT_EQ(30u, receivers);
	now_us += 20 * second_us;
	receivers = 0;
	for (int i = 0; i < 100; i++, now_us += second_us / 10)
		receivers += cordon_set_count_receivers(set, now_us);
	EXPECT_EQ(5u, receivers);
	apply("a", 11, true);
	now_us += 61 * second_us;
	step();
	EXPECT_EQ(0u, cordon_set_count_receivers(set, now_us));
}

/* Bad input: many domains that no endpoint is in change nothing else. */
TEST_F(CordonSet, HoldsAThousandDomains)
{
	for (int i = 0; i < 1000; i++)
		apply(std::to_string(i).c_str(), i + 1);
	EXPECT_TRUE(covers("0"));
	EXPECT_TRUE(covers("999"));
	EXPECT_FALSE(covers("1000"));
	EXPECT_EQ(1000u, list({}, 2000));
}
