#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "common/base64.h"
#include "common/clock.h"
#include "common/counters.h"
#include "curranttackd/replica.h"
#include "protocol/curranttack.pb-c.h"
#include "protocol/job_codec.h"
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
	ks_done_fn orders_done = nullptr;
	void *orders_arg = nullptr;
	ks_done_fn cancels_done = nullptr;
	void *cancels_arg = nullptr;
	uint64_t cancels_after = 0;
	std::string cancels_cursor;
	std::string cancels_call;
	std::string range_prefix;
	std::string range_cursor;
	std::string watch_prefix;
	uint64_t watch_after = 0;
	bool orders_loaded = false;
	std::string orders_cursor;
	uint64_t orders_after = 0;
	uint32_t orders_wait_ms = 0;
};

void
on_range(void *ks, const char *prefix, const char *cursor, ks_done_fn done,
    void *arg)
{
	Store *s = (Store *)ks;

	if (strcmp(prefix, RP_CANCEL_PREFIX) == 0) {
		s->cancels_call = "range";
		s->cancels_cursor = cursor != nullptr ? cursor : "";
		s->cancels_done = done;
		s->cancels_arg = arg;
		return;
	}
	if (strcmp(prefix, "orders/") == 0) {
		s->orders_loaded = true;
		s->orders_cursor = cursor != nullptr ? cursor : "";
		s->orders_done = done;
		s->orders_arg = arg;
		return;
	}
	s->range_prefix = prefix;
	s->range_cursor = cursor != nullptr ? cursor : "";
	s->range_done = done;
	s->range_arg = arg;
}

void
on_watch(void *ks, const char *prefix, uint64_t after, uint32_t wait_ms,
    ks_done_fn done, void *arg)
{
	Store *s = (Store *)ks;

	if (strcmp(prefix, RP_CANCEL_PREFIX) == 0) {
		s->cancels_call = "watch";
		s->cancels_after = after;
		s->cancels_done = done;
		s->cancels_arg = arg;
		return;
	}
	if (strcmp(prefix, "orders/") == 0) {
		s->orders_loaded = false;
		s->orders_wait_ms = wait_ms;
		s->orders_after = after;
		s->orders_done = done;
		s->orders_arg = arg;
		return;
	}
	s->watch_prefix = prefix;
	s->watch_after = after;
	s->watch_done = done;
	s->watch_arg = arg;
}

enum fl_key_kind
kind_of(const char *key, const char **id)
{
	*id = key + 2;
	return strncmp(key, "w/", 2) == 0 ? FL_KEY_WORKER : FL_KEY_OTHER;
}

const char kOdd[] = "odd";

bool
decode_worker(TALLOC_CTX *ctx, const char *id, const uint8_t *value,
    size_t bytes, struct wp_worker_info *info, const char **pool, char *error,
    size_t error_bytes)
{
	*info = {};
	snprintf(error, error_bytes, "%s", kOdd);
	if (std::string((const char *)value, bytes) == kOdd)
		return false;
	info->id = talloc_strdup(ctx, id);
	*pool = talloc_strndup(ctx, (const char *)value, bytes);
	return true;
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
		entries.workers_prefix = "w/";
		entries.kind = kind_of;
		entries.worker = decode_worker;
		fleet.keys = &keys;
		fleet.entries = &entries;
		fleet.handle = &store;
		hooks.job = [](struct rp_job *, void *) {};
		hooks.cancel = [](struct rp_job *, void *) {};
		hooks.worker = [](struct rp_worker *w, void *arg) {
			((Replica *)arg)->changed.push_back(w->id);
		};
		hooks.owner = [](struct rp_owner *, void *) {};
		hooks.member = [](struct rp_member *, void *) {};
		hooks.store_answered = [](void *) {};
		l = loop_create(nullptr);
		r = rp_start(l, l, &fleet, &hooks, this);
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

	struct ks_item
	member_item(uint64_t revision)
	{
		Currant__Member row = CURRANT__MEMBER__INIT;
		struct ks_item item = {};

		row.vm = (char *)"vm-1";
		row.domain = (char *)"a";
		row.address = (char *)"127.0.0.1:1";
		item.key = RP_MEMBER_PREFIX "vm-1";
		item.value = pk_pack(l, &row.base, &item.value_bytes);
		item.revision = revision;
		return item;
	}

	/* A term whose owner has so many witnesses. */
	struct ks_item
	term_item(uint64_t revision, size_t witness_count)
	{
		Currant__PoolTerm row = CURRANT__POOL_TERM__INIT;
		Currant__PoolWitness witness = CURRANT__POOL_WITNESS__INIT;
		std::vector<Currant__PoolWitness *> rows(
		    witness_count, &witness);
		struct ks_item item = {};

		witness.vm = (char *)"vm-2";
		witness.incarnation = 9;
		row.term = 2;
		row.witnesses = rows.data();
		row.n_witnesses = witness_count;
		item.key = RP_TERM_PREFIX "pool";
		item.value = pk_pack(l, &row.base, &item.value_bytes);
		item.revision = revision;
		return item;
	}

	bool
	has_member()
	{
		struct rp_member *m;

		HASH_FIND_STR(r->members, "vm-1", m);
		return m != nullptr && m->present;
	}

	struct ks_item
	job_item(const char *id, uint64_t revision)
	{
		struct jb_spec *spec = talloc_zero(l, struct jb_spec);
		struct ks_item item = {};

		snprintf(spec->id, sizeof(spec->id), "%s", id);
		spec->queue = talloc_strdup(spec, "queue");
		spec->pool = talloc_strdup(spec, "pool");
		spec->payload = talloc_strdup(spec, "payload");
		spec->step = talloc_zero_array(spec, struct jb_step, 1);
		spec->step_count = 1;
		spec->step[0].count = 1;
		item.key = talloc_asprintf(l, "%s%s", RP_JOB_PREFIX, id);
		item.value = jc_pack_job(l, spec, &item.value_bytes);
		item.revision = revision;
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

	/* The next page is refused, or not answered, and read again later. */
	void
	page_fails(enum ks_result result)
	{
		struct ks_response a = {};

		a.result = result;
		store.range_done(&a, store.range_arg);
		loop_after(
		    l, 400000, [](void *arg) { loop_stop((struct loop *)arg); },
		    l);
		loop_run(l);
	}

	void
	watch(enum ks_result result, uint64_t as_of)
	{
		struct ks_response a = {};

		a.result = result;
		a.revision = as_of;
		store.watch_done(&a, store.watch_arg);
	}

	static struct ks_item
	worker_item(const char *key, uint64_t revision)
	{
		struct ks_item item = {};

		item.key = key;
		item.value = (const uint8_t *)"pool";
		item.value_bytes = 4;
		item.revision = revision;
		return item;
	}

	static struct ks_item
	odd_item(const char *key, uint64_t revision)
	{
		struct ks_item item = worker_item(key, revision);

		item.value = (const uint8_t *)kOdd;
		item.value_bytes = strlen(kOdd);
		return item;
	}

	bool
	is_listed(const char *id)
	{
		struct rp_worker *w;

		HASH_FIND_STR(r->workers, id, w);
		return w != nullptr && w->unlisted_us == 0;
	}

	/* The open watch has no answer, after so long; the next one is opened. */
	void
	watch_unanswered(int64_t open_us)
	{
		usleep((useconds_t)open_us);
		watch(KS_UNKNOWN, 0);
		loop_after(
		    l, 400000, [](void *arg) { loop_stop((struct loop *)arg); },
		    l);
		loop_run(l);
	}

	/* Whether a call for the cancellations alone is made after that time. */
	std::string
	cancels_call_after(int64_t us)
	{
		store.cancels_call = "";
		rp_tick(r, clk_now_us() + us);
		return store.cancels_call;
	}

	void
	cancels(enum ks_result result, uint64_t as_of,
	    std::vector<struct ks_item> items, bool more)
	{
		struct ks_response a = {};

		a.result = result;
		a.revision = as_of;
		a.item = items.data();
		a.item_count = items.size();
		a.more = more;
		store.cancels_done(&a, store.cancels_arg);
	}

	static struct ks_item
	cancel_item(const char *key, uint64_t revision)
	{
		struct ks_item item = {};

		item.key = key;
		item.revision = revision;
		return item;
	}

	/* Answers the open watch, and ends the pause after it. */
	void
	next_watch(uint64_t as_of)
	{
		watch(KS_OK, as_of);
		rp_watch_now(r);
	}

	std::vector<std::string> changed;
	Store store;
	struct ks_ops keys = {};
	struct fl_entry_ops entries = {};
	struct fl_fleet fleet = {};
	struct rp_hooks hooks = {};
	struct loop *l = nullptr;
	struct replica *r = nullptr;
};

/* A daemon that has just started is told of ends before it has read the jobs. */
TEST_F(Replica, EndReportedBeforeTheJobIsReadIsKept)
{
	const char *id = "00000000000000a1";

	EXPECT_TRUE(rp_on_end_reported(r, id, JB_COMPLETED));
	EXPECT_FALSE(rp_on_end_reported(r, id, JB_COMPLETED));
	EXPECT_EQ(rp_find_job(r, id), nullptr);
	page(9, {job_item(id, 5)}, false);
	ASSERT_NE(rp_find_job(r, id), nullptr);
	EXPECT_EQ(rp_find_job(r, id)->state, JB_COMPLETED);
	EXPECT_TRUE(rp_find_job(r, id)->end_reported);
}

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

/*
 * The store dropped its history and went down while it was read again; the
 * owner's lease lapsed meanwhile. Every daemon kept the key that the first
 * attempt had found, no daemon claimed the pool, and accepted jobs were lost.
 */
TEST_F(Replica, RowsThatOnlyAnAbandonedLoadFoundAreRemoved)
{
	const char *removed = "00000000000000a1";

	page(10,
	    {job_item(removed, 4), owner_item(5), member_item(6),
		worker_item("w/a", 7)},
	    false);
	watch(KS_COMPACTED, 0);
	page(60,
	    {job_item(removed, 4), owner_item(5), member_item(6),
		worker_item("w/a", 7)},
	    true);
	page_fails(KS_REFUSED);
	EXPECT_TRUE(rp_get_owner(r, "pool")->present);
	page(70, {}, false);
	/* The removals since are shown from there, or it is loaded anew. */
	EXPECT_EQ(store.watch_after, 60u);
	EXPECT_FALSE(rp_has_applied(r, 61));
	watch(KS_COMPACTED, 0);
	page(80, {}, false);
	EXPECT_FALSE(rp_get_owner(r, "pool")->present);
	EXPECT_FALSE(has_member());
	EXPECT_FALSE(is_listed("a"));
	EXPECT_EQ(rp_find_job(r, removed), nullptr);
}

/* Each page that timed out cost all those before it, for ever. */
TEST_F(Replica, LoadGoesOnAfterAPageThatWasNotAnswered)
{
	const char *removed = "00000000000000a1";

	page(10, {}, false);
	watch(KS_COMPACTED, 0);
	page(60, {job_item(removed, 4), owner_item(5)}, true);
	page_fails(KS_UNKNOWN);
	EXPECT_EQ(store.range_cursor, RP_OWNER_PREFIX "pool");
	page(70, {member_item(65)}, false);
	EXPECT_EQ(store.watch_after, 60u);
	EXPECT_FALSE(rp_has_applied(r, 61));
	EXPECT_TRUE(has_member());
	EXPECT_NE(rp_find_job(r, removed), nullptr);
	EXPECT_TRUE(rp_get_owner(r, "pool")->present);
}

/* Under a limit on reads, no load came to its end. */
TEST_F(Replica, LoadGoesOnAfterAPageThatWasRefused)
{
	page(10, {}, false);
	watch(KS_COMPACTED, 0);
	page(60, {owner_item(5)}, true);
	page_fails(KS_REFUSED);
	EXPECT_EQ(store.range_cursor, RP_OWNER_PREFIX "pool");
	page_fails(KS_REFUSED);
	EXPECT_EQ(store.range_cursor, RP_OWNER_PREFIX "pool");
	page(70, {member_item(65)}, false);
	EXPECT_EQ(store.watch_after, 60u);
	EXPECT_TRUE(has_member());
	EXPECT_TRUE(rp_get_owner(r, "pool")->present);
}

/* As owner, the daemon would have started tasks that had ended. */
TEST_F(Replica, JobRemovedWithHistoryThatTheStoreDroppedIsForgotten)
{
	const char *removed = "00000000000000a1";
	const char *kept = "00000000000000a2";
	const char *accepted = "00000000000000a3";
	struct ks_item item = job_item(accepted, 70);

	page(10, {job_item(removed, 5), job_item(kept, 6)}, false);
	watch(KS_COMPACTED, 0);
	page(60, {job_item(kept, 6)}, true);
	/* Accepted by this daemon, after the page where it would be. */
	rp_apply_out_of_order(r, &item);
	EXPECT_NE(rp_find_job(r, removed), nullptr);
	page(75, {}, false);
	EXPECT_EQ(rp_find_job(r, removed), nullptr);
	EXPECT_NE(rp_find_job(r, kept), nullptr);
	EXPECT_NE(rp_find_job(r, accepted), nullptr);
}

/* A tombstone is gone with its lease, and the id may be used again. */
TEST_F(Replica, JobIsNotCancelledByATombstoneThatIsGone)
{
	const char *id = "00000000000000a1";
	struct ks_item tombstone = {};
	struct ks_item item = job_item(id, 30);

	tombstone.key = RP_CANCEL_PREFIX "00000000000000a1";
	tombstone.revision = 20;
	page(25, {tombstone}, false);
	EXPECT_EQ(rp_find_job(r, id), nullptr);
	/* Accepted here, before the watch shows that the tombstone is gone. */
	rp_apply_out_of_order(r, &item);
	ASSERT_NE(rp_find_job(r, id), nullptr);
	EXPECT_FALSE(rp_find_job(r, id)->cancelled);
	tombstone.deleted = true;
	tombstone.revision = 29;
	rp_apply_out_of_order(r, &tombstone);
	EXPECT_NE(rp_find_job(r, id), nullptr);
	tombstone.deleted = false;
	tombstone.revision = 31;
	rp_apply_out_of_order(r, &tombstone);
	EXPECT_TRUE(rp_find_job(r, id)->cancelled);
}

/* The job came from a peer before the watch had shown the tombstone. */
TEST_F(Replica, JobIsNotCancelledByATombstoneThatIsShownLate)
{
	const char *id = "00000000000000a1";
	struct ks_item tombstone = {};
	struct ks_item item = job_item(id, 30);

	tombstone.key = RP_CANCEL_PREFIX "00000000000000a1";
	tombstone.revision = 20;
	page(15, {}, false);
	rp_apply_out_of_order(r, &item);
	rp_apply_out_of_order(r, &tombstone);
	ASSERT_NE(rp_find_job(r, id), nullptr);
	EXPECT_FALSE(rp_find_job(r, id)->cancelled);
	tombstone.revision = 31;
	rp_apply_out_of_order(r, &tombstone);
	EXPECT_TRUE(rp_find_job(r, id)->cancelled);
}

/* A report that outruns the job must neither be lost nor reach a later one. */
TEST_F(Replica, CancellationReportedBeforeItsJobIsKept)
{
	const char *id = "00000000000000a1";
	struct ks_item item = job_item(id, 30);

	page(15, {}, false);
	rp_on_cancel_reported(r, id, 31);
	EXPECT_EQ(rp_find_job(r, id), nullptr);
	rp_apply_out_of_order(r, &item);
	ASSERT_NE(rp_find_job(r, id), nullptr);
	EXPECT_TRUE(rp_find_job(r, id)->cancelled);
	EXPECT_STREQ(rp_find_job(r, id)->cancelled_by, "peer");
}

TEST_F(Replica, CancellationReportedLateReachesNoLaterJob)
{
	const char *id = "00000000000000a1";
	struct ks_item item = job_item(id, 30);

	page(15, {}, false);
	rp_on_cancel_reported(r, id, 12);
	EXPECT_EQ(HASH_COUNT(r->jobs), 0u);
	rp_on_cancel_reported(r, id, 20);
	rp_apply_out_of_order(r, &item);
	ASSERT_NE(rp_find_job(r, id), nullptr);
	EXPECT_FALSE(rp_find_job(r, id)->cancelled);
	rp_on_cancel_reported(r, id, 20);
	EXPECT_FALSE(rp_find_job(r, id)->cancelled);
	rp_on_cancel_reported(r, id, 31);
	EXPECT_TRUE(rp_find_job(r, id)->cancelled);
}

/* The watch hung, and an owner renewed what had been cancelled. */
TEST_F(Replica, CancellationsAreReadApartWhileTheCopyStandsStill)
{
	const char *id = "00000000000000a1";

	page(10, {job_item(id, 5)}, false);
	EXPECT_EQ(cancels_call_after(5 * CLK_US_PER_S), "");
	rp_follow_cancels(r, true);
	EXPECT_EQ(cancels_call_after(900 * CLK_US_PER_MS), "");
	EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
	EXPECT_EQ(store.cancels_after, 10u);
	EXPECT_EQ(cancels_call_after(2 * CLK_US_PER_S), "");
	cancels(KS_OK, 20,
	    {cancel_item(RP_CANCEL_PREFIX "00000000000000a1", 12)}, false);
	EXPECT_TRUE(rp_find_job(r, id)->cancelled);
	EXPECT_STREQ(rp_find_job(r, id)->cancelled_by, "check");
	EXPECT_FALSE(rp_has_applied(r, 12));
	EXPECT_EQ(cancels_call_after(900 * CLK_US_PER_MS), "");
	EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
	EXPECT_EQ(store.cancels_after, 20u);
}

TEST_F(Replica, CancellationsAreReadWholeWhereTheirChangesCannotBeHad)
{
	const char *a1 = RP_CANCEL_PREFIX "00000000000000a1";
	const char *a2 = RP_CANCEL_PREFIX "00000000000000a2";

	for (enum ks_result result : {KS_COMPACTED, KS_UNKNOWN}) {
		uint64_t as_of = 20 + (uint64_t)result;

		if (!r->synced)
			page(10,
			    {job_item("00000000000000a1", 5),
				job_item("00000000000000a2", 6)},
			    false);
		rp_follow_cancels(r, true);
		EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
		cancels(result, 0, {}, false);
		EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "range");
		EXPECT_EQ(store.cancels_cursor, "");
		cancels(KS_OK, as_of, {cancel_item(a1, 12)}, true);
		EXPECT_EQ(store.cancels_cursor, a1);
		cancels(KS_OK, as_of + 1, {cancel_item(a2, 13)}, false);
		EXPECT_TRUE(rp_find_job(r, "00000000000000a1")->cancelled);
		EXPECT_TRUE(rp_find_job(r, "00000000000000a2")->cancelled);
		EXPECT_EQ(r->cancels_revision, as_of);
	}
	EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
}

/* Each page that failed cost all those before it; none of them may be left out. */
TEST_F(Replica, CancellationsAreReadOnAfterAPageFails)
{
	const char *a1 = RP_CANCEL_PREFIX "00000000000000a1";

	for (enum ks_result result : {KS_REFUSED, KS_UNKNOWN}) {
		uint64_t before = r->cancels_revision;
		uint64_t as_of = 20 + (uint64_t)result;

		if (!r->synced)
			page(10, {}, false);
		rp_follow_cancels(r, true);
		cancels_call_after(CLK_US_PER_S);
		cancels(KS_COMPACTED, 0, {}, false);
		cancels_call_after(CLK_US_PER_S);
		EXPECT_EQ(store.cancels_cursor, "");
		cancels(KS_OK, as_of, {cancel_item(a1, 12)}, true);
		cancels(result, 0, {}, false);
		EXPECT_EQ(cancels_call_after(400 * CLK_US_PER_MS), "");
		EXPECT_EQ(r->cancels_revision, before);
		EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "range");
		EXPECT_EQ(store.cancels_cursor, a1);
		cancels(KS_OK, as_of + 10, {}, false);
		EXPECT_EQ(r->cancels_revision, as_of);
		EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
		EXPECT_EQ(store.cancels_after, as_of);
		cancels(KS_OK, as_of, {}, false);
	}
}

/* It may take long. */
TEST_F(Replica, CancellationsAreReadApartDuringALoad)
{
	page(10, {job_item("00000000000000a1", 5)}, false);
	rp_follow_cancels(r, true);
	watch(KS_COMPACTED, 0);
	EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
	cancels(KS_OK, 20,
	    {cancel_item(RP_CANCEL_PREFIX "00000000000000a1", 12)}, false);
	EXPECT_TRUE(rp_find_job(r, "00000000000000a1")->cancelled);
}

/* No watch is open meanwhile. */
TEST_F(Replica, CancellationsAreReadApartWhileANewOwnerReadsEntries)
{
	page(10, {job_item("00000000000000a1", 5)}, false);
	rp_follow_workers(r, false);
	next_watch(20);
	watch(KS_OK, 30);
	rp_follow_workers(r, true);
	rp_follow_cancels(r, true);
	EXPECT_EQ(store.range_prefix, "w/");
	EXPECT_EQ(cancels_call_after(CLK_US_PER_S), "watch");
	EXPECT_EQ(store.cancels_after, 30u);
	cancels(KS_OK, 40,
	    {cancel_item(RP_CANCEL_PREFIX "00000000000000a1", 35)}, false);
	EXPECT_TRUE(rp_find_job(r, "00000000000000a1")->cancelled);
}

TEST_F(Replica, TombstonesAreForgotten)
{
	struct ks_item by_watch = {};
	struct ks_item by_load = {};
	struct ks_item kept = {};

	by_watch.key = RP_CANCEL_PREFIX "00000000000000a1";
	by_watch.revision = 5;
	by_load.key = RP_CANCEL_PREFIX "00000000000000a2";
	by_load.revision = 6;
	kept.key = RP_CANCEL_PREFIX "00000000000000a3";
	kept.revision = 7;
	page(10, {by_watch, by_load, kept}, false);
	EXPECT_EQ(HASH_COUNT(r->jobs), 3u);
	by_watch.deleted = true;
	by_watch.revision = 11;
	rp_apply_out_of_order(r, &by_watch);
	EXPECT_EQ(HASH_COUNT(r->jobs), 2u);
	watch(KS_COMPACTED, 0);
	page(60, {kept}, false);
	EXPECT_EQ(HASH_COUNT(r->jobs), 1u);
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

/*
 * Each of 147 daemons read every change of 1,100 workers' entries, though only
 * the pools' owners use them; days were not played to their end.
 */
TEST_F(Replica, EntriesOfWorkersAreNotReadByDaemonsThatOwnNothing)
{
	page(10, {worker_item("w/a", 5)}, false);
	EXPECT_EQ(store.watch_prefix, "");
	rp_follow_workers(r, false);
	next_watch(20);
	EXPECT_EQ(store.watch_prefix, RP_CELL_PREFIX);
	EXPECT_EQ(store.watch_after, 20u);
	watch(KS_COMPACTED, 0);
	EXPECT_EQ(store.range_prefix, RP_CELL_PREFIX);
	page(30, {}, false);
	EXPECT_EQ(store.watch_prefix, RP_CELL_PREFIX);
	EXPECT_TRUE(rp_has_applied(r, 30));
	EXPECT_TRUE(is_listed("a"));
}

/* A new owner that used what it knew would start tasks on workers that drain. */
TEST_F(Replica, NewOwnerReadsEntriesThatItDidNotFollow)
{
	page(10, {worker_item("w/a", 5), worker_item("w/b", 6)}, false);
	rp_follow_workers(r, false);
	next_watch(20);
	changed.clear();
	watch(KS_OK, 30);
	rp_follow_workers(r, true);
	EXPECT_EQ(store.range_prefix, "w/");
	EXPECT_FALSE(r->has_workers);
	EXPECT_TRUE(rp_has_applied(r, 30));
	page(40, {worker_item("w/a", 5), worker_item("w/c", 35)}, false);
	EXPECT_TRUE(r->has_workers);
	EXPECT_FALSE(is_listed("b"));
	EXPECT_TRUE(is_listed("c"));
	/* An entry that has not changed is reported, too. */
	for (const char *id : {"a", "b", "c"})
		EXPECT_NE(std::find(changed.begin(), changed.end(), id),
		    changed.end())
		    << id;
	EXPECT_EQ(store.watch_prefix, "");
	EXPECT_EQ(store.watch_after, 30u);
}

TEST_F(Replica, OwnerReadsEntriesAsSoonAsTheOpenWatchEnds)
{
	page(10, {}, false);
	rp_follow_workers(r, false);
	next_watch(20);
	rp_follow_workers(r, true);
	EXPECT_EQ(store.range_prefix, "");
	watch(KS_OK, 21);
	EXPECT_EQ(store.range_prefix, "w/");
}

/* Without a list that can be used, the next owner waits for longer. */
TEST_F(Replica, WitnessesOfATermAreThoseOfItsLastRow)
{
	const struct wt_list *list = &rp_get_owner(r, "pool")->witnesses;

	page(10, {term_item(5, 2)}, false);
	EXPECT_EQ(list->count, 2u);
	EXPECT_STREQ(list->witness[0].vm, "vm-2");
	EXPECT_EQ(list->witness[0].incarnation, 9u);
	struct ks_item none = term_item(11, 0);
	rp_apply_out_of_order(r, &none);
	EXPECT_EQ(list->count, 0u);
	struct ks_item many = term_item(12, WT_MAX_WITNESSES + 1);
	rp_apply_out_of_order(r, &many);
	EXPECT_EQ(list->count, 0u);
}

/* Its daemon is of a build that doesn't answer. */
TEST_F(Replica, MemberIsAWitnessOnlyIfItsEntrySaysSo)
{
	struct rp_member *m;

	page(10, {member_item(5)}, false);
	HASH_FIND_STR(r->members, "vm-1", m);
	ASSERT_NE(m, nullptr);
	EXPECT_FALSE(m->witness);
}

/* It was sent while the store was silent, and hung after that. */
TEST_F(Replica, WatchThatWasGivenUpIsIgnored)
{
	page(10, {}, false);
	ks_done_fn hung = store.watch_done;
	void *hung_arg = store.watch_arg;
	struct ks_response late = {};

	rp_watch_anew(r);
	EXPECT_NE(store.watch_arg, hung_arg);
	EXPECT_EQ(store.watch_after, 10u);
	watch(KS_OK, 30);
	EXPECT_TRUE(rp_has_applied(r, 30));
	rp_watch_now(r);
	EXPECT_EQ(store.watch_after, 30u);
	late.result = KS_COMPACTED;
	hung(&late, hung_arg);
	EXPECT_EQ(store.range_prefix, "");
	watch(KS_OK, 40);
	EXPECT_TRUE(rp_has_applied(r, 40));
}

/* Each filled the link with the same response until it had arrived. */
TEST_F(Replica, WatchesThatClaimsGiveUpDoNotAddUp)
{
	struct ks_response late = {};

	page(10, {}, false);
	ks_done_fn arriving = store.watch_done;
	void *arriving_arg = store.watch_arg;
	rp_watch_anew(r);
	void *second_arg = store.watch_arg;
	EXPECT_NE(second_arg, arriving_arg);
	rp_watch_anew(r);
	EXPECT_EQ(store.watch_arg, second_arg);
	late.result = KS_UNKNOWN;
	arriving(&late, arriving_arg);
	rp_watch_anew(r);
	EXPECT_NE(store.watch_arg, second_arg);
	watch(KS_OK, 30);
	EXPECT_TRUE(rp_has_applied(r, 30));
}

/* A copy that stands still has to be told from one that nothing changes. */
TEST_F(Replica, AgeOfTheCopyCountsFromWhenTheAnsweredCallWasSent)
{
	uint64_t before = ct_get(CT_WATCHES_UNANSWERED);
	int64_t first_us = r->load_sent_us;

	page(10, {}, false);
	EXPECT_EQ(r->current_us, first_us);
	int64_t sent_us = clk_now_us();
	rp_watch_anew(r);
	watch(KS_UNKNOWN, 0);
	EXPECT_EQ(ct_get(CT_WATCHES_UNANSWERED), before + 1);
	EXPECT_EQ(r->current_us, first_us);
	loop_after(
	    l, 400000, [](void *arg) { loop_stop((struct loop *)arg); }, l);
	loop_run(l);
	struct ks_item changed_item = member_item(12);
	struct ks_response a = {};
	a.result = KS_OK;
	a.revision = 12;
	a.item = &changed_item;
	a.item_count = 1;
	store.watch_done(&a, store.watch_arg);
	EXPECT_GT(r->current_us, sent_us);
	EXPECT_LT(r->current_us, clk_now_us());
	EXPECT_EQ(rp_copy_age_us(r, r->current_us + 7), 7);
}

TEST_F(Replica, WhatShowedACancellationFirstIsKnown)
{
	struct ks_item cancel = {};

	cancel.key = RP_CANCEL_PREFIX "00000000000000a1";
	cancel.revision = 6;
	page(10,
	    {cancel, job_item("00000000000000a1", 5),
		job_item("00000000000000a2", 4)},
	    false);
	EXPECT_STREQ(rp_find_job(r, "00000000000000a1")->cancelled_by, "load");
	cancel.key = RP_CANCEL_PREFIX "00000000000000a2";
	cancel.revision = 12;
	rp_apply_out_of_order(r, &cancel);
	EXPECT_STREQ(rp_find_job(r, "00000000000000a2")->cancelled_by, "call");
}

/* Workers' entries made each answer too long for a narrow link, for ever. */
TEST_F(Replica, OverdueWatchOfAnOwnerIsFollowedByOneOverTheCellsOwnKeys)
{
	page(10, {worker_item("w/a", 5)}, false);
	rp_follow_cancels(r, true);
	watch_unanswered(2050 * CLK_US_PER_MS);
	EXPECT_EQ(store.watch_prefix, RP_CELL_PREFIX);
	EXPECT_EQ(store.watch_after, 10u);
	EXPECT_FALSE(r->has_workers);
	watch(KS_OK, 50);
	EXPECT_EQ(store.range_prefix, "w/");
	page(60, {worker_item("w/b", 55)}, false);
	EXPECT_FALSE(is_listed("a"));
	EXPECT_TRUE(is_listed("b"));
	EXPECT_EQ(store.watch_prefix, "");
	EXPECT_EQ(store.watch_after, 50u);
}

/* A watch that waits may be cut at any time. */
/* Each answer arrived, but late, and the copy fell ever further behind. */
TEST_F(Replica, OwnerLagsNoFurtherBehindByAnswersThatArriveForLong)
{
	std::vector<struct ks_item> items(400, worker_item("w/a", 20));
	struct ks_response a = {};

	a.result = KS_OK;
	a.revision = 20;
	a.item = items.data();
	a.item_count = items.size();
	page(10, {worker_item("w/a", 5)}, false);
	rp_follow_cancels(r, true);
	store.watch_done(&a, store.watch_arg);
	EXPECT_EQ(store.watch_prefix, "");
	usleep(2100000);
	store.watch_done(&a, store.watch_arg);
	EXPECT_EQ(store.watch_prefix, RP_CELL_PREFIX);
	EXPECT_EQ(store.watch_after, 20u);
	store.range_prefix = "";
	watch(KS_OK, 30);
	EXPECT_EQ(store.range_prefix, "w/");
	page(40, {worker_item("w/a", 35)}, false);
	EXPECT_EQ(store.watch_prefix, "");
	EXPECT_EQ(store.watch_after, 30u);
	EXPECT_TRUE(r->has_workers);
}

TEST_F(Replica, WatchThatIsCutIsFollowedByOneOverAllKeys)
{
	page(10, {worker_item("w/a", 5)}, false);
	rp_follow_cancels(r, true);
	watch_unanswered(100 * CLK_US_PER_MS);
	EXPECT_EQ(store.watch_prefix, "");
	EXPECT_EQ(store.watch_after, 10u);
	EXPECT_TRUE(r->has_workers);
}

TEST_F(Replica, NoSecondWatchIsOpenedDuringALoad)
{
	rp_watch_anew(r);
	EXPECT_EQ(store.watch_done, nullptr);
	page(10, {}, false);
	EXPECT_EQ(store.watch_after, 10u);
}

TEST_F(Replica, EntriesReadBeforeHistoryWasLostDoNotCount)
{
	page(10, {worker_item("w/a", 5)}, false);
	rp_follow_workers(r, false);
	watch(KS_COMPACTED, 0);
	rp_follow_workers(r, true);
	page(40, {}, false);
	EXPECT_EQ(store.range_prefix, "w/");
	page(50, {}, false);
	EXPECT_FALSE(is_listed("a"));
	EXPECT_EQ(store.watch_after, 40u);
}

TEST_F(Replica, LoadOfEntriesThatFailsIsRepeated)
{
	struct ks_response refused = {};

	page(10, {worker_item("w/a", 5)}, false);
	rp_follow_workers(r, false);
	next_watch(20);
	watch(KS_OK, 30);
	rp_follow_workers(r, true);
	refused.result = KS_REFUSED;
	store.range_prefix = "";
	store.range_done(&refused, store.range_arg);
	EXPECT_FALSE(r->has_workers);
	loop_after(
	    l, 400000, [](void *arg) { loop_stop((struct loop *)arg); }, l);
	loop_run(l);
	EXPECT_EQ(store.range_prefix, "w/");
	page(40, {worker_item("w/a", 5)}, false);
	EXPECT_TRUE(r->has_workers);
}

/* With a watch over the cell's own keys, nothing else shows what was missed. */
TEST_F(Replica, OperatorsKeysAreLoadedAfterTheirHistoryWasLost)
{
	struct ks_response a = {};

	page(10, {}, false);
	EXPECT_FALSE(store.orders_loaded);
	EXPECT_LE(store.orders_wait_ms, 2000u);
	a.result = KS_COMPACTED;
	store.orders_done(&a, store.orders_arg);
	loop_after(
	    l, 400000, [](void *arg) { loop_stop((struct loop *)arg); }, l);
	loop_run(l);
	EXPECT_TRUE(store.orders_loaded);
	a.result = KS_OK;
	a.revision = 70;
	store.orders_done(&a, store.orders_arg);
	EXPECT_FALSE(store.orders_loaded);
	EXPECT_EQ(r->operator_revision, 70u);
}

/* A large configuration fills a page, and what followed was not read. */
TEST_F(Replica, OperatorsKeysOnLaterPagesAreRead)
{
	struct ks_response a = {};
	struct ks_response refused = {};
	struct ks_item item = worker_item("w/a", 60);
	struct ks_item last = worker_item("w/b", 65);

	auto answer = [&](const struct ks_response *with) {
		store.orders_done(with, store.orders_arg);
		loop_after(
		    l, 300000, [](void *arg) { loop_stop((struct loop *)arg); },
		    l);
		loop_run(l);
	};
	page(10, {}, false);
	a.result = KS_COMPACTED;
	answer(&a);
	EXPECT_EQ(store.orders_cursor, "");
	a.result = KS_OK;
	a.revision = 70;
	a.item = &item;
	a.item_count = 1;
	a.more = true;
	answer(&a);
	EXPECT_TRUE(store.orders_loaded);
	EXPECT_EQ(store.orders_cursor, "w/a");
	refused.result = KS_REFUSED;
	answer(&refused);
	EXPECT_EQ(store.orders_cursor, "w/a");
	a.revision = 80;
	a.item = &last;
	a.more = false;
	answer(&a);
	EXPECT_FALSE(store.orders_loaded);
	EXPECT_TRUE(is_listed("b"));
	EXPECT_EQ(store.orders_after, 70u);
}

/* Every daemon decoded each task of a job whenever one of them changed. */
TEST_F(Replica, StateOfAJobIsAppliedWithoutDecodingItsTasks)
{
	/* A state, started, and a task that is no message. */
	const uint8_t value[] = {0x08, JB_RUNNING, 0x10, 1, 0x1a, 1, 0xff};
	struct ks_item item = {};
	struct rp_job *job;

	item.key = RP_PROGRESS_PREFIX "00000000000000a1";
	item.value = value;
	item.value_bytes = sizeof(value);
	item.revision = 5;
	page(9, {item}, false);
	HASH_FIND_STR(r->jobs, "00000000000000a1", job);
	ASSERT_NE(job, nullptr);
	EXPECT_EQ(job->state, JB_RUNNING);
	EXPECT_TRUE(job->started);
	EXPECT_EQ(job->progress_bytes, sizeof(value));
}

TEST_F(Replica, RowThatIsLeftOutIsReportedOncePerRevision)
{
	const std::string long_key = RP_MEMBER_PREFIX + std::string(100, 'x');
	uint64_t before = ct_get(CT_LEFT_OUT);

	page(10,
	    {odd_item("w/a", 5), worker_item("w/b", 6),
		worker_item(long_key.c_str(), 7)},
	    false);
	EXPECT_EQ(ct_get(CT_LEFT_OUT), before + 2);
	EXPECT_FALSE(is_listed("a"));
	EXPECT_TRUE(is_listed("b"));
	watch(KS_COMPACTED, 0);
	page(20,
	    {odd_item("w/a", 5), odd_item("w/b", 15),
		worker_item(long_key.c_str(), 7)},
	    false);
	EXPECT_EQ(ct_get(CT_LEFT_OUT), before + 3);
	EXPECT_EQ(changed.back(), "b");
	EXPECT_FALSE(is_listed("b"));
	watch(KS_COMPACTED, 0);
	page(30, {worker_item("w/a", 25), odd_item("w/b", 26)}, false);
	EXPECT_EQ(ct_get(CT_LEFT_OUT), before + 4);
	EXPECT_TRUE(is_listed("a"));
}

/* A hash stands for a longer name of a VM, so no daemon has one. */
TEST_F(Replica, MemberWithATooLongNameIsLeftOut)
{
	const std::string key = RP_MEMBER_PREFIX + std::string(64, 'x');
	uint64_t before = ct_get(CT_LEFT_OUT);

	page(10, {worker_item(key.c_str(), 5)}, false);
	EXPECT_EQ(ct_get(CT_LEFT_OUT), before + 1);
	EXPECT_EQ(HASH_COUNT(r->members), 0u);
}

/* Rows of pools and waves with names of 64 bytes or more were left out. */
TEST_F(Replica, RowsOfPoolsAndWavesAreReadHoweverLongTheirNames)
{
	uint64_t before = ct_get(CT_LEFT_OUT);
	std::vector<std::string> keys;
	std::vector<struct ks_item> items;

	for (const char *prefix : {RP_OWNER_PREFIX, RP_TERM_PREFIX,
		 RP_WORKERS_PREFIX, RP_WAVE_PREFIX}) {
		size_t most = RP_MAX_KEY_BYTES - strlen(prefix);

		for (size_t length : {(size_t)1, (size_t)63, (size_t)64, most})
			keys.push_back(prefix + std::string(length, 'x'));
	}
	for (const std::string &key : keys)
		items.push_back(worker_item(key.c_str(), 5));
	page(10, items, false);
	EXPECT_EQ(ct_get(CT_LEFT_OUT), before);
	/* The longest names of the three kinds of rows differ in length. */
	EXPECT_EQ(HASH_COUNT(r->owners), 6u);
	EXPECT_EQ(HASH_COUNT(r->waves), 4u);
}

/* A pool whose name makes its keys too long for the store has a hash in them. */
TEST_F(Replica, KeysOfPoolsFitHoweverLongTheirNames)
{
	const char *prefixes[] = {
	    RP_OWNER_PREFIX, RP_TERM_PREFIX, RP_WORKERS_PREFIX};
	std::set<std::string> keys;
	uint32_t names = 0;

	for (size_t length :
	    {1, 63, 64, 127, 128, 189, 190, 200, 4000, 70000}) {
		for (char last : {'a', 'b'}) {
			std::string pool(length - 1, 'x');

			pool += last;
			names++;
			for (const char *prefix : prefixes) {
				char *key = rp_make_pool_key(
				    nullptr, prefix, pool.c_str());

				EXPECT_LE(strlen(key), RP_MAX_KEY_BYTES);
				keys.insert(key);
				talloc_free(key);
			}
			EXPECT_EQ(rp_get_owner(r, pool.c_str()),
			    rp_get_owner(r, pool.c_str()));
		}
	}
	EXPECT_EQ(keys.size(), names * 3);
	EXPECT_EQ(HASH_COUNT(r->owners), names);
}

} // namespace
