#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "state/claims.h"
}

namespace
{

class ClaimTest : public testing::Test
{
      protected:
	struct cl_table *t = cl_create(nullptr, 4096);
	struct cl_claim *c = nullptr;

	void
	TearDown() override
	{
		talloc_free(t);
	}
	enum cl_take_result
	take(const char *key, uint64_t hash, int64_t now)
	{
		return cl_take(t, key, hash, 100, 1000, now, &c);
	}
};

TEST_F(ClaimTest, OnlyTheFirstClaimIsGranted)
{
	EXPECT_EQ(take("k", 1, 0), CL_GRANTED);
	EXPECT_EQ(take("k", 1, 1), CL_IN_PROGRESS);
	EXPECT_EQ(take("k", 2, 1), CL_KEY_REUSED);
	cl_end(t, c, ST_RESULT_DONE, 200, (const uint8_t *)"a", 1);
	EXPECT_EQ(take("k", 1, 2), CL_RESPONDED);
	EXPECT_EQ(c->response_bytes, 1U);
}

TEST_F(ClaimTest, UnreportedClaimHasUnknownOutcome)
{
	EXPECT_EQ(take("k", 1, 0), CL_GRANTED);
	EXPECT_EQ(take("k", 1, 99), CL_IN_PROGRESS);
	EXPECT_EQ(take("k", 1, 100), CL_OUTCOME_UNKNOWN);
	EXPECT_EQ(take("k", 1, 999), CL_OUTCOME_UNKNOWN)
	    << "it is not sent again while it is remembered";
}

TEST_F(ClaimTest, RemovedClaimIsGrantedAgain)
{
	EXPECT_EQ(take("k", 1, 0), CL_GRANTED);
	cl_remove(t, c);
	EXPECT_EQ(take("k", 1, 1), CL_GRANTED);
}

TEST_F(ClaimTest, FullTableRefusesUntilClaimsExpire)
{
	int granted = 0;

	while (
	    take(("k" + std::to_string(granted)).c_str(), 1, 0) == CL_GRANTED)
		granted++;
	EXPECT_GT(granted, 3);
	EXPECT_LE(t->bytes, t->max_bytes);
	cl_expire(t, 1000, 1000);
	EXPECT_EQ(t->bytes, 0U);
	EXPECT_EQ(take("k", 1, 1000), CL_GRANTED);
}

TEST_F(ClaimTest, LargeResponseIsNotKept)
{
	std::string big(CL_MAX_RESPONSE_BYTES + 1, 'x');

	take("k", 1, 0);
	cl_end(
	    t, c, ST_RESULT_DONE, 200, (const uint8_t *)big.data(), big.size());
	EXPECT_FALSE(c->response_kept);
	EXPECT_EQ(c->response_bytes, 0U);
	EXPECT_EQ(take("k", 1, 1), CL_RESPONDED);
}

} // namespace
