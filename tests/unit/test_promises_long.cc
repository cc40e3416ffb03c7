#include <gtest/gtest.h>

#include "long_running.h"

/*
 * Long-running tasks whose worker ends together with daemons, and tasks that
 * must go on while the store is unavailable.
 */

namespace
{

constexpr int64_t kOutage = 9 * kSimS;
/* Daemons that return after a loss of power. */
constexpr int64_t kDown = 1300 * kSimMs;

/* The next owner waited for 13.4 s: it might have been cut off, and go on. */
TEST(LongRunningTasks, RunAgainInTimeWhereOwnerAndWorkerDoNotReturn)
{
	for (bool power : {false, true}) {
		LongRunning t;

		t.begin_jobs();
		t.w.kill(t.owner(), power);
		t.lose_worker();
		t.run_to_end();
		printf("power %d: %lld ms\n", power,
		    (long long)(t.longest_without_run_us / kSimMs));
		EXPECT_LE(t.longest_without_run_us, kMaxWithoutRun) << power;
	}
}

/* Any number of daemons may be lost at once. */
TEST(LongRunningTasks, RunAgainInTimeWhereOwnerWitnessAndWorkerDoNotReturn)
{
	for (bool power : {false, true}) {
		LongRunning t;

		t.begin_jobs();
		size_t owner = t.owner();
		t.w.kill(owner, power);
		t.w.kill((owner + 1) % kDaemons, power);
		t.lose_worker();
		t.run_to_end();
		EXPECT_LE(t.longest_without_run_us, kMaxWithoutRun)
		    << "power " << power;
	}
}

TEST(LongRunningTasks, RunAgainInTimeWhereAllDaemonsDieAndTheOwnerDoesNotReturn)
{
	for (bool power : {false, true}) {
		LongRunning t;

		t.begin_jobs();
		size_t owner = t.owner();
		t.lose_worker();
		for (size_t i = 0; i < kDaemons; i++) {
			t.w.kill(i, power);
			if (i != owner)
				t.w.after(kDown, [&t, i] { t.w.start(i); });
		}
		t.run_to_end();
		printf("power %d: %lld ms\n", power,
		    (long long)(t.longest_without_run_us / kSimMs));
		EXPECT_LE(t.longest_without_run_us, kMaxWithoutRun) << power;
	}
}

/* Counted from the last fault. */
TEST(LongRunningTasks, RunAgainInTimeWhereTheNextOwnerDiesAsWell)
{
	for (bool power : {false, true}) {
		LongRunning t;

		t.begin_jobs();
		t.w.kill(t.owner(), power);
		t.lose_worker();
		while (t.owner() == kDaemons)
			t.run_for(kSample);
		t.run_for(kSimS);
		int64_t second_us = t.w.now;
		size_t second = t.owner();
		ASSERT_NE(second, kDaemons);
		t.w.kill(second, power);
		t.run_for(kMaxWithoutRun);
		size_t running = 0;
		for (auto &wk : t.w.workers)
			running += wk->alive ? wk->running.size() : 0;
		EXPECT_EQ(running, kTasks)
		    << power << ", " << (t.w.now - second_us) / kSimMs;
		t.run_to_end();
		printf("power %d: %lld ms\n", power,
		    (long long)(t.longest_without_run_us / kSimMs));
	}
}

void
play_outage(StoreTrouble kind, bool leases_paused)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		LongRunning t(seed);

		t.begin_jobs();
		t.run_for((int64_t)t.w.random(500) * kSimMs);
		t.w.store.leases_paused = leases_paused;
		t.w.store_trouble(kind, kOutage);
		t.run_to_end();
		EXPECT_EQ(t.lapsed, 0U) << "seed " << seed;
		EXPECT_EQ(t.longest_without_run_us, 0) << "seed " << seed;
	}
}

/* No other daemon can own the pool meanwhile. */
TEST(LongRunningTasks, OutageThatAllDaemonsSeeEndsNoRun)
{
	play_outage(StoreTrouble::kBusy, true);
	play_outage(StoreTrouble::kSilent, true);
	play_outage(StoreTrouble::kSilent, false);
}

/* Their entries, and so the list that named them, outlived them. */
TEST(LongRunningTasks, OutageAfterOtherDaemonsEndedEndsNoRun)
{
	for (size_t killed = 1; killed < kDaemons; killed++) {
		LongRunning t;

		t.begin_jobs();
		size_t owner = t.owner();
		for (size_t n = 1; n <= killed; n++)
			t.w.kill((owner + n) % kDaemons, false);
		t.run_for(3 * kSimS);
		t.w.store.leases_paused = true;
		t.w.store_trouble(StoreTrouble::kSilent, kOutage);
		t.run_to_end();
		EXPECT_EQ(t.lapsed, 0U) << killed << " ended";
	}
}

/* Once it answered again, watches of all daemons hung for up to 2.8 s more. */
TEST(LongRunningTasks, StoreThatRefusesWhileLeasesRunOutEndsNoRun)
{
	play_outage(StoreTrouble::kBusy, false);
}

/* It was stopped for longer than it may act, and no worker knows another. */
TEST(LongRunningTasks, OwnerThatResumesRenewsNothing)
{
	constexpr int64_t kStopped = 5500 * kSimMs;
	constexpr int64_t kLease = 3100 * kSimMs;

	for (int64_t offset_ms = 0; offset_ms < 400; offset_ms++) {
		LongRunning t;

		t.begin_jobs();
		size_t cut = t.owner();
		t.w.daemons[cut]->domain = "cut";
		for (auto &wk : t.w.workers)
			wk->domain = "cut";
		t.w.cut_domain("cut", 20 * kSimS);
		t.w.run_until(t.w.now + offset_ms * kSimMs);
		int64_t stopped_us = t.w.now;
		t.w.freeze(cut, kStopped);
		t.w.run_until(stopped_us + kStopped + 50 * kSimMs);
		for (auto &wk : t.w.workers)
			ASSERT_LE(wk->lease_until_us, stopped_us + kLease)
			    << offset_ms << " ms, " << wk->id;
	}
}

/*
 * Before there were witnesses, none of these ended a run: an owner acted for 10 s
 * on its own, and a worker's lease is longer than what it is stopped for.
 */
class OutageBesideFault : public testing::TestWithParam<const char *>
{
};

TEST_P(OutageBesideFault, EndsNoRun)
{
	std::string fault = GetParam();

	for (uint64_t seed = 1; seed <= 5; seed++) {
		LongRunning t(seed);

		t.begin_jobs();
		size_t owner = t.owner();
		t.w.store.leases_paused = true;
		t.w.store_trouble(StoreTrouble::kSilent, kOutage);
		t.run_for(4 * kSimS);
		if (fault == "OwnerIsStopped")
			t.w.freeze(owner, 1800 * kSimMs);
		for (size_t i = 0; i < kDaemons; i++) {
			if (i == owner || fault == "OwnerIsStopped")
				continue;
			if (fault == "WitnessesAreStopped") {
				t.w.freeze(i, 1800 * kSimMs);
				continue;
			}
			t.w.kill(i, false);
			t.w.after(kDown, [&t, i] { t.w.start(i); });
		}
		t.run_to_end();
		EXPECT_EQ(t.lapsed, 0U) << "seed " << seed;
	}
}

INSTANTIATE_TEST_SUITE_P(Faults, OutageBesideFault,
    testing::Values(
	"OwnerIsStopped", "WitnessesAreStopped", "WitnessesRestart"),
    [](const auto &info) { return std::string(info.param); });

/* Others take its work over, so it may not act for as long as in an outage. */
TEST(LongRunningTasks, OwnerThatAloneIsCutOffStopsSoon)
{
	LongRunning t;

	t.begin_jobs();
	size_t cut = t.owner();
	t.w.daemons[cut]->domain = "cut";
	int64_t heals_us = t.w.now + 20 * kSimS;
	t.w.cut_domain("cut", 20 * kSimS);
	t.run_for(3700 * kSimMs);
	while (t.w.now < heals_us) {
		ASSERT_FALSE(t.may_act(cut));
		t.run_for(kSample);
	}
	t.run_to_end();
	EXPECT_EQ(t.lapsed, 0U);
}

/* The daemons' time of day is set forward as the second of two owners ends. */
class ClockSetForward
{
      public:
	explicit ClockSetForward(uint64_t seed) : t(seed, kManyDaemons)
	{
	}

	/* The one that is not cut off, or NULL. */
	struct cp_host *
	owner(bool cut)
	{
		for (auto &d : t.w.daemons) {
			if (!d->up || d->cell == nullptr ||
			    d->cell->pools == nullptr ||
			    (d->domain == "cut") != cut)
				continue;
			if (d->cell->pools->pool != nullptr)
				return d->cell->pools;
		}
		return nullptr;
	}

	size_t
	index_of(const std::string &vm)
	{
		size_t i = 0;

		while (t.w.daemons[i]->vm != vm)
			i++;
		return i;
	}

	/* The owner, two of its witnesses, and the workers with tasks. */
	void
	cut_owner_off()
	{
		const struct cp_host *h = owner(false);
		const struct wt_list *list = &h->permit.stored.list;

		ASSERT_EQ(list->count, 3U);
		for (uint32_t i = 0; i < 2; i++)
			t.w.daemons[index_of(list->witness[i].vm)]->domain =
			    "cut";
		t.w.daemons[index_of(h->cell->settings->vm)]->domain = "cut";
		for (auto &wk : t.w.workers) {
			if (!wk->running.empty())
				wk->domain = "cut";
		}
		t.w.cut_domain("cut", 25 * kSimS);
	}

	void
	play(int64_t step_us)
	{
		t.w.run_until(t.begin + 11 * kSimS);
		if (owner(false) == nullptr)
			return;
		t.begin_without_check();
		cut_owner_off();
		while (owner(false) == nullptr && t.w.now < t.begin + kEnd)
			t.run_for(kSample);
		t.run_for(kSecondOwner);
		struct cp_host *h = owner(false);
		ASSERT_NE(h, nullptr);
		bound_us = h->earlier_owner_until_us;
		t.w.kill(index_of(h->cell->settings->vm), false);
		t.w.wall_step_us += step_us;
		while (owner(false) == nullptr && t.w.now < t.begin + kEnd)
			t.run_for(kSample);
		t.run_for(kSimS);
		h = owner(false);
		ASSERT_NE(h, nullptr);
		next_bound_us = h->earlier_owner_until_us;
		t.run_for(16 * kSimS);
	}

	static constexpr size_t kManyDaemons = 7;
	/* By then its witnesses are daemons that are not cut off. */
	static constexpr int64_t kSecondOwner = 3 * kSimS;
	int64_t bound_us = 0;
	int64_t next_bound_us = 0;
	LongRunning t;
};

TEST(LongRunningTasks, RunOnceThoughTheClockIsSetForwardBetweenOwners)
{
	for (int64_t step_us : {(int64_t)0, 4 * kSimS, 15 * kSimS}) {
		for (uint64_t seed = 1; seed <= 10; seed++) {
			ClockSetForward c(seed);

			c.play(step_us);
			EXPECT_TRUE(c.t.twice.empty())
			    << "seed " << seed << ", step " << step_us / kSimS
			    << " s: " << c.t.twice.size()
			    << ", the next owner's bound is "
			    << (c.bound_us - c.next_bound_us) / kSimMs
			    << " ms earlier";
		}
	}
}

} // namespace
