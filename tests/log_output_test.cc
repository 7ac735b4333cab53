#include "adapters/log_output.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

/*
 * The reader of the log stops reading. Writing must not block: lines are
 * buffered up to the limit, then dropped, and once the reader continues, the
 * log contains the number of dropped lines.
 */
TEST(LogOutput, NeverWaitsForItsReader)
{
	const std::string line = std::string(99, 'x') + "\n";
	char bytes[65536];
	std::string read_back;
	int ends[2];
	ssize_t size;

	ASSERT_EQ(0, pipe(ends));
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	struct log_output *output = log_output_create(ends[1], 10000);
	for (int i = 0; i < 5000; i++)
		log_output_write(output, line.data(), line.size());
	EXPECT_GT(log_output_dropped(output), 1000u);
	for (int i = 0; i < 1000; i++) {
		while ((size = read(ends[0], bytes, sizeof(bytes))) > 0)
			read_back.append(bytes, (size_t)size);
		g_main_context_iteration(nullptr, FALSE);
	}
	EXPECT_NE(std::string::npos,
		  read_back.find("\nevent=log_dropped lines=" +
				 std::to_string(log_output_dropped(output)) +
				 "\n"));
	log_output_destroy(output);
	close(ends[0]);
	close(ends[1]);
}
