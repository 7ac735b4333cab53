#include "tests/differential_script.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace
{

uint64_t environment_number(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text && *text ? strtoull(text, nullptr, 10) : fallback;
}

} // namespace

/*
 * Callers send generations and plain calls, some twice and some again after a
 * failure, while nodes, endpoints, links and the key-value service fail at
 * random. The answers must agree with what ran on the endpoints and, in scripts
 * without faults, with NaiveService. SEED=N runs and prints one script.
 */
TEST(Differential, CallersSeeWhatRanUnderRandomFaults)
{
	uint64_t single_seed = environment_number("SEED", 0);
	uint64_t first = single_seed ? single_seed : 1;
	uint64_t count = single_seed ? 1 : environment_number("SEEDS", 200);
	DifferentialResult total;

	for (uint64_t seed = first; seed < first + count; seed++) {
		DifferentialResult result =
			differential_run(seed, single_seed != 0);

		for (const auto &violation : result.violations)
			ADD_FAILURE() << "seed " << seed << ": " << violation;
		if (!result.violations.empty())
			printf("to repeat: SEED=%lu build/bin/tests "
			       "--gtest_filter='Differential.Callers*'\n",
			       seed);
		total.calls += result.calls;
		total.whole += result.whole;
		total.refused += result.refused;
		total.broken += result.broken;
		total.resumed += result.resumed;
		total.runs += result.runs;
		total.repeats_refused_not_run += result.repeats_refused_not_run;
	}
	printf("%lu seeds: %d calls, %d whole, %d refused, %d broken, "
	       "%d resumed, %d runs, %d repeats refused as not run\n",
	       count, total.calls, total.whole, total.refused, total.broken,
	       total.resumed, total.runs, total.repeats_refused_not_run);
}

TEST(Differential, SameSeedSameRun)
{
	for (uint64_t seed : {4, 7}) {
		DifferentialResult first = differential_run(seed, false);
		DifferentialResult second = differential_run(seed, false);

		EXPECT_EQ(first.digest, second.digest);
		EXPECT_EQ(first.runs, second.runs);
		EXPECT_GT(first.whole, 0);
	}
}
