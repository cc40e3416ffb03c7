#include <algorithm>
#include <cstring>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "coordination/config.h"
#include "curranttackd/replica.h"
#include "platform/internal.h"
#include "protocol/config_json.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/frame.h"
#include "protocol/job_codec.h"
#include "protocol/job_json.h"
#include "protocol/json_fields.h"
#include "protocol/pack.h"
#include "protocol/record_codec.h"
#include "protocol/relay_codec.h"
#include "protocol/vm_json.h"
#include "protocol/worker_json.h"
#include "state/pool_internal.h"
}

/*
 * All readers of what others write, on mutations of valid rows. Without a
 * fuzzing engine the mutations come from a seeded generator.
 */

namespace
{

constexpr int64_t kNow = 100 * CLK_US_PER_S;
constexpr const char *kJobId = "00000000000000a1";

const char kWorker[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},"machine":"m-1",)"
    R"("labels":["kind-a","r1-3"],"seq":4,"born":1700000000123,)"
    R"("clock_ms":5400,"remaining_ms":100})";

const char kConfig[] =
    R"({"version":7,"routes":[{"name":"q","host":"h.example",)"
    R"("prefix":"/p/","service":"s","priority":1,"max_attempts":4,)"
    R"("stretch_factor":2.2,"target_latency_ms":250,"timeout_ms":3000,)"
    R"("advice":{"decide_ms":17.5,"period_ms":0.24,"valid_ms":2000}}],)"
    R"("services":[{"name":"s","standby":true}],)"
    R"("limits":{"max_body_bytes":1000}})";

const char kWave[] =
    R"({"wave":3,"machines":["m-1","m-2"],"duration_s":20,"maximum":2})";

const char kJob[] =
    R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
    R"("estimate_ms":900,"affinity":"r1-3"},{"count":2,"cpu":2000,)"
    R"("mem_mb":1024,"gpu":1,"after":[0],"checkpointing":true,"gang":true,)"
    R"("anti_affinity":2,"requirements":"b","fills":true,"target_ms":40}],)"
    R"("repeat_count":3,"initial_delay_ms":1700000000123,"interval_ms":500})";

const char kPage[] =
    R"({"as_of":12,"has_more":true,"items":[{"key":"servers/i-1","value":)"
    R"("QUJD","revision":7,"created":5,"lease":3},{"key":"b","revision":8,)"
    R"("deleted":true}]})";

const char kProductJob[] =
    R"({"shard":"s1","team":"t","count":2,"cpu":1,"memory":"1GB",)"
    R"("accelerators":0,"run":"5s","kind":"batch"})";

const char kSync[] =
    R"({"worker":"w","epoch":1,"seq":2,"running":[],"ended":[]})";

const char kVms[] =
    R"({"vms":[{"id":"v","domain":"d","address":"1.2.3.4:5"}]})";

/* What a daemon does with rows once they are read. */
class Readers
{
      public:
	Readers()
	{
		keys.range = [](void *, const char *, const char *, ks_done_fn,
				 void *) {};
		keys.watch = [](void *, const char *, uint64_t, uint32_t,
				 ks_done_fn, void *) {};
		fleet.keys = &keys;
		fleet.entries = &pf_entry_ops;
		hooks.job = [](struct rp_job *, void *) {};
		hooks.cancel = [](struct rp_job *, void *) {};
		hooks.worker = [](struct rp_worker *, void *) {};
		hooks.owner = [](struct rp_owner *, void *) {};
		hooks.member = [](struct rp_member *, void *) {};
		hooks.store_answered = [](void *) {};
		r = rp_start(l, l, &fleet, &hooks, this);
	}

	~Readers()
	{
		talloc_free(l);
	}

	void
	apply(const char *key, const uint8_t *value, size_t bytes)
	{
		struct ks_item item = {};

		item.key = key;
		item.value = value;
		item.value_bytes = bytes;
		item.revision = ++revision;
		item.created = revision;
		rp_apply_out_of_order(r, &item);
	}

      private:
	struct loop *l = loop_create(nullptr);
	struct ks_ops keys = {};
	struct fl_fleet fleet = {};
	struct rp_hooks hooks = {};
	struct replica *r = nullptr;
	uint64_t revision = 0;
};

Readers &
readers()
{
	static Readers all;

	return all;
}

/* A pool with three ordinary workers, one odd one, and a job that may be odd. */
void
run_pool(const struct wp_worker_info *odd, struct jb_spec *spec,
    const struct jb_progress *progress)
{
	struct wp_settings settings = {};
	struct wp_advice_request request;
	struct wp_order *o;
	struct wp_pool *p;

	settings.capacity_valid_ms = 4000;
	settings.max_lease_ms = 10000;
	p = wp_create(nullptr, "s", &settings);
	for (int i = 0; i < 4; i++) {
		std::string id = "w-" + std::to_string(i);
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    "kind", "rack", {4000, 1000, 1}, false, 0};
		struct wp_renewal_reply reply = {};
		struct wp_renewal renewal;

		if (i == 3 && odd != nullptr)
			info = *odd;
		wp_set_worker(p, &info, kNow);
		wp_registry_begin(p, kNow);
		wp_registry_end(p, 1);
		struct wp_worker *w = wp_find_worker(p, info.id);
		wp_renewal_due(p, w, kNow, &renewal);
		reply.incarnation_ms =
		    info.incarnation_ms != 0 ? info.incarnation_ms : 1;
		reply.clock_ms = info.clock_ms;
		wp_on_renewal(p, w, &reply, kNow);
	}
	if (spec != nullptr) {
		snprintf(spec->id, sizeof(spec->id), "%s", kJobId);
		wp_add_job(p, spec, progress, true, 0, kNow);
	}
	for (int64_t now = kNow; now < kNow + 2 * CLK_US_PER_S;
	     now += 500 * CLK_US_PER_MS) {
		wp_tick(p, now);
		wp_schedule(p, now);
		for (int i = 0;
		     i < 10 && wp_next_advice_request(p, now, &request); i++)
			;
		while ((o = wp_next_order(p)) != nullptr)
			talloc_free(o);
	}
	talloc_free(p);
}

void
read_worker(const uint8_t *data, size_t bytes)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct wp_worker_info info;
	const char *pool;
	char error[160];

	readers().apply("servers/i-1", data, bytes);
	if (pf_entry_ops.worker(
		ctx, "i-1", data, bytes, &info, &pool, error, sizeof(error)))
		run_pool(&info, nullptr, nullptr);
	talloc_free(ctx);
}

void
read_config(const uint8_t *data, size_t bytes)
{
	readers().apply("op/config", data, bytes);
}

void
read_wave(const uint8_t *data, size_t bytes)
{
	readers().apply("op/wave/3", data, bytes);
}

void
read_job(const uint8_t *data, size_t bytes)
{
	char error[160];
	struct jb_spec *spec = pf_caller_ops.job(
	    nullptr, (const char *)data, bytes, error, sizeof(error));

	if (spec == nullptr)
		return;
	spec->queue = talloc_strdup(spec, "q");
	spec->pool = talloc_strdup(spec, "s");
	spec->policy.stretch_milli = 2000;
	spec->policy.max_attempts = 3;
	run_pool(nullptr, spec, nullptr);
}

void
read_page(const uint8_t *data, size_t bytes)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct ks_response a = {};

	pf_read_store_body(ctx, (const char *)data, bytes, &a);
	talloc_free(ctx);
}

void
read_stored_job(const uint8_t *data, size_t bytes)
{
	struct jb_spec *spec = jc_unpack_job(nullptr, data, bytes);

	readers().apply("ct/job/00000000000000a1", data, bytes);
	if (spec != nullptr)
		run_pool(nullptr, spec, nullptr);
}

struct jb_spec *
valid_spec()
{
	char error[160];
	struct jb_spec *spec = pf_caller_ops.job(
	    nullptr, kJob, strlen(kJob), error, sizeof(error));

	snprintf(spec->id, sizeof(spec->id), "%s", kJobId);
	spec->queue = talloc_strdup(spec, "q");
	spec->pool = talloc_strdup(spec, "s");
	spec->policy.stretch_milli = 2000;
	spec->policy.max_attempts = 3;
	return spec;
}

void
read_progress(const uint8_t *data, size_t bytes)
{
	struct jb_progress *p = jc_unpack_progress(nullptr, data, bytes);

	readers().apply("ct/progress/00000000000000a1", data, bytes);
	if (p != nullptr)
		run_pool(nullptr, valid_spec(), p);
	talloc_free(p);
}

void
read_cell_rows(const uint8_t *data, size_t bytes)
{
	for (const char *key : {"ct/owner/s", "ct/term/s", "ct/workers/s",
		 "ct/member/vm-1", "ct/wave/3", "ct/cancel/00000000000000a1"})
		readers().apply(key, data, bytes);
}

void
read_frame(const uint8_t *data, size_t bytes)
{
	Currant__Frame *frame = nullptr;
	size_t used;

	if (fr_unpack(data, bytes, &used, &frame) == FR_OK)
		currant__frame__free_unpacked(frame, nullptr);
}

void
read_relayed(const uint8_t *data, size_t bytes)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	Currant__RelayedHoldResult *m =
	    currant__relayed_hold_result__unpack(nullptr, bytes, data);
	Currant__RelayedOrder *o =
	    currant__relayed_order__unpack(nullptr, bytes, data);
	struct wp_renewal_reply reply;
	struct wp_order order;

	if (m != nullptr)
		rc_unpack_renewal_reply(ctx, m, &reply);
	if (o != nullptr)
		rc_unpack_order(o, &order);
	if (m != nullptr)
		currant__relayed_hold_result__free_unpacked(m, nullptr);
	if (o != nullptr)
		currant__relayed_order__free_unpacked(o, nullptr);
	talloc_free(ctx);
}

void
read_records(const uint8_t *data, size_t bytes)
{
	talloc_free(rk_unpack_batch(nullptr, data, bytes));
}

void
read_product_json(const uint8_t *data, size_t bytes)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	char error[CF_ERROR_BYTES + JF_ERROR_BYTES];
	const char *text = (const char *)data;
	struct sh_sync_reply reply = {};
	struct cf_config *c = cf_create(ctx);

	jj_parse_job(ctx, text, bytes, nullptr, error);
	wj_parse_sync_reply(ctx, text, bytes, &reply, error);
	vj_parse(ctx, text, bytes, error);
	for (int area = CF_TEAMS; area < CF_AREA_COUNT; area++)
		cj_parse(c, (enum cf_area)area, data, bytes, error);
	talloc_free(ctx);
}

struct Reader {
	const char *name;
	void (*read)(const uint8_t *data, size_t bytes);
	std::string (*valid)();
};

std::string
packed(uint8_t *value, size_t bytes)
{
	return std::string((const char *)value, bytes);
}

std::string
valid_stored_job()
{
	struct jb_spec *spec = valid_spec();
	size_t bytes;
	uint8_t *value = jc_pack_job(spec, spec, &bytes);
	std::string text = packed(value, bytes);

	talloc_free(spec);
	return text;
}

std::string
valid_progress()
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	uint32_t failed[] = {3, 1};
	struct jb_crash crash = {};
	struct jb_task_progress row = {};
	struct jb_progress p = {JB_RUNNING, true, &row, 1};
	size_t bytes;

	crash.worker = "w-1";
	row.step = 1;
	row.run = 5;
	row.failed_run = failed;
	row.failed = 2;
	row.checkpoint = "c";
	row.crash = &crash;
	row.crash_count = 1;
	uint8_t *value = jc_pack_progress(ctx, &p, &bytes);
	std::string text = packed(value, bytes);
	talloc_free(ctx);
	return text;
}

std::string
valid_cell_row()
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	Currant__Member row = CURRANT__MEMBER__INIT;
	size_t bytes;

	row.vm = (char *)"vm-1";
	row.domain = (char *)"a";
	row.address = (char *)"127.0.0.1:1";
	row.incarnation = 7;
	uint8_t *value = pk_pack(ctx, &row.base, &bytes);
	std::string text = packed(value, bytes);
	talloc_free(ctx);
	return text;
}

std::string
valid_term_row()
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	Currant__PoolTerm row = CURRANT__POOL_TERM__INIT;
	Currant__PoolWitness witness = CURRANT__POOL_WITNESS__INIT;
	Currant__PoolWitness *rows[] = {&witness, &witness};
	size_t bytes;

	row.term = 3;
	row.vm = (char *)"vm-1";
	witness.vm = (char *)"vm-2";
	witness.incarnation = 7;
	row.witnesses = rows;
	row.n_witnesses = 2;
	uint8_t *value = pk_pack(ctx, &row.base, &bytes);
	std::string text = packed(value, bytes);
	talloc_free(ctx);
	return text;
}

std::string
valid_frame()
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	size_t bytes;
	uint8_t *value = fr_pack(&frame, &bytes);
	std::string text = packed(value, bytes);

	free(value);
	return text;
}

std::string
valid_relayed()
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	Currant__RelayedHoldResult m = CURRANT__RELAYED_HOLD_RESULT__INIT;
	struct wp_running_task running = {};
	struct wp_renewal_reply reply = {};
	size_t bytes;

	snprintf(running.ref.job, sizeof(running.ref.job), "%s", kJobId);
	running.run = 3;
	running.checkpoint = "c";
	reply.running = &running;
	reply.running_count = 1;
	rc_pack_renewal_reply(ctx, &m, &reply);
	uint8_t *value = pk_pack(ctx, &m.base, &bytes);
	std::string text = packed(value, bytes);
	talloc_free(ctx);
	return text;
}

const Reader kReaders[] = {
    {"worker", read_worker, [] { return std::string(kWorker); }},
    {"config", read_config, [] { return std::string(kConfig); }},
    {"wave", read_wave, [] { return std::string(kWave); }},
    {"job", read_job, [] { return std::string(kJob); }},
    {"page", read_page, [] { return std::string(kPage); }},
    {"stored_job", read_stored_job, valid_stored_job},
    {"progress", read_progress, valid_progress},
    {"cell_rows", read_cell_rows, valid_cell_row},
    {"term_row", read_cell_rows, valid_term_row},
    {"frame", read_frame, valid_frame},
    {"relayed", read_relayed, valid_relayed},
    {"records", read_records, valid_cell_row},
    {"product_job", read_product_json, [] { return std::string(kProductJob); }},
    {"product_sync", read_product_json, [] { return std::string(kSync); }},
    {"product_vms", read_product_json, [] { return std::string(kVms); }},
};

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	/* A copy without a byte to spare shows reads beyond the end. */
	std::vector<uint8_t> copy(data + (bytes > 0), data + bytes);

	if (bytes > 0)
		kReaders[data[0] % std::size(kReaders)].read(
		    copy.data(), copy.size());
	return 0;
}

#ifndef READER_FUZZ_BY_ENGINE

#include <gtest/gtest.h>

namespace
{

class Mutations
{
      public:
	explicit Mutations(uint32_t seed) : rng(seed)
	{
	}

	std::string
	apply(std::string text)
	{
		for (uint32_t n = 1 + below(3); n > 0 && !text.empty(); n--)
			mutate(text);
		return text;
	}

      private:
	size_t
	below(size_t n)
	{
		return rng() % n;
	}

	/* Replaces a value of JSON text, from after ':' or ',' to its end. */
	void
	replace_value(std::string &text, const std::string &with)
	{
		size_t at = text.find_first_of(":,[", below(text.size()));
		size_t to;

		if (at == std::string::npos)
			return;
		to = text.find_first_of(",]}", at + 1);
		if (to == std::string::npos)
			to = text.size();
		text.replace(at + 1, to - at - 1, with);
	}

	std::string
	odd_value()
	{
		static const char *const odd[] = {"0", "-0", "-1", "1", "65536",
		    "4294967295", "4294967296", "9223372036854775807",
		    "-9223372036854775808", "9223372036854775808",
		    "18446744073709551615", "99999999999999999999", "1e18",
		    "1e308", "1e999", "0.5", "1e-400", "null", "true", "\"\"",
		    "\"x\"", "[]", "{}", "\"\\u0000\"", "\"\\ud800\"",
		    "\"\xff\"", "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"",
		    "\"draining\"", "1000000000", "4398046511104"};
		size_t depth;

		switch (below(8)) {
		case 0:
			return "\"" + std::string(1 + below(200), 'x') + "\"";
		case 1:
			depth = 1 + below(3000);
			return std::string(depth, '[') +
			    std::string(depth - below(2), ']');
		default:
			return odd[below(std::size(odd))];
		}
	}

	void
	mutate(std::string &text)
	{
		size_t at = below(text.size());

		switch (below(9)) {
		case 0:
			text[at] = (char)rng();
			break;
		case 1:
			text[at] = (char)(text[at] ^ (1 << below(8)));
			break;
		case 2:
			text.erase(at, 1 + below(8));
			break;
		case 3:
			text.insert(at, text.substr(below(text.size()), 40));
			break;
		case 4:
			text.resize(at);
			break;
		case 5:
			/* The longest number of a binary row. */
			text.replace(
			    at, 1, "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01");
			break;
		default:
			replace_value(text, odd_value());
			break;
		}
	}

	std::mt19937 rng;
};

class ReaderFuzz : public testing::TestWithParam<size_t>
{
};

/* FUZZ_ROUNDS and FUZZ_SEED for runs by hand. */
uint32_t
setting(const char *name, uint32_t fallback)
{
	const char *text = getenv(name);

	return text != nullptr ? (uint32_t)strtoul(text, nullptr, 10)
			       : fallback;
}

TEST_P(ReaderFuzz, MutatedRowsEndNoDaemon)
{
	const Reader &reader = kReaders[GetParam()];
	std::string valid = reader.valid();
	Mutations mutations(setting("FUZZ_SEED", 32) + (uint32_t)GetParam());

	for (uint32_t i = setting("FUZZ_ROUNDS", 2000); i > 0; i--) {
		std::string text = mutations.apply(valid);

		text.insert(0, 1, (char)GetParam());
		LLVMFuzzerTestOneInput(
		    (const uint8_t *)text.data(), text.size());
	}
	/* What is valid is still read after all that. */
	reader.read((const uint8_t *)valid.data(), valid.size());
}

INSTANTIATE_TEST_SUITE_P(All, ReaderFuzz,
    testing::Range<size_t>(0, std::size(kReaders)),
    [](const testing::TestParamInfo<size_t> &info) {
	    return std::string(kReaders[info.param].name);
    });

} // namespace

#endif
