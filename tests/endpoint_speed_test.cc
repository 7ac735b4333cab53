#include "core/gateway/endpoint_choice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

static const int64_t ms = 1000, second = 1000 * ms;

/*
 * Engines whose step takes 7 ms and 0.12 ms for each running request, times
 * their factor, give or take 5 %. One node sees two gaps of 4 tokens each 80 ms
 * at each of them. The requests that run there vary, each 400 ms, around 12
 * divided by the factor.
 */
class EndpointSpeed : public testing::Test
{
      protected:
	struct Engine {
		double factor = 1;
		int fixed_requests = 0; /* 0: they vary */
		int requests = 1;
		bool is_silent = false;
		struct endpoint_speed speed = {};
	};

	struct service_speed service = {};
	std::vector<Engine> engines;
	std::mt19937 random{7};
	int64_t now_us = second;

	void Observe(Engine &engine)
	{
		struct speed_observation observation = {};
		double noise =
			std::uniform_real_distribution<>(0.95, 1.05)(random);

		observation.time_us = engine.factor * noise *
				      (7000 + 120.0 * engine.requests);
		observation.requests = engine.requests;
		observation.now_us = now_us;
		endpoint_speed_observe(&engine.speed, &service, &observation);
	}

	void Run(int64_t time_us)
	{
		for (int64_t end_us = now_us + time_us; now_us < end_us;
		     now_us += 80 * ms) {
			for (Engine &engine : engines) {
				if (now_us / (80 * ms) % 5 == 0)
					engine.requests = Requests(engine);
				if (!engine.is_silent)
					Observe(engine);
			}
		}
	}

	int Requests(const Engine &engine)
	{
		if (engine.fixed_requests)
			return engine.fixed_requests;
		return std::uniform_int_distribution<>(
			1,
			std::clamp((int)(24 / engine.factor), 1, 24))(random);
	}

	double Ratio(size_t i)
	{
		return endpoint_speed_ratio(&engines[i].speed, now_us);
	}
};

/* Guards against engines of several speeds that are taken for equal. */
TEST_F(EndpointSpeed, TellsThreeSpeedsApart)
{
	static const double factors[] = {0.6, 1.0, 1.6};

	engines.resize(15);
	for (size_t i = 0; i < engines.size(); i++)
		engines[i].factor = factors[i % 3];
	Run(30 * second);
	for (size_t i = 0; i < engines.size(); i++)
		EXPECT_NEAR(1, Ratio(i) / factors[i % 3], 0.1) << i;
	/* 0.12 of 7 ms */
	EXPECT_NEAR(0.0171, service.load_slope, 0.004);
	EXPECT_NEAR(7000, service.centre_us, 400);
	printf("slope %.4f, centre %.0f us, ratios %.2f %.2f %.2f\n",
	       service.load_slope, service.centre_us, Ratio(0), Ratio(1),
	       Ratio(2));
}

/*
 * One engine always runs 24 requests, the others 3: its tokens take 1.34 times
 * as long. Guards against load that is taken for slow hardware.
 */
TEST_F(EndpointSpeed, DoesNotCountSlownessByLoad)
{
	engines.resize(9);
	Run(20 * second);
	for (Engine &engine : engines)
		engine.fixed_requests = 3;
	engines[4].fixed_requests = 24;
	Run(8 * second);
	EXPECT_NEAR(1, Ratio(4), 0.1);
	EXPECT_NEAR(1, Ratio(0), 0.1);
}

/* Guards against a change by half that is noticed late, or not taken back. */
TEST_F(EndpointSpeed, FollowsAChangeAndItsEnd)
{
	engines.resize(9);
	Run(20 * second);
	engines[2].factor = 1.5;
	Run(2 * second);
	EXPECT_GT(Ratio(2), 1.4);
	engines[2].factor = 1;
	Run(2 * second);
	EXPECT_LT(Ratio(2), 1.1);
}

/* Guards against a short slowdown that is missed or outlasts its cause. */
TEST_F(EndpointSpeed, FollowsASlowdownOfLessThanASecond)
{
	engines.resize(9);
	Run(20 * second);
	engines[2].factor = 2.5;
	Run(600 * ms);
	EXPECT_GT(Ratio(2), 1.75);
	engines[2].factor = 1;
	Run(1200 * ms);
	EXPECT_LT(Ratio(2), 1.25);
}

/* Guards against a service whose endpoints all count as slow for good. */
TEST_F(EndpointSpeed, TakesWhatAllHaveForUsual)
{
	engines.resize(9);
	Run(20 * second);
	for (Engine &engine : engines)
		engine.factor = 2;
	Run(2 * second);
	EXPECT_GT(Ratio(0), 1.3);
	Run(20 * second);
	for (size_t i = 0; i < engines.size(); i++)
		EXPECT_NEAR(1, Ratio(i), 0.1) << i;
}

/*
 * Guards against an endpoint that gets nothing because it was slow once, and
 * one that is new and counts as slow or fast.
 */
TEST_F(EndpointSpeed, ForgetsASilentEndpoint)
{
	engines.resize(9);
	engines[2].factor = 3;
	engines[8].is_silent = true;
	Run(20 * second);
	EXPECT_NEAR(3, Ratio(2), 0.3);
	EXPECT_EQ(1, Ratio(8));
	EXPECT_EQ(0, endpoint_speed_evidence(&engines[8].speed, now_us));
	engines[2].is_silent = true;
	Run(6 * second);
	EXPECT_LT(Ratio(2), 2.2);
	EXPECT_GT(Ratio(2), 1.8);
	EXPECT_GT(endpoint_speed_evidence(&engines[2].speed, now_us), 0);
	Run(4 * second);
	EXPECT_EQ(1, Ratio(2));
	EXPECT_EQ(0, endpoint_speed_evidence(&engines[2].speed, now_us));
}

/* Guards against one answer that makes an endpoint look dead, or infinite. */
TEST_F(EndpointSpeed, IsBounded)
{
	engines.resize(3);
	Run(20 * second);
	engines[0].factor = 1e6;
	engines[1].factor = 1e-6;
	Run(5 * second);
	EXPECT_LE(Ratio(0), 4);
	EXPECT_GT(Ratio(0), 3.8);
	EXPECT_GE(Ratio(1), 0.25);
	EXPECT_LT(Ratio(1), 0.3);
}

/*
 * Most gaps are in part before or after a prompt, and one is of an engine that
 * hung. Guards against their average, and against few gaps, for what a step
 * that reads a prompt takes.
 */
TEST_F(EndpointSpeed, KnowsTheStepsThatReadAPrompt)
{
	for (int i = 0; i < 7; i++)
		service_speed_add_reading(&service, 38500);
	EXPECT_EQ(0, service.reading_us);
	service_speed_add_reading(&service, 38500);
	EXPECT_EQ(38500, service.reading_us);
	for (int i = 0; i < 62; i++)
		service_speed_add_reading(&service,
					  i == 40      ? 300000
					  : i % 6 == 0 ? 38500
						       : 10000 + 400.0 * i);
	EXPECT_EQ(38500, service.reading_us);
	for (int i = 0; i < 31; i++)
		service_speed_add_reading(&service, 20000);
	EXPECT_EQ(20000, service.reading_us) << "another service";
}

/*
 * Guards against a slow engine that long streams get again as soon as they have
 * avoided it for 10 s, and against one that they avoid for ever.
 */
TEST_F(EndpointSpeed, KeepsTheLastEstimateOfASilentEndpointLonger)
{
	double ratio;

	engines.resize(6);
	engines[0].factor = 3;
	EXPECT_EQ(1, endpoint_speed_lasting_ratio(&engines[0].speed, now_us));
	Run(4 * second);
	ratio = endpoint_speed_lasting_ratio(&engines[0].speed, now_us);
	EXPECT_NEAR(3, ratio, 0.4);
	engines[0].is_silent = true;
	Run(12 * second);
	EXPECT_EQ(1, Ratio(0));
	EXPECT_EQ(ratio,
		  endpoint_speed_lasting_ratio(&engines[0].speed, now_us));
	Run(19 * second);
	EXPECT_EQ(1, endpoint_speed_lasting_ratio(&engines[0].speed, now_us));
}

/* Guards against a stated slowdown that counts after it has changed. */
TEST_F(EndpointSpeed, CountsAStatedSlowdownByItsAge)
{
	struct answered_load load = {LOAD_STATED, 3, 2, 24, 250};
	struct endpoint_speed speed = {};

	endpoint_speed_note_load(&speed, &service, &load, now_us);
	EXPECT_DOUBLE_EQ(2.5, endpoint_speed_ratio(&speed, now_us));
	EXPECT_DOUBLE_EQ(1.75, endpoint_speed_ratio(&speed, now_us + 150 * ms));
	EXPECT_DOUBLE_EQ(1, endpoint_speed_ratio(&speed, now_us + 300 * ms));
	EXPECT_DOUBLE_EQ(1, endpoint_speed_ratio(&speed, now_us + second));
	EXPECT_EQ(5, endpoint_speed_requests(&speed, 1, now_us));
	EXPECT_EQ(9, endpoint_speed_requests(&speed, 9, now_us));
	EXPECT_EQ(1, endpoint_speed_requests(&speed, 1, now_us + 300 * ms));
	load.slowdown_percent = 100000;
	endpoint_speed_note_load(&speed, &service, &load, now_us);
	EXPECT_DOUBLE_EQ(4, endpoint_speed_ratio(&speed, now_us));
	load.slowdown_percent = 1;
	endpoint_speed_note_load(&speed, &service, &load, now_us);
	EXPECT_DOUBLE_EQ(0.25, endpoint_speed_ratio(&speed, now_us));
}

/* Guards against placement by speed where nothing states a slowdown. */
TEST_F(EndpointSpeed, IsInUseWhereASlowdownIsStated)
{
	struct answered_load load = {LOAD_STATED, 3, 2, 24, 0};
	struct endpoint_speed speed = {};

	EXPECT_FALSE(service_speed_is_in_use(nullptr, now_us));
	endpoint_speed_note_load(&speed, &service, &load, now_us);
	EXPECT_FALSE(service_speed_is_in_use(&service, now_us));
	load = {LOAD_UNREADABLE, 3, 2, 24, 250};
	endpoint_speed_note_load(&speed, &service, &load, now_us);
	EXPECT_FALSE(service_speed_is_in_use(&service, now_us));
	load.statement = LOAD_STATED;
	endpoint_speed_note_load(&speed, &service, &load, now_us);
	EXPECT_TRUE(service_speed_is_in_use(&service, now_us));
	EXPECT_TRUE(service_speed_is_in_use(&service, now_us + 59 * second));
	EXPECT_FALSE(service_speed_is_in_use(&service, now_us + 60 * second));
}

/* Guards against a log that fills while an endpoint is near a bound. */
TEST_F(EndpointSpeed, LeavesTheUsualSpeedOnce)
{
	int changes = 0;

	engines.resize(9);
	Run(20 * second);
	EXPECT_FALSE(endpoint_speed_update_away(&engines[0].speed, now_us));
	engines[0].factor = 1.5;
	for (int i = 0; i < 100; i++) {
		Run(80 * ms);
		changes +=
			endpoint_speed_update_away(&engines[0].speed, now_us);
	}
	EXPECT_EQ(1, changes);
	EXPECT_TRUE(engines[0].speed.is_away);
	engines[0].factor = 1;
	Run(3 * second);
	EXPECT_TRUE(endpoint_speed_update_away(&engines[0].speed, now_us));
	EXPECT_FALSE(engines[0].speed.is_away);
}

/*
 * Guards against news of other nodes that counts before what this node has seen
 * itself a moment ago, and news that outlasts its cause.
 */
TEST_F(EndpointSpeed, PrefersItsOwnFreshObservations)
{
	struct speed_report report = {};

	engines.resize(9);
	Run(20 * second);
	report.time_us = 3 * service.centre_us;
	report.evidence = 1000;
	report.observed_us = now_us;
	endpoint_speed_merge(&engines[0].speed, &service, &report, now_us);
	EXPECT_NEAR(1, Ratio(0), 0.1);
	engines[0].is_silent = true;
	report.observed_us = now_us + second;
	Run(2500 * ms);
	endpoint_speed_merge(&engines[0].speed, &service, &report, now_us);
	EXPECT_NEAR(3, Ratio(0), 0.2) << "nothing seen for 2 s";
	EXPECT_EQ(1000, endpoint_speed_evidence(&engines[0].speed, now_us));
	Run(9 * second);
	EXPECT_EQ(1, Ratio(0));
	report.observed_us = now_us - 10 * second;
	endpoint_speed_merge(&engines[0].speed, &service, &report, now_us);
	EXPECT_EQ(1, Ratio(0)) << "too old";
}

/* Guards against one chance observation that overrides many. */
TEST_F(EndpointSpeed, MergesByEvidenceAndAge)
{
	struct endpoint_speed speed = {};
	struct speed_report many = {2 * 7000, 16, now_us};
	struct speed_report one = {7000, 1, now_us};
	struct speed_report recent = {7000, 16, now_us + 1500 * ms};

	for (int i = 0; i < 5; i++)
		service_speed_add_sample(&service, 7000, 0);
	endpoint_speed_merge(&speed, &service, &many, now_us);
	EXPECT_NEAR(2, endpoint_speed_ratio(&speed, now_us), 0.01);
	endpoint_speed_merge(&speed, &service, &one, now_us);
	EXPECT_NEAR(33.0 / 17, endpoint_speed_ratio(&speed, now_us), 0.01);
	endpoint_speed_merge(&speed, &service, &recent, now_us + 1500 * ms);
	EXPECT_LT(endpoint_speed_ratio(&speed, now_us + 1500 * ms), 1.25);
}

/*
 * Guards against a record in each half second for each endpoint, and a steady
 * slow one that other nodes forget.
 */
TEST_F(EndpointSpeed, TellsWhatChangedByATenth)
{
	struct speed_report report = {};
	int told[2] = {};

	engines.resize(9);
	engines[1].factor = 1.6;
	Run(20 * second);
	for (int i = 0; i < 40; i++) {
		Run(500 * ms);
		for (size_t k = 0; k < 2; k++)
			told[k] += endpoint_speed_take_news(&engines[k].speed,
							    &service, false,
							    &report, now_us);
	}
	printf("records in 20 s: %d usual, %d at 1.6\n", told[0], told[1]);
	EXPECT_EQ(0, told[0]);
	EXPECT_GE(told[1], 4) << "forgotten after 10 s, and before that faded";
	EXPECT_LE(told[1], 8);
	EXPECT_FALSE(endpoint_speed_take_news(&engines[1].speed, &service,
					      false, &report, now_us));
	engines[1].factor = 1;
	Run(second);
	EXPECT_TRUE(endpoint_speed_take_news(&engines[1].speed, &service, false,
					     &report, now_us));
	EXPECT_NEAR(1, report.time_us / service.centre_us, 0.2);
}

/*
 * 60 nodes send 300 plain calls a second, in virtual time, to 7 endpoints. A
 * call takes 60 ms, and a twentieth more for each other one in progress there.
 * Each node knows its own calls, those of the others 500 ms late, and of speed
 * only what its own answers say.
 */
class SpeedOfSixtyNodes : public testing::Test
{
      protected:
	static const size_t node_count = 60, endpoint_count = 7;

	struct Node {
		struct registry *registry = registry_create();
		struct service_speed service = {};
		int own[endpoint_count] = {};
		std::deque<std::array<int, endpoint_count>> history;
		~Node()
		{
			registry_destroy(registry);
		}
	};

	struct Call {
		int64_t end_us;
		int64_t sent_us;
		size_t node, endpoint;
	};

	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<Call> calls;
	double factors[endpoint_count] = {1, 1, 1, 1, 1, 1, 1};
	int running[endpoint_count] = {};
	std::deque<std::array<int, endpoint_count>> totals;
	std::mt19937 random{11};
	std::vector<double> answer_ms;
	int most_running = 0;
	int64_t now_us = second;
	bool states_slowdown = true;
	bool sends_news = false;

	/* What is under way to the first node, its home, or from there. */
	struct News {
		int64_t due_us;
		size_t endpoint;
		bool is_for_home;
		struct speed_report report;
	};
	std::deque<News> under_way;

	SpeedOfSixtyNodes()
	{
		for (size_t i = 0; i < node_count; i++) {
			nodes.push_back(std::make_unique<Node>());
			for (size_t k = 0; k < endpoint_count; k++)
				Add(*nodes.back(), k);
		}
	}

	static void Add(Node &node, size_t k)
	{
		std::string id = "i-" + std::to_string(k);
		struct registration said = {};

		said.id = const_cast<char *>(id.c_str());
		said.service = const_cast<char *>("portal");
		said.address = const_cast<char *>("10.0.0.1:9000");
		said.failure_domain = const_cast<char *>("a");
		said.slots = 24;
		said.position = 1;
		registry_apply(node.registry, &said, false, 0);
	}

	static struct endpoint *At(Node &node, size_t k)
	{
		return (struct endpoint *)g_ptr_array_index(
			registry_endpoints(node.registry), k);
	}

	void Finish(const Call &call)
	{
		Node &node = *nodes[call.node];
		struct endpoint *endpoint = At(node, call.endpoint);
		struct speed_observation observation = {};
		struct answered_load load = {LOAD_STATED, 0, 0, 24, 0};

		load.running = running[call.endpoint];
		load.slowdown_percent = (int32_t)(100 * factors[call.endpoint]);
		endpoint_speed_note_load(&endpoint->speed, &node.service, &load,
					 now_us);
		if (!states_slowdown)
			endpoint->speed.stated_us = 0;
		observation.time_us = (double)(now_us - call.sent_us);
		observation.requests = running[call.endpoint];
		observation.now_us = now_us;
		endpoint_speed_observe(&endpoint->speed, &node.service,
				       &observation);
		answer_ms.push_back((double)(now_us - call.sent_us) / ms);
		running[call.endpoint]--;
		node.own[call.endpoint]--;
	}

	void Send(size_t n, size_t *shares)
	{
		Node &node = *nodes[n];
		struct endpoint_criteria criteria = {};
		struct endpoint *chosen;
		size_t k;

		for (k = 0; k < endpoint_count; k++) {
			At(node, k)->own.requests = node.own[k];
			At(node, k)->others.requests = std::max(
				totals.front()[k] - node.history.front()[k], 0);
		}
		criteria.service = "portal";
		criteria.failure_domain = "a";
		criteria.now_us = now_us;
		criteria.draw = std::uniform_real_distribution<>()(random);
		criteria.speed = service_speed_is_in_use(&node.service, now_us)
					 ? &node.service
					 : nullptr;
		chosen = endpoint_choose(node.registry, &criteria);
		ASSERT_NE(nullptr, chosen);
		for (k = 0; At(node, k) != chosen; k++)
			;
		shares[k]++;
		running[k]++;
		most_running = std::max(most_running, running[k]);
		node.own[k]++;
		calls.push_back({now_us + (int64_t)(60 * ms * factors[k] *
						    (1 + 0.05 * running[k])),
				 now_us, n, k});
	}

	/* Lets time pass; counts the calls sent to each endpoint. */
	void Run(int64_t time_us, size_t *shares)
	{
		for (int64_t end_us = now_us + time_us; now_us < end_us;
		     now_us += ms) {
			for (size_t i = 0; i < calls.size();) {
				if (calls[i].end_us > now_us) {
					i++;
					continue;
				}
				Finish(calls[i]);
				calls[i] = calls.back();
				calls.pop_back();
			}
			Note();
			if (sends_news && now_us % (500 * ms) == 0)
				SendNews();
			ReceiveNews();
			if (std::uniform_real_distribution<>()(random) < 0.3)
				Send(random() % node_count, shares);
		}
	}

	/* News takes 250 ms to the home, and as long from there. */
	void SendNews()
	{
		for (auto &node : nodes) {
			bool is_home = node == nodes[0];

			for (size_t k = 0; k < endpoint_count; k++) {
				struct speed_report report = {};

				if (endpoint_speed_take_news(
					    &At(*node, k)->speed,
					    &node->service, is_home, &report,
					    now_us))
					under_way.push_back({now_us + 250 * ms,
							     k, !is_home,
							     report});
			}
		}
	}

	void ReceiveNews()
	{
		while (!under_way.empty() &&
		       under_way.front().due_us <= now_us) {
			const News news = under_way.front();

			under_way.pop_front();
			records += news.is_for_home ? 1 : node_count - 1;
			for (size_t n = news.is_for_home ? 0 : 1;
			     n < (news.is_for_home ? 1 : node_count); n++)
				Merge(*nodes[n], news);
		}
	}

	void Merge(Node &node, const News &news)
	{
		struct endpoint_speed *speed = &At(node, news.endpoint)->speed;

		endpoint_speed_add_report(speed, &node.service, &news.report,
					  now_us);
		endpoint_speed_merge(speed, &node.service, &news.report,
				     now_us);
	}

	size_t records = 0;

	/* Keeps the load of the last 500 ms. */
	void Note()
	{
		std::array<int, endpoint_count> now;

		std::copy(running, running + endpoint_count, now.begin());
		totals.push_back(now);
		if (totals.size() > 500)
			totals.pop_front();
		for (auto &node : nodes) {
			std::copy(node->own, node->own + endpoint_count,
				  now.begin());
			node->history.push_back(now);
			if (node->history.size() > 500)
				node->history.pop_front();
		}
	}

	/*
	 * Prints the calls of each second by endpoint beside its part of the
	 * capacity, and checks that each of those at the usual speed gets its
	 * part, give or take half, and slow ones at most this much over the
	 * whole time: a node that has not met them lately, or heard of them,
	 * sends them calls as before.
	 */
	void ExpectSteady(int seconds, const char *name, double most_slow = 1)
	{
		double slow = 0, capacity = 0;

		answer_ms.clear();
		most_running = 0;
		for (double factor : factors)
			capacity += 1 / factor;
		for (int i = 0; i < seconds; i++) {
			size_t shares[endpoint_count] = {}, all = 0;

			Run(second, shares);
			for (size_t share : shares)
				all += share;
			printf("%s, second %d:", name, i);
			for (size_t k = 0; k < endpoint_count; k++) {
				double ideal = 1 / factors[k] / capacity;
				double part =
					(double)shares[k] / (double)all / ideal;

				printf(" %.2f", part);
				if (factors[k] > 1) {
					slow += part / seconds;
					continue;
				}
				EXPECT_GT(part, 0.5);
				EXPECT_LT(part, 1.5);
			}
			printf(" of the ideal\n");
		}
		std::sort(answer_ms.begin(), answer_ms.end());
		printf("%s: slow ones %.2f of the ideal, p50 %.0f p99 %.0f ms, "
		       "at most %d at one endpoint\n",
		       name, slow, answer_ms[answer_ms.size() / 2],
		       answer_ms[answer_ms.size() * 99 / 100], most_running);
		EXPECT_LT(slow, most_slow);
		/* A few dozen calls arrive until nodes hear of the first. */
		if (slow == 0) {
			EXPECT_LE(most_running, 16) << "all sent to the same";
		}
	}
};

/*
 * Guards against nodes that all send to the same endpoint until they hear of
 * its load, and then all to the next one.
 */
TEST_F(SpeedOfSixtyNodes, DoNotSwingFromOneEndpointToTheNext)
{
	size_t shares[endpoint_count] = {};

	Run(5 * second, shares);
	ExpectSteady(10, "all at the usual speed");
	factors[3] = 2.5;
	Run(2 * second, shares);
	ExpectSteady(5, "one slow");
	factors[3] = 1;
	Run(12 * second, shares);
	ExpectSteady(5, "recovered");
}

/* The same where the figure of each endpoint is lost on the way. */
TEST_F(SpeedOfSixtyNodes, DoNotSwingByTheirOwnAnswersAlone)
{
	size_t shares[endpoint_count] = {};

	states_slowdown = false;
	Run(5 * second, shares);
	factors[3] = 2.5;
	Run(5 * second, shares);
	ExpectSteady(10, "one slow, nothing stated");
}

/*
 * The same with news between nodes. Guards against nodes that all avoid a slow
 * endpoint, all try it again at once when it is forgotten, and so on.
 */
TEST_F(SpeedOfSixtyNodes, SendFewerCallsToWhatOthersFoundSlow)
{
	size_t shares[endpoint_count] = {};

	sends_news = true;
	Run(5 * second, shares);
	ExpectSteady(5, "all at the usual speed, with news");
	factors[3] = 2.5;
	Run(2 * second, shares);
	records = 0;
	ExpectSteady(20, "one slow, with news", 0.75);
	printf("records in 20 s: %zu\n", records);
	factors[3] = 1;
	Run(12 * second, shares);
	ExpectSteady(5, "recovered, with news");
}
