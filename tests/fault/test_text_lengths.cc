#include "cell_fixture.h"

/*
 * Ids, racks, machines and services with names of 64 bytes or more, or tickets of
 * 128, kept the jobs of their workers pending for ever.
 */

namespace
{

class TextLengths : public RelayedCell,
		    public testing::WithParamInterface<size_t>
{
      protected:
	void
	SetUp() override
	{
		text_bytes = GetParam();
		RelayedCell::SetUp();
	}

	std::string
	lengthened(std::string text) const
	{
		if (text.size() < text_bytes)
			text.resize(text_bytes, 'x');
		return text;
	}

	void
	configure_advice(int version)
	{
		configure(version,
		    std::string(",{\"name\":\"") + lengthened("a") +
			"\",\"host\":\"" + kHost +
			"\",\"prefix\":\"/a/\",\"service\":\"" + service() +
			"\",\"max_attempts\":2,\"advice\":{\"decide_ms\":5,"
			"\"period_ms\":0.2,\"valid_ms\":2000}}");
	}

	/* A worker has to have the ticket, and the label, and be on that rack. */
	Response
	submit_choosy(size_t daemon, int n)
	{
		return call("POST", daemon, "/a/" + job_id(n),
		    "{\"spec\":\"200 1000 \",\"steps\":[{\"count\":4,"
		    "\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":200,"
		    "\"requirements\":\"" +
			lengthened("a") + "\",\"affinity\":\"" +
			lengthened("r1") + "\"}]}");
	}

	std::string
	state_of_choosy(size_t daemon, int n)
	{
		return call("GET", daemon, "/a/" + job_id(n)).text("state");
	}
};

INSTANTIATE_TEST_SUITE_P(
    Bytes, TextLengths, testing::Values(1, 64, 128, 200, 4000, 70000));

TEST_P(TextLengths, JobsCompleteAlsoUnderTheNextOwner)
{
	start_daemons(3);
	configure_advice(2);
	/* Time for all daemons to know the route. */
	usleep(1000000);
	ASSERT_EQ(submit(0, 1).status, 200);
	ASSERT_EQ(submit_choosy(0, 2).status, 200);
	wait_completed(0, 1, 2);
	EXPECT_TRUE(eventually(
	    [&] { return state_of_choosy(0, 2) == "completed"; }, 10000));
	size_t first = owner();
	size_t other = (first + 1) % 3;
	daemons[first]->end(SIGKILL);
	ASSERT_EQ(submit_choosy(other, 3).status, 200);
	EXPECT_TRUE(eventually(
	    [&] { return state_of_choosy(other, 3) == "completed"; }, 20000));
	EXPECT_EQ(state(other, 1), "completed");
	expect_no_violations();
}

} // namespace
