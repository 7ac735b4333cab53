#include "adapters/settings.h"
#include "adapters/settings_help.h"
#include "core/base/counters.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

static std::string read_page()
{
	std::ifstream file("docs/OPERATIONS.md");
	std::stringstream text;

	text << file.rdbuf();
	return text.str();
}

/* The page must contain each line of siskinlinkd --help-settings unchanged. */
TEST(OperationsPage, ListsEverySettingAsItIs)
{
	std::string page = read_page();
	std::string line;

	testing::internal::CaptureStdout();
	settings_print_help();
	std::istringstream help(testing::internal::GetCapturedStdout());
	while (std::getline(help, line))
		EXPECT_NE(std::string::npos, page.find(line)) << line;
}

TEST(OperationsPage, ListsEveryCounter)
{
	std::string page = read_page();

	for (int i = 0; i < COUNTER_COUNT; i++) {
		auto id = static_cast<enum counter>(i);
		std::string row = std::string("| `") + counter_name(id) +
				  "` | " + counter_help(id) + " |";

		EXPECT_NE(std::string::npos, page.find(row)) << row;
	}
}

TEST(OperationsPage, ListsEveryGauge)
{
	std::string page = read_page();

	for (int i = 0; i < GAUGE_COUNT; i++) {
		auto id = static_cast<enum gauge>(i);
		std::string row = std::string("| `") + gauge_name(id) + "` | " +
				  gauge_help(id) + " |";

		EXPECT_NE(std::string::npos, page.find(row)) << row;
	}
}
