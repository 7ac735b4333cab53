#include "core/limit/end_watch.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

const int64_t ms = 1000;

/* A host whose probes stay open until the test says what they show. */
class EndWatch : public ::testing::Test
{
      protected:
	EndWatch()
	{
		const struct end_watch_host host = {
			.probe = OnProbe,
			.destroy_probe = OnProbeDestroyed,
			.check_reach = OnCheckReach,
			.has_other = OnHasOther,
			.is_registered = OnIsRegistered,
			.ended = OnEnded,
			.data = this,
		};

		watch = end_watch_create(&host);
		start.endpoint_key = UINT64_C(7) << 32;
	}

	~EndWatch() override
	{
		end_watch_destroy(watch);
	}

	void Lose(int64_t at_us)
	{
		end_watch_add(watch, "i-7", "10.0.0.7:80", &start, true, at_us);
	}

	/* Ends the open probe with what it shows. */
	void EndProbe(enum connection_sign sign, int64_t at_us)
	{
		ASSERT_NE(nullptr, probed);
		probed->probe = nullptr;
		open_probes--;
		lost_endpoint_note(probed, sign, at_us);
	}

	struct end_watch *watch;
	struct endpoint_start start = {};
	struct lost_endpoint *probed = nullptr; /* by the last probe */
	bool has_other = true;
	bool is_registered = true;
	int probes = 0;
	int open_probes = 0;
	int reach_checks = 0;
	std::vector<std::string> ends;

      private:
	static gpointer OnProbe(void *data, struct lost_endpoint *lost)
	{
		EndWatch *test = (EndWatch *)data;

		test->probed = lost;
		test->probes++;
		test->open_probes++;
		return &test->open_probes;
	}
	static void OnProbeDestroyed(gpointer probe)
	{
		--*(int *)probe;
	}
	static void OnCheckReach(void *data)
	{
		((EndWatch *)data)->reach_checks++;
	}
	static bool OnHasOther(void *data, const struct lost_endpoint *)
	{
		return ((EndWatch *)data)->has_other;
	}
	static bool OnIsRegistered(void *data, const struct lost_endpoint *)
	{
		return ((EndWatch *)data)->is_registered;
	}
	static void OnEnded(void *data, const struct lost_endpoint *,
			    const char *evidence)
	{
		((EndWatch *)data)->ends.push_back(evidence);
	}
};

/* Guards against missing the end of an endpoint that is back soon after. */
TEST_F(EndWatch, AsksAtOnceAndTwiceMore)
{
	Lose(100 * ms);
	EXPECT_EQ(1, probes);
	end_watch_step(watch, 110 * ms);
	EXPECT_EQ(1, probes) << "the first one is under way";
	EndProbe(CONNECTION_ACCEPTED, 111 * ms);
	EXPECT_EQ(130 * ms, end_watch_next_due_us(watch));
	end_watch_step(watch, 129 * ms);
	EXPECT_EQ(1, probes);
	end_watch_step(watch, 130 * ms);
	EXPECT_EQ(2, probes);
	EndProbe(CONNECTION_ACCEPTED, 131 * ms);
	end_watch_step(watch, 160 * ms);
	EXPECT_EQ(3, probes);
	EndProbe(CONNECTION_ACCEPTED, 161 * ms);
	EXPECT_EQ(INT64_MAX, end_watch_next_due_us(watch));
	end_watch_step(watch, 300 * ms);
	EXPECT_EQ(3, probes);
	EXPECT_TRUE(end_watch_has_lived_on(watch, &start, 100 * ms));
	Lose(400 * ms);
	EXPECT_EQ(4, probes) << "each loss is looked into";
}

/* Guards against ends concluded by a node that reaches no endpoint. */
TEST_F(EndWatch, ARefusalCountsOnceAnotherIsHeard)
{
	Lose(100 * ms);
	EndProbe(CONNECTION_REFUSED, 101 * ms);
	EXPECT_FALSE(end_watch_has_lived_on(watch, &start, 100 * ms));
	end_watch_note_heard(watch, start.endpoint_key, 102 * ms);
	end_watch_step(watch, 103 * ms);
	EXPECT_EQ(1, reach_checks);
	EXPECT_EQ(INT64_MAX, end_watch_next_due_us(watch));
	EXPECT_TRUE(ends.empty());
	end_watch_note_heard(watch, UINT64_C(8) << 32, 104 * ms);
	end_watch_note_heard(watch, start.endpoint_key, 105 * ms);
	end_watch_step(watch, 106 * ms);
	EXPECT_EQ(std::vector<std::string>{"refuses connections"}, ends);
	EXPECT_EQ(0u, end_watch_count(watch));
}

/* Guards against a reset that is taken for as sure a sign as a refusal. */
TEST(LostEndpoint, OnlyResetsLeaveADoubt)
{
	struct lost_endpoint lost = {};

	lost.is_broken = true;
	lost_endpoint_note(&lost, CONNECTION_RESET, 1);
	EXPECT_TRUE(lost_endpoint_may_live(&lost, true));
	EXPECT_FALSE(lost_endpoint_may_live(&lost, false));
	lost_endpoint_note(&lost, CONNECTION_REFUSED, 2);
	EXPECT_FALSE(lost_endpoint_may_live(&lost, true));
	lost_endpoint_note(&lost, CONNECTION_RESET, 3);
	lost_endpoint_note(&lost, CONNECTION_REPLACED, 4);
	EXPECT_FALSE(lost_endpoint_may_live(&lost, true));
}

/* Guards against an end that is never known, where there is one endpoint. */
TEST_F(EndWatch, ALoneEndpointHasEndedOnceItIsBack)
{
	has_other = false;
	Lose(100 * ms);
	EndProbe(CONNECTION_REFUSED, 101 * ms);
	end_watch_step(watch, 102 * ms);
	EXPECT_TRUE(ends.empty());
	EXPECT_TRUE(end_watch_note_connection(watch, "i-7", CONNECTION_ACCEPTED,
					      900 * ms));
	end_watch_step(watch, 901 * ms);
	EXPECT_EQ(1u, ends.size());
}

/* Guards against probes that outlive what they were opened for. */
TEST_F(EndWatch, EndsItsProbes)
{
	Lose(100 * ms);
	is_registered = false;
	end_watch_step(watch, 101 * ms);
	EXPECT_EQ(std::vector<std::string>{"its registration"}, ends);
	EXPECT_EQ(0, open_probes);
	is_registered = true;
	Lose(200 * ms);
	end_watch_forget(watch, &start, 199 * ms);
	EXPECT_EQ(1u, end_watch_count(watch)) << "it broke off another run";
	end_watch_forget(watch, &start, 200 * ms);
	EXPECT_EQ(0u, end_watch_count(watch));
	EXPECT_EQ(0, open_probes);
	Lose(300 * ms);
	end_watch_destroy(g_steal_pointer(&watch));
	EXPECT_EQ(0, open_probes);
}

/* Guards against watching for good what never shows its end. */
TEST_F(EndWatch, GivesUpInTime)
{
	Lose(100 * ms);
	EXPECT_TRUE(end_watch_has(watch, start.endpoint_key));
	EXPECT_FALSE(end_watch_note_connection(watch, "i-8",
					       CONNECTION_REPLACED, 101 * ms));
	end_watch_step(watch, 15 * G_USEC_PER_SEC);
	EXPECT_TRUE(end_watch_has(watch, start.endpoint_key));
	end_watch_step(watch, 16 * G_USEC_PER_SEC);
	EXPECT_FALSE(end_watch_has(watch, start.endpoint_key));
	EXPECT_TRUE(ends.empty());
}

} // namespace
