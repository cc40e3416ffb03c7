#include <gtest/gtest.h>

extern "C" {
#include "state/tombstones.h"
}

namespace
{

constexpr int64_t kStart = 1000000;

TEST(Tombstones, NoneIsWrittenWithoutALease)
{
	struct tb_lease l = {};

	EXPECT_EQ(tb_get_state(&l, kStart), TB_NEEDS_LEASE);
	EXPECT_TRUE(tb_on_granted(&l, 7, kStart));
	EXPECT_EQ(tb_get_state(&l, kStart), TB_READY);
	EXPECT_EQ(tb_use(&l), 7u);
}

/* One that was removed sooner would let a late write create the job. */
TEST(Tombstones, EachLastsForItsTimeAtLeast)
{
	struct tb_lease l = {};
	int64_t lease_end_us = kStart + (int64_t)TB_LEASE_MS * 1000;

	tb_on_granted(&l, 7, kStart);
	int64_t last_us = l.usable_until_us - 1;

	EXPECT_EQ(tb_get_state(&l, last_us), TB_READY);
	EXPECT_GE(lease_end_us - last_us, TB_KEEP_US);
	EXPECT_EQ(tb_get_state(&l, last_us + 1), TB_NEEDS_LEASE);
	EXPECT_TRUE(tb_on_granted(&l, 8, last_us + 1));
	EXPECT_EQ(tb_use(&l), 8u);
}

/* Callers who cancel what nobody has submitted can't fill the store. */
TEST(Tombstones, ALeaseIsSharedByACertainNumber)
{
	struct tb_lease l = {};

	tb_on_granted(&l, 7, kStart);
	for (uint32_t n = 0; n < TB_MAX_COUNT; n++) {
		EXPECT_EQ(tb_get_state(&l, kStart), TB_READY);
		tb_use(&l);
	}
	EXPECT_EQ(tb_get_state(&l, kStart), TB_FULL);
	EXPECT_FALSE(tb_on_granted(&l, 8, kStart));
	EXPECT_EQ(tb_get_state(&l, kStart + TB_KEEP_US), TB_NEEDS_LEASE);
}

TEST(Tombstones, SecondGrantOfTwoInFlightIsNotUsed)
{
	struct tb_lease l = {};

	EXPECT_TRUE(tb_on_granted(&l, 7, kStart));
	EXPECT_FALSE(tb_on_granted(&l, 8, kStart));
	EXPECT_EQ(tb_use(&l), 7u);
}

TEST(Tombstones, LeaseThatHasEndedIsNotUsed)
{
	struct tb_lease l = {};

	tb_on_granted(&l, 7, kStart);
	tb_on_ended(&l, 6);
	EXPECT_EQ(tb_get_state(&l, kStart), TB_READY);
	tb_on_ended(&l, 7);
	EXPECT_EQ(tb_get_state(&l, kStart), TB_NEEDS_LEASE);
}

} // namespace
