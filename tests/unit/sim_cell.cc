#include "sim_cell.h"

#include <algorithm>
#include <cstdarg>
#include <cstring>

extern "C" {
#include "common/log.h"
#include "curranttackd/cell_calls_internal.h"
#include "curranttackd/cell_run.h"
#include "protocol/frame.h"
}

namespace
{

constexpr int64_t kTick = 10 * kSimMs;
constexpr int64_t kLatency = 1 * kSimMs;
constexpr int64_t kStoreLatency = 3 * kSimMs;
constexpr int64_t kSlowLatency = 270 * kSimMs;
constexpr int64_t kWriteTimeout = 900 * kSimMs;
constexpr int64_t kReadTimeout = 3 * kSimS;
constexpr int64_t kWatchSlack = 800 * kSimMs;
constexpr int64_t kOrderTimeout = 250 * kSimMs;
constexpr int64_t kRenewalSlack = 700 * kSimMs;
constexpr int64_t kContact = 3 * kSimS;
constexpr int64_t kHeartbeat = 1500 * kSimMs;
constexpr int64_t kLinkTimeout = 5 * kSimS;
constexpr size_t kPage = 7;
constexpr uint32_t kCores = 4000;
constexpr int64_t kStopTime = 50 * kSimMs;
/* Of the wall clock, at the start of the simulated clock. */
constexpr int64_t kWallStart = 1700000000 * kSimS;

bool
has_prefix(const std::string &text, const std::string &prefix)
{
	return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

SimWorld *sim_world;

std::string
sim_task_name(const struct jb_ref &ref)
{
	return std::string(ref.job) + "." + std::to_string(ref.occurrence) +
	    "." + std::to_string(ref.step) + "." + std::to_string(ref.index);
}

/* --- store --- */

void
SimStore::write(const SimItem &item)
{
	SimItem &it = items[item.key];

	if (it.created == 0)
		it.created = revision;
	it.key = item.key;
	it.value = item.value;
	it.lease = item.lease;
	it.revision = revision;
	history.push_back(it);
}

void
SimStore::erase(const std::string &key)
{
	SimItem gone;

	if (items.erase(key) == 0)
		return;
	gone.key = key;
	gone.revision = revision;
	gone.deleted = true;
	history.push_back(gone);
}

void
SimStore::put(const std::string &key, const std::string &value)
{
	SimItem item;

	item.key = key;
	item.value = value;
	revision++;
	write(item);
}

void
SimStore::remove(const std::string &key)
{
	if (items.count(key) == 0)
		return;
	revision++;
	erase(key);
}

SimResponse
SimStore::range(const std::string &prefix, const std::string &after)
{
	SimResponse a;

	a.revision = revision;
	for (auto &it : items) {
		if (!has_prefix(it.first, prefix) ||
		    (!after.empty() && it.first <= after))
			continue;
		if (a.items.size() == kPage) {
			a.more = true;
			break;
		}
		a.items.push_back(it.second);
	}
	return a;
}

SimResponse
SimStore::txn(const SimTxn &t)
{
	SimResponse a;
	bool holds = true;

	for (const SimItem &p : t.put) {
		if (p.lease != 0 && leases.count(p.lease) == 0) {
			a.result = KS_NO_LEASE;
			return a;
		}
	}
	for (auto &e : t.expect) {
		auto it = items.find(e.first);
		uint64_t is = it == items.end() ? 0 : it->second.revision;
		SimItem state;

		holds &= is == e.second;
		state.key = e.first;
		state.deleted = true;
		a.items.push_back(it == items.end() ? state : it->second);
	}
	if (!holds) {
		a.result = KS_CONFLICT;
		return a;
	}
	a.items.clear();
	a.revision = ++revision;
	for (const SimItem &p : t.put)
		write(p);
	for (const std::string &key : t.remove)
		erase(key);
	return a;
}

SimResponse
SimStore::grant(uint32_t ttl_ms)
{
	SimResponse a;

	a.lease = next_lease++;
	leases[a.lease] = {ttl_ms * kSimMs, w->now + ttl_ms * kSimMs};
	return a;
}

SimResponse
SimStore::renew(uint64_t lease)
{
	SimResponse a;
	auto l = leases.find(lease);

	if (l == leases.end())
		a.result = KS_NO_LEASE;
	else
		l->second.expires_us = w->now + l->second.ttl_us;
	return a;
}

SimResponse
SimStore::end(uint64_t lease)
{
	SimResponse a;
	std::vector<std::string> keys;

	if (leases.erase(lease) == 0) {
		a.result = KS_NO_LEASE;
		return a;
	}
	for (auto &it : items) {
		if (it.second.lease == lease)
			keys.push_back(it.first);
	}
	revision++;
	for (const std::string &key : keys)
		erase(key);
	return a;
}

void
SimStore::expire()
{
	std::vector<uint64_t> ended;
	int64_t passed_us = checked_us > 0 ? w->now - checked_us : 0;

	checked_us = w->now;
	for (auto &l : leases) {
		if (leases_paused)
			l.second.expires_us += passed_us;
		else if (w->now > l.second.expires_us)
			ended.push_back(l.first);
	}
	for (uint64_t lease : ended)
		end(lease);
}

std::vector<SimItem>
SimStore::changes(const std::string &prefix, uint64_t after) const
{
	std::vector<SimItem> found;

	for (const SimItem &it : history) {
		if (it.revision > after && has_prefix(it.key, prefix))
			found.push_back(it);
	}
	return found;
}

void
SimStore::compact()
{
	revision++;
	compacted = revision;
	history.clear();
}

bool
SimStore::has_history(uint64_t after) const
{
	return after >= compacted;
}

/* --- world --- */

SimWorld::SimWorld(uint64_t seed, size_t daemon_count, size_t worker_count,
    SimObserver *observer)
    : store(this), seen(observer), rng(seed)
{
	static const char *const domains[] = {"a", "b", "c"};

	sim_world = this;
	store.put("op/config", "1");
	for (size_t i = 0; i < daemon_count; i++) {
		auto d = std::make_unique<SimDaemon>();

		d->index = i;
		d->vm = "vm-" + std::to_string(i);
		d->domain = domains[i % 3];
		daemons.push_back(std::move(d));
	}
	for (size_t i = 0; i < worker_count; i++) {
		auto wk = std::make_unique<SimWorker>();

		wk->id = "w" + std::to_string(i);
		wk->domain = domains[i % 3];
		wk->born_us = now - (int64_t)i * kSimS;
		wk->seen_us = now - kHeartbeat;
		workers.push_back(std::move(wk));
	}
	for (size_t i = 0; i < daemon_count; i++)
		start(i);
	after(kTick, [this] { tick(); });
}

void
SimWorld::after_in(uint64_t life, int64_t us, std::function<void()> action)
{
	events.push({now + us, next_event++, life, std::move(action)});
}

void
SimWorld::after(int64_t us, std::function<void()> action)
{
	after_in(0, us, std::move(action));
}

SimDaemon *
SimWorld::daemon_of(uint64_t life)
{
	for (auto &d : daemons) {
		if (d->up && d->life == life)
			return d.get();
	}
	return nullptr;
}

void
SimWorld::run_until(int64_t us)
{
	while (!events.empty() && events.top().at <= us) {
		Event e = events.top();
		SimDaemon *d = nullptr;

		events.pop();
		now = std::max(now, e.at);
		if (e.life != 0) {
			d = daemon_of(e.life);
			if (d == nullptr)
				continue;
		}
		if (d != nullptr && now < d->frozen_until_us) {
			e.at = d->frozen_until_us;
			events.push(e);
			continue;
		}
		e.action();
	}
	now = us;
}

uint64_t
SimWorld::random(uint64_t below)
{
	return rng() % below;
}

bool
SimWorld::chance(uint32_t percent)
{
	return random(100) < percent;
}

void
SimWorld::start(size_t index)
{
	SimDaemon &d = *daemons[index];

	if (d.up)
		return;
	d.up = true;
	d.powered = true;
	d.life = next_life++;
	d.frozen_until_us = 0;
	d.trouble_us = std::max(d.trouble_us, now);
	d.settings = {};
	d.settings.vm = const_cast<char *>(d.vm.c_str());
	d.settings.domain = const_cast<char *>(d.domain.c_str());
	d.settings.cpu_mcpu = 1000;
	d.settings.link_kbps = 1000000;
	d.settings.callers_address = const_cast<char *>("callers");
	d.settings.ready_address = const_cast<char *>("ready");
	d.settings.peers_address = const_cast<char *>("peers");
	d.settings.store_address = const_cast<char *>("store");
	d.settings.max_lease_ms = 10000;
	d.settings.grace_us = 6 * kSimS;
	d.settings.report_interval_us = kHeartbeat;
	d.settings.report_delay_us = kContact;
	d.settings.keep_ended_us = 120 * kSimS;
	d.settings.relay_above_workers = 1000;
	d.settings.small_cell_daemons = 16;
	d.settings.max_connections = 100;
	booting = d.life;
	if (cell_run(&d.settings) != 0)
		abort();
	booting = 0;
}

void
SimWorld::compact()
{
	store.compact();
	mark_store_trouble(0);
}

void
SimWorld::mark_store_trouble(int64_t us)
{
	store_trouble_us = std::max(store_trouble_us, now + us);
}

void
SimWorld::store_trouble(StoreTrouble kind, int64_t us)
{
	troubles[kind] = std::max(troubles[kind], now + us);
	mark_store_trouble(us);
}

void
SimWorld::store_trouble_of(size_t index, StoreTrouble kind, int64_t us)
{
	daemons[index]->store[kind] = now + us;
	mark_store_trouble(us);
}

bool
SimWorld::store_has(size_t index, StoreTrouble kind) const
{
	auto all = troubles.find(kind);
	auto own = daemons[index]->store.find(kind);

	return (all != troubles.end() && now < all->second) ||
	    (own != daemons[index]->store.end() && now < own->second);
}

void
SimWorld::freeze(size_t index, int64_t us)
{
	SimDaemon &d = *daemons[index];

	d.frozen_until_us = std::max(d.frozen_until_us, now + us);
	d.trouble_us = std::max(d.trouble_us, d.frozen_until_us);
}

void
SimWorld::cut_from_store(size_t index, int64_t us)
{
	cut_daemons[index] = now + us;
	daemons[index]->trouble_us =
	    std::max(daemons[index]->trouble_us, now + us);
}

void
SimWorld::cut_domain(const std::string &domain, int64_t us)
{
	cut_domains[domain] = now + us;
	for (auto &d : daemons) {
		if (d->domain == domain)
			d->trouble_us = std::max(d->trouble_us, now + us);
	}
}

void
SimWorld::heal()
{
	troubles.clear();
	cut_domains.clear();
	cut_daemons.clear();
	store.leases_paused = false;
	for (auto &d : daemons) {
		d->store.clear();
		d->frozen_until_us = 0;
		start(d->index);
	}
	for (size_t i = 0; i < workers.size(); i++)
		revive(i);
}

bool
SimWorld::reaches_store(const std::string &domain) const
{
	auto cut = cut_domains.find(domain);

	return cut == cut_domains.end() || now >= cut->second;
}

bool
SimWorld::reaches(const std::string &from, const std::string &to) const
{
	return from == to || (reaches_store(from) && reaches_store(to));
}

bool
SimWorld::is_in_touch(const SimDaemon &d) const
{
	return now >= d.trouble_us + kContact &&
	    now >= store_trouble_us + kContact;
}

/* --- workers --- */

static void
end_run(SimWorker &w, const std::string &task, enum wp_run_outcome outcome)
{
	SimRun run = w.running[task];
	SimEnd e;

	w.running.erase(task);
	w.barred[task] = std::max(w.barred[task], run.run);
	e.number = ++w.next_end;
	e.ref = w.refs[task];
	e.run = run.run;
	e.outcome = outcome;
	w.ends.push_back(e);
	sim_world->seen->on_end(w, task, run.run, outcome);
	std::vector<std::function<void()>> waiting;
	waiting.swap(w.waiting);
	for (auto &answer : waiting)
		answer();
}

void
SimWorld::tick_worker(SimWorker &w)
{
	std::vector<std::pair<std::string, enum wp_run_outcome>> ended;

	if (!w.alive)
		return;
	for (auto &r : w.running) {
		if (now > w.lease_until_us)
			ended.push_back({r.first, WP_END_LEASE_EXPIRED});
		else if (r.second.stops_us != 0 && now >= r.second.stops_us)
			ended.push_back({r.first, WP_END_STOPPED});
		else if (now >= r.second.ends_us)
			ended.push_back({r.first, WP_END_DONE});
	}
	for (auto &e : ended)
		end_run(w, e.first, e.second);
}

void
SimWorld::tick()
{
	bool down = false;

	for (StoreTrouble kind : {StoreTrouble::kSilent, StoreTrouble::kBusy})
		down |= troubles.count(kind) > 0 && now < troubles[kind];
	if (!down)
		store.leases_paused = false;
	store.expire();
	for (auto &w : workers) {
		tick_worker(*w);
		if (down)
			continue;
		if (w->alive && reaches_store(w->domain) &&
		    now >= w->seen_us + kHeartbeat) {
			w->seen_us = now;
			store.put("w/" + w->id,
			    w->domain + " " + std::to_string(w->born_us));
		} else if (now > w->seen_us + 3 * kHeartbeat) {
			store.remove("w/" + w->id);
		}
	}
	after(kTick, [this] { tick(); });
}

void
SimWorld::crash(size_t index)
{
	SimWorker &w = *workers[index];

	w.alive = false;
	w.life++;
	w.running.clear();
	w.ends.clear();
	w.waiting.clear();
}

void
SimWorld::revive(size_t index)
{
	SimWorker &w = *workers[index];

	if (w.alive)
		return;
	w.alive = true;
	w.born_us = now;
	w.token = 0;
	w.lease_until_us = 0;
	w.next_end = 0;
	w.barred.clear();
	w.seen_us = now - kHeartbeat;
}

static int64_t
clock_ms(const SimWorker &w)
{
	return (sim_world->now - w.born_us) / kSimMs + 1;
}

static int64_t
incarnation_ms(const SimWorker &w)
{
	return (kWallStart + w.born_us) / kSimMs;
}

static bool
take_token(SimWorker &w, uint64_t token)
{
	if (token < w.token)
		return false;
	w.token = token;
	return true;
}

static void
extend_lease(SimWorker &w, int64_t deadline_clock_ms)
{
	int64_t until_us = (deadline_clock_ms - 1) * kSimMs + w.born_us;
	int64_t latest_us = sim_world->now + 10 * kSimS;

	w.lease_until_us =
	    std::max(w.lease_until_us, std::min(until_us, latest_us));
}

static uint32_t
used_cpu(const SimWorker &w)
{
	uint32_t cpu = 0;

	for (auto &r : w.running)
		cpu += r.second.cpu;
	return cpu;
}

static enum wp_order_result
start_run(SimDaemon &d, SimWorker &w, const struct jb_ref &ref, uint32_t run,
    int64_t deadline_clock_ms, int64_t work_us, uint64_t token)
{
	std::string task = sim_task_name(ref);

	if (!take_token(w, token))
		return WP_REFUSED_STALE_TOKEN;
	if (deadline_clock_ms < clock_ms(w))
		return WP_REFUSED_EXPIRED;
	extend_lease(w, deadline_clock_ms);
	if (w.running.count(task) > 0 && w.running[task].run == run)
		return WP_ACCEPTED;
	if (w.running.count(task) > 0 || w.barred[task] >= run)
		return WP_REFUSED_STALE_RUN;
	if (used_cpu(w) + 1000 > kCores)
		return WP_REFUSED_NO_RESOURCES;
	w.running[task] = {
	    run, sim_world->now, sim_world->now + work_us, 0, 1000};
	w.refs[task] = ref;
	sim_world->seen->on_start(d, w, task, run);
	return WP_ACCEPTED;
}

static enum wp_order_result
stop_run(SimWorker &w, const struct jb_ref &ref, uint32_t run, uint64_t token)
{
	std::string task = sim_task_name(ref);

	if (!take_token(w, token))
		return WP_REFUSED_STALE_TOKEN;
	w.barred[task] = std::max(w.barred[task], run);
	if (w.running.count(task) > 0 && w.running[task].run <= run &&
	    w.running[task].stops_us == 0)
		w.running[task].stops_us = sim_world->now + kStopTime;
	return WP_ACCEPTED;
}

static SimWorker *
find_worker(const char *id)
{
	for (auto &w : sim_world->workers) {
		if (w->id == id)
			return w.get();
	}
	return nullptr;
}

static void
sim_order(void *fleet, const struct wp_order *o, uint64_t token,
    fl_order_fn done, void *arg)
{
	SimDaemon *d = (SimDaemon *)fleet;
	SimWorker *w = find_worker(o->worker);
	uint64_t life = d->life;
	struct jb_ref ref = o->ref;
	uint32_t run = o->run;
	enum wp_order_kind kind = o->kind;
	int64_t deadline_ms = o->deadline_clock_ms;
	int64_t incarnation = o->incarnation_ms;
	int64_t work_us = o->payload != nullptr ? atoll(o->payload) : 0;

	auto no_answer = [=] {
		sim_world->after_in(
		    life, kOrderTimeout, [=] { done(WP_NO_ANSWER, 0, arg); });
	};
	if (w == nullptr || !sim_world->reaches(d->domain, w->domain)) {
		no_answer();
		return;
	}
	sim_world->after(kLatency, [=] {
		enum wp_order_result result = WP_REFUSED_INCARNATION;

		if (!w->alive) {
			no_answer();
			return;
		}
		if (incarnation != 0 && incarnation != incarnation_ms(*w))
			result = WP_REFUSED_INCARNATION;
		else if (kind == WP_ORDER_START)
			result = start_run(
			    *d, *w, ref, run, deadline_ms, work_us, token);
		else
			result = stop_run(*w, ref, run, token);
		if (!sim_world->reaches(d->domain, w->domain)) {
			no_answer();
			return;
		}
		int64_t clock = clock_ms(*w);
		sim_world->after_in(
		    life, kLatency, [=] { done(result, clock, arg); });
	});
}

static void
acknowledge(SimWorker &w, uint64_t number)
{
	std::vector<SimEnd> kept;

	for (const SimEnd &e : w.ends) {
		if (e.number > number)
			kept.push_back(e);
		else if (sim_world->now <= w.lease_until_us)
			sim_world->seen->on_noted(
			    sim_task_name(e.ref), e.run, e.outcome);
	}
	w.ends = kept;
}

/* The lists of a worker at the moment, as a reply that keeps its memory. */
struct SimLists {
	struct wp_renewal_reply reply = {};
	std::vector<struct wp_running_task> running;
	std::vector<struct wp_run_end> ends;
};

static std::shared_ptr<SimLists>
make_lists(const SimWorker &w)
{
	auto lists = std::make_shared<SimLists>();

	for (auto &r : w.running) {
		struct wp_running_task row = {};

		row.ref = w.refs.at(r.first);
		row.run = r.second.run;
		row.percent =
		    (uint32_t)(100 * (sim_world->now - r.second.begun_us) /
			(r.second.ends_us - r.second.begun_us + 1));
		lists->running.push_back(row);
	}
	for (const SimEnd &e : w.ends) {
		struct wp_run_end row = {};

		row.number = e.number;
		row.ref = e.ref;
		row.run = e.run;
		row.outcome = e.outcome;
		lists->ends.push_back(row);
	}
	lists->reply.incarnation_ms = incarnation_ms(w);
	lists->reply.clock_ms = clock_ms(w);
	lists->reply.running = lists->running.data();
	lists->reply.running_count = (uint32_t)lists->running.size();
	lists->reply.end = lists->ends.data();
	lists->reply.end_count = (uint32_t)lists->ends.size();
	return lists;
}

static void
sim_renew(void *fleet, const struct wp_worker *target,
    const struct wp_renewal *renewal, uint64_t token, fl_renewal_fn done,
    void *arg)
{
	SimDaemon *d = (SimDaemon *)fleet;
	SimWorker *w = find_worker(target->id);
	uint64_t life = d->life;
	struct wp_renewal r = *renewal;
	auto answered = std::make_shared<bool>(false);
	int64_t timeout_us = r.wait_ms * kSimMs + kRenewalSlack;

	sim_world->after_in(life, timeout_us, [=] {
		if (*answered)
			return;
		*answered = true;
		done(WP_NO_ANSWER, nullptr, arg);
	});
	auto reply = [=](enum wp_order_result result) {
		if (!sim_world->reaches(d->domain, w->domain))
			return;
		auto lists = make_lists(*w);

		sim_world->after_in(life, kLatency, [=] {
			if (*answered)
				return;
			*answered = true;
			done(result,
			    result == WP_ACCEPTED ? &lists->reply : nullptr,
			    arg);
		});
	};
	if (w == nullptr || !sim_world->reaches(d->domain, w->domain))
		return;
	sim_world->after(kLatency, [=] {
		uint32_t worker_life = w->life;

		if (!w->alive)
			return;
		if (!take_token(*w, token)) {
			reply(WP_REFUSED_STALE_TOKEN);
			return;
		}
		acknowledge(*w, r.acked_end);
		if (r.deadline_clock_ms > 0)
			extend_lease(*w, r.deadline_clock_ms);
		if (!w->ends.empty() || r.wait_ms == 0) {
			reply(WP_ACCEPTED);
			return;
		}
		auto sent = std::make_shared<bool>(false);
		auto once = [=] {
			if (*sent || !w->alive || w->life != worker_life)
				return;
			*sent = true;
			reply(WP_ACCEPTED);
		};
		w->waiting.push_back(once);
		sim_world->after(r.wait_ms * kSimMs, once);
	});
}

/* --- calls to the store --- */

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

struct SimCall {
	std::function<SimResponse()> execute;
	bool write;
	int64_t timeout_us;
	ks_done_fn done;
	void *arg;
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

	if (is_cut_from_store(*d)) {
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
poll_watch(SimDaemon *d, uint64_t life, const std::string &prefix,
    uint64_t after, int64_t deadline_us, ks_done_fn done, void *arg)
{
	SimWorld *w = sim_world;
	SimResponse a;
	SimCall c = {nullptr, false, 0, done, arg};

	if (is_cut_from_store(*d) ||
	    w->store_has(d->index, StoreTrouble::kBusy)) {
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
	if (!a.items.empty() || w->now >= deadline_us) {
		answer_call(life, c, a,
		    w->store_has(d->index, StoreTrouble::kSlow)
			? kSlowLatency
			: kStoreLatency);
		return;
	}
	w->after(kTick, [=] {
		poll_watch(d, life, prefix, after, deadline_us, done, arg);
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

	sim_world->after(kLatency,
	    [=] { poll_watch(d, life, p, after, deadline_us, done, arg); });
}

/* --- entries and formats --- */

static enum fl_key_kind
sim_kind(const char *key, const char **id)
{
	*id = key + 2;
	if (strcmp(key, "op/config") == 0)
		return FL_KEY_CONFIG;
	return strncmp(key, "w/", 2) == 0 ? FL_KEY_WORKER : FL_KEY_OTHER;
}

static bool
sim_read_worker(TALLOC_CTX *ctx, const char *id, const uint8_t *value,
    size_t bytes, struct wp_worker_info *info, const char **pool, char *error,
    size_t error_bytes)
{
	std::string text((const char *)value, bytes);
	size_t space = text.find(' ');
	int64_t born_us = atoll(text.substr(space + 1).c_str());

	(void)error;
	(void)error_bytes;
	*info = {};
	info->id = talloc_strdup(ctx, id);
	info->address = info->id;
	info->domain = talloc_strdup(ctx, text.substr(0, space).c_str());
	info->kind = "kind";
	info->rack = "rack";
	info->capacity = {kCores, 100000, 0};
	info->incarnation_ms = (kWallStart + born_us) / kSimMs;
	info->clock_ms = (sim_world->now - born_us) / kSimMs + 1;
	*pool = "pool";
	return true;
}

static struct qs_config *
sim_read_config(TALLOC_CTX *ctx, const uint8_t *value, size_t bytes,
    char *error, size_t error_bytes)
{
	struct qs_config *c = talloc_zero(ctx, struct qs_config);

	(void)value;
	(void)bytes;
	(void)error;
	(void)error_bytes;
	c->version = 1;
	c->queue = talloc_zero_array(c, struct qs_queue, 1);
	c->queue_count = 1;
	c->queue[0].name = talloc_strdup(c, "q");
	c->queue[0].host = talloc_strdup(c, "host");
	c->queue[0].prefix = talloc_strdup(c, "/q/");
	c->queue[0].pool = talloc_strdup(c, "pool");
	c->queue[0].policy.max_attempts = 4;
	c->queue[0].policy.stretch_milli = 4000;
	c->queue[0].policy.target_latency_ms = 1000;
	c->pool = talloc_zero_array(c, struct qs_pool, 1);
	c->pool_count = 1;
	c->pool[0].name = talloc_strdup(c, "pool");
	c->max_body_bytes = 1 << 20;
	return c;
}

/* "WORK_US STEPS TASKS": steps follow one another. */
static struct jb_spec *
sim_read_job(TALLOC_CTX *ctx, const char *body, size_t bytes, char *error,
    size_t error_bytes)
{
	struct jb_spec *spec = talloc_zero(ctx, struct jb_spec);
	std::string text(body, bytes);
	unsigned int steps = 0;
	unsigned int tasks = 0;
	long long work_us = 0;

	(void)error;
	(void)error_bytes;
	sscanf(text.c_str(), "%lld %u %u", &work_us, &steps, &tasks);
	spec->payload = talloc_strdup(spec, std::to_string(work_us).c_str());
	spec->step = talloc_zero_array(spec, struct jb_step, steps);
	spec->step_count = steps;
	for (unsigned int i = 0; i < steps; i++) {
		struct jb_step *s = &spec->step[i];

		s->count = tasks;
		s->cpu_mcpu = 1000;
		s->mem_mb = 10;
		s->estimate_ms = (uint32_t)(work_us / kSimMs);
		s->after = talloc_zero_array(spec, uint32_t, 1);
		s->after_count = i > 0;
		s->after[0] = i > 0 ? i - 1 : 0;
	}
	return spec;
}

static char *
sim_state_body(TALLOC_CTX *ctx, enum jb_state state)
{
	return talloc_strdup(ctx, jb_state_name(state));
}

static char *
sim_waiting_body(TALLOC_CTX *ctx, uint32_t waiting)
{
	return talloc_asprintf(ctx, "%u", waiting);
}

static const struct ks_ops sim_keys = {
    sim_range,
    sim_watch,
    sim_txn,
    sim_lease_grant,
    sim_lease_renew,
    sim_lease_end,
};
static const struct fl_worker_ops sim_workers = {sim_order, sim_renew};
static const struct fl_entry_ops sim_entries = {
    "op/",
    "w/",
    sim_kind,
    sim_read_worker,
    sim_read_config,
    nullptr,
    nullptr,
};
static const struct fl_caller_ops sim_callers = {
    sim_read_job,
    sim_state_body,
    sim_waiting_body,
    "Wait",
    "/ready",
};

extern "C" struct fl_fleet *
pf_create(TALLOC_CTX *, struct loop *, const struct pf_settings *)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	d->fleet = {};
	d->fleet.keys = &sim_keys;
	d->fleet.workers = &sim_workers;
	d->fleet.entries = &sim_entries;
	d->fleet.callers = &sim_callers;
	d->fleet.handle = d;
	return &d->fleet;
}

/* --- clock and loop --- */

extern "C" int64_t
clk_now_us(void)
{
	return sim_world->now;
}

extern "C" int64_t
clk_wall_us(void)
{
	return kWallStart + sim_world->now;
}

struct loop {
	uint64_t life;
};

struct loop_call {
	uint64_t life;
	int64_t interval_us;
	void (*fn)(void *arg);
	void *arg;
};

extern "C" struct loop *
loop_create(TALLOC_CTX *ctx)
{
	struct loop *l = talloc_zero(ctx, struct loop);

	l->life = sim_world->booting;
	return l;
}

extern "C" struct tevent_context *
loop_ev(struct loop *)
{
	return nullptr;
}

extern "C" void
loop_run(struct loop *)
{
}

extern "C" void
loop_stop(struct loop *)
{
}

extern "C" struct tevent_signal *
_tevent_add_signal(struct tevent_context *, TALLOC_CTX *, int, int,
    tevent_signal_handler_t, void *, const char *, const char *)
{
	return nullptr;
}

extern "C" void
loop_after(struct loop *l, int64_t delay_us, void (*fn)(void *arg), void *arg)
{
	sim_world->after_in(
	    l->life, std::max<int64_t>(delay_us, 0), [=] { fn(arg); });
}

static void
repeat(struct loop_call *c)
{
	sim_world->after_in(c->life, c->interval_us, [c] {
		uint64_t life = c->life;

		c->fn(c->arg);
		if (sim_world->daemon_of(life) != nullptr)
			repeat(c);
	});
}

extern "C" struct loop_call *
loop_interval(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg)
{
	struct loop_call *c = talloc_zero(l, struct loop_call);

	*c = {l->life, interval_us, fn, arg};
	repeat(c);
	return c;
}

extern "C" int
loop_set_interval(struct loop_call *c, int64_t interval_us)
{
	c->interval_us = interval_us;
	return 0;
}

extern "C" int
loop_every(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg)
{
	return loop_interval(l, interval_us, fn, arg) != nullptr ? 0 : -1;
}

/* --- log --- */

extern "C" void
lg_event(enum lg_level level, const char *module, const char *event, ...)
{
	const char *key;
	va_list args;

	if (sim_world == nullptr || !sim_world->verbose || level == LG_DEBUG)
		return;
	fprintf(stderr, "%9.3f %s %s",
	    (double)(sim_world->now - 1000 * kSimS) / (double)kSimS, module,
	    event);
	va_start(args, event);
	while ((key = va_arg(args, const char *)) != nullptr) {
		const char *value = va_arg(args, const char *);

		if (value != nullptr)
			fprintf(stderr, " %s=%s", key, value);
	}
	va_end(args);
	fprintf(stderr, "\n");
}

extern "C" uint64_t
lg_dropped(void)
{
	return 0;
}

extern "C" const char *
lg_i64(int64_t v)
{
	static char text[64][24];
	static unsigned int next;
	char *t = text[next++ % 64];

	snprintf(t, sizeof(text[0]), "%lld", (long long)v);
	return t;
}

/* --- callers --- */

struct SimRequest {
	struct hs_request r = {};
	uint64_t life = 0;
	std::string method;
	std::string path;
	std::string body;
	std::string wait_ms;
	SimReply reply;
	bool answered = false;
};

static std::map<struct hs_request *, std::shared_ptr<SimRequest>> sim_requests;

extern "C" int
hs_listen(const char *address, char *bound, size_t bound_bytes)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	d->listening = address;
	snprintf(bound, bound_bytes, "%s", d->vm.c_str());
	return 0;
}

extern "C" struct http_server *
hs_create(TALLOC_CTX *ctx, struct loop *, int, const struct hs_limits *,
    hs_handler_fn handler, void *arg)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	if (d->listening == "callers") {
		d->handler = handler;
		d->handler_arg = arg;
		d->cell = ((struct cc_frontend *)arg)->c;
	}
	return (struct http_server *)talloc_zero_size(ctx, 1);
}

extern "C" const char *
hs_header(struct hs_request *req, const char *name)
{
	auto found = sim_requests.find(req);

	if (found == sim_requests.end())
		return nullptr;
	if (strcmp(name, "Host") == 0)
		return "host";
	return found->second->wait_ms.c_str();
}

extern "C" const char *
hs_query(struct hs_request *, const char *)
{
	return nullptr;
}

extern "C" bool
hs_caller_has_left(struct hs_request *req)
{
	auto found = sim_requests.find(req);

	return found == sim_requests.end() || found->second->answered;
}

extern "C" void
hs_respond(struct hs_request *req, int status, const char *, const void *body,
    size_t body_bytes, const struct hs_header *, size_t)
{
	auto found = sim_requests.find(req);
	std::string text((const char *)body, body_bytes);
	std::shared_ptr<SimRequest> r;

	if (found == sim_requests.end())
		return;
	r = found->second;
	sim_requests.erase(found);
	sim_world->after(kLatency, [=] {
		if (r->answered)
			return;
		r->answered = true;
		r->reply(status, text);
	});
}

void
SimWorld::call(size_t index, const std::string &method, const std::string &path,
    const std::string &body, int64_t wait_us, SimReply reply)
{
	auto r = std::make_shared<SimRequest>();
	SimDaemon *d = daemons[index].get();

	r->life = d->life;
	r->method = method;
	r->path = path;
	r->body = body;
	r->wait_ms = std::to_string(wait_us / kSimMs);
	r->reply = std::move(reply);
	r->r.method = r->method.c_str();
	r->r.path = r->path.c_str();
	r->r.body = r->body.c_str();
	r->r.body_bytes = r->body.size();
	after(wait_us, [r] {
		if (r->answered)
			return;
		r->answered = true;
		r->reply(0, "");
	});
	if (!d->up)
		return;
	after_in(d->life, kLatency, [d, r] {
		sim_requests[&r->r] = r;
		d->handler(&r->r, d->handler_arg);
	});
}

/* --- links between daemons --- */

struct peer_net {
	uint64_t life;
	struct peer_hooks hooks;
	void *arg;
	Currant__Hello hello;
	uint64_t next_serial;
};

struct peer_link {
	struct peer_net *net;
	uint64_t life;
	uint64_t serial;
	uint64_t other_life;
	struct peer_link *other;
	char vm[64];
	char address[64];
	bool established;
	bool refused;
	bool closing;
};

/* Open links; others point to memory that is freed. */
static std::set<struct peer_link *> sim_links;

static struct peer_link *
link_create(struct peer_net *net)
{
	struct peer_link *link = talloc_zero(net, struct peer_link);

	link->net = net;
	link->life = net->life;
	link->serial = ++net->next_serial;
	sim_links.insert(link);
	return link;
}

static bool
is_open(struct peer_link *link, uint64_t life)
{
	return sim_links.count(link) > 0 && link->life == life &&
	    sim_world->daemon_of(life) != nullptr;
}

static void
close_later(struct peer_link *link, int64_t us, bool refused)
{
	uint64_t life = link->life;

	sim_world->after_in(life, us, [=] {
		if (!is_open(link, life))
			return;
		link->refused = refused;
		peer_close(link);
	});
}

extern "C" struct peer_net *
peer_create(TALLOC_CTX *ctx, struct loop *l, int, const Currant__Hello *hello,
    const struct peer_hooks *hooks, void *arg)
{
	struct peer_net *net = talloc_zero(ctx, struct peer_net);

	net->life = l->life;
	net->hooks = *hooks;
	net->arg = arg;
	net->hello = *hello;
	sim_world->daemon_of(l->life)->net = net;
	return net;
}

static void
establish(struct peer_link *link, struct peer_link *other, const SimDaemon &d)
{
	link->other = other;
	link->other_life = other->life;
	snprintf(link->vm, sizeof(link->vm), "%s", d.vm.c_str());
	link->established = true;
}

extern "C" struct peer_link *
peer_connect(struct peer_net *net, const char *address)
{
	struct peer_link *link = link_create(net);
	SimDaemon *from = sim_world->daemon_of(net->life);
	SimDaemon *to = nullptr;
	uint64_t life = net->life;

	snprintf(link->address, sizeof(link->address), "%s", address);
	for (auto &d : sim_world->daemons)
		to = d->vm == address ? d.get() : to;
	if (to == nullptr || !to->powered ||
	    !sim_world->reaches(from->domain, to->domain)) {
		close_later(link, kLinkTimeout, false);
		return link;
	}
	if (!to->up) {
		close_later(link, kLatency, true);
		return link;
	}
	sim_world->after_in(life, kLatency, [=] {
		if (!is_open(link, life) || !to->up)
			return;
		struct peer_link *other = link_create(to->net);

		establish(link, other, *to);
		establish(other, link, *from);
	});
	return link;
}

extern "C" bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	struct peer_link *other = link->other;
	uint64_t life = link->other_life;
	size_t bytes;
	uint8_t *data;
	SimDaemon *from = sim_world->daemon_of(link->life);
	SimDaemon *to = sim_world->daemon_of(life);

	if (link->closing || !link->established)
		return false;
	/* Bytes that a cut holds up are lost with the connection. */
	if (to == nullptr || !sim_world->reaches(from->domain, to->domain)) {
		close_later(link, kLinkTimeout, false);
		return true;
	}
	data = fr_pack(frame, &bytes);
	std::string text((const char *)data, bytes);
	free(data);
	sim_world->after_in(life, kLatency, [=] {
		Currant__Frame *copy;
		size_t used;

		if (!is_open(other, life) ||
		    fr_unpack((const uint8_t *)text.data(), text.size(), &used,
			&copy) != FR_OK)
			return;
		other->net->hooks.on_frame(other, copy, other->net->arg);
		currant__frame__free_unpacked(copy, NULL);
	});
	return true;
}

extern "C" bool
peer_established(const struct peer_link *link)
{
	return link->established;
}

extern "C" bool
peer_refused(const struct peer_link *link)
{
	return link->refused;
}

extern "C" const char *
peer_vm(const struct peer_link *link)
{
	return link->vm;
}

extern "C" const char *
peer_address(const struct peer_link *link)
{
	return link->address;
}

extern "C" uint64_t
peer_serial(const struct peer_link *link)
{
	return link->serial;
}

extern "C" struct peer_link *
peer_find(struct peer_net *net, uint64_t serial)
{
	for (struct peer_link *link : sim_links) {
		if (link->net == net && link->serial == serial)
			return link;
	}
	return nullptr;
}

extern "C" void
peer_close(struct peer_link *link)
{
	uint64_t life = link->life;

	if (link->closing)
		return;
	link->closing = true;
	sim_links.erase(link);
	if (link->established && is_open(link->other, link->other_life))
		close_later(link->other, kLatency, false);
	link->net->hooks.on_closed(link, link->net->arg);
	sim_world->after_in(life, 0, [link] { talloc_free(link); });
}

void
SimWorld::kill(size_t index, bool power)
{
	SimDaemon &d = *daemons[index];
	std::vector<struct peer_link *> gone;

	if (!d.up)
		return;
	for (struct peer_link *link : sim_links) {
		if (link->life == d.life)
			gone.push_back(link);
	}
	d.up = false;
	d.powered = !power;
	d.trouble_us = std::max(d.trouble_us, now);
	for (struct peer_link *link : gone) {
		if (link->established && is_open(link->other, link->other_life))
			close_later(link->other,
			    power ? kLinkTimeout : kLatency, false);
		sim_links.erase(link);
	}
	for (auto r = sim_requests.begin(); r != sim_requests.end();)
		r = r->second->life == d.life ? sim_requests.erase(r)
					      : std::next(r);
	talloc_free(d.cell);
	d.cell = nullptr;
}

SimWorld::~SimWorld()
{
	for (auto &d : daemons)
		talloc_free(d->cell);
	sim_links.clear();
	sim_requests.clear();
	sim_world = nullptr;
}
