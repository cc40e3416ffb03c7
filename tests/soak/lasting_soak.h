#ifndef TESTS_SOAK_LASTING_SOAK_H
#define TESTS_SOAK_LASTING_SOAK_H

/* A cell whose daemons and workers fail under long-running tasks. */

#include <gtest/gtest.h>

#include <algorithm>

#include "lasting_runs.h"
#include "load.h"
#include "seeded_cell.h"

constexpr int kDaemons = 4;
constexpr uint32_t kManyWorkers = 8;
constexpr int kShortJobs = 120;
constexpr int kFirstShortJob = 1000;
constexpr int kLastingMs = 600000;
constexpr int kExpiryMs = 4500; /* three heartbeats */
constexpr int kDaemonsAreDownMs = 1300;
constexpr int kOutageMs = 9000;
constexpr int64_t kTakeoverMs = 10000;
/* Runs that have begun are seen to stay. */
constexpr int kStayMs = 1000;

inline int64_t
now_ms()
{
	return load_now_us() / 1000;
}

class LastingSoak : public SeededCell
{
      protected:
	LastingSoak()
	{
		worker_count = kManyWorkers;
		doors = kDaemons;
	}

	void
	SetUp() override
	{
		SeededCell::SetUp();
		http("POST",
		    control + "/_expiry?ms=" + std::to_string(kExpiryMs));
		http("POST", control + "/_age?ms=" + std::to_string(age_ms));
		start_daemons(daemon_count);
		/* Daemons learn of each other through the store. */
		pause_ms(1000);
	}

	size_t
	first_running()
	{
		for (size_t d = 0; d < daemons.size(); d++) {
			if (daemons[d]->pid > 0)
				return d;
		}
		return 0;
	}

	Response
	submit_tasks(int n, int tasks, int work_ms, int cpu, bool lasts)
	{
		std::string step = "{\"count\":" + std::to_string(tasks) +
		    ",\"cpu\":" + std::to_string(cpu) +
		    ",\"mem_mb\":10,\"estimate_ms\":" +
		    std::to_string(work_ms) +
		    (lasts ? ",\"long_running\":true}" : "}");

		return call("POST", first_running(),
		    (lasts ? lasting_prefix : "/q/") + job_id(n),
		    "{\"spec\":\"" + std::to_string(work_ms) + " " +
			std::to_string(cpu) + " \",\"steps\":[" + step + "]}");
	}

	void
	submit_lasting(const std::vector<int> &counts, int cpu)
	{
		for (int count : counts) {
			EXPECT_EQ(submit_tasks(++lasting_jobs, count,
				      kLastingMs, cpu, true)
				      .status,
			    200);
			lasting_tasks += count;
		}
		ASSERT_TRUE(eventually(
		    [&] { return open_runs().size() == lasting_tasks; }));
	}

	void
	fill_pool(int work_ms)
	{
		int64_t before = reported("running");

		for (int n = 0; n < kShortJobs; n++)
			EXPECT_EQ(submit_tasks(kFirstShortJob + n, 20, work_ms,
				      500, false)
				      .status,
			    200);
		EXPECT_TRUE(eventually(
		    [&] { return reported("running") >= before + 30; }));
	}

	/* A job of six tasks and two of one; others fill the pool or don't. */
	void
	begin()
	{
		submit_lasting({6, 1, 1}, 400);
		if (GetParam() % 2 == 1)
			fill_pool(1500 + below(7500));
		pause_ms(2000 + below(1000));
	}

	static int64_t
	number_at(const json_t *row, size_t i)
	{
		return json_integer_value(json_array_get(row, i));
	}

	/* Runs of a job, or of all. */
	std::vector<LastingRun>
	runs_of(const std::string &job)
	{
		Json answer = http("GET", control + "/_runs?job=" + job).json();
		std::vector<LastingRun> runs;
		json_t *row;
		size_t i;

		json_array_foreach(
		    json_object_get(answer.get(), "runs"), i, row) {
			LastingRun r;

			r.task = json_string_value(json_array_get(row, 0));
			r.worker = json_string_value(json_array_get(row, 2));
			r.began_ms = number_at(row, 3);
			r.ended_ms = number_at(row, 4);
			r.how = json_string_value(json_array_get(row, 5));
			r.run = (int)number_at(row, 1);
			r.stops = (int)number_at(row, 6);
			r.stop_ms = number_at(row, 7);
			r.renewed_by = (int)number_at(row, 8);
			r.renewed_ms = number_at(row, 9);
			r.is_late = json_is_true(json_array_get(row, 10));
			runs.push_back(r);
		}
		return runs;
	}

	std::vector<LastingRun>
	lasting_runs()
	{
		std::vector<LastingRun> all;

		for (int n = 1; n <= lasting_jobs; n++) {
			std::vector<LastingRun> some = runs_of(job_id(n));

			all.insert(all.end(), some.begin(), some.end());
		}
		return all;
	}

	std::vector<LastingRun>
	open_runs()
	{
		std::vector<LastingRun> runs = lasting_runs();

		runs.erase(std::remove_if(runs.begin(), runs.end(),
			       [](auto &r) { return r.ended_ms != 0; }),
		    runs.end());
		return runs;
	}

	/* "w-3" is worker 3, "w-3-1" the one after it on its VM. */
	static uint32_t
	number_of(const LastingRun &r)
	{
		return (uint32_t)atoi(r.worker.c_str() + strlen("w-"));
	}

	/* Workers, those with most long-running tasks first. */
	std::vector<uint32_t>
	workers_by_load()
	{
		std::vector<uint32_t> workers;
		std::vector<int> load(kManyWorkers);

		for (const LastingRun &r : open_runs())
			load[number_of(r)]++;
		for (uint32_t w = 0; w < kManyWorkers; w++)
			workers.push_back(w);
		std::shuffle(workers.begin(), workers.end(), random);
		std::stable_sort(workers.begin(), workers.end(),
		    [&](uint32_t a, uint32_t b) { return load[a] > load[b]; });
		return workers;
	}

	void
	crash(uint32_t worker)
	{
		set_worker(worker, true, true);
	}

	/* Calls that are sent meanwhile arrive after its return. */
	void
	crash_and_keep_calls(uint32_t worker)
	{
		http("POST", control + "/_worker",
		    "{\"worker\":" + std::to_string(worker) +
			",\"off\":true,\"reborn\":true,\"retry_ms\":" +
			std::to_string(700 + below(2000)) + "}");
	}

	/* The worker is back, or another one on its VM. */
	void
	return_worker(uint32_t worker, bool renamed)
	{
		http("POST", control + "/_worker",
		    "{\"worker\":" + std::to_string(worker) +
			",\"off\":false,\"" + (renamed ? "renamed" : "reborn") +
			"\":true}");
	}

	void
	cut_off_from_store(size_t daemon, int for_ms)
	{
		inject_fault("{\"target\":\"store-" + std::to_string(daemon) +
		    "\",\"kind\":\"down\",\"for_ms\":" +
		    std::to_string(for_ms) + "}");
	}

	/* Of its newest term. */
	int
	fence_of(size_t daemon)
	{
		std::string text = daemons[daemon]->log_text();
		std::string key = " fence=";

		return atoi(text.c_str() +
		    text.find(key, text.rfind("event=owner ")) + key.size());
	}

	/* The returned time is that of the fault. */
	int64_t
	kill_daemon(size_t daemon)
	{
		int64_t at_ms = now_ms();

		daemons[daemon]->end(SIGKILL);
		return at_ms;
	}

	void
	kill_all()
	{
		for (auto &d : daemons)
			d->signal(SIGKILL);
		for (auto &d : daemons)
			d->end(SIGKILL);
	}

	void
	note_fault(int64_t from_ms, int64_t to_ms)
	{
		faults.push_back({from_ms, to_ms});
	}

	void
	lose_power(const std::vector<uint32_t> &without_power)
	{
		for (uint32_t w : without_power)
			crash(w);
		kill_all();
		pause_ms(kDaemonsAreDownMs);
	}

	void
	stop_owner_and_crash()
	{
		uint32_t worker = workers_by_load()[0];
		int64_t at_ms = now_ms();

		daemons[owner()]->signal(SIGTERM);
		pause_below(600);
		crash(worker);
		note_fault(at_ms, now_ms());
	}

	void
	lose_power_four_times()
	{
		for (int n = 0; n < 4; n++) {
			std::vector<uint32_t> dead = workers_by_load();
			int64_t at_ms = now_ms();

			dead.resize(3);
			lose_power(dead);
			for (auto &d : daemons)
				d->start();
			for (uint32_t w : dead)
				return_worker(w, below(2) == 0);
			note_fault(at_ms, now_ms());
			pause_ms(n < 3 ? 2000 + below(5000) : 0);
		}
	}

	/* Until each long-running task has a run that stays, or too long. */
	void
	await_runs()
	{
		int64_t for_ms = 1000 * number_from("SOAK_SECONDS", 20);

		eventually(
		    [&] {
			    if (open_runs().size() < lasting_tasks)
				    return false;
			    pause_ms(kStayMs);
			    return open_runs().size() == lasting_tasks;
		    },
		    for_ms);
	}

	void
	judge()
	{
		LastingJudgement j =
		    judge_lasting_runs(lasting_runs(), faults, now_ms());

		std::cout << "seed " << GetParam() << ": without a run for "
			  << j.longest_ms << " ms, " << j.lost.size()
			  << " lost, " << faults.size() << " faults, "
			  << takeovers() << " owners\n";
		for (const std::string &line : j.lost)
			ADD_FAILURE() << "LOST: " << line;
		for (const std::string &line : j.twice)
			ADD_FAILURE() << "TWICE: " << line;
		expect_no_violations();
	}

	void
	await_and_judge()
	{
		await_runs();
		judge();
	}

	void
	await_the_end_of_an_outage()
	{
		inject_fault(
		    "{\"target\":\"store\",\"kind\":\"down\",\"for_ms\":" +
		    std::to_string(kOutageMs) + "}");
		pause_ms(kOutageMs + 4000);
		for (const LastingRun &r : runs_of(""))
			EXPECT_NE(r.how, "lapsed")
			    << r.task << " on " << r.worker;
		EXPECT_EQ(open_runs().size(), lasting_tasks);
		judge();
	}

	/* A new owner waits longer for workers that may have restarted. */
	int age_ms = 60000;
	int daemon_count = kDaemons;
	std::string lasting_prefix = "/q/";
	std::vector<FaultSpan> faults;
	int lasting_jobs = 0;
	size_t lasting_tasks = 0;
};

#endif
