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

/* During each test, standard output is a pipe that only the test itself reads. */
class Log : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		fflush(stdout);
		saved_stdout = dup(STDOUT_FILENO);
		ASSERT_EQ(pipe(pipe_fds), 0);
		dup2(pipe_fds[1], STDOUT_FILENO);
		lg_use_stdout();
		ASSERT_EQ(lg_init("vm-1", "a", "info"), 0);
	}

	void
	TearDown() override
	{
		dup2(saved_stdout, STDOUT_FILENO);
		close(saved_stdout);
		close(pipe_fds[0]);
		close(pipe_fds[1]);
	}

	int saved_stdout = -1;
	int pipe_fds[2] = {-1, -1};
};

TEST_F(Log, WritesDoNotBlockOnAFullPipe)
{
	std::string text(1000, 'x');
	uint64_t before = lg_dropped();
	int64_t start_us = clk_now_us();

	for (int i = 0; i < 2000; i++)
		lg_event(LG_ERROR, "test", "line", "text", text.c_str(), NULL);
	EXPECT_LT(clk_now_us() - start_us, 2 * CLK_US_PER_S);
	/* A pipe holds 64 kB, far less than was logged. */
	EXPECT_GT(lg_dropped() - before, 1000U);
}

TEST_F(Log, InfoLinesAreRateLimited)
{
	uint64_t before = lg_dropped();

	for (int i = 0; i < 20000; i++)
		lg_event(LG_INFO, "test", "line", NULL);
	EXPECT_GT(lg_dropped() - before, 10000U);
}

TEST_F(Log, LineHasOnePairPerKey)
{
	char line[512] = "";

	lg_event(LG_WARN, "test", "seen", "job", "a b", "n", lg_i64(7), NULL);
	ASSERT_GT(read(pipe_fds[0], line, sizeof(line) - 1), 0);
	EXPECT_NE(
	    std::string(line).find(
		"module=test event=seen vm=vm-1 domain=a job=\"a b\" n=7\n"),
	    std::string::npos)
	    << line;
}

/* Texts of others have any length; the pairs after them were lost. */
TEST_F(Log, PairsAfterLongValuesAreWritten)
{
	for (size_t bytes : {1, 63, 64, 200, 640, 641, 4000, 70000}) {
		const std::string text(bytes, 'x');
		char line[4096] = "";

		lg_event(LG_WARN, "test", "seen", "worker", text.c_str(),
		    "rack", text.c_str(), "n", lg_i64(7), NULL);
		ASSERT_GT(read(pipe_fds[0], line, sizeof(line) - 1), 0);
		EXPECT_NE(std::string(line).find(" n=7\n"), std::string::npos)
		    << line;
		EXPECT_EQ(std::string(line).find("(" + std::to_string(bytes) +
			      "_bytes)") != std::string::npos,
		    bytes > 640)
		    << line;
	}
}

TEST_F(Log, LongValuesAreCutBetweenCharacters)
{
	std::string text(639, 'x');
	char line[4096] = "";

	text += "\xc3\xa9\xc3\xa9";
	lg_event(LG_WARN, "test", "seen", "worker", text.c_str(), NULL);
	ASSERT_GT(read(pipe_fds[0], line, sizeof(line) - 1), 0);
	EXPECT_NE(
	    std::string(line).find("x...(643_bytes)\n"), std::string::npos)
	    << line;
}

} // namespace
