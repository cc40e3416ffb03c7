#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "sim_cell.h"

extern "C" {
#include "curranttackd/cell_pool.h"
}

/* Takeovers beside workers that fell silent just before. */

namespace
{

constexpr size_t kDaemons = 3;
constexpr size_t kWorkers = 8;
constexpr size_t kSlots = 4 * kWorkers;
constexpr int64_t kFault = 12 * kSimS;
constexpr int64_t kEnd = 25 * kSimS;
constexpr int64_t kWait = 2500 * kSimMs;
constexpr int64_t kSample = 20 * kSimMs;
constexpr int64_t kForEver = 1000 * kSimS;
/* How long a job may have nothing running beside free workers. */
constexpr int64_t kMaxIdle = 3 * kSimS;

/* The same while a worker's lease may run, and until the owner knows that. */
constexpr int64_t kOneLease = 4 * kSimS;
/* A lease, after the time for which an owner may not know that it is none. */
constexpr int64_t kUnknownOwner = 13400 * kSimMs;

enum class Silence {
	kNone,
	kCut,	 /* goes on, cut off */
	kCrash,	 /* ends for good */
	kReborn, /* ends, and returns with the daemons */
};

enum class Killed {
	kAll,
	kOwner,
	kTwice, /* all, and all again once there is an owner */
	/* The same, before that owner can store anything. */
	kBeforeStored,
};

struct Scene {
	const char *name;
	Silence silence;
	size_t silent_count;
	int64_t silent_before_ms;
	Killed killed;
	/* When daemons return, and how long after the one before. */
	int64_t down_ms;
	int64_t stagger_ms;
	size_t jobs;
	const char *body;     /* "WORK_US STEPS TASKS" */
	int64_t wall_step_ms; /* when daemons are killed */
};

class Takeover : public SimObserver
{
      public:
	explicit Takeover(const Scene &scene)
	    : s(scene), w(1, kDaemons, kWorkers, this), begin(w.now)
	{
		w.verbose = getenv("PROMISE_LOG") != nullptr;
	}

	void
	play()
	{
		/* It has room when it returns. */
		if (s.killed == Killed::kBeforeStored)
			w.crash(kWorkers - 1);
		w.run_until(begin + 3 * kSimS);
		for (size_t n = 0; n < s.jobs; n++)
			submit(n);
		silence_workers();
		w.after(begin + kFault - w.now, [this] { kill_daemons(); });
		while (w.now < begin + kEnd) {
			w.run_until(w.now + step_us());
			sample();
		}
	}

	int64_t longest_idle_us = 0;
	/* How long owners took earlier ones to act on. */
	int64_t longest_earlier_us = 0;
	std::string idle_job;
	std::vector<std::string> twice;
	/* Starts while the store was silent. */
	size_t started_between = 0;

      private:
	/* A new owner stores something at once. */
	int64_t
	step_us() const
	{
		bool waits = s.killed == Killed::kBeforeStored &&
		    fault_us != 0 && !killed_again;

		return waits ? 100 : kSample;
	}

	void
	submit(size_t n)
	{
		char id[32];

		snprintf(id, sizeof(id), "%016zx", 0xa0 + n);
		std::string name = id;
		w.call(n % kDaemons, "POST", "/q/" + name, s.body, kWait,
		    [this, name](int status, const std::string &) {
			    if (status == 200)
				    jobs[name] = w.now;
		    });
	}

	void
	silence_workers()
	{
		int64_t at_us = kFault - s.silent_before_ms * kSimMs;

		if (s.silence == Silence::kNone ||
		    s.killed == Killed::kBeforeStored)
			return;
		w.after(begin + at_us - w.now, [this] {
			for (size_t i = 0; i < s.silent_count; i++)
				silence_worker(i);
		});
	}

	void
	silence_worker(size_t i)
	{
		SimWorker &wk = *w.workers[i];

		silent.insert(wk.id);
		for (auto &r : wk.running)
			may_be_there.insert(r.first);
		wk.domain = "silent";
		w.cut_domain("silent", kForEver);
		if (s.silence != Silence::kCut)
			w.crash(i);
	}

	const struct cp_host *
	owner_of(const SimDaemon &d)
	{
		if (!d.up || d.cell == nullptr || d.cell->pools == nullptr)
			return nullptr;
		return d.cell->pools->pool != nullptr ? d.cell->pools : nullptr;
	}

	bool
	has_owner()
	{
		return std::any_of(w.daemons.begin(), w.daemons.end(),
		    [this](auto &d) { return owner_of(*d) != nullptr; });
	}

	/* The store is silent from when there is an owner until it is killed. */
	void
	kill_before_anything_is_stored()
	{
		killed_again = true;
		w.store_trouble(StoreTrouble::kSilent, 500 * kSimMs);
		w.after(400 * kSimMs, [this] {
			for (size_t i = 0; i < s.silent_count; i++)
				silence_worker(i);
			w.revive(kWorkers - 1);
			kill_daemons();
		});
	}

	void
	restart(size_t i, int64_t after_ms)
	{
		w.kill(i, false);
		w.after(after_ms * kSimMs, [this, i] { w.start(i); });
	}

	void
	kill_daemons()
	{
		fault_us = w.now;
		w.wall_step_us += s.wall_step_ms * kSimMs;
		for (size_t i = 0; i < kDaemons; i++) {
			if (s.killed != Killed::kOwner ||
			    owner_of(*w.daemons[i]) != nullptr)
				restart(
				    i, s.down_ms + (int64_t)i * s.stagger_ms);
		}
		if (s.killed == Killed::kTwice && !killed_again) {
			killed_again = true;
			w.after((s.down_ms + 1000) * kSimMs,
			    [this] { kill_daemons(); });
		}
		if (s.silence == Silence::kReborn)
			w.after(s.down_ms * kSimMs, [this] {
				for (size_t i = 0; i < s.silent_count; i++)
					return_worker(i);
			});
	}

	void
	return_worker(size_t i)
	{
		w.workers[i]->domain = "a";
		w.revive(i);
	}

	static std::string
	job_of(const std::string &task)
	{
		return task.substr(0, JB_ID_LENGTH);
	}

	/* Tasks that could run: neither running, nor done, nor perhaps lost. */
	std::map<std::string, size_t>
	idle_jobs()
	{
		std::map<std::string, size_t> idle;
		unsigned int steps = 0;
		unsigned int tasks = 0;

		sscanf(s.body, "%*u %u %u", &steps, &tasks);
		for (auto &j : jobs)
			idle[j.first] = tasks - done_of[j.first];
		for (const std::string &task : may_be_there)
			idle[job_of(task)] -= done.count(task) == 0;
		for (auto j = idle.begin(); j != idle.end();)
			j = j->second > 0 ? std::next(j) : idle.erase(j);
		return idle;
	}

	void
	sample_earlier_owners()
	{
		for (auto &d : w.daemons) {
			const struct cp_host *h = owner_of(*d);

			if (h != nullptr)
				longest_earlier_us =
				    std::max(longest_earlier_us,
					h->earlier_owner_until_us - w.now);
		}
	}

	void
	sample()
	{
		std::map<std::string, size_t> idle;
		size_t used = 0;

		sample_earlier_owners();
		if (fault_us == 0 || !has_owner()) {
			since.clear();
			return;
		}
		if (s.killed == Killed::kBeforeStored && !killed_again)
			kill_before_anything_is_stored();
		idle = idle_jobs();
		for (auto &wk : w.workers) {
			for (auto &r : wk->running) {
				used++;
				idle.erase(job_of(r.first));
			}
		}
		for (auto j = since.begin(); j != since.end();)
			j = idle.count(j->first) > 0 && used < kSlots / 2
			    ? std::next(j)
			    : since.erase(j);
		for (auto &j : idle) {
			if (used >= kSlots / 2 || 2 * j.second > kSlots - used)
				continue;
			since.emplace(j.first, w.now);
			if (w.now - since[j.first] <= longest_idle_us)
				continue;
			longest_idle_us = w.now - since[j.first];
			idle_job = j.first;
		}
	}

	void
	on_start(const SimDaemon &, const SimWorker &wk,
	    const std::string &task, uint32_t run) override
	{
		for (auto &other : w.workers) {
			if (other->id != wk.id && other->alive &&
			    other->running.count(task) > 0)
				twice.push_back(task + " run " +
				    std::to_string(run) + " on " + wk.id +
				    " beside " + other->id);
		}
		if (noted.count(task) > 0)
			twice.push_back(task + " again");
		started_between += s.killed == Killed::kBeforeStored &&
		    killed_again && silent.empty();
		may_be_there.erase(task);
	}

	void
	on_end(const SimWorker &, const std::string &task, uint32_t,
	    enum wp_run_outcome outcome) override
	{
		if (outcome == WP_END_DONE && done.insert(task).second)
			done_of[job_of(task)]++;
	}

	void
	on_noted(const std::string &task, uint32_t,
	    enum wp_run_outcome outcome) override
	{
		if (outcome == WP_END_DONE)
			noted.insert(task);
	}

	Scene s;
	SimWorld w;
	int64_t begin;
	int64_t fault_us = 0;
	bool killed_again = false;
	std::map<std::string, int64_t> jobs;
	std::map<std::string, int64_t> since;
	std::set<std::string> silent;
	std::set<std::string> may_be_there;
	std::set<std::string> done;
	std::map<std::string, size_t> done_of; /* by job */
	std::set<std::string> noted;
};

constexpr const char *kShort = "400000 1 20";
constexpr const char *kLong = "4000000 1 20";

const Scene kScenes[] = {
    {"no worker is silent", Silence::kNone, 0, 0, Killed::kAll, 1300, 0, 60,
	kLong},
    {"one is cut off", Silence::kCut, 1, 1000, Killed::kAll, 1300, 0, 60,
	kLong},
    {"one is cut off, short tasks", Silence::kCut, 1, 1000, Killed::kAll, 1300,
	0, 200, kShort},
    {"one crashed", Silence::kCrash, 1, 1000, Killed::kAll, 1300, 0, 60, kLong},
    {"one crashed, daemons return one by one", Silence::kCrash, 1, 1000,
	Killed::kAll, 1300, 40, 200, kShort},
    {"a third is cut off", Silence::kCut, 3, 1000, Killed::kAll, 1300, 0, 200,
	kShort},
    {"a third is cut off later", Silence::kCut, 3, 100, Killed::kAll, 1300, 10,
	200, kShort},
    {"all lose power, a third of the workers too", Silence::kReborn, 3, 0,
	Killed::kAll, 1300, 100, 200, kShort},
    {"the owner alone", Silence::kCut, 1, 1000, Killed::kOwner, 1300, 0, 200,
	kShort},
    {"two takeovers", Silence::kCut, 1, 1000, Killed::kTwice, 1300, 0, 200,
	kShort},
    {"daemons are down for longer", Silence::kCut, 1, 1000, Killed::kAll, 2500,
	20, 200, kShort},
};

TEST(SilentWorkers, NoJobWaitsBesideFreeWorkersAfterATakeover)
{
	for (const Scene &scene : kScenes) {
		Takeover t(scene);

		t.play();
		printf("%s: %lld ms\n", scene.name,
		    (long long)(t.longest_idle_us / kSimMs));
		EXPECT_LE(t.longest_idle_us, kMaxIdle)
		    << scene.name << ": job " << t.idle_job;
		EXPECT_TRUE(t.twice.empty())
		    << scene.name << ": " << t.twice.size() << ", "
		    << t.twice.front();
	}
}

/* TWICE: the owner in between has started them, and could not store that. */
TEST(SilentWorkers, ListOfTheLastOwnerButOneIsNotReliedOn)
{
	Scene scene = {"", Silence::kCut, 2, 0, Killed::kBeforeStored, 1300, 0,
	    60, "3050000 1 20"};
	Takeover t(scene);

	t.play();
	EXPECT_GT(t.started_between, 0U);
	EXPECT_TRUE(t.twice.empty()) << t.twice.size();
}

TEST(SilentWorkers, JobsThatAreDueSoonDoNotWaitForTheLease)
{
	Scene scene = {"", Silence::kCut, 1, 1000, Killed::kAll, 1300, 0, 18,
	    "1000000 1 20"};
	Takeover t(scene);

	t.play();
	EXPECT_LE(t.longest_idle_us, kMaxIdle);
	EXPECT_TRUE(t.twice.empty());
}

/* A member's entry that arrived between claim and ownership was not heard of. */
TEST(SilentWorkers, OwnerWaitsForOneLeaseWheneverTheLastOwnersDaemonReturns)
{
	for (int64_t stagger_ms = -15; stagger_ms <= 15; stagger_ms += 5) {
		Scene scene = {"", Silence::kCrash, 1, 1000, Killed::kAll, 1300,
		    stagger_ms, 60, kShort};
		Takeover t(scene);

		t.play();
		EXPECT_LE(t.longest_idle_us, kOneLease)
		    << stagger_ms << " ms apart";
		EXPECT_TRUE(t.twice.empty()) << stagger_ms << " ms apart";
	}
}

/* The stored term went on to name the time of the claim. */
TEST(SilentWorkers, NextOwnerButOneWaitsForOneLease)
{
	Scene scene = {
	    "", Silence::kCrash, 1, 1000, Killed::kTwice, 1300, -5, 60, kShort};
	Takeover t(scene);

	t.play();
	EXPECT_LE(t.longest_idle_us, kOneLease);
	EXPECT_TRUE(t.twice.empty());
}

/* A restarted daemon's incarnation is its time of day. */
TEST(SilentWorkers, OwnerWaitsForOneLeaseThoughTheClockIsSetBackMeanwhile)
{
	for (int64_t step_ms : {0, 60000, -60000}) {
		Scene scene = {"", Silence::kCrash, 1, 1000, Killed::kAll, 1300,
		    0, 60, kShort, step_ms};
		Takeover t(scene);

		t.play();
		EXPECT_LE(t.longest_idle_us, kOneLease)
		    << "set by " << step_ms << " ms";
		EXPECT_TRUE(t.twice.empty()) << "set by " << step_ms << " ms";
	}
}

/* The stored term says by the time of day until when earlier owners act. */
TEST(SilentWorkers, EarlierOwnersAreNotWaitedForLongerThoughTheClockIsSetBack)
{
	for (int64_t step_ms : {0, -60000}) {
		Scene scene = {"", Silence::kCrash, 1, 1000, Killed::kTwice,
		    1300, 0, 60, kShort, step_ms};
		Takeover t(scene);

		t.play();
		EXPECT_LE(t.longest_earlier_us, kUnknownOwner)
		    << "set by " << step_ms << " ms";
		EXPECT_TRUE(t.twice.empty()) << "set by " << step_ms << " ms";
	}
}

} // namespace
