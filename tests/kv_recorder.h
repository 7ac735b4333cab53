#ifndef TESTS_KV_RECORDER_H
#define TESTS_KV_RECORDER_H

#include "ports/event.h"
#include "ports/kv.h"
#include "ports/sink.h"

#include <cstdint>
#include <string>
#include <vector>

/* Copies of the answers and changes that a key-value client delivers. */
struct kv_recorded_answer {
	uint64_t id;
	enum kv_outcome outcome;
	int64_t revision;
	int64_t lease;
	int64_t ttl_s;
	std::string value; /* of the first entry */
	int64_t mod_revision;
	size_t count; /* of entries */
};

struct kv_recorded_change {
	int64_t revision;
	std::string value;
};

struct kv_recorder {
	std::vector<kv_recorded_answer> answers;
	std::vector<kv_recorded_change> changes;
	bool in_apply = false; /* set during apply, which must not deliver */

	struct event_sink sink();
};

#endif
