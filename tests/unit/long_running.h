#ifndef TESTS_UNIT_LONG_RUNNING_H
#define TESTS_UNIT_LONG_RUNNING_H

#include <gtest/gtest.h>

#include <algorithm>

#include "sim_cell.h"

extern "C" {
#include "curranttackd/cell_pool.h"
}

/* Long-running tasks in a simulated cell, and for how long they don't run. */

inline constexpr size_t kDaemons = 3;
inline constexpr size_t kWorkers = 8;
inline constexpr size_t kTasks = 8;
inline constexpr int64_t kFault = 12 * kSimS;
inline constexpr int64_t kEnd = 34 * kSimS;
inline constexpr int64_t kWait = 2500 * kSimMs;
inline constexpr int64_t kSample = 10 * kSimMs;
/* A run has to follow within 9 s of the end of the last one. */
inline constexpr int64_t kMaxWithoutRun = 9 * kSimS;

class LongRunning : public SimObserver
{
      public:
	explicit LongRunning(uint64_t seed = 1, size_t daemons = kDaemons,
	    size_t workers = kWorkers, const SimOptions &options = {})
	    : w(seed, daemons, workers, this, options), begin(w.now)
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
		ASSERT_NE(owner(), w.daemons.size());
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

	/* Index of the daemon that owns the pool; their number if none does. */
	size_t
	owner()
	{
		size_t i = 0;

		while (i < w.daemons.size() && host(i) == nullptr)
			i++;
		return i;
	}

	/* The one with the most tasks, for good and without an answer. */
	void
	lose_worker()
	{
		size_t most = 0;

		for (size_t i = 0; i < w.workers.size(); i++) {
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

      protected:
	void
	submit(const std::string &id, const std::string &body)
	{
		w.call(0, "POST", "/q/" + id, body, kWait,
		    [](int status, const std::string &) {
			    EXPECT_EQ(status, 200);
		    });
	}

	virtual void
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

#endif
