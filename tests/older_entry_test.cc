#include "core/gateway/registry.h"
#include "tests/text_script.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <sstream>

namespace
{

const char *const script_folder = "tests/older_entry";

/*
 * Runs the commands of a script on the entry of one endpoint, each written to
 * the store after the one before:
 *
 *     ready COUNT [BORN]      a report of this start
 *     draining COUNT [BORN]   its word that it leaves
 *     removed                 the entry is removed
 *     expired                 the same, in doubt
 *     vouched COUNT [BORN]    another node passes on that it is ready
 *     old_notice BACK         another node passes on a removal, so many writes
 *                             before the newest one
 *     serves, leaves, another, unclear, not_asked
 *                             what it answers when it is asked for its status
 *     wait SECONDS            time passes, and the registry makes a step
 */
class Script
{
      public:
	Script() : registry(registry_create())
	{
	}
	~Script()
	{
		registry_destroy(registry);
	}

	/* Returns the state of the endpoint after the command. */
	std::string Run(const std::string &command)
	{
		std::istringstream in(command);
		std::string name;
		int64_t count = 0, born = 0;

		in >> name >> count >> born;
		now_us += G_USEC_PER_SEC;
		if (name == "ready" || name == "draining" || name == "vouched")
			Write(name, count, born);
		else if (name == "removed" || name == "expired")
			Remove(name == "expired");
		else if (name == "old_notice")
			Notice(count);
		else if (name == "wait")
			Wait(count);
		else if (FindStatus(name))
			registry_note_status(registry, "e1", *FindStatus(name),
					     now_us);
		else
			return "unknown command";
		return State();
	}

      private:
	struct registry *registry;
	int64_t now_us = 0;
	int64_t position = 0;

	struct registration Entry()
	{
		struct registration entry = {};

		entry.id = const_cast<char *>("e1");
		entry.position = ++position;
		return entry;
	}

	void Write(const std::string &how, int64_t count, int64_t born)
	{
		struct registration entry = Entry();

		entry.service = const_cast<char *>("engines");
		entry.address = const_cast<char *>("10.0.0.1:9000");
		entry.failure_domain = const_cast<char *>("a");
		entry.started_ms = born;
		entry.report_count = count;
		entry.is_leaving = how == "draining";
		if (how == "vouched")
			registry_apply_vouched(registry, &entry, now_us);
		else
			registry_apply(registry, &entry, false, now_us);
	}

	void Remove(bool is_doubtful)
	{
		struct registration entry = Entry();

		entry.is_removed = true;
		registry_apply(registry, &entry, is_doubtful, now_us);
	}

	void Notice(int64_t back)
	{
		struct registration entry = Entry();

		entry.position = --position - back;
		entry.is_removed = true;
		registry_apply(registry, &entry, false, now_us);
	}

	void Wait(int64_t seconds)
	{
		GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);

		now_us += seconds * G_USEC_PER_SEC;
		registry_step(registry, INT64_MIN, now_us, changed);
		g_ptr_array_unref(changed);
	}

	static std::optional<enum endpoint_status>
	FindStatus(const std::string &name)
	{
		static const std::map<std::string, enum endpoint_status> all = {
			{"serves", ENDPOINT_SERVES},
			{"leaves", ENDPOINT_LEAVES},
			{"another", ENDPOINT_IS_ANOTHER},
			{"unclear", ENDPOINT_UNCLEAR},
			{"not_asked", ENDPOINT_NOT_ASKED},
		};
		auto found = all.find(name);

		if (found == all.end())
			return {};
		return found->second;
	}

	std::string State()
	{
		const struct endpoint *endpoint = registry_find(registry, "e1");
		std::string state;

		if (!endpoint)
			return "none";
		state = endpoint_presence_name(endpoint->presence);
		return endpoint_wants_status(endpoint, INT64_MAX)
			       ? state + ", asked"
			       : state;
	}
};

class OlderEntryScript : public testing::TestWithParam<std::string>
{
};

/* Guards against an older report that is believed because it was written later:
 * requests to an engine that has left, or none to one that started again. */
TEST_P(OlderEntryScript, MatchesItsFile)
{
	auto script = std::make_unique<Script>();

	text_script_check(std::string(script_folder) + "/" + GetParam() +
				  ".txt",
			  [&](const std::string &command) -> std::string {
				  if (command != "begin")
					  return script->Run(command);
				  script = std::make_unique<Script>();
				  return "none";
			  });
}

INSTANTIATE_TEST_SUITE_P(Scripts, OlderEntryScript,
			 testing::ValuesIn(text_script_names(script_folder)),
			 [](const testing::TestParamInfo<std::string> &info) {
				 return info.param;
			 });

} // namespace
