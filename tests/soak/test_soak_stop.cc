#include <gtest/gtest.h>

#include "load.h"
#include "processor_watch.h"
#include "seeded_cell.h"

/*
 * Callers that send without a pause while daemons get SIGTERM, by a seed: one
 * after the other or two at a time, beside a new configuration and SIGHUP.
 * Whatever was sent whole is answered, unless the connection ends within the
 * slack of rule LOST.
 *
 * SOAK_SEEDS="FIRST-LAST" plays other seeds, SOAK_SECONDS sets for how long,
 * SOAK_CALLERS how many callers there are.
 */

namespace
{

constexpr size_t kDaemons = 3;
constexpr int64_t kSlackUs = 200000; /* loss_slack_ms */
constexpr int64_t kGraceMs = 6000;   /* grace_s */
constexpr int64_t kReadyMs = 15000;
constexpr int64_t kSettleMs = 45000;
constexpr int kCalmMs = 1000;
constexpr int kFrozenMs = 1500;
constexpr int kStoreDelayMs = 1000;

enum class Ailment {
	kNone,
	kFrozen,      /* the daemon, just before SIGTERM */
	kSlowStore,   /* answers late from shortly before SIGTERM on */
	kSilentStore, /* from SIGTERM on */
};

class StopSoak : public SeededCell
{
      protected:
	void
	SetUp() override
	{
		SeededCell::SetUp();
		start_daemons(kDaemons);
		for (auto &d : daemons)
			targets.emplace_back().address = d->callers;
	}

	/* What is planned beside a SIGTERM. */
	void
	change_something(size_t i)
	{
		switch (below(4)) {
		case 0:
			configure(++version);
			break;
		case 1:
			daemons[i]->signal(SIGHUP);
			break;
		case 2:
			daemons[(i + 1) % kDaemons]->signal(SIGHUP);
			break;
		default:
			break;
		}
	}

	void
	make_store(const std::string &kind)
	{
		inject_fault("{\"target\":\"store\",\"path\":\"\",\"kind\":\"" +
		    kind + "\",\"for_ms\":20000,\"delay_ms\":" +
		    std::to_string(kStoreDelayMs) + "}");
	}

	void
	ail_before_stop(size_t i)
	{
		if (ailment == Ailment::kFrozen) {
			daemons[i]->signal(SIGSTOP);
			usleep(1000 * kFrozenMs);
		}
		if (ailment == Ailment::kSlowStore) {
			make_store("slow");
			pause_below(2 * kStoreDelayMs);
		}
	}

	void
	begin_stop(size_t i)
	{
		ail_before_stop(i);
		targets[i].stopped_us = load_now_us();
		daemons[i]->signal(SIGTERM);
		if (ailment == Ailment::kFrozen)
			daemons[i]->signal(SIGCONT);
		if (ailment == Ailment::kSilentStore)
			make_store("down");
		stopping.push_back(i);
	}

	/* It ends by itself, before it would be killed. */
	void
	await_exit(size_t i)
	{
		CellDaemon &d = *daemons[i];
		int status = 0;
		int64_t left_ms =
		    kGraceMs - (load_now_us() - targets[i].stopped_us) / 1000;

		ASSERT_TRUE(eventually(
		    [&] { return waitpid(d.pid, &status, WNOHANG) == d.pid; },
		    left_ms))
		    << d.vm << " is not gone in time";
		d.pid = -1;
		EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0)
		    << d.vm << " ended with " << status;
	}

	void
	restart(size_t i)
	{
		daemons[i]->start();
		EXPECT_TRUE(eventually(
		    [&] { return daemons[i]->is_ready(); }, kReadyMs))
		    << daemons[i]->vm << " is not ready";
		targets[i].stopped_us = 0;
	}

	void
	play_round(size_t i)
	{
		change_something(i);
		pause_below(400);
		begin_stop(i);
		pause_below(400);
		change_something((i + 1) % kDaemons);
		if (below(2) == 0) {
			pause_below(2500);
			begin_stop((i + 1) % kDaemons);
		}
		for (size_t n : stopping)
			await_exit(n);
		http("POST", control + "/_clear");
		for (size_t n : stopping)
			restart(n);
		stopping.clear();
		pause_below(600);
	}

	void
	play()
	{
		int64_t until_us = load_now_us() +
		    1000000 * (int64_t)number_from("SOAK_SECONDS", 12);
		Load load(targets, (unsigned)number_from("SOAK_CALLERS", 24),
		    (unsigned)GetParam());
		ProcessorWatch watch(
		    kDaemons, [this](size_t i) { return daemons[i]->pid; },
		    dir + "/processor.log");

		/* Jobs are accepted before anything ails the store. */
		usleep(1000 * kCalmMs);
		for (size_t n = 0; load_now_us() < until_us; n++) {
			play_round(n % kDaemons);
			stops++;
			if (HasFailure())
				break;
		}
		load.stop();
		without_processor_ms = watch.longest_us / 1000;
		seen = load.summarize(kSlackUs);
		accepted = load.accepted();
		if (seen.lost > 0 || HasFailure())
			load.write(dir + "/exchanges.log");
	}

	void
	check_jobs()
	{
		int64_t calm_us = load_now_us();
		KeptClient client;
		size_t done = 0;

		for (const std::string &id : accepted) {
			std::string url = "http://" +
			    daemons[(size_t)below(kDaemons)]->callers + "/q/" +
			    id;
			std::string was;

			done += eventually(
			    [&] {
				    was =
					client
					    .request("GET", url, "",
						{std::string("Host: ") + kHost},
						4000)
					    .text("state");
				    return was == "completed";
			    },
			    kSettleMs);
			if (was != "completed") {
				ADD_FAILURE() << id << " is '" << was << "'";
				break;
			}
		}
		EXPECT_GT(accepted.size(), 0U);
		std::cout << "seed " << GetParam() << ": " << stops
			  << " rounds, " << seen.sent << " sent, " << seen.lost
			  << " lost, " << seen.within_slack
			  << " unanswered within the slack, " << seen.given_up
			  << " given up, the longest " << seen.longest_us / 1000
			  << " ms, a daemon without a processor for "
			  << without_processor_ms << " ms; " << accepted.size()
			  << " accepted, " << done << " done, the last after "
			  << (load_now_us() - calm_us) / 1000 << " ms\n";
	}

	void
	play_and_check(Ailment what)
	{
		ailment = what;
		play();
		check_jobs();
		EXPECT_EQ(seen.lost, 0U) << seen.lines;
		expect_no_violations();
	}

	Ailment ailment = Ailment::kNone;
	std::deque<LoadTarget> targets;
	std::vector<size_t> stopping;
	LoadSummary seen;
	std::vector<std::string> accepted;
	int64_t without_processor_ms = 0;
	int version = 1;
	int stops = 0;
};

TEST_P(StopSoak, DaemonsThatStopAnswerWhatWasSent)
{
	play_and_check(Ailment::kNone);
	EXPECT_EQ(seen.given_up, 0U);
}

using StopSoakOfFreezes = StopSoak;
TEST_P(StopSoakOfFreezes, DaemonsThatStopAnswerWhatWasSent)
{
	play_and_check(Ailment::kFrozen);
}

using StopSoakWithASlowStore = StopSoak;
TEST_P(StopSoakWithASlowStore, DaemonsThatStopAnswerWhatWasSent)
{
	play_and_check(Ailment::kSlowStore);
}

using StopSoakWithASilentStore = StopSoak;
TEST_P(StopSoakWithASilentStore, DaemonsThatStopAnswerWhatWasSent)
{
	play_and_check(Ailment::kSilentStore);
}

/*
 * Seeds that ever failed, with their cause.
 * 720, 730: a daemon ended while requests waited for the store
 *    ("event=stopped busy=4").
 */
INSTANTIATE_TEST_SUITE_P(
    Seeds, StopSoak, testing::ValuesIn(seeds_or({700})), name_of_seed);
INSTANTIATE_TEST_SUITE_P(
    Seeds, StopSoakOfFreezes, testing::ValuesIn(seeds_or({710})), name_of_seed);
INSTANTIATE_TEST_SUITE_P(Seeds, StopSoakWithASlowStore,
    testing::ValuesIn(seeds_or({720})), name_of_seed);
INSTANTIATE_TEST_SUITE_P(Seeds, StopSoakWithASilentStore,
    testing::ValuesIn(seeds_or({730})), name_of_seed);

} // namespace
