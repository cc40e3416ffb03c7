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

} // namespace
