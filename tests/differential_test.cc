#include "tests/differential_script.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace
{

uint64_t number_from_environment(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text && *text ? strtoull(text, nullptr, 10) : fallback;
}

} // namespace

/*
 * Callers send generations and plain calls, some twice, some again after a
 * failure, while nodes, endpoints, links and the key-value service fail at
 * random. Whatever a caller sees must agree with what ran, and without faults
 * with the naive service. SEED=N repeats one script and prints it.
 */
TEST(Differential, CallersSeeWhatRanUnderRandomFaults)
{
	uint64_t only = number_from_environment("SEED", 0);
	uint64_t first = only ? only : 1;
	uint64_t count = only ? 1 : number_from_environment("SEEDS", 200);
	DifferentialResult sum;

	for (uint64_t seed = first; seed < first + count; seed++) {
		DifferentialResult result = differential_run(seed, only != 0);

		for (const auto &violation : result.violations)
			ADD_FAILURE() << "seed " << seed << ": " << violation;
		if (!result.violations.empty())
			printf("to repeat: SEED=%lu build/bin/tests "
			       "--gtest_filter='Differential.Callers*'\n",
			       seed);
		sum.calls += result.calls;
		sum.whole += result.whole;
		sum.refused += result.refused;
		sum.broken += result.broken;
		sum.resumed += result.resumed;
		sum.runs += result.runs;
		sum.repeats_called_not_run += result.repeats_called_not_run;
	}
	printf("%lu seeds: %d calls, %d whole, %d refused, %d broken, "
	       "%d resumed, %d runs, %d repeats refused as not run\n",
	       count, sum.calls, sum.whole, sum.refused, sum.broken,
	       sum.resumed, sum.runs, sum.repeats_called_not_run);
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
