#include "takeover_internal.h"

#include <algorithm>

namespace
{

/* Workers report this often; a capacity that has shrunk counts later. */
constexpr int64_t kReport = 1500 * kMs;
constexpr int64_t kShrink = 4500 * kMs;

} // namespace

/* No page limits ids; the sign keeps them in the order of their numbers. */
std::string
TakeoverModel::next_worker_id()
{
	const size_t lengths[] = {0, 60, 61, 62, 200};

	return "w" + std::to_string(next_worker++) + "-" +
	    std::string(lengths[id_length], 'x');
}

void
TakeoverModel::add_worker()
{
	ModelWorker w;

	w.id = next_worker_id();
	w.vm = "vm-" + w.id;
	w.born_us = now - (int64_t)random(1000) * kS;
	w.clock_began_ms = clocks.first_ms();
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
	return w.clock_began_ms +
	    (now - w.born_us) / kMs * w.rate_per_mille / 1000;
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
		    again.clock_began_ms = clocks.next_ms(clock_ms(again));
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

/* The VM's clock may have been set back meanwhile. */
void
TakeoverModel::begin_on_vm(const ModelWorker &last)
{
	ModelWorker w;

	w.id = next_worker_id();
	w.vm = last.vm;
	w.born_us = now;
	w.clock_began_ms = clocks.first_ms();
	w.incarnation = now / kMs;
	if (chance(200))
		w.incarnation = last.incarnation + 2000 - (int64_t)random(4000);
	w.rate_per_mille = last.rate_per_mille;
	w.kind = last.kind;
	report_worker(w);
	workers[w.id] = w;
	discovery_changed(w.id);
}

/* It ends, and another one begins on its VM; its entry is removed late. */
void
TakeoverModel::replace_worker(ModelWorker &w)
{
	std::string id = w.id;

	end_all_runs(w);
	w.alive = false;
	w.running.clear();
	after((int64_t)(100 + random(3000)) * kMs,
	    [this, id] { begin_on_vm(workers[id]); });
	after((int64_t)random(6000) * kMs, [this, id] {
		workers[id].listed = false;
		discovery_changed(id);
	});
}

void
TakeoverModel::list_worker(ModelOwner &o, const ModelWorker &w)
{
	const std::string &kind = capacity_changes ? w.reported_kind : w.kind;
	struct wp_worker_info info = {w.id.c_str(), "127.0.0.1:1", "a",
	    kind.c_str(), "rack", {w.reported_cpu, 1000, 0}, w.draining, 0,
	    w.vm.c_str(),
	    capacity_changes ? w.reported_incarnation : w.incarnation,
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
