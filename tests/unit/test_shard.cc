/* Scheduling and recovery decisions of one shard. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include <utlist.h>

#include "common/clock.h"
#include "state/shard.h"
}

namespace
{

constexpr int64_t kGb = 1000000000;

class ShardTest : public testing::Test
{
      protected:
	struct sh_shard *sh = nullptr;
	int64_t now_us = 1000 * CLK_US_PER_S;
	int next = 0;

	void
	make(uint32_t workers, struct st_res capacity,
	    const struct po_policy *policy = po_get(PO_ORDINARY, PO_PACKING))
	{
		struct sh_settings s = {6 * CLK_US_PER_S, 2 * CLK_US_PER_S,
		    CLK_US_PER_S / 10, 3600 * CLK_US_PER_S, 1 << 20};
		std::vector<std::string> ids;
		std::vector<struct sh_worker_spec> spec;

		for (uint32_t w = 0; w < workers; w++)
			ids.push_back("w" + std::to_string(w));
		for (uint32_t w = 0; w < workers; w++)
			spec.push_back(
			    {ids[w].c_str(), "127.0.0.1:1", "r", capacity});
		sh = sh_create(nullptr, "s", &s, policy, 1);
		sh_set_workers(sh, spec.data(), workers);
		sh_activate(sh, 1, now_us);
		for (uint32_t w = 0; w < workers; w++)
			answer(w, true);
	}
	void
	TearDown() override
	{
		talloc_free(sh);
	}

	/* The worker accepts all starts and stops of a message. */
	struct sh_sync
	exchange(uint32_t w)
	{
		struct sh_sync sync;
		std::vector<struct sh_ref> started;
		std::vector<struct sh_ended> ended;
		struct sh_sync_reply r = {};

		sh_sync_build(sh, w, now_us, &sync);
		for (uint32_t i = 0; i < sync.start_count; i++)
			started.push_back(sync.start[i].ref);
		for (uint32_t i = 0; i < sync.stop_count; i++)
			ended.push_back(
			    {sync.stop[i].ref, ST_RESULT_CANCELLED});
		r.clock_us = now_us;
		r.lease_generation = 1;
		r.started = started.data();
		r.started_count = started.size();
		r.ended = ended.data();
		r.ended_count = ended.size();
		EXPECT_TRUE(sh_sync_reply(sh, w, &r, now_us));
		return sync;
	}
	void
	answer(uint32_t w, bool inventory)
	{
		struct sh_sync_reply r = {};
		struct sh_sync sync;

		sh_sync_build(sh, w, now_us, &sync);
		r.clock_us = now_us;
		r.lease_generation = 1;
		r.has_inventory = inventory;
		EXPECT_TRUE(sh_sync_reply(sh, w, &r, now_us));
	}
	void
	exchange_all()
	{
		for (uint32_t w = 0; w < sh->worker_count; w++)
			exchange(w);
	}
	void
	end(struct sh_task *task, enum st_result result)
	{
		struct sh_sync_reply r = {};
		struct sh_sync sync;
		struct sh_ended e = {
		    {task->job->spec->id, task->index, task->attempt}, result};
		uint32_t w = task->worker;

		sh_sync_build(sh, w, now_us, &sync);
		r.clock_us = now_us;
		r.lease_generation = 1;
		r.ended = &e;
		r.ended_count = 1;
		EXPECT_TRUE(sh_sync_reply(sh, w, &r, now_us));
	}
	struct sh_job *
	submit(enum st_kind kind, enum st_class c, uint32_t count,
	    struct st_res each, int64_t run_us, bool idempotent = true,
	    const char *team = "t", enum sh_submit_result expect = SH_ACCEPTED)
	{
		std::string id = "s.j" + std::to_string(next++);
		struct st_job_spec spec = {};
		struct sh_job *job = nullptr;
		const char *why;

		spec.id = const_cast<char *>(id.c_str());
		spec.key = spec.id;
		spec.team = const_cast<char *>(team);
		spec.name = const_cast<char *>("n");
		spec.kind = kind;
		spec.job_class = c;
		spec.count = count;
		spec.per_task = each;
		spec.run_us = run_us;
		spec.idempotent = idempotent;
		EXPECT_EQ(sh_submit(sh, &spec, now_us, &job, &why), expect);
		return job;
	}
	void
	tick(int64_t by_us = 0)
	{
		now_us += by_us;
		sh_tick(sh, now_us);
		EXPECT_EQ(sh_check_invariants(sh), nullptr)
		    << sh_check_invariants(sh);
	}
	/* Lets time pass while all leases are renewed. */
	void
	pass(int64_t by_us)
	{
		int64_t until_us = now_us + by_us;

		while (now_us < until_us) {
			tick(500 * CLK_US_PER_MS);
			exchange_all();
		}
	}
	uint32_t
	placed(const struct sh_job *job)
	{
		uint32_t n = 0;

		for (uint32_t i = 0; i < job->spec->count; i++)
			n += job->task[i].worker != PL_NONE;
		return n;
	}
	void
	commit()
	{
		sh_committed(sh, sh->last_number);
	}
};

TEST_F(ShardTest, ImpossibleJobIsRefusedWithTheLackingResource)
{
	struct Case {
		enum st_kind kind;
		uint32_t count;
		struct st_res each;
		const char *lacking;
	} cases[] = {
	    {ST_BATCH, 1, {64000, kGb, 0}, "cpu"},
	    {ST_BATCH, 1, {1000, 500 * kGb, 0}, "memory"},
	    {ST_BATCH, 1, {1000, kGb, 9}, "accelerators"},
	    {ST_GANG, 5, {1000, kGb, 8}, "accelerators"},
	    {ST_GANG, 200, {1000, kGb, 0}, "cpu"},
	};

	make(4, {32000, 128 * kGb, 8});
	for (const Case &c : cases) {
		struct st_job_spec spec = {};

		spec.kind = c.kind;
		spec.count = c.count;
		spec.per_task = c.each;
		EXPECT_STREQ(sh_check_fit(sh, &spec), c.lacking);
		submit(c.kind, ST_NORMAL, c.count, c.each, 1000, true, "t",
		    SH_IMPOSSIBLE);
	}
}

TEST_F(ShardTest, NonIdempotentStartWaitsForTheLog)
{
	make(1, {8000, 16 * kGb, 0});
	struct sh_job *job =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000, false);

	tick();
	EXPECT_EQ(job->task[0].state, SH_LOGGING);
	EXPECT_EQ(exchange(0).start_count, 0U);
	commit();
	EXPECT_EQ(exchange(0).start_count, 1U);
	EXPECT_EQ(job->task[0].state, SH_RUNNING);
}

TEST_F(ShardTest, OutcomeIsAcknowledgedOnlyOnceItIsDurable)
{
	make(1, {8000, 16 * kGb, 0});
	struct sh_job *job =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000);

	tick();
	exchange(0);
	commit();
	end(&job->task[0], ST_RESULT_DONE);
	EXPECT_FALSE(sh_job_ended(sh, job));
	struct sh_sync sync;
	sh_sync_build(sh, 0, now_us, &sync);
	EXPECT_EQ(sync.ack_count, 0U);
	sh_sync_failed(sh, 0, now_us);
	commit();
	EXPECT_TRUE(sh_job_ended(sh, job));
	sh_sync_build(sh, 0, now_us, &sync);
	EXPECT_EQ(sync.ack_count, 1U);
}

TEST_F(ShardTest, LostWorkerRequeuesIdempotentTasksOnly)
{
	make(1, {8000, 16 * kGb, 0});
	struct sh_job *again =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000, true);
	struct sh_job *once =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000, false);

	tick();
	commit();
	exchange(0);
	/* It is silent, but its lease may not have expired yet. */
	tick(5 * CLK_US_PER_S);
	EXPECT_EQ(again->task[0].state, SH_RUNNING);
	tick(3 * CLK_US_PER_S);
	EXPECT_EQ(sh->worker[0].state, SH_W_LOST);
	EXPECT_EQ(again->task[0].state, SH_WAITING);
	EXPECT_EQ(once->task[0].result, ST_RESULT_UNKNOWN);
	/* The worker returns and reports the outcome. */
	struct sh_sync_reply r = {};
	struct sh_sync sync;
	struct sh_ended e = {
	    {once->spec->id, 0, once->task[0].attempt}, ST_RESULT_DONE};

	sh_sync_build(sh, 0, now_us, &sync);
	r.clock_us = now_us;
	r.lease_generation = 2;
	r.has_inventory = true;
	r.ended = &e;
	r.ended_count = 1;
	sh_sync_reply(sh, 0, &r, now_us);
	EXPECT_EQ(once->task[0].result, ST_RESULT_DONE);
}

TEST_F(ShardTest, QuotaLimitsTasksAndIsNamedAsTheReason)
{
	struct st_res quota = {4000, 100 * kGb, 0};
	char why[SH_TEXT_BYTES];

	make(4, {8000, 16 * kGb, 0});
	sh_set_quota(sh, "t", &quota);
	struct sh_job *job =
	    submit(ST_BATCH, ST_NORMAL, 8, {1000, kGb, 0}, CLK_US_PER_S);

	tick();
	EXPECT_EQ(placed(job), 4U);
	sh_explain_wait(sh, job, why);
	EXPECT_NE(std::string(why).find("quota of cpu"), std::string::npos)
	    << why;
}

TEST_F(ShardTest, TeamsShareByDominantResource)
{
	make(4, {10000, 100 * kGb, 0});
	struct sh_job *a = submit(
	    ST_BATCH, ST_NORMAL, 100, {1000, kGb, 0}, CLK_US_PER_S, true, "a");
	struct sh_job *b = submit(
	    ST_BATCH, ST_NORMAL, 100, {1000, kGb, 0}, CLK_US_PER_S, true, "b");

	tick();
	EXPECT_EQ(placed(a) + placed(b), 40U);
	EXPECT_NEAR((double)placed(a), (double)placed(b), 1.0);
}

TEST_F(ShardTest, MaintenancePresetStartsNoHeavyJobs)
{
	make(2, {8000, 16 * kGb, 0}, po_get(PO_MAINTENANCE, PO_PACKING));
	struct sh_job *heavy =
	    submit(ST_BATCH, ST_HEAVY, 2, {1000, kGb, 0}, 1000);
	struct sh_job *normal =
	    submit(ST_BATCH, ST_NORMAL, 2, {1000, kGb, 0}, 1000);

	tick();
	EXPECT_EQ(placed(heavy), 0U);
	EXPECT_EQ(placed(normal), 2U);
	sh_set_policy(sh, po_get(PO_ORDINARY, PO_PACKING));
	tick();
	EXPECT_EQ(placed(heavy), 2U);
}

TEST_F(ShardTest, UrgentPreemptsHeavyButNeverAService)
{
	make(2, {4000, 16 * kGb, 0});
	struct sh_job *service =
	    submit(ST_SERVICE, ST_HEAVY, 1, {4000, kGb, 0}, 0);
	struct sh_job *heavy =
	    submit(ST_BATCH, ST_HEAVY, 1, {4000, kGb, 0}, 3600 * CLK_US_PER_S);

	tick();
	exchange_all();
	ASSERT_EQ(placed(service) + placed(heavy), 2U);
	struct sh_job *urgent =
	    submit(ST_BATCH, ST_URGENT, 1, {2000, kGb, 0}, CLK_US_PER_S);

	tick();
	EXPECT_TRUE(heavy->task[0].stop);
	EXPECT_FALSE(service->task[0].stop);
	exchange_all();
	tick(20 * CLK_US_PER_MS);
	EXPECT_EQ(placed(urgent), 1U);
	EXPECT_EQ(heavy->task[0].state, SH_WAITING);
}

TEST_F(ShardTest, UrgentGetsTheCapacityFreedByPreemption)
{
	make(4, {4000, 64 * kGb, 0});
	for (int i = 0; i < 200; i++)
		submit(ST_BATCH, ST_HEAVY, 1, {1000, kGb, 0},
		    3600 * CLK_US_PER_S, true, "heavy");
	tick();
	exchange_all();
	std::vector<struct sh_job *> urgent;

	for (int i = 0; i < 8; i++)
		urgent.push_back(submit(ST_BATCH, ST_URGENT, 1, {1000, kGb, 0},
		    60 * CLK_US_PER_S, true, "urgent"));
	for (int i = 0; i < 10; i++) {
		tick(20 * CLK_US_PER_MS);
		exchange_all();
	}
	for (struct sh_job *job : urgent)
		EXPECT_EQ(placed(job), 1U);
}

TEST_F(ShardTest, UnplaceableUrgentJobDoesNotBlockHeavyJobs)
{
	make(2, {4000, 64 * kGb, 1});
	submit(ST_SERVICE, ST_NORMAL, 2, {1000, kGb, 1}, 0);
	tick();
	exchange_all();
	/* A service, which is never preempted, uses all accelerators. */
	submit(ST_BATCH, ST_URGENT, 1, {1000, kGb, 1}, CLK_US_PER_S);
	struct sh_job *heavy =
	    submit(ST_BATCH, ST_HEAVY, 4, {1000, kGb, 0}, CLK_US_PER_S);

	tick(20 * CLK_US_PER_MS);
	EXPECT_EQ(placed(heavy), 4U);
}

/* With more unplaceable jobs than a pass tries, later jobs must still start. */
TEST_F(ShardTest, PassCutShortContinuesWhereItStopped)
{
	make(2, {4000, 64 * kGb, 0});
	submit(ST_BATCH, ST_NORMAL, 2, {3000, kGb, 0}, 60 * CLK_US_PER_S);
	tick();
	exchange_all();
	for (int i = 0; i < 300; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {2000 + i % 7 * 100, kGb, 0},
		    CLK_US_PER_S);
	struct sh_job *small =
	    submit(ST_BATCH, ST_NORMAL, 1, {500, kGb, 0}, CLK_US_PER_S);

	for (int i = 0; i < 8 && placed(small) == 0; i++)
		tick(20 * CLK_US_PER_MS);
	EXPECT_EQ(placed(small), 1U);
}

/* A worker that is no longer configured runs tasks until its lease expires. */
TEST_F(ShardTest, TasksOfARemovedWorkerStayUnreconciledForOneLease)
{
	make(2, {4000, 64 * kGb, 0});
	submit(ST_BATCH, ST_NORMAL, 2, {4000, kGb, 0}, 3600 * CLK_US_PER_S);
	tick();
	commit();
	exchange_all();
	TALLOC_CTX *mem = talloc_new(nullptr);
	struct sh_settings settings = sh->settings;

	for (bool removed : {false, true}) {
		struct sh_shard *copy =
		    sh_create(mem, "s", &settings, sh->policy, 2);
		struct sh_worker_spec spec[2] = {
		    {"w0", "127.0.0.1:1", "r", {4000, 64 * kGb, 0}},
		    {"w1", "127.0.0.1:1", "r", {4000, 64 * kGb, 0}}};
		size_t count;
		struct rc_record **records =
		    sh_snapshot(sh, mem, &count, now_us, CLK_US_PER_S);

		sh_set_workers(copy, spec, removed ? 1 : 2);
		for (size_t i = 0; i < count; i++)
			sh_apply(copy, records[i]);
		sh_activate(copy, 2, now_us);
		/* No worker lists the tasks as running. */
		for (uint32_t w = 0; w < copy->worker_count; w++) {
			struct sh_sync_reply r = {};
			struct sh_sync sync;

			sh_sync_build(copy, w, now_us, &sync);
			r.lease_generation = 5;
			r.has_inventory = true;
			sh_sync_reply(copy, w, &r, now_us);
		}
		struct sh_job *job = sh_find_job(copy, "s.j0");

		sh_tick(copy, now_us);
		EXPECT_EQ(job->task[0].state == SH_UNRECONCILED, removed);
		sh_tick(copy, now_us + 7 * CLK_US_PER_S);
		EXPECT_NE(job->task[0].state, SH_UNRECONCILED);
	}
	talloc_free(mem);
}

TEST_F(ShardTest, GangIsNotStarvedBySmallJobs)
{
	make(4, {4000, 16 * kGb, 0});
	/* Small jobs are submitted all the time and nearly fill the workers. */
	for (int i = 0; i < 16; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0},
		    (1 + i % 4) * CLK_US_PER_S, true, "small");
	tick();
	exchange_all();
	struct sh_job *gang = submit(
	    ST_GANG, ST_NORMAL, 4, {4000, kGb, 0}, CLK_US_PER_S, true, "big");
	int64_t begin_us = now_us;

	while (placed(gang) == 0 && now_us < begin_us + 60 * CLK_US_PER_S) {
		submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 2 * CLK_US_PER_S,
		    true, "small");
		for (uint32_t w = 0; w < 4; w++) {
			struct sh_task *task;
			struct sh_task *next_task;

			DL_FOREACH_SAFE(sh->worker[w].tasks, task, next_task) {
				if (task->state == SH_RUNNING &&
				    now_us - task->started_us >=
					task->job->spec->run_us)
					end(task, ST_RESULT_DONE);
			}
		}
		tick(100 * CLK_US_PER_MS);
		exchange_all();
	}
	EXPECT_EQ(placed(gang), 4U);
	EXPECT_LT(now_us, begin_us + 20 * CLK_US_PER_S);
}

TEST_F(ShardTest, TwoLargeGangsDoNotBlockEachOther)
{
	make(4, {4000, 16 * kGb, 0});
	struct sh_job *a = submit(
	    ST_GANG, ST_NORMAL, 3, {4000, kGb, 0}, CLK_US_PER_S, true, "a");
	struct sh_job *b = submit(
	    ST_GANG, ST_NORMAL, 3, {4000, kGb, 0}, CLK_US_PER_S, true, "b");

	tick();
	EXPECT_EQ(placed(a) + placed(b), 3U);
	exchange_all();
	struct sh_job *first = placed(a) > 0 ? a : b;
	struct sh_job *second = first == a ? b : a;

	for (uint32_t i = 0; i < 3; i++)
		end(&first->task[i], ST_RESULT_DONE);
	tick(CLK_US_PER_S);
	EXPECT_EQ(placed(second), 3U);
}

TEST_F(ShardTest, BackfillNeverDelaysAReservation)
{
	make(2, {4000, 16 * kGb, 0});
	submit(ST_BATCH, ST_NORMAL, 1, {2000, kGb, 0}, 10 * CLK_US_PER_S, true,
	    "x");
	tick();
	exchange_all();
	struct sh_job *gang = submit(
	    ST_GANG, ST_NORMAL, 2, {4000, kGb, 0}, CLK_US_PER_S, true, "g");

	tick();
	ASSERT_EQ(sh->reservation.job, gang);
	struct sh_job *short_job = submit(ST_BATCH, ST_NORMAL, 1,
	    {1000, kGb, 0}, 5 * CLK_US_PER_S, true, "y");
	struct sh_job *long_job = submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0},
	    60 * CLK_US_PER_S, true, "y");
	struct sh_job *once = submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0},
	    5 * CLK_US_PER_S, false, "y");

	tick(20 * CLK_US_PER_MS);
	EXPECT_EQ(placed(short_job), 1U);
	EXPECT_EQ(placed(long_job), 0U);
	EXPECT_EQ(placed(once), 0U) << "it could not be preempted again";
}

TEST_F(ShardTest, WorkerThatFailsEverythingIsQuarantined)
{
	make(3, {4000, 16 * kGb, 0});
	for (int i = 0; i < 12; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, CLK_US_PER_S);
	tick();
	exchange_all();
	int failed = 0;

	while (sh->worker[0].tasks != nullptr && failed++ < 4)
		end(sh->worker[0].tasks, ST_RESULT_FAILED);
	tick();
	EXPECT_FALSE(sh->table->worker[0].usable);
	EXPECT_TRUE(sh->table->worker[1].usable);
	/* After the quarantine, one task at a time until one succeeds. */
	for (uint32_t w = 1; w < 3; w++) {
		while (sh->worker[w].tasks != nullptr)
			end(sh->worker[w].tasks, ST_RESULT_DONE);
	}
	commit();
	pass(31 * CLK_US_PER_S);
	for (int i = 0; i < 12; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {4000, kGb, 0}, CLK_US_PER_S);
	tick();
	ASSERT_NE(sh->worker[0].tasks, nullptr);
	exchange_all();
	EXPECT_TRUE(sh->worker[0].probing);
	end(sh->worker[0].tasks, ST_RESULT_DONE);
	EXPECT_FALSE(sh->worker[0].probing);
}

TEST_F(ShardTest, WorkerGetsOneTaskAfterItsQuarantineInOnePass)
{
	make(1, {4000, 16 * kGb, 0});
	for (int i = 0; i < 3; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, CLK_US_PER_S);
	tick();
	exchange_all();
	while (sh->worker[0].tasks != nullptr)
		end(sh->worker[0].tasks, ST_RESULT_FAILED);
	commit();
	ASSERT_TRUE(sh->worker[0].probing);
	for (int i = 0; i < 80 && sh->worker[0].tasks == nullptr; i++)
		pass(500 * CLK_US_PER_MS);
	ASSERT_NE(sh->worker[0].tasks, nullptr);
	EXPECT_EQ(sh->worker[0].tasks->next, nullptr);
}

/* A service doesn't end, so its worker took nothing else. */
TEST_F(ShardTest, WorkerWhoseTaskAfterAQuarantineLastsTakesOthersAsWell)
{
	make(1, {4000, 16 * kGb, 0});
	for (int i = 0; i < 4; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {500, kGb, 0}, CLK_US_PER_S);
	tick();
	exchange_all();
	while (!sh->worker[0].probing && sh->worker[0].tasks != nullptr)
		end(sh->worker[0].tasks, ST_RESULT_FAILED);
	ASSERT_TRUE(sh->worker[0].probing);
	while (sh->worker[0].tasks != nullptr)
		end(sh->worker[0].tasks, ST_RESULT_CANCELLED);
	commit();
	struct sh_job *service =
	    submit(ST_SERVICE, ST_URGENT, 1, {1000, kGb, 0}, 0);

	pass(31 * CLK_US_PER_S);
	ASSERT_EQ(service->task[0].state, SH_RUNNING);
	struct sh_job *other =
	    submit(ST_BATCH, ST_NORMAL, 1, {500, kGb, 0}, CLK_US_PER_S);

	pass(5 * CLK_US_PER_S);
	EXPECT_EQ(placed(other), 0U);
	pass(30 * CLK_US_PER_S);
	EXPECT_EQ(placed(other), 1U);
}

TEST_F(ShardTest, TaskFromBeforeAQuarantineKeepsNoOthersFromTheWorker)
{
	make(1, {4000, 16 * kGb, 0});
	submit(ST_SERVICE, ST_URGENT, 1, {1000, kGb, 0}, 0);
	tick();
	for (int i = 0; i < 3; i++)
		submit(ST_BATCH, ST_NORMAL, 1, {500, kGb, 0}, CLK_US_PER_S);
	tick();
	exchange_all();
	while (!sh->worker[0].probing) {
		struct sh_task *task = sh->worker[0].tasks;

		while (task->job->spec->kind == ST_SERVICE)
			task = task->next;
		end(task, ST_RESULT_FAILED);
	}
	commit();
	pass(31 * CLK_US_PER_S);

	const struct sh_task *task;
	int tasks = 0;

	/* One of the tasks that failed. */
	DL_FOREACH(sh->worker[0].tasks, task)
		tasks++;
	EXPECT_EQ(tasks, 2);
	EXPECT_TRUE(sh->worker[0].probing);
}

TEST_F(ShardTest, FailingJobDoesNotQuarantineAllWorkers)
{
	make(12, {4000, 16 * kGb, 0});
	struct sh_job *bad =
	    submit(ST_BATCH, ST_NORMAL, 48, {1000, kGb, 0}, CLK_US_PER_S);

	for (int round = 0; round < 20; round++) {
		tick(20 * CLK_US_PER_MS);
		exchange_all();
		for (uint32_t i = 0; i < bad->spec->count; i++) {
			if (bad->task[i].state == SH_RUNNING)
				end(&bad->task[i], ST_RESULT_FAILED);
		}
	}
	commit();
	EXPECT_TRUE(sh_job_ended(sh, bad));
	EXPECT_EQ(bad->results[ST_RESULT_FAILED], 48U);
	tick();
	int usable = 0;

	for (uint32_t w = 0; w < 12; w++)
		usable += sh->table->worker[w].usable;
	EXPECT_GE(usable, 11);
}

TEST_F(ShardTest, CancellationsPerTickAreBounded)
{
	make(1, {1000, 16 * kGb, 0});
	std::vector<struct sh_job *> jobs;

	for (int i = 0; i < 3; i++)
		jobs.push_back(submit(
		    ST_BATCH, ST_NORMAL, 1000, {1000, kGb, 0}, CLK_US_PER_S));
	for (struct sh_job *job : jobs)
		sh_cancel(sh, job);
	uint32_t open = 3000;

	for (int i = 0; i < 10 && open > 0; i++) {
		tick(20 * CLK_US_PER_MS);
		uint32_t left = 0;

		for (struct sh_job *job : jobs)
			left += job->unfinished;
		EXPECT_LE(open - left, 512U);
		open = left;
	}
	EXPECT_EQ(open, 0U);
	EXPECT_LT(sh->pending_count, 10U) << "one record per job, not task";
}

TEST_F(ShardTest, LeavingWorkerIsDrained)
{
	make(2, {4000, 16 * kGb, 0});
	struct sh_job *service =
	    submit(ST_SERVICE, ST_NORMAL, 4, {1000, kGb, 0}, 0);
	struct sh_job *once = submit(
	    ST_BATCH, ST_NORMAL, 4, {1000, kGb, 0}, 3600 * CLK_US_PER_S, false);

	tick();
	commit();
	exchange_all();
	tick();
	uint32_t w = once->task[0].worker;

	sh_set_leaving(sh, w, true);
	exchange_all();
	tick(20 * CLK_US_PER_MS);
	exchange_all();
	for (uint32_t i = 0; i < 4; i++) {
		EXPECT_NE(service->task[i].worker, w);
		EXPECT_EQ(once->task[i].state, SH_RUNNING)
		    << "non-idempotent work must stay";
	}
}

TEST_F(ShardTest, StopIsSentAgainWhenAnInventoryListsTheTask)
{
	make(1, {4000, 16 * kGb, 0});
	struct sh_job *job =
	    submit(ST_SERVICE, ST_NORMAL, 1, {1000, kGb, 0}, 0);
	struct sh_sync sync;

	tick();
	commit();
	exchange_all();
	struct sh_ref run = {job->spec->id, 0, job->task[0].attempt};
	sh_cancel(sh, job);
	tick();
	for (int i = 0; i < 3; i++) {
		struct sh_sync_reply r = {};

		sh_sync_build(sh, 0, now_us, &sync);
		EXPECT_EQ(sync.stop_count, 1U) << i;
		r.clock_us = now_us;
		r.lease_generation = 1;
		EXPECT_TRUE(sh_sync_reply(sh, 0, &r, now_us));
		tick(CLK_US_PER_S);
		sh_sync_build(sh, 0, now_us, &sync);
		EXPECT_EQ(sync.stop_count, 0U) << i;
		r.clock_us = now_us;
		r.has_inventory = true;
		r.running = &run;
		r.running_count = 1;
		EXPECT_TRUE(sh_sync_reply(sh, 0, &r, now_us));
		EXPECT_TRUE(sh_sync_due(sh, 0, now_us)) << i;
	}
}

TEST_F(ShardTest, UsageRaisesAReservationAndNeverLowersIt)
{
	make(1, {8000, 16 * kGb, 0});
	struct sh_job *job =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, 2 * kGb, 0}, CLK_US_PER_S);

	tick();
	exchange(0);
	struct sh_usage u[2] = {
	    {{job->spec->id, 0, job->task[0].attempt}, {500, 3 * kGb, 0}},
	    {{job->spec->id, 0, job->task[0].attempt}, {100, kGb, 0}}};

	for (struct sh_usage &one : u) {
		struct sh_sync_reply r = {};
		struct sh_sync sync;

		sh_sync_build(sh, 0, now_us, &sync);
		r.clock_us = now_us;
		r.lease_generation = 1;
		r.usage = &one;
		r.usage_count = 1;
		sh_sync_reply(sh, 0, &r, now_us);
		EXPECT_EQ(job->task[0].reserved.mem_bytes, 3 * kGb);
		EXPECT_EQ(job->task[0].reserved.cpu_mcpu, 1000);
	}
	/* The next task of this kind reserves the reported use. */
	struct sh_job *second =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, 2 * kGb, 0}, CLK_US_PER_S);

	tick();
	EXPECT_EQ(second->task[0].reserved.mem_bytes, 3 * kGb);
}

TEST_F(ShardTest, StoreDownBlocksWhatMustBeLoggedFirst)
{
	make(1, {8000, 16 * kGb, 0});
	struct sh_job *again =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000, true);
	struct sh_job *once =
	    submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000, false);
	struct cl_claim *claim;

	commit();
	sh_set_store_ok(sh, false);
	tick();
	EXPECT_EQ(placed(again), 1U);
	EXPECT_EQ(placed(once), 0U);
	submit(ST_BATCH, ST_NORMAL, 1, {1000, kGb, 0}, 1000, true, "t",
	    SH_STORE_UNAVAILABLE);
	EXPECT_EQ(sh_claim_take(sh, "k", 1, 100, 200, 0, &claim), CL_FULL);
	sh_set_store_ok(sh, true);
	tick();
	EXPECT_EQ(placed(once), 1U);
}

/* Replaying a snapshot must give the durable state of the shard. */
TEST_F(ShardTest, SnapshotRebuildsTheShard)
{
	make(3, {8000, 16 * kGb, 0});
	std::vector<struct rc_record *> log;
	TALLOC_CTX *mem = talloc_new(nullptr);
	struct cl_claim *claim;

	for (int i = 0; i < 12; i++)
		submit(ST_BATCH, ST_NORMAL, 1 + (uint32_t)i % 3, {1000, kGb, 0},
		    CLK_US_PER_S, i % 2 == 0);
	sh_cancel(sh, sh_find_job(sh, "s.j3"));
	sh_claim_take(sh, "k1", 7, 1000, 2000, 0, &claim);
	sh_claim_end(
	    sh, "k1", ST_RESULT_DONE, 200, (const uint8_t *)"whole", 5);
	sh_claim_take(sh, "k2", 8, 1000, 2000, 0, &claim);
	for (int i = 0; i < 5; i++) {
		tick(20 * CLK_US_PER_MS);
		exchange_all();
		commit();
		for (uint32_t w = 0; w < 3; w++) {
			if (sh->worker[w].tasks != nullptr &&
			    sh->worker[w].tasks->state == SH_RUNNING)
				end(sh->worker[w].tasks,
				    i % 2 ? ST_RESULT_DONE : ST_RESULT_FAILED);
		}
	}
	commit();
	size_t count;
	struct rc_record **records =
	    sh_snapshot(sh, mem, &count, now_us, 3600 * CLK_US_PER_S);
	struct sh_settings s = sh->settings;
	struct sh_shard *copy = sh_create(mem, "s", &s, sh->policy, 2);

	for (size_t i = 0; i < count; i++)
		sh_apply(copy, records[i]);
	EXPECT_EQ(HASH_COUNT(copy->jobs), HASH_COUNT(sh->jobs));
	for (struct sh_job *job = sh->jobs; job != nullptr;
	     job = (struct sh_job *)job->hh.next) {
		struct sh_job *copied = sh_find_job(copy, job->spec->id);

		ASSERT_NE(copied, nullptr);
		EXPECT_EQ(copied->cancelled, job->cancelled);
		for (uint32_t i = 0; i < job->spec->count; i++) {
			EXPECT_EQ(copied->task[i].start_logged ||
				copied->task[i].state == SH_ENDED,
			    job->task[i].start_logged ||
				(job->task[i].state == SH_ENDED &&
				    job->task[i].attempt != 0));
			if (job->task[i].state == SH_ENDED &&
			    job->task[i].attempt != 0) {
				EXPECT_EQ(copied->task[i].result,
				    job->task[i].result);
			}
		}
	}
	ASSERT_NE(cl_find(copy->claims, "k1"), nullptr);
	EXPECT_EQ(cl_find(copy->claims, "k1")->response_bytes, 5U);
	EXPECT_EQ(cl_find(copy->claims, "k2")->state, CL_TAKEN);
	talloc_free(mem);
}

} // namespace
