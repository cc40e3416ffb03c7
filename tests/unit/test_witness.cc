#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "coordination/witness.h"
}

namespace
{

constexpr int64_t kS = CLK_US_PER_S;
constexpr int64_t kConfirmed = 100 * kS;
constexpr int64_t kAlone = kConfirmed + WT_ALONE_LIMIT_US;
constexpr int64_t kLatest = kConfirmed + WT_UNCONFIRMED_LIMIT_US;

wt_witness
witness(const std::string &vm, uint64_t incarnation = 1)
{
	wt_witness w = {};

	vm.copy(w.vm, sizeof(w.vm) - 1);
	w.incarnation = incarnation;
	return w;
}

wt_list
list_of(const std::vector<std::string> &vms)
{
	wt_list list = {};

	for (const std::string &vm : vms)
		list.witness[list.count++] = witness(vm);
	return list;
}

/* --- choice --- */

class WitnessChoice : public testing::Test
{
      protected:
	void
	add(const char *vm, const char *domain, bool linked = true,
	    bool large = true)
	{
		candidates.push_back({vm, domain, 1, linked, large});
	}

	std::vector<std::string>
	choose(const std::vector<std::string> &current = {})
	{
		wt_list now = list_of(current);
		wt_list chosen = {};
		std::vector<std::string> vms;

		wt_choose(&now, "a", candidates.data(),
		    (uint32_t)candidates.size(), &chosen);
		for (uint32_t i = 0; i < chosen.count; i++)
			vms.push_back(chosen.witness[i].vm);
		return vms;
	}

	std::vector<wt_candidate> candidates;
};

using Vms = std::vector<std::string>;

TEST_F(WitnessChoice, NoneWithoutOtherDaemons)
{
	EXPECT_EQ(choose(), Vms());
}

TEST_F(WitnessChoice, OtherDomainsGoFirstAndDiffer)
{
	add("a1", "a");
	add("b1", "b");
	add("b2", "b");
	add("c1", "c");
	add("c2", "c");
	EXPECT_EQ(choose(), Vms({"b1", "c1", "b2"}));
}

TEST_F(WitnessChoice, OwnDomainOnlyWithoutOthers)
{
	add("a1", "a");
	add("b1", "b");
	EXPECT_EQ(choose(), Vms({"b1", "a1"}));
}

TEST_F(WitnessChoice, LargeVmsGoFirst)
{
	add("b1", "b", true, false);
	add("b2", "b");
	EXPECT_EQ(choose().front(), "b2");
}

/* It may have ended: the next owner would wait for its answer. */
TEST_F(WitnessChoice, OneWithoutALinkIsLeftOutBesideOthers)
{
	add("b1", "b", false);
	add("c1", "c");
	EXPECT_EQ(choose(), Vms({"c1"}));
}

TEST_F(WitnessChoice, OnesWithoutALinkAreBetterThanNone)
{
	add("b1", "b", false);
	add("c1", "c", false);
	EXPECT_EQ(choose(), Vms({"b1", "c1"}));
}

TEST_F(WitnessChoice, NamedOnesStayThoughTheirLinkIsLost)
{
	add("b1", "b");
	add("b2", "b", false);
	add("c1", "c");
	add("c2", "c", false);
	EXPECT_EQ(choose({"b2", "c2"}), Vms({"b2", "c2", "b1"}));
}

TEST(WitnessList, NamesTheSameInAnyOrder)
{
	wt_list a = list_of({"x", "y"});
	wt_list b = list_of({"y", "x"});

	EXPECT_TRUE(wt_equals(&a, &b));
	b.witness[0].incarnation++;
	EXPECT_FALSE(wt_equals(&a, &b));
	b = list_of({"x"});
	EXPECT_FALSE(wt_equals(&a, &b));
	EXPECT_FALSE(wt_equals(&b, &a));
}

/* --- owner --- */

class Permit : public testing::Test
{
      protected:
	void
	begin(const Vms &vms)
	{
		wt_list list = list_of(vms);

		wt_permit_begin(&p, &list);
	}

	void
	change(const Vms &vms)
	{
		wt_list list = list_of(vms);

		wt_permit_change(&p, &list);
	}

	/* Asked so long after the lease was confirmed. */
	void
	granted(const std::string &vm, int64_t after_us, uint64_t life = 1)
	{
		wt_witness w = witness(vm, life);

		wt_permit_granted(&p, &w, kConfirmed + after_us);
	}

	int64_t
	until()
	{
		return wt_may_act_until_us(&p, kConfirmed);
	}

	wt_permit p = {};
};

constexpr int64_t kAsked = 5 * kS;
constexpr int64_t kGranted = kConfirmed + kAsked + WT_GRANT_US;

TEST_F(Permit, WithoutWitnessesTheOldLimitApplies)
{
	begin({});
	EXPECT_EQ(until(), kLatest);
}

TEST_F(Permit, WithoutGrantsItEndsSoon)
{
	begin({"x"});
	EXPECT_EQ(until(), kAlone);
}

TEST_F(Permit, GrantCountsFromWhenItWasAskedFor)
{
	begin({"x"});
	granted("x", kAsked);
	EXPECT_EQ(until(), kGranted);
	granted("x", kAsked - kS);
	EXPECT_EQ(until(), kGranted);
}

TEST_F(Permit, NoGrantExceedsTheOldLimit)
{
	begin({"x"});
	granted("x", WT_UNCONFIRMED_LIMIT_US);
	EXPECT_EQ(until(), kLatest);
}

TEST_F(Permit, OneOfThreeIsNoMajority)
{
	begin({"x", "y", "z"});
	granted("x", kAsked);
	EXPECT_EQ(until(), kAlone);
	granted("y", kAsked + kS);
	EXPECT_EQ(until(), kGranted);
	granted("z", kAsked + kS);
	EXPECT_EQ(until(), kGranted + kS);
}

TEST_F(Permit, OneOfTwoIsEnough)
{
	begin({"x", "y"});
	granted("y", kAsked);
	EXPECT_EQ(until(), kGranted);
}

TEST_F(Permit, OtherIncarnationsAndStrangersDoNotCount)
{
	begin({"x"});
	granted("x", kAsked, 2);
	granted("y", kAsked);
	EXPECT_EQ(until(), kAlone);
}

/* The next owner may read either list. */
TEST_F(Permit, BothListsHaveToAllowWhatIsDoneDuringAChange)
{
	begin({"x", "y", "z"});
	granted("x", kAsked);
	granted("y", kAsked);
	change({"x", "v", "w"});
	EXPECT_EQ(until(), kAlone);
	granted("v", kAsked);
	EXPECT_EQ(until(), kGranted);
	wt_permit_changed(&p);
	EXPECT_EQ(until(), kGranted);
	granted("y", kAsked + kS);
	EXPECT_EQ(until(), kGranted);
}

TEST_F(Permit, FirstListLimitsFromWhenItMayBeStored)
{
	begin({});
	change({"x"});
	EXPECT_EQ(until(), kAlone);
	wt_permit_changed(&p);
	EXPECT_EQ(until(), kAlone);
}

TEST_F(Permit, EmptyListCountsOnceItIsStored)
{
	begin({"x"});
	change({});
	EXPECT_EQ(until(), kAlone);
	wt_permit_changed(&p);
	EXPECT_EQ(until(), kLatest);
}

TEST_F(Permit, ReturningIncarnationHasToGrantAnew)
{
	begin({"x"});
	granted("x", kAsked);
	wt_list list = {1, {witness("x", 2)}};
	wt_permit_change(&p, &list);
	EXPECT_EQ(until(), kAlone);
	wt_permit_changed(&p);
	EXPECT_EQ(until(), kAlone);
	granted("x", kAsked, 2);
	EXPECT_EQ(until(), kGranted);
}

/* --- witness --- */

TEST(WitnessMemory, GrantsNothingForTermsThatWereRevoked)
{
	wt_memory m = {};

	EXPECT_TRUE(wt_grant(&m, 4, 10 * kS));
	EXPECT_GT(wt_revoke(&m, 4), 10 * kS + WT_GRANT_US);
	EXPECT_FALSE(wt_grant(&m, 4, 11 * kS));
	EXPECT_FALSE(wt_grant(&m, 3, 11 * kS));
	EXPECT_TRUE(wt_grant(&m, 5, 20 * kS));
}

TEST(WitnessMemory, EarlierTermDoesNotAllowALaterOneAgain)
{
	wt_memory m = {};

	wt_revoke(&m, 4);
	wt_revoke(&m, 2);
	EXPECT_FALSE(wt_grant(&m, 4, kS));
}

TEST(WitnessMemory, RefusalDoesNotExtendTheLastGrant)
{
	wt_memory m = {};

	wt_grant(&m, 1, 10 * kS);
	int64_t until_us = wt_revoke(&m, 1);
	wt_grant(&m, 1, 20 * kS);
	EXPECT_EQ(wt_revoke(&m, 1), until_us);
}

/* --- next owner --- */

class Inquiry : public testing::Test
{
      protected:
	void
	begin(const Vms &vms)
	{
		wt_list list = list_of(vms);

		wt_inquire(&q, &list, kConfirmed);
	}

	int64_t
	until()
	{
		return wt_last_owner_until_us(&q, &slowest);
	}

	wt_inquiry q = {};
	const char *slowest = nullptr;
};

TEST_F(Inquiry, WithoutWitnessesTheOldLimitApplies)
{
	begin({});
	EXPECT_EQ(until(), kLatest);
	EXPECT_STREQ(slowest, "");
}

TEST_F(Inquiry, UnansweredQuestionKeepsTheOldLimit)
{
	begin({"x", "y"});
	wt_on_revoked(&q, "x", 0);
	EXPECT_EQ(until(), kLatest);
	EXPECT_STREQ(slowest, "y");
}

TEST_F(Inquiry, AnswersBoundIt)
{
	begin({"x", "y"});
	wt_on_revoked(&q, "x", 0);
	wt_on_revoked(&q, "y", 0);
	EXPECT_EQ(until(), kAlone);
	EXPECT_STREQ(slowest, "");
}

TEST_F(Inquiry, GrantThatStillHoldsIsWaitedFor)
{
	begin({"x", "y"});
	wt_on_revoked(&q, "x", kAlone + kS);
	wt_on_revoked(&q, "y", 0);
	EXPECT_EQ(until(), kAlone + kS);
	EXPECT_STREQ(slowest, "x");
}

TEST_F(Inquiry, TwoOfThreeAnswersAreEnough)
{
	begin({"x", "y", "z"});
	wt_on_revoked(&q, "x", kAlone + kS);
	EXPECT_EQ(until(), kLatest);
	wt_on_revoked(&q, "z", 0);
	EXPECT_EQ(until(), kAlone + kS);
	wt_on_revoked(&q, "y", 0);
	EXPECT_EQ(until(), kAlone);
}

/* The last one's answer was no longer asked for once two had answered. */
TEST_F(Inquiry, IsSettledOnceNoAnswerCanChangeIt)
{
	begin({"x", "y", "z"});
	wt_on_revoked(&q, "x", kAlone + kS);
	EXPECT_FALSE(wt_is_settled(&q));
	wt_on_revoked(&q, "z", 0);
	EXPECT_FALSE(wt_is_settled(&q));
	wt_on_revoked(&q, "y", 0);
	EXPECT_TRUE(wt_is_settled(&q));
	begin({"x", "y", "z"});
	wt_on_revoked(&q, "x", 0);
	wt_on_revoked(&q, "z", 0);
	EXPECT_TRUE(wt_is_settled(&q));
	begin({"x"});
	wt_on_revoked(&q, "x", kAlone + kS);
	EXPECT_TRUE(wt_is_settled(&q));
	begin({});
	EXPECT_TRUE(wt_is_settled(&q));
}

TEST_F(Inquiry, EndedWitnessHasGrantedNothingSince)
{
	begin({"x"});
	wt_on_ended(&q, "x", kAlone);
	EXPECT_GT(until(), kAlone + WT_GRANT_US);
	EXPECT_LT(until(), kAlone + WT_GRANT_US + kS);
	/* Noticed again. */
	wt_on_ended(&q, "x", kAlone + kS);
	EXPECT_LT(until(), kAlone + WT_GRANT_US + kS);
}

TEST_F(Inquiry, StrangersDoNotCount)
{
	begin({"x"});
	wt_on_revoked(&q, "y", 0);
	EXPECT_EQ(until(), kLatest);
}

/* Whatever it is granted, and by whom: what is concluded isn't earlier. */
TEST(Witnesses, OwnerNeverActsForLongerThanIsConcluded)
{
	const std::vector<Vms> lists = {{"x"}, {"x", "y"}, {"x", "y", "z"}};

	for (const Vms &vms : lists) {
		uint32_t combinations = 1;

		for (size_t i = 0; i < vms.size(); i++)
			combinations *= 12;
		for (uint32_t n = 0; n < combinations; n++) {
			wt_list list = list_of(vms);
			wt_permit p = {};
			wt_inquiry q = {};
			const char *slowest;
			uint32_t rest = n;

			wt_permit_begin(&p, &list);
			wt_inquire(&q, &list, kConfirmed);
			for (const std::string &vm : vms) {
				int64_t at_us = kConfirmed + rest % 6 * kS;
				bool answers = rest / 6 % 2 == 0;
				wt_witness w = witness(vm);
				wt_memory m = {};

				rest /= 12;
				if (at_us > kConfirmed) {
					wt_grant(&m, 1, at_us);
					wt_permit_granted(&p, &w, at_us);
				}
				if (answers)
					wt_on_revoked(
					    &q, w.vm, wt_revoke(&m, 1));
			}
			ASSERT_LE(wt_may_act_until_us(&p, kConfirmed),
			    wt_last_owner_until_us(&q, &slowest))
			    << vms.size() << " witnesses, " << n;
		}
	}
}

} // namespace
