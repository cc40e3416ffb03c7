#include "cell_fixture.h"

/*
 * Open connections fall silent for good, one way or both, without a reset; new
 * ones work. Nothing but a time-out or a keep-alive of one's own shows it.
 */

namespace
{

constexpr int64_t kFoundMs = 3000;
/* In which all daemons have linked to each other. */
constexpr useconds_t kLinkedUs = 2000000;
/* In calm. */
constexpr int64_t kAnswerMs = 1000;
constexpr size_t kCellDaemons = 3;
constexpr int64_t kCompletedMs = 5000;
/* Of calls at a time, so that as many connections are open. */
constexpr int kAtOnce = 12;
constexpr int kSeries = 3;
/* Longer than the test; its runs keep their leases. */
constexpr int kLongMs = 60000;

class SeveredLinks : public RelayedCell, public testing::WithParamInterface<int>
{
      protected:
	SeveredLinks()
	{
		doors = kCellDaemons;
		has_links = true;
	}

	/* With a job done, so that connections to all workers are open. */
	void
	begin()
	{
		start_daemons(kCellDaemons);
		EXPECT_EQ(submit(0, 0, 16, 300).status, 200);
		wait_completed(0, 0, 1);
		usleep(kLinkedUs);
		ASSERT_EQ(working_links_of(1), 2 * (kCellDaemons - 1));
	}

	/* Both ways, so two with each other daemon. */
	size_t
	working_links_of(size_t daemon)
	{
		size_t n = 0;

		for (size_t d = 0; d < daemons.size(); d++) {
			if (d == daemon)
				continue;
			n += links->working_peers(daemon, d) > 0;
			n += links->working_peers(d, daemon) > 0;
		}
		return n;
	}

	void
	submit_at_once(size_t daemon, int first)
	{
		std::vector<std::thread> callers;

		for (int n = 0; n < kAtOnce; n++)
			callers.emplace_back([this, daemon, first, n] {
				EXPECT_EQ(
				    submit(daemon, first + n, 1, 50).status,
				    200);
			});
		for (std::thread &t : callers)
			t.join();
	}

	void
	expect_jobs_to_complete()
	{
		for (size_t d = 0; d < daemons.size(); d++) {
			int n = 100 + (int)d;

			EXPECT_EQ(submit(d, n).status, 200);
			EXPECT_TRUE(eventually(
			    [&] { return state(d, n) == "completed"; },
			    kCompletedMs))
			    << "job " << n << " is " << state(d, n);
		}
	}

	void
	sever_links_of(size_t daemon)
	{
		links->sever_peers(daemon, GetParam());
		EXPECT_EQ(working_links_of(daemon), 0U);
		EXPECT_TRUE(eventually(
		    [&] {
			    return working_links_of(daemon) ==
				2 * (kCellDaemons - 1);
		    },
		    kFoundMs))
		    << working_links_of(daemon) << " links work";
		expect_jobs_to_complete();
		expect_no_violations();
	}
};

TEST_P(SeveredLinks, OwnersLinksWorkAgainSoon)
{
	begin();
	sever_links_of(owner());
}

TEST_P(SeveredLinks, AnotherDaemonsLinksWorkAgainSoon)
{
	begin();
	sever_links_of((owner() + 1) % kCellDaemons);
}

/* To the store and to workers; requests or responses are lost. */
using SeveredCalls = SeveredLinks;

/* Calls are waiting for the store at once, then none. */
TEST_P(SeveredCalls, NoCallMeetsASilentConnectionToTheStoreLater)
{
	begin();
	inject_fault("{\"target\":\"store\",\"path\":\"kv-txn\",\"kind\":"
		     "\"slow\",\"for_ms\":1000,\"delay_ms\":500}");
	submit_at_once(0, 100);
	usleep(kLinkedUs);
	ASSERT_GE(links->working_store(0), kAtOnce);
	links->sever_store(0, GetParam());
	EXPECT_EQ(links->working_store(0), 0);
	EXPECT_TRUE(
	    eventually([&] { return links->working_store(0) > 0; }, kFoundMs));
	usleep(1000 * kFoundMs);
	for (int n = 200; n < 200 + kAtOnce; n++)
		ASSERT_EQ(submit(0, n, 1, 50, "", kAnswerMs).status, 200)
		    << "job " << n;
	wait_completed(0, 200, 200 + kAtOnce);
	expect_no_violations();
}

/* Orders wait for the workers at once, then none. */
TEST_P(SeveredCalls, NoStartMeetsASilentConnectionToAWorkerLater)
{
	begin();
	for (int n = 1; n < 10; n++)
		EXPECT_EQ(submit(0, n, 16, 100).status, 200);
	wait_completed(0, 1, 10);
	links->sever_workers(GetParam());
	for (uint32_t w = 0; w < worker_count; w++)
		EXPECT_TRUE(eventually(
		    [&] { return links->working_worker(w) > 0; }, kFoundMs))
		    << "worker " << w;
	usleep(1000 * kFoundMs);
	EXPECT_EQ(submit(0, 50, 16, 100).status, 200);
	EXPECT_TRUE(
	    eventually([&] { return state(0, 50) == "completed"; }, kAnswerMs));
	expect_no_violations();
}

TEST_P(SeveredCalls, RunsKeepTheirLeasesThoughConnectionsFallSilentInSeries)
{
	begin();
	EXPECT_EQ(submit(0, 1, 12, kLongMs).status, 200);
	ASSERT_TRUE(eventually([&] { return reported("running") == 12; }));
	int64_t started = reported("started");

	for (int n = 0; n < kSeries; n++) {
		links->sever_workers(GetParam());
		for (size_t d = 0; d < daemons.size(); d++) {
			links->sever_store(d, GetParam());
			links->sever_peers(d, GetParam());
		}
		usleep(1000 * kFoundMs);
	}
	usleep(1000 * kFoundMs);
	EXPECT_EQ(reported("running"), 12);
	EXPECT_EQ(reported("started"), started);
	expect_jobs_to_complete();
	expect_no_violations();
}

std::string
name_of_ways(const testing::TestParamInfo<int> &info)
{
	static const char *const names[] = {"", "Out", "Back", "Both"};

	return names[info.param];
}

INSTANTIATE_TEST_SUITE_P(Ways, SeveredLinks,
    testing::Values(CellLinks::kOut, CellLinks::kBack, CellLinks::kBoth),
    name_of_ways);
INSTANTIATE_TEST_SUITE_P(Ways, SeveredCalls,
    testing::Values(CellLinks::kOut, CellLinks::kBack), name_of_ways);

} // namespace
