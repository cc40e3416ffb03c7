#include <gtest/gtest.h>

#include <cstring>

extern "C" {
#include "common/clock.h"
#include "coordination/membership.h"
}

namespace
{

constexpr int64_t kSecond = CLK_US_PER_S;

struct mb_report
report(const char *vm, const char *domain, uint64_t incarnation)
{
	struct mb_report r = {};

	strncpy(r.vm, vm, sizeof(r.vm) - 1);
	strncpy(r.domain, domain, sizeof(r.domain) - 1);
	strncpy(r.address, "127.0.0.1:1", sizeof(r.address) - 1);
	r.incarnation = incarnation;
	return r;
}

class MembershipTest : public testing::Test
{
      protected:
	struct mb_view *v = nullptr;
	int64_t now_us = 1000 * kSecond;

	void
	SetUp() override
	{
		struct mb_report self = report("b", "d1", 10);

		v = mb_create(nullptr, &self, 2 * kSecond, 8 * kSecond);
	}
	void
	TearDown() override
	{
		talloc_free(v);
	}
	enum mb_error
	hear(const char *vm, const char *domain, uint64_t inc, int64_t age = 0)
	{
		struct mb_report r = report(vm, domain, inc);

		r.age_us = age;
		return mb_on_report(v, &r, now_us);
	}
	bool
	alive(const char *vm)
	{
		return mb_alive(mb_find(v, vm), now_us);
	}
};

TEST_F(MembershipTest, OnlyAHigherIncarnationProvesThatAProcessEnded)
{
	EXPECT_EQ(hear("a", "d1", 5), MB_OK);
	EXPECT_TRUE(alive("a"));
	EXPECT_EQ(hear("a", "d1", 4), MB_STALE);
	now_us += 2 * kSecond;
	EXPECT_FALSE(alive("a"));
	EXPECT_EQ(mb_process_gone_at(v, "a", 5), 0)
	    << "a silent process may be alive";
	EXPECT_EQ(hear("a", "d1", 6), MB_OK);
	EXPECT_NE(mb_process_gone_at(v, "a", 5), 0)
	    << "its VM runs a later process";
	EXPECT_EQ(hear("a", "d2", 6), MB_WRONG_DOMAIN);
}

TEST_F(MembershipTest, OldSummaryDoesNotExtendTheDeadline)
{
	hear("x", "d2", 1);
	now_us += 7 * kSecond;
	EXPECT_TRUE(alive("x"));
	EXPECT_EQ(hear("x", "d2", 1, 7 * kSecond), MB_OK);
	now_us += 2 * kSecond;
	EXPECT_FALSE(alive("x"));
}

TEST_F(MembershipTest, RefusedConnectionMeansDeadUntilTheNextReport)
{
	hear("a", "d1", 1);
	mb_on_connection_refused(v, "a", now_us);
	EXPECT_FALSE(alive("a"));
	EXPECT_EQ(mb_process_gone_at(v, "a", 1), 0);
	now_us += kSecond / 10;
	hear("a", "d1", 2);
	EXPECT_TRUE(alive("a"));
	mb_on_connection_refused(v, "b", now_us);
	EXPECT_TRUE(alive("b")) << "we are alive";
}

TEST_F(MembershipTest, VmListMarksMembersAsLeavingOrGone)
{
	struct mb_vm_entry list[] = {
	    {"a", "d1", "127.0.0.1:1", false},
	    {"c", "d1", "127.0.0.1:2", true},
	};

	hear("a", "d1", 1);
	hear("c", "d1", 1);
	mb_on_vm_list(v, list, 2, now_us);
	EXPECT_TRUE(mb_accepts_work(mb_find(v, "a"), now_us));
	EXPECT_FALSE(mb_accepts_work(mb_find(v, "c"), now_us));
	mb_on_vm_list(v, list, 1, now_us);
	EXPECT_FALSE(alive("c"));
	EXPECT_EQ(mb_process_gone_at(v, "c", 1), now_us);
	/* A daemon missing from the list must not consider itself gone. */
	mb_on_vm_list(v, list, 0, now_us);
	EXPECT_TRUE(alive("b"));
}

TEST_F(MembershipTest, LeaderAndRankDependOnLiveMembers)
{
	uint32_t n;

	EXPECT_TRUE(mb_is_domain_leader(v, now_us));
	hear("a", "d1", 1);
	hear("c", "d1", 1);
	EXPECT_FALSE(mb_is_domain_leader(v, now_us));
	EXPECT_EQ(mb_rank(v, now_us, &n), 1U);
	EXPECT_EQ(n, 3U);
	now_us += 3 * kSecond;
	EXPECT_TRUE(mb_is_domain_leader(v, now_us));
	EXPECT_EQ(mb_rank(v, now_us, &n), 0U);
	EXPECT_EQ(n, 1U);
}

TEST_F(MembershipTest, OwnerIsTheMemberWithTheHighestEpoch)
{
	struct mb_report a = report("a", "d1", 1);
	struct mb_report c = report("c", "d1", 1);
	uint64_t epoch;

	a.owned_count = c.owned_count = 1;
	strcpy(a.owned[0].shard, "s");
	strcpy(c.owned[0].shard, "s");
	a.owned[0].epoch = 3;
	c.owned[0].epoch = 4;
	mb_on_report(v, &a, now_us);
	mb_on_report(v, &c, now_us);
	EXPECT_STREQ(mb_shard_owner(v, "s", now_us, &epoch)->report.vm, "c");
	EXPECT_EQ(epoch, 4U);
	now_us += 3 * kSecond;
	EXPECT_EQ(mb_shard_owner(v, "s", now_us, nullptr), nullptr);
}

TEST_F(MembershipTest, SilentDomainMayBeAliveWhileItsVmsAreListed)
{
	struct mb_vm_entry list[] = {{"x", "d2", "127.0.0.1:1", false}};

	mb_on_vm_list(v, list, 1, now_us);
	now_us += 100 * kSecond;
	EXPECT_TRUE(mb_domain_may_be_alive(v, "d2", now_us));
	mb_on_vm_list(v, list, 0, now_us);
	EXPECT_FALSE(mb_domain_may_be_alive(v, "d2", now_us));
}

TEST_F(MembershipTest, FreeSlotsOfTheOwnDomainComeFirst)
{
	struct mb_report local = report("c", "d1", 1);
	struct mb_report remote = report("x", "d2", 1);

	local.service_slots_count = remote.service_slots_count = 1;
	strcpy(local.service_slots[0].service, "svc");
	strcpy(remote.service_slots[0].service, "svc");
	local.service_slots[0].free_slots = 1;
	remote.service_slots[0].free_slots = 90;
	mb_on_report(v, &local, now_us);
	mb_on_report(v, &remote, now_us);
	EXPECT_STREQ(mb_most_free_slots(v, "svc", now_us)->report.vm, "c");
	local.service_slots[0].free_slots = 0;
	mb_on_report(v, &local, now_us);
	EXPECT_STREQ(mb_most_free_slots(v, "svc", now_us)->report.vm, "x");
	EXPECT_EQ(mb_most_free_slots(v, "other", now_us), nullptr);
}

} // namespace
