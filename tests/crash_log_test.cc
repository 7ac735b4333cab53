#include "daemons/crash_log.h"

#include <gtest/gtest.h>

#include <csignal>
#include <unistd.h>

/* Sanitizers handle these signals themselves. */
#ifndef __SANITIZE_ADDRESS__

static volatile int depth;

/* Returns the depth, which the compiler can't know to be without end. */
__attribute__((noinline)) static int recurse(int levels)
{
	volatile char frame[4096];

	frame[0] = (char)levels;
	depth = levels;
	return levels < 0 ? 0 : recurse(levels + 1) + frame[0];
}

/* Guards against a process that ends without a line: its stack overflows, and
 * the handler has no stack either. */
TEST(CrashLog, TellsAnOverflowOfTheStack)
{
	EXPECT_EXIT(
		{
			dup2(STDERR_FILENO, STDOUT_FILENO);
			crash_log_install("n1");
			recurse(0);
		},
		testing::KilledBySignal(SIGSEGV),
		"node=n1 event=crash signal=SIGSEGV");
}

#endif
