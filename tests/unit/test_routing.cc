#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "state/routing.h"
}

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;

class RoutingTest : public testing::Test
{
      protected:
	struct rt_service *s =
	    rt_create(nullptr, "svc", po_get(PO_ORDINARY, PO_WAITING), 1);
	int64_t now_us = 1000 * CLK_US_PER_S;
	std::vector<std::unique_ptr<struct rt_request>> requests;

	void
	TearDown() override
	{
		talloc_free(s);
	}

	void
	endpoints(int n, uint32_t slots)
	{
		rt_begin_update(s);
		for (int i = 0; i < n; i++)
			rt_update_endpoint(s, ("e" + std::to_string(i)).c_str(),
			    "127.0.0.1:1", slots, false);
		rt_end_update(s, now_us);
	}
	struct rt_request *
	arrive(enum st_class c = ST_NORMAL, bool idempotent = true,
	    int64_t deadline_us = CLK_US_PER_S, bool may_forward = false)
	{
		auto r = std::make_unique<struct rt_request>();

		r->request_class = c;
		r->idempotent = idempotent;
		r->may_forward = may_forward;
		r->deadline_us = now_us + deadline_us;
		requests.push_back(std::move(r));
		rt_request_arrived(s, requests.back().get(), now_us);
		return requests.back().get();
	}
	/* Returns the kind of the next action, or -1 when there is none. */
	int
	next(struct rt_action *a = nullptr)
	{
		struct rt_action local;

		if (a == nullptr)
			a = &local;
		return rt_next_action(s, a) ? (int)a->kind : -1;
	}
};

TEST_F(RoutingTest, LeastOutstandingWithinTheShare)
{
	std::map<uint32_t, int> used;

	endpoints(4, 2);
	for (int i = 0; i < 8; i++) {
		struct rt_request *r = arrive();

		ASSERT_EQ(next(), RT_SEND);
		used[r->endpoint]++;
	}
	for (auto &u : used)
		EXPECT_EQ(u.second, 2);
	arrive();
	EXPECT_EQ(next(), -1) << "the ninth waits";
	EXPECT_EQ(s->queued[ST_NORMAL], 1U);
}

TEST_F(RoutingTest, SharesOfAllDaemonsAddUpToTheSlots)
{
	for (uint32_t daemons = 1; daemons <= 9; daemons++) {
		std::vector<uint32_t> sum(5, 0);

		for (uint32_t rank = 0; rank < daemons; rank++) {
			endpoints(5, 8);
			rt_set_share(s, rank, daemons, now_us);
			for (int e = 0; e < 5; e++)
				sum[(size_t)e] += s->endpoint[e].share;
		}
		for (uint32_t total : sum)
			EXPECT_EQ(total, 8U) << daemons << " daemons";
	}
}

struct RetryCase {
	const char *name;
	bool idempotent;
	enum rt_attempt_result how;
	int expect; /* action after the attempt */
};

class RetryTable : public RoutingTest,
		   public testing::WithParamInterface<RetryCase>
{
};

TEST_P(RetryTable, RetriesOnlyWhatIsIdempotentOrNotRun)
{
	endpoints(3, 8);
	s->retry_tokens = 5000;
	struct rt_request *r = arrive(ST_NORMAL, GetParam().idempotent);

	ASSERT_EQ(next(), RT_SEND);
	rt_attempt_ended(s, r, GetParam().how, now_us);
	EXPECT_EQ(next(), GetParam().expect);
	EXPECT_EQ(next(), -1);
}

INSTANTIATE_TEST_SUITE_P(Table, RetryTable,
    testing::Values(RetryCase{"IdempotentLost", true, RT_LOST, RT_SEND},
	RetryCase{"IdempotentRefused", true, RT_REFUSED, RT_SEND},
	RetryCase{"IdempotentUnsent", true, RT_UNSENT, RT_SEND},
	RetryCase{"NonIdempotentLost", false, RT_LOST, RT_REPORT_UNKNOWN},
	RetryCase{"NonIdempotentRefused", false, RT_REFUSED, RT_SEND},
	RetryCase{"NonIdempotentUnsent", false, RT_UNSENT, RT_SEND},
	RetryCase{"NonIdempotentAnswered", false, RT_ANSWERED, -1}),
    [](const testing::TestParamInfo<RetryCase> &i) { return i.param.name; });

TEST_F(RoutingTest, LostAttemptIsNeverReportedAsNotRun)
{
	struct rt_action a;

	endpoints(2, 8);
	s->retry_tokens = 1000;
	struct rt_request *r = arrive();

	next();
	rt_attempt_ended(s, r, RT_LOST, now_us);
	ASSERT_EQ(next(), RT_SEND);
	s->retry_tokens = 0;
	rt_attempt_ended(s, r, RT_REFUSED, now_us);
	EXPECT_EQ(next(&a), RT_REPORT_UNKNOWN);
}

TEST_F(RoutingTest, RetriesStayWithinTheirBudget)
{
	uint64_t first = 10000;

	endpoints(10, 8);
	for (uint64_t i = 0; i < first; i++) {
		struct rt_action a;
		struct rt_request *r = arrive();

		now_us += 100 * kMs;
		while (next(&a) == RT_SEND)
			rt_attempt_ended(s, a.request, RT_REFUSED, now_us);
		(void)r;
	}
	EXPECT_LE(s->retries, first / 10 + 20);
}

TEST_F(RoutingTest, FailingEndpointIsEjectedAndProbed)
{
	struct rt_action a;

	endpoints(2, 8);
	s->retry_tokens = 20000;
	for (int i = 0; i < 40; i++) {
		struct rt_request *r = arrive();

		while (next(&a) == RT_SEND) {
			/* Endpoint 0 refuses all. */
			rt_attempt_ended(s, r,
			    r->endpoint == 0 ? RT_REFUSED : RT_ANSWERED,
			    now_us);
		}
	}
	EXPECT_TRUE(s->endpoint[0].probing);
	EXPECT_FALSE(s->endpoint[1].probing);
	now_us += 2 * CLK_US_PER_S;
	/* At most one probe is in flight, whatever the load. */
	std::vector<struct rt_request *> sent;

	for (int i = 0; i < 6; i++) {
		struct rt_request *r = arrive();

		if (next() == RT_SEND)
			sent.push_back(r);
	}
	EXPECT_LE(s->endpoint[0].outstanding, 1U);
	for (struct rt_request *r : sent)
		rt_attempt_ended(s, r, RT_ANSWERED, now_us);
	EXPECT_FALSE(s->endpoint[0].probing);
}

/* Two were drawn of all, and only then asked whether they take anything. */
TEST_F(RoutingTest, FullEndpointsDoNotHideAnIdleOneFromARandomChoice)
{
	s->choose = rt_choose_two_random;
	endpoints(20, 1);
	for (int i = 0; i < 20; i++) {
		arrive();
		EXPECT_EQ(next(), RT_SEND) << "request " << i;
	}
	arrive();
	EXPECT_EQ(next(), -1);
}

TEST_F(RoutingTest, RandomChoiceRetriesElsewhere)
{
	s->choose = rt_choose_two_random;
	s->retry_tokens = 20000;
	endpoints(2, 8);
	for (int i = 0; i < 10; i++) {
		struct rt_request *r = arrive();
		struct rt_action a;

		ASSERT_EQ(next(&a), RT_SEND);
		uint32_t first = r->endpoint;

		rt_attempt_ended(s, r, RT_REFUSED, now_us);
		ASSERT_EQ(next(&a), RT_SEND);
		EXPECT_NE(r->endpoint, first);
		rt_attempt_ended(s, r, RT_ANSWERED, now_us);
	}
}

TEST_F(RoutingTest, RequestThatCannotFinishInTimeIsRefused)
{
	struct rt_action a;

	endpoints(1, 1);
	s->service_us = 100 * kMs;
	arrive(ST_NORMAL, true, 10 * kMs);
	ASSERT_EQ(next(&a), RT_REFUSE);
	EXPECT_EQ(a.reason, RT_TOO_LATE);
	arrive(ST_NORMAL, true, 10 * CLK_US_PER_S);
	ASSERT_EQ(next(&a), RT_SEND);
	arrive(ST_NORMAL, true, 300 * kMs);
	EXPECT_EQ(next(), -1);
	now_us += 260 * kMs;
	rt_tick(s, now_us);
	ASSERT_EQ(next(&a), RT_REFUSE);
	EXPECT_EQ(a.reason, RT_TOO_LATE);
}

TEST_F(RoutingTest, UrgentEvictsHeavyFromTheQueue)
{
	struct rt_action a;

	endpoints(1, 1);
	arrive(ST_NORMAL);
	next();
	struct rt_request *heavy = arrive(ST_HEAVY);

	for (int i = 0; i < 4; i++)
		arrive(ST_URGENT);
	EXPECT_EQ(next(), -1);
	arrive(ST_URGENT);
	ASSERT_EQ(next(&a), RT_REFUSE);
	EXPECT_EQ(a.request, heavy);
	EXPECT_EQ(a.reason, RT_EVICTED);
	arrive(ST_URGENT);
	ASSERT_EQ(next(&a), RT_REFUSE);
	EXPECT_EQ(a.reason, RT_QUEUE_FULL);
	EXPECT_GT(a.retry_after_ms, 0U);
}

TEST_F(RoutingTest, FullSlotsForwardToAPeerWithFreeSlots)
{
	struct rt_action a;

	endpoints(1, 1);
	arrive();
	next();
	rt_set_peer_free_slots(s, 1);
	struct rt_request *r = arrive(ST_NORMAL, true, CLK_US_PER_S, true);

	EXPECT_EQ(next(&a), RT_FORWARD);
	EXPECT_EQ(a.request, r);
	arrive(ST_NORMAL, true, CLK_US_PER_S, true);
	EXPECT_EQ(next(), -1) << "the peer's slot is taken";
	/* When the peer refuses it, it waits here and is not forwarded again. */
	rt_set_peer_free_slots(s, 5);
	rt_forward_failed(s, r, now_us);
	EXPECT_EQ(next(), -1);
}

TEST_F(RoutingTest, LeavingEndpointReceivesNoNewRequests)
{
	endpoints(2, 8);
	rt_begin_update(s);
	rt_update_endpoint(s, "e0", "127.0.0.1:1", 8, true);
	rt_update_endpoint(s, "e1", "127.0.0.1:1", 8, false);
	rt_end_update(s, now_us);
	for (int i = 0; i < 8; i++) {
		struct rt_request *r = arrive();

		ASSERT_EQ(next(), RT_SEND);
		EXPECT_EQ(r->endpoint, 1U);
	}
	/* The same holds for one that is no longer configured. */
	rt_begin_update(s);
	rt_update_endpoint(s, "e0", "127.0.0.1:1", 8, false);
	rt_end_update(s, now_us);
	EXPECT_EQ(rt_free_slots(s, now_us), 8);
}

} // namespace
