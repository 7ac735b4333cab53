#include "core/limit/shared_budgets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr int64_t kTick = 25000;
constexpr int64_t kWindow = 10 * kSecond;

/*
 * Nodes that use every retry they get, and a window that slides over the
 * requests and retries that reach the service, to find the most extra retries
 * in any ten seconds.
 */
class SharedBudgets : public testing::Test
{
      protected:
	std::vector<struct shared_budgets *> nodes;
	int64_t now_us = 0;
	std::deque<std::pair<int64_t, int64_t>> firsts; /* time, count */
	std::deque<std::pair<int64_t, int64_t>> retries;
	int64_t max_extra = 0; /* retries above the share, in a window */

	~SharedBudgets() override
	{
		for (struct shared_budgets *node : nodes)
			shared_budgets_destroy(node);
	}

	struct shared_budgets *CreateNode()
	{
		struct shared_budgets_options options = {20, 54, kWindow};

		return shared_budgets_create(&options, now_us);
	}

	void CreateNodes(size_t count)
	{
		for (size_t i = 0; i < count; i++)
			nodes.push_back(CreateNode());
	}

	static int64_t
	Sum(const std::deque<std::pair<int64_t, int64_t>> &counts)
	{
		int64_t sum = 0;

		for (auto &[at, count] : counts)
			sum += count;
		return sum;
	}

	void DropExpired(std::deque<std::pair<int64_t, int64_t>> *counts)
	{
		while (!counts->empty() &&
		       counts->front().first <= now_us - kWindow)
			counts->pop_front();
	}

	/*
	 * Time passes without requests or retries. known: the number of nodes
	 * that each node sees.
	 */
	void StepIdle(int64_t seconds, size_t known)
	{
		for (int64_t end = now_us + seconds * kSecond; now_us < end;
		     now_us += kTick) {
			for (struct shared_budgets *node : nodes)
				shared_budgets_step(node, known, now_us);
		}
	}

	/* Sends requests for a time and uses every available retry. */
	void UseRetries(int64_t seconds, int64_t requests_per_tick,
			size_t known)
	{
		for (int64_t end = now_us + seconds * kSecond; now_us < end;
		     now_us += kTick) {
			int64_t sent = 0;

			for (struct shared_budgets *node : nodes) {
				struct retry_window *budget;

				shared_budgets_step(node, known, now_us);
				budget = shared_budgets_get(node, "portal");
				for (int64_t i = 0; i < requests_per_tick; i++)
					retry_window_count_request(budget);
				while (retry_window_take(budget))
					sent++;
			}
			firsts.emplace_back(now_us,
					    requests_per_tick *
						    (int64_t)nodes.size());
			retries.emplace_back(now_us, sent);
			DropExpired(&firsts);
			DropExpired(&retries);
			max_extra = std::max(max_extra,
					     Sum(retries) - Sum(firsts) / 5);
		}
	}
};

} // namespace

/* The nodes use all retries at once, and again as they become available. */
TEST_F(SharedBudgets, TogetherStayWithinTheFixedNumber)
{
	CreateNodes(7);
	StepIdle(30, 7);
	UseRetries(60, 1, 7);
	EXPECT_LE(max_extra, 54);
	EXPECT_GE(max_extra, 30); /* the retries do get used */
}

/*
 * Six nodes that know no others, as after a start or in a partition from the
 * beginning, have their full part available: each uses a sixth, not all.
 */
TEST_F(SharedBudgets, StayWithinTheFixedNumberBeforeNodesKnowEachOther)
{
	CreateNodes(6);
	StepIdle(30, 1);
	UseRetries(30, 0, 1);
	EXPECT_LE(max_extra, 54);
	EXPECT_GE(max_extra, 30);
}

/* Partitioned nodes keep the parts that they had before. */
TEST_F(SharedBudgets, ACutDoesNotMultiplyThem)
{
	CreateNodes(9);
	StepIdle(30, 9);
	UseRetries(30, 0, 1);
	EXPECT_LE(max_extra, 54);
	EXPECT_GE(max_extra, 30);
}

/*
 * All nodes are killed with their retries used up and restart: the service must
 * not receive twice the allowed number of retries in a window.
 */
TEST_F(SharedBudgets, RestartsDoNotMultiplyThem)
{
	CreateNodes(7);
	UseRetries(20, 0, 7);
	for (int i = 0; i < 3; i++) {
		for (struct shared_budgets *node : nodes)
			shared_budgets_destroy(node);
		nodes.clear();
		CreateNodes(7);
		UseRetries(3, 0, 7);
	}
	EXPECT_LE(max_extra, 54);
}

/* A node that has run for a while without retries has its part available. */
TEST_F(SharedBudgets, SaveUpWhileNoneAreUsed)
{
	CreateNodes(1);
	StepIdle(30, 6);
	EXPECT_EQ(6, retry_window_remaining(
			     shared_budgets_get(nodes[0], "portal")));
}

/*
 * In a deployment of sixty nodes, engines leave and a node with two generations
 * there needs two retries at once. Its part of the fixed number is less than
 * two, but is enough together with the retries that its requests allow.
 */
TEST_F(SharedBudgets, OfManyNodesEachCanMoveItsOwn)
{
	struct retry_window *budget;

	CreateNodes(1);
	StepIdle(30, 61);
	shared_budgets_set_limits(nodes[0], 20, 162);
	budget = shared_budgets_get(nodes[0], "engines");
	for (int i = 0; i < 10; i++)
		retry_window_count_request(budget);
	EXPECT_TRUE(retry_window_take(budget));
	EXPECT_TRUE(retry_window_take(budget));
}

/* Services do not share retries. */
TEST_F(SharedBudgets, EachServiceHasItsOwn)
{
	struct retry_window *one, *other;

	CreateNodes(1);
	UseRetries(10, 0, 1);
	one = shared_budgets_get(nodes[0], "portal");
	other = shared_budgets_get(nodes[0], "engines");
	while (retry_window_take(one))
		;
	EXPECT_EQ(0, retry_window_remaining(one));
	EXPECT_GT(retry_window_remaining(other), 0);
}

/* Repeated changes of the settings file do not add retries. */
TEST_F(SharedBudgets, OtherLimitsKeepWhatWasUsed)
{
	struct retry_window *budget;

	CreateNodes(1);
	StepIdle(30, 1);
	budget = shared_budgets_get(nodes[0], "portal");
	EXPECT_GT(retry_window_remaining(budget), 0);
	while (retry_window_take(budget))
		;
	for (int i = 0; i < 10; i++)
		shared_budgets_set_limits(nodes[0], 20, 54 + i % 2);
	EXPECT_EQ(0, retry_window_remaining(budget));
}
