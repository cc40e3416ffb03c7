#include "shard_model.h"

#include <algorithm>

static ModelTask
make_task(const struct sh_ref &ref)
{
	ModelTask t = {};

	t.id = TaskId{ref.job, ref.index};
	t.attempt = ref.attempt;
	return t;
}

static size_t
find_task(const std::vector<ModelTask> &list, const ModelTask &t)
{
	for (size_t i = 0; i < list.size(); i++) {
		if (list[i].attempt == t.attempt &&
		    list[i].id.index == t.id.index &&
		    list[i].id.job == t.id.job)
			return i;
	}
	return list.size();
}

void
ModelWorker::end(size_t i, enum st_result result, bool keep)
{
	ModelTask t = running[i];

	running.erase(running.begin() + (long)i);
	st_res_sub(&used, &t.need);
	observer->live[t.id]--;
	if (result == ST_RESULT_DONE)
		observer->completions[t.id]++;
	t.result = result;
	if (keep)
		ended.push_back(t);
}

void
ModelWorker::lose_all()
{
	while (!running.empty())
		end(0, ST_RESULT_CANCELLED, false);
	generation++;
	lease_until_us = 0;
}

void
ModelWorker::restart()
{
	lose_all();
	ended.clear();
	generation += 1000;
	epoch = 0;
	seq = 0;
}

void
ModelWorker::tick(int64_t now_us)
{
	if (lease_until_us != 0 && now_us + offset_us >= lease_until_us)
		lose_all();
	for (size_t i = 0; i < running.size();) {
		if (now_us >= running[i].ends_us)
			end(i, ST_RESULT_DONE, true);
		else
			i++;
	}
}

void
ModelWorker::start(const struct sh_start &s, int64_t now_us, ModelReply &r)
{
	ModelTask t = make_task(s.ref);
	struct st_res available = capacity;

	t.need = s.need;
	t.idempotent = s.idempotent;
	t.ends_us = s.kind == ST_SERVICE ? INT64_MAX : now_us + s.run_us;
	if (find_task(running, t) < running.size()) {
		r.started.push_back(t);
		return;
	}
	if (find_task(ended, t) < ended.size())
		return;
	st_res_sub(&available, &used);
	if (!st_res_fits(&t.need, &available)) {
		observer->violations.push_back("overcommitted by " + t.id.job);
		r.refused.push_back(t);
		return;
	}
	if (observer->live[t.id] > 0)
		observer->violations.push_back("two places: " + t.id.job + "/" +
		    std::to_string(t.id.index));
	if (observer->starts[t.id] > 0 && !t.idempotent)
		observer->violations.push_back("ran again: " + t.id.job + "/" +
		    std::to_string(t.id.index));
	observer->live[t.id]++;
	observer->starts[t.id]++;
	st_res_add(&used, &t.need);
	running.push_back(t);
	r.started.push_back(t);
	if (fail_all)
		end(running.size() - 1, ST_RESULT_FAILED, true);
}

void
ModelWorker::stop(const struct sh_stop &s)
{
	ModelTask t = make_task(s.ref);
	size_t i = find_task(running, t);

	if (i < running.size()) {
		end(i, ST_RESULT_CANCELLED, true);
	} else if (find_task(ended, t) == ended.size()) {
		t.result = ST_RESULT_CANCELLED;
		ended.push_back(t);
	}
}

ModelReply
ModelWorker::sync(const struct sh_sync &s, int64_t now_us)
{
	ModelReply r;

	r.clock_us = now_us + offset_us;
	r.lease_generation = generation;
	if (s.epoch < epoch || (s.epoch == epoch && s.seq <= seq)) {
		r.fenced_by = epoch;
		return r;
	}
	epoch = s.epoch;
	seq = s.seq;
	for (uint32_t i = 0; i < s.ack_count; i++) {
		size_t at = find_task(ended, make_task(s.ack[i]));

		if (at < ended.size())
			ended.erase(ended.begin() + (long)at);
	}
	if (s.lease_generation == generation) {
		lease_until_us = std::max(lease_until_us, s.lease_until_us);
		for (uint32_t i = 0; i < s.stop_count; i++)
			stop(s.stop[i]);
		for (uint32_t i = 0; i < s.start_count; i++) {
			if (now_us + offset_us < lease_until_us)
				start(s.start[i], now_us, r);
		}
	} else {
		for (uint32_t i = 0; i < s.start_count; i++)
			r.refused.push_back(make_task(s.start[i].ref));
	}
	r.has_inventory = s.want_inventory || s.lease_generation != generation;
	r.lease_generation = generation;
	if (r.has_inventory)
		r.running = running;
	r.ended = ended;
	return r;
}
