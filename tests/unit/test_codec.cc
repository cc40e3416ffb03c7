/* Runs decoders on valid, truncated and mutated input from fixed seeds. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "common/rng.h"
#include "protocol/config_json.h"
#include "protocol/frame.h"
#include "protocol/job_json.h"
#include "protocol/json_fields.h"
#include "protocol/record_codec.h"
#include "protocol/vm_json.h"
#include "protocol/worker_json.h"
}

namespace
{

std::vector<uint8_t>
sample_frame()
{
	Currant__Frame frame = CURRANT__FRAME__INIT;
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__JobQuery query = CURRANT__JOB_QUERY__INIT;
	size_t n;

	query.id = const_cast<char *>("s.1");
	query.wait_ms = 7;
	call.id = 9;
	call.remaining_ms = 1000;
	call.query = &query;
	frame.call = &call;
	uint8_t *bytes = fr_pack(&frame, &n);
	std::vector<uint8_t> v(bytes, bytes + n);

	free(bytes);
	return v;
}

TEST(Frame, RoundTripOfPartialAndWholeFrames)
{
	std::vector<uint8_t> v = sample_frame();
	Currant__Frame *frame;
	size_t used;

	for (size_t n = 0; n < v.size(); n++)
		EXPECT_EQ(fr_unpack(v.data(), n, &used, &frame), FR_INCOMPLETE)
		    << n;
	ASSERT_EQ(fr_unpack(v.data(), v.size(), &used, &frame), FR_OK);
	EXPECT_EQ(used, v.size());
	EXPECT_STREQ(frame->call->query->id, "s.1");
	currant__frame__free_unpacked(frame, nullptr);
}

TEST(Frame, InvalidFramesAreRejectedWithTheirError)
{
	std::vector<uint8_t> v = sample_frame();
	Currant__Frame *frame;
	size_t used;

	v[0] = 'X';
	EXPECT_EQ(fr_unpack(v.data(), v.size(), &used, &frame), FR_BAD_MAGIC);
	v = sample_frame();
	v[4] = 0xff;
	EXPECT_EQ(fr_unpack(v.data(), v.size(), &used, &frame), FR_TOO_LARGE);
	v = sample_frame();
	v[FR_HEADER_BYTES] = 0xff;
	EXPECT_EQ(fr_unpack(v.data(), v.size(), &used, &frame), FR_BAD_PAYLOAD);
}

TEST(Frame, FrameOfAnotherVersionIsNotDecoded)
{
	std::vector<uint8_t> v = sample_frame();
	Currant__Frame *frame;
	size_t used;

	v[2] = FR_VERSION + 1;
	EXPECT_EQ(fr_unpack(v.data(), v.size(), &used, &frame), FR_BAD_VERSION);
}

class Mutations : public testing::TestWithParam<int>
{
};

/* Decoders must not crash or leak memory, whatever the input is. */
TEST_P(Mutations, NoneCrash)
{
	static const char *const corpus[] = {
	    R"({"team":"t","name":"n","kind":"batch","cpu":1,"memory":"1GB","run":"5s"})",
	    R"({"clock_us":5,"lease_generation":2,"running":[{"job":"s.1","index":0,"attempt":4}],"ended":[{"job":"s.1","index":0,"attempt":4,"result":"done"}]})",
	    R"({"vms":[{"vm":"a","domain":"d","role":"daemon","state":"live","address":"127.0.0.1:1"}]})",
	    R"({"goal":"packing","shards":[{"id":"a","domain":"d","workers":[{"id":"w","address":"127.0.0.1:1","rack":"r","cpu":1,"memory":"1GB"}]}]})",
	};
	struct rng rng = {(uint64_t)GetParam()};
	char error[CF_ERROR_BYTES];

	for (int i = 0; i < 4000; i++) {
		std::string s = corpus[rng_below(&rng, 4)];
		std::vector<uint8_t> f = sample_frame();
		TALLOC_CTX *ctx = talloc_new(nullptr);
		struct sh_sync_reply reply;
		Currant__Frame *frame;
		struct ow_head head;
		size_t used;

		for (uint64_t k = rng_below(&rng, 6); k > 0; k--) {
			s[rng_below(&rng, s.size())] = (char)rng_next(&rng);
			f[rng_below(&rng, f.size())] = (uint8_t)rng_next(&rng);
		}
		s.resize(rng_below(&rng, s.size()) + 1);
		jj_parse_job(ctx, s.data(), s.size(), nullptr, error);
		wj_parse_sync_reply(ctx, s.data(), s.size(), &reply, error);
		vj_parse(ctx, s.data(), s.size(), error);
		struct cf_config *c = cf_create(ctx);

		for (int a = 0; a < CF_AREA_COUNT; a++)
			cj_parse(c, (enum cf_area)a, (const uint8_t *)s.data(),
			    s.size(), error);
		if (fr_unpack(f.data(), f.size(), &used, &frame) == FR_OK)
			currant__frame__free_unpacked(frame, nullptr);
		rk_unpack_batch(ctx, f.data() + FR_HEADER_BYTES,
		    f.size() - FR_HEADER_BYTES);
		rk_unpack_head(f.data() + FR_HEADER_BYTES,
		    f.size() - FR_HEADER_BYTES, &head);
		talloc_free(ctx);
	}
}

INSTANTIATE_TEST_SUITE_P(Seeds, Mutations, testing::Range(1, 9));

TEST(RecordCodec, RoundTripKeepsEveryField)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct rc_record r = {};
	struct rc_record *list[] = {&r};
	struct rk_batch b = {1, 2, 3, list, 1};
	size_t n;

	r.kind = RC_CLAIM_ENDED;
	r.epoch = 4;
	r.key = const_cast<char *>("svc/k");
	r.result = ST_RESULT_DONE;
	r.status = 201;
	r.index = 1;
	r.response = (uint8_t *)const_cast<char *>("whole");
	r.response_bytes = 5;
	r.body_hash = UINT64_MAX;
	r.deadline_wall_us = 77;
	uint8_t *bytes = rk_pack_batch(ctx, &b, &n);
	struct rk_batch *back = rk_unpack_batch(ctx, bytes, n);

	ASSERT_NE(back, nullptr);
	ASSERT_EQ(back->count, 1U);
	EXPECT_EQ(back->writer, 1U);
	EXPECT_EQ(back->nonce, 2U);
	struct rc_record *x = back->record[0];

	EXPECT_EQ(x->kind, r.kind);
	EXPECT_STREQ(x->key, r.key);
	EXPECT_EQ(x->result, r.result);
	EXPECT_EQ(x->status, r.status);
	EXPECT_EQ(x->index, r.index);
	EXPECT_EQ(x->response_bytes, 5U);
	EXPECT_EQ(x->body_hash, r.body_hash);
	EXPECT_EQ(x->deadline_wall_us, 77);
	talloc_free(ctx);
}

} // namespace
