#include "tests/node_script.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace
{

const char *const script_folder = "tests/scripts";

std::vector<std::string> script_names()
{
	std::vector<std::string> names;

	for (auto &entry : std::filesystem::directory_iterator(script_folder)) {
		if (entry.path().extension() == ".txt")
			names.push_back(entry.path().stem().string());
	}
	std::sort(names.begin(), names.end());
	return names;
}

class NodeScript : public testing::TestWithParam<std::string>
{
};

/* Each file holds a script and, after each line, the expected actions. */
TEST_P(NodeScript, DoesWhatItsFileSays)
{
	std::string path =
		std::string(script_folder) + "/" + GetParam() + ".txt";
	std::ifstream in(path);
	std::stringstream expected;

	expected << in.rdbuf();
	std::string actual = node_script_run(expected.str());

	if (getenv("WRITE_SCRIPTS")) {
		std::ofstream(path) << actual;
		return;
	}
	EXPECT_EQ(expected.str(), actual);
}

INSTANTIATE_TEST_SUITE_P(Scripts, NodeScript, testing::ValuesIn(script_names()),
			 [](const testing::TestParamInfo<std::string> &info) {
				 return info.param;
			 });

} /* namespace */
