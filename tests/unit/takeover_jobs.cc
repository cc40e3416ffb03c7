#include "takeover_internal.h"

namespace
{

constexpr uint32_t kAdviceValidMs = 2000;

} // namespace

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
	if (may_be_special && chance(lasting))
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
