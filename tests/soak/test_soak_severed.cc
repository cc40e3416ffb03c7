#include "cancelled_runs.h"
#include "lasting_soak.h"

/*
 * Open connections fall silent for good, one way or both, without a reset: those
 * of some daemons with each other, to the store, to workers and to an advice
 * service that takes its time; new ones work. Daemons get SIGTERM and are back,
 * owners freeze, workers leave or crash, the configuration changes and jobs are
 * cancelled beside it, by a seed. Callers keep their connections all the while.
 *
 * Each request is answered, accepted jobs complete, long-running tasks aren't
 * without a run for longer than rule LOST allows, nothing runs twice or on after
 * its cancellation.
 *
 * SOAK_SEEDS="FIRST-LAST" plays other seeds, SOAK_ROUNDS sets how often faults
 * come, SOAK_SECONDS for how long runs are awaited after each.
 */

namespace
{

constexpr int kAdviceMs = 700;
constexpr unsigned kCallers = 6;
constexpr int64_t kSlackUs = 200000; /* loss_slack_ms */
constexpr int64_t kGraceMs = 6000;   /* grace_s */
constexpr int64_t kReadyMs = 15000;
constexpr int64_t kSettleMs = 20000;
constexpr int kFirstCancelledJob = 5000;
constexpr int kFirstAdvisedJob = 6000;
constexpr int kMaxLeft = 3;
/* Of calm, before faults and after cancellations. */
constexpr int kCalmMs = 2000;
constexpr const char *kAdvisedPrefix = "/a/";

enum Companion {
	kTerminate,
	kFreeze,
	kWorkerLeaves,
	kWorkerCrashes,
	kConfigure,
	kCancel,
	kCompanions,
};

class SeveredSoak : public LastingSoak
{
      protected:
	SeveredSoak()
	{
		has_links = true;
		lasting_prefix = kAdvisedPrefix;
		/* Every other pair of seeds plays the ways of a large cell. */
		if (GetParam() / 2 % 2 == 1)
			settings = "relay_above = 0\nsmall_cell = 0\n";
	}

	void
	SetUp() override
	{
		LastingSoak::SetUp();
		http("POST",
		    control + "/_advice?ms=" + std::to_string(kAdviceMs));
		configure_with_advice();
		for (auto &d : daemons) {
			targets.emplace_back().address = d->callers;
			EXPECT_TRUE(eventually([&] {
				return http("GET",
					   "http://" + d->callers +
					       kAdvisedPrefix,
					   "", {std::string("Host: ") + kHost})
					   .status == 200;
			}));
		}
	}

	void
	configure_with_advice()
	{
		configure(++version,
		    std::string(",{\"name\":\"a\",\"host\":\"") + kHost +
			"\",\"prefix\":\"" + kAdvisedPrefix +
			"\",\"service\":\"" + service() +
			"\",\"max_attempts\":2,"
			"\"stretch_factor\":4.0,\"target_latency_ms\":"
			"1000,\"advice\":{\"decide_ms\":" +
			std::to_string(kAdviceMs) +
			",\"period_ms\":1,\"valid_ms\":3000}}");
	}

	/* Jobs that want advice as well, as many as the service can serve. */
	void
	submit_advised(int jobs)
	{
		for (; jobs > 0; jobs--)
			EXPECT_EQ(
			    call("POST", first_running(),
				kAdvisedPrefix +
				    job_id(kFirstAdvisedJob + advised_jobs++),
				"{\"spec\":\"1000 200 \",\"steps\":[{"
				"\"count\":2,\"cpu\":200,\"mem_mb\":10,"
				"\"estimate_ms\":1000}]}")
				.status,
			    200);
	}

	/* All that some daemons have open, and as many connections to workers. */
	void
	sever()
	{
		int ways = 1 + below(3);
		std::vector<size_t> order;
		size_t share = 1 + (size_t)below((int)daemons.size());

		for (size_t d = 0; d < daemons.size(); d++)
			order.push_back(d);
		std::shuffle(order.begin(), order.end(), random);
		order.resize(share);
		for (size_t d : order) {
			links->sever_peers(d, ways);
			links->sever_store(d, ways);
			links->sever_advice(d, ways);
		}
		links->sever_workers(ways, (int)(100 * share / daemons.size()));
		note_fault(now_ms(), now_ms());
	}

	void
	terminate(size_t d)
	{
		int64_t at_ms = now_ms();
		int status = 0;

		targets[d].stopped_us = load_now_us();
		daemons[d]->signal(SIGTERM);
		if (below(2) == 0) {
			pause_below(500);
			sever();
		}
		EXPECT_TRUE(eventually(
		    [&] {
			    return waitpid(daemons[d]->pid, &status, WNOHANG) ==
				daemons[d]->pid;
		    },
		    at_ms + kGraceMs - now_ms()))
		    << daemons[d]->vm << " is not gone in time";
		EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0)
		    << daemons[d]->vm << " ended with " << status;
		if (waitpid(daemons[d]->pid, nullptr, WNOHANG) == 0)
			daemons[d]->end(SIGKILL);
		daemons[d]->pid = -1;
		daemons[d]->start();
		EXPECT_TRUE(eventually(
		    [&] { return daemons[d]->is_ready(); }, kReadyMs))
		    << daemons[d]->vm << " is not ready";
		targets[d].stopped_us = 0;
		note_fault(at_ms, now_ms());
	}

	void
	freeze(size_t d)
	{
		int64_t at_ms = now_ms();

		daemons[d]->signal(SIGSTOP);
		pause_ms(500 + below(3000));
		if (below(2) == 0)
			sever();
		pause_ms(500 + below(2000));
		daemons[d]->signal(SIGCONT);
		note_fault(at_ms, now_ms());
	}

	void
	take_worker_away(bool leaves)
	{
		uint32_t worker = workers_by_load()[0];

		if (leaves && left++ < kMaxLeft) {
			http("POST", control + "/_worker",
			    "{\"worker\":" + std::to_string(worker) +
				",\"off\":true,\"left\":true,"
				"\"reborn\":true}");
		} else {
			crash(worker);
			crashed.push_back(worker);
		}
		note_fault(now_ms(), now_ms());
	}

	void
	submit_to_cancel(int jobs)
	{
		for (; jobs > 0; jobs--) {
			int n = kFirstCancelledJob + cancelled_jobs++;

			EXPECT_EQ(
			    submit_tasks(n, 2, 30000, 100, false).status, 200);
			to_cancel.push_back(n);
		}
	}

	void
	cancel_all()
	{
		for (int n : to_cancel) {
			EXPECT_TRUE(eventually([&] {
				return call("DELETE",
					   (size_t)below((int)daemons.size()),
					   "/q/" + job_id(n))
					   .status /
				    100 ==
				    2;
			}));
			acked[job_id(n)] = now_ms();
		}
		to_cancel.clear();
	}

	void
	accompany()
	{
		size_t any = (size_t)below((int)daemons.size());

		switch ((Companion)below(kCompanions)) {
		case kTerminate:
			terminate(below(2) == 0 ? owner() : any);
			break;
		case kFreeze:
			freeze(below(3) > 0 ? owner() : any);
			break;
		case kWorkerLeaves:
			take_worker_away(true);
			break;
		case kWorkerCrashes:
			take_worker_away(false);
			break;
		case kConfigure:
			configure_with_advice();
			break;
		default:
			cancel_all();
			break;
		}
	}

	/* Some task loses its run in each. */
	void
	play_round()
	{
		submit_to_cancel(3);
		submit_advised(GetParam() % 2 == 1 ? 10 : 2);
		pause_below(1500);
		sever();
		for (int n = below(3); n >= 0; n--) {
			pause_below(1500);
			if (below(3) == 0)
				sever();
			accompany();
		}
		pause_below(1500);
		take_worker_away(below(2) == 0);
		if (below(2) == 0)
			sever();
		await_runs();
		for (uint32_t w : crashed)
			return_worker(w, false);
		crashed.clear();
	}

	void
	play()
	{
		Load load(targets, kCallers, (unsigned)GetParam());

		submit_lasting({4, 1, 1}, 400);
		pause_ms(kCalmMs);
		for (int n = number_from("SOAK_ROUNDS", 2);
		     n > 0 && !HasFailure(); n--)
			play_round();
		cancel_all();
		pause_ms(kCalmMs);
		load.stop();
		seen = load.summarize(kSlackUs);
		accepted = load.accepted();
		if (seen.lost > 0 || seen.given_up > 0)
			load.write(dir + "/exchanges.log");
	}

	std::string
	state_of(KeptClient &client, const std::string &path)
	{
		size_t d = (size_t)below((int)daemons.size());

		return client
		    .request("GET", "http://" + daemons[d]->callers + path, "",
			{std::string("Host: ") + kHost}, 4000)
		    .text("state");
	}

	void
	check_jobs()
	{
		int64_t end_ms = now_ms() + kSettleMs;
		std::vector<std::string> paths;
		KeptClient client;

		for (const std::string &id : accepted)
			paths.push_back("/q/" + id);
		for (int n = 0; n < advised_jobs; n++)
			paths.push_back(
			    kAdvisedPrefix + job_id(kFirstAdvisedJob + n));
		for (const std::string &path : paths) {
			std::string was;

			eventually(
			    [&] {
				    was = state_of(client, path);
				    return was == "completed";
			    },
			    std::max<int64_t>(end_ms - now_ms(), 0));
			EXPECT_EQ(was, "completed") << path;
			if (was != "completed")
				break;
		}
		std::cout << "seed " << GetParam() << ": " << seen.sent
			  << " sent, " << seen.lost << " lost, "
			  << seen.within_slack
			  << " unanswered within the slack, " << seen.given_up
			  << " given up, the longest " << seen.longest_us / 1000
			  << " ms; " << paths.size() << " accepted\n";
	}

	void
	judge_cancellations()
	{
		CancelledJudgement c =
		    judge_cancelled_runs(runs_of(""), acked, faults, now_ms());

		for (const LastingRun &r : c.runs_on)
			ADD_FAILURE() << "UNASKED: runs on: " << r.task
				      << " run " << r.run << " on " << r.worker;
		for (const LastingRun &r : c.started)
			ADD_FAILURE() << "UNASKED: starts: " << r.task
				      << " run " << r.run << " on " << r.worker;
	}

	std::deque<LoadTarget> targets;
	LoadSummary seen;
	std::vector<std::string> accepted;
	std::vector<uint32_t> crashed;
	std::vector<int> to_cancel;
	Cancellations acked;
	int cancelled_jobs = 0;
	int advised_jobs = 0;
	int left = 0;
	int version = 1;
};

TEST_P(SeveredSoak, OpenConnectionsFallSilentForGood)
{
	play();
	check_jobs();
	EXPECT_EQ(seen.lost, 0U) << seen.lines;
	EXPECT_EQ(seen.given_up, 0U);
	EXPECT_GT(accepted.size(), 0U);
	judge_cancellations();
	judge();
}

/*
 * Seeds that ever failed, with their cause.
 * 1207, 1209, 1212, 1213, 1215, 1216: long-running tasks waited for 9 to 14 s, as
 *    owners asked for advice over links that had been silent for up to 33 s
 *    ("event=peer_silent unheard_ms=22549").
 * 1207, in one of seven plays without that: see KNOWN-RED.txt.
 */
INSTANTIATE_TEST_SUITE_P(
    Seeds, SeveredSoak, testing::ValuesIn(seeds_or({1213})), name_of_seed);

} // namespace
