#include "core/gateway/recovery.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

static const char *const kinds[] = {"idempotent", "once", "stream"};

static std::string decide(const struct recovery_input &input)
{
	return recovery_name(recovery_decide(&input));
}

/*
 * The decisions form one table, kept as text: each line is a situation and its
 * decision. A request that may run once must never run twice, so no line of
 * that kind sends a request again that may have run. WRITE_SCRIPTS=1 rewrites
 * the table: check every changed line.
 */
TEST(Recovery, MatchesTheExpectedTable)
{
	std::stringstream table;

	for (int kind = ROUTE_IDEMPOTENT; kind <= ROUTE_STREAM; kind++)
		for (int result = 0; result <= RESULT_NO_COPY; result++)
			for (int bits = 0; bits < 8; bits++) {
				struct recovery_input input = {};

				input.kind = (enum route_kind)kind;
				input.result = (enum attempt_result)result;
				input.answer_begun = bits & 1;
				input.copy_is_ready = bits & 2;
				input.budget_left = bits & 4;
				input.runs =
					result == RESULT_NOT_SENT ||
							result == RESULT_NOT_RUN
						? 0
						: 1;
				input.sends = 1;
				input.max_attempts =
					kind == ROUTE_IDEMPOTENT ? 2 : 1;
				table << kinds[kind] << ' '
				      << attempt_result_name(input.result)
				      << (bits & 1 ? " begun" : "")
				      << (bits & 2 ? " copy" : "")
				      << (bits & 4 ? " budget" : "") << " -> "
				      << decide(input) << '\n';
			}
	if (g_getenv("WRITE_SCRIPTS"))
		std::ofstream("tests/expected/recovery.txt") << table.str();
	std::ifstream file("tests/expected/recovery.txt");
	std::stringstream expected;
	expected << file.rdbuf();
	EXPECT_EQ(expected.str(), table.str());
}

TEST(Recovery, NeverRunsTwiceWhatMayRunOnce)
{
	struct recovery_input input = {};

	input.budget_left = true;
	input.sends = 1;
	input.max_attempts = 5;
	for (int kind : {ROUTE_ONCE, ROUTE_STREAM})
		for (int result = 0; result <= RESULT_NO_COPY; result++) {
			input.kind = (enum route_kind)kind;
			input.result = (enum attempt_result)result;
			input.runs = 1;
			EXPECT_NE("send_again", decide(input))
				<< kinds[kind] << ' '
				<< attempt_result_name(input.result);
			EXPECT_NE("refuse", decide(input))
				<< kinds[kind] << ' '
				<< attempt_result_name(input.result);
		}
}

TEST(Recovery, BoundsSendsAndRuns)
{
	struct recovery_input input = {};

	input.kind = ROUTE_IDEMPOTENT;
	input.result = RESULT_BROKEN;
	input.budget_left = true;
	input.max_attempts = 2;
	input.sends = input.runs = 1;
	EXPECT_EQ("send_again", decide(input));
	input.sends = input.runs = 2;
	EXPECT_EQ("fail", decide(input));
	input.result = RESULT_NOT_RUN;
	input.runs = 0;
	input.sends = 2;
	EXPECT_EQ("send_again", decide(input));
	input.sends = 3;
	EXPECT_EQ("refuse", decide(input));
}

/* Guards against joining the events of two runs where they may differ. */
TEST(Recovery, ResumesOnlyResumableStreams)
{
	struct recovery_input input = {};

	input.kind = ROUTE_STREAM;
	input.result = RESULT_BROKEN;
	input.answer_begun = input.budget_left = true;
	input.sends = input.runs = 1;
	input.max_attempts = 2;
	EXPECT_EQ("break", decide(input));
	input.is_resumable = true;
	EXPECT_EQ("break", decide(input)) << "after an event without an id";
	input.has_event_id = true;
	EXPECT_EQ("resume", decide(input));
	input.copy_is_ready = true;
	EXPECT_EQ("take_over", decide(input));
	input.copy_is_ready = false;
	input.runs = 2;
	EXPECT_EQ("break", decide(input));
	input.runs = 1;
	input.budget_left = false;
	EXPECT_EQ("break", decide(input));
	input.budget_left = true;
	input.answer_begun = false;
	EXPECT_EQ("send_again", decide(input));
}
