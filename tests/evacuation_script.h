#ifndef TESTS_EVACUATION_SCRIPT_H
#define TESTS_EVACUATION_SCRIPT_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * One generation and its engines in virtual time, moved by the decisions of
 * the evacuation module. Times are ms after the notice of its engine.
 */
struct evacuation_scene {
	int64_t end = 1600;	/* its engine is gone */
	bool has_notice = true; /* else it goes without one */
	int64_t silent = -1;	/* it makes no events from here on */
	int64_t begun = -2000;	/* its first event */
	bool has_backup = false;
	int64_t backup_takes = 550; /* from the first event until it stands */
	bool backup_is_missing = false; /* the copy was given up unsaid */
	int64_t prompts_until = -1;	/* the other engines read prompts */
	int64_t copy = 300;		/* takes so long; -1: refused always */
	int32_t refusals = 0;		/* copies refused before one is taken */
	int64_t target_gone = -1; /* the first copy's engine leaves, too */
	int64_t run_ends = -1;	  /* by itself, whole */
	int64_t answer = 40;	  /* from being asked to its first event */
	bool connects = true;
	bool has_budget = true;
	bool ends_in_time = false;
};

struct evacuation_result {
	std::vector<std::string> log;
	bool is_whole = false;
	int64_t longest_pause = 0;
	int64_t longest_overlap = 0; /* of two engines on the run */
	bool had_copy = false;	     /* a whole copy stood when it was needed */
};

bool evacuation_scene_read(const std::string &text,
			   struct evacuation_scene *scene);
struct evacuation_result evacuation_run(const struct evacuation_scene &scene);

#endif
