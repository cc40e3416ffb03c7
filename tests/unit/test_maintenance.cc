#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "state/maintenance.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;
constexpr uint64_t kFence = 7;

/* A pool with workers on VMs "m-0", "m-1" and so on, and a wave over them. */
class Maintenance : public testing::Test
{
      protected:
	void
	begin(uint32_t vms, uint32_t maximum, uint32_t duration_ms = 20000)
	{
		struct wp_settings settings = {};

		p = wp_create(nullptr, "pool", &settings);
		m = talloc_zero(p, struct mw_wave);
		m->number = 1;
		m->max_down = maximum;
		m->duration_ms = duration_ms;
		m->deadline_us = now + duration_ms * kMs;
		m->vm = talloc_zero_array(m, struct mw_vm, vms);
		m->vm_count = vms;
		for (uint32_t i = 0; i < vms; i++) {
			m->vm[i].name = talloc_asprintf(m, "m-%u", i);
			list("w-" + std::to_string(i), m->vm[i].name, 1);
		}
		owner.pool = p;
		owner.fence = kFence;
		owner.takeover_pause_us = 3 * kS;
		owner.downtime_us = 2 * kS;
		owner.since_us = now - 60 * kS;
		owner.is_in_use = [](const char *, void *arg) {
			return *(bool *)arg;
		};
		owner.arg = &is_in_use;
	}

	void
	TearDown() override
	{
		talloc_free(p);
	}

	/* Lists a worker that has accepted a lease renewal. */
	void
	list(const std::string &id, const std::string &vm, int64_t born_ms)
	{
		struct wp_worker_info info = {id.c_str(), "127.0.0.1:1", "a",
		    "kind", "rack", {4000, 1000, 0}, false, 0, vm.c_str()};
		struct wp_renewal hold;
		struct wp_renewal_reply reply = {};
		struct wp_worker *w;

		wp_set_worker(p, &info, now);
		w = wp_find_worker(p, id.c_str());
		w->renew_at_us = now;
		wp_renewal_due(p, w, now, &hold);
		reply.incarnation_ms = born_ms;
		reply.clock_ms = now / kMs;
		wp_on_renewal(p, w, &reply, now);
		w->registered = true;
	}

	/* Adds a job with one long-running step. */
	struct wp_job *
	add_long_running_job(uint32_t count, uint32_t max_unavailable)
	{
		struct jb_spec *s = talloc_zero(nullptr, struct jb_spec);

		snprintf(s->id, sizeof(s->id), "00000000000000aa");
		s->queue = talloc_strdup(s, "q");
		s->pool = talloc_strdup(s, "pool");
		s->payload = talloc_strdup(s, "");
		s->step = talloc_zero_array(s, struct jb_step, 1);
		s->step_count = 1;
		s->step[0].count = count;
		s->step[0].cpu_mcpu = 4000;
		s->step[0].mem_mb = 1;
		s->step[0].flags = JB_LONG_RUNNING;
		s->step[0].max_unavailable = max_unavailable;
		return wp_add_job(p, s, nullptr, true, 0, now);
	}

	void
	answer_orders()
	{
		while (struct wp_order *o = wp_next_order(p)) {
			stops += o->kind == WP_ORDER_STOP;
			wp_on_order_result(p, o, WP_ACCEPTED, now / kMs, now);
			talloc_free(o);
		}
	}

	uint32_t
	retiring() const
	{
		uint32_t n = 0;

		for (uint32_t i = 0; i < m->vm_count; i++)
			n += m->vm[i].evacuating;
		return n;
	}

	struct wp_pool *p = nullptr;
	struct mw_wave *m = nullptr;
	struct mw_owner owner = {};
	int64_t now = 1000 * kS;
	uint32_t stops = 0;
	bool is_in_use = false;
};

TEST_F(Maintenance, NoMoreThanMaxDownAreEvacuatedOrTaken)
{
	begin(5, 2);
	mw_evacuate(m, &owner, now);
	EXPECT_EQ(retiring(), 2U);
	EXPECT_TRUE(mw_may_take(m, &m->vm[0], &owner, now));
	EXPECT_FALSE(mw_may_take(m, &m->vm[4], &owner, now));
	mw_take(&m->vm[0], &owner);
	mw_take(&m->vm[1], &owner);
	mw_evacuate(m, &owner, now);
	EXPECT_EQ(m->vm[0].fence, kFence);
	for (uint32_t i = 2; i < 5; i++)
		EXPECT_FALSE(mw_may_take(m, &m->vm[i], &owner, now));
}

TEST_F(Maintenance, EvacuatingWorkersGetNoTasks)
{
	begin(2, 1);
	mw_evacuate(m, &owner, now);
	add_long_running_job(2, 0);
	wp_tick(p, now);
	EXPECT_EQ(wp_find_worker_on_vm(p, "m-0")->tasks, nullptr);
	EXPECT_NE(wp_find_worker_on_vm(p, "m-1")->tasks, nullptr);
}

TEST_F(Maintenance, VmIsDoneOnceANewWorkerRunsOnIt)
{
	begin(1, 1);
	mw_evacuate(m, &owner, now);
	mw_take(&m->vm[0], &owner);
	EXPECT_TRUE(mw_order_due(&m->vm[0], &owner, now));
	mw_on_order_result(&m->vm[0], &owner, MW_ACCEPTED, now);
	now += kS;
	list("w-0", "m-0", 1);
	EXPECT_FALSE(mw_has_new_worker(&m->vm[0], &owner, now));
	now += kS;
	list("w-9", "m-0", 2);
	EXPECT_TRUE(mw_has_new_worker(&m->vm[0], &owner, now));
}

/* It had crashed before, and the reply was made before the order. */
TEST_F(Maintenance, ReplyThatCrossesTheOrderShowsNoNewWorker)
{
	begin(1, 1);
	mw_evacuate(m, &owner, now);
	mw_take(&m->vm[0], &owner);
	struct wp_worker *w = wp_find_worker_on_vm(p, "m-0");
	struct wp_renewal renewal;
	w->renew_at_us = now;
	ASSERT_TRUE(wp_renewal_due(p, w, now, &renewal));
	now += 100 * CLK_US_PER_MS;
	mw_on_order_result(&m->vm[0], &owner, MW_ACCEPTED, now);
	now += 10 * CLK_US_PER_MS;
	struct wp_renewal_reply reply = {5, now / CLK_US_PER_MS};
	wp_on_renewal(p, w, &reply, now);
	EXPECT_FALSE(mw_has_new_worker(&m->vm[0], &owner, now));
	now += 2 * kS;
	list("w-0", "m-0", 5);
	EXPECT_TRUE(mw_has_new_worker(&m->vm[0], &owner, now));
}

TEST_F(Maintenance, RestartedWorkerWithTheSameIdCountsAsNew)
{
	begin(1, 1);
	mw_evacuate(m, &owner, now);
	mw_take(&m->vm[0], &owner);
	mw_on_order_result(&m->vm[0], &owner, MW_ACCEPTED, now);
	now += 2 * kS;
	list("w-0", "m-0", 5);
	EXPECT_TRUE(mw_has_new_worker(&m->vm[0], &owner, now));
}

TEST_F(Maintenance, NextOwnerWaitsToOrderAndAFencedOneStops)
{
	begin(1, 1);
	mw_evacuate(m, &owner, now);
	mw_take(&m->vm[0], &owner);
	owner.fence = kFence + 1;
	owner.since_us = now;
	EXPECT_FALSE(mw_order_due(&m->vm[0], &owner, now + kS));
	EXPECT_TRUE(mw_order_due(&m->vm[0], &owner, now + 4 * kS));
	mw_on_order_result(&m->vm[0], &owner, MW_FENCED, now + 4 * kS);
	EXPECT_FALSE(mw_order_due(&m->vm[0], &owner, now + 60 * kS));
	owner.fence = kFence + 2;
	EXPECT_TRUE(mw_order_due(&m->vm[0], &owner, now + 60 * kS));
}

TEST_F(Maintenance, OrdersWithoutEffectAreRepeated)
{
	const enum mw_order_result repeated[] = {MW_BUSY, MW_UNCONFIRMED};

	begin(1, 1);
	mw_evacuate(m, &owner, now);
	mw_take(&m->vm[0], &owner);
	for (enum mw_order_result result : repeated) {
		mw_on_order_result(&m->vm[0], &owner, result, now);
		EXPECT_FALSE(mw_order_due(&m->vm[0], &owner, now));
		now += kS;
		EXPECT_TRUE(mw_order_due(&m->vm[0], &owner, now));
		EXPECT_FALSE(m->vm[0].nothing_to_do);
	}
	mw_on_order_result(&m->vm[0], &owner, MW_NO_SUCH_VM, now);
	EXPECT_TRUE(m->vm[0].nothing_to_do);
}

TEST_F(Maintenance, LongRunningTasksStopWithinMaxUnavailable)
{
	begin(4, 4);
	struct wp_job *job = add_long_running_job(3, 1);
	struct wp_step *s = &job->occ[0]->step[0];

	wp_tick(p, now);
	answer_orders();
	for (uint32_t i = 0; i < 3; i++)
		s->task[i].percent = 100;
	mw_evacuate(m, &owner, now);
	EXPECT_EQ(retiring(), 4U);
	wp_tick(p, now);
	answer_orders();
	EXPECT_EQ(stops, 1U);
	/* At the deadline, max_unavailable still protects the other tasks. */
	now = m->deadline_us;
	uint32_t taken = 0;
	for (uint32_t i = 0; i < 4; i++)
		taken += mw_may_take(m, &m->vm[i], &owner, now);
	EXPECT_EQ(taken, 1U);
}

TEST_F(Maintenance, TasksWithoutALimitStopAtTheEndOfTheRound)
{
	begin(2, 1, 20000);
	struct wp_job *job = add_long_running_job(2, 0);

	(void)job;
	wp_find_worker_on_vm(p, "m-0");
	wp_tick(p, now);
	answer_orders();
	mw_evacuate(m, &owner, now);
	uint32_t first = m->vm[0].evacuating ? 0 : 1;
	EXPECT_FALSE(mw_may_take(m, &m->vm[first], &owner, now));
	/* Two rounds of 10 s each, less two downtimes of 2 s: 6 s. */
	EXPECT_FALSE(mw_may_take(m, &m->vm[first], &owner, now + 5 * kS));
	EXPECT_TRUE(mw_may_take(m, &m->vm[first], &owner, now + 7 * kS));
}

TEST_F(Maintenance, VmWithoutAWorkerIsTakenByOnePoolOnly)
{
	begin(1, 1);
	wp_unlist_worker(p, "w-0");
	now += 10 * kS;
	EXPECT_FALSE(mw_may_take(m, &m->vm[0], &owner, now));
	owner.takes_workerless_vms = true;
	EXPECT_TRUE(mw_may_take(m, &m->vm[0], &owner, now));
}

/*
 * The first pool's owner took the VMs of all other pools, without evacuating
 * them, and two owners ordered one VM.
 */
TEST_F(Maintenance, VmWithAWorkerOfAnotherPoolIsNotTakenAsOneWithoutAWorker)
{
	begin(1, 1);
	wp_unlist_worker(p, "w-0");
	now += 10 * kS;
	owner.takes_workerless_vms = true;
	is_in_use = true;
	EXPECT_FALSE(mw_may_take(m, &m->vm[0], &owner, now));
	is_in_use = false;
	EXPECT_TRUE(mw_may_take(m, &m->vm[0], &owner, now));
}

} // namespace
