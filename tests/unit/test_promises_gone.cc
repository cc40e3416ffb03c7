#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "sim_cell.h"

extern "C" {
#include "curranttackd/cell_pool.h"
}

/* Long-running tasks whose workers end at the same time as owners. */

namespace
{

constexpr size_t kDaemons = 3;
constexpr size_t kWorkers = 8;
constexpr size_t kLostWorkers = 3;
constexpr unsigned int kTasks = 8;
constexpr int64_t kBegin = 12 * kSimS;
constexpr int64_t kDown = 1300 * kSimMs;
constexpr int64_t kSample = 20 * kSimMs;
/* Nothing of an ended worker is waited for once its VM's next one answers. */
constexpr int64_t kSoon = 1500 * kSimMs;

/* The rule asks for a run from 6 s after the last one, for 3 s. */
constexpr int64_t kRule = 9 * kSimS;

class Gone : public testing::Test, public SimObserver
{
      protected:
	void
	begin(uint64_t seed)
	{
		char body[64];

		w.reset();
		since.clear();
		twice.clear();
		longest_us = 0;
		w = std::make_unique<SimWorld>(seed, kDaemons, kWorkers, this);
		w->verbose = getenv("PROMISE_LOG") != nullptr;
		run_for(3 * kSimS);
		snprintf(body, sizeof(body), "1000000000 1 %u %u", kTasks,
		    JB_LONG_RUNNING);
		w->call(0, "POST", "/q/00000000000000a1", body, 2 * kSimS,
		    [](int status, const std::string &) {
			    EXPECT_EQ(status, 200);
		    });
		run_for(kBegin - 3 * kSimS);
		ASSERT_EQ(running().size(), kTasks);
	}

	/* Samples how long tasks are without a run. */
	void
	run_for(int64_t us)
	{
		int64_t end_us = w->now + us;

		while (w->now < end_us) {
			w->run_until(w->now + kSample);
			sample();
		}
	}

	std::set<std::string>
	running()
	{
		std::set<std::string> tasks;

		for (auto &wk : w->workers) {
			for (auto &r : wk->running)
				tasks.insert(r.first);
		}
		return tasks;
	}

	void
	sample()
	{
		for (const std::string &task : running()) {
			if (since.count(task) > 0)
				longest_us =
				    std::max(longest_us, w->now - since[task]);
			since[task] = w->now;
		}
		for (auto &s : since)
			longest_us = std::max(longest_us, w->now - s.second);
	}

	/* The workers with the most runs. */
	std::vector<size_t>
	busiest(size_t count)
	{
		std::vector<size_t> list;

		for (size_t i = 0; i < w->workers.size(); i++) {
			if (w->workers[i]->alive)
				list.push_back(i);
		}
		std::stable_sort(
		    list.begin(), list.end(), [this](size_t a, size_t b) {
			    return w->workers[a]->running.size() >
				w->workers[b]->running.size();
		    });
		list.resize(std::min(count, list.size()));
		return list;
	}

	/* All daemons and some workers; the VMs return with other workers. */
	void
	lose_power()
	{
		for (size_t i = 0; i < kDaemons; i++) {
			w->kill(i, false);
			w->after(kDown, [this, i] { w->start(i); });
		}
		for (size_t i : busiest(kLostWorkers)) {
			w->crash(i);
			w->after(kDown - (int64_t)w->random(800) * kSimMs,
			    [this, i] { w->begin_on_vm_of(i); });
		}
	}

	const struct cp_host *
	owner_of(const SimDaemon &d)
	{
		if (!d.up || d.cell == nullptr || d.cell->pools == nullptr)
			return nullptr;
		return d.cell->pools->pool != nullptr ? d.cell->pools : nullptr;
	}

	size_t
	owner()
	{
		for (size_t i = 0; i < kDaemons; i++) {
			if (owner_of(*w->daemons[i]) != nullptr)
				return i;
		}
		return kDaemons;
	}

	void
	on_start(const SimDaemon &, const SimWorker &wk,
	    const std::string &task, uint32_t) override
	{
		for (auto &other : w->workers) {
			if (other->id != wk.id && other->alive &&
			    other->running.count(task) > 0)
				twice.push_back(
				    task + " on " + wk.id + ", " + other->id);
		}
	}

	void
	on_end(const SimWorker &, const std::string &, uint32_t,
	    enum wp_run_outcome) override
	{
	}

	void
	on_noted(const std::string &, uint32_t, enum wp_run_outcome) override
	{
	}

	std::unique_ptr<SimWorld> w;
	std::map<std::string, int64_t> since; /* when it last ran */
	int64_t longest_us = 0;
	std::vector<std::string> twice;
};

TEST_F(Gone, TasksDoNotWaitForWorkersWhoseVmsShowLaterOnes)
{
	for (uint64_t seed = 1; seed <= 8; seed++) {
		begin(seed);
		for (int n = 0; n < 4; n++) {
			run_for(2 * kSimS + (int64_t)w->random(5000) * kSimMs);
			lose_power();
		}
		run_for(20 * kSimS);
		printf("seed %llu: %lld ms\n", (unsigned long long)seed,
		    (long long)(longest_us / kSimMs));
		EXPECT_EQ(running().size(), kTasks);
		EXPECT_LE(longest_us, kDown + kSoon) << "seed " << seed;
		EXPECT_TRUE(twice.empty()) << "seed " << seed;
	}
}

/* The next owner waits for a lease or so; the one after, not once more. */
TEST_F(Gone, OwnerDoesNotWaitAnewForAWorkerThatTheLastOneNeverReached)
{
	for (int64_t alive_ms : {800, 1000, 1500, 2000}) {
		begin(1);
		size_t first = owner();
		size_t worker = busiest(1)[0];

		w->crash(worker);
		w->kill(first, true);
		w->after(kDown, [this, first] { w->start(first); });
		int64_t lost_us = w->now;

		while (owner() == kDaemons || owner() == first)
			run_for(kSample);
		int64_t claimed_us = w->now;

		run_for(alive_ms * kSimMs);
		w->kill(owner(), true);
		run_for(20 * kSimS);
		printf("%lld ms after its claim at %lld ms: %lld ms\n",
		    (long long)alive_ms,
		    (long long)((claimed_us - lost_us) / kSimMs),
		    (long long)(longest_us / kSimMs));
		EXPECT_EQ(running().size(), kTasks);
		EXPECT_LE(longest_us, kRule) << alive_ms << " ms";
		EXPECT_TRUE(twice.empty()) << alive_ms << " ms";
	}
}

} // namespace
