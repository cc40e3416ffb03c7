#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "protocol/config_json.h"
#include "protocol/job_json.h"
#include "protocol/json_fields.h"
}

namespace
{

enum cf_error
apply(struct cf_config *c, enum cf_area area, uint64_t revision,
    const std::string &text, std::string *reason = nullptr)
{
	char error[CF_ERROR_BYTES] = "";
	enum cf_error e = cf_apply(c, cj_parse, area, revision,
	    (const uint8_t *)text.data(), text.size(), error);

	if (reason != nullptr)
		*reason = error;
	return e;
}

TEST(Config, OlderRevisionIsNotApplied)
{
	struct cf_config *c = cf_create(nullptr);

	EXPECT_EQ(apply(c, CF_PRESET, 5, R"({"preset":"peaks"})"), CF_OK);
	EXPECT_EQ(apply(c, CF_PRESET, 4, R"({"preset":"ordinary"})"), CF_STALE);
	EXPECT_EQ(apply(c, CF_PRESET, 5, R"({"preset":"ordinary"})"), CF_STALE);
	EXPECT_EQ(c->preset, PO_PEAKS);
	EXPECT_EQ(
	    apply(c, CF_PRESET, 6, R"({"preset":"holidays"})"), CF_INVALID);
	EXPECT_EQ(c->preset, PO_PEAKS);
	EXPECT_EQ(c->revision, 5U);
	talloc_free(c);
}

struct BadDoc {
	const char *name;
	enum cf_area area;
	const char *text;
	const char *expected_error;
};

class BadDocs : public testing::TestWithParam<BadDoc>
{
};

TEST_P(BadDocs, AreRefusedWithTheField)
{
	struct cf_config *c = cf_create(nullptr);
	std::string reason;

	EXPECT_EQ(
	    apply(c, GetParam().area, 1, GetParam().text, &reason), CF_INVALID);
	EXPECT_NE(reason.find(GetParam().expected_error), std::string::npos)
	    << reason;
	EXPECT_EQ(c->revision, 0U);
	talloc_free(c);
}

const char *const kDuplicateWorker = R"({"goal":"packing","shards":[
 {"id":"a","domain":"d","workers":[
  {"id":"w","address":"127.0.0.1:1","rack":"r","cpu":1,"memory":"1GB"}]},
 {"id":"b","domain":"d","workers":[
  {"id":"w","address":"127.0.0.1:1","rack":"r","cpu":1,"memory":"1GB"}]}]})";

INSTANTIATE_TEST_SUITE_P(Table, BadDocs,
    testing::Values(BadDoc{"NotJson", CF_PRESET, "{", "line 1"},
	BadDoc{"NotObject", CF_PRESET, "[]", "object"},
	BadDoc{"Missing", CF_PRESET, "{}", "preset: is missing"},
	BadDoc{"WrongType", CF_PRESET, R"({"preset":1})", "string"},
	BadDoc{"UnknownKey", CF_PRESET, R"({"preset":"peaks","x":1})",
	    "x: is not known"},
	BadDoc{"DuplicateKey", CF_PRESET,
	    R"({"preset":"peaks","preset":"peaks"})", "duplicate"},
	BadDoc{"TeamMemory", CF_TEAMS,
	    R"({"teams":[{"name":"t","cpu":1,"memory":"lots"}]})",
	    "teams[0].memory"},
	BadDoc{"TeamName", CF_TEAMS,
	    R"({"teams":[{"name":"a b","cpu":1,"memory":"1GB"}]})",
	    "teams[0].name"},
	BadDoc{"Slots", CF_SERVICES,
	    R"({"services":[{"name":"s","endpoints":[{"id":"e",
	     "address":"127.0.0.1:1","domain":"d","slots":0}]}]})",
	    "services[0].endpoints[0].slots"},
	BadDoc{"Address", CF_SERVICES,
	    R"({"services":[{"name":"s","endpoints":[{"id":"e",
	     "address":"example.org:80","domain":"d"}]}]})",
	    "services[0].endpoints[0].address"},
	BadDoc{"Goal", CF_SHARDS, R"({"goal":"speed","shards":[]})", "goal"},
	BadDoc{
	    "WorkerTwice", CF_SHARDS, kDuplicateWorker, "shards[1].workers[0]"},
	BadDoc{"Cpu", CF_SHARDS,
	    R"({"goal":"packing","shards":[{"id":"a","domain":"d","workers":[
	     {"id":"w","address":"127.0.0.1:1","rack":"r","cpu":-1,
	      "memory":"1GB"}]}]})",
	    "shards[0].workers[0].cpu"},
	BadDoc{"Objective", CF_OBJECTIVES,
	    R"({"objectives":[{"name":"o","service":"s","class":"fast",
	     "target":"1s","good_ppm":999}]})",
	    "objectives[0].class"}),
    [](const testing::TestParamInfo<BadDoc> &i) { return i.param.name; });

struct BadJob {
	const char *name;
	const char *text;
	const char *expected_error;
};

class BadJobs : public testing::TestWithParam<BadJob>
{
};

TEST_P(BadJobs, AreRefusedWithTheField)
{
	char error[JF_ERROR_BYTES];

	EXPECT_EQ(jj_parse_job(nullptr, GetParam().text,
		      strlen(GetParam().text), nullptr, error),
	    nullptr);
	EXPECT_NE(std::string(error).find(GetParam().expected_error),
	    std::string::npos)
	    << error;
}

INSTANTIATE_TEST_SUITE_P(Table, BadJobs,
    testing::Values(BadJob{"Empty", "", "line"},
	BadJob{"Kind",
	    R"({"team":"t","name":"n","kind":"cron","cpu":1,"memory":"1GB"})",
	    "kind"},
	BadJob{"NoRun",
	    R"({"team":"t","name":"n","kind":"batch","cpu":1,"memory":"1GB"})",
	    "run: is missing"},
	BadJob{"RunUnit",
	    R"({"team":"t","name":"n","kind":"batch","cpu":1,"memory":"1GB",
	     "run":"5"})",
	    "run"},
	BadJob{"Count",
	    R"({"team":"t","name":"n","kind":"gang","cpu":1,"memory":"1GB",
	     "run":"5s","count":0})",
	    "count"},
	BadJob{"HugeCpu",
	    R"({"team":"t","name":"n","kind":"gang","cpu":1e300,
	     "memory":"1GB","run":"5s"})",
	    "cpu"},
	BadJob{"HugeMemory",
	    R"({"team":"t","name":"n","kind":"gang","cpu":1,
	     "memory":"99999999999TB","run":"5s"})",
	    "memory"},
	BadJob{"ServiceOnce",
	    R"({"team":"t","name":"n","kind":"service","cpu":1,
	     "memory":"1GB","idempotent":false})",
	    "idempotent"}),
    [](const testing::TestParamInfo<BadJob> &i) { return i.param.name; });

TEST(Json, DeepNestingIsRejected)
{
	char error[JF_ERROR_BYTES];
	std::string deep(100000, '[');

	EXPECT_EQ(jf_parse(deep.data(), deep.size(), error), nullptr);
	EXPECT_NE(std::string(error).find("nested"), std::string::npos);
}

TEST(Config, HomeShardDependsOnlyOnTheConfiguration)
{
	struct cf_shard list[3] = {};
	struct cf_shards three = {PO_PACKING, list, 3};
	struct cf_shards two = {PO_PACKING, list, 2};
	int moved = 0;

	list[0].id = const_cast<char *>("a");
	list[1].id = const_cast<char *>("b");
	list[2].id = const_cast<char *>("c");
	for (int i = 0; i < 3000; i++) {
		std::string key = "key" + std::to_string(i);
		const struct cf_shard *with =
		    cf_home_shard(&three, key.c_str(), nullptr, nullptr);
		const struct cf_shard *without =
		    cf_home_shard(&two, key.c_str(), nullptr, nullptr);

		if (with == &list[2])
			moved++;
		else
			EXPECT_EQ(with, without) << "only c's keys move";
	}
	EXPECT_NEAR(moved, 1000, 120);
}

TEST(Config, QuotaSharesNeverExceedTheQuota)
{
	struct cf_shard list[3] = {};
	struct cf_shards shards = {PO_PACKING, list, 3};
	struct st_res quota = {100000, 1000000007, 13};
	struct st_res sum = {};

	list[0].capacity = {7000, 70, 3};
	list[1].capacity = {11000, 30, 0};
	list[2].capacity = {13000, 55, 8};
	for (const struct cf_shard &s : list) {
		struct st_res share = cf_quota_share(&shards, &s, &quota);

		st_res_add(&sum, &share);
	}
	EXPECT_LE(sum.cpu_mcpu, quota.cpu_mcpu);
	EXPECT_LE(sum.mem_bytes, quota.mem_bytes);
	EXPECT_LE(sum.accel, quota.accel);
}

} // namespace
