#include "core/placement/placement.h"
#include "core/placement/home.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#define SECOND ((int64_t)G_USEC_PER_SEC)

class Placement : public testing::Test
{
      protected:
	struct placement *placement = nullptr;
	int64_t now = SECOND;
	uint64_t next_ticket = 1;
	int priority = 0;
	std::map<uint64_t, std::string> placed;
	std::map<uint64_t, enum refusal> refused;
	std::map<uint64_t, int64_t> retry_after;

	void start(enum service_kind kind, int endpoints, int max_waiting = 100)
	{
		struct placement_options options = {};

		options.policy = PLACEMENT_PEAK;
		options.kind = kind;
		options.seed = 5;
		options.max_waiting = max_waiting;
		placement = placement_create(&options);
		for (int i = 0; i < endpoints; i++)
			add(name(i));
	}
	void TearDown() override
	{
		placement_destroy(placement);
	}
	static std::string name(int i)
	{
		return "e" + std::to_string(i) + ":1";
	}
	void add(const std::string &address)
	{
		struct config_endpoint endpoint = {};

		endpoint.address = (char *)address.c_str();
		endpoint.capacity_tokens = 20000;
		endpoint.slots = 2;
		placement_set_endpoint(placement, &endpoint, now);
	}
	uint64_t submit(const char *organisation, int64_t prompt,
			int64_t deadline_us = 0, uint64_t avoid = 0)
	{
		struct placement_request request = {};

		request.ticket = next_ticket++;
		request.organisation = organisation;
		request.weight = 1;
		request.priority = priority;
		request.prompt_tokens = prompt;
		request.deadline_us = deadline_us;
		request.avoid_hash = avoid;
		placement_submit(placement, &request, now);
		return request.ticket;
	}
	int step()
	{
		GArray *decisions = g_array_new(
			FALSE, FALSE, sizeof(struct placement_decision));
		int count;

		placement_step(placement, now, decisions);
		count = (int)decisions->len;
		for (guint i = 0; i < decisions->len; i++) {
			auto *decision = &g_array_index(
				decisions, struct placement_decision, i);

			if (decision->verdict == PLACEMENT_PLACED) {
				placed[decision->ticket] = decision->endpoint;
			} else {
				refused[decision->ticket] = decision->refusal;
				retry_after[decision->ticket] =
					decision->retry_after_us;
			}
		}
		g_array_unref(decisions);
		return count;
	}
	void release(uint64_t ticket, enum release_outcome outcome,
		     int64_t tokens)
	{
		placement_release(placement, ticket, outcome, tokens, now);
	}
	std::map<std::string, int> counts()
	{
		std::map<std::string, int> result;

		for (auto &item : placed)
			result[item.second]++;
		return result;
	}
};

TEST_F(Placement, SpreadsAndWaitsWhenFull)
{
	int waiting;

	start(SERVICE_GENERATION, 2);
	for (int i = 0; i < 60; i++)
		submit("a", 1500);
	step();
	EXPECT_GT(placed.size(), 6u);
	EXPECT_LT(placed.size(), 26u);
	EXPECT_NEAR(counts()[name(0)], counts()[name(1)], 1);
	waiting = (int)placement_waiting(placement);
	EXPECT_EQ(60, (int)placed.size() + waiting);
	now += SECOND;
	for (uint64_t ticket = 1; ticket <= 6; ticket++)
		release(ticket, RELEASE_WHOLE, 300);
	step();
	EXPECT_LT((int)placement_waiting(placement), waiting);
}

/*
 * An engine is leaving, by the VM list or by its own report. Callers notice
 * nothing; it gets nothing new, also when all others are full.
 */
TEST_F(Placement, LeavingEndpointsGetNothing)
{
	struct load_report report = {1, 0, 0, 0, 20000, 0, true};

	start(SERVICE_PLAIN, 3);
	placement_set_leaving(placement, name(0).c_str(), true);
	placement_report_load(placement, name(1).c_str(), &report, now);
	for (int i = 0; i < 5; i++)
		submit("a", 1);
	step();
	EXPECT_EQ(2u, placed.size());
	EXPECT_EQ(2, counts()[name(2)]);
}

/*
 * The queue is long and each request still has its deadline. One that cannot
 * be in time any more is told so at once, with when to come back, rather than
 * after having waited for nothing.
 */
TEST_F(Placement, RefusesAtOnceWhatCannotBeInTime)
{
	start(SERVICE_PLAIN, 1);
	for (int i = 0; i < 40; i++) {
		uint64_t ticket = submit("a", 1);

		step();
		now += SECOND;
		release(ticket, RELEASE_WHOLE, 0);
	}
	placed.clear();
	for (int i = 0; i < 20; i++) {
		submit("a", 1, now + 4 * SECOND);
		step();
	}
	EXPECT_EQ(2u, placed.size());
	EXPECT_GE(placement_waiting(placement), 4u);
	EXPECT_GE(refused.size(), 10u);
	for (auto &item : refused) {
		EXPECT_EQ(REFUSAL_DEADLINE, item.second);
		EXPECT_GE(retry_after[item.first], SECOND);
	}
}

/*
 * One organisation floods the queue. When it is full the flood is turned
 * away, not the few of another one, and turns alternate between the two.
 */
TEST_F(Placement, AFloodDisplacesItself)
{
	std::vector<uint64_t> others;
	std::set<uint64_t> served;

	start(SERVICE_PLAIN, 1, 50);
	submit("flood", 1);
	submit("flood", 1);
	step();
	for (int i = 0; i < 200; i++)
		submit("flood", 1);
	for (int i = 0; i < 5; i++)
		others.push_back(submit("small", 1));
	step();
	EXPECT_EQ(50u, placement_waiting(placement));
	for (uint64_t ticket : others)
		EXPECT_EQ(0u, refused.count(ticket));
	for (int i = 0; i < 10; i++) {
		uint64_t ticket = placed.begin()->first;

		now += SECOND;
		placed.erase(ticket);
		served.insert(ticket);
		release(ticket, RELEASE_WHOLE, 0);
		step();
	}
	for (uint64_t ticket : others)
		EXPECT_EQ(1u, placed.count(ticket) + served.count(ticket));
}

/*
 * An engine fails all it gets, at once. It is put aside after the second and
 * gets nothing for a while, then single requests, then more as they succeed.
 */
TEST_F(Placement, PutsAFailingEndpointAsideAndBringsItBackGently)
{
	int to_bad = 0;

	start(SERVICE_GENERATION, 4);
	for (int i = 0; i < 200; i++) {
		uint64_t ticket = submit("a", 100);

		step();
		if (placed[ticket] == name(0)) {
			release(ticket, RELEASE_FAILED, 0);
			to_bad++;
		} else {
			release(ticket, RELEASE_WHOLE, 50);
		}
		now += SECOND / 20;
	}
	EXPECT_GE(to_bad, 1);
	EXPECT_LE(to_bad, 8);
	placed.clear();
	for (int i = 0; i < 2000; i++) {
		uint64_t ticket = submit("a", 100);

		step();
		release(ticket, RELEASE_WHOLE, 50);
		now += SECOND / 20;
	}
	EXPECT_GT(counts()[name(0)], 200);
}

/*
 * All engines fail for a moment, for instance by a bad network. Were all of
 * them put aside nothing would be served, and the last one left would fall
 * over; so at most a third is.
 */
TEST_F(Placement, NeverPutsMoreThanAThirdAside)
{
	start(SERVICE_GENERATION, 6);
	for (int i = 0; i < 100; i++) {
		uint64_t ticket = submit("a", 100);

		step();
		ASSERT_EQ(1u, placed.count(ticket));
		release(ticket, RELEASE_FAILED, 0);
		now += 1000;
	}
	EXPECT_EQ(2u, placement_counts(placement)->put_aside);
	EXPECT_GE(counts().size(), 4u);
}

TEST_F(Placement, KeepsClearOfUnreachableEndpointsUnlessMostAre)
{
	start(SERVICE_GENERATION, 3);
	for (int i = 0; i < 2; i++)
		placement_report_unreachable(placement, name(0).c_str(), now);
	for (int i = 0; i < 6; i++)
		submit("a", 100);
	step();
	EXPECT_EQ(0, counts()[name(0)]);
	for (int i = 0; i < 2; i++)
		placement_report_unreachable(placement, name(1).c_str(), now);
	placed.clear();
	for (int i = 0; i < 6; i++)
		submit("a", 100);
	step();
	EXPECT_EQ(3u, counts().size());
}

/*
 * Engines report negative, absurd and old load. Each is counted and ignored:
 * the book stays as it was, and none makes an engine look emptier than it is.
 */
TEST_F(Placement, TrustsNoReportOverItsBook)
{
	struct load_report report = {100, -5, 0, 0, 20000, 0, false};
	const struct placement_counts *counted;
	size_t before;

	start(SERVICE_GENERATION, 1);
	counted = placement_counts(placement);
	for (int i = 0; i < 40; i++)
		submit("a", 1500);
	step();
	before = placed.size();
	placement_report_load(placement, name(0).c_str(), &report, now);
	report = {101, 0, 0, INT64_MAX, INT64_MAX, INT64_MAX, false};
	placement_report_load(placement, name(0).c_str(), &report, now);
	EXPECT_EQ(2u, counted->reports_absurd);
	report = {102, 0, 0, 0, 10000000, 0, false};
	placement_report_load(placement, name(0).c_str(), &report, now);
	EXPECT_EQ(1u, counted->reports_taken);
	report.reported_at_us = 50;
	report.leaving = true;
	placement_report_load(placement, name(0).c_str(), &report, now);
	EXPECT_EQ(1u, counted->reports_older);
	step();
	EXPECT_EQ(before, placed.size());
}

TEST_F(Placement, IgnoresUnknownTicketsAndAddresses)
{
	start(SERVICE_GENERATION, 1);
	placement_progress(placement, 99, 5, now);
	placement_release(placement, 99, RELEASE_WHOLE, 5, now);
	placement_withdraw(placement, 99, now);
	placement_remove_endpoint(placement, "nowhere:1", now);
	placement_report_unreachable(placement, "nowhere:1", now);
	placement_prefix_cached(placement, "nowhere:1", 5, true);
	EXPECT_EQ(6u, placement_counts(placement)->unknown);
	EXPECT_EQ(0, step());
}

TEST_F(Placement, TakesTheSameTicketOnce)
{
	start(SERVICE_PLAIN, 1);
	submit("a", 1);
	next_ticket = 1;
	submit("a", 1);
	step();
	EXPECT_EQ(1u, placement_counts(placement)->placed);
	EXPECT_EQ(0u, placement_waiting(placement));
}

/*
 * Long requests wait for room, each from another organisation. If each had an
 * engine kept for itself, all engines would stand half empty before a queue
 * that would fit; only one is kept, so the others go on taking what fits.
 */
TEST_F(Placement, KeepsOneEndpointForAWaitingRequest)
{
	size_t before;

	start(SERVICE_GENERATION, 4);
	for (int i = 0; i < 80; i++)
		submit("a", 1500);
	step();
	for (int i = 0; i < 4; i++) {
		priority = 3 * i;
		submit(("big" + std::to_string(i)).c_str(), 15000);
		step();
		now += 3 * SECOND;
		step();
	}
	before = placed.size();
	for (auto &item : std::map<uint64_t, std::string>(placed))
		if (item.first <= 20)
			release(item.first, RELEASE_WHOLE, 200);
	step();
	EXPECT_GE(placed.size(), before + 4);
}

TEST_F(Placement, AvoidsTheEndpointThatJustFailedTheRequest)
{
	uint64_t ticket;

	start(SERVICE_GENERATION, 3);
	for (int i = 0; i < 30; i++) {
		ticket = submit("a", 100, 0, home_hash(name(1).c_str(), "", 0));
		step();
		EXPECT_NE(name(1), placed[ticket]);
		release(ticket, RELEASE_WHOLE, 50);
	}
}

TEST_F(Placement, RefusesWhatNoEndpointCouldHold)
{
	uint64_t ticket;

	start(SERVICE_GENERATION, 1);
	submit("a", 100);
	step();
	ticket = submit("a", 30000);
	step();
	EXPECT_EQ(REFUSAL_TOO_LARGE, refused[ticket]);
	placement_set_leaving(placement, name(0).c_str(), true);
	ticket = submit("a", 100);
	step();
	EXPECT_EQ(REFUSAL_NO_ENDPOINT, refused[ticket]);
}

/*
 * Nodes without a home share each engine, so its report shows what the others
 * hold. Counted against the own part it would leave each node one request.
 */
TEST_F(Placement, AShareIsNotFilledByTheOtherNodes)
{
	struct load_report report = {1, 10, 0, 12000, 20000, 0, false};

	start(SERVICE_GENERATION, 1);
	placement_set_share(placement, 4);
	for (int i = 0; i < 10; i++) {
		report.reported_at_us++;
		placement_report_load(placement, name(0).c_str(), &report, now);
	}
	for (int i = 0; i < 20; i++)
		submit("a", 200);
	step();
	EXPECT_GE(placed.size(), 8u);
}

/* At the home the same report means a second home, or nodes on shares. */
TEST_F(Placement, LeavesRoomForWhatOthersHold)
{
	struct load_report report = {1, 10, 0, 18000, 20000, 0, false};

	start(SERVICE_GENERATION, 1);
	for (int i = 0; i < 10; i++) {
		report.reported_at_us++;
		placement_report_load(placement, name(0).c_str(), &report, now);
	}
	for (int i = 0; i < 20; i++)
		submit("a", 1000);
	step();
	EXPECT_EQ(1u, placed.size());
}

/*
 * Checks come while the engines are full of reports and more wait. A check is
 * placed at once; held up behind reports it would miss its deadline.
 */
TEST_F(Placement, ChecksPassWaitingReports)
{
	uint64_t check;

	start(SERVICE_GENERATION, 1);
	for (int i = 0; i < 100; i++) {
		uint64_t ticket = submit("a", 80);

		step();
		release(ticket, RELEASE_WHOLE, 20);
		ticket = submit("a", 2000);
		step();
		release(ticket, RELEASE_WHOLE, 800);
		now += SECOND / 10;
	}
	for (int i = 0; i < 40; i++)
		submit("a", 2000);
	step();
	EXPECT_GT(placement_waiting(placement), 20u);
	now += 3 * SECOND;
	step();
	check = submit("a", 80, now + 5 * SECOND);
	step();
	EXPECT_EQ(1u, placed.count(check));
}

/*
 * A service's first requests have short deadlines. Nothing is known of their
 * lengths; refused as too long they would never be seen to be short.
 */
TEST_F(Placement, RefusesNothingAsTooLongBeforeItIsKnown)
{
	uint64_t ticket;

	start(SERVICE_GENERATION, 1);
	for (int i = 0; i < 9; i++)
		submit("a", 2000);
	step();
	ticket = submit("b", 2000, now + SECOND / 2);
	step();
	EXPECT_EQ(0u, refused.count(ticket));
	now += 3 * SECOND;
	step();
	EXPECT_EQ(REFUSAL_DEADLINE, refused[ticket]);
}

static double deviations(struct placement *placement)
{
	GVariant *dump = g_variant_ref_sink(placement_dump(placement, SECOND));
	double value = 0;

	g_variant_lookup(dump, "deviations", "d", &value);
	g_variant_unref(dump);
	return value;
}

/*
 * The margin narrows with each placement and widens with each preemption that
 * engines report. When reports stop, preemptions can't show, and a margin that
 * went on narrowing would fill the engines unseen.
 */
TEST_F(Placement, NarrowsItsMarginOnlyWhileReportsCome)
{
	struct load_report report = {1, 0, 0, 0, 20000, 0, false};
	double before, narrowed;

	start(SERVICE_GENERATION, 1);
	before = deviations(placement);
	for (int i = 0; i < 100; i++) {
		release(submit("a", 100), RELEASE_WHOLE, 10);
		submit("a", 100);
		step();
		release(next_ticket - 1, RELEASE_WHOLE, 10);
	}
	EXPECT_EQ(before, deviations(placement));
	placement_report_load(placement, name(0).c_str(), &report, now);
	for (int i = 0; i < 100; i++) {
		submit("a", 100);
		step();
		release(next_ticket - 1, RELEASE_WHOLE, 10);
	}
	narrowed = deviations(placement);
	EXPECT_LT(narrowed, before);
	report.reported_at_us++;
	report.preemptions_total = 3;
	placement_report_load(placement, name(0).c_str(), &report, now);
	EXPECT_NEAR(narrowed + 0.3, deviations(placement), 1e-9);
	report.reported_at_us++;
	report.preemptions_total = 3000000;
	placement_report_load(placement, name(0).c_str(), &report, now);
	EXPECT_NEAR(narrowed + 0.3, deviations(placement), 1e-9);
}

/* A priority passes what came before it, but waiting counts as well. */
TEST_F(Placement, ServesPriorityFirstAndAgesTheRest)
{
	uint64_t low, high, late_high;

	start(SERVICE_PLAIN, 1);
	submit("x", 1);
	submit("x", 1);
	step();
	low = submit("a", 1);
	priority = 3;
	high = submit("b", 1);
	step();
	release(1, RELEASE_WHOLE, 0);
	step();
	EXPECT_EQ(1u, placed.count(high));
	EXPECT_EQ(0u, placed.count(low));
	now += 45 * SECOND;
	late_high = submit("c", 1);
	release(2, RELEASE_WHOLE, 0);
	step();
	EXPECT_EQ(1u, placed.count(low));
	EXPECT_EQ(0u, placed.count(late_high));
}

/*
 * An engine's memory is neither configured nor reported yet. It gets a few
 * calls: with none a node on its share, which asks for no report, would never
 * use it; with no bound it would be filled blindly.
 */
TEST_F(Placement, UsesAnEngineOfUnknownMemoryALittle)
{
	struct config_endpoint endpoint = {};
	std::string address = "u:1";
	struct load_report report = {1, 0, 0, 0, 20000, 0, false};

	start(SERVICE_GENERATION, 0);
	endpoint.address = (char *)address.c_str();
	placement_set_endpoint(placement, &endpoint, now);
	for (int i = 0; i < 10; i++)
		submit("a", 100);
	step();
	EXPECT_EQ(4u, placed.size());
	placement_report_load(placement, address.c_str(), &report, now);
	step();
	EXPECT_EQ(10u, placed.size());
}
