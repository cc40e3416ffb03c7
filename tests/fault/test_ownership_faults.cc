/* Shards change their owner while jobs are submitted and run. */
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <thread>

#include "cluster.h"

extern "C" {
#include "protocol/job_json.h"
}

namespace
{

const char *const kIdempotent =
    R"("kind":"batch","count":2,"cpu":0.5,"memory":"1GB","run":"150ms","idempotent":true)";
const char *const kNonIdempotent =
    R"("kind":"batch","count":1,"cpu":0.5,"memory":"1GB","run":"150ms","idempotent":false)";
const char *const kService =
    R"("kind":"service","class":"urgent","count":4,"cpu":1,"memory":"1GB")";

void
sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* Submits jobs through all daemons and records their responses. */
class Load
{
      public:
	explicit Load(Cluster &cluster) : c(cluster)
	{
	}
	~Load()
	{
		stop();
	}

	void
	begin()
	{
		thread = std::thread([this] { run(); });
	}
	void
	stop()
	{
		stopping = true;
		if (thread.joinable())
			thread.join();
	}

	/* Job id, and whether the job is not idempotent. */
	std::vector<std::pair<std::string, bool>> accepted;
	std::vector<std::string> not_run; /* keys */
	std::atomic<int> unknown{0};
	std::string prefix = "load";

      private:
	void
	run()
	{
		for (int i = 0; !stopping && i < 2000; i++) {
			bool non_idempotent = i % 3 == 0;
			std::string key = prefix + std::to_string(i);
			Daemon &d = c.daemons[(size_t)i % c.daemons.size()];

			if (!d.process || !d.process->running())
				continue;
			Response r = c.submit(d, key,
			    non_idempotent ? kNonIdempotent : kIdempotent);

			if (r.status == 202)
				accepted.emplace_back(
				    r.text("job"), non_idempotent);
			else if (r.outcome == "not_run")
				not_run.push_back(key);
			else
				unknown++;
			sleep_ms(5);
		}
	}

	Cluster &c;
	std::thread thread;
	std::atomic<bool> stopping{false};
};

/*
 * Every accepted job ends: an idempotent one as done, another one as done or
 * unknown. No job that was reported as not run exists.
 */
void
expect_truthful_outcomes(Cluster &c, const Load &load)
{
	for (const auto &job : load.accepted) {
		Response r = c.await_job(job.first);

		ASSERT_EQ(r.status, 200) << job.first << " was lost";
		if (!job.second) {
			EXPECT_EQ(r.text("state"), "done") << job.first;
		} else {
			EXPECT_TRUE(r.text("state") == "done" ||
			    r.text("state") == "unknown")
			    << r.body;
		}
	}
	/* Rejected jobs must not exist. */
	for (const std::string &key : load.not_run) {
		TALLOC_CTX *mem = talloc_new(nullptr);
		Response r;

		ASSERT_TRUE(eventually([&] {
			r = c.job(*c.owner("d1"),
			    jj_job_id(mem, "d1", "t", key.c_str()));
			return r.status != 503 && r.status != 0;
		}));
		EXPECT_EQ(r.status, 404) << key << " reported not run";
		talloc_free(mem);
	}
	c.expect_no_violation();
}

TEST(OwnershipFaults, AcceptedJobsSurviveAKilledOwner)
{
	Cluster c({});
	Load load(c);

	c.start();
	load.begin();
	sleep_ms(1500);
	c.owner("d1")->process->signal(SIGKILL);
	sleep_ms(3000);
	load.stop();
	EXPECT_GT(load.accepted.size(), 50U);
	ASSERT_TRUE(eventually([&] { return c.owner("d1") != nullptr; }));
	expect_truthful_outcomes(c, load);
}

TEST(OwnershipFaults, OwnerPausedPastItsLeaseIsFenced)
{
	Cluster c({});
	Load load(c);

	c.start();
	Daemon *old_owner = c.owner("d1");

	load.begin();
	sleep_ms(1000);
	old_owner->process->signal(SIGSTOP);
	ASSERT_TRUE(eventually([&] {
		Daemon &other = c.daemons[0].vm == old_owner->vm ? c.daemons[1]
								 : c.daemons[0];

		return c.metric(other, "shard_takeovers_total") == 1;
	})) << "the shard has not changed owner";
	sleep_ms(2000);
	old_owner->process->signal(SIGCONT);
	ASSERT_TRUE(eventually([&] {
		return c.metric(*old_owner, "shard_fenced_total") == 1;
	})) << "old owner has not been fenced";
	sleep_ms(1000);
	load.stop();
	expect_truthful_outcomes(c, load);
}

TEST(OwnershipFaults, StoreOutageLongerThanAllLeases)
{
	Cluster c({});

	c.start();
	Daemon &d = c.daemons[0];
	Response service = c.submit(d, "svc", kService);
	Response before = c.submit(d, "before",
	    R"("kind":"batch","count":6,"cpu":8,"memory":"1GB","run":"900ms","idempotent":true)");

	ASSERT_EQ(service.status, 202);
	ASSERT_EQ(before.status, 202);
	ASSERT_TRUE(eventually([&] {
		return c.job(d, service.text("job")).number("running") == 4;
	}));
	uint64_t takeovers_before =
	    (uint64_t)(c.metric(c.daemons[0], "shard_takeovers_total") +
		c.metric(c.daemons[1], "shard_takeovers_total"));

	c.inject_fault(R"({"kind":"down"})");
	sleep_ms(6000);
	/* Requests are served; those that need the store first are not run. */
	Response refused = c.submit(d, "during", kNonIdempotent);

	EXPECT_EQ(refused.outcome, "not_run") << refused.body;
	EXPECT_GT(refused.number("retry_after_ms"), 0);
	EXPECT_EQ(
	    c.request(d, "hi", {"X-Idempotent: true"}).body, "answer to hi");
	EXPECT_EQ(
	    c.request(d, "hi", {"Idempotency-Key: k1"}).outcome, "not_run");
	EXPECT_EQ(c.execution_count("k1"), 0);
	Json w = c.worker_report();

	EXPECT_GE(json_integer_value(json_object_get(w.get(), "live")), 4)
	    << "service stopped";
	c.clear_faults();
	EXPECT_EQ(c.await_job(before.text("job")).text("state"), "done");
	ASSERT_TRUE(eventually([&] {
		return c.submit(d, "after", kNonIdempotent).status == 202;
	}));
	EXPECT_EQ(c.job(d, service.text("job")).number("running"), 4);
	EXPECT_EQ((uint64_t)(c.metric(c.daemons[0], "shard_takeovers_total") +
		      c.metric(c.daemons[1], "shard_takeovers_total")),
	    takeovers_before)
	    << "a takeover happened while the store was down";
	c.expect_no_violation();
}

struct StoreFaultCase {
	const char *name;
	const char *fault;
	bool takeover;
};

class FaultyStore : public testing::TestWithParam<StoreFaultCase>
{
};

TEST_P(FaultyStore, AcceptedJobsEnd)
{
	Cluster c({});
	Load load(c);

	c.start();
	load.begin();
	sleep_ms(300);
	c.inject_fault(GetParam().fault);
	if (GetParam().takeover)
		c.owner("d1")->process->signal(SIGKILL);
	sleep_ms(4000);
	c.clear_faults();
	load.stop();
	ASSERT_TRUE(eventually([&] { return c.owner("d1") != nullptr; }));
	EXPECT_GT(load.accepted.size(), 10U);
	expect_truthful_outcomes(c, load);
}

INSTANTIATE_TEST_SUITE_P(Table, FaultyStore,
    testing::Values(
	StoreFaultCase{"AfterAppend",
	    R"({"kind":"lost","method":"PUT","match":"/log/","count":4})",
	    false},
	StoreFaultCase{"AppendAppliedLate",
	    R"({"kind":"late","method":"PUT","match":"/log/","count":4,"ms":900})",
	    false},
	StoreFaultCase{
	    "SlowStore", R"({"kind":"slow","match":"shard","ms":300})", false},
	StoreFaultCase{"AfterTakingTheHead",
	    R"({"kind":"lost","method":"PUT","match":"/head","count":2})",
	    true},
	StoreFaultCase{"AfterTheSeal",
	    R"({"kind":"lost","method":"PUT","match":"/log/","count":2})",
	    true},
	StoreFaultCase{"AfterTakingTheLease",
	    R"({"kind":"lost","method":"PUT","match":"/lease","count":1})",
	    true}),
    [](const testing::TestParamInfo<StoreFaultCase> &i) {
	    return i.param.name;
    });

TEST(OwnershipFaults, ConcurrentTakeoversLeaveOneOwner)
{
	Layout layout;

	layout.daemons_per_domain = 4;
	Cluster c(layout);

	c.start();
	for (int round = 0; round < 2; round++) {
		Daemon *owner = c.owner("d1");

		ASSERT_NE(owner, nullptr);
		owner->process->signal(SIGKILL);
		ASSERT_TRUE(
		    eventually([&] { return c.owner("d1") != nullptr; }));
	}
	int64_t owners = 0;

	for (Daemon &d : c.daemons) {
		if (d.process->running())
			owners += c.metric(d, "shard_takeovers_total") -
			    c.metric(d, "shard_fenced_total");
	}
	EXPECT_EQ(owners, 1);
	Response r = c.submit(*c.owner("d1"), "k", kIdempotent);

	EXPECT_EQ(c.await_job(r.text("job")).text("state"), "done");
	c.expect_no_violation();
}

TEST(OwnershipFaults, NonIdempotentTaskOfALostWorkerIsUnknown)
{
	Cluster c({});

	c.start();
	Daemon &d = c.daemons[0];
	Response non_idempotent = c.submit(d, "once",
	    R"("kind":"batch","cpu":1,"memory":"1GB","run":"60s","idempotent":false)");
	Response idempotent = c.submit(d, "again",
	    R"("kind":"batch","count":8,"cpu":1,"memory":"1GB","run":"4s","idempotent":true)");

	ASSERT_TRUE(eventually([&] {
		return c.job(d, non_idempotent.text("job")).number("running") ==
		    1 &&
		    c.job(d, idempotent.text("job")).number("running") == 8;
	}));
	for (size_t i = 0; i < c.worker_address.size(); i++)
		c.set_worker_behaviour(i, R"({"cut":true})");
	ASSERT_TRUE(eventually([&] {
		return c.get(d, "/v1/workers").body.find("usable") ==
		    std::string::npos;
	}));
	Response lost = c.await_job(non_idempotent.text("job"));

	EXPECT_EQ(lost.text("state"), "unknown") << lost.body;
	for (size_t i = 0; i < c.worker_address.size(); i++)
		c.set_worker_behaviour(i, R"({"cut":false})");
	EXPECT_EQ(c.await_job(idempotent.text("job")).text("state"), "done");
	EXPECT_EQ(c.job(d, non_idempotent.text("job")).text("state"), "unknown")
	    << "outcome of a lost task not unknown";
	c.expect_no_violation();
}

TEST(OwnershipFaults, GracefulShutdownReleasesTheShard)
{
	Cluster c({});
	Load load(c);

	c.start();
	Daemon *owner = c.owner("d1");

	load.begin();
	sleep_ms(800);
	owner->process->signal(SIGTERM);
	EXPECT_EQ(owner->process->wait(25000), 0);
	ASSERT_TRUE(eventually([&] { return c.owner("d1") != nullptr; }));
	sleep_ms(500);
	load.stop();
	expect_truthful_outcomes(c, load);
}

} // namespace
