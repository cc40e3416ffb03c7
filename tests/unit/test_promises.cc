#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "sim_cell.h"

/*
 * Random schedules of jobs and disruptions against three daemons, checked only
 * by what callers and workers are told. PROMISE_SEEDS=FROM-TO plays others,
 * PROMISE_LOG=1 prints what the daemons log.
 */

namespace
{

constexpr size_t kDaemons = 3;
constexpr size_t kWorkers = 6;
constexpr int64_t kFirstJob = 3 * kSimS;
constexpr int64_t kHealed = 26 * kSimS;
/* An owner may be unconfirmed for 10 s; workers' leases are longer by 3.4 s. */
constexpr int64_t kEnd = kHealed + 40 * kSimS;
constexpr int64_t kWait = 2500 * kSimMs;
constexpr int64_t kContact = 3 * kSimS;
constexpr int64_t kCancel = 3 * kSimS;
constexpr int64_t kShownSlack = 1 * kSimS;
constexpr int64_t kNever = 0;

/* What callers were told of a job. */
struct Job {
	std::string id;
	std::string body;
	int64_t accepted_us = kNever;
	int64_t completed_us = kNever;
	int64_t cancelled_us = kNever; /* acknowledged with 200 or 410 */
	bool cancel_sent = false;
	uint32_t open = 0; /* attempts without a certain answer */
	uint32_t refused = 0;
	uint32_t submitted = 0;
	bool started = false;
};

/* What is known of a task from its workers. */
struct Task {
	std::map<std::string, uint32_t> running; /* by worker */
	bool noted_done = false;
};

class Schedule : public SimObserver
{
      public:
	explicit Schedule(uint64_t seed)
	    : w(seed, kDaemons, kWorkers, this), begin(w.now)
	{
		w.verbose = getenv("PROMISE_LOG") != nullptr;
	}

	std::vector<std::string>
	play()
	{
		plan_jobs();
		plan_disruptions();
		at(kHealed, [this] {
			note("healed");
			w.heal();
		});
		w.run_until(begin + kEnd);
		check_accepted();
		return broken;
	}

	/* Calls to workers are carried out late, even by later lives. */
	void
	make_calls_late(uint32_t per_mille)
	{
		w.late_per_mille = per_mille;
		at(kHealed, [this] { w.late_per_mille = 0; });
	}

	std::vector<std::string> notes;

      private:
	void
	at(int64_t us, std::function<void()> action)
	{
		w.after(begin + us - w.now, std::move(action));
	}

	void
	note(const std::string &text)
	{
		char line[160];

		snprintf(line, sizeof(line), "%7.3f %s",
		    (double)(w.now - begin) / (double)kSimS, text.c_str());
		notes.push_back(line);
		if (w.verbose)
			fprintf(stderr, "--- %s\n", line);
	}

	void
	breaks(const std::string &rule, const std::string &text)
	{
		note(rule + ": " + text);
		broken.push_back(rule + ": " + text);
	}

	/* --- callers --- */

	size_t
	any_daemon()
	{
		return w.random(kDaemons);
	}

	std::string
	path(const Job &job)
	{
		return "/q/" + job.id;
	}

	void
	submit(const std::string &id, size_t daemon, uint32_t tries)
	{
		Job &job = jobs[id];

		job.submitted++;
		job.open++;
		w.call(daemon, "POST", path(job), job.body, kWait,
		    [=](int status, const std::string &) {
			    on_submitted(id, status, tries);
		    });
	}

	void
	on_submitted(const std::string &id, int status, uint32_t tries)
	{
		Job &job = jobs[id];

		note(id.substr(12) + " POST " + std::to_string(status));
		if (status == 200 || status == 503)
			job.open--;
		if (status == 200 && job.accepted_us == kNever) {
			job.accepted_us = w.now;
			return;
		}
		if (status == 200)
			return;
		if (status == 503) {
			job.refused++;
			if (job.started && job.open == 0 &&
			    job.refused == job.submitted)
				breaks("REFUSED", id + " runs");
		}
		if (tries == 0 || job.cancel_sent)
			return;
		if (w.chance(40))
			cancel(id, any_daemon());
		else
			w.after((int64_t)(200 + w.random(1500)) * kSimMs,
			    [=] { submit(id, any_daemon(), tries - 1); });
	}

	void
	cancel(const std::string &id, size_t daemon)
	{
		Job &job = jobs[id];

		job.cancel_sent = true;
		w.call(daemon, "DELETE", path(job), "", kWait,
		    [=](int status, const std::string &) {
			    note(id.substr(12) + " DELETE " +
				std::to_string(status));
			    if ((status == 200 || status == 410) &&
				jobs[id].cancelled_us == kNever)
				    jobs[id].cancelled_us = w.now;
		    });
	}

	void
	query(const std::string &id)
	{
		size_t daemon = any_daemon();

		w.call(daemon, "GET", path(jobs[id]), "", kWait,
		    [=](int status, const std::string &state) {
			    on_state(id, daemon, status, state);
		    });
		w.after((int64_t)(300 + w.random(700)) * kSimMs,
		    [=] { query(id); });
	}

	void
	on_state(const std::string &id, size_t daemon, int status,
	    const std::string &state)
	{
		Job &job = jobs[id];

		if (status == 410 && job.accepted_us != kNever &&
		    !job.cancel_sent && w.now > job.accepted_us + kContact &&
		    w.is_in_touch(*w.daemons[daemon]))
			breaks("LOST", id + " is shown as unknown");
		if (status != 200 || state != "completed" ||
		    job.completed_us != kNever)
			return;
		job.completed_us = w.now;
		note(id.substr(12) + " is shown as completed");
	}

	void
	plan_jobs()
	{
		for (uint32_t n = 0; n < 12; n++) {
			char id[32];
			int64_t work_us =
			    (int64_t)(200 + w.random(2500)) * kSimMs;

			snprintf(id, sizeof(id), "%016x", 0xa0 + n);
			Job &job = jobs[id];
			job.id = id;
			job.body = std::to_string(work_us) + " " +
			    std::to_string(1 + w.random(3)) + " " +
			    std::to_string(1 + w.random(3));
			int64_t from_us =
			    kFirstJob + (int64_t)w.random(16 * 1000) * kSimMs;
			std::string name = id;

			at(from_us, [=] { submit(name, any_daemon(), 3); });
			at(from_us + kSimS, [=] { query(name); });
			if (w.chance(15))
				at(from_us + (int64_t)w.random(4000) * kSimMs,
				    [=] { cancel(name, any_daemon()); });
		}
	}

	/* --- disruptions --- */

	int64_t
	span(int64_t from_ms, int64_t to_ms)
	{
		return (from_ms +
			   (int64_t)w.random((uint64_t)(to_ms - from_ms))) *
		    kSimMs;
	}

	void
	lose_power(const std::string &domain, bool workers_too)
	{
		for (auto &d : w.daemons) {
			size_t index = d->index;

			if (!domain.empty() && d->domain != domain)
				continue;
			w.kill(index, true);
			w.after(span(800, 3500), [=] { w.start(index); });
		}
		for (size_t i = 0; i < kWorkers && workers_too; i++) {
			if (!domain.empty() && w.workers[i]->domain != domain)
				continue;
			w.crash(i);
			w.after(span(800, 3500), [=] { w.revive(i); });
		}
	}

	void
	store_down()
	{
		StoreTrouble kind =
		    w.chance(50) ? StoreTrouble::kSilent : StoreTrouble::kBusy;
		int64_t us = span(500, 5000);

		w.store.leases_paused = w.chance(50);
		note("store down for " + std::to_string(us / kSimMs) + " ms");
		w.store_trouble(kind, us);
	}

	void
	store_slow()
	{
		int64_t us = span(1000, 5000);

		note("store slow for " + std::to_string(us / kSimMs) + " ms");
		w.store_trouble(StoreTrouble::kSlow, us);
	}

	void
	store_loses_answers()
	{
		StoreTrouble kind =
		    w.chance(60) ? StoreTrouble::kLate : StoreTrouble::kLost;
		int64_t us = span(500, 4000);
		size_t daemon = any_daemon();
		bool all = w.chance(30);

		note(
		    std::string(kind == StoreTrouble::kLate ? "late" : "lost") +
		    " writes of " + (all ? "all" : w.daemons[daemon]->vm) +
		    " for " + std::to_string(us / kSimMs) + " ms");
		if (all)
			w.store_trouble(kind, us);
		else
			w.store_trouble_of(daemon, kind, us);
	}

	void
	history_lost()
	{
		note("history lost");
		w.compact();
	}

	/* It turns slow, drops its history and goes down while it is read. */
	void
	store_fails()
	{
		store_slow();
		w.after(span(0, 1000), [this] { history_lost(); });
		w.after(span(1000, 3000), [this] { store_down(); });
	}

	void
	domain_cut()
	{
		std::string domain = w.daemons[any_daemon()]->domain;
		int64_t us = span(1000, 6000);

		note("domain " + domain + " cut for " +
		    std::to_string(us / kSimMs) + " ms");
		w.cut_domain(domain, us);
	}

	void
	power_lost()
	{
		std::string domain =
		    w.chance(40) ? "" : w.daemons[any_daemon()]->domain;
		bool workers = w.chance(60);

		note("power lost in " + (domain.empty() ? "all" : domain) +
		    (workers ? " with workers" : ""));
		lose_power(domain, workers);
	}

	void
	worker_crash()
	{
		size_t i = w.random(kWorkers);

		note(w.workers[i]->id + " crashes");
		w.crash(i);
		w.after(span(500, 4000), [=] { w.revive(i); });
	}

	void
	daemon_killed()
	{
		size_t i = any_daemon();

		note(w.daemons[i]->vm + " killed");
		w.kill(i, false);
		w.after(span(200, 1500), [=] { w.start(i); });
	}

	void
	daemon_frozen()
	{
		size_t i = any_daemon();
		int64_t us = span(500, 12000);

		note(w.daemons[i]->vm + " frozen for " +
		    std::to_string(us / kSimMs) + " ms");
		w.freeze(i, us);
	}

	void
	disrupt()
	{
		switch (w.random(14)) {
		case 0:
		case 1:
			return store_down();
		case 2:
			return store_slow();
		case 3:
		case 4:
			return store_loses_answers();
		case 5:
			return history_lost();
		case 6:
			return domain_cut();
		case 7:
		case 8:
			return power_lost();
		case 9:
			return worker_crash();
		case 10:
			return daemon_killed();
		case 11:
		case 12:
			return store_fails();
		default:
			return daemon_frozen();
		}
	}

	/* Most follow closely on one another. */
	void
	plan_disruptions()
	{
		uint64_t count = 2 + w.random(6);
		int64_t us = 4 * kSimS + span(0, 8000);

		for (uint64_t n = 0; n < count; n++) {
			at(us, [this] { disrupt(); });
			us += w.chance(75) ? span(0, 2000) : span(2000, 6000);
			us = std::min(us, kHealed - 100 * kSimMs);
		}
	}

	/* --- what is seen --- */

	static std::string
	job_of(const std::string &task)
	{
		return task.substr(0, JB_ID_LENGTH);
	}

	bool
	is_on(const std::string &worker, const std::string &task, uint32_t run)
	{
		for (auto &wk : w.workers) {
			if (wk->id == worker)
				return wk->alive &&
				    wk->running.count(task) > 0 &&
				    wk->running[task].run == run;
		}
		return false;
	}

	void
	on_start(const SimDaemon &d, const SimWorker &wk,
	    const std::string &task, uint32_t run) override
	{
		Job &job = jobs[job_of(task)];
		Task &t = tasks[task];
		std::string text = task + " run " + std::to_string(run) +
		    " on " + wk.id + " by " + d.vm;

		if (w.verbose)
			note("starts " + text);
		for (auto &other : t.running) {
			if (other.first != wk.id &&
			    is_on(other.first, task, other.second))
				breaks("TWICE",
				    text + " beside " +
					std::to_string(other.second) + " on " +
					other.first);
		}
		t.running[wk.id] = run;
		job.started = true;
		if (t.noted_done)
			breaks("TWICE", text + ", done before");
		if (job.completed_us != kNever &&
		    w.now > job.completed_us + kShownSlack && w.is_in_touch(d))
			breaks("TWICE", text + ", shown as completed");
		if (job.cancelled_us != kNever &&
		    w.now > job.cancelled_us + kCancel && w.is_in_touch(d))
			breaks("UNASKED", text + ", cancelled");
		if (job.open == 0 && job.submitted > 0 &&
		    job.refused == job.submitted)
			breaks("REFUSED", text);
	}

	void
	on_end(const SimWorker &wk, const std::string &task, uint32_t run,
	    enum wp_run_outcome outcome) override
	{
		if (tasks[task].running[wk.id] == run)
			tasks[task].running.erase(wk.id);
		if (w.verbose)
			note("ends " + task + " run " + std::to_string(run) +
			    " on " + wk.id + " outcome " +
			    std::to_string(outcome));
	}

	void
	on_noted(const std::string &task, uint32_t,
	    enum wp_run_outcome outcome) override
	{
		tasks[task].noted_done |= outcome == WP_END_DONE;
	}

	void
	on_unasked(const std::string &text) override
	{
		breaks("UNASKED", text);
	}

	void
	check_accepted()
	{
		for (auto &j : jobs) {
			const Job &job = j.second;

			if (job.accepted_us != kNever && !job.cancel_sent &&
			    job.completed_us == kNever)
				breaks("LOST", job.id + " was never completed");
		}
	}

	SimWorld w;
	int64_t begin;
	std::map<std::string, Job> jobs;
	std::map<std::string, Task> tasks;
	std::vector<std::string> broken;
};

std::string
play(uint64_t seed, uint32_t late_per_mille = 0)
{
	Schedule s(seed);
	std::string text;

	if (late_per_mille > 0)
		s.make_calls_late(late_per_mille);

	for (const std::string &line : s.play())
		text += line + "\n";
	if (text.empty())
		return text;
	text += "schedule of seed " + std::to_string(seed) + ":\n";
	for (const std::string &line : s.notes)
		text += line + "\n";
	return text;
}

/*
 * Each seed breaks its rule without the fix that it guards: marks of an
 * abandoned load kept, and no owner's key read again (LOST); ends shown that
 * are not stored (TWICE); 410 to a cancellation without a tombstone (UNASKED).
 */
TEST(Promises, WhatEarlierFaultsBrokeHolds)
{
	for (unsigned int seed : {58, 116, 129, 1127, 27, 276})
		EXPECT_EQ(play(seed), "") << "seed " << seed;
}

/* Restarted workers carry out what was meant for their earlier lives. */
TEST(Promises, WhatIsToldHoldsThoughCallsToWorkersAreLate)
{
	for (unsigned int seed = 1; seed <= 60; seed++)
		EXPECT_EQ(play(seed, 20), "") << "seed " << seed;
}

TEST(Promises, WhatIsToldHoldsUnderRandomDisruptions)
{
	const char *range = getenv("PROMISE_SEEDS");
	unsigned int from = 1;
	unsigned int to = 200;

	if (range != nullptr) {
		ASSERT_EQ(sscanf(range, "%u-%u", &from, &to), 2);
	}
	for (unsigned int seed = from; seed <= to; seed++)
		EXPECT_EQ(play(seed), "") << "seed " << seed;
}

} // namespace
