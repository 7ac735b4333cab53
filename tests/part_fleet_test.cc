#include "tests/quarantine_fleet.h"

#include <gtest/gtest.h>

#include <functional>

/* The sends after the fifth end that are allowed, and what they may bring. */
static constexpr size_t allowed_sends = 3;

/* Bytes of one loss in a record between nodes. */
static constexpr size_t loss_bytes = 40;

/* The key of the part with this number. */
static uint64_t part_key(uint64_t number)
{
	char id[20];
	int size = snprintf(id, sizeof(id), "%llx", (unsigned long long)number);

	return suspect_key_of_part(id, (size_t)size);
}

/* How many nodes, engines and requests a scene has. */
struct part_fleet_size {
	size_t nodes;
	size_t engines;
	int requests_per_s;
	uint64_t seed;
};

/*
 * A fleet whose requests share parts of their prompts: a first part of their
 * organisation, a second one of some other requests too, and a last one of
 * their own, which no node is told. One second part ends each engine that
 * begins to write on it.
 */
class PartFleet : public testing::TestWithParam<struct part_fleet_size>
{
      protected:
	static constexpr uint64_t bad_part = 0xbad;
	static constexpr int64_t proven_us = second_us;
	static constexpr int64_t back_us = 3 * second_us;
	static constexpr int64_t step_us = 50 * ms_us;

	struct run {
		struct suspect_list request;
		size_t node;
		int sends;
		int64_t begins_us, ends_us;
		bool is_bad, is_proven;
	};

	struct engine {
		uint64_t id;
		std::vector<struct run> runs;
		int64_t back_us;
		int64_t ended_us; /* of the start before; not told so far */
		std::vector<struct run> lost;
	};

	std::mt19937 random{GetParam().seed};
	QuarantineFleet fleet{GetParam().nodes, 0.1};
	std::vector<struct engine> engines;
	uint64_t next_id = 1, next_request = 1;
	size_t innocents = 0, refused = 0;
	size_t bad_ends = 0, late_sends = 0;
	int64_t fifth_us = 0; /* time of the fifth bad end; 0: not yet */
	int bad_per_s = 3;

	void SetUp() override
	{
		engines.resize(GetParam().engines);
		for (struct engine &engine : engines)
			engine.id = next_id++;
	}

	size_t Pick(size_t count)
	{
		return std::uniform_int_distribution<size_t>(0,
							     count - 1)(random);
	}

	bool Draws(double per_s)
	{
		return std::uniform_real_distribution<>(0, 1)(random) <
		       per_s * (double)step_us / (double)second_us;
	}

	struct run Request(bool is_bad)
	{
		struct prompt_parts parts = {};
		struct run run = {};

		prompt_parts_add(&parts, part_key(0x100 + Pick(20)));
		prompt_parts_add(&parts, is_bad ? part_key(bad_part)
						: part_key(0x1000 + Pick(400)));
		suspect_list_init(&run.request, 1000000 + next_request++,
				  &parts);
		run.node = Pick(fleet.nodes.size());
		run.is_bad = is_bad;
		return run;
	}

	void Send(struct run run)
	{
		struct quarantine *quarantine =
			fleet.nodes[run.node].quarantine;
		size_t i = Pick(engines.size());

		if (quarantine_judge(quarantine, &run.request, fleet.now_us,
				     nullptr) != QUARANTINE_NONE) {
			refused += !run.is_bad;
			return;
		}
		for (size_t n = 0;
		     n < engines.size() && engines[i].back_us > fleet.now_us;
		     n++)
			i = (i + 1) % engines.size();
		if (engines[i].back_us > fleet.now_us)
			return;
		late_sends += run.is_bad && fifth_us &&
			      fleet.now_us > fifth_us + known_within_us;
		run.sends++;
		run.begins_us =
			fleet.now_us + 20 * ms_us + (int64_t)Pick(400000);
		run.ends_us = run.begins_us + 100 * ms_us +
			      (int64_t)Pick(Pick(3) ? 1000000 : 10000000);
		run.is_proven = false;
		engines[i].runs.push_back(run);
	}

	/* The engine's process ends; nodes find out a moment later. */
	void End(struct engine *engine)
	{
		engine->lost.swap(engine->runs);
		engine->ended_us = fleet.now_us;
		engine->back_us = fleet.now_us + back_us;
	}

	void Tell(struct engine *engine)
	{
		const struct endpoint_start start = {engine->id << 32, 0, 0};
		std::vector<struct run> lost;

		lost.swap(engine->lost);
		for (const struct run &run : lost)
			Lose(start, run, engine->ended_us);
		for (const struct run &run : lost)
			quarantine_report_end(fleet.nodes[run.node].quarantine,
					      &start, fleet.now_us);
		engine->ended_us = 0;
		engine->id = next_id++;
		for (const struct run &run : lost)
			if (run.sends < 2 && !run.is_proven)
				Send(run);
	}

	void Lose(const struct endpoint_start &start, const struct run &run,
		  int64_t lost_us)
	{
		int32_t count = run.is_proven ? 1 : run.request.count;

		for (int32_t i = 0; i < count; i++) {
			struct quarantine_run lost = {run.request.keys[i], 1,
						      start};

			quarantine_report_loss(fleet.nodes[run.node].quarantine,
					       &lost, lost_us);
		}
	}

	void Succeed(const struct run &run)
	{
		for (int32_t i = 1; i < run.request.count; i++)
			quarantine_report_success(
				fleet.nodes[run.node].quarantine,
				run.request.keys[i], run.begins_us,
				fleet.now_us);
	}

	void StepEngine(struct engine *engine)
	{
		std::vector<struct run> left;
		bool is_ended = false;

		if (engine->ended_us &&
		    fleet.now_us > engine->ended_us + 40 * ms_us)
			Tell(engine);
		for (struct run &run : engine->runs) {
			bool goes_on = fleet.now_us > run.begins_us + proven_us;

			if (run.is_bad && run.begins_us <= fleet.now_us)
				is_ended = true;
			if (run.ends_us <= fleet.now_us && !run.is_bad) {
				Succeed(run);
				continue;
			}
			if (goes_on && !run.is_proven) {
				run.is_proven = true;
				Succeed(run);
			}
			left.push_back(run);
		}
		engine->runs.swap(left);
		if (!is_ended)
			return;
		End(engine);
		if (++bad_ends == 5)
			fifth_us = fleet.now_us;
	}

	/* Plays the scene, with a trouble at each step. */
	void Play(const std::function<void()> &trouble)
	{
		const int seconds = GetParam().nodes > 100 ? 12 : 20;
		int64_t end_us = fleet.now_us + seconds * second_us;
		double late_requests = 0;

		while (fleet.now_us < end_us) {
			late_requests += GetParam().requests_per_s *
					 (double)step_us / (double)second_us;
			for (; late_requests >= 1; late_requests--) {
				innocents++;
				Send(Request(false));
			}
			if (Draws(bad_per_s))
				Send(Request(true));
			trouble();
			for (struct engine &engine : engines)
				StepEngine(&engine);
			fleet.Run(step_us);
		}
		EXPECT_LE((double)refused, (double)innocents / 1000)
			<< "refused though innocent";
		EXPECT_LE(late_sends, allowed_sends);
		RecordProperty("bad_ends", (int)bad_ends);
		printf("%zu nodes: %zu ended, %zu later sends, %zu of %zu "
		       "innocents refused, %zu bytes a node and s\n",
		       fleet.nodes.size(), bad_ends, late_sends, refused,
		       innocents,
		       fleet.rows * loss_bytes / fleet.nodes.size() /
			       (size_t)seconds);
	}

	struct engine *PickUp()
	{
		struct engine *engine = &engines[Pick(engines.size())];

		return engine->back_us <= fleet.now_us ? engine : nullptr;
	}
};

/* Guards against a part that ends engine after engine at nodes that see one
 * request each. */
TEST_P(PartFleet, APartEndsFewEngines)
{
	Play([] {});
	EXPECT_GE(bad_ends, 3u);
	EXPECT_EQ(fleet.nodes.size(), fleet.HeldAt(part_key(bad_part)));
}

/* Guards against innocents refused where an engine in ten ends again and again
 * with causes of its own. */
TEST_P(PartFleet, BesideEnginesInACrashLoop)
{
	Play([this] {
		struct engine *engine = &engines[Pick(engines.size() / 10 + 1)];

		if (engine->back_us <= fleet.now_us && Draws(5))
			End(engine);
	});
	EXPECT_EQ(fleet.nodes.size(), fleet.HeldAt(part_key(bad_part)));
}

/* Guards against innocents refused where a failure domain ends at one moment,
 * more than once, and against records without bound. */
TEST_P(PartFleet, BesideAFailureDomainThatEnds)
{
	int64_t next_us = fleet.now_us + 2 * second_us;

	Play([&] {
		if (fleet.now_us < next_us)
			return;
		next_us += 6 * second_us;
		for (size_t i = 0; i < engines.size() / 3; i++)
			if (engines[i].back_us <= fleet.now_us)
				End(&engines[i]);
	});
	EXPECT_EQ(fleet.nodes.size(), fleet.HeldAt(part_key(bad_part)));
}

/* Guards against innocents refused without any part that ends engines. */
TEST_P(PartFleet, EnginesEndWithoutABadPart)
{
	bad_per_s = 0;
	Play([this] {
		struct engine *engine = PickUp();

		if (engine && Draws(2))
			End(engine);
	});
}

INSTANTIATE_TEST_SUITE_P(Fleets, PartFleet,
			 testing::Values(part_fleet_size{7, 9, 40, 1},
					 part_fleet_size{7, 9, 40, 2},
					 part_fleet_size{61, 60, 150, 3},
					 part_fleet_size{480, 400, 600, 4}));

/* Guards against a part that a third of the nodes, cut off, restarted or new,
 * let through for longer than it takes to hear. */
class PartFleetNews : public testing::TestWithParam<size_t>
{
};

TEST_P(PartFleetNews, FiveEndsAtFiveNodesAreOneFactEverywhere)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);
	uint64_t key = part_key(0xbad);

	for (size_t i = 0; i < count / 3; i++)
		fleet.nodes[i].is_cut = true;
	for (uint64_t endpoint = 1; endpoint <= 5; endpoint++) {
		fleet.End(count - endpoint % (count / 2) - 1, key, endpoint);
		fleet.Run(600 * ms_us);
	}
	fleet.Run(known_within_us);
	EXPECT_EQ(count - count / 3, fleet.HeldAt(key));
	for (size_t i = 0; i < count / 3; i++)
		fleet.nodes[i].is_cut = false;
	fleet.Restart(count - 1);
	fleet.Join();
	fleet.Run(known_within_us);
	EXPECT_EQ(count + 1, fleet.HeldAt(key));
	quarantine_report_success(fleet.nodes[0].quarantine, key, fleet.now_us,
				  fleet.now_us);
	fleet.Run(known_within_us);
	EXPECT_EQ(0u, fleet.HeldAt(key)) << "refuted anywhere as fast";
}

/* Guards against a storm of records when all nodes know that a part is sound,
 * or don't stop telling each other which of its losses they keep. */
TEST_P(PartFleetNews, LossesOfAPopularPartAreToldQuietly)
{
	const size_t rounds = 5;
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0);
	uint64_t key = part_key(1);

	for (uint64_t endpoint = 1; endpoint <= rounds; endpoint++) {
		fleet.End(endpoint % count, key, endpoint);
		fleet.Run(100 * ms_us);
		for (size_t i = 0; i < count; i++)
			quarantine_report_success(fleet.nodes[i].quarantine,
						  key, fleet.now_us,
						  fleet.now_us);
		fleet.Run(4 * second_us);
	}
	EXPECT_EQ(0u, fleet.HeldAt(key));
	EXPECT_LE(fleet.sent, rounds * count * (2 + 41 * 3))
		<< "gossip, and one node that tells all";
	fleet.Run(10 * second_us);
	fleet.sent = 0;
	fleet.Run(10 * second_us);
	EXPECT_LE(fleet.sent, count * 11u) << "one record a node and s";
}

INSTANTIATE_TEST_SUITE_P(Nodes, PartFleetNews, testing::Values(7, 61, 480));
