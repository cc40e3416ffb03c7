#include <gtest/gtest.h>

extern "C" {
#include "coordination/links.h"
}

namespace
{

constexpr uint32_t kLarge = 500;
constexpr uint32_t kSmall = 120;

struct Case {
	const char *name;
	struct li_daemon own;
	struct li_daemon peer;
	bool linked;
};

class Links : public testing::TestWithParam<Case>
{
};

TEST_P(Links, OwnersReachAllDaemonsWhereverPoolsAre)
{
	const Case &c = GetParam();

	EXPECT_EQ(li_needs_link(&c.own, &c.peer, kLarge), c.linked);
}

INSTANTIATE_TEST_SUITE_P(Sizes, Links,
    testing::Values(
	Case{"LargeToSmall", {kLarge, false}, {kSmall, false}, true},
	Case{"SmallToLarge", {kSmall, false}, {kLarge, false}, true},
	Case{"SmallOwnerToSmall", {kSmall, true}, {kSmall, false}, true},
	Case{"SmallToSmallOwner", {kSmall, false}, {kSmall, true}, true},
	Case{"SmallToSmall", {kSmall, false}, {kSmall, false}, false}),
    [](const testing::TestParamInfo<Case> &info) { return info.param.name; });

} // namespace
