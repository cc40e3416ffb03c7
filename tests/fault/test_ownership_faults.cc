/* Shards change their owner while work goes on. */
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

const char *const kBatch =
    R"("kind":"batch","count":2,"cpu":0.5,"memory":"1GB","run":"150ms","idempotent":true)";
const char *const kOnce =
    R"("kind":"batch","count":1,"cpu":0.5,"memory":"1GB","run":"150ms","idempotent":false)";
const char *const kService =
    R"("kind":"service","class":"urgent","count":4,"cpu":1,"memory":"1GB")";

void
sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* Submits jobs through all daemons and remembers what it was told. */
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

	std::vector<std::pair<std::string, bool>> accepted;
	std::vector<std::string> not_run;
	std::atomic<int> unknown{0};
	std::string prefix = "load";

      private:
	void
	run()
	{
		for (int i = 0; !stopping && i < 2000; i++) {
			bool once = i % 3 == 0;
			std::string key = prefix + std::to_string(i);
			Daemon &d = c.daemons[(size_t)i % c.daemons.size()];

			if (!d.process || !d.process->running())
				continue;
			Response r = c.submit(d, key, once ? kOnce : kBatch);

			if (r.status == 202)
				accepted.emplace_back(r.text("job"), once);
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

/* Every accepted job ends, and truthfully. */
void
expect_all_end(Cluster &c, const Load &load)
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
	/* What was said not to have run is not there. */
	for (const std::string &key : load.not_run) {
		TALLOC_CTX *mem = talloc_new(nullptr);
		Response r;

		ASSERT_TRUE(eventually([&] {
			r = c.job(*c.owner("d1"),
			    jj_job_id(mem, "d1", "t", key.c_str()));
			return r.status != 503 && r.status != 0;
		}));
		EXPECT_EQ(r.status, 404) << key << " was told not run";
		talloc_free(mem);
	}
	c.expect_no_violation();
}

TEST(OwnershipFaults, OwnerKilledUnderLoad)
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
	expect_all_end(c, load);
}

TEST(OwnershipFaults, OwnerPausedPastItsLeaseGoesOn)
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
	})) << "nobody has taken the shard over";
	sleep_ms(2000);
	old_owner->process->signal(SIGCONT);
	ASSERT_TRUE(eventually([&] {
		return c.metric(*old_owner, "shard_fenced_total") == 1;
	})) << "the old owner has not noticed";
	sleep_ms(1000);
	load.stop();
	expect_all_end(c, load);
}

TEST(OwnershipFaults, StoreDownForLongerThanEveryLease)
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
	uint64_t epoch_takeovers =
	    (uint64_t)(c.metric(c.daemons[0], "shard_takeovers_total") +
		c.metric(c.daemons[1], "shard_takeovers_total"));

	c.inject_fault(R"({"kind":"down"})");
	sleep_ms(6000);
	/* Work goes on; what needs durability first is refused as not run. */
	Response refused = c.submit(d, "during", kOnce);

	EXPECT_EQ(refused.outcome, "not_run") << refused.body;
	EXPECT_GT(refused.number("retry_after_ms"), 0);
	EXPECT_EQ(
	    c.request(d, "hi", {"X-Idempotent: true"}).body, "answer to hi");
	EXPECT_EQ(
	    c.request(d, "hi", {"Idempotency-Key: k1"}).outcome, "not_run");
	EXPECT_EQ(c.execution_count("k1"), 0);
	Json w = c.worker_report();

	EXPECT_GE(json_integer_value(json_object_get(w.get(), "live")), 4)
	    << "services run on";
	c.clear_faults();
	EXPECT_EQ(c.await_job(before.text("job")).text("state"), "done");
	ASSERT_TRUE(eventually(
	    [&] { return c.submit(d, "after", kOnce).status == 202; }));
	EXPECT_EQ(c.job(d, service.text("job")).number("running"), 4);
	EXPECT_EQ((uint64_t)(c.metric(c.daemons[0], "shard_takeovers_total") +
		      c.metric(c.daemons[1], "shard_takeovers_total")),
	    epoch_takeovers)
	    << "nobody can take over while the store is down";
	c.expect_no_violation();
}

struct LostCase {
	const char *name;
	const char *fault;
	bool takeover;
};

class LostAnswers : public testing::TestWithParam<LostCase>
{
};

TEST_P(LostAnswers, ChangeNoOutcome)
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
	expect_all_end(c, load);
}

INSTANTIATE_TEST_SUITE_P(Table, LostAnswers,
    testing::Values(
	LostCase{"AfterAppend",
	    R"({"kind":"lost","method":"PUT","match":"/log/","count":4})",
	    false},
	LostCase{"AppendAppliedLate",
	    R"({"kind":"late","method":"PUT","match":"/log/","count":4,"ms":900})",
	    false},
	LostCase{
	    "SlowStore", R"({"kind":"slow","match":"shard","ms":300})", false},
	LostCase{"AfterTakingTheHead",
	    R"({"kind":"lost","method":"PUT","match":"/head","count":2})",
	    true},
	LostCase{"AfterTheSeal",
	    R"({"kind":"lost","method":"PUT","match":"/log/","count":2})",
	    true},
	LostCase{"AfterTakingTheLease",
	    R"({"kind":"lost","method":"PUT","match":"/lease","count":1})",
	    true}),
    [](const testing::TestParamInfo<LostCase> &i) { return i.param.name; });

TEST(OwnershipFaults, DaemonsRacingForAHeadLeaveOneOwner)
{
	Layout layout;

	layout.daemons_per_domain = 4;
	Cluster c(layout);

	c.start();
	for (int round = 0; round < 2; round++) {
		Daemon *o = c.owner("d1");

		ASSERT_NE(o, nullptr);
		o->process->signal(SIGKILL);
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
	Response r = c.submit(*c.owner("d1"), "k", kBatch);

	EXPECT_EQ(c.await_job(r.text("job")).text("state"), "done");
	c.expect_no_violation();
}

TEST(OwnershipFaults, LostWorkerWithANonIdempotentTask)
{
	Cluster c({});

	c.start();
	Daemon &d = c.daemons[0];
	Response once = c.submit(d, "once",
	    R"("kind":"batch","cpu":1,"memory":"1GB","run":"60s","idempotent":false)");
	Response again = c.submit(d, "again",
	    R"("kind":"batch","count":8,"cpu":1,"memory":"1GB","run":"4s","idempotent":true)");

	ASSERT_TRUE(eventually([&] {
		return c.job(d, once.text("job")).number("running") == 1 &&
		    c.job(d, again.text("job")).number("running") == 8;
	}));
	for (size_t i = 0; i < c.worker_address.size(); i++)
		c.set_worker_behaviour(i, R"({"cut":true})");
	ASSERT_TRUE(eventually([&] {
		return c.get(d, "/v1/workers").body.find("usable") ==
		    std::string::npos;
	}));
	Response lost = c.await_job(once.text("job"));

	EXPECT_EQ(lost.text("state"), "unknown") << lost.body;
	for (size_t i = 0; i < c.worker_address.size(); i++)
		c.set_worker_behaviour(i, R"({"cut":false})");
	EXPECT_EQ(c.await_job(again.text("job")).text("state"), "done");
	EXPECT_EQ(c.job(d, once.text("job")).text("state"), "unknown")
	    << "never not-run, and never run again";
	c.expect_no_violation();
}

TEST(OwnershipFaults, PlannedExitHandsTheShardOver)
{
	Cluster c({});
	Load load(c);

	c.start();
	Daemon *o = c.owner("d1");

	load.begin();
	sleep_ms(800);
	o->process->signal(SIGTERM);
	EXPECT_EQ(o->process->wait(25000), 0);
	ASSERT_TRUE(eventually([&] { return c.owner("d1") != nullptr; }));
	sleep_ms(500);
	load.stop();
	expect_all_end(c, load);
}

} // namespace
