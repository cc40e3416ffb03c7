#include "pool_fixture.h"

#include <functional>
#include <map>

extern "C" {
#include "common/rng.h"
#include "state/gang_plan.h"
}

namespace
{

/* --- when a gang can start (state/gang_plan) --- */

struct SlotCase {
	std::string name;
	int64_t free_mcpu;
	std::vector<std::pair<int64_t, int64_t>> release; /* when, cores */
	uint32_t max_slots;
	std::vector<int64_t> at; /* expected times of the slots */
};

class GangSlots : public testing::TestWithParam<SlotCase>
{
};

/* Each member needs 3,000 mcpu; the time is 100. */
TEST_P(GangSlots, AppearAsRunsEnd)
{
	const SlotCase &c = GetParam();
	std::vector<struct gp_release> release;
	struct wp_resources need = {3000, 0, 0};
	struct gp_slot slot[8];

	for (auto &r : c.release)
		release.push_back({r.first, {r.second, 0, 0}});
	struct gp_offer offer = {5, {c.free_mcpu, 0, 0}, release.data(),
	    (uint32_t)release.size(), c.max_slots, 100};
	ASSERT_EQ(gp_add_slots(&offer, &need, slot), c.at.size()) << c.name;
	for (size_t i = 0; i < c.at.size(); i++) {
		EXPECT_EQ(slot[i].at_us, c.at[i]) << c.name;
		EXPECT_EQ(slot[i].worker, 5U) << c.name;
	}
}

INSTANTIATE_TEST_SUITE_P(Table, GangSlots,
    testing::Values(SlotCase{"all free", 7000, {}, 4, {100, 100}},
	SlotCase{"bounded", 9000, {}, 2, {100, 100}},
	SlotCase{"after two runs", 1000, {{300, 1000}, {200, 1000}}, 4, {300}},
	SlotCase{"one each", 3000, {{200, 3000}, {400, 6000}}, 8,
	    {100, 200, 400, 400}},
	SlotCase{"reserved beyond what is free", -3000,
	    {{200, 3000}, {400, 3000}}, 8, {400}},
	SlotCase{"overdue run", 0, {{50, 3000}}, 8, {100}},
	SlotCase{"never", 2000, {}, 8, {}}));

TEST(GangPlan, StartsWhenTheLastMemberHasASlot)
{
	struct gp_slot slot[] = {
	    {1, 500, 500}, {2, 100, 100}, {3, 300, 300}, {4, 200, 200}};

	EXPECT_EQ(gp_choose(slot, 4, 3), 300);
	EXPECT_EQ(slot[0].worker, 2U);
	EXPECT_EQ(slot[1].worker, 4U);
	EXPECT_EQ(slot[2].worker, 3U);
	EXPECT_EQ(gp_choose(slot, 4, 5), INT64_MAX);
}

/* --- reservations of a pool --- */

class Gangs : public Pool
{
      protected:
	/* A job of one step, whose tasks are expected to take so long. */
	struct wp_job *
	add_job(const std::string &id, const Step &step, uint32_t estimate_ms,
	    uint32_t priority = 1, uint32_t advice_valid_ms = 0)
	{
		struct jb_spec *s = spec(id, {step}, advice_valid_ms);

		s->step[0].estimate_ms = estimate_ms;
		s->policy.priority = priority;
		s->policy.target_latency_ms = 60000;
		return wp_add_job(p, s, nullptr, true, 0, now);
	}

	/* Two workers of four cores; each runs a task for @run_ms. */
	void
	fill_two_workers(uint32_t run_ms)
	{
		create_pool();
		add_worker("w", 4000);
		add_worker("v", 4000);
		add_job(kOther, {2, 3000}, run_ms);
		ASSERT_EQ(run_all().size(), 2U);
	}
};

/* A gang of whole workers among tasks that would take what becomes free. */
TEST_F(Gangs, ReservedResourcesAreNotTakenByLaterTasks)
{
	fill_two_workers(1000);
	add_job(kJob, {2, 4000, JB_GANG}, 1000);
	run_all(100 * kMs);
	add_job(job_id(1), {2, 1000}, 5000, 2);
	EXPECT_TRUE(run_all(100 * kMs).empty());
	now += 800 * kMs;
	renew_lease("w", {}, {{1, kOther, 0, 0, 1, WP_END_DONE}});
	renew_lease("v", {}, {{1, kOther, 0, 1, 1, WP_END_DONE}});
	auto orders = run_all(50 * kMs);
	ASSERT_EQ(orders.size(), 2U);
	EXPECT_STREQ(orders[0]->ref.job, kJob.c_str());
	EXPECT_STREQ(orders[1]->ref.job, kJob.c_str());
}

TEST_F(Gangs, TasksThatEndBeforeTheGangStartsFillReservedResources)
{
	fill_two_workers(1500);
	add_job(kJob, {2, 4000, JB_GANG}, 1000);
	run_all(100 * kMs);
	add_job(job_id(1), {2, 1000}, 500, 2);
	EXPECT_EQ(run_all(100 * kMs).size(), 2U);
}

TEST_F(Gangs, MoreUrgentTasksUseReservedResources)
{
	fill_two_workers(1000);
	add_job(kJob, {2, 4000, JB_GANG}, 1000);
	run_all(100 * kMs);
	add_job(job_id(1), {2, 1000}, 5000, 0);
	EXPECT_EQ(run_all(100 * kMs).size(), 2U);
}

TEST_F(Gangs, CancelledGangGivesItsReservationUp)
{
	fill_two_workers(1000);
	struct wp_job *gang = add_job(kJob, {2, 4000, JB_GANG}, 1000);
	run_all(100 * kMs);
	add_job(job_id(1), {2, 1000}, 5000, 2);
	EXPECT_TRUE(run_all(100 * kMs).empty());
	wp_cancel_job(p, gang, now);
	EXPECT_EQ(run_all(100 * kMs).size(), 2U);
}

/* Resources that no gang can use together are left to other tasks. */
TEST_F(Gangs, GangThatCanNeverFitReservesNothing)
{
	fill_two_workers(1000);
	add_job(kJob, {3, 4000, JB_GANG}, 1000);
	run_all(100 * kMs);
	add_job(job_id(1), {2, 1000}, 5000, 2);
	EXPECT_EQ(run_all(100 * kMs).size(), 2U);
}

TEST_F(Gangs, FurtherWorkersAreAskedWhenTheApprovedOneStaysFull)
{
	struct wp_advice_request request;
	struct wp_approval approval = {"w-1", "ticket"};

	create_pool();
	add_worker("w-1");
	add_job(kOther, {1, 4000, JB_LONG_RUNNING}, 1000);
	EXPECT_EQ(run_all().size(), 1U);
	add_job(kJob, {1, 4000, JB_GANG}, 1000, 1, 2000);
	tick(100 * kMs);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	now += 300 * kMs;
	wp_on_advice(p, &request, true, &approval, 1, now, now);
	/* The service is busy. */
	p->approval_rates->queued_us = kS;
	add_worker("w-2");
	tick(100 * kMs);
	now += 100 * kMs;
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	ASSERT_EQ(request.worker_count, 1U);
	EXPECT_STREQ(request.worker[0], "w-2");
}

/*
 * Tickets of a gang expire while the workers that approve it are busy. Renewing
 * them over and over would delay the requests of other steps.
 */
TEST_F(Gangs, TicketsAreRenewedOnceTheGangIsAboutToStart)
{
	struct wp_advice_request request;
	struct wp_approval approvals[] = {{"w", "t"}, {"v", "t"}};

	fill_two_workers(6000);
	add_job(kJob, {2, 4000, JB_GANG}, 1000, 1, 2000);
	tick(50 * kMs);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	wp_on_advice(p, &request, true, approvals, 2, now, now);
	while (now < kStart + 5500 * kMs) {
		ASSERT_TRUE(tick(50 * kMs).empty());
		ASSERT_FALSE(wp_next_advice_request(p, now, &request));
	}
	while (now < kStart + 6 * kS) {
		tick(50 * kMs);
		if (wp_next_advice_request(p, now, &request))
			break;
	}
	ASSERT_LT(now, kStart + 6 * kS);
	EXPECT_EQ(request.worker_count, 2U);
	wp_on_advice(p, &request, true, approvals, 2, now, now);
	now = kStart + 6 * kS;
	renew_lease("w", {}, {{1, kOther, 0, 0, 1, WP_END_DONE}});
	renew_lease("v", {}, {{1, kOther, 0, 1, 1, WP_END_DONE}});
	EXPECT_EQ(run_all(50 * kMs).size(), 2U);
}

TEST_F(Gangs, WaitingGangTellsItsTicketsAndWhenItMayStart)
{
	struct wp_advice_request request;
	struct wp_approval approvals[] = {{"w", "t"}, {"v", "t"}};
	struct wp_gang_wait row[2];

	fill_two_workers(6000);
	add_job(kJob, {2, 4000, JB_GANG}, 1000, 1, 2000);
	tick(50 * kMs);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	ASSERT_EQ(wp_get_gang_waits(p, now + 300 * kMs, row, 2), 1U);
	EXPECT_EQ(row[0].requested, 2U);
	EXPECT_EQ(row[0].asked_us, now);
	EXPECT_EQ(row[0].approved, 0U);
	EXPECT_EQ(row[0].planned_us, INT64_MAX);
	wp_on_advice(p, &request, true, approvals, 2, now, now);
	tick(50 * kMs);
	ASSERT_EQ(wp_get_gang_waits(p, now, row, 2), 1U);
	EXPECT_STREQ(row[0].job, kJob.c_str());
	EXPECT_EQ(row[0].members, 2U);
	EXPECT_EQ(row[0].waiting, 2U);
	EXPECT_EQ(row[0].approved, 2U);
	EXPECT_EQ(row[0].valid, 2U);
	EXPECT_EQ(row[0].room, 0U);
	EXPECT_EQ(row[0].asked_us, 0);
	EXPECT_EQ(row[0].planned_us, kStart + 6 * kS);
	EXPECT_TRUE(row[0].reserved);
	ASSERT_EQ(wp_get_gang_waits(p, now + 2 * kS, row, 2), 1U);
	EXPECT_EQ(row[0].valid, 0U);
}

/* One more ticket takes as long as all did, and these expire meanwhile. */
TEST_F(Gangs, RenewedTicketsSufficeAlthoughAReservedWorkerStaysFull)
{
	struct wp_advice_request request;
	struct wp_approval approvals[] = {{"w", "t"}, {"v", "t"}, {"u", "t"}};
	std::vector<std::string> ids = {"w", "v", "u"};

	create_pool();
	for (const std::string &id : ids)
		add_worker(id, 4000);
	add_job(kOther, {3, 3000}, 6000);
	auto first = run_all();
	ASSERT_EQ(first.size(), 3U);
	add_job(kJob, {2, 4000, JB_GANG}, 1000, 1, 2000);
	tick(50 * kMs);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	wp_on_advice(p, &request, true, approvals, 3, now, now);
	do {
		tick(50 * kMs);
		ASSERT_LT(now, kStart + 6 * kS);
	} while (!wp_next_advice_request(p, now, &request));
	for (uint32_t i = 0; i < request.worker_count; i++)
		approvals[i].worker = request.worker[i];
	wp_on_advice(
	    p, &request, true, approvals, request.worker_count, now, now);
	now = kStart + 6 * kS;
	for (const struct wp_order *o : first) {
		if (request.worker[0] != std::string(o->worker))
			renew_lease(o->worker, {},
			    {{1, kOther, 0, o->ref.index, 1, WP_END_DONE}});
	}
	EXPECT_EQ(run_all(50 * kMs).size(), 2U);
}

/* A run that is about to end may take longer. */
TEST_F(Gangs, FreeWorkersAreReservedBeforeThoseThatAreFreeOnceTicketsArrive)
{
	struct wp_advice_request request;
	struct wp_approval approvals[] = {{"w", "t"}, {"v", "t"}, {"u", "t"}};
	struct wp_job *gang;
	struct jb_spec *s;

	create_pool();
	add_worker("w", 4000);
	add_job(kOther, {1, 3000}, 3000);
	ASSERT_EQ(run_all().size(), 1U);
	add_worker("v", 3000);
	add_worker("u", 3000);
	s = spec(kJob, {{2, 3000, JB_GANG}}, 1500);
	s->policy.advice_decide_us = 700000;
	gang = wp_add_job(p, s, nullptr, true, 0, now);
	tick(50 * kMs);
	ASSERT_TRUE(wp_next_advice_request(p, now, &request));
	wp_on_advice(p, &request, true, approvals, 3, now - 2 * kS, now);
	now = kStart + 2900 * kMs;
	for (const char *id : {"w", "v", "u"})
		renew_lease(id,
		    id[0] == 'w' ? std::vector<Running>{{kOther, 0, 0, 1, 0}}
				 : std::vector<Running>{});
	tick(50 * kMs);
	struct wp_step *step = &gang->occ[0]->step[0];
	ASSERT_TRUE(step->reserved);
	EXPECT_EQ(wp_ticket_find(step, wp_find_worker(p, "w"))->reserved, 0U);
	EXPECT_EQ(wp_ticket_find(step, wp_find_worker(p, "v"))->reserved, 1U);
	EXPECT_EQ(wp_ticket_find(step, wp_find_worker(p, "u"))->reserved, 1U);
}

} // namespace
