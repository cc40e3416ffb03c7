#include "sim_internal.h"

#include <algorithm>

namespace
{

constexpr int64_t kOrderTimeout = 250 * kSimMs;
constexpr int64_t kRenewalSlack = 700 * kSimMs;
/* A call may be carried out so late. */
constexpr int64_t kMaxLate = 12 * kSimS;
constexpr int64_t kStopTime = 50 * kSimMs;
/* Of tasks that last. */
constexpr int64_t kNoEnd = 100000 * kSimS;

} // namespace

std::string
sim_task_name(const struct jb_ref &ref)
{
	return std::string(ref.job) + "." + std::to_string(ref.occurrence) +
	    "." + std::to_string(ref.step) + "." + std::to_string(ref.index);
}

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
	std::vector<SimWaiting> waiting;
	waiting.swap(w.waiting);
	for (auto &call : waiting)
		call.answer();
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
			    w->domain + " " + std::to_string(w->born_us) + " " +
				std::to_string(w->clock_began_ms) + " " +
				w->vm);
		} else if (now > w->seen_us + 3 * kHeartbeat) {
			store.remove("w/" + w->id);
		}
	}
	cancelled.check();
	after(kTick, [this] { tick(); });
}

void
SimWorld::crash(size_t index)
{
	SimWorker &w = *workers[index];

	cancelled.on_disruption(0);
	w.alive = false;
	w.life++;
	w.running.clear();
	w.ends.clear();
	std::vector<SimWaiting> waiting;
	waiting.swap(w.waiting);
	for (auto &call : waiting)
		call.send_again();
}

int64_t
SimWorld::lateness_us(uint32_t per_mille)
{
	if (per_mille == 0 || late_rng() % 1000 >= per_mille)
		return 0;
	return (int64_t)(late_rng() % (uint64_t)kMaxLate) + 1;
}

void
SimWorld::arrive(SimWorker &w, int64_t sent_us, std::function<void()> carry_out)
{
	if (w.alive)
		carry_out();
	else
		w.retries.push_back({sent_us, std::move(carry_out)});
}

/* A connection attempt is tried again about a second after the last one. */
void
SimWorld::reconnect(SimWorker &w)
{
	std::vector<SimRetry> retries;

	retries.swap(w.retries);
	for (const SimRetry &r : retries) {
		int64_t us = (int64_t)(800 + late_rng() % 400) * kSimMs;

		if (now + us > r.sent_us + kMaxLate)
			continue;
		after(us, [this, &w, r] { arrive(w, r.sent_us, r.carry_out); });
	}
}

void
SimWorld::revive(size_t index)
{
	SimWorker &w = *workers[index];

	if (w.alive)
		return;
	cancelled.on_disruption(0);
	w.alive = true;
	w.clock_began_ms =
	    clocks.next_ms(sim_clock_ms(w.born_us, w.clock_began_ms));
	w.born_us = now;
	w.token = 0;
	w.lease_until_us = 0;
	w.next_end = 0;
	w.barred.clear();
	w.seen_us = now - kHeartbeat;
	reconnect(w);
}

void
SimWorld::fail_a_run(size_t index)
{
	SimWorker &w = *workers[index];

	if (!w.alive || w.running.empty())
		return;
	std::string task = w.running.begin()->first;
	end_run(w, task, WP_END_FAILED);
}

void
SimWorld::begin_on_vm_of(size_t index)
{
	auto wk = std::make_unique<SimWorker>();

	crash(index);
	wk->id = "w" + std::to_string(workers.size());
	wk->vm = workers[index]->vm;
	wk->domain = workers[index]->domain;
	wk->born_us = now;
	wk->clock_began_ms = clocks.first_ms();
	wk->seen_us = now - kHeartbeat;
	workers.push_back(std::move(wk));
}

int64_t
sim_clock_ms(int64_t born_us, int64_t began_ms)
{
	return began_ms + (sim_world->now - born_us) / kSimMs;
}

static int64_t
clock_ms(const SimWorker &w)
{
	return sim_clock_ms(w.born_us, w.clock_began_ms);
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
	int64_t until_us =
	    (deadline_clock_ms - w.clock_began_ms) * kSimMs + w.born_us;
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
    int64_t deadline_clock_ms, int64_t work_us, const std::string &ticket,
    uint64_t token, bool late)
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
	if (sim_world->options.slow_advice && !sim_is_valid_ticket(ticket, w))
		return WP_REFUSED_TICKET;
	if (work_us == 0)
		work_us = kNoEnd;
	w.running[task] = {
	    run, sim_world->now, sim_world->now + work_us, 0, 1000, late};
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
	int64_t sent_us = sim_world->now;
	int64_t late_us = sim_world->lateness_us(sim_world->late_per_mille);
	int64_t work_us = o->payload != nullptr ? atoll(o->payload) : 0;
	std::string ticket = o->ticket != nullptr ? o->ticket : "";
	SimConnection c = sim_connect(*d, o->worker);

	auto no_answer = [=] {
		sim_world->after_in(
		    life, kOrderTimeout, [=] { done(WP_NO_ANSWER, 0, arg); });
	};
	if (w == nullptr || !sim_world->reaches(d->domain, w->domain)) {
		no_answer();
		return;
	}
	/* Any life under the worker's id carries it out. */
	auto carry_out = [=](bool late) {
		return kind == WP_ORDER_START
		    ? start_run(*d, *w, ref, run, deadline_ms, work_us, ticket,
			  token, late)
		    : stop_run(*w, ref, run, token);
	};
	auto arrive_late = [=] {
		sim_world->arrive(*w, sent_us, [=] {
			if (sim_world->reaches(d->domain, w->domain))
				carry_out(true);
		});
	};
	if (sim_world->loses_call() || sim_loses_call(*d, c)) {
		no_answer();
		return;
	}
	if (late_us > 0) {
		no_answer();
		sim_world->after(late_us, arrive_late);
		return;
	}
	sim_world->after(kLatency, [=] {
		if (!w->alive) {
			no_answer();
			arrive_late();
			return;
		}
		enum wp_order_result result = carry_out(false);
		if (!sim_world->reaches(w->domain, d->domain) ||
		    sim_world->loses_answer() || sim_loses_answer(*d, c)) {
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
	int64_t sent_us = sim_world->now;
	int64_t late_us = sim_world->lateness_us(std::max(
	    sim_world->late_per_mille, sim_world->late_renewals_per_mille));
	auto answered = std::make_shared<bool>(false);
	int64_t timeout_us = r.wait_ms * kSimMs + kRenewalSlack;
	SimConnection c = sim_connect(*d, target->id);

	sim_world->after_in(life, timeout_us, [=] {
		if (*answered)
			return;
		*answered = true;
		done(WP_NO_ANSWER, nullptr, arg);
	});
	auto reply = [=](enum wp_order_result result) {
		if (!sim_world->reaches(w->domain, d->domain) ||
		    sim_world->loses_answer() || sim_loses_answer(*d, c))
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
	if (w == nullptr || !sim_world->reaches(d->domain, w->domain) ||
	    sim_world->loses_call() || sim_loses_call(*d, c))
		return;
	/* Whether it has; to any life under the worker's id. */
	auto carry_out = [=] {
		if (!take_token(*w, token))
			return false;
		acknowledge(*w, r.acked_end);
		if (r.deadline_clock_ms > 0)
			extend_lease(*w, r.deadline_clock_ms);
		return true;
	};
	auto arrive_late = [=] {
		sim_world->arrive(*w, sent_us, [=] {
			if (sim_world->reaches(d->domain, w->domain))
				carry_out();
		});
	};
	if (late_us > 0) {
		sim_world->after(late_us, arrive_late);
		return;
	}
	sim_world->after(kLatency, [=] {
		uint32_t worker_life = w->life;

		if (!w->alive) {
			arrive_late();
			return;
		}
		if (!carry_out()) {
			reply(WP_REFUSED_STALE_TOKEN);
			return;
		}
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
		auto again = [=] {
			if (!*sent)
				arrive_late();
		};
		w->waiting.push_back({once, again});
		sim_world->after(r.wait_ms * kSimMs, once);
	});
}

const struct fl_worker_ops sim_worker_ops = {sim_order, sim_renew};
