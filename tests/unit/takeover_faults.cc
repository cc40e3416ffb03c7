#include "takeover_internal.h"

#include <algorithm>

namespace
{

/* One of them may be the one that is not approved. */
constexpr size_t kMinOfAKind = 4;

} // namespace

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
	switch (random(replacements ? 18 : 14)) {
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
	case 14:
	case 15:
	case 16:
	case 17:
		replace_worker(w);
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
TakeoverModel::silence_some_worker(int64_t us)
{
	std::vector<std::string> alive = alive_workers();

	if (alive.empty())
		return;
	if (us == 0)
		us = (int64_t)(100 + random(8000)) * kMs;
	workers[alive[random(alive.size())]].silent_until_us = now + us;
}

void
TakeoverModel::sicken_some_worker(int64_t until_us)
{
	std::vector<std::string> alive = alive_workers();

	if (!alive.empty())
		workers[alive[random(alive.size())]].unhealthy_until_us =
		    until_us;
}

void
TakeoverModel::heal(const std::set<std::string> &except)
{
	faults = ModelFaults();
	away_until_us = std::min(away_until_us, now);
	split_until_us = std::min(split_until_us, now);
	store_down_until_us = std::min(store_down_until_us, now);
	freeze_claim_us = 0;
	for (ModelWitness &v : witnesses) {
		v.frozen_until_us = std::min(v.frozen_until_us, now);
		v.cut_until_us = std::min(v.cut_until_us, now);
	}
	add_missing_kinds();
	for (auto &w : workers) {
		w.second.cpu = kCapacity;
		if (except.count(w.first) > 0)
			continue;
		w.second.silent_until_us = now;
		w.second.unhealthy_until_us = now;
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
