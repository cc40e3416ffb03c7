#include "lasting_soak.h"

/*
 * Workers are killed, are back under their old ids within a second, get calls
 * that were meant for their earlier incarnations, and are cut off; the owner of
 * the pool fails beside it, or all daemons lose power. By a seed; with an odd
 * one, tasks wait all the while. No task may have two runs, and long-running
 * ones may not be without a run for longer than rule LOST allows.
 *
 * SOAK_SEEDS="FIRST-LAST" plays other seeds, SOAK_ROUNDS sets how often the
 * workers are killed.
 */

namespace
{

enum Failure {
	kKilledForGood,
	kKilled,
	kFrozen,
	kAllWithoutPower,
	kFailures,
};

class RestartSoak : public LastingSoak
{
      protected:
	/* Long tasks take most of the cores, or all and more wait. */
	void
	begin_long_tasks()
	{
		submit_lasting({4, 1, 1}, 400);
		submit_long(GetParam() % 2 == 1 ? 60 : 24);
		pause_ms(3000);
	}

	void
	submit_long(int jobs)
	{
		for (; jobs > 0; jobs--)
			EXPECT_EQ(submit_tasks(kFirstShortJob + long_jobs++, 2,
				      15000 + below(45000), 500, false)
				      .status,
			    200);
	}

	/* Calls that are sent meanwhile arrive after the return. */
	void
	restart(const std::vector<uint32_t> &restarted)
	{
		for (uint32_t w : restarted)
			crash_and_keep_calls(w);
		pause_ms(200 + below(700));
		for (uint32_t w : restarted)
			return_worker(w, false);
		/* They may get these. */
		submit_long(4);
	}

	/* Its runs go on until their lease expires. */
	void
	cut_off(const std::vector<uint32_t> &workers, bool is_cut)
	{
		for (uint32_t w : workers)
			set_worker(w, is_cut, false);
	}

	Failure
	draw_failure()
	{
		auto running = std::count_if(daemons.begin(), daemons.end(),
		    [](auto &d) { return d->pid > 0; });
		int drawn = below(kFailures);

		return drawn == kKilledForGood && running <= 2 ? kKilled
							       : (Failure)drawn;
	}

	void
	begin_failure(Failure failure, size_t first)
	{
		if (failure == kAllWithoutPower)
			kill_all();
		else if (failure == kFrozen)
			daemons[first]->signal(SIGSTOP);
		else
			kill_daemon(first);
	}

	void
	end_failure(
	    Failure failure, size_t first, const std::vector<size_t> &running)
	{
		if (failure == kKilledForGood)
			return;
		pause_ms(failure == kFrozen ? 1500 + below(4000)
					    : kDaemonsAreDownMs);
		if (failure == kFrozen)
			daemons[first]->signal(SIGCONT);
		else if (failure == kKilled)
			daemons[first]->start();
		else
			for (size_t d : running)
				daemons[d]->start();
	}

	void
	play_round()
	{
		std::vector<uint32_t> restarted = workers_by_load();
		std::vector<size_t> running;
		Failure failure = draw_failure();
		bool is_cut_first = below(3) == 0;
		int64_t at_ms = now_ms();

		for (size_t d = 0; d < daemons.size(); d++) {
			if (daemons[d]->pid > 0)
				running.push_back(d);
		}
		restarted.resize(2 + (size_t)below(2));
		restart(restarted);
		pause_ms(1000 + below(1500));
		size_t first = owner();

		if (is_cut_first)
			cut_off(restarted, true);
		begin_failure(failure, first);
		pause_below(is_cut_first ? 200 : 2500);
		cut_off(restarted, true);
		end_failure(failure, first, running);
		pause_ms(6000 + below(4000));
		cut_off(restarted, false);
		note_fault(at_ms, now_ms());
	}

	int long_jobs = 0;
};

TEST_P(RestartSoak, CallsForAnEarlierIncarnationLeadToNoSecondRun)
{
	int rounds = number_from("SOAK_ROUNDS", 2);

	begin_long_tasks();
	for (int n = 0; n < rounds; n++) {
		play_round();
		pause_ms(n + 1 < rounds ? 2000 + below(3000) : 0);
	}
	await_runs();
	for (const std::string &line :
	    judge_lasting_runs(runs_of(""), faults, now_ms()).twice)
		ADD_FAILURE() << "two runs: " << line;
	judge();
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, RestartSoak, testing::ValuesIn(seeds_or({12})), name_of_seed);

} // namespace
