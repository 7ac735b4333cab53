#ifndef TESTS_NAIVE_SERVICE_H
#define TESTS_NAIVE_SERVICE_H

#include <cstdint>
#include <map>
#include <string>

/*
 * Reference model without nodes, links and failures: one process that runs
 * each request at once and stores the outcome of every id.
 */
class NaiveService
{
      public:
	struct Outcome {
		bool key_reused;
		std::string answer; /* plain: the request body */
		int64_t tokens;	    /* generation */
	};

	Outcome Call(const std::string &key, const std::string &body,
		     int64_t tokens)
	{
		Outcome outcome{false, body, tokens};

		if (key.empty())
			return outcome;
		auto [first, is_new] = first_.try_emplace(key, outcome);
		if (!is_new && first->second.answer != body)
			return {true, "", 0};
		return first->second;
	}

      private:
	std::map<std::string, Outcome> first_;
};

#endif
