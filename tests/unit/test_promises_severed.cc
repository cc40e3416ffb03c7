#include <cinttypes>

#include "long_running.h"

extern "C" {
#include "common/counters.h"
}

/*
 * Open connections fall silent for good, beside takeovers, frozen daemons and
 * workers that leave, while the advice service takes its time. Checked from
 * outside. SEVERED_SEEDS=FROM-TO plays others, PROMISE_LOG=1 prints what the
 * daemons log.
 */

namespace
{

constexpr size_t kManyDaemons = 9;
constexpr size_t kManyWorkers = 16;
constexpr size_t kSlots = 4 * kManyWorkers;
constexpr int64_t kLongEvery = 400 * kSimMs;
constexpr int64_t kShortEvery = 40 * kSimMs;
constexpr int64_t kJobsFrom = 9 * kSimS;
constexpr int64_t kLast = 44 * kSimS;
/* Long-running tasks are asked for once it was calm for so long. */
constexpr int64_t kCalm = 7 * kSimS;
/*
 * How long a job may have nothing running beside free workers: four calls of the
 * service, some of which name no worker that it approves, take 3 s in calm.
 */
constexpr int64_t kMaxIdle = 4 * kSimS;
/* When that is asked, after the last disruption. */
constexpr int64_t kSettled = 12 * kSimS;

/* Identifier of the first job that ends by itself. */
constexpr uint64_t kFirstJob = 0x1000;

struct WaitingJob {
	int64_t accepted_us = 0;
	size_t running = 0;
	size_t done = 0;
	size_t tasks = 1;
	int64_t idle_us = 0; /* since when, or 0 */
};

struct Scene {
	bool silences = true;
	bool disruptions = true;
	bool relays = false;
};

class Severed : public LongRunning
{
      public:
	Severed(uint64_t seed, const Scene &scene)
	    : LongRunning(seed, kManyDaemons, kManyWorkers, options_of(scene)),
	      s(scene)
	{
	}

	void
	play()
	{
		at(kJobsFrom, [this] { submit_long(); });
		at(kJobsFrom, [this] { submit_short(); });
		begin_jobs();
		plan();
		run_for(begin + kLast - w.now);
		for (const std::string &task : tasks) {
			if (!is_running(task))
				breaks("at the end " + task + " doesn't run");
		}
		for (const std::string &text : twice)
			breaks("twice: " + text);
	}

	std::string
	text() const
	{
		std::string all;

		for (const std::string &line : broken)
			all += line + "\n";
		for (const std::string &line : notes)
			all += broken.empty() ? "" : "  " + line + "\n";
		return all;
	}

	int64_t longest_idle_us = 0;
	std::vector<std::string> broken;

      private:
	static SimOptions
	options_of(const Scene &scene)
	{
		SimOptions options;

		options.slow_advice = true;
		options.relay_above_workers = scene.relays ? 0 : 1000;
		return options;
	}

	void
	at(int64_t us, std::function<void()> action)
	{
		w.after(begin + us - w.now, std::move(action));
	}

	std::string
	stamp(const std::string &text) const
	{
		char line[200];

		snprintf(line, sizeof(line), "%7.3f %s",
		    (double)(w.now - begin) / (double)kSimS, text.c_str());
		return line;
	}

	void
	note(const std::string &text)
	{
		notes.push_back(stamp(text));
		if (w.verbose)
			fprintf(stderr, "--- %s\n", notes.back().c_str());
	}

	void
	breaks(const std::string &text)
	{
		broken.push_back("LOST: " + stamp(text));
	}

	/* --- callers --- */

	void
	submit_job(const char *queue, const std::string &body, size_t count)
	{
		char id[32];

		snprintf(id, sizeof(id), "%016" PRIx64, kFirstJob + last_id++);
		std::string name = id;
		w.call(w.random(kManyDaemons), "POST",
		    std::string("/") + queue + "/" + name, body, kWait,
		    [this, name, count](int status, const std::string &) {
			    if (status != 200)
				    return;
			    jobs[name].accepted_us = w.now;
			    jobs[name].tasks = count;
		    });
	}

	void
	submit_long()
	{
		submit_job("q", "1500000 1 2", 2);
		w.after(kLongEvery, [this] { submit_long(); });
	}

	void
	submit_short()
	{
		submit_job("s", "300000 1 1", 1);
		w.after(kShortEvery, [this] { submit_short(); });
	}

	/* --- disruptions --- */

	int64_t
	span(int64_t from_ms, int64_t to_ms)
	{
		return (from_ms + (int64_t)w.random(to_ms - from_ms)) * kSimMs;
	}

	/* One that lasts until then. */
	void
	disrupts(const std::string &text, int64_t until_us)
	{
		note(text);
		calm_from_us = std::max(calm_from_us, until_us);
	}

	void
	fall_silent()
	{
		static const char *const ways[] = {"there", "back", "both"};
		size_t way = w.random(5);
		uint64_t percent = 60 + w.random(41);

		way = std::min<size_t>(way, 2);
		disrupts("connections of " + std::to_string(percent) +
			"% of the daemons fall silent, " + ways[way],
		    w.now);
		for (size_t i = 0; i < kManyDaemons; i++) {
			if (w.chance((uint32_t)percent))
				w.sever(i, (SimWay)way);
		}
	}

	void
	links_fall_silent()
	{
		disrupts("half of the links fall silent", w.now);
		w.sever_links(50, w.chance(50) ? SimWay::kBoth : SimWay::kBack);
	}

	void
	end_owner()
	{
		size_t i = owner();

		if (i == kManyDaemons)
			return;
		if (w.chance(40)) {
			disrupts(w.daemons[i]->vm + " hands over", w.now);
			w.terminate(i);
			return;
		}
		disrupts(w.daemons[i]->vm + " is killed", w.now);
		w.kill(i, w.chance(50));
	}

	void
	freeze_one(size_t i)
	{
		int64_t us = span(1500, 7000);

		if (i == kManyDaemons)
			return;
		disrupts(w.daemons[i]->vm + " is frozen", w.now + us);
		w.freeze(i, us);
	}

	/* Its tasks are lost, and there is no other on its VM. */
	void
	leave()
	{
		size_t i = w.random(kManyWorkers);

		if (has_left)
			return;
		has_left = true;
		disrupts(w.workers[i]->id + " leaves", w.now);
		w.crash(i);
	}

	/* Of its own account, which is no disruption. */
	void
	fail_one()
	{
		size_t i = w.random(kManyWorkers);

		for (size_t n = 0; n < kManyWorkers; n++) {
			SimWorker &wk = *w.workers[(i + n) % kManyWorkers];

			if (wk.running.empty() ||
			    tasks.count(wk.running.begin()->first) == 0)
				continue;
			note(wk.running.begin()->first + " fails");
			w.fail_a_run((i + n) % kManyWorkers);
			return;
		}
	}

	void
	disrupt()
	{
		switch (w.random(4)) {
		case 0:
			return end_owner();
		case 1:
			return freeze_one(owner());
		case 2:
			return freeze_one(w.random(kManyDaemons));
		default:
			return leave();
		}
	}

	void
	plan()
	{
		int64_t first_us = kFault + span(0, 2000);
		int64_t second_us = first_us + span(200, 4000);

		for (int n = 0; n < 4; n++)
			at(first_us + span(0, 10000), [this] { fail_one(); });
		if (s.silences) {
			at(first_us, [this] { fall_silent(); });
			at(second_us, [this] {
				if (w.chance(50))
					fall_silent();
				else
					links_fall_silent();
			});
		}
		for (uint64_t n = 1 + w.random(3); s.disruptions && n > 0; n--)
			at(first_us + span(0, 7000), [this] { disrupt(); });
	}

	/* --- what is seen --- */

	static std::string
	job_of(const std::string &task)
	{
		return task.substr(0, JB_ID_LENGTH);
	}

	static bool
	is_lasting(const std::string &task)
	{
		return strtoull(job_of(task).c_str(), nullptr, 16) < kFirstJob;
	}

	void
	sample_lasting()
	{
		for (const std::string &task : tasks) {
			if (is_running(task)) {
				lost_us.erase(task);
				continue;
			}
			lost_us.emplace(task, w.now);
			int64_t due_us =
			    std::max(lost_us[task] + kMaxWithoutRun,
				calm_from_us + kCalm);
			if (w.now <= due_us || late.count(task) > 0)
				continue;
			late.insert(task);
			breaks(task + " doesn't run since " +
			    std::to_string((w.now - lost_us[task]) / kSimMs) +
			    " ms");
		}
	}

	/* Beside workers of which half and more are free. */
	void
	sample_jobs()
	{
		size_t used = 0;

		for (auto &wk : w.workers)
			used += wk->alive ? wk->running.size() : 0;
		for (auto &j : jobs) {
			WaitingJob &job = j.second;

			if (job.running > 0 || job.done >= job.tasks ||
			    job.accepted_us == 0 || used >= kSlots / 2 ||
			    w.now < calm_from_us + kSettled) {
				job.idle_us = 0;
				continue;
			}
			if (job.idle_us == 0)
				job.idle_us = w.now;
			if (w.now - job.idle_us <= longest_idle_us)
				continue;
			longest_idle_us = w.now - job.idle_us;
			if (longest_idle_us > kMaxIdle &&
			    late.insert(j.first).second && late.size() < 10)
				breaks(
				    "job " + j.first + " has nothing running");
		}
	}

	void
	sample() override
	{
		LongRunning::sample();
		if (w.now < begin + kFault)
			return;
		sample_lasting();
		sample_jobs();
	}

	void
	on_start(const SimDaemon &d, const SimWorker &wk,
	    const std::string &task, uint32_t run) override
	{
		if (is_lasting(task))
			LongRunning::on_start(d, wk, task, run);
		else
			jobs[job_of(task)].running++;
	}

	void
	on_end(const SimWorker &, const std::string &task, uint32_t,
	    enum wp_run_outcome outcome) override
	{
		if (is_lasting(task))
			return;
		WaitingJob &job = jobs[job_of(task)];
		job.running--;
		job.done += outcome == WP_END_DONE;
	}

	Scene s;
	uint64_t last_id = 0;
	int64_t calm_from_us = 0;
	bool has_left = false;
	std::map<std::string, WaitingJob> jobs;
	std::map<std::string, int64_t> lost_us;
	std::set<std::string> late;
	std::vector<std::string> notes;
};

std::string
play(uint64_t seed, const Scene &scene)
{
	Severed t(seed, scene);

	t.play();
	printf("seed %llu: idle %lld ms\n", (unsigned long long)seed,
	    (long long)(t.longest_idle_us / kSimMs));
	return t.text();
}

void
play_seeds(const Scene &scene)
{
	const char *range = getenv("SEVERED_SEEDS");
	unsigned int from = 1;
	unsigned int to = 10;

	if (range != nullptr) {
		ASSERT_EQ(sscanf(range, "%u-%u", &from, &to), 2);
	}
	for (unsigned int seed = from; seed <= to; seed++)
		EXPECT_EQ(play(seed, scene), "") << "seed " << seed;
}

TEST(SeveredLinks, AreClosedWhereDaemonsSendHeartbeats)
{
	for (bool older : {false, true}) {
		SimOptions options;

		if (older)
			options.older = {0, 1, 2};
		LongRunning t(1, kDaemons, kWorkers, options);
		t.begin_jobs();
		t.w.sever(t.owner(), SimWay::kBoth);
		EXPECT_EQ(t.w.silent_links_closed, 0U);
		t.run_for(3 * kSimS);
		EXPECT_EQ(t.w.silent_links_closed > 0, !older);
	}
}

TEST(SeveredLinks, LinkToADaemonWithoutHeartbeatsIsNotTakenForSilent)
{
	for (size_t older = 0; older < kDaemons; older++) {
		SimOptions options;

		options.older = {older};
		LongRunning t(1, kDaemons, kWorkers, options);
		t.begin_jobs();
		t.run_to_end();
		EXPECT_EQ(t.w.silent_links_closed, 0U) << older;
	}
}

/* The pool of a daemon that has sent a claim, or NULL. */
const struct cp_host *
claimant(const SimDaemon &d)
{
	const struct cp_host *h = d.up ? d.cell->pools : nullptr;

	return h != nullptr && h->state == CP_CLAIMING && h->lease != 0
	    ? h
	    : nullptr;
}

/* It took itself for an owner that may act for 13.4 s. */
TEST(Severed, OwnerWhoseFirstClaimHadNoAnswerWaitsForOneLease)
{
	LongRunning t;

	t.begin_jobs();
	size_t first = t.owner();
	size_t next = (first + 1) % kDaemons;
	t.w.kill(first, false);
	t.lose_worker();
	/* Of two that could, it is the one that claims. */
	t.w.freeze((first + 2) % kDaemons, 4 * kSimS);
	while (claimant(*t.w.daemons[next]) == nullptr)
		t.w.run_until(t.w.now + 100);
	/* It has arrived. */
	t.w.run_until(t.w.now + 2 * kSimMs);
	t.w.sever(next, SimWay::kBack);
	t.run_to_end();
	EXPECT_LE(t.longest_without_run_us, kMaxWithoutRun);
}

/* A pool had ten owners in 3 s: each lost its lease before it renewed it. */
TEST(Claims, OwnerWhoseClaimTookLongRenewsItsLeaseInTime)
{
	for (int64_t pause : {500, 700, 900}) {
		LongRunning t;
		size_t next = t.w.daemons.size();
		uint64_t takeovers;

		t.begin_jobs();
		t.w.kill(t.owner(), true);
		while (next == t.w.daemons.size()) {
			ASSERT_LT(t.w.now, t.begin + kEnd);
			t.w.run_until(t.w.now + 100);
			for (size_t d = 0; d < t.w.daemons.size(); d++)
				if (claimant(*t.w.daemons[d]) != nullptr)
					next = d;
		}
		t.w.freeze(next, pause * kSimMs);
		takeovers = ct_get(CT_TAKEOVERS);
		t.run_for(6 * kSimS);
		EXPECT_EQ(t.owner(), next) << pause;
		EXPECT_EQ(ct_get(CT_TAKEOVERS), takeovers + 1) << pause;
	}
}

TEST(Severed, AllHoldsWhereNoConnectionFallsSilent)
{
	play_seeds({false, true, false});
}

TEST(Severed, AllHoldsBehindRelaysWhereNoConnectionFallsSilent)
{
	play_seeds({false, true, true});
}

TEST(Severed, LostTasksRunAgainBesideSilentConnections)
{
	play_seeds({true, false, false});
}

TEST(Severed, LostTasksRunAgainBesideSilentConnectionsAndDisruptions)
{
	play_seeds({true, true, false});
}

TEST(Severed, LostTasksRunAgainBesideSilentRelays)
{
	play_seeds({true, true, true});
}

} // namespace
