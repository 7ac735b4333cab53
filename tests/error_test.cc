#include "core/base/error.h"

#include <gtest/gtest.h>

#include <string>

TEST(Error, KeepsStepPeerAndText)
{
	struct error error;

	error_set(&error, ERROR_TIMEOUT, "kv.txn", "127.0.0.1:2379",
		  "no answer in %d ms", 500);
	EXPECT_EQ(ERROR_TIMEOUT, error.code);
	EXPECT_STREQ("kv.txn", error.step);
	EXPECT_STREQ("127.0.0.1:2379", error.peer);
	EXPECT_STREQ("no answer in 500 ms", error.detail);
}

TEST(Error, CutsLongTextAndKeepsItTerminated)
{
	struct error error;
	std::string text(1000, 'x');

	error_set(&error, ERROR_INVALID, "step", text.c_str(), "%s",
		  text.c_str());
	EXPECT_EQ(sizeof(error.peer) - 1, strlen(error.peer));
	EXPECT_EQ(sizeof(error.detail) - 1, strlen(error.detail));
}
