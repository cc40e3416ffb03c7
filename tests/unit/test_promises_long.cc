#include <gtest/gtest.h>

#include <algorithm>

#include "sim_cell.h"

extern "C" {
#include "curranttackd/cell_pool.h"
}

/*
 * Long-running tasks whose worker ends together with daemons, and tasks that
 * must go on while the store is unavailable.
 */

namespace
{

constexpr size_t kDaemons = 3;
constexpr size_t kWorkers = 8;
constexpr size_t kTasks = 8;
constexpr int64_t kFault = 12 * kSimS;
constexpr int64_t kEnd = 34 * kSimS;
constexpr int64_t kWait = 2500 * kSimMs;
constexpr int64_t kSample = 10 * kSimMs;
/* A run has to follow within 9 s of the end of the last one. */
constexpr int64_t kMaxWithoutRun = 9 * kSimS;
constexpr int64_t kOutage = 9 * kSimS;
/* Daemons that return after a loss of power. */
constexpr int64_t kDown = 1300 * kSimMs;

class LongRunning : public SimObserver
{
      public:
	explicit LongRunning(uint64_t seed = 1, size_t daemons = kDaemons)
	    : w(seed, daemons, kWorkers, this), begin(w.now)
	{
		w.verbose = getenv("PROMISE_LOG") != nullptr;
	}

	/* Until shortly before the first fault, with all tasks running. */
	void
	begin_jobs()
	{
		w.run_until(begin + 3 * kSimS);
		submit("00000000000000a0", "0 1 6");
		submit("00000000000000a1", "0 1 1");
		submit("00000000000000a2", "0 1 1");
		w.run_until(begin + kFault);
		for (const std::string &task : tasks)
			without_since[task] = 0;
		ASSERT_EQ(tasks.size(), kTasks);
		ASSERT_NE(owner(), kDaemons);
	}

	void
	begin_without_check()
	{
		submit("00000000000000a0", "0 1 6");
		submit("00000000000000a1", "0 1 1");
		w.run_until(w.now + 3 * kSimS);
	}

	void
	run_for(int64_t us)
	{
		int64_t until_us = w.now + us;

		while (w.now < until_us) {
			w.run_until(w.now + kSample);
			sample();
		}
	}

	void
	run_to_end()
	{
		run_for(begin + kEnd - w.now);
		for (const std::string &task : tasks)
			EXPECT_TRUE(is_running(task)) << task;
		EXPECT_TRUE(twice.empty())
		    << twice.size() << ", " << twice.front();
	}

	const struct cp_host *
	host(size_t daemon)
	{
		const SimDaemon &d = *w.daemons[daemon];

		if (!d.up || d.cell == nullptr || d.cell->pools == nullptr)
			return nullptr;
		return d.cell->pools->pool != nullptr ? d.cell->pools : nullptr;
	}

	bool
	may_act(size_t daemon)
	{
		const struct cp_host *h = host(daemon);

		return h != nullptr &&
		    w.now <=
		    wt_may_act_until_us(&h->permit, h->lease_confirmed_us);
	}

	/* Index of the daemon that owns the pool; kDaemons if none does. */
	size_t
	owner()
	{
		for (size_t i = 0; i < kDaemons; i++) {
			if (host(i) != nullptr)
				return i;
		}
		return kDaemons;
	}

	/* The one with the most tasks, for good and without an answer. */
	void
	lose_worker()
	{
		size_t most = 0;

		for (size_t i = 0; i < kWorkers; i++) {
			if (w.workers[i]->running.size() >
			    w.workers[most]->running.size())
				most = i;
		}
		ASSERT_GT(w.workers[most]->running.size(), 0U);
		w.workers[most]->domain = "silent";
		w.cut_domain("silent", 1000 * kSimS);
		w.crash(most);
	}

	bool
	is_running(const std::string &task)
	{
		return std::any_of(
		    w.workers.begin(), w.workers.end(), [&](const auto &wk) {
			    return wk->alive && wk->running.count(task) > 0;
		    });
	}

	SimWorld w;
	int64_t begin;
	int64_t longest_without_run_us = 0;
	size_t lapsed = 0;
	std::vector<std::string> twice;

      private:
	void
	submit(const std::string &id, const std::string &body)
	{
		w.call(0, "POST", "/q/" + id, body, kWait,
		    [](int status, const std::string &) {
			    EXPECT_EQ(status, 200);
		    });
	}

	void
	sample()
	{
		for (auto &row : without_since) {
			if (is_running(row.first)) {
				row.second = 0;
				continue;
			}
			if (row.second == 0)
				row.second = w.now - kSample;
			longest_without_run_us = std::max(
			    longest_without_run_us, w.now - row.second);
		}
	}

	void
	on_start(const SimDaemon &, const SimWorker &wk,
	    const std::string &task, uint32_t) override
	{
		tasks.insert(task);
		for (auto &other : w.workers) {
			if (other->id != wk.id && other->alive &&
			    other->running.count(task) > 0)
				twice.push_back(task + " on " + wk.id +
				    " beside " + other->id);
		}
	}

	void
	on_end(const SimWorker &, const std::string &, uint32_t,
	    enum wp_run_outcome outcome) override
	{
		lapsed += outcome == WP_END_LEASE_EXPIRED;
	}

	void
	on_noted(const std::string &, uint32_t, enum wp_run_outcome) override
	{
	}

	std::set<std::string> tasks;
	std::map<std::string, int64_t> without_since;
};

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
