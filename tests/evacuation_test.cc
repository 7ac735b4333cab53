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

/* What stands above the line of dashes: the story, and the scene. */
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

std::string play(const script &read)
{
	struct evacuation_scene scene;
	std::string seen = read.head + "--\n";

	if (!evacuation_scene_read(read.scene, &scene))
		return seen + "a line of the scene can't be read\n";
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

/* The file holds the scene and, below the dashes, what becomes of it. */
TEST_P(EvacuationScript, GoesAsItsFileSays)
{
	std::string path =
		std::string(script_folder) + "/" + GetParam() + ".txt";
	std::ifstream in(path);
	std::stringstream expected;

	expected << in.rdbuf();
	std::string seen = play(read_script(expected.str()));

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
	scene.has_budget = below(10) != 0;
	scene.ends_in_time = below(10) == 0;
	return scene;
}

/*
 * The engine is lost behind a cut link, which shows after seconds of silence.
 * No event has come, but it may have made some and copied them: the backup is
 * asked, and the run goes on. After a few ms there is nothing to go on from,
 * and the engine that is asked would begin the run anew; nor is there when the
 * engine was in reach all the while and broke off without an event.
 */
TEST(Evacuation, BelievesInABackupOnceItMayStand)
{
	struct evacuation_input input = {};

	input.has_backup = true;
	input.silent_us = 8000;
	EXPECT_EQ(EVACUATION_FROM_NOTHING, evacuation_source(&input));
	input.silent_us = 3000000;
	EXPECT_EQ(EVACUATION_FROM_BACKUP, evacuation_source(&input));
	input.broke_off = true;
	EXPECT_EQ(EVACUATION_FROM_NOTHING, evacuation_source(&input));
	input.has_begun = true;
	input.begun_us = 8000;
	input.silent_us = 8000;
	EXPECT_EQ(EVACUATION_FROM_NOTHING, evacuation_source(&input));
	input.begun_us = 500000;
	EXPECT_EQ(EVACUATION_FROM_BACKUP, evacuation_source(&input));
}

/*
 * Whatever comes together: two engines never work on one run for 400 ms, and a
 * run is not lost that a copy stood ready for when its engine went.
 */
TEST(Evacuation, KeepsItsPromisesInAnyOrderOfEvents)
{
	for (uint32_t seed = 1; seed <= 20000; seed++) {
		std::mt19937 random(seed);
		struct evacuation_scene scene = random_scene(random);
		struct evacuation_result result = evacuation_run(scene);

		ASSERT_LT(result.longest_overlap, 400) << "seed " << seed;
		if (!result.had_copy || !scene.connects || !scene.has_budget)
			continue;
		ASSERT_TRUE(result.is_whole) << "seed " << seed;
	}
}

} /* namespace */
