#include <gtest/gtest.h>

#include <algorithm>

#include "sim_internal.h"

namespace
{

/* The tightest bounds of all deployments. */
constexpr int64_t kCancel = 3000 * kSimMs;
constexpr int64_t kStop = 200 * kSimMs;

std::string
in_seconds(int64_t us)
{
	char text[32];

	snprintf(text, sizeof(text), "%.3f s", (double)us / (double)kSimS);
	return text;
}

} // namespace

void
SimObserver::on_unasked(const std::string &text)
{
	ADD_FAILURE() << "UNASKED: " << text;
}

void
SimCancelled::on_answer(const std::string &path, int status)
{
	std::string job = path.substr(path.rfind('/') + 1);

	if (status == 200 || status == 410)
		acknowledged_us.emplace(job, w->now);
}

void
SimCancelled::on_disruption(int64_t us)
{
	disrupted_until_us = std::max(disrupted_until_us, w->now + us);
}

/* Disruptions that schedules set as plain values. */
void
SimCancelled::note_settings()
{
	if (w->wall_step_us != wall_step_us || w->late_per_mille > 0 ||
	    w->late_renewals_per_mille > 0)
		on_disruption(0);
	wall_step_us = w->wall_step_us;
}

void
SimCancelled::check_run(
    const SimWorker &worker, const std::string &task, const SimRun &r)
{
	auto job = acknowledged_us.find(task.substr(0, JB_ID_LENGTH));
	std::string name = task + " run " + std::to_string(r.run);
	int64_t since_us;

	if (job == acknowledged_us.end())
		return;
	since_us = std::max(job->second, disrupted_until_us + kContact);
	if (r.late)
		since_us = std::max(since_us, r.begun_us + kContact);
	if (w->now <= since_us + kCancel + kStop + kTick)
		return;
	if (!told.insert(name + " on " + worker.id).second)
		return;
	w->seen->on_unasked(name + " goes on on " + worker.id + ", begun " +
	    in_seconds(w->now - r.begun_us) + " ago, its job was cancelled " +
	    in_seconds(w->now - job->second) + " ago, calm for " +
	    in_seconds(w->now - disrupted_until_us));
}

void
SimCancelled::check()
{
	note_settings();
	for (auto &worker : w->workers) {
		for (auto &r : worker->running)
			check_run(*worker, r.first, r.second);
	}
}
