#include <stdio.h>
#include <string.h>

#include "state/job.h"

const char *
jb_state_name(enum jb_state state)
{
	static const char *const names[] = {
	    [JB_PENDING] = "pending",
	    [JB_RUNNING] = "running",
	    [JB_COMPLETED] = "completed",
	    [JB_FAILED] = "failed",
	    [JB_CANCELLED] = "cancelled",
	};

	return names[state];
}

bool
jb_has_ended(enum jb_state state)
{
	return state == JB_COMPLETED || state == JB_FAILED ||
	    state == JB_CANCELLED;
}

static bool
jb_check_step(const struct jb_spec *spec, uint32_t number, char *error,
    size_t error_bytes)
{
	const struct jb_step *step = &spec->step[number];
	uint32_t i;

	if (step->count == 0) {
		snprintf(error, error_bytes,
		    "steps[%u].count: must be positive", number);
		return false;
	}
	for (i = 0; i < step->after_count; i++) {
		if (step->after[i] < number)
			continue;
		snprintf(error, error_bytes,
		    "steps[%u].after: must name earlier steps", number);
		return false;
	}
	return true;
}

static bool
jb_check_occurrences(
    const struct jb_spec *spec, uint64_t tasks, char *error, size_t error_bytes)
{
	int64_t count = jb_occurrences(spec);

	if (spec->repeat_count > JB_MAX_RECURRING_TASKS / tasks) {
		snprintf(error, error_bytes,
		    "repeat_count: more than %d tasks in all",
		    JB_MAX_RECURRING_TASKS);
		return false;
	}
	if (spec->first_due_ms < 0 || spec->first_due_ms > JB_MAX_DUE_MS ||
	    spec->interval_ms < 0 ||
	    spec->interval_ms > (JB_MAX_DUE_MS - spec->first_due_ms) / count) {
		snprintf(error, error_bytes,
		    "interval_ms: an occurrence is due too late");
		return false;
	}
	return true;
}

bool
jb_validate(const struct jb_spec *spec, char *error, size_t error_bytes)
{
	uint64_t tasks = 0;
	uint32_t i;

	if (spec->step_count == 0 || spec->step_count > JB_MAX_STEPS) {
		snprintf(
		    error, error_bytes, "steps: must be 1 to %d", JB_MAX_STEPS);
		return false;
	}
	if (strlen(spec->payload) > JB_MAX_PAYLOAD_BYTES) {
		snprintf(error, error_bytes, "spec: longer than %d bytes",
		    JB_MAX_PAYLOAD_BYTES);
		return false;
	}
	for (i = 0; i < spec->step_count; i++) {
		if (!jb_check_step(spec, i, error, error_bytes))
			return false;
		tasks += spec->step[i].count;
	}
	if (tasks > JB_MAX_TASKS) {
		snprintf(error, error_bytes, "steps: more than %d tasks",
		    JB_MAX_TASKS);
		return false;
	}
	return jb_check_occurrences(spec, tasks, error, error_bytes);
}

int64_t
jb_critical_path_ms(const struct jb_spec *spec)
{
	int64_t end_ms[JB_MAX_STEPS] = {0};
	int64_t longest_ms = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < spec->step_count; i++) {
		const struct jb_step *step = &spec->step[i];

		for (j = 0; j < step->after_count; j++) {
			if (end_ms[step->after[j]] > end_ms[i])
				end_ms[i] = end_ms[step->after[j]];
		}
		end_ms[i] += step->estimate_ms;
		if (end_ms[i] > longest_ms)
			longest_ms = end_ms[i];
	}
	return longest_ms;
}

int64_t
jb_critical_path_from_ms(const struct jb_spec *spec, uint32_t step)
{
	/* First the longest chain after a step, then with the step itself. */
	int64_t tail_ms[JB_MAX_STEPS] = {0};
	uint32_t i;
	uint32_t j;

	for (i = spec->step_count; i-- > step;) {
		const struct jb_step *s = &spec->step[i];

		tail_ms[i] += s->estimate_ms;
		for (j = 0; j < s->after_count; j++) {
			if (tail_ms[i] > tail_ms[s->after[j]])
				tail_ms[s->after[j]] = tail_ms[i];
		}
	}
	return tail_ms[step];
}

uint32_t
jb_occurrences(const struct jb_spec *spec)
{
	return spec->repeat_count > 0 ? spec->repeat_count : 1;
}

bool
jb_ref_equal(const struct jb_ref *a, const struct jb_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) == 0;
}

/* Most that the numbers of an entry take, and what else a text takes. */
#define JB_ENTRY_BYTES 128
#define JB_TEXT_BYTES 8
/* The same of a crash, without its worker. */
#define JB_CRASH_BYTES 40

static size_t
jb_entry_bytes(const struct jb_task_progress *t)
{
	size_t bytes = JB_ENTRY_BYTES;
	uint32_t i;

	for (i = 0; i < t->crash_count; i++)
		bytes += JB_CRASH_BYTES + strlen(t->crash[i].worker);
	return bytes;
}

/* Returns how many of one kind had no room; the room left is in @left_bytes. */
static uint32_t
jb_fit_kind(struct jb_progress *progress, bool listed, size_t *left_bytes)
{
	uint32_t left_out = 0;
	uint32_t i;

	for (i = 0; i < progress->task_count; i++) {
		struct jb_task_progress *t = &progress->task[i];
		size_t bytes;

		if (t->checkpoint == NULL || t->listed != listed)
			continue;
		bytes = strlen(t->checkpoint) + JB_TEXT_BYTES;
		if (bytes <= *left_bytes) {
			*left_bytes -= bytes;
			continue;
		}
		t->checkpoint = NULL;
		left_out++;
	}
	return left_out;
}

uint32_t
jb_fit_checkpoints(struct jb_progress *progress, size_t max_bytes)
{
	size_t used_bytes = JB_ENTRY_BYTES;
	size_t left_bytes;
	uint32_t left_out;
	uint32_t i;

	for (i = 0; i < progress->task_count; i++)
		used_bytes += jb_entry_bytes(&progress->task[i]);
	left_bytes = used_bytes < max_bytes ? max_bytes - used_bytes : 0;
	left_out = jb_fit_kind(progress, false, &left_bytes);
	return left_out + jb_fit_kind(progress, true, &left_bytes);
}
