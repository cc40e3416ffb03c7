#include "cell_fixture.h"

/* Open connections go silent for good, without a reset; new ones work. */

namespace
{

class CellOfASilentStore : public Cell
{
      protected:
	/* Jobs at once, so that daemons keep several connections. */
	static constexpr int kJobs = 24;

	void
	SetUp() override
	{
		Cell::SetUp();
		link = std::make_unique<Process>("tests/standins/standin-relay",
		    std::vector<std::string>{}, dir + "/link.log");
		http("POST",
		    "http://" + link->addresses[1] +
			"/_target?address=" + store);
		store = link->addresses[0];
	}

	void
	silence_store()
	{
		for (const char *ways : {"3", "0"})
			ASSERT_EQ(http("POST",
				      "http://" + link->addresses[1] +
					  "/_silence?ways=" + ways)
				      .status,
			    200);
	}

	void
	submit_at_once(int from, int to)
	{
		std::vector<std::thread> threads;

		for (int n = from; n < to; n++)
			threads.emplace_back([this, n] {
				EXPECT_EQ(
				    submit((size_t)n % 2, n, 1, 50).status,
				    200);
			});
		for (std::thread &t : threads)
			t.join();
	}

	bool
	lost_its_pool()
	{
		for (auto &d : daemons) {
			if (d->log_text().find("event=owner_lost") !=
			    std::string::npos)
				return true;
		}
		return false;
	}

	std::unique_ptr<Process> link;
};

/* Connection after connection was tried, each until its deadline. */
TEST_F(CellOfASilentStore, JobIsAcceptedAndRunsWithinSeconds)
{
	start_daemons(2);
	submit_at_once(0, kJobs);
	wait_completed(0, 0, kJobs);
	usleep(400000);
	silence_store();
	auto begun = std::chrono::steady_clock::now();

	for (int n = kJobs; n < kJobs + 6; n++)
		EXPECT_EQ(submit((size_t)n % 2, n, 1, 50).status, 200);
	wait_completed(0, kJobs, kJobs + 6);
	EXPECT_LT(
	    std::chrono::steady_clock::now() - begun, std::chrono::seconds(4));
	EXPECT_FALSE(lost_its_pool());
	expect_no_violations();
}

} // namespace
