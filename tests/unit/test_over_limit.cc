#include "tests/unit/pool_fixture.h"

namespace
{

class OverLimit : public Pool
{
      protected:
	void
	SetUp() override
	{
		create_pool();
	}

	struct wp_over_event *
	next_event()
	{
		talloc_free(event);
		event = wp_next_over_event(p);
		return event;
	}

	void
	TearDown() override
	{
		talloc_free(event);
		Pool::TearDown();
	}

	struct wp_over_event *event = nullptr;
};

TEST_F(OverLimit, RunsThatFitTellNothing)
{
	add_worker("w", 2000);
	add(kJob, {{2}});
	run_all();
	renew_lease("w", {{kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}});
	EXPECT_EQ(next_event(), nullptr);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_CAPACITY], 0U);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_STEP_LIMIT], 0U);
}

TEST_F(OverLimit, WorkerOverItsCapacityIsToldOnceUntilItFitsAgain)
{
	add_worker("w", 2000);
	add(kJob, {{2}});
	add(kOther, {{1}});
	run_all();
	const std::vector<Running> fits = {
	    {kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}};
	std::vector<Running> over = fits;
	over.push_back({kOther, 0, 0, 7, 0, 10});
	over.push_back({"00000000000000ff", 0, 3, 1, 0, 10});

	renew_lease("w", over);
	ASSERT_NE(next_event(), nullptr);
	EXPECT_EQ(event->kind, WP_OVER_CAPACITY);
	EXPECT_STREQ(event->worker, "w");
	EXPECT_EQ(event->incarnation_ms, 1);
	EXPECT_EQ(event->clock_ms, now / kMs);
	EXPECT_EQ(event->capacity.cpu_mcpu, 2000);
	EXPECT_EQ(event->listed.cpu_mcpu, 3000);
	EXPECT_EQ(event->used.cpu_mcpu, 2000);
	EXPECT_EQ(event->orphaned.cpu_mcpu, 0);
	EXPECT_EQ(event->run_count, 4U);
	EXPECT_STREQ(event->runs,
	    "00000000000000a1.0.0.0:1+,00000000000000a1.0.0.1:1+,"
	    "00000000000000b2.0.0.0:7-,00000000000000ff.0.0.3:1?");
	renew_lease("w", over);
	EXPECT_EQ(next_event(), nullptr);
	renew_lease("w", fits);
	renew_lease("w", over);
	EXPECT_NE(next_event(), nullptr);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_CAPACITY], 2U);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_STEP_LIMIT], 0U);
}

TEST_F(OverLimit, RunsBeyondTheLimitOfAStepAreNamed)
{
	struct jb_spec *s = spec(kJob, {{2, 1000, JB_SPECULATIVE}, {1}});

	s->step[0].max_per_worker = 1;
	wp_add_job(p, s, nullptr, true, 0, now);
	add_worker("w");
	run_all();
	const std::vector<Running> beside = {{kJob, 1, 0, 1, 0, 10},
	    {kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}};

	renew_lease("w", beside);
	ASSERT_NE(next_event(), nullptr);
	EXPECT_EQ(event->kind, WP_OVER_STEP_LIMIT);
	EXPECT_EQ(event->run_count, 2U);
	EXPECT_STREQ(
	    event->runs, "00000000000000a1.0.0.0:1+,00000000000000a1.0.0.1:1-");
	renew_lease("w", beside);
	EXPECT_EQ(next_event(), nullptr);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_STEP_LIMIT], 1U);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_CAPACITY], 0U);
}

TEST_F(OverLimit, CapacityOfAnotherIncarnationTellsNothing)
{
	struct wp_worker_info info = {
	    "w", "127.0.0.1:1", "a", "kind", "rack", {1000, 1000, 0}, false, 0};

	add(kJob, {{2}});
	info.incarnation_ms = 2;
	wp_set_worker(p, &info, now);
	renew_lease("w", {{kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}});
	EXPECT_EQ(next_event(), nullptr);
	renew_lease(
	    "w", {{kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}}, {}, 2);
	EXPECT_NE(next_event(), nullptr);
}

TEST_F(OverLimit, CapacityOfAWorkerWithoutAnEntryTellsNothing)
{
	add(kJob, {{1}});
	wp_add_registered_worker(p, "w", "127.0.0.1:1", now);
	renew_lease("w", {{kJob, 0, 0, 1, 0, 10}});
	EXPECT_EQ(next_event(), nullptr);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_CAPACITY], 0U);
}

TEST_F(OverLimit, EventsOfASecondAreBounded)
{
	size_t events = 0;

	add(kJob, {{2}});
	for (int i = 0; i < 40; i++) {
		std::string id = "w" + std::to_string(i);

		add_worker(id, 1000);
		renew_lease(
		    id, {{kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}});
	}
	while (next_event() != nullptr)
		events++;
	EXPECT_EQ(events, 16U);
	EXPECT_EQ(p->stats.over_limit[WP_OVER_CAPACITY], 40U);
	now += kS;
	renew_lease("w0");
	renew_lease("w0", {{kJob, 0, 0, 1, 0, 10}, {kJob, 0, 1, 1, 0, 10}});
	EXPECT_NE(next_event(), nullptr);
}

} // namespace
