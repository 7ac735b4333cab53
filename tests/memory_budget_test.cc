#include "core/gateway/memory_budget.h"
#include "tests/text_script.h"

#include <gtest/gtest.h>

#include <map>
#include <sstream>

namespace
{

const char *const script_folder = "tests/memory_budget";

/*
 * Runs the commands of a script on a budget of 8,000 KiB:
 *
 *     take NAME ORGANISATION KIB   a request with this name asks for memory
 *     size NAME KIB                it needs so much in all
 *     end NAME                     it gives its memory back
 *     max KIB                      the budget changes
 *     pass SECONDS                 time passes
 *     wait KIB                     the estimated time until so much is free
 *     held                         what all requests hold
 */
class Script
{
      public:
	Script() : budget(memory_budget_create(8000 * KIB))
	{
	}
	~Script()
	{
		for (auto &grant : grants)
			memory_grant_destroy(grant.second, now_us);
		memory_budget_destroy(budget);
	}

	std::string Run(const std::string &command)
	{
		std::istringstream in(command);
		std::string verb, name, organisation;
		int64_t number = 0;

		in >> verb;
		if (verb == "take") {
			in >> name >> organisation >> number;
			return Take(name, organisation, number);
		}
		if (verb == "size") {
			in >> name >> number;
			return memory_grant_resize(grants.at(name),
						   number * KIB)
				       ? "granted"
				       : "no room";
		}
		if (verb == "end") {
			in >> name;
			memory_grant_destroy(grants.at(name), now_us);
			grants.erase(name);
			return Held();
		}
		in >> number;
		if (verb == "wait")
			return Wait(number * KIB);
		if (verb == "max")
			memory_budget_set_max(budget, number * KIB);
		else if (verb == "pass")
			now_us += number * G_USEC_PER_SEC;
		else if (verb != "held")
			return "unknown command";
		return Held();
	}

      private:
	static constexpr size_t KIB = 1024;

	struct memory_budget *budget;
	std::map<std::string, struct memory_grant *> grants;
	int64_t now_us = G_USEC_PER_SEC;

	std::string Take(const std::string &name,
			 const std::string &organisation, int64_t kib)
	{
		struct memory_grant *grant = memory_grant_create(
			budget, organisation.c_str(), kib * KIB, now_us);

		if (grant)
			grants[name] = grant;
		else if (!memory_budget_may_fit(budget, kib * KIB))
			return "never";
		return grant ? "granted" : "no room";
	}

	std::string Wait(size_t bytes)
	{
		int64_t wait_us = memory_budget_wait_us(budget, bytes);

		return wait_us < 0 ? "unknown"
				   : std::to_string(wait_us / 1000) + " ms";
	}

	std::string Held()
	{
		return std::to_string(memory_budget_held(budget) / KIB) +
		       " held";
	}
};

class MemoryBudgetScript : public testing::TestWithParam<std::string>
{
};

/* Guards against requests that hold more memory together than a process has. */
TEST_P(MemoryBudgetScript, MatchesItsFile)
{
	auto script = std::make_unique<Script>();

	text_script_check(std::string(script_folder) + "/" + GetParam() +
				  ".txt",
			  [&](const std::string &command) -> std::string {
				  if (command != "begin")
					  return script->Run(command);
				  script = std::make_unique<Script>();
				  return "0 held";
			  });
}

INSTANTIATE_TEST_SUITE_P(Scripts, MemoryBudgetScript,
			 testing::ValuesIn(text_script_names(script_folder)),
			 [](const testing::TestParamInfo<std::string> &info) {
				 return info.param;
			 });

} // namespace
