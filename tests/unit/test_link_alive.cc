#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C" {
#include "coordination/link_alive.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kStart = 1000 * kMs;
constexpr int64_t kNever = -1;

/* Times in ms after the link was established. */
struct Case {
	const char *name;
	std::vector<int64_t> sent;
	std::vector<int64_t> heard;
	/* Each at the check that follows. */
	std::vector<int64_t> heartbeats;
	int64_t closed;
};

class LinkAlive : public testing::TestWithParam<Case>
{
};

TEST_P(LinkAlive, SilentLinkIsFoundWithoutARequestOverIt)
{
	const Case &c = GetParam();
	std::set<int64_t> sent(c.sent.begin(), c.sent.end());
	std::set<int64_t> heard(c.heard.begin(), c.heard.end());
	std::vector<int64_t> heartbeats;
	struct la_link link = {};
	struct la_pause pause = {};
	int64_t closed = kNever;

	la_start(&link, kStart);
	for (int64_t ms = 1; ms <= 3000 && closed == kNever; ms++) {
		int64_t now = kStart + ms * kMs;

		if (sent.count(ms) > 0)
			la_on_sent(&link, now);
		if (heard.count(ms) > 0)
			la_on_heard(&link, now);
		if (ms * kMs % LA_CHECK_US != 0)
			continue;
		switch (la_check(&link, la_may_be_unread(&pause, now), now)) {
		case LA_SEND_HEARTBEAT:
			heartbeats.push_back(ms);
			la_on_sent(&link, now);
			break;
		case LA_CLOSE:
			closed = ms;
			break;
		case LA_NONE:
			break;
		}
	}
	EXPECT_EQ(heartbeats, c.heartbeats);
	EXPECT_EQ(closed, c.closed);
}

INSTANTIATE_TEST_SUITE_P(Links, LinkAlive,
    testing::Values(
	Case{"NothingArrivesAfterTheHello", {}, {}, {750, 1500}, 2250},
	Case{"IdleAndAlive", {}, {750, 1500, 2250, 3000},
	    {750, 1500, 2250, 3000}, kNever},
	Case{
	    "SilentOnlyTowardsThisSide", {500, 1000, 1500, 2000}, {}, {}, 2250},
	Case{"SilentAfterTraffic", {}, {10, 20, 30, 240}, {750, 1500, 2250},
	    2500},
	Case{"SendsNoHeartbeatWhileItSendsFrames",
	    {600, 1200, 1800, 2400, 2900}, {1000, 2000, 3000}, {}, kNever},
	Case{"OneHeartbeatMissing", {}, {750, 2250}, {750, 1500, 2250, 3000},
	    kNever},
	Case{"HeardJustBeforeTheDeadline", {}, {2249}, {750, 1500, 2250, 3000},
	    kNever}),
    [](const testing::TestParamInfo<Case> &info) { return info.param.name; });

TEST(LinkAlivePeers, PeerOfAnOlderBuildIsNotTakenForSilent)
{
	struct la_link link = {};

	la_on_sent(&link, kStart);
	la_on_heard(&link, kStart);
	EXPECT_EQ(
	    la_check(&link, false, kStart + 3600 * CLK_US_PER_S), LA_NONE);
}

/* Checks at these times in ms; a link that was last heard before the first. */
std::vector<int64_t>
judged(const std::vector<int64_t> &checks)
{
	std::vector<int64_t> at;
	struct la_pause pause = {};

	for (int64_t ms : checks) {
		if (!la_may_be_unread(&pause, kStart + ms * kMs))
			at.push_back(ms);
	}
	return at;
}

TEST(LinkAlivePause, LinkIsNotClosedBeforeItsBytesAreReadAfterAPause)
{
	EXPECT_EQ(judged({0, 250, 5250, 5500, 5750, 6000, 6250, 6500}),
	    (std::vector<int64_t>{0, 250, 6250, 6500}));
}

TEST(LinkAlivePause, SlowChecksAreNoPause)
{
	EXPECT_EQ(judged({0, 700, 1400, 2100}),
	    (std::vector<int64_t>{0, 700, 1400, 2100}));
}

TEST(LinkAlivePause, ProcessWhoseChecksAreAllLateStillFindsSilentLinks)
{
	EXPECT_EQ(judged({0, 1100, 2200, 3300, 4400}),
	    (std::vector<int64_t>{0, 2200, 4400}));
}

TEST(LinkAlivePause, HeartbeatsGoOnAfterAPause)
{
	struct la_link link = {};

	la_start(&link, kStart);
	EXPECT_EQ(la_check(&link, true, kStart + 10 * CLK_US_PER_S),
	    LA_SEND_HEARTBEAT);
}

} // namespace
