#include "core/gateway/evacuation.h"
#include "tests/evacuation_script.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace
{

const char *const script_folder = "tests/evacuation";

std::vector<std::string> script_names()
{
	std::vector<std::string> names;

	for (auto &entry : std::filesystem::directory_iterator(script_folder))
		names.push_back(entry.path().stem().string());
	std::sort(names.begin(), names.end());
	return names;
}

/* The part above the line of dashes: comments, and the scene. */
struct script {
	std::string head;
	std::string scene;
};

script read_script(const std::string &text)
{
	std::istringstream in(text);
	std::string line;
	script read;

	while (std::getline(in, line) && line != "--") {
		read.head += line + "\n";
		if (!line.empty() && line[0] != '#')
			read.scene += line + "\n";
	}
	return read;
}

std::string run_scene(const script &read)
{
	struct evacuation_scene scene;
	std::string seen = read.head + "--\n";

	if (!evacuation_scene_read(read.scene, &scene))
		return seen + "the scene has an unknown or malformed line\n";
	struct evacuation_result result = evacuation_run(scene);

	for (const std::string &line : result.log)
		seen += line + "\n";
	seen += result.is_whole
			? "whole, pause " +
				  std::to_string(result.longest_pause) + "\n"
			: std::string("lost\n");
	return seen;
}

class EvacuationScript : public testing::TestWithParam<std::string>
{
};

/* Each file holds a scene and, below the dashes, the expected log. */
TEST_P(EvacuationScript, MatchesItsFile)
{
	std::string path =
		std::string(script_folder) + "/" + GetParam() + ".txt";
	std::ifstream in(path);
	std::stringstream expected;

	expected << in.rdbuf();
	std::string seen = run_scene(read_script(expected.str()));

	if (getenv("WRITE_SCRIPTS")) {
		std::ofstream(path) << seen;
		return;
	}
	EXPECT_EQ(expected.str(), seen);
}

INSTANTIATE_TEST_SUITE_P(Scripts, EvacuationScript,
			 testing::ValuesIn(script_names()),
			 [](const testing::TestParamInfo<std::string> &info) {
				 return info.param;
			 });

struct evacuation_scene random_scene(std::mt19937 &random)
{
	auto below = [&](int64_t n) { return (int64_t)(random() % n); };
	struct evacuation_scene scene;

	/* Engines end 1.5 s after their notice at the earliest, or crash. */
	scene.end = below(4) ? 1500 + below(600) : 200 + below(1300);
	scene.has_notice = below(5) != 0;
	scene.silent = below(6) == 0 ? below(1400) : -1;
	scene.begun = below(2) ? below(1200) - 300 : -2000;
	scene.has_backup = below(2);
	scene.backup_is_missing = below(4) == 0;
	scene.prompts_until = below(2) ? below(2000) : -1;
	scene.copy = below(10) == 0 ? -1 : below(1600);
	scene.refusals = (int32_t)below(4);
	scene.target_gone = below(5) == 0 ? below(2000) : -1;
	scene.answer = below(500);
	scene.connects = below(20) != 0;
	scene.stop = below(700);
	scene.stops = below(8) != 0;
	scene.keeps = below(4) != 0;
	scene.is_reached = below(2);
	scene.has_budget = below(10) != 0;
	scene.ends_in_time = below(10) == 0;
	/* A sound engine is not silent for longer than the patience. */
	if (scene.silent >= 0 && below(2))
		scene.resumes = scene.silent + below(2000);
	scene.backup_rests = below(4) == 0 ? below(3000) : -1;
	return scene;
}

/*
 * An engine is lost behind a cut link, which is noticed after seconds of
 * silence. No event has arrived, but the engine may have generated some and
 * copied them, so the run continues from the backup. There can be no copy a few
 * ms after the start, or if the engine was reachable all the time and failed
 * before its first event; the backup engine would then start the run again.
 */
TEST(Evacuation, UsesABackupOnlyOnceItMayExist)
{
	struct evacuation_input input = {};

	input.has_backup = true;
	input.silent_us = 8000;
	EXPECT_EQ(EVACUATION_FROM_NOTHING, evacuation_source(&input));
	input.silent_us = 3000000;
	EXPECT_EQ(EVACUATION_FROM_BACKUP, evacuation_source(&input));
	input.failed_in_reach = true;
	EXPECT_EQ(EVACUATION_FROM_NOTHING, evacuation_source(&input));
	input.has_begun = true;
	input.begun_us = 8000;
	input.silent_us = 8000;
	EXPECT_EQ(EVACUATION_FROM_NOTHING, evacuation_source(&input));
	input.begun_us = 500000;
	EXPECT_EQ(EVACUATION_FROM_BACKUP, evacuation_source(&input));
}

/*
 * In any combination of events, two engines in reach never work on one run, and
 * no run is lost for which a copy was ready when its engine ended.
 */
TEST(Evacuation, KeepsItsGuaranteesInAnyOrderOfEvents)
{
	for (uint32_t seed = 1; seed <= 20000; seed++) {
		std::mt19937 random(seed);
		struct evacuation_scene scene = random_scene(random);
		struct evacuation_result result = evacuation_run(scene);

		ASSERT_EQ(0, result.longest_overlap) << "seed " << seed;
		if (!result.had_copy || !scene.connects || !scene.has_budget)
			continue;
		ASSERT_TRUE(result.is_whole) << "seed " << seed;
	}
}

} /* namespace */
