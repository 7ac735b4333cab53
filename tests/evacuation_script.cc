#include "tests/evacuation_script.h"

#include "core/gateway/evacuation.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace
{

constexpr int64_t kStepMs = 10;
constexpr int64_t kEventMs = 30;
constexpr int64_t kStartMs = -300;
constexpr int64_t kEndMs = 4000;
constexpr int64_t kRefusalMs = 5; /* time until a refusal arrives */
constexpr int64_t kUsPerMs = 1000;

class Run
{
      public:
	explicit Run(const struct evacuation_scene &with) : scene(with)
	{
	}

	struct evacuation_result Play()
	{
		for (now = kStartMs; now < kEndMs && !finished; now += kStepMs)
			Step();
		result.is_whole = !is_broken && (!is_old || has_ended);
		return result;
	}

      private:
	const struct evacuation_scene &scene;
	struct evacuation_result result;
	int64_t now = kStartMs;
	bool finished = false;
	bool is_broken = false;
	bool has_ended = false; /* by itself */
	bool is_old = true;	/* the first engine still has the run */
	int32_t failures = 0;	/* failed copies */
	bool backup_failed = false;
	enum evacuation_copy copy = COPY_NONE;
	int64_t copy_from = kStartMs - 1000;
	int32_t refusals = 0;
	bool takeover_requested = false;
	bool asked_backup = false;
	bool asked_for_silence = false;
	int64_t asked_at = 0;
	int64_t last_event = kStartMs; /* received by the caller */
	int64_t last_old_event = kStartMs;

	void Log(const std::string &what)
	{
		result.log.push_back("  " + std::to_string(now) + " " + what);
	}

	bool HasBackup() const
	{
		return scene.has_backup && !backup_failed;
	}

	bool TargetServes() const
	{
		return scene.target_gone < 0 || now < scene.target_gone ||
		       failures > scene.refusals;
	}

	bool ReadsPrompts() const
	{
		return now < scene.prompts_until;
	}

	bool OldWorks() const
	{
		return is_old && now < scene.end;
	}

	void RecordEvent()
	{
		result.longest_pause =
			std::max(result.longest_pause, now - last_event);
		last_event = now;
	}

	void StepOld()
	{
		bool is_silent = scene.silent >= 0 && now >= scene.silent &&
				 (scene.resumes < 0 || now < scene.resumes);

		if (!OldWorks() || is_silent || now < scene.begun ||
		    now - last_old_event < kEventMs)
			return;
		last_old_event = now;
		RecordEvent();
	}

	void DropCopy()
	{
		failures++;
		copy = COPY_NONE;
		copy_from = now;
	}

	void AdvanceCopy()
	{
		if (copy != COPY_IN_PROGRESS || !OldWorks())
			return;
		if (scene.copy < 0 || refusals < scene.refusals) {
			if (now - copy_from < kRefusalMs)
				return;
			refusals++;
			DropCopy();
			Log("copy refused");
		} else if (now - copy_from >= scene.copy) {
			copy = COPY_COMPLETE;
			Log("copy whole");
		}
	}

	void Ask(bool backup)
	{
		takeover_requested = true;
		asked_backup = backup;
		asked_at = now;
	}

	/* The engine that was asked continues, or replies "no copy". */
	void StepAsked()
	{
		if (!takeover_requested || !scene.connects)
			return;
		if (asked_backup &&
		    (scene.backup_is_missing ||
		     asked_at < scene.begun + scene.backup_takes)) {
			if (now - asked_at < kRefusalMs)
				return;
			takeover_requested = false;
			backup_failed = true;
			Log("no copy");
			if (!OldWorks())
				Fail();
			return;
		}
		if (OldWorks())
			result.longest_overlap = std::max(
				result.longest_overlap, now - asked_at);
		if (now - asked_at < scene.answer)
			return;
		Log("goes on");
		RecordEvent();
		is_old = false;
		finished = true;
	}

	void Fail()
	{
		is_broken = true;
		finished = true;
		Log("broken");
	}

	/* Whether the engine named for the backup holds it by now. */
	bool BackupExists() const
	{
		return HasBackup() && !scene.backup_is_missing &&
		       now >= scene.begun + scene.backup_takes;
	}

	/* The engine is gone: the run continues from a copy, or is lost. */
	void EndOld()
	{
		struct evacuation_input input = Input();

		input.failed_in_reach = scene.silent < 0;
		if (!is_old || now < scene.end || takeover_requested ||
		    finished)
			return;
		result.had_copy = BackupExists() ||
				  (copy == COPY_COMPLETE && TargetServes());
		switch (scene.has_budget ? evacuation_source(&input)
					 : EVACUATION_FROM_NOTHING) {
		case EVACUATION_FROM_COPY:
			Log("engine gone, asks copy");
			Ask(false);
			break;
		case EVACUATION_FROM_BACKUP:
			Log("engine gone, asks backup");
			Ask(true);
			break;
		case EVACUATION_FROM_NOTHING:
			Fail();
			break;
		}
	}

	struct evacuation_input Input() const
	{
		struct evacuation_input input = {};

		input.under_notice_us =
			scene.has_notice && now > scene.notice_at
				? (now - scene.notice_at) * kUsPerMs
				: 0;
		input.silent_us = (now - last_event) * kUsPerMs;
		input.has_begun = now >= scene.begun;
		input.begun_us = (now - scene.begun) * kUsPerMs;
		input.ends_in_time = scene.ends_in_time;
		input.budget_left = scene.has_budget;
		input.has_backup = HasBackup();
		input.backup_reads_prompts = ReadsPrompts();
		input.can_copy = true;
		input.copy = copy;
		input.copy_failures = failures;
		input.copy_elapsed_us = (now - copy_from) * kUsPerMs;
		input.target_serves = TargetServes();
		input.target_reads_prompts = ReadsPrompts();
		input.takeover_requested = takeover_requested;
		input.asked_for_silence = asked_for_silence;
		input.asked_is_connected = scene.connects;
		input.takeover_requested_us = (now - asked_at) * kUsPerMs;
		return input;
	}

	void Decide()
	{
		struct evacuation_input input = Input();
		enum evacuation evacuation = evacuation_decide(&input);

		if (finished || !OldWorks() || evacuation == EVACUATION_STAY)
			return;
		Log(evacuation_name(evacuation));
		switch (evacuation) {
		case EVACUATION_STAY:
			break;
		case EVACUATION_BEGIN_COPY:
			copy = COPY_IN_PROGRESS;
			copy_from = now;
			break;
		case EVACUATION_DROP_COPY:
			DropCopy();
			break;
		case EVACUATION_ASK_COPY:
			copy = COPY_GIVEN_UP;
			Ask(false);
			asked_for_silence = false;
			break;
		case EVACUATION_ASK_BACKUP:
			Ask(true);
			asked_for_silence = input.under_notice_us == 0;
			break;
		case EVACUATION_RELEASE_OLD:
			is_old = false;
			break;
		case EVACUATION_DROP_ASKED:
			takeover_requested = false;
			backup_failed = backup_failed || asked_backup;
			break;
		}
	}

	void Step()
	{
		StepOld();
		if (OldWorks() && scene.run_ends >= 0 &&
		    now >= scene.run_ends) {
			has_ended = finished = true;
			Log("ends");
			return;
		}
		AdvanceCopy();
		StepAsked();
		EndOld();
		Decide();
	}
};

} /* namespace */

/* Reads "name value" lines; false: a name is unknown or a value malformed. */
bool evacuation_scene_read(const std::string &text,
			   struct evacuation_scene *scene)
{
	const std::map<std::string, int64_t *> times = {
		{"end", &scene->end},
		{"notice_at", &scene->notice_at},
		{"silent", &scene->silent},
		{"resumes", &scene->resumes},
		{"prompts_until", &scene->prompts_until},
		{"copy", &scene->copy},
		{"target_gone", &scene->target_gone},
		{"answer", &scene->answer},
		{"run_ends", &scene->run_ends},
		{"begun", &scene->begun},
	};
	const std::map<std::string, bool *> flags = {
		{"notice", &scene->has_notice},
		{"backup", &scene->has_backup},
		{"backup_is_missing", &scene->backup_is_missing},
		{"connects", &scene->connects},
		{"budget", &scene->has_budget},
		{"ends_in_time", &scene->ends_in_time},
	};
	std::istringstream in(text);
	std::string name;
	int64_t value;

	while (in >> name >> value) {
		if (name == "refusals")
			scene->refusals = (int32_t)value;
		else if (times.count(name))
			*times.at(name) = value;
		else if (flags.count(name))
			*flags.at(name) = value != 0;
		else
			return false;
	}
	return in.eof();
}

/* Runs the scene to its end and returns the log and figures. */
struct evacuation_result evacuation_run(const struct evacuation_scene &scene)
{
	return Run(scene).Play();
}
