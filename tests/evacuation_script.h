#ifndef TESTS_EVACUATION_SCRIPT_H
#define TESTS_EVACUATION_SCRIPT_H

#include <cstdint>
#include <string>
#include <vector>

/*
 * Simulates one generation and its engines in virtual time, driven by the
 * decisions of the evacuation module. Times are in ms after the usual notice of
 * the generation's engine.
 */
struct evacuation_scene {
	int64_t end = 1600;	/* the engine is gone */
	bool has_notice = true; /* else the engine ends without one */
	int64_t notice_at = 0;
	int64_t silent = -1;   /* the engine sends no events from then on */
	int64_t resumes = -1;  /* it sends events again; -1: never */
	int64_t begun = -2000; /* first event of the run */
	bool has_backup = false;
	int64_t backup_takes = 550; /* from the first event until it exists */
	bool backup_is_missing = false; /* dropped without an announcement */
	int64_t prompts_until = -1; /* other engines read prompts until then */
	int64_t backup_rests = -1;  /* its engine refuses until then */
	int64_t copy = 300;	    /* duration; -1: always refused */
	int32_t refusals = 0;	    /* copies refused before one is accepted */
	int64_t target_gone = -1;   /* the first copy's engine leaves as well */
	int64_t run_ends = -1;	    /* the run ends complete */
	int64_t answer = 40;	    /* from the request to the first event */
	bool connects = true;	    /* the engine that is asked to continue */
	int64_t stop = 8;	    /* from the call to the end of the stream */
	bool stops = true;	    /* else the engine refuses, and works on */
	bool keeps = true;	    /* what it has stopped may return to it */
	bool is_reached = true;	    /* while silent, it accepts connections */
	bool has_budget = true;
	bool ends_in_time = false;
};

struct evacuation_result {
	std::vector<std::string> log;
	bool is_whole = false;
	int64_t longest_pause = 0;
	int64_t longest_overlap = 0; /* of two engines in reach on the run */
	bool had_copy = false;	     /* a complete copy existed when needed */
};

bool evacuation_scene_read(const std::string &text,
			   struct evacuation_scene *scene);
struct evacuation_result evacuation_run(const struct evacuation_scene &scene);

#endif
