#include "core/gateway/known_start.h"

#include <gtest/gtest.h>

/* An endpoint of which a start is known, and what becomes of it later. */
class KnownStart : public testing::Test
{
      protected:
	struct registry *registry = registry_create();
	struct quarantine *quarantine;
	struct endpoint *endpoint;
	int64_t now_us = 1000000;

	KnownStart()
	{
		struct quarantine_options options;

		quarantine_options_default(&options);
		quarantine = quarantine_create(&options);
		Register(100);
		endpoint = registry_find(registry, "e1");
	}

	~KnownStart() override
	{
		quarantine_destroy(quarantine);
		registry_destroy(registry);
	}

	void Register(int64_t started_ms)
	{
		struct registration *update = g_new0(struct registration, 1);

		update->id = g_strdup("e1");
		update->service = g_strdup("engines");
		update->address = g_strdup("10.0.0.1:9000");
		update->failure_domain = g_strdup("a");
		update->position = ++now_us;
		update->started_ms = started_ms;
		registry_apply(registry, update, false, now_us);
		registration_destroy(update);
	}

	struct known_start Read()
	{
		return known_start_read(endpoint, quarantine);
	}

	bool IsCurrent(const struct known_start &known)
	{
		return known_start_is_current(&known, endpoint, quarantine);
	}

	bool MayLive(const struct known_start &known)
	{
		return known_start_may_live(&known, endpoint);
	}

	/* The endpoint breaks off a run of the suspect, and counts as ended. */
	void End(uint64_t suspect, bool in_doubt)
	{
		const struct quarantine_run run = {
			.key = suspect,
			.owner_key = 1,
			.start = Read().start,
		};

		now_us += 1000;
		quarantine_report_loss(quarantine, &run, now_us);
		ASSERT_TRUE(
			quarantine_report_end(quarantine, &run.start, now_us));
		endpoint->certain_ends += !in_doubt;
	}

	/* It answers on a connection from before its ends. */
	void Answer()
	{
		const struct quarantine_answer answer = {
			.endpoint_key = endpoint->key,
			.connected_us = 1,
			.sent_us = now_us + 1000,
		};

		quarantine_report_answer(quarantine, &answer, now_us + 2000);
	}
};

/* Guards against a copy that is not used though nothing has happened. */
TEST_F(KnownStart, IsCurrentUntilItEnds)
{
	const struct known_start known = Read();

	Register(100);
	EXPECT_TRUE(IsCurrent(known));
	EXPECT_TRUE(MayLive(known));
	End(7, false);
	EXPECT_FALSE(IsCurrent(known));
	EXPECT_FALSE(MayLive(known));
	EXPECT_TRUE(IsCurrent(Read()));
}

/* Guards against a copy that is given up as its engine reset connections. */
TEST_F(KnownStart, MayLiveAfterAnEndInDoubt)
{
	const struct known_start known = Read();

	End(7, true);
	EXPECT_FALSE(IsCurrent(known));
	EXPECT_TRUE(MayLive(known));
	End(8, false);
	EXPECT_FALSE(MayLive(known));
}

/* Guards against a copy that is given up as its engine answers again. */
TEST_F(KnownStart, MayLiveOnceTheDoubtIsGone)
{
	const struct known_start known = Read();

	End(7, true);
	Answer();
	EXPECT_EQ(0, Read().start.number);
	EXPECT_TRUE(IsCurrent(known));
	EXPECT_TRUE(MayLive(known));
}

/* Guards against a copy that is given up as an end before it is refuted. */
TEST_F(KnownStart, MayLiveOnceAnEarlierEndIsRefuted)
{
	struct known_start known;

	End(7, true);
	known = Read();
	Answer();
	EXPECT_EQ(0, Read().start.number);
	EXPECT_TRUE(MayLive(known));
}

/* Guards against a copy that is asked for at the next start under the id. */
TEST_F(KnownStart, HasEndedWhereAnotherOneIsRegistered)
{
	const struct known_start known = Read();

	Register(200);
	EXPECT_FALSE(IsCurrent(known));
	EXPECT_FALSE(MayLive(known));
}

/* The same where the first one's registration does not state its birth. */
TEST_F(KnownStart, HasEndedWhereItsBirthWasUnknown)
{
	struct known_start known;

	endpoint->last_registration->started_ms = 0;
	known = Read();
	Register(200);
	EXPECT_FALSE(IsCurrent(known));
	EXPECT_FALSE(MayLive(known));
}
