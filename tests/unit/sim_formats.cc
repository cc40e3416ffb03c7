#include "sim_internal.h"

#include <cstring>

static enum fl_key_kind
sim_kind(const char *key, const char **id)
{
	*id = key + 2;
	if (strcmp(key, "op/config") == 0)
		return FL_KEY_CONFIG;
	return strncmp(key, "w/", 2) == 0 ? FL_KEY_WORKER : FL_KEY_OTHER;
}

static bool
sim_read_worker(TALLOC_CTX *ctx, const char *id, const uint8_t *value,
    size_t bytes, struct wp_worker_info *info, const char **pool, char *error,
    size_t error_bytes)
{
	std::string text((const char *)value, bytes);
	size_t space = text.find(' ');
	long long born_us = 0;
	long long clock_began_ms = 0;
	size_t vm = text.rfind(' ') + 1;

	(void)error;
	(void)error_bytes;
	sscanf(text.c_str() + space, "%lld %lld", &born_us, &clock_began_ms);
	*info = {};
	info->id = talloc_strdup(ctx, id);
	info->address = info->id;
	info->domain = talloc_strdup(ctx, text.substr(0, space).c_str());
	info->kind = "kind";
	info->rack = "rack";
	info->vm = talloc_strdup(ctx, text.substr(vm).c_str());
	info->capacity = {kCores, 100000, 0};
	info->incarnation_ms = (kWallStart + born_us) / kSimMs;
	info->clock_ms = sim_clock_ms(born_us, clock_began_ms);
	*pool = "pool";
	return true;
}

static void
set_queue(struct qs_config *c, const char *name, int64_t advice_us,
    int64_t advice_each_us)
{
	struct qs_queue *q = &c->queue[c->queue_count++];

	q->name = talloc_strdup(c, name);
	q->host = talloc_strdup(c, "host");
	q->prefix = talloc_asprintf(c, "/%s/", name);
	q->pool = talloc_strdup(c, "pool");
	q->policy.max_attempts = 4;
	q->policy.stretch_milli = 4000;
	q->policy.target_latency_ms = 1000;
	if (!sim_world->options.slow_advice)
		return;
	q->policy.advice_decide_us = (uint32_t)advice_us;
	q->policy.advice_period_us = (uint32_t)advice_each_us;
	q->policy.advice_valid_ms = (uint32_t)(kTicket / kSimMs);
}

static struct qs_config *
sim_read_config(TALLOC_CTX *ctx, const uint8_t *value, size_t bytes,
    char *error, size_t error_bytes)
{
	struct qs_config *c = talloc_zero(ctx, struct qs_config);

	(void)value;
	(void)bytes;
	(void)error;
	(void)error_bytes;
	c->version = 1;
	c->queue = talloc_zero_array(c, struct qs_queue, 2);
	set_queue(c, "q", kAdviceTime, kAdviceTimeEach);
	if (sim_world->options.slow_advice)
		set_queue(c, "s", kShortAdviceTime, kShortAdviceTimeEach);
	c->pool = talloc_zero_array(c, struct qs_pool, 1);
	c->pool_count = 1;
	c->pool[0].name = talloc_strdup(c, "pool");
	c->max_body_bytes = 1 << 20;
	return c;
}

/*
 * "WORK_US STEPS TASKS [FLAGS]": steps follow one another. With WORK_US 0, the
 * tasks run until their job is cancelled.
 */
static struct jb_spec *
sim_read_job(TALLOC_CTX *ctx, const char *body, size_t bytes, char *error,
    size_t error_bytes)
{
	struct jb_spec *spec = talloc_zero(ctx, struct jb_spec);
	std::string text(body, bytes);
	unsigned int steps = 0;
	unsigned int tasks = 0;
	unsigned int flags = 0;
	long long work_us = 0;

	(void)error;
	(void)error_bytes;
	sscanf(text.c_str(), "%lld %u %u %u", &work_us, &steps, &tasks, &flags);
	spec->payload = talloc_strdup(spec, std::to_string(work_us).c_str());
	spec->step = talloc_zero_array(spec, struct jb_step, steps);
	spec->step_count = steps;
	for (unsigned int i = 0; i < steps; i++) {
		struct jb_step *s = &spec->step[i];

		s->count = tasks;
		s->flags = flags;
		s->cpu_mcpu = 1000;
		s->mem_mb = 10;
		s->estimate_ms = (uint32_t)(work_us / kSimMs);
		if (work_us == 0)
			s->flags |= JB_LONG_RUNNING;
		s->after = talloc_zero_array(spec, uint32_t, 1);
		s->after_count = i > 0;
		s->after[0] = i > 0 ? i - 1 : 0;
	}
	return spec;
}

static char *
sim_state_body(TALLOC_CTX *ctx, enum jb_state state)
{
	return talloc_strdup(ctx, jb_state_name(state));
}

static char *
sim_waiting_body(TALLOC_CTX *ctx, uint32_t waiting)
{
	return talloc_asprintf(ctx, "%u", waiting);
}

static const struct fl_entry_ops sim_entries = {
    "op/",
    "w/",
    sim_kind,
    sim_read_worker,
    sim_read_config,
    nullptr,
    nullptr,
};
static const struct fl_caller_ops sim_callers = {
    sim_read_job,
    sim_state_body,
    sim_waiting_body,
    "Wait",
    "/ready",
};

extern "C" struct fl_fleet *
pf_create(TALLOC_CTX *, struct loop *, const struct pf_settings *)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	d->fleet = {};
	d->fleet.keys = &sim_key_ops;
	d->fleet.workers = &sim_worker_ops;
	if (sim_world->options.slow_advice)
		d->fleet.advice = &sim_advice_ops;
	d->fleet.entries = &sim_entries;
	d->fleet.callers = &sim_callers;
	d->fleet.handle = d;
	return &d->fleet;
}
