#include "core/gateway/endpoint_rates.h"
#include "core/membership/gossip_pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

static constexpr int64_t ms_us = 1000;
static constexpr int64_t second_us = 1000000;
static constexpr int64_t never_us = INT64_MAX;

/*
 * A fleet in virtual time in front of one endpoint. Requests arrive at random
 * nodes; a node that has no share left asks its home, and rejects the request
 * if that has none either. Nodes learn of the limit from their own answers and
 * from records of other nodes, of which one in ten is lost.
 */
class LimitFleet : public testing::Test
{
      protected:
	struct node {
		struct endpoint endpoint = {};
		struct rate_peak peak = {};
		struct gossip_pace pace = {};
		size_t side = 0; /* nodes of other sides are not reached */
		bool is_unheard = false; /* the home never answers it */
		bool is_frozen = false;
		int64_t home_silent_until_us = 0;
	};

	struct event {
		int64_t at_us;
		uint64_t number;
		std::function<void()> run;

		bool operator<(const struct event &other) const
		{
			return at_us > other.at_us ||
			       (at_us == other.at_us && number > other.number);
		}
	};

	std::vector<struct node> nodes;
	std::priority_queue<struct event> events;
	uint64_t event_count = 0;
	int64_t now_us = 100 * second_us;
	int64_t start_us = now_us;
	std::mt19937 random{7};

	/* What the endpoint states, and what it got. */
	struct answered_limit stated = {LIMIT_UNSTATED, 0};
	std::vector<int64_t> arrived_us;
	int64_t rejected = 0;

	~LimitFleet() override
	{
		for (struct node &node : nodes)
			clear(node);
	}

	static void clear(struct node &node)
	{
		rate_window_destroy(node.endpoint.sent_cold);
		rate_window_destroy(node.endpoint.sent_limited);
		rate_window_destroy(node.endpoint.sent_spare);
		node.endpoint = {};
		node.endpoint.key = 0x9e3779b97f4a7c15;
	}

	double draw()
	{
		return std::uniform_real_distribution<double>(0, 1)(random);
	}

	size_t draw_node()
	{
		return (size_t)(draw() * (double)nodes.size());
	}

	void at(int64_t delay_us, std::function<void()> run)
	{
		events.push({now_us + delay_us, event_count++, run});
	}

	void start(size_t count, double requests_per_s)
	{
		nodes.resize(count);
		for (struct node &node : nodes) {
			clear(node);
			rate_peak_init(&node.peak, 1, 60 * second_us,
				       now_us - 10 * second_us);
			rate_peak_update(&node.peak, count, now_us);
		}
		for (size_t i = 0; i < count; i++)
			gossip(i);
		request(requests_per_s);
	}

	void run_until(double s)
	{
		int64_t end_us = start_us + (int64_t)(s * second_us);

		while (!events.empty() && events.top().at_us <= end_us) {
			struct event event = events.top();

			events.pop();
			now_us = event.at_us;
			event.run();
		}
		now_us = end_us;
	}

	/* The nodes of a side, in order. */
	std::vector<size_t> side_of(size_t i) const
	{
		std::vector<size_t> list;

		for (size_t k = 0; k < nodes.size(); k++) {
			if (nodes[k].side == nodes[i].side)
				list.push_back(k);
		}
		return list;
	}

	bool has_just_started(size_t i) const
	{
		return !rate_peak_is_settled(&nodes[i].peak, now_us);
	}

	/* The first node of a side, or the second while that one starts. */
	size_t home_of(size_t i) const
	{
		std::vector<size_t> side = side_of(i);
		size_t home = side.front();

		if (side.size() > 1 && has_just_started(home) &&
		    !has_just_started(side[1]))
			return side[1];
		return home;
	}

	struct endpoint_rates rates_of(size_t i)
	{
		struct endpoint_rates rates = {};
		std::vector<size_t> side = side_of(i);
		size_t index = (size_t)(std::find(side.begin(), side.end(), i) -
					side.begin());

		rate_peak_update(&nodes[i].peak, side.size(), now_us);
		rates.fleet = {side.size(), nodes[i].peak.nodes, side.size(), 0,
			       index};
		rates.is_settled = rate_peak_is_settled(&nodes[i].peak, now_us);
		rates.limit_chooser = side.size() == 1	? RATE_EACH_NODE
				      : home_of(i) == i ? RATE_HOME
				      : now_us < nodes[i].home_silent_until_us
					      ? RATE_HOME_SILENT
					      : RATE_BESIDE_HOME;
		return rates;
	}

	bool allows(size_t i, enum rate_purpose purpose)
	{
		struct endpoint_rates rates = rates_of(i);

		if (!endpoint_rates_allow(&nodes[i].endpoint, &rates, purpose,
					  now_us))
			return false;
		endpoint_rates_count(&nodes[i].endpoint, &rates, now_us);
		return true;
	}

	void request(double per_s)
	{
		at((int64_t)(-std::log(1 - draw()) * second_us / per_s),
		   [this, per_s] {
			   size_t i = draw_node();

			   if (!nodes[i].is_frozen)
				   choose(i);
			   request(per_s);
		   });
	}

	void choose(size_t i)
	{
		size_t home = home_of(i);

		if (allows(i, RATE_FOR_REQUEST))
			send(i);
		else if (home == i || now_us < nodes[i].home_silent_until_us)
			rejected++;
		else if (nodes[home].is_frozen || nodes[i].is_unheard)
			at(100 * ms_us, [this, i] {
				nodes[i].home_silent_until_us =
					now_us + 2700 * ms_us;
				allows(i, RATE_FOR_REQUEST) ? send(i)
							    : (void)rejected++;
			});
		else
			at(3 * ms_us, [this, i, home] {
				bool granted = allows(home, RATE_FOR_REQUEST);

				at(3 * ms_us, [this, i, granted] {
					granted ? send(i) : (void)rejected++;
				});
			});
	}

	void send(size_t i)
	{
		at(2 * ms_us, [this, i] {
			arrived_us.push_back(now_us);
			at(30 * ms_us, [this, i] { answer(i); });
		});
	}

	void answer(size_t i)
	{
		struct endpoint &endpoint = nodes[i].endpoint;
		bool was_limited = endpoint.limit.is_limited;

		if (!endpoint_limit_apply_answer(&endpoint.limit, &stated,
						 now_us))
			return;
		nodes[i].pace.changed_us = now_us;
		for (size_t k = 0; !was_limited && k < nodes.size(); k++)
			tell(i, k);
	}

	void tell(size_t from, size_t to)
	{
		struct endpoint_limit news = nodes[from].endpoint.limit;

		if (nodes[from].side != nodes[to].side || draw() < 0.1 ||
		    from == to)
			return;
		at(3 * ms_us, [this, to, news] {
			if (endpoint_limit_apply(&nodes[to].endpoint.limit,
						 &news))
				nodes[to].pace.changed_us = now_us;
		});
	}

	void gossip(size_t i)
	{
		static const struct gossip_schedule schedule = {
			3 * second_us, 100 * ms_us, 3, second_us};

		at(25 * ms_us, [this, i] {
			size_t count = gossip_pace_count_receivers(
				&nodes[i].pace, &schedule, now_us);

			if (nodes[i].pace.changed_us == 0)
				count = 0;
			while (count-- > 0)
				tell(i, draw_node());
			gossip(i);
		});
	}

	void restart(size_t i)
	{
		size_t side = nodes[i].side;

		clear(nodes[i]);
		nodes[i].side = side;
		nodes[i].pace = {};
		rate_peak_init(&nodes[i].peak, 1, 60 * second_us, now_us);
	}

	/* The most requests that arrived in 4 s after a time. */
	size_t most_in_4_s(double after_s) const
	{
		int64_t after_us = start_us + (int64_t)(after_s * second_us);
		size_t most = 0;

		for (size_t first = 0, i = 0; i < arrived_us.size(); i++) {
			while (arrived_us[i] - arrived_us[first] >=
				       4 * second_us ||
			       arrived_us[first] < after_us)
				if (++first > i)
					break;
			if (first <= i)
				most = std::max(most, i - first + 1);
		}
		return most;
	}

	double rate(double from_s, double to_s) const
	{
		double count = 0;

		for (int64_t us : arrived_us)
			count += us >= start_us + from_s * second_us &&
				 us < start_us + to_s * second_us;
		return count / (to_s - from_s);
	}

	size_t limited_nodes() const
	{
		return (size_t)std::count_if(
			nodes.begin(), nodes.end(),
			[](const struct node &node) {
				return node.endpoint.limit.is_limited;
			});
	}
};

/*
 * Guards against a limit that each node of a large fleet holds for itself
 * alone, or that the fleet divides so finely that nobody may use it.
 */
TEST_F(LimitFleet, LargeFleetHoldsALimitAndUsesIt)
{
	start(480, 100);
	run_until(5);
	EXPECT_NEAR(100, rate(0, 5), 15);
	stated = {LIMIT_STATED, 4800};
	run_until(5.5);
	EXPECT_EQ(480u, limited_nodes()) << "known to all in half a second";
	run_until(25);
	EXPECT_LE(most_in_4_s(5.5), 33u);
	EXPECT_GE(rate(6, 25), 4.8 * 0.8);
	EXPECT_LE(rate(6, 25), 4.8 * 1.1);
	stated = {LIMIT_UNSTATED, 0};
	run_until(30);
	EXPECT_EQ(0u, limited_nodes()) << "given up within 5 s";
	run_until(35);
	EXPECT_NEAR(100, rate(30, 35), 15);
}

/* A few requests a second find their way to a node that may send them. */
TEST_F(LimitFleet, LightDemandIsServedWithinTheLimit)
{
	start(480, 3);
	stated = {LIMIT_STATED, 4800};
	run_until(40);
	EXPECT_LE(most_in_4_s(1), 33u);
	EXPECT_GE(rate(5, 40), 3 * 0.75);
}

/* Guards against shares that add up to more in a fleet that is cut. */
TEST_F(LimitFleet, BothSidesOfACutHoldItTogether)
{
	start(480, 200);
	stated = {LIMIT_STATED, 10000};
	run_until(8);
	for (size_t i = 0; i < nodes.size(); i += 3)
		nodes[i].side = 1;
	run_until(30);
	for (struct node &node : nodes)
		node.side = 0;
	run_until(45);
	EXPECT_LE(most_in_4_s(1), 65u);
	EXPECT_GE(rate(9, 45), 10 * 0.7);
}

/* Guards against nodes that know no limit, or no other node, after a start. */
TEST_F(LimitFleet, RestartsOneAfterTheOtherKeepTheLimit)
{
	start(60, 100);
	stated = {LIMIT_STATED, 6000};
	run_until(6);
	for (size_t i = 0; i < nodes.size(); i++) {
		restart(i);
		/* One of the first nodes it reaches sends it what it knows. */
		tell((i + 7) % nodes.size(), i);
		tell((i + 11) % nodes.size(), i);
		run_until(6 + 0.5 * (double)(i + 1));
	}
	EXPECT_LE(most_in_4_s(1), 41u);
	EXPECT_GE(rate(6, 36), 6 * 0.6);
}

/*
 * Guards against a part of the limit that nobody uses while a home starts, and
 * against two homes that each use all of it.
 */
TEST_F(LimitFleet, TheNextNodeHasThePartOfAHomeThatStarts)
{
	start(7, 50);
	stated = {LIMIT_STATED, 6000};
	run_until(6);
	for (double s = 6; s < 40; s += 3.5) {
		restart(0);
		tell(1, 0);
		tell(2, 0);
		run_until(s + 3.5);
	}
	EXPECT_LE(most_in_4_s(1), 41u);
	EXPECT_GE(rate(6, 40), 6 * 0.9);
}

/* A lower limit applies at once, a higher one soon, to what all nodes send. */
TEST_F(LimitFleet, FollowsALimitThatChanges)
{
	start(59, 100);
	stated = {LIMIT_STATED, 20000};
	run_until(6);
	stated = {LIMIT_STATED, 3000};
	run_until(20);
	EXPECT_LE(most_in_4_s(6.5), 23u);
	stated = {LIMIT_STATED, 20000};
	run_until(40);
	EXPECT_GE(rate(26, 40), 20 * 0.8);
	EXPECT_LE(most_in_4_s(20), 125u);
}

/* To a limit of 0 nothing is sent, and it is held while no answer comes. */
TEST_F(LimitFleet, SendsNothingToALimitOfZero)
{
	start(59, 50);
	stated = {LIMIT_STATED, 0};
	run_until(20);
	EXPECT_EQ(0, rate(1, 20));
	EXPECT_EQ(59u, limited_nodes());
}

/* A rate of less than one a second is a request now and then, from any node. */
TEST_F(LimitFleet, UsesARateBelowOne)
{
	start(59, 20);
	stated = {LIMIT_STATED, 250};
	run_until(60);
	EXPECT_LE(most_in_4_s(1), 6u);
	EXPECT_NEAR(0.25, rate(4, 60), 0.08);
}

/* While the home is frozen the nodes go on with their own shares. */
TEST_F(LimitFleet, NodesUseTheirSharesWithoutAHome)
{
	start(7, 50);
	stated = {LIMIT_STATED, 8000};
	run_until(5);
	nodes[0].is_frozen = true;
	run_until(20);
	EXPECT_GE(rate(5, 20), 2.5);
	EXPECT_LE(most_in_4_s(1), 53u);
}

/* Guards against shares that add up to more while the home answers some nodes
 * and not the others: a half, and nine of ten. */
TEST_F(LimitFleet, HoldsItWhereTheHomeAnswersSomeNodesOnly)
{
	for (size_t one_in : {2, 10}) {
		size_t after_s = one_in == 2 ? 0 : 40;

		if (after_s == 0)
			start(60, 400);
		stated = {LIMIT_STATED, 8000};
		for (size_t i = 0; i < nodes.size(); i++)
			nodes[i].is_unheard = i % one_in != 0;
		run_until((double)after_s + 40);
		EXPECT_LE(most_in_4_s((double)after_s + 1), 53u) << one_in;
		EXPECT_GE(rate((double)after_s + 5, (double)after_s + 40),
			  8 * 0.6)
			<< one_in;
	}
}

/*
 * Guards against streams that are cut off because their engine failed while the
 * only one with their copies states a limit.
 */
TEST_F(LimitFleet, TakeOversMayExceedTheShareALittle)
{
	size_t allowed = 0;

	start(7, 50);
	stated = {LIMIT_STATED, 3000};
	run_until(8);
	for (size_t round = 0; round < 10; round++) {
		for (size_t i = 0; i < nodes.size(); i++) {
			if (!allows(i, RATE_FOR_TAKE_OVER))
				continue;
			allowed++;
			arrived_us.push_back(now_us);
		}
	}
	EXPECT_GE(allowed, 6u);
	run_until(14);
	std::sort(arrived_us.begin(), arrived_us.end());
	EXPECT_LE(most_in_4_s(1), 23u);
}
