#include "takeover_internal.h"

#include <algorithm>

namespace
{

constexpr int64_t kStopTime = 60 * kMs;
constexpr int64_t kGangTimeout = 2 * kS;

} // namespace

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
	run.ends_us = now + (int64_t)(50 + random(1200)) * work_factor * kMs;
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
	if (now < w.unhealthy_until_us)
		return WP_REFUSED_UNHEALTHY;
	w.token = order.token;
	if (o.kind == WP_ORDER_START)
		return do_start(w, order);
	if (o.kind != WP_ORDER_STOP)
		return WP_ACCEPTED;
	w.barred[task] = std::max(w.barred[task], o.run);
	if (faults.stop_undone > 0 && chance(faults.stop_undone))
		return WP_ACCEPTED;
	auto present = w.running.find({task, o.run});
	if (present != w.running.end() && !present->second.stopping) {
		present->second.stopping = true;
		present->second.outcome = WP_END_STOPPED;
		present->second.ends_us = std::min(
		    present->second.ends_us, now + (int64_t)random(kStopTime));
	}
	return WP_ACCEPTED;
}
