#include "core/limit/quarantine.h"

#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <sstream>
#include <string>

/*
 * Scenes of requests that share parts of their prompts, in virtual time. A line
 * of a scene is a time in s and one of
 *
 *     lose PARTS ENDPOINT       a young run is broken off there
 *     end ENDPOINT              that start of the endpoint has ended
 *     well PARTS BEGUN          a run begun then goes on, or was whole
 *     ask PARTS -> VERDICT      what a new request may do
 *     try PARTS                 the next run tries after the hold
 *     lift PART                 an operator lifts it
 *
 * A part is a letter, and "-" are no parts; each request has a fingerprint of
 * its own.
 */
class QuarantineParts : public testing::Test
{
      protected:
	struct quarantine_options options;
	struct quarantine *quarantine = nullptr;
	std::map<std::string, struct endpoint_start> lost;
	uint64_t requests = 1000;

	void SetUp() override
	{
		quarantine_options_default(&options);
		Create();
	}

	void TearDown() override
	{
		quarantine_destroy(quarantine);
	}

	void Create()
	{
		quarantine_destroy(quarantine);
		quarantine = quarantine_create(&options);
	}

	static uint64_t Key(char part)
	{
		char id[8];

		snprintf(id, sizeof(id), "%x", (unsigned)part);
		return suspect_key_of_part(id, strlen(id));
	}

	struct suspect_list Request(const std::string &parts)
	{
		struct prompt_parts list = {};
		struct suspect_list request;

		for (char part : parts)
			if (part != '-')
				prompt_parts_add(&list, Key(part));
		suspect_list_init(&request, requests++, &list);
		return request;
	}

	void Lose(const std::string &parts, const std::string &endpoint,
		  int64_t now_us, uint64_t owner = 1)
	{
		struct suspect_list request = Request(parts);
		uint64_t key = (uint64_t)g_str_hash(endpoint.c_str()) << 32;

		lost[endpoint] = quarantine_current_start(quarantine, key);
		for (int32_t i = 0; i < request.count; i++) {
			struct quarantine_run run = {request.keys[i], owner,
						     lost[endpoint]};

			quarantine_report_loss(quarantine, &run, now_us);
		}
	}

	/* What a request may do, and which part decides it. */
	std::string Ask(const std::string &parts, int64_t now_us)
	{
		static const char *const names[] = {"sent", "trial", "held"};
		struct suspect_list request = Request(parts);
		uint64_t key;
		enum quarantine_verdict verdict =
			quarantine_judge(quarantine, &request, now_us, &key);
		std::string text = names[verdict];

		for (char part : parts)
			if (key == Key(part))
				text += std::string(" by ") + part;
		return text;
	}

	void Try(const std::string &parts, int64_t now_us)
	{
		struct suspect_list request = Request(parts);
		uint64_t key;

		quarantine_judge(quarantine, &request, now_us, &key);
		quarantine_begin_trial(quarantine, key, now_us);
	}

	static int64_t Us(double s)
	{
		return (int64_t)(s * G_USEC_PER_SEC);
	}

	std::string PlayLine(const std::string &line)
	{
		std::istringstream words(line);
		std::string verb, what, where;
		double at_s = 0;

		words >> at_s >> verb >> what >> where;
		if (verb == "lose")
			Lose(what, where, Us(at_s));
		else if (verb == "end")
			quarantine_report_end(quarantine, &lost[what],
					      Us(at_s));
		else if (verb == "well")
			for (char part : what)
				quarantine_report_success(quarantine, Key(part),
							  Us(std::stod(where)),
							  Us(at_s));
		else if (verb == "try")
			Try(what, Us(at_s));
		else if (verb == "lift")
			quarantine_lift(quarantine, Key(what[0]), Us(at_s));
		else if (verb == "ask")
			return line.substr(0, line.find(" ->")) + " -> " +
			       Ask(what, Us(at_s));
		else
			ADD_FAILURE() << "no such line: " << line;
		return line;
	}

	/* Plays a scene: each ask must be answered as the scene says. */
	void Play(const std::string &scene)
	{
		std::istringstream lines(scene);
		std::string line, played;

		while (std::getline(lines, line))
			played += PlayLine(line) + "\n";
		EXPECT_EQ(scene, played);
	}
};

/* Guards against requests, no two alike, that end one endpoint after the other
 * by the one part that they share. */
TEST_F(QuarantineParts, ThreeEndsHoldAPart)
{
	Play("1.0 lose PA e1\n"
	     "1.1 end e1\n"
	     "2.0 lose QA e2\n"
	     "2.1 end e2\n"
	     "2.2 ask PA -> sent\n"
	     "3.0 lose RA e3\n"
	     "3.1 end e3\n"
	     "3.2 ask PA -> held by A\n"
	     "3.2 ask A -> held by A\n"
	     "3.2 ask PB -> sent\n"
	     "3.2 ask P -> sent\n");
}

/* Guards against holding a part because of connections that broke, or without
 * the endpoint's end. */
TEST_F(QuarantineParts, OnlyEndsCount)
{
	Play("1.0 lose A e1\n"
	     "2.0 lose A e2\n"
	     "3.0 lose A e3\n"
	     "4.0 lose A e4\n"
	     "4.1 ask A -> sent\n");
}

/* Guards against holding a part that was at five endpoints which ended at one
 * moment, with their failure domain. */
TEST_F(QuarantineParts, EndsOfOneMomentAreOne)
{
	Play("1.00 lose A e1\n"
	     "1.01 lose A e2\n"
	     "1.02 lose A e3\n"
	     "1.20 lose A e4\n"
	     "1.30 lose A e5\n"
	     "1.40 end e1\n"
	     "1.40 end e2\n"
	     "1.40 end e3\n"
	     "1.40 end e4\n"
	     "1.40 end e5\n"
	     "1.50 ask A -> sent\n"
	     "3.00 lose A e6\n"
	     "3.10 end e6\n"
	     "3.20 ask A -> sent\n"
	     "4.00 lose A e7\n"
	     "4.10 end e7\n"
	     "4.20 ask A -> held by A\n");
}

/* Guards against endpoints that end together under one part, start again
 * together and end a third time. */
TEST_F(QuarantineParts, SeveralThatEndTwiceHoldIt)
{
	Play("1.00 lose A e1\n"
	     "1.10 lose A e2\n"
	     "1.40 end e1\n"
	     "1.40 end e2\n"
	     "1.70 ask A -> sent\n"
	     "3.00 lose A e3\n"
	     "3.10 end e3\n"
	     "3.30 ask A -> sent\n"
	     "3.40 lose A e4\n"
	     "3.45 end e4\n"
	     "3.70 ask A -> held by A\n");
}

/* Guards against a part that is not held because endpoints of a service whose
 * requests have no parts end at the same time. */
TEST_F(QuarantineParts, EndsWithoutPartsAreNoOthers)
{
	Play("0.5 lose - p1\n"
	     "0.6 end p1\n"
	     "1.0 lose A e1\n"
	     "1.1 end e1\n"
	     "1.6 lose - p2\n"
	     "1.7 end p2\n"
	     "2.2 lose - p3\n"
	     "2.3 end p3\n"
	     "3.0 lose A e2\n"
	     "3.1 end e2\n"
	     "3.6 lose - p4\n"
	     "3.7 end p4\n"
	     "4.4 lose - p5\n"
	     "4.5 end p5\n"
	     "5.0 lose A e3\n"
	     "5.1 end e3\n"
	     "5.3 ask A -> held by A\n");
}

/* Guards against holding the part that nearly all requests begin with. */
TEST_F(QuarantineParts, WhatGoesOnElsewhereIsCleared)
{
	Play("1.0 lose PA e1\n"
	     "1.1 end e1\n"
	     "2.0 well PB 1.5\n"
	     "2.5 lose PA e2\n"
	     "2.6 end e2\n"
	     "3.0 well PB 2.8\n"
	     "4.0 lose PA e3\n"
	     "4.1 end e3\n"
	     "4.2 ask PC -> sent\n"
	     "4.2 ask PA -> held by A\n"
	     "4.2 ask QA -> held by A\n");
}

/* Guards against a part that is never held, as runs which began before it
 * ended anything complete one after the other. */
TEST_F(QuarantineParts, RunsFromBeforeClearNothing)
{
	Play("10.0 lose A e1\n"
	     "10.1 end e1\n"
	     "10.5 well A 2.0\n"
	     "11.0 lose A e2\n"
	     "11.1 end e2\n"
	     "11.5 well A 3.0\n"
	     "12.0 lose A e3\n"
	     "12.1 end e3\n"
	     "12.2 well A 4.0\n"
	     "12.3 ask A -> held by A\n");
}

/* Guards against refusing a sound part for ever, because it was only ever seen
 * beside the one that ends endpoints, and nobody can clear what is held. */
TEST_F(QuarantineParts, PartsThatComeTogetherAreToldApart)
{
	Play("1.0 lose PA e1\n"
	     "1.1 end e1\n"
	     "2.0 lose PA e2\n"
	     "2.1 end e2\n"
	     "3.0 lose PA e3\n"
	     "3.1 end e3\n"
	     "3.2 ask PA -> held by P\n"
	     "3.2 ask PB -> sent\n"
	     "4.5 well PB 3.2\n"
	     "4.6 ask PA -> held by A\n"
	     "4.6 ask QA -> held by A\n"
	     "4.6 ask PC -> sent\n");
}

/* Guards against a part that ends endpoints and hides behind one that always
 * came with it at first. */
TEST_F(QuarantineParts, APartSeenAloneIsHeldAlone)
{
	Play("1.0 lose PA e1\n"
	     "1.1 end e1\n"
	     "2.0 lose PA e2\n"
	     "2.1 end e2\n"
	     "3.0 lose PA e3\n"
	     "3.1 end e3\n"
	     "3.2 ask QA -> sent\n"
	     "4.0 lose QA e4\n"
	     "4.1 end e4\n"
	     "5.0 lose RA e5\n"
	     "5.1 end e5\n"
	     "5.2 ask SA -> held by A\n"
	     "5.2 ask PB -> sent\n");
}

/* Guards against refusing a part before the other nodes have told what they
 * lost by the same end. */
TEST_F(QuarantineParts, TheLastEndIsWeighedOnceAllHaveTold)
{
	Play("0.90 lose QA e0\n"
	     "0.91 end e0\n"
	     "1.00 lose PA e1\n"
	     "1.01 end e1\n"
	     "2.00 lose PA e2\n"
	     "2.01 end e2\n"
	     "3.00 lose PB e3\n"
	     "3.01 end e3\n"
	     "3.02 ask PC -> sent\n"
	     "3.05 lose QA e3\n"
	     "3.06 end e3\n"
	     "3.30 ask PC -> sent\n"
	     "3.30 ask QA -> held by A\n");
}

/* Guards against holding a part that lost runs twice by chance beside the one
 * that ends endpoints. */
TEST_F(QuarantineParts, ALossBesideAnotherPartHoldsNothing)
{
	Play("1.0 lose PA e1\n"
	     "1.0 lose PB e1\n"
	     "1.1 end e1\n"
	     "2.0 lose PA e2\n"
	     "2.0 lose QB e2\n"
	     "2.1 end e2\n"
	     "3.0 lose QA e3\n"
	     "3.1 end e3\n"
	     "3.2 ask RB -> sent\n"
	     "3.2 ask RA -> held by A\n");
}

/* Guards against holding a part that lost runs where endpoints end with causes
 * of their own. */
TEST_F(QuarantineParts, AmongOtherEndsOneMoreIsNeeded)
{
	Play("1.0 lose A e1\n"
	     "1.1 end e1\n"
	     "2.0 lose B e2\n"
	     "2.1 end e2\n"
	     "3.0 lose A e3\n"
	     "3.1 end e3\n"
	     "3.7 lose C e4\n"
	     "3.8 end e4\n"
	     "4.3 lose D e5\n"
	     "4.4 end e5\n"
	     "5.0 lose A e6\n"
	     "5.1 end e6\n"
	     "5.2 ask A -> held by A\n"
	     "5.7 lose E e7\n"
	     "5.8 end e7\n"
	     "5.9 ask A -> sent\n"
	     "7.0 lose A e8\n"
	     "7.1 end e8\n"
	     "7.2 ask A -> held by A\n");
}

/* Guards against trials without end after a hold, and against a part that a
 * new version made sound and that stays held. */
TEST_F(QuarantineParts, TrialsAreRarerEachTime)
{
	Play("1.0 lose A e1\n"
	     "1.1 end e1\n"
	     "2.0 lose A e2\n"
	     "2.1 end e2\n"
	     "3.0 lose A e3\n"
	     "3.1 end e3\n"
	     "1802 ask A -> held by A\n"
	     "1804 ask A -> trial by A\n"
	     "1804 try A\n"
	     "1805 ask A -> held by A\n"
	     "1806 lose A e4\n"
	     "1807 end e4\n"
	     "3600 ask A -> held by A\n"
	     "3612 ask A -> trial by A\n"
	     "3612 try A\n"
	     "3613 lose A e5\n"
	     "3614 end e5\n"
	     "7220 ask A -> held by A\n"
	     "7230 ask A -> trial by A\n"
	     "7230 try A\n"
	     "7231 lose A e6\n"
	     "7232 end e6\n"
	     "14450 ask A -> held by A\n"
	     "14470 ask A -> trial by A\n"
	     "14470 try A\n"
	     "14475 well A 14471\n"
	     "14476 ask A -> sent\n");
}

TEST_F(QuarantineParts, AnOperatorLiftsIt)
{
	Play("1.0 lose A e1\n"
	     "1.1 end e1\n"
	     "2.0 lose A e2\n"
	     "2.1 end e2\n"
	     "3.0 lose A e3\n"
	     "3.1 end e3\n"
	     "3.2 ask A -> held by A\n"
	     "4.0 lift A\n"
	     "4.1 ask A -> sent\n");
}

/* Guards against a part that is never held because its ends come so fast that
 * those of one moment push out the ones before. */
TEST_F(QuarantineParts, ManyEndsOfAMomentKeepTheOthers)
{
	int endpoint = 0;

	for (int moment = 0; moment < 3; moment++)
		for (int i = 0; i < 50; i++) {
			std::string name = "e" + std::to_string(endpoint++);
			int64_t at_us = Us(1 + moment + 0.005 * i);

			Lose("A", name, at_us);
			quarantine_report_end(quarantine, &lost[name],
					      at_us + 1);
		}
	EXPECT_EQ("held by A", Ask("A", Us(4)));
}

/* Guards against an organisation that invents parts and so pushes out what is
 * held or suspected because of others. */
TEST_F(QuarantineParts, AFloodEvictsItsOwnOnly)
{
	options.max_entries = 64;
	Create();
	Play("1.0 lose A e1\n"
	     "1.1 end e1\n"
	     "2.0 lose A e2\n"
	     "2.1 end e2\n");
	for (int i = 0; i < 5000; i++) {
		struct quarantine_run run = {
			suspect_key_of_part(std::to_string(100000 + i).c_str(),
					    6),
			2,
			{}};

		for (uint64_t endpoint = 50; endpoint < 53; endpoint++) {
			run.start.endpoint_key = endpoint << 32;
			quarantine_report_loss(quarantine, &run, Us(2.5));
			quarantine_report_end(quarantine, &run.start, Us(2.5));
		}
	}
	EXPECT_LE(quarantine_count(quarantine), 128u);
	Play("3.0 lose A e3\n"
	     "3.1 end e3\n"
	     "3.2 ask A -> held by A\n");
}
