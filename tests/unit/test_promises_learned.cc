#include <gtest/gtest.h>

#include <algorithm>

#include "sim_cell.h"

extern "C" {
#include "curranttackd/cell_pool.h"
}

/*
 * How the owner of a pool learns of a cancellation that another daemon has
 * acknowledged, while its copy of the key space stands still.
 */

namespace
{

constexpr size_t kDaemons = 3;
constexpr size_t kWorkers = 8;
constexpr size_t kTasks = 6;
constexpr int64_t kWait = 2500 * kSimMs;
/* From the acknowledgement until nothing of the job may run any more. */
constexpr int64_t kCancelled = 3 * kSimS;
constexpr int64_t kStopped = 200 * kSimMs;
/* Of calls to workers. */
constexpr int64_t kLatest = 12500 * kSimMs;
const char kJob[] = "00000000000000a0";

/* LEARNED_SEEDS=FROM-TO plays others. */
std::vector<uint64_t>
seeds()
{
	const char *range = getenv("LEARNED_SEEDS");
	unsigned long from = 1;
	unsigned long to = 60;
	std::vector<uint64_t> list;

	if (range != nullptr && sscanf(range, "%lu-%lu", &from, &to) != 2)
		abort();
	for (unsigned long seed = from; seed <= to; seed++)
		list.push_back(seed);
	return list;
}

static SimOptions
options(uint32_t small_cell)
{
	SimOptions o;

	o.small_cell_daemons = small_cell;
	return o;
}

class Learned : public SimObserver
{
      public:
	explicit Learned(uint64_t seed, uint32_t small_cell = kDaemons)
	    : w(seed, kDaemons, kWorkers, this, options(small_cell))
	{
		w.verbose = getenv("PROMISE_LOG") != nullptr;
	}

	/* Long-running tasks; the watch of the owner hangs at some moment. */
	void
	begin()
	{
		w.run_until(w.now + 3 * kSimS);
		w.call(0, "POST", std::string("/q/") + kJob, "0 1 6", kWait,
		    [](int status, const std::string &) {
			    EXPECT_EQ(status, 200);
		    });
		w.run_until(
		    w.now + 5 * kSimS + (int64_t)w.random(2500) * kSimMs);
		ASSERT_EQ(running(), kTasks);
		ASSERT_LT(owner(), kDaemons);
	}

	void
	cancel(size_t daemon, int expected)
	{
		int got = 0;

		w.call(daemon, "DELETE", std::string("/q/") + kJob, "", kWait,
		    [&](int status, const std::string &) { got = status; });
		while (got == 0)
			w.run_until(w.now + kSimMs);
		ASSERT_EQ(got, expected);
	}

	/* By a daemon that has no link to the owner. */
	void
	cancel_unlinked()
	{
		w.store.put(
		    std::string("ct/cancel/") + kJob, std::string(1, '\0'));
	}

	size_t
	owner()
	{
		for (size_t i = 0; i < kDaemons; i++) {
			const SimDaemon &d = *w.daemons[i];

			if (d.up && d.cell->pools != nullptr &&
			    d.cell->pools->pool != nullptr)
				return i;
		}
		return kDaemons;
	}

	size_t
	running()
	{
		size_t n = 0;

		for (auto &wk : w.workers)
			n += wk->alive ? wk->running.size() : 0;
		return n;
	}

	SimWorld w;
	size_t lapsed = 0;

      private:
	void
	on_start(const SimDaemon &, const SimWorker &, const std::string &,
	    uint32_t) override
	{
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
};

/* The owner went on renewing the runs for as long as its watch hung. */
TEST(LearnedCancellation, OwnerWhoseWatchHangsStopsWhatAnotherDaemonCancelled)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Learned t(seed);

		t.begin();
		size_t owner = t.owner();
		t.w.store_trouble_of(owner, StoreTrouble::kHung, 20 * kSimS);
		t.w.run_until(t.w.now + (int64_t)t.w.random(5000) * kSimMs);
		t.cancel((owner + 1) % kDaemons, 200);
		t.w.run_until(t.w.now + kStopped);
		EXPECT_EQ(t.running(), 0U) << "seed " << seed;
	}
}

/* The first report to the owner was lost with its link. */
TEST(LearnedCancellation, OwnerIsToldAgainWhereTheCallerRepeatsItsRequest)
{
	for (bool knows : {false, true}) {
		Learned t(1);

		t.begin();
		size_t owner = t.owner();
		size_t other = (owner + 1) % kDaemons;
		t.w.store_trouble_of(owner, StoreTrouble::kHung, 20 * kSimS);
		if (!knows)
			t.w.store_trouble_of(
			    other, StoreTrouble::kHung, 20 * kSimS);
		t.w.run_until(t.w.now + 5 * kSimS);
		t.cancel_unlinked();
		t.w.run_until(t.w.now + 400 * kSimMs);
		t.cancel(other, 200);
		t.w.run_until(t.w.now + kStopped);
		EXPECT_EQ(t.running(), 0U) << "known at the other: " << knows;
	}
}

TEST(LearnedCancellation, OwnerWhoseWatchHangsReadsCancellationsOtherwise)
{
	int64_t longest_us = 0;

	for (uint64_t seed = 1; seed <= 40; seed++) {
		Learned t(seed);

		t.begin();
		t.w.store_trouble_of(
		    t.owner(), StoreTrouble::kHung, 20 * kSimS);
		t.w.run_until(t.w.now + (int64_t)t.w.random(5000) * kSimMs);
		t.cancel_unlinked();
		int64_t stored_us = t.w.now;
		while (t.running() > 0 && t.w.now < stored_us + 2 * kCancelled)
			t.w.run_until(t.w.now + 10 * kSimMs);
		longest_us = std::max(longest_us, t.w.now - stored_us);
		EXPECT_EQ(t.running(), 0U) << "seed " << seed;
		EXPECT_EQ(t.lapsed, 0U) << "seed " << seed;
	}
	printf("%lld ms\n", (long long)(longest_us / kSimMs));
	EXPECT_LE(longest_us, kCancelled + kStopped);
}

/* Each time its watch was opened anew, it heard nothing: for 9 s in all. */
TEST(LearnedCancellation, OwnerLearnsInTimeThoughHistoryIsDroppedRepeatedly)
{
	for (bool linked : {false, true}) {
		for (uint64_t seed = 1; seed <= 20; seed++) {
			Learned t(seed);

			t.begin();
			size_t other = (t.owner() + 1) % kDaemons;
			int64_t cancel_us =
			    t.w.now + (int64_t)t.w.random(6000) * kSimMs;
			for (int n = 0; n < 4; n++) {
				t.w.after(2900 * n * kSimMs, [&t] {
					t.w.store_trouble(
					    StoreTrouble::kHung, kSimS);
				});
				t.w.after((2900 * n + 1000) * kSimMs,
				    [&t] { t.w.compact(); });
			}
			t.w.run_until(cancel_us);
			if (linked)
				t.cancel(other, 200);
			else
				t.cancel_unlinked();
			t.w.run_until(
			    t.w.now + (linked ? 0 : kCancelled) + kStopped);
			EXPECT_EQ(t.running(), 0U)
			    << "seed " << seed << ", linked " << linked;
		}
	}
}

/* Each time more had changed, and the answer was asked for again. */
TEST(LearnedCancellation, OwnerWhoseWatchFellBehindCatchesUpOverANarrowLink)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Learned t(seed);

		t.begin();
		size_t owner = t.owner();
		t.w.store_trouble_of(owner, StoreTrouble::kNarrow, 30 * kSimS);
		t.w.store_trouble_of(owner, StoreTrouble::kHung, 4 * kSimS);
		t.w.run_until(t.w.now + 12 * kSimS);
		ASSERT_EQ(t.owner(), owner);
		const struct replica *r = t.w.daemons[owner]->cell->replica;
		EXPECT_LT(rp_copy_age_us(r, t.w.now), kCancelled)
		    << "seed " << seed;
		EXPECT_TRUE(r->has_workers) << "seed " << seed;
		EXPECT_EQ(t.running(), kTasks) << "seed " << seed;
	}
}

/* Faults about the time of a cancellation; returns when the last one is over. */
int64_t
disturb(Learned &t)
{
	SimWorld &w = t.w;
	size_t owner = t.owner() % kDaemons;
	size_t any = w.random(kDaemons);
	size_t worker = w.random(kWorkers);
	int64_t us = (int64_t)(500 + w.random(5000)) * kSimMs;

	switch (w.random(13)) {
	case 0:
		w.kill(owner, w.chance(50));
		w.after(us, [&w, owner] { w.start(owner); });
		return w.now + us;
	case 1:
		w.freeze(owner, us);
		return w.now + us;
	case 2:
		w.compact();
		return w.now;
	case 3:
		w.store_trouble_of(owner, StoreTrouble::kHung, 2 * us);
		return w.now;
	case 4:
		w.store_trouble(StoreTrouble::kHung, us);
		return w.now;
	case 5:
		w.store_trouble_of(owner, StoreTrouble::kSlow, 2 * us);
		return w.now;
	case 6:
		w.store_trouble_of(any, StoreTrouble::kLost, us);
		return w.now + us;
	case 7:
		w.store_trouble_of(any, StoreTrouble::kLate, us);
		return w.now + us + 6 * kSimS;
	case 8:
		w.store_trouble_of(owner, StoreTrouble::kSilent, us);
		return w.now + us;
	case 9:
		w.cut_domain(w.daemons[owner]->domain, us);
		return w.now + us;
	case 10:
		w.crash(worker);
		w.after(us, [&w, worker] { w.revive(worker); });
		return w.now + us;
	case 11:
		w.workers[worker]->domain = "cut";
		w.cut_domain("cut", us);
		return w.now + us;
	default:
		w.late_per_mille = 300;
		w.after(us, [&w] { w.late_per_mille = 0; });
		return w.now + us + kLatest;
	}
}

/* Until a daemon acknowledges it; the same job is handed in again then. */
void
cancel_until_acknowledged(Learned &t)
{
	SimWorld &w = t.w;
	int status = 0;

	for (int n = 0; n < 40 && status != 200; n++) {
		size_t daemon = w.random(kDaemons);

		status = -1;
		w.call(daemon, "DELETE", std::string("/q/") + kJob, "", kWait,
		    [&](int got, const std::string &) { status = got; });
		while (status == -1)
			w.run_until(w.now + kSimMs);
		if (status != 200)
			w.run_until(w.now + 100 * kSimMs);
	}
	EXPECT_EQ(status, 200);
	w.call(w.random(kDaemons), "POST", std::string("/q/") + kJob, "0 1 6",
	    kWait, [](int, const std::string &) {});
}

TEST(LearnedCancellation, NothingRunsOnWhateverHappensAboutTheTime)
{
	for (uint64_t seed : seeds()) {
		Learned t(seed, seed % 2 == 0 ? kDaemons : 0);
		int64_t over_us = 0;

		t.begin();
		for (size_t n = 1 + t.w.random(3); n > 0; n--) {
			over_us = std::max(over_us, disturb(t));
			t.w.run_until(
			    t.w.now + (int64_t)t.w.random(2500) * kSimMs);
		}
		cancel_until_acknowledged(t);
		for (size_t n = t.w.random(3); n > 0; n--) {
			t.w.run_until(
			    t.w.now + (int64_t)t.w.random(1500) * kSimMs);
			over_us = std::max(over_us, disturb(t));
		}
		t.w.run_until(
		    std::max(over_us, t.w.now) + kCancelled + kStopped);
		EXPECT_EQ(t.running(), 0U) << "seed " << seed;
		t.w.run_until(t.w.now + 10 * kSimS);
		EXPECT_EQ(t.running(), 0U) << "seed " << seed << ", later";
	}
}

} // namespace
