#include "takeover_internal.h"

#include <algorithm>

TakeoverModel::TakeoverModel(uint64_t seed)
    : rng(seed), clocks(seed), id_length(seed % 5)
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
	if (o.pool != nullptr && now >= o.frozen_until_us)
		check_pool(o);
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

struct jb_ref
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
		for (ModelWitness &v : witnesses)
			tick_witness(v);
		for (size_t i = 1; i <= (size_t)owner_count; i++)
			tick_owner(*owners[(int)i]);
		for (auto &w : workers)
			check_cancelled(w.second);
		if (now >= lease_until_us && now >= store_down_until_us) {
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
