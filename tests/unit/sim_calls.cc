#include "sim_internal.h"

#include <algorithm>
#include <cstring>

namespace
{

constexpr int64_t kStoreLatency = 3 * kSimMs;
constexpr int64_t kSlowLatency = 270 * kSimMs;
constexpr int64_t kWriteTimeout = 900 * kSimMs;
constexpr int64_t kReadTimeout = 3 * kSimS;
/* Larger answers don't pass a narrow link in time. */
constexpr size_t kNarrowBytes = 300;
constexpr int64_t kWatchSlack = 800 * kSimMs;
constexpr size_t kNarrowItems = 12;

} // namespace

static void
deliver(const SimResponse &a, ks_done_fn done, void *arg)
{
	std::vector<struct ks_item> rows;
	struct ks_response resp = {};

	for (const SimItem &it : a.items) {
		struct ks_item row = {};

		row.key = it.key.c_str();
		row.value =
		    it.deleted ? nullptr : (const uint8_t *)it.value.data();
		row.value_bytes = it.deleted ? 0 : it.value.size();
		row.revision = it.revision;
		row.created = it.created;
		row.lease = it.lease;
		row.deleted = it.deleted;
		rows.push_back(row);
	}
	resp.result = a.result;
	resp.revision = a.revision;
	resp.item = rows.data();
	resp.item_count = rows.size();
	resp.more = a.more;
	resp.lease = a.lease;
	resp.sends = 1;
	done(&resp, arg);
}

static SimResponse
without_answer(enum ks_result result)
{
	SimResponse a;

	a.result = result;
	return a;
}

static bool
is_cut_from_store(const SimDaemon &d)
{
	return !sim_world->reaches_store(d.domain) ||
	    sim_world->store_has(d.index, StoreTrouble::kSilent);
}

static bool
is_too_large(const SimDaemon &d, const SimResponse &a)
{
	size_t bytes = 0;

	if (sim_world->now >= d.narrow_until_us)
		return false;
	for (const SimItem &it : a.items)
		bytes += it.key.size() + it.value.size();
	return bytes > kNarrowBytes;
}

struct SimCall {
	std::function<SimResponse()> execute;
	bool write;
	int64_t timeout_us;
	ks_done_fn done;
	void *arg;
	SimConnection connection = {};
};

static void
answer_call(uint64_t life, const SimCall &c, const SimResponse &a, int64_t us)
{
	sim_world->after_in(life, us, [=] { deliver(a, c.done, c.arg); });
}

/* The call has arrived; what is done with its answer is decided now. */
static void
execute_call(SimDaemon *d, uint64_t life, const SimCall &c, int64_t latency_us)
{
	SimWorld *w = sim_world;
	SimResponse unknown = without_answer(KS_UNKNOWN);

	if (is_cut_from_store(*d) || sim_loses_call(*d, c.connection)) {
		answer_call(life, c, unknown, c.timeout_us);
		return;
	}
	if (w->store_has(d->index, StoreTrouble::kBusy)) {
		answer_call(life, c, without_answer(KS_REFUSED), kLatency);
		return;
	}
	if (c.write && w->store_has(d->index, StoreTrouble::kLate) &&
	    w->chance(70)) {
		w->after((int64_t)(1000 + w->random(5000)) * kSimMs,
		    [c] { c.execute(); });
		answer_call(life, c, unknown, c.timeout_us);
		return;
	}
	SimResponse a = c.execute();
	if (c.write && w->store_has(d->index, StoreTrouble::kLost) &&
	    w->chance(60)) {
		answer_call(life, c, unknown, c.timeout_us);
		return;
	}
	if (is_too_large(*d, a) || sim_loses_answer(*d, c.connection))
		answer_call(life, c, unknown, c.timeout_us);
	else
		answer_call(life, c, a, latency_us);
}

static void
send_call(void *handle, SimCall c)
{
	SimDaemon *d = (SimDaemon *)handle;
	uint64_t life = d->life;
	int64_t latency_us = sim_world->store_has(d->index, StoreTrouble::kSlow)
	    ? kSlowLatency
	    : kStoreLatency;

	c.connection = sim_connect(*d, "store");
	if (is_cut_from_store(*d)) {
		answer_call(life, c, without_answer(KS_UNKNOWN), c.timeout_us);
		return;
	}
	sim_world->after(
	    latency_us / 2, [=] { execute_call(d, life, c, latency_us / 2); });
}

static void
sim_range(void *handle, const char *prefix, const char *after, ks_done_fn done,
    void *arg)
{
	std::string p = prefix;
	std::string a = after != nullptr ? after : "";

	send_call(handle,
	    {[=] { return sim_world->store.range(p, a); }, false, kReadTimeout,
		done, arg});
}

static void
sim_txn(void *handle, const struct ks_txn *txn, ks_done_fn done, void *arg)
{
	SimTxn t;

	for (size_t i = 0; i < txn->expect_count; i++)
		t.expect.push_back(
		    {txn->expect[i].key, txn->expect[i].revision});
	for (size_t i = 0; i < txn->put_count; i++) {
		SimItem item;

		item.key = txn->put[i].key;
		item.value.assign(
		    (const char *)txn->put[i].value, txn->put[i].value_bytes);
		item.lease = txn->put[i].lease;
		t.put.push_back(item);
	}
	for (size_t i = 0; i < txn->remove_count; i++)
		t.remove.push_back(txn->remove[i]);
	send_call(handle,
	    {[=] { return sim_world->store.txn(t); }, true, kWriteTimeout, done,
		arg});
}

static void
sim_lease_grant(void *handle, uint32_t ttl_ms, ks_done_fn done, void *arg)
{
	send_call(handle,
	    {[=] { return sim_world->store.grant(ttl_ms); }, true,
		kWriteTimeout, done, arg});
}

static void
sim_lease_renew(void *handle, uint64_t lease, ks_done_fn done, void *arg)
{
	send_call(handle,
	    {[=] { return sim_world->store.renew(lease); }, true, kWriteTimeout,
		done, arg});
}

static void
sim_lease_end(void *handle, uint64_t lease, ks_done_fn done, void *arg)
{
	send_call(handle,
	    {[=] { return sim_world->store.end(lease); }, true, kWriteTimeout,
		done, arg});
}

/* Looks for changes from time to time until the deadline. */
static void
poll_watch(SimDaemon *d, uint64_t life, const SimConnection &connection,
    const std::string &prefix, uint64_t after, int64_t deadline_us,
    ks_done_fn done, void *arg)
{
	SimWorld *w = sim_world;
	SimResponse a;
	SimCall c = {nullptr, false, 0, done, arg};

	if (is_cut_from_store(*d) || connection.silent_there ||
	    sim_loses_answer(*d, connection) ||
	    w->store_has(d->index, StoreTrouble::kBusy) ||
	    w->store_has(d->index, StoreTrouble::kHung)) {
		answer_call(life, c, without_answer(KS_UNKNOWN),
		    std::max<int64_t>(deadline_us + kWatchSlack - w->now, 0));
		return;
	}
	if (!w->store.has_history(after)) {
		answer_call(
		    life, c, without_answer(KS_COMPACTED), kStoreLatency);
		return;
	}
	a.items = w->store.changes(prefix, after);
	a.revision = w->store.revision;
	if (is_too_large(*d, a) ||
	    (w->store_has(d->index, StoreTrouble::kNarrow) &&
		a.items.size() > kNarrowItems)) {
		answer_call(life, c, without_answer(KS_UNKNOWN),
		    deadline_us + kWatchSlack - w->now);
		return;
	}
	if (!a.items.empty() || w->now >= deadline_us) {
		answer_call(life, c, a,
		    w->store_has(d->index, StoreTrouble::kSlow)
			? kSlowLatency
			: kStoreLatency);
		return;
	}
	w->after(kTick, [=] {
		poll_watch(
		    d, life, connection, prefix, after, deadline_us, done, arg);
	});
}

static void
sim_watch(void *handle, const char *prefix, uint64_t after, uint32_t wait_ms,
    ks_done_fn done, void *arg)
{
	SimDaemon *d = (SimDaemon *)handle;
	std::string p = prefix;
	uint64_t life = d->life;
	int64_t deadline_us = sim_world->now + wait_ms * kSimMs;

	SimConnection c = sim_connect(*d, "store");

	sim_world->after(kLatency,
	    [=] { poll_watch(d, life, c, p, after, deadline_us, done, arg); });
}

const struct ks_ops sim_key_ops = {
    sim_range,
    sim_watch,
    sim_txn,
    sim_lease_grant,
    sim_lease_renew,
    sim_lease_end,
};
