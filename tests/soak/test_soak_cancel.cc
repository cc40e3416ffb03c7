#include <iomanip>

#include "cancel_caller.h"
#include "cancelled_runs.h"
#include "lasting_soak.h"

/*
 * Jobs are cancelled through any daemon while daemons, workers and the store
 * fail, by a seed. No run of a job may go on later than rule UNASKED allows
 * after its cancellation was acknowledged; tasks that nobody cancels and that
 * last may not be without a run for longer than rule LOST allows.
 *
 * SOAK_SEEDS="FIRST-LAST" plays other seeds, SOAK_SECONDS sets for how long.
 */

namespace
{

constexpr int kCallers = 4;
constexpr uint32_t kMostDaemons = 12;
/* Of calm, after the last fault and the last acknowledgement. */
constexpr int kSettleMs = 7000;
/* What a worker or the store holds back is carried out so late, at most. */
constexpr int kHeldBackMs = 3000;

enum DaemonFault {
	kKill,
	kFreeze,
	kCutOffFromStore,
	kTerminate,
	kKillAndReplace,
	kTerminateAndReplace,
	kLoseAnswersOfStore,
	kDelayWatches,
	kHangWatches,
	kSlowDown,
	kKillAll,
	kDaemonFaults,
};

enum WorkerFault {
	kCrash,
	kCrashForGood,
	kRestart,
	kCut,
	kHang,
	kHangAtStops,
	kLoseAnswers,
	kLoseStops,
	kLoseStartsAndStops,
	kLateCalls,
	kSlowLists,
	kResets,
	kWorkerFaults,
};

class CancelSoak : public LastingSoak
{
      protected:
	CancelSoak()
	{
		daemon_count = 3 + GetParam() % 3;
		doors = kMostDaemons;
		/* Every other pair of seeds plays the ways of a large cell. */
		if (GetParam() / 2 % 2 == 1)
			settings = "relay_above = 0\nsmall_cell = 0\n";
	}

	std::string
	for_ms(int ms)
	{
		round_ends_ms = std::max(round_ends_ms, now_ms() + ms);
		return ",\"for_ms\":" + std::to_string(ms);
	}

	void
	ail(const std::string &target, const std::string &path,
	    const std::string &kind, int ms, int percent = 0)
	{
		int delay_ms = 500 + below(kHeldBackMs - 500);

		inject_fault("{\"target\":\"" + target + "\",\"path\":\"" +
		    path + "\",\"kind\":\"" + kind +
		    "\",\"delay_ms\":" + std::to_string(delay_ms) +
		    ",\"percent\":" + std::to_string(percent) + for_ms(ms) +
		    "}");
		story << " " << kind << "(" << target << "/" << path << " "
		      << ms << "ms)";
	}

	/* The owner in two of three cases. */
	size_t
	draw_daemon()
	{
		size_t drawn = owner();

		if (below(3) == 0)
			drawn = (size_t)below((int)daemons.size());
		while (daemons[drawn]->pid <= 0)
			drawn = (drawn + 1) % daemons.size();
		return drawn;
	}

	void
	begin_daemon_fault(DaemonFault fault, size_t d)
	{
		std::string door = "store-" + std::to_string(d);
		int ms = 500 + below(8000);

		story << " daemon " << d << " fault " << fault;
		switch (fault) {
		case kKill:
		case kKillAndReplace:
			kill_daemon(d);
			break;
		case kTerminate:
		case kTerminateAndReplace:
			daemons[d]->signal(SIGTERM);
			break;
		case kFreeze:
			daemons[d]->signal(SIGSTOP);
			break;
		case kCutOffFromStore:
			ail(door, "", "down", ms);
			break;
		case kLoseAnswersOfStore:
			ail(door, "kv-", "lost", ms / 2, 50);
			break;
		case kDelayWatches:
			ail(door, "kv-watch", "slow", ms);
			break;
		case kHangWatches:
			ail(door, "kv-watch", "down", ms);
			break;
		case kSlowDown:
			slowed = daemons[d].get();
			for_ms(ms);
			break;
		default:
			kill_all_running();
			break;
		}
	}

	void
	kill_all_running()
	{
		killed.clear();
		for (size_t d = 0; d < daemons.size(); d++) {
			if (daemons[d]->pid > 0)
				killed.push_back(d);
		}
		kill_all();
	}

	void
	replace(size_t d)
	{
		targets.remove(daemons[d]->callers);
		create_daemons(1);
		daemons.back()->start();
		targets.add(daemons.back()->callers);
	}

	void
	end_daemon_fault(DaemonFault fault, size_t d)
	{
		bool may_replace = daemons.size() < kMostDaemons;

		switch (fault) {
		case kTerminate:
		case kTerminateAndReplace:
			daemons[d]->end(SIGTERM);
			break;
		case kFreeze:
			daemons[d]->signal(SIGCONT);
			return;
		case kSlowDown:
			slowed = nullptr;
			return;
		case kKillAll:
			for (size_t k : killed)
				daemons[k]->start();
			return;
		case kKill:
		case kKillAndReplace:
			break;
		default:
			return;
		}
		if (may_replace &&
		    (fault == kKillAndReplace || fault == kTerminateAndReplace))
			replace(d);
		else
			daemons[d]->start();
	}

	void
	begin_worker_fault(WorkerFault fault, uint32_t w)
	{
		static const char *const calls[] = {"", "run-stop", "hold"};
		std::string id = "w-" + std::to_string(w);
		int ms = 500 + below(5500);

		story << " worker " << w << " fault " << fault;
		switch (fault) {
		case kCrash:
		case kCrashForGood:
			crash(w);
			break;
		case kRestart:
			crash_and_keep_calls(w);
			break;
		case kCut:
			set_worker(w, true, false);
			break;
		case kHang:
			ail(id, calls[below(3)], "down", ms);
			break;
		case kHangAtStops:
			ail(id, "run-stop", "down", ms);
			break;
		case kLoseAnswers:
			ail(id, calls[below(3)], "lost", ms, 50 + below(51));
			break;
		case kLoseStops:
			ail(id, "run-stop", "close_before", ms, 80);
			break;
		case kLoseStartsAndStops:
			ail(id, "run-start", "lost", ms, 70);
			ail(id, "run-stop", "close_before", ms, 80);
			break;
		case kLateCalls:
			ail(id, below(2) == 0 ? "run-stop" : "run-start",
			    below(2) == 0 ? "late" : "late_reset", ms, 60);
			break;
		case kSlowLists:
			ail(id, "hold", "slow", ms);
			break;
		default:
			ail(id, calls[below(3)],
			    below(2) == 0 ? "reset_after" : "reset_before", ms,
			    70);
			break;
		}
	}

	void
	end_worker_fault(WorkerFault fault, uint32_t w)
	{
		if (fault == kCrash || fault == kCrashForGood ||
		    fault == kRestart)
			return_worker(w, fault == kCrashForGood);
		else if (fault == kCut)
			set_worker(w, false, false);
	}

	void
	ail_store()
	{
		switch (below(4)) {
		case 0:
			ail("store", "", "down", 500 + below(5000));
			break;
		case 1:
			ail("store", "kv-txn", "lost", 500 + below(3000), 50);
			break;
		case 2:
			ail("store", "kv-txn", "late", 500 + below(2000), 50);
			break;
		default:
			http("POST", control + "/_forget", "");
			configure(++version);
			story << " history lost";
			break;
		}
	}

	/* One that is slowed down gets a sixth of its time. */
	void
	await_a_moment()
	{
		if (slowed != nullptr)
			slowed->signal(SIGSTOP);
		pause_ms(slowed != nullptr ? 200 : 20);
		if (slowed != nullptr)
			slowed->signal(SIGCONT);
		pause_ms(slowed != nullptr ? 40 : 0);
	}

	void
	play_round()
	{
		int what = 1 + below(7);
		int64_t at_ms = now_ms();
		size_t d = draw_daemon();
		DaemonFault daemon_fault = (DaemonFault)below(kDaemonFaults);
		WorkerFault worker_fault = (WorkerFault)below(kWorkerFaults);
		std::vector<uint32_t> ailing = workers_by_load();

		std::shuffle(ailing.begin(), ailing.end(), random);
		ailing.resize(1 + (size_t)below(3));
		round_ends_ms = at_ms + 200 + below(4000);
		story << "\n" << wall(at_ms) << " round:";
		if (what & 1)
			begin_daemon_fault(daemon_fault, d);
		pause_below(what & 1 ? 1500 : 1);
		for (uint32_t w : ailing) {
			if (what & 2)
				begin_worker_fault(worker_fault, w);
		}
		if ((what & 4) && below(2) == 0)
			ail_store();
		while (now_ms() < round_ends_ms)
			await_a_moment();
		for (uint32_t w : ailing) {
			if (what & 2)
				end_worker_fault(worker_fault, w);
		}
		if (what & 1)
			end_daemon_fault(daemon_fault, d);
		note_fault(at_ms, now_ms());
		story << " until " << wall(now_ms());
	}

	/* Short and long times without a fault. */
	void
	play()
	{
		int64_t until_ms =
		    now_ms() + 1000 * number_from("SOAK_SECONDS", 24);

		pause_ms(4000 + below(3000));
		while (now_ms() < until_ms) {
			play_round();
			pause_ms(
			    below(3) == 0 ? 6500 + below(2500) : below(3000));
		}
	}

	/* The time of day, as daemons log it. */
	static std::string
	wall(int64_t at_ms)
	{
		auto wall_ms =
		    std::chrono::duration_cast<std::chrono::milliseconds>(
			std::chrono::system_clock::now().time_since_epoch())
			.count() -
		    now_ms() + at_ms;
		time_t seconds = (time_t)(wall_ms / 1000);
		std::ostringstream text;
		struct tm tm;

		text << std::put_time(gmtime_r(&seconds, &tm), "%T") << "."
		     << std::setfill('0') << std::setw(3) << wall_ms % 1000;
		return text.str();
	}

	/* What daemons logged of a job and of who owns the pool. */
	std::string
	logged(const std::string &job)
	{
		std::vector<std::string> found;
		std::string all;

		for (auto &d : daemons) {
			std::istringstream lines(d->log_text());
			std::string line;

			while (std::getline(lines, line)) {
				if (line.find("job=" + job) !=
					std::string::npos ||
				    line.find("event=owner") !=
					std::string::npos)
					found.push_back(line);
			}
		}
		std::sort(found.begin(), found.end());
		for (const std::string &line : found)
			all += line + "\n";
		return all;
	}

	std::string
	tell(const LastingRun &r, const CancelledJob &j)
	{
		std::ostringstream text;

		text << r.task << " run " << r.run << " on " << r.worker
		     << " since " << wall(r.began_ms) << ", "
		     << (r.how.empty() ? "goes on" : r.how) << " at "
		     << wall(r.ended_ms) << "; cancellation acknowledged "
		     << wall(j.acked_ms) << "; " << r.stops
		     << " orders to stop it arrived";
		if (r.stops > 0)
			text << ", the last " << wall(r.stop_ms);
		text << "; its lease was renewed last " << wall(r.renewed_ms)
		     << " under fence " << r.renewed_by << "\ncalls since "
		     << wall(j.first_ms) << ":" << j.calls << story.str()
		     << "\n"
		     << logged(j.id);
		return text.str();
	}

	void
	judge_cancellations(const std::vector<CancelledJob> &jobs)
	{
		std::map<std::string, CancelledJob> by_id;
		Cancellations acked;

		for (const CancelledJob &j : jobs) {
			by_id[j.id] = j;
			if (j.acked_ms != 0)
				acked[j.id] = j.acked_ms;
			EXPECT_NE(j.acked_ms, 0)
			    << "no acknowledgement: " << j.id << j.calls;
		}
		CancelledJudgement c =
		    judge_cancelled_runs(runs_of(""), acked, faults, now_ms());
		std::cout << "seed " << GetParam() << ": " << jobs.size()
			  << " jobs, " << acked.size() << " cancelled, "
			  << c.stopped << " runs to stop, the longest for "
			  << c.longest_ms << " ms\n";
		for (const LastingRun &r : c.runs_on)
			ADD_FAILURE() << "UNASKED: it runs on: "
				      << tell(r, by_id[job_of(r)]);
		for (const LastingRun &r : c.started)
			ADD_FAILURE() << "UNASKED: it starts: "
				      << tell(r, by_id[job_of(r)]);
	}

	static std::string
	job_of(const LastingRun &r)
	{
		return r.task.substr(0, job_id(0).size());
	}

	CallerTargets targets;
	std::ostringstream story;
	int64_t round_ends_ms = 0;
	const CellDaemon *slowed = nullptr;
	std::vector<size_t> killed;
	int version = 1;
};

TEST_P(CancelSoak, NoRunOfACancelledJobGoesOn)
{
	submit_lasting({4, 1, 1}, 400);
	for (auto &d : daemons)
		targets.add(d->callers);
	CancelCallers callers(
	    targets, GetParam(), kCallers, GetParam() % 2 == 1 ? 800 : 1800);

	play();
	callers.stop();
	pause_ms(kSettleMs);
	await_runs();
	judge_cancellations(callers.jobs());
	judge();
}

/* 303: stops weren't repeated after starts whose answers were lost. */
INSTANTIATE_TEST_SUITE_P(
    Seeds, CancelSoak, testing::ValuesIn(seeds_or({303})), name_of_seed);

} // namespace
