#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "coordination/relays.h"
#include "protocol/relay_codec.h"
}

namespace
{

constexpr int kWorkers = 400;

class Relays : public testing::Test
{
      protected:
	~Relays() override
	{
		talloc_free(ctx);
	}

	void
	add(const char *vm, const char *domain, uint32_t cpu_mcpu,
	    bool owns_pool = false, bool reachable = true)
	{
		candidates.push_back(
		    {vm, domain, cpu_mcpu, owns_pool, reachable});
	}

	/* Counts the workers of a domain that each VM relays for. */
	std::map<std::string, int>
	shares(const char *domain)
	{
		struct re_table *t = re_create(
		    ctx, candidates.data(), (uint32_t)candidates.size());
		std::map<std::string, int> n;

		for (int i = 0; i < kWorkers; i++) {
			std::string id = "w" + std::to_string(i);
			const char *vm = re_pick(t, domain, id.c_str());

			n[vm != nullptr ? vm : "none"]++;
		}
		return n;
	}

	TALLOC_CTX *ctx = talloc_new(nullptr);
	std::vector<struct re_candidate> candidates;
};

} // namespace

TEST_F(Relays, LargestVmsOfADomainShareItsWorkers)
{
	add("a1", "a", 500);
	add("a2", "a", 500);
	add("a3", "a", 120);
	add("b1", "b", 500);
	auto n = shares("a");

	EXPECT_EQ(n.size(), 2u);
	EXPECT_GT(n["a1"], kWorkers / 4);
	EXPECT_GT(n["a2"], kWorkers / 4);
}

TEST_F(Relays, PoolOwnersRelayOnlyWhenNoOtherDaemonIsReachable)
{
	add("a1", "a", 500, true);
	add("a2", "a", 120);
	EXPECT_EQ(shares("a")["a2"], kWorkers);
	candidates[1].reachable = false;
	EXPECT_EQ(shares("a")["a1"], kWorkers);
}

TEST_F(Relays, DomainWithoutAReachableDaemonHasNoRelay)
{
	add("a1", "a", 500, false, false);
	add("b1", "b", 500);
	EXPECT_EQ(shares("a")["none"], kWorkers);
}

TEST_F(Relays, RemovedRelayMovesOnlyItsWorkers)
{
	add("a1", "a", 500);
	add("a2", "a", 500);
	add("a3", "a", 500);
	struct re_table *before = re_create(ctx, candidates.data(), 3);
	struct re_table *after = re_create(ctx, candidates.data(), 2);

	for (int i = 0; i < kWorkers; i++) {
		std::string id = "w" + std::to_string(i);
		std::string vm = re_pick(before, "a", id.c_str());

		if (vm == "a3")
			continue;
		EXPECT_EQ(re_pick(after, "a", id.c_str()), vm);
	}
}

namespace
{

struct wp_order
start_order()
{
	struct wp_order o = {};

	o.kind = WP_ORDER_START;
	o.worker = "w1";
	o.address = "10.0.0.1:80";
	snprintf(o.ref.job, sizeof(o.ref.job), "0123456789abcdef");
	o.ref.step = 2;
	o.ref.index = 7;
	o.run = 1003;
	o.payload = "spec";
	o.ticket = (char *)"ticket";
	o.deadline_clock_ms = 4711;
	return o;
}

} // namespace

TEST(RelayCodec, OrderRoundTrip)
{
	struct wp_order o = start_order();
	Currant__RelayedOrder m;
	struct wp_order got;

	rc_pack_order(&m, 9, &o, 77);
	ASSERT_TRUE(rc_unpack_order(&m, &got));
	EXPECT_EQ(m.id, 9u);
	EXPECT_EQ(m.fence, 77u);
	EXPECT_TRUE(jb_ref_equal(&got.ref, &o.ref));
	EXPECT_EQ(got.run, o.run);
	EXPECT_EQ(got.deadline_clock_ms, o.deadline_clock_ms);
	EXPECT_STREQ(got.payload, "spec");
	EXPECT_STREQ(got.ticket, "ticket");
	EXPECT_EQ(got.checkpoint, nullptr);
}

TEST(RelayCodec, LateRenewalLengthensNoLeaseOfARestartedWorker)
{
	struct wp_renewal renewal = {};

	renewal.acked_end = 7;
	renewal.deadline_clock_ms = 4711;
	renewal.wait_ms = 800;
	rc_limit_late_renewal(&renewal);
	EXPECT_EQ(renewal.acked_end, 0U);
	EXPECT_EQ(renewal.deadline_clock_ms, 0);
	EXPECT_EQ(renewal.wait_ms, 800U);
}

TEST(RelayCodec, InvalidOrdersAreRejected)
{
	struct wp_order o = start_order();
	Currant__RelayedOrder m;
	struct wp_order got;

	rc_pack_order(&m, 1, &o, 1);
	m.kind = 99;
	EXPECT_FALSE(rc_unpack_order(&m, &got));
	rc_pack_order(&m, 1, &o, 1);
	m.job = (char *)"short";
	EXPECT_FALSE(rc_unpack_order(&m, &got));
	rc_pack_order(&m, 1, &o, 1);
	m.worker = (char *)"";
	EXPECT_FALSE(rc_unpack_order(&m, &got));
	rc_pack_order(&m, 1, &o, 1);
	m.payload = nullptr;
	EXPECT_FALSE(rc_unpack_order(&m, &got));
	rc_pack_order(&m, 1, &o, 1);
	m.address = (char *)"";
	EXPECT_FALSE(rc_unpack_order(&m, &got));
}

/* A relay rejected orders for workers with names of 64 bytes or more. */
TEST(RelayCodec, WorkerNamesOfAnyLengthAreCarried)
{
	struct wp_order o = start_order();
	struct wp_renewal renewal = {};
	struct wp_worker w = {};
	struct wp_worker got_worker;
	struct wp_order got;
	Currant__RelayedOrder m;
	Currant__RelayedHold hold;

	for (size_t length : {1, 63, 64, 127, 128, 200, 4000, 70000}) {
		const std::string name(length, 'x');

		o.worker = name.c_str();
		rc_pack_order(&m, 1, &o, 1);
		ASSERT_TRUE(rc_unpack_order(&m, &got)) << length;
		EXPECT_EQ(got.worker, name);
		w.id = name.c_str();
		w.address = "10.0.0.1:80";
		rc_pack_renewal(&hold, 1, &w, &renewal, 1);
		ASSERT_TRUE(rc_unpack_renewal(&hold, &got_worker, &renewal));
		EXPECT_EQ(got_worker.id, name);
	}
}

TEST(RelayCodec, RenewalReplyRoundTrip)
{
	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct wp_running_task running = {};
	struct wp_run_end end = {};
	struct wp_renewal_reply reply = {};
	Currant__RelayedHoldResult m = CURRANT__RELAYED_HOLD_RESULT__INIT;
	struct wp_renewal_reply got;

	snprintf(running.ref.job, sizeof(running.ref.job), "0123456789abcdef");
	running.run = 3;
	running.checkpoint = "c";
	running.percent = 40;
	end.ref = running.ref;
	end.number = 12;
	end.run = 2;
	end.outcome = WP_END_FAILED;
	end.checkpoint = "";
	reply = {1700000000000, 5000, &running, 1, &end, 1};
	rc_pack_renewal_reply(ctx, &m, &reply);
	ASSERT_TRUE(rc_unpack_renewal_reply(ctx, &m, &got));
	EXPECT_EQ(got.incarnation_ms, reply.incarnation_ms);
	EXPECT_EQ(got.clock_ms, reply.clock_ms);
	ASSERT_EQ(got.running_count, 1u);
	EXPECT_EQ(got.running[0].percent, 40u);
	EXPECT_STREQ(got.running[0].checkpoint, "c");
	ASSERT_EQ(got.end_count, 1u);
	EXPECT_EQ(got.end[0].outcome, WP_END_FAILED);
	EXPECT_EQ(got.end[0].number, 12u);
	/* Leaving out an invalid row would report its task as gone. */
	m.running[0]->job = (char *)"?";
	EXPECT_FALSE(rc_unpack_renewal_reply(ctx, &m, &got));
	rc_pack_renewal_reply(ctx, &m, &reply);
	m.has_clock_ms = false;
	EXPECT_FALSE(rc_unpack_renewal_reply(ctx, &m, &got));
	talloc_free(ctx);
}

TEST(RelayCodec, UnknownResultMeansNoAnswer)
{
	EXPECT_EQ(rc_unpack_order_result(WP_REFUSED_NO_RESOURCES),
	    WP_REFUSED_NO_RESOURCES);
	EXPECT_EQ(rc_unpack_order_result(4242), WP_NO_ANSWER);
	EXPECT_EQ(rc_unpack_renewal_result(4242), WP_NO_ANSWER);
	/* Only a renewal has a result that another one follows. */
	EXPECT_EQ(rc_unpack_renewal_result(WP_OVERDUE), WP_OVERDUE);
	EXPECT_EQ(rc_unpack_order_result(WP_OVERDUE), WP_NO_ANSWER);
}

TEST(RelayDelay, IsCountedFromTheFastestRecentFrame)
{
	constexpr int64_t ms = CLK_US_PER_MS;
	struct re_delay d = {};

	/* The clocks differ by an hour. */
	auto delay = [&](int64_t sent, int64_t now) {
		return re_delay_us(&d, sent, now + 3600 * CLK_US_PER_S);
	};
	EXPECT_EQ(delay(1000 * ms, 1007 * ms), 0);
	EXPECT_EQ(delay(1100 * ms, 1102 * ms), 0);
	EXPECT_EQ(delay(1200 * ms, 1203 * ms), 1 * ms);
	/* The receiver was paused for half a minute. */
	EXPECT_EQ(delay(1300 * ms, 31302 * ms), 30000 * ms);
	EXPECT_EQ(delay(2300 * ms, 31302 * ms), 29000 * ms);
	EXPECT_EQ(delay(31300 * ms, 31302 * ms), 0);
}

TEST(RelayDelay, FollowsClocksOfDifferentRates)
{
	struct re_delay d = {};

	for (int64_t s = 0; s < 300; s++) {
		int64_t sent_us = s * CLK_US_PER_S * 98 / 100;

		EXPECT_LT(
		    re_delay_us(&d, sent_us, s * CLK_US_PER_S), CLK_US_PER_S)
		    << "second " << s;
	}
}

constexpr int64_t kTick = 25 * CLK_US_PER_MS;
constexpr int64_t kPause = 200 * CLK_US_PER_MS;

TEST(RelayPauses, ResponsesAreReadBeforeCallsAreGivenUpAfterAPause)
{
	struct re_pause p = {};
	int64_t now = CLK_US_PER_S;

	EXPECT_FALSE(re_may_be_unread(&p, now));
	EXPECT_FALSE(re_may_be_unread(&p, now += kTick));
	EXPECT_TRUE(re_may_be_unread(&p, now += kPause));
	EXPECT_TRUE(re_may_be_unread(&p, now += kTick));
	EXPECT_TRUE(re_may_be_unread(&p, now += kTick));
	EXPECT_FALSE(re_may_be_unread(&p, now += kTick));
}

/* Each renewal and start in flight would stay so for as long as the load lasts. */
TEST(RelayPauses, CallsAreGivenUpThoughAllTicksAreLate)
{
	struct re_pause p = {};
	int64_t now = CLK_US_PER_S;
	int64_t given_up = now;

	for (int i = 0; i < 40; i++) {
		now += i % 3 == 0 ? kPause : kTick;
		if (!re_may_be_unread(&p, now))
			given_up = now;
		EXPECT_LT(now - given_up, CLK_US_PER_S);
	}
	for (int i = 0; i < 40; i++) {
		now += kPause;
		if (!re_may_be_unread(&p, now))
			given_up = now;
		EXPECT_LT(now - given_up, CLK_US_PER_S);
	}
}
