#include <gtest/gtest.h>

#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "common/clock.h"
#include "common/log.h"
}

namespace
{

/* Standard output is a pipe during a case. */
class Log : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		fflush(stdout);
		saved = dup(STDOUT_FILENO);
		ASSERT_EQ(pipe(ends), 0);
		dup2(ends[1], STDOUT_FILENO);
		lg_use_stdout();
		ASSERT_EQ(lg_init("vm-1", "a", "info"), 0);
	}

	void
	TearDown() override
	{
		dup2(saved, STDOUT_FILENO);
		close(saved);
		close(ends[0]);
		close(ends[1]);
	}

	int saved = -1;
	int ends[2] = {-1, -1};
};

TEST_F(Log, ReaderThatDoesNotReadStallsNothing)
{
	std::string text(1000, 'x');
	uint64_t before = lg_dropped();
	int64_t begun_us = clk_now_us();

	for (int i = 0; i < 2000; i++)
		lg_event(LG_ERROR, "test", "line", "text", text.c_str(), NULL);
	EXPECT_LT(clk_now_us() - begun_us, 2 * CLK_US_PER_S);
	/* A pipe holds 64 kB, far less than was said. */
	EXPECT_GT(lg_dropped() - before, 1000U);
}

TEST_F(Log, LinesBelowAWarningAreHeldToABudget)
{
	uint64_t before = lg_dropped();

	for (int i = 0; i < 20000; i++)
		lg_event(LG_INFO, "test", "line", NULL);
	EXPECT_GT(lg_dropped() - before, 10000U);
}

TEST_F(Log, LineIsOnePairPerKey)
{
	char line[512] = "";

	lg_event(LG_WARN, "test", "seen", "job", "a b", "n", lg_i64(7), NULL);
	ASSERT_GT(read(ends[0], line, sizeof(line) - 1), 0);
	EXPECT_NE(
	    std::string(line).find(
		"module=test event=seen vm=vm-1 domain=a job=\"a b\" n=7\n"),
	    std::string::npos)
	    << line;
}

} // namespace
