#include "takeover_internal.h"

namespace
{

/* A new incarnation has got a stop by then, even if some are lost. */
constexpr int64_t kRuledOut = 2 * kS;
/* A run of a cancelled job may go on for so long, while all calls arrive. */
constexpr int64_t kUnasked = 3200 * kMs;

} // namespace

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

bool
TakeoverModel::is_calm() const
{
	return faults.lost == 0 && faults.late == 0 &&
	    faults.answer_lost == 0 && faults.answer_late == 0 &&
	    faults.not_sent == 0 && faults.result_late == 0 &&
	    faults.stop_undone == 0;
}

/* Its owner acts, has been told of all cancellations, and can call it. */
bool
TakeoverModel::is_reached(const ModelWorker &w)
{
	ModelOwner *o = owner();

	return o != nullptr && now >= o->frozen_until_us && may_act(*o) &&
	    hears(w) && reaches(o->number, w) && now >= w.unhealthy_until_us &&
	    wp_find_worker(o->pool, w.id.c_str()) != nullptr;
}

/* UNASKED: counted anew after each disturbance and each claim. */
void
TakeoverModel::check_cancelled(ModelWorker &w)
{
	bool counts = w.alive && is_calm() && is_reached(w) &&
	    now - kTick >= owner_since_us;

	for (auto &r : w.running) {
		const std::string &task = r.first.first;

		if (!counts || !jobs[ref_of(task).job].cancelled) {
			r.second.unasked_us = 0;
			continue;
		}
		r.second.unasked_us += kTick;
		if (r.second.unasked_us == kUnasked + kTick)
			violations.push_back("goes on though cancelled: " +
			    task + ":" + std::to_string(r.first.second) +
			    " at " + std::to_string(now / kMs) + " on " + w.id);
	}
}
