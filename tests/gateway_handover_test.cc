#include "tests/gateway_pair.h"
#include "tests/model_engine.h"

#include <algorithm>

/* Time for which two engines may work on one run. */
static constexpr int64_t max_overlap_us = 400000;

/*
 * A run that goes on at another engine, whatever its own engine does about a
 * connection that is closed.
 */
class GatewayHandover : public GatewayPair
{
      protected:
	ModelEngine one{"i-1"}, two{"i-2"};
	ModelEngine *from = nullptr, *to = nullptr;
	std::unique_ptr<Connection> caller;
	std::string id = "r-1";

	/* Starts a stream, and waits until its engine has begun. */
	void Start(bool with_moves, bool with_backups)
	{
		moves = with_moves;
		backs_up = with_backups;
		timeout_us = 20000000;
		retry_extra = 6000;
		Create(1);
		Register(0, "engines",
			 {{one.id, one.address}, {two.id, two.address}});
		ASSERT_TRUE(run_until([&] {
			return retry_window_remaining(gateway_budget(
				       nodes[0]->gateway, "engines")) > 2;
		}));
		caller.reset(Connection::open(nodes[0]->address));
		caller->send("POST /report/a HTTP/1.1\r\nHost: h\r\n"
			     "X-Siskinlink-Request-Id: " +
			     id +
			     "\r\nX-Siskinlink-Token-Count: 100,2000\r\n"
			     "Connection: close\r\nContent-Length: 0\r\n\r\n");
		ASSERT_TRUE(run_until(
			[&] { return one.IsAtWork(id) || two.IsAtWork(id); }));
		from = one.IsAtWork(id) ? &one : &two;
		to = from == &one ? &two : &one;
		ASSERT_TRUE(caller->wait_for("id: 0\n"));
	}

	void Leave()
	{
		position++;
		Register(0, "engines", {{from->id, from->address}}, true);
	}

	/* The engine leaves without a word, and serves on. */
	void RemoveEntry()
	{
		position++;
		Unregister(0, from->id);
	}

	/* Waits until the caller's answer and all work on it have ended. */
	void Finish()
	{
		int64_t end_us = g_get_monotonic_time() + 15000000;

		while (g_get_monotonic_time() < end_us &&
		       (!caller->closed || one.IsAtWork(id) ||
			two.IsAtWork(id))) {
			Wait(50);
			caller->read();
		}
	}

	/* The longest time for which both engines worked on the request. */
	int64_t Overlap()
	{
		int64_t overlap_us = 0;

		for (const auto &a : one.work[id])
			for (const auto &b : two.work[id])
				overlap_us = std::max(
					overlap_us,
					std::min(a.to_us, b.to_us) -
						std::max(a.from_us, b.from_us));
		return overlap_us;
	}

	/* The ids of the caller's events, in order. */
	std::string Events() const
	{
		std::string ids;
		size_t at = 0;

		while ((at = caller->input.find("id: ", at)) !=
		       std::string::npos) {
			at += 4;
			ids += caller->input.substr(
				       at, caller->input.find('\n', at) - at) +
			       " ";
		}
		return ids;
	}

	std::string AllEvents() const
	{
		std::string ids;

		for (int i = 0; i < one.events; i++)
			ids += std::to_string(i) + " ";
		return ids;
	}

	bool IsWhole() const
	{
		return caller->input.size() > 5 &&
		       caller->input.substr(caller->input.size() - 5) ==
			       "0\r\n\r\n";
	}

	void SetPace(int pace_ms, int events)
	{
		one.pace_ms = two.pace_ms = pace_ms;
		one.events = two.events = events;
	}

	void ExpectMovedWhole()
	{
		EXPECT_LE(Overlap(), max_overlap_us);
		EXPECT_EQ(1, one.runs[id] + two.runs[id]);
		EXPECT_GE(to->continued[id], 1);
		EXPECT_EQ(AllEvents(), Events());
		EXPECT_TRUE(IsWhole());
	}
};

/* Guards against two engines on one run where the engine that leaves looks at
 * its connections between two slow events. */
TEST_F(GatewayHandover, LeavesAnEngineThatNoticesLate)
{
	SetPace(700, 6);
	one.notices = two.notices = NOTICES_AT_NEXT_EVENT;
	Start(true, false);
	Leave();
	Finish();
	ExpectMovedWhole();
}

/* Guards against memory that is held for a run that has gone on elsewhere. */
TEST_F(GatewayHandover, FreesWhatIsNotContinued)
{
	SetPace(50, 40);
	Start(true, true);
	Wait(700);
	Leave();
	Finish();
	ExpectMovedWhole();
	EXPECT_EQ(1, from->copies_freed);
	EXPECT_EQ(0, to->copies_freed);
}

/* Guards against the memory of another run that is freed: an engine that
 * started again under its id names its copies anew. */
TEST_F(GatewayHandover, FreesNothingOfAnotherStart)
{
	GPtrArray *list = registration_list_create();
	struct registration *said = g_new0(struct registration, 1);

	SetPace(50, 60);
	Start(true, true);
	Wait(700);
	to->answer_ms = 800;
	Leave();
	ASSERT_TRUE(run_until([&] { return from->stops > 0; }));
	Wait(200);
	ASSERT_EQ(0, from->copies_freed);
	said->id = g_strdup(from->id.c_str());
	said->service = g_strdup("engines");
	said->address = g_strdup(from->address.c_str());
	said->failure_domain = g_strdup("a");
	said->position = ++position;
	said->started_ms = 7;
	g_ptr_array_add(list, said);
	gateway_apply_changes(nodes[0]->gateway, list);
	g_ptr_array_unref(list);
	Finish();
	EXPECT_EQ(0, from->copies_freed);
	EXPECT_EQ(AllEvents(), Events());
}

/* Guards against two engines on one run where the engine that leaves works on
 * without its connection. */
TEST_F(GatewayHandover, LeavesAnEngineThatNeverNotices)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	Start(true, false);
	Leave();
	Finish();
	ExpectMovedWhole();
}

/* The same where the other engine has a backup. */
TEST_F(GatewayHandover, LeavesForABackup)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	Start(true, true);
	Wait(700);
	Leave();
	Finish();
	ExpectMovedWhole();
}

/* Guards against two engines on one run where one is silent and goes on. */
TEST_F(GatewayHandover, LeavesASilentEngineThatGoesOn)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	one.silent_from = two.silent_from = 10;
	one.silence_ms = two.silence_ms = 2000;
	Start(true, true);
	Finish();
	ExpectMovedWhole();
}

/* Guards against two engines on one run where only the connection is lost. */
TEST_F(GatewayHandover, GoesOnAfterALostConnection)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	one.breaks_at = two.breaks_at = 10;
	Start(true, true);
	Finish();
	ExpectMovedWhole();
}

/* Guards against two engines on one run where a paused node counts its time. */
TEST_F(GatewayHandover, APauseOfTheNodeCounts)
{
	SetPace(20, 100);
	Start(true, false);
	to->answer_ms = 900;
	Leave();
	ASSERT_TRUE(run_until([&] { return to->IsAtWork(id); }));
	g_usleep(400000);
	Finish();
	ExpectMovedWhole();
}

/* Guards against a stream that is cut as the other engine answers late that it
 * can't go on, when its own engine was let go. */
TEST_F(GatewayHandover, ReturnsWhereTheOtherEngineRefuses)
{
	SetPace(50, 40);
	Start(true, false);
	to->answer_ms = 400;
	to->has_copies = false;
	Leave();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
	EXPECT_EQ(AllEvents(), Events());
	EXPECT_TRUE(IsWhole());
}

/* The same where the entry of its own engine is removed, and says nothing. */
TEST_F(GatewayHandover, ReturnsWhereItsEntryIsRemoved)
{
	SetPace(50, 90);
	Start(true, false);
	to->answer_ms = 400;
	to->has_copies = false;
	Wait(2500); /* removals are in doubt before */
	RemoveEntry();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
	EXPECT_EQ(1, from->stops);
	EXPECT_EQ(AllEvents(), Events());
	EXPECT_TRUE(IsWhole());
}

/* Guards against a request to an engine that has been leaving for a while, as
 * its entry is removed and the other engine refuses. */
TEST_F(GatewayHandover, AsksNoEngineThatHasLeft)
{
	SetPace(50, 60);
	Start(true, false);
	to->answer_ms = 2100;
	to->has_copies = false;
	Leave();
	Wait(1700);
	RemoveEntry();
	Finish();
	EXPECT_EQ(0, from->continued[id]);
	EXPECT_EQ(0u, AllEvents().find(Events()));
	EXPECT_FALSE(IsWhole());
}

/* The same where the engine has nowhere to copy the run to. */
TEST_F(GatewayHandover, ReturnsWhatWasNotCopied)
{
	SetPace(50, 40);
	one.stop = two.stop = STOPS_WITHOUT_ROOM;
	Start(true, false);
	to->has_copies = false;
	Leave();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
	EXPECT_EQ(AllEvents(), Events());
	EXPECT_TRUE(IsWhole());
}

/* Guards against a stream that is cut as the other engine refuses before its
 * own engine has named what it keeps. */
TEST_F(GatewayHandover, WaitsForWhatItsEngineKeeps)
{
	SetPace(50, 40);
	one.copy_ms = two.copy_ms = 300;
	Start(true, false);
	to->has_copies = false;
	Leave();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
	EXPECT_EQ(AllEvents(), Events());
	EXPECT_TRUE(IsWhole());
}

/* Guards against two engines on one run where only the connections of its
 * stream and of the call to stop it are lost. */
TEST_F(GatewayHandover, AsksAgainAfterALostCall)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	one.stop = two.stop = BREAKS_FIRST_CALL;
	one.breaks_at = two.breaks_at = 10;
	Start(true, true);
	Finish();
	ExpectMovedWhole();
	EXPECT_EQ(2, from->stops);
}

/* Guards against two engines on one run where the engine won't stop it. */
TEST_F(GatewayHandover, StaysWhereItsEngineRefusesToStop)
{
	SetPace(50, 40);
	one.notices = two.notices = NOTICES_NEVER;
	one.stop = two.stop = REFUSES_TO_STOP;
	Start(true, false);
	Leave();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
	EXPECT_EQ(AllEvents(), Events());
	EXPECT_TRUE(IsWhole());
}

/* The same where the engine does not answer the call to stop. */
TEST_F(GatewayHandover, StaysWhereItsEngineIgnoresTheCall)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	one.stop = two.stop = IGNORES_STOP;
	Start(true, false);
	Leave();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
	EXPECT_EQ(AllEvents(), Events());
	EXPECT_TRUE(IsWhole());
}

/* Guards against an answer that counts as whole as its run was stopped. */
TEST_F(GatewayHandover, AStoppedRunIsNotWhole)
{
	SetPace(50, 40);
	one.ends_by_close = two.ends_by_close = true;
	Start(true, false);
	Leave();
	Finish();
	ExpectMovedWhole();
}

/* Guards against two engines on one run where engines take no call to stop. */
TEST_F(GatewayHandover, ClosesWhereNoCallIsTaken)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_AT_ONCE;
	Start(false, true);
	Wait(700);
	Leave();
	Finish();
	ExpectMovedWhole();
}

/* The same where the engine does not notice the close either: the run stays. */
TEST_F(GatewayHandover, StaysWhereNothingStopsIt)
{
	SetPace(50, 60);
	one.notices = two.notices = NOTICES_NEVER;
	Start(false, true);
	Wait(700);
	Leave();
	Finish();
	EXPECT_LE(Overlap(), max_overlap_us);
}
