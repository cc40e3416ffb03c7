/*
 * Contract tests of the interfaces to the platform. Each runs against every
 * implementation: the store's client with the stand-in for the store; and for
 * workers, both the model of the randomized tests and the stand-in over HTTP.
 */
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <unistd.h>

#include "../unit/shard_model.h"
#include "cluster.h"

extern "C" {
#include <curl/curl.h>

#include "protocol/json_fields.h"
#include "protocol/worker_json.h"
#include "transport/kv.h"
}

namespace
{

std::string
temp_log_path()
{
	return "/tmp/curranttack-contract-" + std::to_string(getpid()) + ".log";
}

/* --- the key-value service --- */

struct KvReply {
	enum kv_result result = KV_UNAVAILABLE;
	uint64_t revision = 0;
	uint64_t lease = 0;
	std::string value;
	int calls = 0;
};

class KvContract : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		store =
		    std::make_unique<Process>("tests/standins/standin-store",
			std::vector<std::string>{}, temp_log_path());
		loop = loop_create(nullptr);
		kv = kv_http_create(loop, hc_create(loop, loop, 0),
		    store->addresses[0].c_str(), 300 * CLK_US_PER_MS);
	}
	void
	TearDown() override
	{
		store.reset();
		unlink(temp_log_path().c_str());
	}
	static void
	on_answer(const struct kv_response *a, void *arg)
	{
		KvReply *r = static_cast<KvReply *>(arg);

		r->result = a->result;
		r->revision = a->revision;
		r->lease = a->lease;
		r->value.assign((const char *)a->value, a->value_bytes);
		r->calls++;
	}
	KvReply
	wait(const std::function<void(KvReply *)> &start)
	{
		KvReply r;

		start(&r);
		while (r.calls == 0)
			tevent_loop_once(loop_ev(loop));
		return r;
	}
	KvReply
	get(const char *key)
	{
		return wait(
		    [&](KvReply *r) { ops->get(kv, key, on_answer, r); });
	}
	KvReply
	put(const char *key, const std::string &value, enum kv_put_mode mode,
	    uint64_t revision = 0, uint64_t lease = 0)
	{
		struct kv_put p = {key, (const uint8_t *)value.data(),
		    value.size(), mode, revision, lease};

		return wait(
		    [&](KvReply *r) { ops->put(kv, &p, on_answer, r); });
	}
	KvReply
	del(const char *key, uint64_t revision = 0)
	{
		return wait([&](KvReply *r) {
			ops->del(kv, key, revision, on_answer, r);
		});
	}
	KvReply
	watch(const char *prefix, uint64_t after, int64_t wait_us)
	{
		return wait([&](KvReply *r) {
			ops->watch(kv, prefix, after, wait_us, on_answer, r);
		});
	}
	void
	inject_fault(const std::string &spec)
	{
		http("POST", "http://" + store->addresses[0] + "/_fault", spec);
	}

	const struct kv_ops *ops = &kv_http_ops;
	std::unique_ptr<Process> store;
	struct loop *loop = nullptr;
	void *kv = nullptr;
};

TEST_F(KvContract, CreateAndCompareAndSwap)
{
	EXPECT_EQ(get("a").result, KV_ABSENT);
	KvReply first = put("a", "1", KV_CREATE);

	EXPECT_EQ(first.result, KV_OK);
	EXPECT_EQ(put("a", "2", KV_CREATE).result, KV_CONFLICT);
	EXPECT_EQ(
	    put("a", "2", KV_CAS, first.revision + 7).result, KV_CONFLICT);
	KvReply second = put("a", "2", KV_CAS, first.revision);

	EXPECT_EQ(second.result, KV_OK);
	EXPECT_GT(second.revision, first.revision);
	EXPECT_EQ(get("a").value, "2");
	EXPECT_EQ(get("a").revision, second.revision);
	EXPECT_EQ(del("a", first.revision).result, KV_CONFLICT);
	EXPECT_EQ(del("a", second.revision).result, KV_OK);
	EXPECT_EQ(del("a").result, KV_ABSENT);
	EXPECT_GT(put("a", "3", KV_CREATE).revision, second.revision)
	    << "revisions grow past a deletion";
}

TEST_F(KvContract, BinaryValuesUpToAMegabyte)
{
	std::string value(KV_MAX_VALUE_BYTES, '\0');

	for (size_t i = 0; i < value.size(); i++)
		value[i] = (char)(i * 31);
	EXPECT_EQ(put("big", value, KV_CREATE).result, KV_OK);
	EXPECT_EQ(get("big").value, value);
	EXPECT_NE(put("more", value + "x", KV_CREATE).result, KV_OK);
	EXPECT_EQ(get("more").result, KV_ABSENT);
}

TEST_F(KvContract, KeysEndWithTheirLease)
{
	KvReply lease = wait([&](KvReply *r) {
		ops->lease_grant(kv, 200 * CLK_US_PER_MS, on_answer, r);
	});

	ASSERT_NE(lease.lease, 0U);
	EXPECT_EQ(put("k", "v", KV_CREATE, 0, lease.lease).result, KV_OK);
	auto renew = [&] {
		return wait([&](KvReply *r) {
			ops->lease_renew(kv, lease.lease, on_answer, r);
		}).result;
	};

	EXPECT_EQ(renew(), KV_OK);
	EXPECT_TRUE(eventually([&] { return get("k").result == KV_ABSENT; }));
	EXPECT_EQ(renew(), KV_ABSENT);
	EXPECT_NE(put("k", "v", KV_CREATE, 0, lease.lease).result, KV_OK)
	    << "an expired lease has no keys";
}

TEST_F(KvContract, WatchReturnsChangesAfterRevision)
{
	KvReply a = put("config/a", "1", KV_CREATE);

	put("other", "1", KV_CREATE);
	KvReply w = watch("config/", 0, 0);

	EXPECT_EQ(w.result, KV_OK);
	EXPECT_NE(w.value.find("config/a"), std::string::npos);
	EXPECT_EQ(w.value.find("other"), std::string::npos);
	EXPECT_EQ(watch("config/", w.revision, 0).value.find("config/a"),
	    std::string::npos);
	/* An open watch returns once there is a change. */
	KvReply late;

	ops->watch(
	    kv, "config/", w.revision, 20 * CLK_US_PER_S, on_answer, &late);
	put("config/a", "2", KV_CAS, a.revision);
	while (late.calls == 0)
		tevent_loop_once(loop_ev(loop));
	EXPECT_NE(late.value.find("config/a"), std::string::npos);
	EXPECT_GT(late.revision, w.revision);
}

struct KvFault {
	const char *name;
	const char *fault;
	enum kv_result put_result;
	bool applied;
	bool applied_later;
};

class KvFaults : public KvContract, public testing::WithParamInterface<KvFault>
{
};

TEST_P(KvFaults, UnavailableLeavesWriteResultUnknown)
{
	const KvFault &f = GetParam();

	inject_fault(f.fault);
	EXPECT_EQ(put("k", "v", KV_CREATE).result, f.put_result);
	inject_fault(R"({"kind":"none"})");
	EXPECT_EQ(get("k").result == KV_OK, f.applied);
	if (f.applied_later) {
		EXPECT_TRUE(
		    eventually([&] { return get("k").result == KV_OK; }));
	}
}

INSTANTIATE_TEST_SUITE_P(Table, KvFaults,
    testing::Values(
	KvFault{"Down", R"({"kind":"down"})", KV_UNAVAILABLE, false, false},
	KvFault{
	    "AnswerLost", R"({"kind":"lost"})", KV_UNAVAILABLE, true, false},
	KvFault{"AppliedLate", R"({"kind":"late","ms":400})", KV_UNAVAILABLE,
	    false, true},
	KvFault{"SlowerThanTimeout", R"({"kind":"slow","ms":900})",
	    KV_UNAVAILABLE, false, true},
	KvFault{
	    "SlowButInTime", R"({"kind":"slow","ms":50})", KV_OK, true, false}),
    [](const testing::TestParamInfo<KvFault> &i) { return i.param.name; });

TEST(KvLimits, ExcessCallsAreRejectedWithoutEffect)
{
	Process store(
	    "tests/standins/standin-store", {"5", "0"}, temp_log_path());
	int refused = 0;
	int done = 0;

	for (int i = 0; i < 20; i++) {
		long status = http("PUT",
		    "http://" + store.addresses[0] + "/v1/kv/k" +
			std::to_string(i) + "?create=1",
		    "v")
				  .status;

		done += status == 200;
		refused += status == 429;
	}
	EXPECT_GT(done, 0);
	EXPECT_GT(refused, 5);
	EXPECT_EQ(done + refused, 20);
	unlink(temp_log_path().c_str());
}

/* --- workers --- */

/* One sync message; the lease is relative to the worker's clock. */
struct SyncMessage {
	uint64_t epoch = 1;
	uint64_t seq = 1;
	bool current_generation = true;
	int64_t lease_us = 0;
	bool inventory = false;
	std::vector<struct sh_start> start;
	std::vector<struct sh_stop> stop;
	std::vector<struct sh_ref> ack;
};

class WorkerUnderTest
{
      public:
	virtual ~WorkerUnderTest() = default;
	virtual ModelReply sync(const struct sh_sync &s) = 0;
	virtual void advance_ms(int64_t ms) = 0;
};

class ModelAdapter : public WorkerUnderTest
{
      public:
	ModelAdapter()
	{
		w.capacity = {8000, 32000000000, 0};
		w.observer = &observer;
		w.offset_us = 12345;
	}
	ModelReply
	sync(const struct sh_sync &s) override
	{
		return w.sync(s, now_us);
	}
	void
	advance_ms(int64_t ms) override
	{
		for (int64_t i = 0; i < ms; i++) {
			now_us += CLK_US_PER_MS;
			w.tick(now_us);
		}
	}

      private:
	Observer observer;
	ModelWorker w;
	int64_t now_us = 1000 * CLK_US_PER_S;
};

class StandinAdapter : public WorkerUnderTest
{
      public:
	StandinAdapter()
	    : process("tests/standins/standin-worker", {"w:8:32:0"},
		  temp_log_path())
	{
	}
	~StandinAdapter() override
	{
		unlink(temp_log_path().c_str());
	}
	ModelReply
	sync(const struct sh_sync &s) override
	{
		char *text = wj_build_sync("s", &s);
		Response r = http("POST",
		    "http://" + process.addresses[0] + "/v1/sync", text);
		TALLOC_CTX *mem = talloc_new(nullptr);
		char error[JF_ERROR_BYTES];
		struct sh_sync_reply reply;
		ModelReply out;

		free(text);
		EXPECT_TRUE(wj_parse_sync_reply(
		    mem, r.body.data(), r.body.size(), &reply, error))
		    << error;
		out.fenced_by = reply.fenced_by;
		out.clock_us = reply.clock_us;
		out.lease_generation = reply.lease_generation;
		out.has_inventory = reply.has_inventory;
		out.running = copy(reply.running, reply.running_count);
		out.started = copy(reply.started, reply.started_count);
		out.refused = copy(reply.refused, reply.refused_count);
		for (size_t i = 0; i < reply.ended_count; i++) {
			out.ended.push_back(copy(&reply.ended[i].ref, 1)[0]);
			out.ended.back().result = reply.ended[i].result;
		}
		talloc_free(mem);
		return out;
	}
	void
	advance_ms(int64_t ms) override
	{
		usleep((useconds_t)ms * 1000);
	}

      private:
	static std::vector<ModelTask>
	copy(const struct sh_ref *ref, size_t n)
	{
		std::vector<ModelTask> list;

		for (size_t i = 0; i < n; i++) {
			ModelTask t = {};

			t.id = TaskId{ref[i].job, ref[i].index};
			t.attempt = ref[i].attempt;
			list.push_back(t);
		}
		return list;
	}
	Process process;
};

using WorkerFactory = std::function<std::unique_ptr<WorkerUnderTest>()>;

class WorkerContract : public testing::TestWithParam<const char *>
{
      protected:
	void
	SetUp() override
	{
		if (std::string(GetParam()) == "Model")
			w = std::make_unique<ModelAdapter>();
		else
			w = std::make_unique<StandinAdapter>();
		/* The first sync learns the clock and lease generation. */
		SyncMessage hello;

		hello.current_generation = false;
		hello.inventory = true;
		ModelReply r = sync(hello);

		EXPECT_TRUE(r.has_inventory);
		EXPECT_TRUE(r.running.empty());
	}
	ModelReply
	sync(const SyncMessage &x)
	{
		struct sh_sync s = {};

		s.epoch = x.epoch;
		s.seq = x.seq;
		s.lease_generation =
		    x.current_generation ? generation : generation + 999;
		s.lease_until_us = x.lease_us > 0 ? clock_us + x.lease_us : 0;
		s.want_inventory = x.inventory;
		for (const struct sh_start &one : x.start)
			s.start[s.start_count++] = one;
		for (const struct sh_stop &one : x.stop)
			s.stop[s.stop_count++] = one;
		for (const struct sh_ref &one : x.ack)
			s.ack[s.ack_count++] = one;
		ModelReply r = w->sync(s);

		if (r.fenced_by == 0) {
			generation = r.lease_generation;
			clock_us = r.clock_us;
		}
		return r;
	}
	static struct sh_start
	start(uint64_t attempt, int64_t cpu = 1000, int64_t run_ms = 60000)
	{
		return {{"s.j", 0, attempt}, {cpu, 1000000000, 0},
		    run_ms * CLK_US_PER_MS, ST_BATCH, true};
	}
	SyncMessage
	with_start(
	    uint64_t seq, const struct sh_start &one, int64_t lease_ms = 60000)
	{
		SyncMessage x;

		x.seq = seq;
		x.lease_us = lease_ms * CLK_US_PER_MS;
		x.start.push_back(one);
		return x;
	}

	std::unique_ptr<WorkerUnderTest> w;
	uint64_t generation = 0;
	int64_t clock_us = 0;
};

TEST_P(WorkerContract, RepeatedStartRunsOnce)
{
	EXPECT_EQ(sync(with_start(2, start(7))).started.size(), 1U);
	EXPECT_EQ(sync(with_start(3, start(7))).started.size(), 1U);
	SyncMessage list;

	list.seq = 4;
	list.inventory = true;
	EXPECT_EQ(sync(list).running.size(), 1U);
}

TEST_P(WorkerContract, RejectsLowerEpochsAndOlderMessages)
{
	SyncMessage higher = with_start(1, start(7));

	higher.epoch = 5;
	EXPECT_EQ(sync(higher).started.size(), 1U);
	EXPECT_EQ(sync(with_start(99, start(8))).fenced_by, 5U);
	/* The same message again, delayed in the network. */
	EXPECT_EQ(sync(higher).fenced_by, 5U);
}

TEST_P(WorkerContract, StopsAllTasksWhenLeaseExpires)
{
	uint64_t before = generation;

	EXPECT_EQ(sync(with_start(2, start(7), 150)).started.size(), 1U);
	w->advance_ms(400);
	SyncMessage late = with_start(3, start(8));
	ModelReply r = sync(late);

	EXPECT_NE(r.lease_generation, before);
	EXPECT_TRUE(r.has_inventory);
	EXPECT_TRUE(r.running.empty());
	ASSERT_EQ(r.refused.size(), 1U) << "start is for the expired lease";
	EXPECT_EQ(sync(with_start(4, start(9))).started.size(), 1U);
}

TEST_P(WorkerContract, NothingStartsWithoutLease)
{
	SyncMessage x = with_start(2, start(7));

	x.lease_us = 0;
	EXPECT_TRUE(sync(x).started.empty());
	SyncMessage list;

	list.seq = 3;
	list.inventory = true;
	EXPECT_TRUE(sync(list).running.empty());
}

TEST_P(WorkerContract, KeepsOutcomesUntilAcknowledged)
{
	EXPECT_EQ(sync(with_start(2, start(7, 1000, 50))).started.size(), 1U);
	w->advance_ms(300);
	for (uint64_t seq = 3; seq < 6; seq++) {
		SyncMessage x;

		x.seq = seq;
		x.lease_us = 60 * CLK_US_PER_S;
		ModelReply r = sync(x);

		ASSERT_EQ(r.ended.size(), 1U);
		EXPECT_EQ(r.ended[0].result, ST_RESULT_DONE);
		EXPECT_EQ(r.ended[0].attempt, 7U);
	}
	SyncMessage ack;

	ack.seq = 6;
	ack.ack.push_back({"s.j", 0, 7});
	EXPECT_TRUE(sync(ack).ended.empty());
}

TEST_P(WorkerContract, StopOfUnknownTaskIsReported)
{
	SyncMessage x;

	x.seq = 2;
	x.lease_us = 60 * CLK_US_PER_S;
	x.stop.push_back({{"s.j", 0, 7}, false});
	ModelReply r = sync(x);

	ASSERT_EQ(r.ended.size(), 1U);
	EXPECT_EQ(r.ended[0].result, ST_RESULT_CANCELLED);
	/* A start that arrives after the stop does nothing. */
	EXPECT_TRUE(sync(with_start(3, start(7))).started.empty());
}

TEST_P(WorkerContract, RejectsTaskBeyondCapacity)
{
	EXPECT_EQ(sync(with_start(2, start(7, 6000))).started.size(), 1U);
	ModelReply r = sync(with_start(3, start(8, 6000)));

	EXPECT_TRUE(r.started.empty());
	EXPECT_EQ(r.refused.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Implementations, WorkerContract, testing::Values("Model", "Standin"));

/* Features of the HTTP stand-in only: checkpoints, throttling, checks. */
class StandinWorker : public testing::Test
{
      protected:
	std::string
	sync(const std::string &lists, int64_t lease_ms = 60000)
	{
		int64_t until_us = clock_us + lease_ms * CLK_US_PER_MS;
		Response r = http("POST", url + "/v1/sync",
		    R"({"shard":"s","epoch":1,"seq":)" + std::to_string(++seq) +
			R"(,"lease_generation":)" + std::to_string(generation) +
			R"(,"lease_until_us":)" + std::to_string(until_us) +
			(lists.empty() ? "" : ",") + lists + "}");

		generation = r.number("lease_generation");
		clock_us = r.number("clock_us");
		return r.body;
	}
	static std::string
	task(int attempt, int cpu, int run_ms = 60000)
	{
		return R"({"job":"s.j","index":0,"attempt":)" +
		    std::to_string(attempt) + R"(,"cpu_mcpu":)" +
		    std::to_string(cpu) +
		    R"(,"mem_bytes":1000,"idempotent":true,"run_us":)" +
		    std::to_string(run_ms * 1000) + R"(,"checkpoint":true})";
	}
	void
	SetUp() override
	{
		sync("");
	}
	void
	TearDown() override
	{
		unlink(temp_log_path().c_str());
	}

	Process process{
	    "tests/standins/standin-worker", {"w:8:32:0"}, temp_log_path()};
	std::string url = "http://" + process.addresses[0];
	int seq = 0;
	int64_t generation = 0;
	int64_t clock_us = 0;
};

TEST_F(StandinWorker, CheckpointedTaskResumes)
{
	sync(R"("start":[)" + task(1, 1000, 60000) + "]");
	usleep(300000);
	sync(R"("stop":[)" + task(1, 1000) + "]");
	/* Nearly all of its run was done before the checkpoint. */
	sync(R"("start":[)" + task(2, 1000, 250) + "]");
	EXPECT_TRUE(eventually([&] {
		return sync("").find(R"("attempt":2,"result":"done")") !=
		    std::string::npos;
	}));
}

TEST_F(StandinWorker, ThrottledTaskFreesCores)
{
	sync(R"("start":[)" + task(1, 8000) + "]");
	sync(R"("throttle":[)" + task(1, 2000) + "]");
	EXPECT_NE(sync(R"("start":[{"job":"s.k","index":0,"attempt":2,)"
		       R"("cpu_mcpu":6000,"mem_bytes":1}])")
		      .find("started"),
	    std::string::npos);
	EXPECT_EQ(http("GET", url + "/_report").number("overcommitted"), 0);
}

TEST_F(StandinWorker, ViolationsAreCounted)
{
	sync(R"("start":[)" + task(1, 5000) + "," +
	    R"({"job":"s.k","index":0,"attempt":2,"cpu_mcpu":6000,)"
	    R"("mem_bytes":1}])");
	sync(R"("start":[)" + task(3, 100) + "]");
	Response r = http("GET", url + "/_report");

	EXPECT_EQ(r.number("overcommitted"), 1);
	EXPECT_EQ(r.number("doubled"), 1);
}

/* --- endpoints --- */

TEST(EndpointContract, RespondsInFullOrReportsNotRun)
{
	Process site(
	    "tests/standins/standin-endpoint", {"1", "1000"}, temp_log_path());
	std::string url = "http://" + site.addresses[0];
	Response r = http("POST", url + "/run", "x", {"X-Request-Id: r1"});

	EXPECT_EQ(r.body, "answer to x");
	http("POST", url + "/_behaviour", R"({"refuse":true})");
	EXPECT_EQ(http("POST", url + "/run", "x").status, 503);
	http("POST", url + "/_behaviour", R"({"refuse":false,"cut":true})");
	EXPECT_EQ(http("POST", url + "/run", "x").status, 0)
	    << "truncated means no answer";
	EXPECT_EQ(http("GET", url + "/_report").number("executed"), 2);
	unlink(temp_log_path().c_str());
}

} // namespace
