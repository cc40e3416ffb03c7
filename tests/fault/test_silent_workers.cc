#include "cell_fixture.h"

namespace
{

/* A job must not have nothing running for longer, beside free workers. */
constexpr int kMaxIdleMs = 3000;
constexpr int kJobs = 90;
/* Too late for the owner to close the worker. */
constexpr int kSilentBeforeUs = 300000;
constexpr int kDaemonsAreDownUs = 1300000;

/* Workers that fall silent just before all daemons are killed. */
class CellBesideSilentWorkers : public Cell
{
      protected:
	/* Tasks of most jobs wait all the while. */
	void
	begin()
	{
		start_daemons(3);
		/* Daemons learn of each other through the store. */
		usleep(1000000);
		for (int n = 0; n < kJobs; n++)
			EXPECT_EQ(submit_long(n).status, 200);
		ASSERT_TRUE(
		    eventually([&] { return reported("running") == 16; }));
		usleep(2500000);
	}

	Response
	submit_long(int n)
	{
		return call("POST", 0, "/q/" + job_id(n),
		    "{\"spec\":\"900 1000 \",\"steps\":[{\"count\":8,"
		    "\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":900}]}");
	}

	void
	silence(uint32_t worker, bool off = true)
	{
		http("POST", control + "/_worker",
		    "{\"worker\":" + std::to_string(worker) +
			",\"off\":" + (off ? "true}" : "false}"));
	}

	void
	end_all_daemons()
	{
		for (auto &d : daemons)
			d->signal(SIGKILL);
		for (auto &d : daemons)
			d->end(SIGKILL);
		usleep(kDaemonsAreDownUs);
	}

	void
	start_all_but(size_t one)
	{
		for (size_t d = 0; d < daemons.size(); d++) {
			if (d != one)
				daemons[d]->start();
		}
	}

	/* How long earlier owners may act, as the newest one logged. */
	int
	earlier_ms()
	{
		std::string text = daemons[owner()]->log_text();
		std::string key = " earlier_ms=";
		size_t at = text.rfind(key);

		return at == std::string::npos
		    ? -1
		    : atoi(text.c_str() + at + key.size());
	}

	void
	kill_all_daemons()
	{
		size_t before = takeovers();

		end_all_daemons();
		for (auto &d : daemons)
			d->start();
		ASSERT_TRUE(
		    eventually([&] { return takeovers() > before; }, 10000));
	}

	void
	expect_starts_soon()
	{
		int64_t before = reported("started");

		EXPECT_TRUE(eventually(
		    [&] { return reported("started") > before; }, kMaxIdleMs));
	}
};

/* Nothing else has to be stored meanwhile. */
TEST_F(CellBesideSilentWorkers, NextOwnerKnowsThatTheOneBeforeTheLastHasEnded)
{
	start_daemons(3);
	ASSERT_TRUE(eventually([&] { return takeovers() == 1; }));
	/* The registry of the workers is stored. */
	usleep(1500000);
	size_t first = owner();

	end_all_daemons();
	start_all_but(first);
	ASSERT_TRUE(eventually([&] { return takeovers() == 2; }));
	usleep(500000);
	daemons[first]->start();
	usleep(1500000);
	size_t second = owner();

	ASSERT_NE(second, first);
	end_all_daemons();
	daemons[second]->start();
	ASSERT_TRUE(eventually([&] { return takeovers() == 3; }));
	/* One lease. */
	EXPECT_LE(earlier_ms(), 3500);
}

TEST_F(CellBesideSilentWorkers, WaitingTasksStartAfterAllDaemonsWereKilled)
{
	begin();
	silence(1);
	usleep(kSilentBeforeUs);
	kill_all_daemons();
	expect_starts_soon();
	usleep(15000000);
	expect_no_violations();
}

/* Long-running tasks in a pool that is full of short tasks and loses workers. */
class CellOfAFullPool : public CellBesideSilentWorkers
{
      protected:
	static constexpr int kLasting = 3;
	/* The rule is 9 s; the runs may have ended just before they are lost. */
	static constexpr int kMaxWaitMs = 9000;

	CellOfAFullPool()
	{
		worker_count = 8;
	}

	Response
	submit_task(int n, int count, int cpu, int work_ms,
	    const std::string &more = "")
	{
		std::string cores = std::to_string(cpu);
		std::string work = std::to_string(work_ms);

		return call("POST", 0, "/q/" + job_id(n),
		    "{\"spec\":\"" + work + " " + cores +
			" \",\"steps\":[{\"count\":" + std::to_string(count) +
			",\"cpu\":" + cores +
			",\"mem_mb\":10,\"estimate_ms\":" + work + more +
			"}]}");
	}

	void
	fill()
	{
		start_daemons(3);
		usleep(1000000);
		for (int n = 0; n < kLasting; n++)
			EXPECT_EQ(submit_task(n, n == 0 ? 2 : 1, 3000, 900000,
				      ",\"long_running\":true")
				      .status,
			    200);
		ASSERT_TRUE(eventually([&] { return lasting() == 4; }));
		for (int n = kLasting; n < 60; n++)
			EXPECT_EQ(submit_task(n, 20, 500, 25000).status, 200);
		/* 32,000 milli-cores less 12,000 that the others take. */
		ASSERT_TRUE(
		    eventually([&] { return reported("running") == 44; }));
		/* The leases that an earlier owner may have given have ended. */
		usleep(9000000);
	}

	int64_t
	lasting()
	{
		int64_t n = 0;

		for (int i = 0; i < kLasting; i++)
			n += http("GET", control + "/_job?job=" + job_id(i))
				 .number("running");
		return n;
	}

	/* Two workers under long-running tasks; others return at once. */
	void
	crash_two()
	{
		for (uint32_t w = 0; w < worker_count && lasting() > 2; w++) {
			int64_t before = lasting();

			switch_worker(w, true);
			if (lasting() == before)
				switch_worker(w, false);
		}
		ASSERT_EQ(lasting(), 2);
		lost_at = std::chrono::steady_clock::now();
	}

	void
	switch_worker(uint32_t w, bool off)
	{
		http("POST", control + "/_worker",
		    "{\"worker\":" + std::to_string(w) +
			(off ? ",\"off\":true" : ",\"off\":false") +
			",\"reborn\":true}");
	}

	void
	expect_that_they_run_again()
	{
		using std::chrono::duration_cast;
		using std::chrono::milliseconds;
		auto since = [this] {
			return (int)duration_cast<milliseconds>(
			    std::chrono::steady_clock::now() - lost_at)
			    .count();
		};

		EXPECT_TRUE(eventually(
		    [&] { return lasting() == 4; }, kMaxWaitMs - since()))
		    << "after " << since() << " ms";
		RecordProperty("waited_ms", since());
	}

	std::chrono::steady_clock::time_point lost_at;
};

TEST_F(CellOfAFullPool, LongRunningTasksThatLoseTheirWorkerRunAgain)
{
	fill();
	crash_two();
	expect_that_they_run_again();
	expect_no_violations();
}

TEST_F(CellOfAFullPool, LongRunningTasksRunAgainThoughAllDaemonsWereKilledToo)
{
	fill();
	crash_two();
	kill_all_daemons();
	expect_that_they_run_again();
	expect_no_violations();
}

} // namespace
