#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "common/base64.h"
#include "curranttackd/replica.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/pack.h"
}

namespace
{

/* A key space whose calls are answered by the test. */
struct Store {
	ks_done_fn range_done = nullptr;
	void *range_arg = nullptr;
	ks_done_fn watch_done = nullptr;
	void *watch_arg = nullptr;
};

void
on_range(void *ks, const char *, const char *, ks_done_fn done, void *arg)
{
	Store *s = (Store *)ks;

	s->range_done = done;
	s->range_arg = arg;
}

/* Only the watch over all keys is answered. */
void
on_watch(void *ks, const char *prefix, uint64_t, uint32_t, ks_done_fn done,
    void *arg)
{
	Store *s = (Store *)ks;

	if (prefix[0] != '\0')
		return;
	s->watch_done = done;
	s->watch_arg = arg;
}

enum fl_key_kind
other_kind(const char *, const char **)
{
	return FL_KEY_OTHER;
}

class Replica : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		keys.range = on_range;
		keys.watch = on_watch;
		entries.orders_prefix = "orders/";
		entries.kind = other_kind;
		fleet.keys = &keys;
		fleet.entries = &entries;
		fleet.handle = &store;
		hooks.job = [](struct rp_job *, void *) {};
		hooks.cancel = [](struct rp_job *, void *) {};
		hooks.worker = [](struct rp_worker *, void *) {};
		hooks.owner = [](struct rp_owner *, void *) {};
		hooks.member = [](struct rp_member *, void *) {};
		hooks.store_answered = [](void *) {};
		l = loop_create(nullptr);
		r = rp_start(l, l, &fleet, &hooks, nullptr);
	}

	void
	TearDown() override
	{
		talloc_free(l);
	}

	/* An owner's key, as a claim at that revision writes it. */
	struct ks_item
	owner_item(uint64_t revision)
	{
		Currant__PoolOwner row = CURRANT__POOL_OWNER__INIT;
		struct ks_item item = {};

		row.vm = (char *)"vm-1";
		row.incarnation = 7;
		item.key = RP_OWNER_PREFIX "pool";
		item.value = pk_pack(l, &row.base, &item.value_bytes);
		item.revision = revision;
		item.created = revision;
		return item;
	}

	void
	page(uint64_t as_of, std::vector<struct ks_item> items, bool more)
	{
		struct ks_response a = {};

		a.result = KS_OK;
		a.revision = as_of;
		a.item = items.data();
		a.item_count = items.size();
		a.more = more;
		store.range_done(&a, store.range_arg);
	}

	void
	watch(enum ks_result result, uint64_t as_of)
	{
		struct ks_response a = {};

		a.result = result;
		a.revision = as_of;
		store.watch_done(&a, store.watch_arg);
	}

	Store store;
	struct ks_ops keys = {};
	struct fl_entry_ops entries = {};
	struct fl_fleet fleet = {};
	struct rp_hooks hooks = {};
	struct loop *l = nullptr;
	struct replica *r = nullptr;
};

/*
 * After the store has dropped its history, a daemon loads all keys again. The
 * page with its claim came before the pages with the progress of jobs, and it
 * began as owner with progress that was seconds old: finished work ran again.
 */
TEST_F(Replica, ClaimReadByALoadDoesNotCountUntilAllPagesAreRead)
{
	page(10, {}, false);
	EXPECT_TRUE(rp_has_applied(r, 10));
	watch(KS_COMPACTED, 0);
	EXPECT_FALSE(rp_has_applied(r, 10));
	page(60, {owner_item(50)}, true);
	EXPECT_TRUE(rp_get_owner(r, "pool")->present);
	EXPECT_FALSE(rp_has_applied(r, 50));
	page(61, {}, false);
	EXPECT_TRUE(rp_has_applied(r, 50));
}

/* Pages read before the claim may lack commits that were made before it. */
TEST_F(Replica, ClaimMadeDuringALoadCountsOnceTheWatchHasPassedIt)
{
	page(10, {}, false);
	watch(KS_COMPACTED, 0);
	page(40, {owner_item(5)}, true);
	page(55, {owner_item(50)}, false);
	EXPECT_FALSE(rp_has_applied(r, 50));
	watch(KS_OK, 45);
	EXPECT_FALSE(rp_has_applied(r, 50));
	rp_watch_now(r);
	watch(KS_OK, 50);
	EXPECT_TRUE(rp_has_applied(r, 50));
}

} // namespace
