#ifndef TESTS_DIFFERENTIAL_SCRIPT_H
#define TESTS_DIFFERENTIAL_SCRIPT_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * One random script of calls and faults against nodes in virtual time. Every
 * fourth seed has no faults: each call is then to end as NaiveService says.
 */
struct DifferentialResult {
	std::vector<std::string> violations;
	int calls = 0;
	int whole = 0;
	int refused = 0;
	int broken = 0;
	int resumed = 0;
	int runs = 0;
	int repeats_called_not_run = 0;
	uint64_t digest = 0; /* of all that callers saw */
};

DifferentialResult differential_run(uint64_t seed, bool verbose);

#endif
