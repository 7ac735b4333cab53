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
	waiting = (int)placement_waiting_count(placement);
	EXPECT_EQ(60, (int)placed.size() + waiting);
	now += SECOND;
	for (uint64_t ticket = 1; ticket <= 6; ticket++)
		release(ticket, RELEASE_COMPLETE, 300);
	step();
	EXPECT_LT((int)placement_waiting_count(placement), waiting);
}

/*
 * An engine is marked as leaving by the VM list or by its own load report. It
 * must get no new requests, even when all others are full.
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
 * The queue is long and requests have deadlines. A request that can't meet its
 * deadline must be refused at once, with a time to retry, and not only after a
 * useless wait.
 */
TEST_F(Placement, RefusesAtOnceWhatCannotBeInTime)
{
	start(SERVICE_PLAIN, 1);
	for (int i = 0; i < 40; i++) {
		uint64_t ticket = submit("a", 1);

		step();
		now += SECOND;
		release(ticket, RELEASE_COMPLETE, 0);
	}
	placed.clear();
	for (int i = 0; i < 20; i++) {
		submit("a", 1, now + 4 * SECOND);
		step();
	}
	EXPECT_EQ(2u, placed.size());
	EXPECT_GE(placement_waiting_count(placement), 4u);
	EXPECT_GE(refused.size(), 10u);
	for (auto &item : refused) {
		EXPECT_EQ(REFUSAL_DEADLINE, item.second);
		EXPECT_GE(retry_after[item.first], SECOND);
	}
}

/*
 * One organisation floods the queue. When the queue is full, requests of the
 * flood must be refused and not the few of another organisation, and service
 * alternates between the two.
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
	EXPECT_EQ(50u, placement_waiting_count(placement));
	for (uint64_t ticket : others)
		EXPECT_EQ(0u, refused.count(ticket));
	for (int i = 0; i < 10; i++) {
		uint64_t ticket = placed.begin()->first;

		now += SECOND;
		placed.erase(ticket);
		served.insert(ticket);
		release(ticket, RELEASE_COMPLETE, 0);
		step();
	}
	for (uint64_t ticket : others)
		EXPECT_EQ(1u, placed.count(ticket) + served.count(ticket));
}

/*
 * An engine fails all its requests at once. It is put aside after the second
 * failure and gets no requests for a while, then single ones, then more as they
 * succeed.
 */
TEST_F(Placement, PutsAFailingEndpointAsideAndBringsItBackGently)
{
	int sent_to_failing = 0;

	start(SERVICE_GENERATION, 4);
	for (int i = 0; i < 200; i++) {
		uint64_t ticket = submit("a", 100);

		step();
		if (placed[ticket] == name(0)) {
			release(ticket, RELEASE_FAILED, 0);
			sent_to_failing++;
		} else {
			release(ticket, RELEASE_COMPLETE, 50);
		}
		now += SECOND / 20;
	}
	EXPECT_GE(sent_to_failing, 1);
	EXPECT_LE(sent_to_failing, 8);
	placed.clear();
	for (int i = 0; i < 2000; i++) {
		uint64_t ticket = submit("a", 100);

		step();
		release(ticket, RELEASE_COMPLETE, 50);
		now += SECOND / 20;
	}
	EXPECT_GT(counts()[name(0)], 200);
}

/*
 * All engines fail for a moment, for instance because of a network fault. At
 * most a third of them may be put aside: otherwise the last one left would be
 * overloaded, and with none left nothing would be served.
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
 * Engines report negative, implausible and outdated loads. Each such report
 * must be counted and ignored, and none may make an engine look emptier than
 * the sum of its grants.
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
	placement_report_progress(placement, 99, 5, now);
	placement_release(placement, 99, RELEASE_COMPLETE, 5, now);
	placement_withdraw(placement, 99, now);
	placement_remove_endpoint(placement, "nowhere:1", now);
	placement_report_unreachable(placement, "nowhere:1", now);
	placement_report_prefix(placement, "nowhere:1", 5, true);
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
	EXPECT_EQ(0u, placement_waiting_count(placement));
}

/*
 * Long requests of several organisations wait for memory. If an engine were
 * reserved for each of them, all engines would stay half empty while requests
 * wait that would fit. Only one engine is reserved, so the others continue to
 * take what fits.
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
			release(item.first, RELEASE_COMPLETE, 200);
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
		release(ticket, RELEASE_COMPLETE, 50);
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
 * Nodes without a home share each engine, so its load report includes what the
 * other nodes hold. If that were counted against the local share, each node
 * could place only one request.
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

/*
 * At the home the same report means that there is a second home, or that nodes
 * place on their local shares. Capacity must be left for what these hold.
 */
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
 * Checks (short requests) arrive while the engines are full of reports (long
 * requests) and more reports wait. A check must be placed at once: behind the
 * reports it would miss its deadline.
 */
TEST_F(Placement, ChecksPassWaitingReports)
{
	uint64_t check;

	start(SERVICE_GENERATION, 1);
	for (int i = 0; i < 100; i++) {
		uint64_t ticket = submit("a", 80);

		step();
		release(ticket, RELEASE_COMPLETE, 20);
		ticket = submit("a", 2000);
		step();
		release(ticket, RELEASE_COMPLETE, 800);
		now += SECOND / 10;
	}
	for (int i = 0; i < 40; i++)
		submit("a", 2000);
	step();
	EXPECT_GT(placement_waiting_count(placement), 20u);
	now += 3 * SECOND;
	step();
	check = submit("a", 80, now + 5 * SECOND);
	step();
	EXPECT_EQ(1u, placed.count(check));
}

/*
 * The first requests of a service have short deadlines and their lengths are
 * unknown. If they were refused as too long, they could never be observed to be
 * short.
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
 * engines report. When reports stop, preemptions stay invisible, and a margin
 * that continued to narrow would overload the engines unnoticed.
 */
TEST_F(Placement, NarrowsItsMarginOnlyWhileReportsCome)
{
	struct load_report report = {1, 0, 0, 0, 20000, 0, false};
	double before, narrowed;

	start(SERVICE_GENERATION, 1);
	before = deviations(placement);
	for (int i = 0; i < 100; i++) {
		release(submit("a", 100), RELEASE_COMPLETE, 10);
		submit("a", 100);
		step();
		release(next_ticket - 1, RELEASE_COMPLETE, 10);
	}
	EXPECT_EQ(before, deviations(placement));
	placement_report_load(placement, name(0).c_str(), &report, now);
	for (int i = 0; i < 100; i++) {
		submit("a", 100);
		step();
		release(next_ticket - 1, RELEASE_COMPLETE, 10);
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

/*
 * A request of higher priority overtakes earlier ones, but waiting raises the
 * priority too.
 */
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
	release(1, RELEASE_COMPLETE, 0);
	step();
	EXPECT_EQ(1u, placed.count(high));
	EXPECT_EQ(0u, placed.count(low));
	now += 45 * SECOND;
	late_high = submit("c", 1);
	release(2, RELEASE_COMPLETE, 0);
	step();
	EXPECT_EQ(1u, placed.count(low));
	EXPECT_EQ(0u, placed.count(late_high));
}

/*
 * An engine's memory is neither configured nor reported yet. It must get a few
 * calls: with none, a node on its local share, which requests no reports, would
 * never use it; with no limit, it would be overloaded.
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
