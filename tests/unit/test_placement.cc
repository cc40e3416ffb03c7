#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "state/placement.h"
}

namespace
{

constexpr int64_t kGb = 1000000000;

struct pl_table *
make_table(uint32_t plain, uint32_t accel)
{
	struct pl_table *t = pl_create(nullptr, plain + accel);

	for (uint32_t w = 0; w < plain + accel; w++) {
		struct st_res cap = {32000, 128 * kGb, 0};

		if (w >= plain)
			cap = {64000, 256 * kGb, 8};
		pl_set_worker(t, w, &cap, w / 5);
	}
	return t;
}

class Pickers : public testing::TestWithParam<pl_pick_fn>
{
};

/* Every strategy must keep workers within their capacity. */
TEST_P(Pickers, NeverOvercommits)
{
	struct pl_table *t = make_table(10, 4);
	struct rng rng = {GetParam() == pl_pick_score ? 1U : 2U};
	const struct po_policy *policy = po_get(PO_ORDINARY, PO_PACKING);
	std::vector<std::pair<uint32_t, struct st_res>> held;

	for (int i = 0; i < 20000; i++) {
		struct pl_request req = {};
		uint32_t w;

		if (!held.empty() && rng_below(&rng, 3) == 0) {
			size_t k = rng_below(&rng, held.size());

			pl_release(t, held[k].first, &held[k].second);
			held.erase(held.begin() + (long)k);
			continue;
		}
		req.need = {(int64_t)rng_below(&rng, 9000),
		    (int64_t)rng_below(&rng, 30) * kGb,
		    (int32_t)rng_below(&rng, 3)};
		req.ends_us = INT64_MAX;
		w = GetParam()(t, &req, policy, &rng);
		if (w == PL_NONE)
			continue;
		ASSERT_TRUE(pl_reserve(t, w, &req.need));
		held.emplace_back(w, req.need);
		ASSERT_GE(t->worker[w].free.cpu_mcpu, 0);
		ASSERT_GE(t->worker[w].free.mem_bytes, 0);
		ASSERT_GE(t->worker[w].free.accel, 0);
	}
	for (auto &h : held)
		pl_release(t, h.first, &h.second);
	for (uint32_t w = 0; w < t->count; w++) {
		EXPECT_EQ(
		    t->worker[w].free.cpu_mcpu, t->worker[w].capacity.cpu_mcpu);
	}
	talloc_free(t);
}

INSTANTIATE_TEST_SUITE_P(Each, Pickers,
    testing::Values(pl_pick_score, pl_pick_first, pl_pick_random));

TEST(Placement, KeepsAcceleratorsForTasksThatNeedThem)
{
	struct pl_table *t = make_table(5, 5);
	const struct po_policy *policy = po_get(PO_ORDINARY, PO_PACKING);
	struct rng rng = {1};

	/* 40 tasks of 4 cores fill the 5 workers without accelerators. */
	for (int i = 0; i < 40; i++) {
		struct pl_request req = {{4000, kGb, 0}, INT64_MAX, nullptr};
		uint32_t w = pl_pick_score(t, &req, policy, &rng);

		ASSERT_LT(w, 5U) << "task " << i;
		pl_reserve(t, w, &req.need);
	}
	talloc_free(t);
}

TEST(Placement, SpreadsAServiceOverRacks)
{
	struct pl_table *t = make_table(20, 0);
	const struct po_policy *policy = po_get(PO_ORDINARY, PO_WAITING);
	std::vector<uint16_t> use(t->rack_count, 0);
	struct rng rng = {1};

	for (int i = 0; i < 8; i++) {
		struct pl_request req = {{1000, kGb, 0}, INT64_MAX, use.data()};
		uint32_t w = pl_pick_score(t, &req, policy, &rng);

		pl_reserve(t, w, &req.need);
		use[t->worker[w].rack]++;
	}
	for (uint16_t n : use)
		EXPECT_EQ(n, 2);
	talloc_free(t);
}

TEST(Placement, GangTakesAllOrNothing)
{
	struct pl_table *t = make_table(0, 4);
	const struct po_policy *policy = po_get(PO_ORDINARY, PO_PACKING);
	struct pl_request req = {{1000, kGb, 4}, INT64_MAX, nullptr};
	struct rng rng = {1};
	uint32_t rows[16];

	EXPECT_FALSE(pl_reserve_gang(t, &req, 9, policy, &rng, rows));
	for (uint32_t w = 0; w < 4; w++)
		EXPECT_EQ(t->worker[w].free.accel, 8);
	EXPECT_TRUE(pl_reserve_gang(t, &req, 8, policy, &rng, rows));
	for (uint32_t w = 0; w < 4; w++)
		EXPECT_EQ(t->worker[w].free.accel, 0);
	talloc_free(t);
}

TEST(Placement, ReservedWorkerTakesOnlyTasksThatEndInTime)
{
	struct pl_table *t = make_table(1, 0);
	const struct po_policy *policy = po_get(PO_ORDINARY, PO_PACKING);
	struct rng rng = {1};

	t->worker[0].gang_from_us = 1000;
	for (pl_pick_fn pick : {pl_pick_score, pl_pick_first}) {
		struct pl_request late = {{1000, kGb, 0}, 1001, nullptr};
		struct pl_request soon = {{1000, kGb, 0}, 1000, nullptr};

		EXPECT_EQ(pick(t, &late, policy, &rng), PL_NONE);
		EXPECT_EQ(pick(t, &soon, policy, &rng), 0U);
	}
	talloc_free(t);
}

} // namespace
