#include "takeover_model.h"

#include <algorithm>

namespace
{

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;
constexpr int64_t kTick = 10 * kMs;
constexpr int64_t kFullPass = 20 * kMs;
constexpr int64_t kCapacity = 4000;
constexpr int64_t kCpu = 1000;
/* As the cell does it: leases of owners and workers, and their limits. */
constexpr int64_t kOwnerLease = 1200 * kMs;
constexpr int64_t kOwnerRenewal = 350 * kMs;
constexpr int64_t kWorkerLease = 3400 * kMs;
constexpr int64_t kStartLimit = 6 * kS;
constexpr int64_t kOwnerLimit = 10 * kS;
constexpr int64_t kOrderTimeout = 250 * kMs;
constexpr int64_t kTimeout = 700 * kMs;
constexpr int64_t kStopTime = 60 * kMs;
constexpr int64_t kGangTimeout = 2 * kS;
constexpr int64_t kMaxLate = 12 * kS;
/* An overdue reply is awaited for so long. */
constexpr int64_t kMaxOverdue = 3 * kS;
constexpr int64_t kNever = INT64_MAX;
constexpr const char *kUnadvised = "w3";
constexpr const char *kKinds[] = {"big", "small"};
/* One of them may be the one that is not approved. */
constexpr size_t kMinOfAKind = 4;
constexpr int64_t kMaxHoldMs = 10000;
constexpr uint32_t kMaxAttempts = 3;
constexpr uint32_t kAdviceValidMs = 2000;
/* Workers report this often; a capacity that has shrunk counts later. */
constexpr int64_t kReport = 1500 * kMs;
constexpr int64_t kReportValidMs = 4200;
constexpr int64_t kShrink = 4500 * kMs;
constexpr int64_t kForgetEvery = 2 * kS;
/* A new incarnation has got a stop by then, even if some are lost. */
constexpr int64_t kRuledOut = 2 * kS;

} // namespace

TakeoverModel::TakeoverModel(uint64_t seed) : rng(seed)
{
}

TakeoverModel::~TakeoverModel()
{
	for (auto &o : owners)
		talloc_free(o.second->pool);
}

uint64_t
TakeoverModel::random(uint64_t below)
{
	return below > 0 ? rng() % below : 0;
}

bool
TakeoverModel::chance(uint32_t per_mille)
{
	return random(1000) < per_mille;
}

int64_t
TakeoverModel::delay()
{
	return (int64_t)(1 + random(chance(100) ? 120 : 8)) * kMs;
}

void
TakeoverModel::after(int64_t us, std::function<void()> action)
{
	events.push({now + us, event_count++, std::move(action)});
}

/* Answers reach an owner once it is no longer frozen; a later one not at all. */
void
TakeoverModel::to_owner(
    int number, uint64_t token, std::function<void(ModelOwner &)> f)
{
	ModelOwner &o = *owners[number];

	if (o.pool == nullptr || o.token != token || !o.alive)
		return;
	if (now < o.frozen_until_us)
		o.inbox.push_back(
		    [this, number, token, f] { to_owner(number, token, f); });
	else
		f(o);
}

ModelOwner *
TakeoverModel::owner()
{
	auto found = owners.find(current);

	if (found == owners.end() || found->second->pool == nullptr ||
	    found->second->token != stored_token)
		return nullptr;
	return found->second.get();
}

std::string
TakeoverModel::task_name(const std::string &job, uint32_t step, uint32_t index)
{
	return job + "." + std::to_string(step) + "." + std::to_string(index);
}

static struct jb_ref
ref_of(const std::string &task)
{
	struct jb_ref ref = {};

	snprintf(ref.job, sizeof(ref.job), "%s", task.substr(0, 16).c_str());
	sscanf(task.c_str() + 17, "%u.%u", &ref.step, &ref.index);
	return ref;
}

ModelStep *
TakeoverModel::find_step(const std::string &task)
{
	struct jb_ref ref = ref_of(task);

	return &jobs[ref.job].steps[ref.step];
}

bool
TakeoverModel::is_running(const std::string &task)
{
	for (auto &w : workers) {
		for (auto &r : w.second.running) {
			if (w.second.alive && r.first.first == task)
				return true;
		}
	}
	return false;
}

size_t
TakeoverModel::running_count()
{
	size_t n = 0;

	for (auto &w : workers)
		n += hears(w.second) ? w.second.running.size() : 0;
	return n;
}

size_t
TakeoverModel::slot_count()
{
	size_t n = 0;

	for (auto &w : workers)
		n += hears(w.second) ? kCapacity / kCpu : 0;
	return n;
}

bool
TakeoverModel::is_gang(const std::string &task)
{
	return (find_step(task)->flags & JB_GANG) != 0;
}

bool
TakeoverModel::is_done(const std::string &task)
{
	return !done[task].empty();
}

/* One end of a gang that completed stands for all its members. */
bool
TakeoverModel::is_step_done(const ModelJob &job, uint32_t step, uint32_t index)
{
	bool any = false;

	if (!(job.steps[step].flags & JB_GANG))
		return is_done(task_name(job.id, step, index));
	for (uint32_t i = 0; i < job.steps[step].count; i++)
		any |= is_done(task_name(job.id, step, i));
	return any;
}

bool
TakeoverModel::is_visibly_done(const std::string &task)
{
	for (const ModelKnownEnd &d : done[task]) {
		const ModelWorker &w = workers[d.worker];

		if (d.noted || (hears(w) && w.incarnation == d.incarnation))
			return true;
	}
	return false;
}

bool
TakeoverModel::is_ready(const ModelJob &job, uint32_t step, bool visibly)
{
	for (uint32_t before : job.steps[step].after) {
		for (uint32_t i = 0; i < job.steps[before].count; i++) {
			std::string name = task_name(job.id, before, i);

			if (visibly ? !is_visibly_done(name)
				    : !is_step_done(job, before, i))
				return false;
		}
	}
	return true;
}

/* --- Workers --- */

void
TakeoverModel::add_worker()
{
	ModelWorker w;

	w.id = "w" + std::to_string(next_worker++);
	w.born_us = now - (int64_t)random(1000) * kS;
	w.incarnation = w.born_us / kMs;
	w.rate_per_mille = 980 + (int64_t)random(21);
	w.kind = kKinds[next_worker % 2];
	report_worker(w);
	workers[w.id] = w;
	discovery_changed(w.id);
}

bool
TakeoverModel::hears(const ModelWorker &w) const
{
	return w.alive && now >= w.silent_until_us;
}

int64_t
TakeoverModel::clock_ms(const ModelWorker &w) const
{
	return 1 + (now - w.born_us) / kMs * w.rate_per_mille / 1000;
}

void
TakeoverModel::end_run(ModelWorker &w, const std::string &task, uint32_t number,
    enum wp_run_outcome outcome)
{
	ModelRun run = w.running[{task, number}];
	uint32_t flags = find_step(task)->flags;

	w.running.erase({task, number});
	w.barred[task] = std::max(w.barred[task], run.run);
	w.ends.push_back({++w.last_end, task, run.run, outcome});
	if (outcome == WP_END_DONE && !(flags & JB_LONG_RUNNING))
		done[task].push_back({w.id, w.incarnation, w.last_end, false,
		    false, false, run.astray});
	if (outcome == WP_END_FAILED)
		failed[task].push_back({w.id, w.incarnation, w.last_end, false,
		    false, false, run.astray});
	if (!(flags & JB_GANG) || outcome == WP_END_DONE)
		return;
	/* The other members of the run end as well. */
	struct jb_ref ref = ref_of(task);
	for (uint32_t i = 0; i < find_step(task)->count; i++) {
		std::string other = task_name(ref.job, ref.step, i);

		for (auto &v : workers) {
			auto r = v.second.running.find({other, number});
			if (v.second.alive && r != v.second.running.end() &&
			    r->second.outcome != WP_END_PEER_ENDED) {
				r->second.outcome = WP_END_PEER_ENDED;
				r->second.ends_us = now;
			}
		}
	}
}

void
TakeoverModel::tick_worker(ModelWorker &w)
{
	std::vector<
	    std::pair<std::pair<std::string, uint32_t>, enum wp_run_outcome>>
	    ended;
	bool expired = clock_ms(w) > w.lease_end_ms;

	if (!w.alive)
		return;
	if (capacity_changes && now >= w.report_at_us && hears(w)) {
		report_worker(w);
		discovery_changed(w.id);
	}
	for (auto &r : w.running) {
		if (expired)
			ended.push_back({r.first, WP_END_LEASE_EXPIRED});
		else if (now >= r.second.ends_us)
			ended.push_back({r.first, r.second.outcome});
	}
	for (auto &e : ended)
		end_run(w, e.first.first, e.first.second, e.second);
	if (expired)
		expire_ends(w);
}

void
TakeoverModel::expire_ends(const ModelWorker &w)
{
	for (auto *ends : {&done, &failed}) {
		for (auto &rows : *ends) {
			for (ModelKnownEnd &e : rows.second)
				e.expired |= e.worker == w.id &&
				    e.incarnation == w.incarnation && !e.noted;
		}
	}
}

void
TakeoverModel::acknowledge(ModelWorker &w, uint64_t number)
{
	w.ends.erase(std::remove_if(w.ends.begin(), w.ends.end(),
			 [&](const ModelEnd &e) { return e.number <= number; }),
	    w.ends.end());
	for (auto *ends : {&done, &failed}) {
		for (auto &rows : *ends) {
			for (ModelKnownEnd &e : rows.second) {
				if (e.worker != w.id || e.noted || e.expired ||
				    e.incarnation != w.incarnation ||
				    e.number > number)
					continue;
				e.noted = true;
				if (ends == &failed)
					check_attempts(rows.first);
				else if (e.started_after)
					violations.push_back(
					    "started after it had completed: " +
					    rows.first);
			}
		}
	}
}

/* The start after the last attempt is wrong, once all these ends are noted. */
void
TakeoverModel::check_attempts(const std::string &task)
{
	uint32_t count = 0;

	if (find_step(task)->flags &
	    (JB_LONG_RUNNING | JB_GANG | JB_SPECULATIVE))
		return;
	for (const ModelKnownEnd &e : failed[task]) {
		count += e.noted;
		if (e.noted && count >= kMaxAttempts && e.started_after)
			violations.push_back("no attempts left: " + task);
	}
}

/* Since when the owner knows this incarnation of a worker. */
int64_t
TakeoverModel::heard_at_us(const ModelWorker &w)
{
	const ModelHeard &heard = owners[current]->heard[w.id];

	return heard.incarnation == w.incarnation ? heard.at_us : kNever;
}

/* How long its owner could tell this incarnation to stop things. */
void
TakeoverModel::count_known_time(ModelWorker &w)
{
	if (owner() == nullptr || heard_at_us(w) == kNever)
		w.known_for_us = 0;
	else if (hears(w) && now >= owner()->frozen_until_us)
		w.known_for_us += kTick;
}

void
TakeoverModel::report(bool fault, const std::string &what)
{
	(fault ? violations : unavoidable).push_back(what);
}

/*
 * A start that was sent to an earlier incarnation goes astray: it may be carried
 * out by the next one. Before the owner has heard of that one, nothing rules it
 * out; then it is the owner's fault if it has not.
 */
void
TakeoverModel::check_twice(ModelWorker &w, const ModelOrder &order)
{
	bool astray = order.incarnation != w.incarnation;
	std::string when = " at " + std::to_string(now / kMs) + " on " + w.id;

	for (auto &v : workers) {
		for (auto &other : v.second.running) {
			bool fault = true;

			if (!v.second.alive || other.first.first != order.task)
				continue;
			if (astray)
				fault = other.second.sent_us > heard_at_us(w);
			else if (other.second.astray)
				fault = order.sent_us > heard_at_us(v.second);
			report(fault,
			    "runs twice: " + order.task + when + ", " +
				v.first);
		}
	}
}

/*
 * Whether a start after that end is the owner's fault: it knew of the end, or of
 * the incarnation on which the start or the run that ended went astray.
 */
bool
TakeoverModel::is_start_after_end(
    ModelWorker &w, const ModelOrder &order, const ModelKnownEnd &end)
{
	const ModelWorker &v = workers[end.worker];

	if (order.incarnation != w.incarnation)
		return w.known_for_us > kRuledOut;
	if (!end.astray || end.noted)
		return true;
	return v.incarnation == end.incarnation &&
	    order.sent_us > heard_at_us(v);
}

void
TakeoverModel::check_ends(ModelWorker &w, const ModelOrder &order)
{
	std::string when = " at " + std::to_string(now / kMs) + " on " + w.id;

	for (ModelKnownEnd &d : done[order.task]) {
		bool fault = is_start_after_end(w, order, d);

		if (d.noted)
			report(fault,
			    "started though completed: " + order.task + when);
		d.started_after |= fault;
	}
	for (ModelKnownEnd &f : failed[order.task])
		f.started_after |= is_start_after_end(w, order, f);
}

/*
 * What is being stopped there still counts, whichever task it is of. Starts that
 * go astray may take more than there is, but nothing may be placed beside them.
 */
void
TakeoverModel::check_placement(
    ModelWorker &w, const ModelOrder &order, const ModelStep &step)
{
	const std::string &task = order.task;
	std::string name = task.substr(0, task.rfind('.'));
	std::string when = " at " + std::to_string(now / kMs) + " on " + w.id;
	bool heard = heard_at_us(w) != kNever;
	bool placed = order.incarnation == w.incarnation;
	bool any_placed = placed;
	bool any_placed_beside = placed;
	uint32_t beside = 0;
	int64_t used = 0;

	for (auto &r : w.running) {
		const std::string &other = r.first.first;

		used += r.second.cpu;
		any_placed |= !r.second.astray;
		if (other.substr(0, other.rfind('.')) != name)
			continue;
		beside++;
		any_placed_beside |= !r.second.astray;
	}
	if (used + kCpu > largest_cpu(w))
		report(any_placed && heard, "over capacity: " + task + when);
	if (step.max_per_worker > 0 && beside >= step.max_per_worker)
		report(any_placed_beside && heard,
		    "too many of its step: " + task + when);
	if (!step.label.empty() && step.label != w.kind)
		report(placed || w.known_for_us > kRuledOut,
		    "without its label: " + task + when);
}

void
TakeoverModel::check_start(
    ModelWorker &w, const ModelOrder &order, const ModelStep &step)
{
	const std::string &task = order.task;
	struct jb_ref ref = ref_of(task);
	std::string when = " at " + std::to_string(now / kMs) + " on " + w.id;

	starts++;
	check_placement(w, order, step);
	if (!is_ready(jobs[ref.job], ref.step))
		violations.push_back("before its turn: " + task + when);
	if (step.flags & JB_SPECULATIVE)
		return;
	check_twice(w, order);
	check_ends(w, order);
	check_attempts(task);
}

void
TakeoverModel::extend_lease(ModelWorker &w, int64_t until_ms)
{
	until_ms = std::min(until_ms, clock_ms(w) + kMaxHoldMs);
	w.lease_end_ms = std::max(w.lease_end_ms, until_ms);
}

enum wp_order_result
TakeoverModel::do_start(ModelWorker &w, const ModelOrder &order)
{
	const struct wp_order &o = order.order;
	const std::string &task = order.task;
	ModelStep *step = find_step(task);
	ModelRun run;

	if (w.running.count({task, o.run}) > 0)
		return WP_ACCEPTED;
	if (o.run <= w.barred[task]) {
		extend_lease(w, o.deadline_clock_ms);
		return WP_REFUSED_STALE_RUN;
	}
	if (clock_ms(w) >= o.deadline_clock_ms)
		return WP_REFUSED_EXPIRED;
	check_start(w, order, *step);
	extend_lease(w, o.deadline_clock_ms);
	run.run = o.run;
	run.cpu = kCpu;
	run.sent_us = order.sent_us;
	run.astray = order.incarnation != w.incarnation;
	run.ends_us = now + (int64_t)(50 + random(1200)) * kMs;
	if (jobs[task.substr(0, 16)].bad && chance(300))
		run.outcome = WP_END_FAILED;
	else if (step->flags & JB_LONG_RUNNING)
		run.ends_us = kNever;
	if (step->flags & JB_GANG) {
		run.outcome = WP_END_GANG_TIMEOUT;
		run.ends_us = now + kGangTimeout;
	}
	w.running[{task, o.run}] = run;
	if (!(step->flags & JB_GANG))
		return WP_ACCEPTED;
	/* The members work once all are present, and complete together. */
	struct jb_ref ref = ref_of(task);
	std::vector<ModelRun *> members;
	for (uint32_t i = 0; i < step->count; i++) {
		std::string name = task_name(ref.job, ref.step, i);
		for (auto &v : workers) {
			auto r = v.second.running.find({name, o.run});
			if (v.second.alive && r != v.second.running.end() &&
			    r->second.outcome == WP_END_GANG_TIMEOUT)
				members.push_back(&r->second);
		}
	}
	if (members.size() < step->count)
		return WP_ACCEPTED;
	int64_t ends_us = now + (int64_t)(200 + random(800)) * kMs;
	for (ModelRun *m : members) {
		m->outcome = WP_END_DONE;
		m->ends_us = ends_us;
	}
	return WP_ACCEPTED;
}

/* Says nothing of the sends before, which may have been carried out. */
bool
TakeoverModel::refuse_repeat(
    ModelWorker &w, const struct wp_order &o, enum wp_order_result *result)
{
	static const enum wp_order_result refusals[] = {WP_REFUSED_UNHEALTHY,
	    WP_REFUSED_NO_RESOURCES, WP_REFUSED_TICKET, WP_REFUSED_MALFORMED};

	if (faults.repeat_refused == 0 || !chance(faults.repeat_refused))
		return false;
	*result = clock_ms(w) >= o.deadline_clock_ms
	    ? WP_REFUSED_EXPIRED
	    : refusals[random(sizeof(refusals) / sizeof(refusals[0]))];
	return true;
}

enum wp_order_result
TakeoverModel::do_order(ModelWorker &w, const ModelOrder &order)
{
	const struct wp_order &o = order.order;
	const std::string &task = order.task;

	if (order.token < w.token)
		return WP_REFUSED_STALE_TOKEN;
	w.token = order.token;
	if (o.kind == WP_ORDER_START)
		return do_start(w, order);
	if (o.kind != WP_ORDER_STOP)
		return WP_ACCEPTED;
	w.barred[task] = std::max(w.barred[task], o.run);
	auto present = w.running.find({task, o.run});
	if (present != w.running.end() && !present->second.stopping) {
		present->second.stopping = true;
		present->second.outcome = WP_END_STOPPED;
		present->second.ends_us = std::min(
		    present->second.ends_us, now + (int64_t)random(kStopTime));
	}
	return WP_ACCEPTED;
}

void
TakeoverModel::end_all_runs(ModelWorker &w)
{
	auto gone = w.running;

	for (auto &r : gone)
		end_run(w, r.first.first, r.first.second, WP_END_LEASE_EXPIRED);
}

/* The new process has the same name; it knows of nothing before. */
void
TakeoverModel::restart_worker(ModelWorker &w)
{
	end_all_runs(w);
	w.alive = false;
	w.token = 0;
	w.lease_end_ms = 0;
	w.last_end = 0;
	w.running.clear();
	w.barred.clear();
	w.ends.clear();
	std::string id = w.id;
	after((int64_t)(100 + random(chance(500) ? 300 : 3000)) * kMs,
	    [this, id] {
		    ModelWorker &again = workers[id];

		    again.alive = true;
		    again.known_for_us = 0;
		    again.born_us = now;
		    again.incarnation = now / kMs;
		    again.listed = true;
		    again.draining = false;
		    discovery_changed(id);
	    });
}

void
TakeoverModel::remove_worker(ModelWorker &w)
{
	std::string id = w.id;

	w.draining = true;
	discovery_changed(id);
	after((int64_t)(300 + random(2000)) * kMs, [this, id] {
		ModelWorker &left = workers[id];

		/* It was started again meanwhile. */
		if (!left.draining)
			return;
		end_all_runs(left);
		left.alive = false;
		left.running.clear();
		left.listed = false;
		discovery_changed(id);
	});
}

/* As for maintenance, which may be called off. */
void
TakeoverModel::evacuate(const std::string &id)
{
	struct wp_worker *w;

	if (owner() == nullptr || now < owner()->frozen_until_us)
		return;
	w = wp_find_worker(owner()->pool, id.c_str());
	if (w == nullptr)
		return;
	w->evacuating = true;
	after((int64_t)random(5000) * kMs, [this] {
		if (owner() != nullptr && now >= owner()->frozen_until_us)
			wp_cancel_evacuations(owner()->pool);
	});
}

void
TakeoverModel::list_worker(ModelOwner &o, const ModelWorker &w)
{
	const std::string &kind = capacity_changes ? w.reported_kind : w.kind;
	struct wp_worker_info info = {w.id.c_str(), "127.0.0.1:1", "a",
	    kind.c_str(), "rack", {w.reported_cpu, 1000, 0}, w.draining, 0,
	    nullptr, capacity_changes ? w.reported_incarnation : w.incarnation,
	    capacity_changes ? w.reported_clock_ms : 0};

	if (w.listed)
		wp_set_worker(o.pool, &info, now);
	else
		wp_unlist_worker(o.pool, w.id.c_str());
}

/* What its entry says of it, and since when. */
void
TakeoverModel::report_worker(ModelWorker &w)
{
	w.reported_cpu = w.cpu;
	w.reported_kind = w.kind;
	w.reported_incarnation = w.incarnation;
	w.reported_clock_ms = clock_ms(w);
	w.report_at_us = now + kReport;
}

void
TakeoverModel::resize_some_worker()
{
	std::vector<std::string> alive = alive_workers();

	if (alive.empty())
		return;
	ModelWorker &w = workers[alive[random(alive.size())]];
	w.sizes.emplace_back(now, w.cpu);
	w.cpu = (int64_t)random(kCapacity / kCpu + 1) * kCpu;
}

/* The largest capacity that a start may still rely on. */
int64_t
TakeoverModel::largest_cpu(const ModelWorker &w) const
{
	int64_t largest = w.cpu;

	for (const auto &size : w.sizes) {
		if (size.first > now - kShrink)
			largest = std::max(largest, size.second);
	}
	return largest;
}

void
TakeoverModel::discovery_changed(const std::string &id)
{
	for (auto &row : owners) {
		int number = row.first;
		uint64_t token = row.second->token;

		to_owner(number, token,
		    [this, id](ModelOwner &o) { list_worker(o, workers[id]); });
	}
}

/* --- Jobs --- */

struct jb_spec *
TakeoverModel::make_spec(const ModelJob &job)
{
	struct jb_spec *s = talloc_zero(nullptr, struct jb_spec);

	snprintf(s->id, sizeof(s->id), "%s", job.id.c_str());
	s->queue = talloc_strdup(s, job.advice ? "advised" : "queue");
	s->pool = talloc_strdup(s, "pool");
	s->payload = talloc_strdup(s, "payload");
	s->step = talloc_zero_array(s, struct jb_step, job.steps.size());
	s->step_count = (uint32_t)job.steps.size();
	for (size_t i = 0; i < job.steps.size(); i++) {
		const ModelStep &from = job.steps[i];
		struct jb_step *to = &s->step[i];

		to->count = from.count;
		to->cpu_mcpu = kCpu;
		to->mem_mb = 1;
		to->estimate_ms = 500;
		to->flags = from.flags | (job.saves ? JB_CHECKPOINTS : 0);
		to->max_per_worker = from.max_per_worker;
		if (!from.label.empty())
			to->label = talloc_strdup(s, from.label.c_str());
		to->after_count = (uint32_t)from.after.size();
		to->after = (uint32_t *)talloc_memdup(
		    s, from.after.data(), from.after.size() * sizeof(uint32_t));
	}
	s->policy.priority = job.priority;
	s->policy.max_attempts = kMaxAttempts;
	s->policy.stretch_milli = 2000;
	if (job.advice) {
		s->policy.advice_valid_ms = kAdviceValidMs;
		s->policy.advice_decide_us = 40 * kMs;
		s->policy.advice_period_us = 2 * kMs;
	}
	return s;
}

void
TakeoverModel::add_job(bool may_be_special)
{
	ModelJob job;
	char id[JB_ID_BYTES];

	if (owner() == nullptr)
		return;
	snprintf(id, sizeof(id), "%016x", next_job++);
	job.id = id;
	job.advice = chance(250);
	job.bad = may_be_special && chance(100);
	job.saves = chance(300);
	job.priority = (uint32_t)random(3);
	uint64_t steps = 1 + random(3);
	for (uint64_t i = 0; i < steps; i++) {
		ModelStep step = {(uint32_t)(1 + random(3)), 0, {}, 0, ""};

		if (i > 0)
			step.after.push_back((uint32_t)(i - 1));
		if (may_be_special && chance(speculative))
			step.flags = JB_SPECULATIVE;
		else if (may_be_special && chance(100))
			step.flags = JB_GANG;
		if (may_be_special && chance(400))
			step.max_per_worker = (uint32_t)(1 + random(2));
		if (may_be_special && chance(200))
			step.label = kKinds[random(2)];
		job.steps.push_back(step);
	}
	if (may_be_special && chance(60)) {
		job.steps[0].count = 12;
		job.steps[0].max_per_worker = 0;
		job.steps[0].label = "";
	}
	if (may_be_special && chance(60))
		job.steps = {{1, JB_LONG_RUNNING, {}, 0, ""}};
	job.revision = ++revision;
	jobs[job.id] = job;
	for (auto &row : owners) {
		std::string name = job.id;

		to_owner(
		    row.first, row.second->token, [this, name](ModelOwner &o) {
			    const ModelJob &j = jobs[name];
			    if (o.token == stored_token &&
				wp_find_job(o.pool, name.c_str()) == nullptr)
				    load_job(o, j, j.revision > o.token);
		    });
	}
}

void
TakeoverModel::cancel_some_job()
{
	std::vector<std::string> open;

	for (auto &j : jobs) {
		if (!jb_has_ended(j.second.state) && !j.second.cancelled)
			open.push_back(j.first);
	}
	if (open.empty())
		return;
	std::string id = open[random(open.size())];
	jobs[id].cancelled = true;
	for (auto &row : owners) {
		to_owner(
		    row.first, row.second->token, [this, id](ModelOwner &o) {
			    struct wp_job *job =
				wp_find_job(o.pool, id.c_str());
			    if (job != nullptr)
				    wp_cancel_job(o.pool, job, now);
		    });
	}
}

void
TakeoverModel::load_job(ModelOwner &o, const ModelJob &job, bool is_new)
{
	struct jb_progress *progress = nullptr;
	struct wp_job *j;

	if (!job.progress.empty())
		progress = jc_unpack_progress(
		    nullptr, job.progress.data(), job.progress.size());
	j = wp_add_job(o.pool, make_spec(job), progress, is_new, 0, now);
	talloc_free(progress);
	if (job.cancelled)
		wp_cancel_job(o.pool, j, now);
}

/* --- Owners --- */

void
TakeoverModel::load_pool(ModelOwner &o, int64_t earlier_us)
{
	struct wp_settings settings = {term - 1, earlier_us,
	    capacity_changes ? kReportValidMs : 0, kMaxHoldMs, near_work_ms};

	o.pool = wp_create(nullptr, "pool", &settings);
	for (const ModelRegistered &r : registry) {
		wp_add_registered_worker(
		    o.pool, r.id.c_str(), "127.0.0.1:1", now);
		if (r.closed)
			wp_close_registered_worker(o.pool, r.id.c_str(),
			    r.tasks.data(), (uint32_t)r.tasks.size());
	}
	if (!registry.empty())
		wp_registry_loaded(o.pool);
	for (auto &w : workers) {
		if (w.second.listed ||
		    wp_find_worker(o.pool, w.first.c_str()) != nullptr) {
			bool listed = w.second.listed;
			w.second.listed = true;
			list_worker(o, w.second);
			w.second.listed = listed;
			list_worker(o, w.second);
		}
	}
	for (auto &j : jobs) {
		if (!jb_has_ended(j.second.state))
			load_job(o, j.second, false);
	}
	if (registry_term + 1 != term)
		return;
	deferred += not_started.size();
	for (const std::string &id : not_started)
		wp_job_never_started(o.pool, id.c_str(), now);
}

void
TakeoverModel::claim()
{
	auto o = std::make_unique<ModelOwner>();
	int64_t last_us = now + kWorkerLease + (term > 0 ? kOwnerLimit : 0);

	if (owners.count(current) > 0 && !owners[current]->alive && chance(500))
		last_us = now + kWorkerLease;
	earlier_until_us = std::max(earlier_until_us, last_us);
	if (term == 0)
		earlier_until_us = 0;
	term++;
	takeovers++;
	stored_token = ++revision;
	stored_sequence = 0;
	lease_until_us = now + kOwnerLease;
	o->number = current = ++owner_count;
	o->token = stored_token;
	o->confirmed_us = now;
	o->renew_at_us = now + kOwnerRenewal;
	o->commit_at_us = now;
	load_pool(*o, earlier_until_us);
	owner_since_us = now;
	owners[current] = std::move(o);
}

void
TakeoverModel::step_down(ModelOwner &o)
{
	talloc_free(o.pool);
	o.pool = nullptr;
	o.commit = nullptr;
	o.alive = false;
}

void
TakeoverModel::renew_ownership(ModelOwner &o)
{
	if (now < o.renew_at_us || now < o.cut_until_us)
		return;
	o.renew_at_us = now + kOwnerRenewal;
	if (o.token != stored_token || now >= lease_until_us) {
		step_down(o);
		return;
	}
	lease_until_us = now + kOwnerLease;
	o.confirmed_us = now;
}

bool
TakeoverModel::apply_commit(const ModelCommit &cm)
{
	if (cm.token != stored_token || now >= lease_until_us)
		return false;
	if (cm.sequence == stored_sequence)
		return true;
	if (cm.sequence != stored_sequence + 1)
		return false;
	stored_sequence = cm.sequence;
	revision++;
	if (cm.has_registry) {
		registry = cm.registry;
		not_started = cm.not_started;
		registry_term = cm.term;
	}
	for (auto &row : cm.progress) {
		ModelJob &job = jobs[row.first];

		if (jb_has_ended(row.second.first) && !jb_has_ended(job.state))
			job.ended_us = now;
		job.state = row.second.first;
		job.progress = row.second.second;
		if (job.state == JB_FAILED && !job.bad && !crashes_fail_jobs)
			violations.push_back("failed for no cause: " + job.id);
		if (job.state != JB_COMPLETED)
			continue;
		for (uint32_t s = 0; s < job.steps.size(); s++) {
			for (uint32_t i = 0; i < job.steps[s].count; i++) {
				if (!is_step_done(job, s, i))
					violations.push_back(
					    "completed too early: " + job.id);
			}
		}
	}
	return true;
}

/* Repeated unchanged until its outcome is known; the store may apply it late. */
void
TakeoverModel::send_commit(ModelOwner &o, std::shared_ptr<ModelCommit> cm)
{
	int number = o.number;
	uint64_t token = o.token;
	bool cut = now < o.cut_until_us;
	bool lost = cut || chance(faults.lost);
	bool late = lost && !cut && chance(500);
	bool unanswered = lost || chance(faults.answer_lost);

	auto again = [this, number, token, cm] {
		to_owner(number, token, [this, cm](ModelOwner &same) {
			if (same.commit == cm)
				send_commit(same, cm);
		});
	};
	if (late)
		after(
		    (int64_t)random(3 * kS), [this, cm] { apply_commit(*cm); });
	if (lost) {
		after(400 * kMs, again);
		return;
	}
	after(delay(), [this, number, token, cm, unanswered, again] {
		bool ok = apply_commit(*cm);

		if (unanswered) {
			after(400 * kMs, again);
			return;
		}
		after(delay(), [this, number, token, cm, ok] {
			to_owner(number, token, [this, cm, ok](ModelOwner &me) {
				if (me.commit != cm)
					return;
				if (!ok) {
					step_down(me);
					return;
				}
				me.commit = nullptr;
				me.commit_at_us = now + 60 * kMs;
				wp_commit_end(me.pool, now);
				if (cm->has_registry)
					wp_registry_end(me.pool);
			});
		});
	});
}

void
TakeoverModel::start_commit(ModelOwner &o)
{
	struct jb_progress progress;
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_job *job;
	TALLOC_CTX *ctx;

	if (o.commit != nullptr || now < o.commit_at_us)
		return;
	if (!wp_is_store_due(o.pool, now) && !o.pool->registry_dirty) {
		wp_commit_begin(o.pool);
		wp_commit_end(o.pool, now);
		return;
	}
	ctx = talloc_new(nullptr);
	auto cm = std::make_shared<ModelCommit>();
	cm->token = o.token;
	cm->sequence = ++o.sequence;
	cm->has_registry = o.pool->registry_dirty;
	if (cm->has_registry) {
		wp_registry_begin(o.pool, now);
		HASH_ITER(hh, o.pool->workers, w, tmp) {
			ModelRegistered r = {w->id, false, {}};

			if (!w->registering)
				continue;
			r.closed = !w->opening;
			if (r.closed)
				r.tasks.assign(w->closed_task,
				    w->closed_task + w->closed_task_count);
			cm->registry.push_back(r);
		}
		cm->term = o.pool->term + 1;
		for (job = o.pool->jobs; job != nullptr;
		     job = (struct wp_job *)job->hh.next) {
			if (wp_is_named(job))
				cm->not_started.push_back(job->spec->id);
		}
	}
	while (cm->progress.size() < 5 &&
	    (job = wp_next_dirty(o.pool, ctx, now, &progress)) != nullptr) {
		size_t bytes;
		uint8_t *value = jc_pack_progress(ctx, &progress, &bytes);

		cm->progress[job->spec->id] = {
		    progress.state, std::vector<uint8_t>(value, value + bytes)};
	}
	wp_commit_begin(o.pool);
	talloc_free(ctx);
	o.commit = cm;
	send_commit(o, cm);
}

void
TakeoverModel::send_orders(ModelOwner &o)
{
	struct wp_order *order;

	while ((order = wp_next_order(o.pool)) != nullptr) {
		std::string id = order->worker;
		std::string task = task_name(
		    order->ref.job, order->ref.step, order->ref.index);
		struct wp_order copy = *order;
		ModelOrder sending = {copy, task, o.token, now,
		    wp_find_worker(o.pool, order->worker)->incarnation_ms};
		int number = o.number;
		uint64_t token = o.token;
		bool lost = chance(faults.lost);
		bool late = chance(faults.late);
		bool unanswered = lost || late || chance(faults.answer_lost);
		bool repeated = copy.kind == WP_ORDER_START &&
		    !sent.insert({task, copy.run}).second;
		auto answered = std::make_shared<bool>(false);

		talloc_free(order);
		auto answer = [=](enum wp_order_result result, int64_t clock) {
			to_owner(number, token, [=](ModelOwner &me) {
				if (*answered)
					return;
				*answered = true;
				wp_on_order_result(
				    me.pool, &copy, result, clock, now);
			});
		};
		after(kOrderTimeout, [=] { answer(WP_NO_ANSWER, 0); });
		if (lost)
			continue;
		after(late ? (int64_t)random(kMaxLate) : delay(), [=] {
			ModelWorker &there = workers[id];
			enum wp_order_result result;

			if (!there.alive || (!late && !hears(there)))
				return;
			if (token < there.token || !repeated ||
			    !refuse_repeat(there, copy, &result))
				result = do_order(there, sending);
			if (unanswered)
				return;
			int64_t clock = clock_ms(there);
			after(delay(), [=] { answer(result, clock); });
		});
	}
}

void
TakeoverModel::fail_renewal(
    std::shared_ptr<ModelRenewal> call, enum wp_order_result result)
{
	to_owner(call->owner, call->token, [=](ModelOwner &me) {
		struct wp_worker *w =
		    wp_find_worker(me.pool, call->worker.c_str());

		if (call->ended || call->overdue)
			return;
		call->overdue = result == WP_OVERDUE;
		call->ended = !call->overdue;
		wp_on_renewal_failed(me.pool, w, result, now);
	});
}

/* The lists are made now, and may arrive long after later ones. */
void
TakeoverModel::reply_to_renewal(
    std::shared_ptr<ModelRenewal> call, int64_t takes_us)
{
	ModelWorker &w = workers[call->worker];
	auto running = std::make_shared<std::vector<struct wp_running_task>>();
	auto ends = std::make_shared<std::vector<struct wp_run_end>>();
	struct wp_renewal_reply reply = {};

	if (!hears(w) || w.token != call->token)
		return;
	for (auto &run : w.running)
		running->push_back(
		    {ref_of(run.first.first), run.first.second, nullptr, 0, 0});
	for (const ModelEnd &e : w.ends)
		ends->push_back(
		    {e.number, ref_of(e.task), e.run, e.outcome, nullptr});
	reply.incarnation_ms = w.incarnation;
	reply.clock_ms = clock_ms(w);
	after(takes_us, [=] {
		to_owner(call->owner, call->token, [=](ModelOwner &me) {
			struct wp_worker *to =
			    wp_find_worker(me.pool, call->worker.c_str());
			struct wp_renewal_reply a = reply;

			if (call->ended)
				return;
			call->ended = true;
			me.hear(call->worker, a.incarnation_ms, now);
			a.running = running->data();
			a.running_count = (uint32_t)running->size();
			a.end = ends->data();
			a.end_count = (uint32_t)ends->size();
			if (call->overdue)
				wp_on_overdue_reply(me.pool, to, &a, now);
			else
				wp_on_renewal(me.pool, to, &a, now);
		});
	});
}

void
TakeoverModel::send_renewals(ModelOwner &o)
{
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_renewal renewal;

	HASH_ITER(hh, o.pool->workers, w, tmp) {
		std::string id = w->id;
		int64_t incarnation = w->incarnation_ms;
		uint64_t token = o.token;

		if (!wp_renewal_due(o.pool, w, now, &renewal))
			continue;
		bool lost = chance(faults.lost);
		bool late = lost && chance(faults.late * 3);
		bool unanswered = lost || chance(faults.answer_lost);
		int64_t takes = chance(faults.answer_late)
		    ? (int64_t)random(kMaxOverdue)
		    : delay();
		auto call = std::make_shared<ModelRenewal>();
		*call = {o.number, o.token, id, false, false};
		after(kTimeout + renewal.wait_ms * kMs,
		    [=] { fail_renewal(call, WP_OVERDUE); });
		if (lost && !late)
			continue;
		struct wp_renewal r = renewal;
		after(late ? (int64_t)random(kMaxLate) : delay(), [=] {
			ModelWorker &there = workers[id];

			if (!there.alive || (!late && !hears(there)))
				return;
			if (token < there.token) {
				after(delay(), [=] {
					fail_renewal(
					    call, WP_REFUSED_STALE_TOKEN);
				});
				return;
			}
			there.token = token;
			if (clock_ms(there) <= there.lease_end_ms ||
			    there.running.empty())
				extend_lease(there, r.deadline_clock_ms);
			/* Of a later incarnation, the ends are others. */
			if (incarnation == there.incarnation)
				acknowledge(there, r.acked_end);
			if (unanswered)
				return;
			int64_t pause =
			    std::min<int64_t>(r.wait_ms, random(200)) * kMs;
			after(pause, [=] { reply_to_renewal(call, takes); });
		});
	}
}

/* All workers but one are approved. */
void
TakeoverModel::send_advice_requests(ModelOwner &o)
{
	struct wp_advice_request request;

	while (wp_next_advice_request(o.pool, now, &request)) {
		struct wp_advice_request copy = request;
		auto named = std::make_shared<std::vector<std::string>>();
		int number = o.number;
		uint64_t token = o.token;
		bool ok = !chance(faults.lost + faults.answer_lost);

		for (uint32_t i = 0; i < request.worker_count; i++)
			named->push_back(request.worker[i]);
		after(ok ? 50 * kMs : kTimeout, [=] {
			to_owner(number, token, [=](ModelOwner &me) {
				struct wp_advice_request r = copy;
				std::vector<struct wp_approval> good;

				for (size_t i = 0; i < named->size(); i++) {
					const std::string &id = (*named)[i];

					r.worker[i] = id.c_str();
					if (id != kUnadvised)
						good.push_back(
						    {id.c_str(), "ticket"});
				}
				wp_on_advice(me.pool, &r, ok, good.data(),
				    (uint32_t)good.size(), now, now);
			});
		});
	}
}

void
TakeoverModel::tick_owner(ModelOwner &o)
{
	if (o.pool == nullptr || now < o.frozen_until_us)
		return;
	std::vector<std::function<void()>> inbox;
	inbox.swap(o.inbox);
	if (now - o.confirmed_us > kOwnerLimit) {
		step_down(o);
		return;
	}
	for (auto &f : inbox)
		f();
	if (o.pool == nullptr)
		return;
	renew_ownership(o);
	if (o.pool == nullptr)
		return;
	o.pool->draining = now - o.confirmed_us > kStartLimit;
	o.pool->ownership_unconfirmed = now - o.confirmed_us >= kOwnerLease;
	if (now >= o.full_pass_at_us) {
		o.full_pass_at_us = now + kFullPass;
		wp_tick(o.pool, now);
	} else {
		wp_schedule(o.pool, now);
	}
	if (o.pool->superseded) {
		step_down(o);
		return;
	}
	forget_ended_jobs(o);
	send_orders(o);
	send_advice_requests(o);
	send_renewals(o);
	start_commit(o);
}

/* As the cell does it, once their end is stored for a while. */
void
TakeoverModel::forget_ended_jobs(ModelOwner &o)
{
	struct wp_job *job;
	struct wp_job *next;

	if (now < o.forget_at_us)
		return;
	o.forget_at_us = now + kForgetEvery;
	HASH_ITER(hh, o.pool->jobs, job, next) {
		const ModelJob &stored = jobs[job->spec->id];

		if (jb_has_ended(job->state) && !job->dirty &&
		    jb_has_ended(stored.state) &&
		    now - stored.ended_us >= kForgetEvery)
			wp_forget_job(o.pool, job, now);
	}
}

void
TakeoverModel::freeze_owner(int64_t us)
{
	if (owner() != nullptr)
		owner()->frozen_until_us = now + us;
}

void
TakeoverModel::kill_owner()
{
	if (owner() != nullptr)
		step_down(*owner());
}

void
TakeoverModel::break_owner()
{
	switch (random(3)) {
	case 0:
		kill_owner();
		break;
	case 1:
		freeze_owner((int64_t)(500 + random(8000)) * kMs);
		break;
	default:
		if (owner() != nullptr)
			owner()->cut_until_us =
			    now + (int64_t)(500 + random(12000)) * kMs;
	}
}

/* A worker goes out of use or returns just before its owner is gone. */
void
TakeoverModel::break_around_a_commit(const std::string &id)
{
	int64_t us = 0;

	if (chance(500)) {
		us = (int64_t)(2000 + random(2000)) * kMs;
		workers[id].silent_until_us = now + us;
	} else {
		workers[id].listed = !workers[id].listed;
		discovery_changed(id);
	}
	after(us + (int64_t)random(500) * kMs, [this] { break_owner(); });
	after(us + (int64_t)random(500) * kMs, [this, id] {
		workers[id].silent_until_us =
		    now + (int64_t)(1000 + random(5000)) * kMs;
	});
}

std::vector<std::string>
TakeoverModel::alive_workers() const
{
	std::vector<std::string> alive;

	for (auto &w : workers) {
		if (w.second.alive && !w.second.draining)
			alive.push_back(w.first);
	}
	return alive;
}

void
TakeoverModel::break_something()
{
	std::vector<std::string> alive = alive_workers();

	if (alive.empty())
		return;
	ModelWorker &w = workers[alive[random(alive.size())]];
	switch (random(14)) {
	case 0:
	case 1:
	case 2:
		break_owner();
		break;
	case 3:
		restart_worker(w);
		break;
	case 4:
		if (alive.size() > 4)
			remove_worker(w);
		break;
	case 5:
		add_worker();
		break;
	case 6:
		w.listed = !w.listed;
		discovery_changed(w.id);
		break;
	case 7:
		evacuate(w.id);
		break;
	case 8:
	case 9:
		break_around_a_commit(w.id);
		break;
	default:
		w.silent_until_us = now + (int64_t)(100 + random(8000)) * kMs;
		break;
	}
}

/* So that each label has a worker for each member of the largest gang. */
void
TakeoverModel::add_missing_kinds()
{
	for (const char *kind : kKinds) {
		size_t count = 0;

		for (auto &w : workers)
			count += w.second.alive && !w.second.draining &&
			    w.second.kind == kind;
		for (; count < kMinOfAKind;
		     count += kKinds[next_worker % 2] == kind)
			add_worker();
	}
}

void
TakeoverModel::restart_some_worker()
{
	std::vector<std::string> alive = alive_workers();

	if (!alive.empty())
		restart_worker(workers[alive[random(alive.size())]]);
}

void
TakeoverModel::silence_some_worker()
{
	std::vector<std::string> alive = alive_workers();

	if (!alive.empty())
		workers[alive[random(alive.size())]].silent_until_us =
		    now + (int64_t)(100 + random(8000)) * kMs;
}

void
TakeoverModel::heal(const std::set<std::string> &except)
{
	faults = ModelFaults();
	add_missing_kinds();
	for (auto &w : workers) {
		w.second.cpu = kCapacity;
		if (except.count(w.first) > 0)
			continue;
		w.second.silent_until_us = now;
		if (w.second.alive && !w.second.listed) {
			w.second.listed = true;
			discovery_changed(w.first);
		}
	}
	for (auto &o : owners) {
		o.second->frozen_until_us =
		    std::min(o.second->frozen_until_us, now);
		o.second->cut_until_us = std::min(o.second->cut_until_us, now);
	}
}

void
TakeoverModel::run_for(int64_t us)
{
	int64_t end_us = now + us;

	while (now < end_us) {
		int64_t tick_us = now + kTick;

		while (!events.empty() && events.top().at_us <= tick_us) {
			Event e = events.top();

			events.pop();
			now = std::max(now, e.at_us);
			for (auto &w : workers)
				tick_worker(w.second);
			e.action();
		}
		now = tick_us;
		for (auto &w : workers) {
			tick_worker(w.second);
			count_known_time(w.second);
		}
		for (size_t i = 1; i <= (size_t)owner_count; i++)
			tick_owner(*owners[(int)i]);
		if (now >= lease_until_us) {
			if (claim_at_us == 0)
				claim_at_us =
				    now + (int64_t)(20 + random(300)) * kMs;
			if (now >= claim_at_us) {
				claim_at_us = 0;
				claim();
			}
		}
	}
}
