#include "core/gateway/endpoint_choice.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

/*
 * Generations on engines with memory for 34,000 tokens and 24 slots, with the
 * load of the service that generates reports: prompts of 3,000 tokens, answers
 * of about 900 tokens.
 */
class EndpointChoice : public testing::Test
{
      protected:
	struct registry *registry = registry_create();
	struct engine_capabilities engine = {};
	struct endpoint_criteria criteria = {};
	GPtrArray *avoid = g_ptr_array_new_with_free_func(g_free);

	EndpointChoice()
	{
		engine.slots = 24;
		engine.memory_tokens = 34000;
		engine.can_back_up = true;
		criteria.service = "engines";
		criteria.engine = &engine;
		criteria.failure_domain = "a";
		criteria.avoid = avoid;
		criteria.tokens = 3400;
		criteria.now_us = 1000000;
	}

	~EndpointChoice() override
	{
		registry_destroy(registry);
		g_ptr_array_unref(avoid);
	}

	struct endpoint *add(const char *id, int64_t tokens, int32_t requests,
			     const char *domain = "a")
	{
		struct registration said = {};
		struct endpoint *endpoint;

		said.id = const_cast<char *>(id);
		said.service = const_cast<char *>("engines");
		said.address = const_cast<char *>("10.0.0.1:9000");
		said.failure_domain = const_cast<char *>(domain);
		said.slots = 24;
		said.position = 1;
		registry_apply(registry, &said, false, 0);
		endpoint = registry_find(registry, id);
		endpoint->others.tokens = tokens;
		endpoint->others.requests = requests;
		return endpoint;
	}

	std::string choose()
	{
		struct endpoint *found = endpoint_choose(registry, &criteria);

		return found ? found->last_registration->id : "none";
	}

	std::string backup()
	{
		struct endpoint *found =
			endpoint_choose_backup(registry, &criteria);

		return found ? found->last_registration->id : "none";
	}
};

TEST_F(EndpointChoice, TakesTheEngineWithTheMostRoom)
{
	add("busy", 20000, 5);
	add("free", 9000, 3);
	EXPECT_EQ("free", choose());
}

/*
 * Many prompts arrive at once. On an engine with three unread prompts the next
 * one waits for a second, even if the engine has free memory.
 */
TEST_F(EndpointChoice, SpreadsPromptsThatAreStillToBeRead)
{
	add("reading", 9000, 3)->others.unread_tokens = 9000;
	add("running", 16000, 4);
	EXPECT_EQ("running", choose());
}

/*
 * All engines are full. A request is still placed a little above the planned
 * load, and refused if the engine would have to preempt others for it.
 */
TEST_F(EndpointChoice, RefusesBeforeEnginesPreempt)
{
	struct endpoint *only = add("only", 29800, 8);

	EXPECT_EQ("only", choose());
	only->others.tokens = 32000;
	EXPECT_EQ("only", choose());
	only->others.tokens = 33000;
	EXPECT_EQ("none", choose());
	EXPECT_EQ(nullptr, endpoint_choose_for_move(registry, &criteria));
}

/*
 * Engines are full under load, and one leaves. Guards against moving its
 * reports to engines without spare room: these preempted other reports, and
 * more callers got late answers than reports were saved.
 */
TEST_F(EndpointChoice, MovesReportsOnlyWhereTheyFit)
{
	add("full", 21000, 6);
	EXPECT_EQ(nullptr, endpoint_choose_for_move(registry, &criteria));
	add("new", 3000, 1);
	EXPECT_STREQ("new", endpoint_choose_for_move(registry, &criteria)
				    ->last_registration->id);
}

TEST_F(EndpointChoice, KeepsBackupsOnlyWhereThereIsRoomToSpare)
{
	struct endpoint *only = add("only", 18000, 4);

	add("runner", 0, 0);
	criteria.avoid_id = "runner";
	EXPECT_EQ("only", backup());
	only->others.tokens = 19000;
	EXPECT_EQ("none", backup());
	only->others.tokens = 0;
	criteria.avoid_id = "only";
	registry_find(registry, "runner")->full_until_us = criteria.now_us + 1;
	EXPECT_EQ("none", backup());
}

/*
 * Guards against backups that take the last room of a crowded service:
 * generations whose engines leave then find none, and are cut off.
 */
TEST_F(EndpointChoice, KeepsFewerBackupsWhereMemoryIsScarce)
{
	struct endpoint *fresh = add("fresh", 8000, 2);

	for (const char *id : {"b", "c", "d", "e", "f"})
		add(id, 31000, 8);
	EXPECT_EQ("fresh", backup());
	fresh->others.tokens = 9000;
	EXPECT_EQ("none", backup()) << "0.365 of its memory";
	EXPECT_NE(nullptr, endpoint_choose_for_move(registry, &criteria));
	for (const char *id : {"b", "c", "d", "e", "f"})
		registry_find(registry, id)->others = {};
	EXPECT_NE("none", backup()) << "the others are empty";
}

TEST_F(EndpointChoice, SkipsLeavingAndFullEngines)
{
	struct endpoint *leaving = add("leaving", 0, 0);
	struct endpoint *full = add("full", 0, 0);

	leaving->presence = PRESENCE_LEAVING;
	full->full_until_us = criteria.now_us + 1;
	EXPECT_EQ("none", choose());
	add("last", 20000, 6);
	EXPECT_EQ("last", choose());
	g_ptr_array_add(avoid, g_strdup("last"));
	EXPECT_EQ("none", choose());
}

/*
 * Two engines of five leave with eight reports each, and the others are half
 * full. Guards against new requests taking the room before the reports move:
 * one engine after the other refused the reports, and they were cut off. New
 * requests are refused until the reports have moved; then they get the room
 * that is left.
 */
TEST_F(EndpointChoice, KeepsRoomForReportsOfEnginesThatLeave)
{
	struct endpoint *leaving[] = {add("leaving", 28000, 8),
				      add("leaving too", 28000, 8)};

	add("one", 17000, 5);
	add("two", 17100, 5);
	add("three", 17200, 5);
	for (struct endpoint *each : leaving)
		each->presence = PRESENCE_LEAVING;
	EXPECT_EQ("none", choose());
	EXPECT_NE(nullptr, endpoint_choose_for_move(registry, &criteria));
	for (struct endpoint *each : leaving)
		each->others = {};
	EXPECT_EQ("one", choose());
}

/* A leaving engine with only backup copies has no reports to move. */
TEST_F(EndpointChoice, KeepsNoRoomForCopiesThatLeave)
{
	struct endpoint *leaving = add("leaving", 28000, 0);

	leaving->presence = PRESENCE_LEAVING;
	leaving->others.copies = 8;
	add("one", 23800, 7);
	EXPECT_EQ("one", choose());
}

/* Copying to another failure domain takes twice as long on the link. */
TEST_F(EndpointChoice, PrefersTheNearEndpointForCopies)
{
	add("near", 12000, 4);
	add("far", 8000, 3, "b");
	EXPECT_EQ("far", choose());
	criteria.other_domain_weight = 0.3;
	EXPECT_EQ("near", choose());
}

/*
 * Engines crashed one after the other and are back. An unhealthy one gets no
 * requests while a healthy one has room. If all look unhealthy, callers must
 * not be refused for seconds while engines could serve them.
 */
TEST_F(EndpointChoice, TriesAnUnhealthyEngineLast)
{
	endpoint_health_put_aside(&add("aside", 0, 0)->health, criteria.now_us);
	EXPECT_EQ("aside", choose());
	add("good", 29000, 8);
	EXPECT_EQ("good", choose());
}

/*
 * Two other nodes send failure notices about the emptiest engine. This node
 * must avoid it before it loses a request there itself.
 */
TEST_F(EndpointChoice, AvoidsAnEngineAfterFailureNotices)
{
	struct endpoint *broken = add("broken", 0, 0);

	add("good", 20000, 6);
	EXPECT_EQ("broken", choose());
	endpoint_suspicion_add_notice(&broken->suspicion, 2, criteria.now_us);
	endpoint_suspicion_add_notice(&broken->suspicion, 3, criteria.now_us);
	EXPECT_EQ("good", choose());
}

/*
 * Ten nodes were cut off from the network. After they reconnect, they send
 * failure notices about every engine. If these counted, no engine would take
 * moving reports or backups for two seconds. So many engines do not fail at
 * once; the network path to them does.
 */
TEST_F(EndpointChoice, IgnoresFailureNoticesAboutMostEngines)
{
	for (const char *id : {"one", "two", "three", "four"}) {
		struct endpoint *endpoint = add(id, 9000, 3);

		endpoint_suspicion_add_notice(&endpoint->suspicion, 2,
					      criteria.now_us);
		endpoint_suspicion_add_notice(&endpoint->suspicion, 3,
					      criteria.now_us);
	}
	EXPECT_NE("none", backup());
	EXPECT_NE(nullptr, endpoint_choose_for_move(registry, &criteria));
}

/*
 * All endpoints of a plain service look unhealthy: they may have recovered, and
 * the alternative is a certain refusal.
 */
TEST_F(EndpointChoice, TriesAnUnhealthyPlainService)
{
	struct endpoint *one = add("one", 0, 0);

	criteria.engine = nullptr;
	criteria.tokens = 0;
	endpoint_health_put_aside(&one->health, criteria.now_us);
	EXPECT_EQ("one", choose());
}

/* An endpoint that answers with many errors gets fewer requests, not none. */
TEST_F(EndpointChoice, ShiftsRequestsAwayFromErrors)
{
	struct endpoint *grey = add("grey", 0, 0);

	add("good", 0, 2);
	criteria.engine = nullptr;
	EXPECT_EQ("grey", choose());
	for (int i = 0; i < 10; i++)
		endpoint_count_answer(grey, true);
	EXPECT_EQ("good", choose());
}

/* Nodes that decide at once by the same load spread over equal engines. */
TEST_F(EndpointChoice, SpreadsDecisionsOfTheSameMoment)
{
	std::map<std::string, int> counts;

	for (const char *id : {"e1", "e2", "e3", "e4"})
		add(id, 9000, 3);
	for (int i = 0; i < 200; i++) {
		criteria.draw = i / 200.0;
		counts[choose()]++;
	}
	EXPECT_EQ(4u, counts.size());
	for (const auto &count : counts)
		EXPECT_LT(count.second, 120) << count.first;
}

/*
 * Guards against a burst that ends a cold engine: it looks empty, so that every
 * node would send it all its requests. Beyond the rate they go elsewhere.
 */
TEST_F(EndpointChoice, SendsAColdEngineNoMoreThanItsRate)
{
	struct endpoint *cold = add("cold", 0, 0);

	add("warm", 20000, 5);
	criteria.rates.warmup = {4000, 150, 5};
	criteria.rates.warmup_chooser = RATE_HOME;
	criteria.rates.fleet = {480, 480, 480, 0, 0};
	criteria.rates.is_settled = true;
	cold->warm_us = criteria.now_us + G_USEC_PER_SEC;
	for (int i = 0; i < 4; i++) {
		ASSERT_EQ("cold", choose());
		endpoint_rates_count(cold, &criteria.rates, criteria.now_us);
	}
	EXPECT_EQ("warm", choose());
	criteria.rates.is_settled = false;
	g_clear_pointer(&cold->sent_cold, rate_window_destroy);
	EXPECT_EQ("warm", choose()) << "this node has just started";
	cold->warm_us = 0;
	EXPECT_EQ("cold", choose()) << "warm by now";
	criteria.rates.cold_us = G_USEC_PER_SEC;
	cold->uncordoned_us = criteria.now_us - 1000;
	EXPECT_EQ("warm", choose()) << "its domain was just taken back";
	criteria.rates.warmup.rate_per_ks = 0;
	EXPECT_EQ("cold", choose()) << "the service states no rate";
}

/* What waits for a cold engine alone is refused, not sent after all. */
TEST_F(EndpointChoice, RefusesWhatOnlyAColdEngineCouldTake)
{
	struct endpoint *cold = add("cold", 0, 0);

	criteria.rates.warmup = {500, 100, 0};
	criteria.rates.warmup_chooser = RATE_EACH_NODE;
	criteria.rates.fleet = {59, 59, 59, 0, 58};
	criteria.rates.is_settled = true;
	cold->warm_us = criteria.now_us + G_USEC_PER_SEC;
	EXPECT_EQ("none", choose());
}

/*
 * Guards against a limit that an endpoint states and that nobody holds: of 50
 * requests a second it gets, in any 4 s, no more than 1.5 times 3 a second and
 * 5. The others go elsewhere.
 */
TEST_F(EndpointChoice, SendsALimitedEndpointNoMoreThanItStates)
{
	struct endpoint *limited = add("limited", 0, 0);
	std::map<std::string, int> counts;

	add("other", 20000, 5);
	limited->limit = {true, 3000, criteria.now_us};
	criteria.engine = nullptr;
	criteria.rates.fleet = {1, 1, 1, 0, 0};
	criteria.rates.limit_chooser = RATE_EACH_NODE;
	criteria.rates.is_settled = true;
	for (int i = 0; i < 200; i++) {
		criteria.now_us += G_USEC_PER_SEC / 50;
		std::string id = choose();
		endpoint_rates_count(registry_find(registry, id.c_str()),
				     &criteria.rates, criteria.now_us);
		counts[id]++;
	}
	EXPECT_LE(counts["limited"], 23);
	EXPECT_GE(counts["limited"], 8) << "most of the limit is used";
	EXPECT_EQ(0, counts["none"]);
}

/* Guards against requests that wait at a brittle endpoint, which would have to
 * reject more of them. */
TEST_F(EndpointChoice, LetsNothingWaitAtABrittleEndpoint)
{
	struct endpoint *brittle = add("brittle", 0, 23);

	criteria.engine = nullptr;
	brittle->brittle = {true, 2000, criteria.now_us};
	EXPECT_EQ("brittle", choose()) << "it has a free slot";
	brittle->own.requests++;
	EXPECT_EQ("none", choose());
	brittle->brittle.is_limited = false;
	EXPECT_EQ("brittle", choose());
}

/*
 * Guards against a report whose first event is late because it was sent to an
 * engine that still reads the prompts of others.
 */
TEST_F(EndpointChoice, ALateFirstEventIsNoReasonToSend)
{
	struct endpoint *reading = add("reading", 12000, 3);

	reading->others.unread_tokens = 12000;
	criteria.prompt_tokens = 3000;
	criteria.begin_within_us = 2000000;
	EXPECT_EQ("none", choose()) << "15,000 tokens take 2.1 s";
	criteria.begin_within_us = 2200000;
	EXPECT_EQ("reading", choose());
	criteria.begin_within_us = 400000;
	EXPECT_EQ("reading", choose()) << "it is late at any engine";
	criteria.begin_within_us = 2000000;
	add("busy", 25000, 20);
	EXPECT_EQ("busy", choose());
	criteria.avoid_id = "busy";
	criteria.tokens = 1000;
	EXPECT_NE("none", backup()) << "a copy waits for no prompt";
	EXPECT_NE(nullptr, endpoint_choose_for_move(registry, &criteria));
}

/* Guards against a slow engine that is taken to read as fast as others. */
TEST_F(EndpointChoice, ASlowEngineReadsLonger)
{
	struct endpoint *slow = add("slow", 12000, 3);
	struct service_speed speed = {};

	slow->others.unread_tokens = 6000;
	slow->speed.ratio = 2;
	slow->speed.evidence = 8;
	slow->speed.observed_us = criteria.now_us;
	criteria.prompt_tokens = 3000;
	criteria.begin_within_us = 2000000;
	EXPECT_EQ("slow", choose()) << "speeds are not in use";
	criteria.speed = &speed;
	EXPECT_EQ("none", choose()) << "9,000 tokens take 2.6 s there";
}

/*
 * Guards against a request that runs outside the regions to which its route or
 * its organisation is bound, however full the endpoints there are.
 */
TEST_F(EndpointChoice, KeepsRequestsInTheirRegions)
{
	static const char *const pairs[] = {"a=casa", "b=rabat", nullptr};
	struct region_map *map = region_map_create(pairs);
	GPtrArray *casa = g_ptr_array_new(), *both = g_ptr_array_new();

	g_ptr_array_add(casa, (gpointer) "casa");
	g_ptr_array_add(both, (gpointer) "casa");
	g_ptr_array_add(both, (gpointer) "rabat");
	add("home", 30000, 8, "a");
	add("far", 0, 0, "b");
	add("unknown", 0, 0, "c");
	criteria.regions.map = map;
	EXPECT_NE("home", choose()) << "bound to no region";
	criteria.regions.route = both;
	EXPECT_EQ("far", choose());
	criteria.regions.organisation = casa;
	EXPECT_EQ("home", choose()) << "both bind";
	EXPECT_EQ(nullptr, endpoint_choose_for_move(registry, &criteria));
	criteria.avoid_id = "home";
	EXPECT_EQ("none", backup());
	EXPECT_TRUE(endpoint_choice_exists(registry, &criteria));
	g_ptr_array_set_size(both, 0);
	EXPECT_FALSE(endpoint_choice_exists(registry, &criteria))
		<< "its regions have nothing in common";
	EXPECT_EQ("none", choose());
	g_ptr_array_unref(casa);
	g_ptr_array_unref(both);
	region_map_destroy(map);
}

/*
 * Guards against runs that are lost with engines that leave in groups, because
 * new requests have taken all memory by then.
 */
TEST_F(EndpointChoice, DeferrableRequestsLeaveRoomForMoves)
{
	add("one", 23000, 7);
	add("two", 24000, 7);
	EXPECT_EQ("one", choose());
	criteria.reserved_share = 0.15;
	EXPECT_EQ("none", choose());
	criteria.reserved_share = 0.1;
	EXPECT_EQ("one", choose());
}

/* Guards against moves that find no room where it was left for them. */
TEST_F(EndpointChoice, MovesTakeTheRoomThatIsLeft)
{
	add("one", 24500, 7);
	EXPECT_EQ(nullptr, endpoint_choose_for_move(registry, &criteria));
	criteria.gives_way = true;
	EXPECT_NE(nullptr, endpoint_choose_for_move(registry, &criteria));
	add("one", 30000, 7);
	EXPECT_EQ(nullptr, endpoint_choose_for_move(registry, &criteria));
}

/* Endpoints of known speeds; a token usually takes 7 ms and 0.12 per request.
 */
class EndpointChoiceBySpeed : public EndpointChoice
{
      protected:
	struct service_speed speed = {};

	EndpointChoiceBySpeed()
	{
		speed.centre_us = 7000;
		speed.load_slope = 0.12 / 7;
		speed.stated_us = criteria.now_us;
		criteria.speed = &speed;
		engine.tokens_per_event = 4;
	}

	void set_ratio(struct endpoint *endpoint, double ratio)
	{
		endpoint->speed.ratio = ratio;
		endpoint->speed.observed_us = criteria.now_us;
	}
};

/* Guards against a deployment without stated speeds that decides differently.
 */
TEST_F(EndpointChoiceBySpeed, DecidesAsBeforeWhereNoneIsStated)
{
	struct endpoint *slow = add("slow", 9000, 3);

	add("usual", 9500, 3);
	criteria.speed = nullptr;
	criteria.longest_pause_us = 1;
	EXPECT_EQ("slow", choose());
	set_ratio(slow, 4);
	EXPECT_EQ("slow", choose());
	criteria.speed = &speed;
	criteria.longest_pause_us = 0;
	EXPECT_EQ("usual", choose());
}

/*
 * 300 generations, without an end, on 15 engines of three speeds. Guards
 * against slow engines with as much load as fast ones.
 */
TEST_F(EndpointChoiceBySpeed, LoadsEnginesInProportionToTheirSpeed)
{
	static const double ratios[] = {0.6, 1.0, 1.6};
	double requests[3] = {};
	std::vector<struct endpoint *> engines;

	for (int i = 0; i < 15; i++) {
		engines.push_back(
			add(("e-" + std::to_string(i)).c_str(), 0, 0));
		set_ratio(engines.back(), ratios[i % 3]);
	}
	criteria.tokens = 1000;
	for (int i = 0; i < 200; i++) {
		struct endpoint *chosen = endpoint_choose(registry, &criteria);

		ASSERT_NE(nullptr, chosen);
		chosen->own.requests++;
		chosen->own.tokens += criteria.tokens;
	}
	for (int i = 0; i < 15; i++)
		requests[i % 3] += engines[(size_t)i]->own.requests;
	printf("requests by speed: %.0f %.0f %.0f\n", requests[0], requests[1],
	       requests[2]);
	EXPECT_NEAR(1 / 0.6, requests[0] / requests[1], 0.25);
	EXPECT_NEAR(1 / 1.6, requests[2] / requests[1], 0.15);
}

/*
 * An event of 4 tokens takes 4 x 4 x 7.24 ms = 116 ms at the slow engine.
 * Guards against a stream where its pauses are too long while others have room,
 * and against its refusal where none has.
 */
TEST_F(EndpointChoiceBySpeed, SendsStreamsWhereTheirPausesAreShort)
{
	struct endpoint *slow = add("slow", 0, 0);
	struct endpoint *full = add("busy", 25000, 20);

	set_ratio(slow, 4);
	EXPECT_EQ("slow", choose());
	criteria.longest_pause_us = 120000;
	EXPECT_EQ("busy", choose());
	criteria.longest_pause_us = 180000;
	EXPECT_EQ("slow", choose()) << "116 of 180 ms";
	criteria.longest_pause_us = 120000;
	full->others.tokens = 33000;
	EXPECT_EQ("slow", choose()) << "nobody else has room";
}

/* Guards against a pause bound that forgets the load of the engine. */
TEST_F(EndpointChoiceBySpeed, CountsTheRequestsInTheExpectedPause)
{
	add("slots", 1000, 23);
	add("memory", 25000, 2);
	criteria.tokens = 1000;
	/* 4 x 9.88 and 4 x 7.36 ms, each with a quarter more as a margin */
	criteria.longest_pause_us = 0;
	EXPECT_EQ("slots", choose());
	criteria.longest_pause_us = 45000;
	EXPECT_EQ("memory", choose());
}

/*
 * While an engine reads a prompt, an event of 4 tokens takes 4 x 38.5 ms = 154
 * ms at the usual speed, and 246 ms at the slow engine. Guards against streams
 * that each later prompt there makes late, though their own events come in
 * time, and against an engine that is tried again after 10 s only to be late
 * again.
 */
TEST_F(EndpointChoiceBySpeed, SendsStreamsWherePromptsAreReadInTime)
{
	struct endpoint *slow = add("slow", 0, 0);
	struct endpoint *full = add("busy", 20000, 12);

	set_ratio(slow, 1.6);
	criteria.longest_pause_us = 180000;
	EXPECT_EQ("slow", choose()) << "not known how long a prompt takes";
	speed.reading_us = 38500;
	EXPECT_EQ("busy", choose());
	criteria.now_us += 29 * G_USEC_PER_SEC;
	EXPECT_EQ("busy", choose()) << "the same hardware";
	criteria.now_us += 2 * G_USEC_PER_SEC;
	EXPECT_EQ("slow", choose()) << "observed too long ago";
	set_ratio(slow, 1.1);
	EXPECT_EQ("slow", choose()) << "169 of 180 ms";
	set_ratio(slow, 1.6);
	criteria.longest_pause_us = 0;
	EXPECT_EQ("slow", choose()) << "a short answer";
	criteria.longest_pause_us = 180000;
	full->others.tokens = 33000;
	EXPECT_EQ("slow", choose()) << "nobody else has room";
}

/*
 * Two plain endpoints, of which each choice compares both. Guards against calls
 * that wait at a slow endpoint, or in a long queue at a fast one.
 */
TEST_F(EndpointChoiceBySpeed, SendsPlainCallsWhereTheyAreAnsweredFirst)
{
	struct endpoint *slow = add("slow", 0, 0);
	struct endpoint *usual = add("usual", 0, 1);

	criteria.engine = nullptr;
	criteria.tokens = 0;
	set_ratio(slow, 2.5);
	for (criteria.draw = 0; criteria.draw < 1; criteria.draw += 0.05)
		EXPECT_EQ("usual", choose()) << criteria.draw;
	usual->others.requests = 2;
	for (criteria.draw = 0; criteria.draw < 1; criteria.draw += 0.05)
		EXPECT_EQ("slow", choose()) << criteria.draw;
	usual->full_until_us = INT64_MAX;
	slow->others.requests = 9;
	EXPECT_EQ("slow", choose()) << "the only one";
}

/* Guards against nodes that all send a plain call to the same endpoint. */
TEST_F(EndpointChoiceBySpeed, ComparesTwoPlainEndpointsOfAll)
{
	std::map<std::string, int> chosen;

	for (int i = 0; i < 7; i++)
		add(("p-" + std::to_string(i)).c_str(), 0, i == 0 ? 0 : 3);
	criteria.engine = nullptr;
	criteria.tokens = 0;
	for (int i = 0; i < 700; i++) {
		criteria.draw = (i + 0.5) / 700;
		chosen[choose()]++;
	}
	EXPECT_EQ(7u, chosen.size());
	EXPECT_NEAR(200, chosen["p-0"], 5) << "two of seven";
}
