#ifndef TESTS_DIFFERENTIAL_SCRIPT_H
#define TESTS_DIFFERENTIAL_SCRIPT_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * Result of one random script of calls and faults, run against nodes in virtual
 * time. Every fourth seed has no faults, and each of its calls must then end as
 * it does with NaiveService.
 */
struct DifferentialResult {
	std::vector<std::string> violations;
	int calls = 0;
	int whole = 0;
	int refused = 0;
	int broken = 0;
	int resumed = 0;
	int runs = 0;
	int repeats_refused_not_run = 0;
	uint64_t digest = 0; /* of all events that callers received */
};

DifferentialResult differential_run(uint64_t seed, bool verbose);

#endif
