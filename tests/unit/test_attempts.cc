#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "common/clock.h"
#include "state/attempts.h"
}

namespace
{

constexpr const char *kId = "00000000000000aa";
constexpr const char *kOther = "00000000000000bb";
constexpr int64_t kSecond = CLK_US_PER_S;

class Attempts : public testing::Test
{
      protected:
	~Attempts() override
	{
		talloc_free(t);
	}

	struct at_table *t = at_create(nullptr);
};

TEST_F(Attempts, OneInFlightIsOpenUntilItEnds)
{
	EXPECT_FALSE(at_is_open(t, kId, 0));
	at_begin(t, kId);
	EXPECT_TRUE(at_is_open(t, kId, 0));
	EXPECT_FALSE(at_is_open(t, kOther, 0));
	at_end(t, kId, false, 0);
	EXPECT_FALSE(at_is_open(t, kId, 0));
}

TEST_F(Attempts, RefusalOfOneLeavesTheOtherOpen)
{
	at_begin(t, kId);
	at_begin(t, kId);
	at_end(t, kId, false, 0);
	EXPECT_TRUE(at_is_open(t, kId, 0));
	at_end(t, kId, false, 0);
	EXPECT_FALSE(at_is_open(t, kId, 0));
}

/* A write without an answer may be carried out seconds later. */
TEST_F(Attempts, UncertainOneStaysOpenForSeconds)
{
	at_begin(t, kId);
	at_end(t, kId, true, 0);
	EXPECT_TRUE(at_is_open(t, kId, 20 * kSecond));
	at_begin(t, kId);
	at_end(t, kId, false, 20 * kSecond);
	EXPECT_TRUE(at_is_open(t, kId, 21 * kSecond));
	EXPECT_FALSE(at_is_open(t, kId, 3600 * kSecond));
}

TEST_F(Attempts, StoredItemHasNone)
{
	at_begin(t, kId);
	at_begin(t, kId);
	at_end(t, kId, true, 0);
	at_stored(t, kId);
	EXPECT_FALSE(at_is_open(t, kId, 0));
	at_end(t, kId, false, 0);
	EXPECT_FALSE(at_is_open(t, kId, 0));
}

TEST_F(Attempts, OldOnesAreRemoved)
{
	size_t before = talloc_total_blocks(t);

	for (int i = 0; i < 100; i++) {
		std::string id = std::to_string(i);

		at_begin(t, id.c_str());
		at_end(t, id.c_str(), true, i * kSecond);
	}
	EXPECT_LT(talloc_total_blocks(t), before + 70);
	at_begin(t, kId);
	at_end(t, kId, false, 3600 * kSecond);
	EXPECT_EQ(talloc_total_blocks(t), before);
}

} // namespace
