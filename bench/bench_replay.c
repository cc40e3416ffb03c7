/*
 * Plays a load of jobs through the decisions of a pool, without network:
 * what callers get a kind of job, and the processor time that it takes.
 * Usage: bench_replay WORKERS JOBS_PER_S SECONDS BURST SEED
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/rng.h"
#include "state/pool.h"

#define NAME_BYTES 32
#define STEP_US (2 * CLK_US_PER_MS)
#define TICK_US (25 * CLK_US_PER_MS)
#define ORDER_US (3 * CLK_US_PER_MS)
#define BEGIN_US (1000 * CLK_US_PER_S)
#define DOMAIN_VMS 42
#define MAX_RUNS 64
#define MAX_JOBS 40000
#define PERCENT 100

/* A kind of job, as callers send them. */
struct kind {
	const char *name;
	double share;
	double steps;
	double width;
	uint32_t max_width;
	double work_ms;
	double cpu_mcpu;
	double mem_mb;
	double estimate_off;
	double saves;
	uint32_t priority;
	uint32_t stretch_milli;
	uint32_t target_ms;
	uint32_t decide_us;
	uint32_t period_us;
	double good;
};

static const struct kind kinds[] = {
    {"urgent", 0.935, 1.5, 10, 60, 880, 5300, 11000, 0.9, 0, 0, 1500, 250,
	17000, 240, 0.7},
    {"batch", 0.065, 2, 22, 110, 4500, 9000, 19000, 0.5, 0.8, 2, 4000, 3000,
	150000, 2100, 0.45},
};
#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

struct sim_run {
	struct jb_ref ref;
	uint32_t run;
	int64_t begun_us;
	int64_t ends_us;
	int64_t work_us;
	bool stopping;
};

struct sim_worker {
	char id[NAME_BYTES];
	struct sim_run run[MAX_RUNS];
	uint32_t runs;
	struct wp_run_end end[MAX_RUNS];
	uint32_t ends;
	uint64_t next_end;
	int64_t answer_at_us;
	uint64_t acked;
	bool held;
};

struct sim_job {
	char id[JB_ID_BYTES];
	const struct kind *kind;
	int64_t sent_us;
	int64_t objective_us;
	int64_t done_us;
	uint32_t seed;
};

/* An order or a question on its way. */
struct sim_event {
	int64_t at_us;
	struct wp_order *order;
	struct wp_advice_request ask;
	struct sim_event *next;
};

struct sim {
	struct wp_pool *pool;
	struct rng rng;
	struct sim_worker *worker;
	uint32_t workers;
	struct sim_job *job;
	uint32_t jobs;
	struct sim_event *events;
	int64_t desk_free_us[DOMAIN_VMS];
	int64_t now_us;
	uint64_t cpu_ns;
	uint64_t worst_ns;
};

static uint64_t
cpu_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * 1000000000U + (uint64_t)ts.tv_nsec;
}

static double
draw(struct rng *rng, double mean, double most)
{
	double u = ((double)rng_below(rng, 1000000) + 1) / 1000001;
	double v = -log(u) * mean;

	if (v > most)
		v = most;
	return v;
}

static uint32_t
mix(uint32_t a, uint32_t b)
{
	uint32_t h = a * 2654435761U ^ (b + 0x9e3779b9U) * 40503U;

	h ^= h >> 15;
	h *= 2246822519U;
	return h ^ (h >> 13);
}

/* How long a task works, by its job and place: 0.7 to 1.3 of the step's. */
static int64_t
work_us(const struct sim_job *j, uint32_t step, uint32_t index)
{
	double unit = mix(j->seed, step) % 1000 / 1000.0;
	double step_ms = j->kind->work_ms * (0.4 + 1.2 * unit);
	double uneven =
	    0.7 + 0.6 * (mix(j->seed + step, index) % 1000) / 1000.0;

	return (int64_t)(step_ms * uneven * (double)CLK_US_PER_MS);
}

static struct sim_job *
find_job(struct sim *s, const char *id)
{
	size_t n = strtoul(id, NULL, 16);

	if (n >= s->jobs || s->job[n].kind == NULL)
		abort();
	return &s->job[n];
}

static void
submit(struct sim *s, const struct kind *k)
{
	struct sim_job *j = &s->job[s->jobs];
	struct jb_spec *spec = talloc_zero(NULL, struct jb_spec);
	int64_t chain_us = 0;
	uint32_t i;
	uint32_t t;

	if (s->jobs == MAX_JOBS || spec == NULL)
		abort();
	snprintf(j->id, sizeof(j->id), "%016x", s->jobs++);
	j->kind = k;
	j->sent_us = s->now_us;
	j->seed = (uint32_t)rng_below(&s->rng, UINT32_MAX);
	memcpy(spec->id, j->id, sizeof(spec->id));
	spec->queue = talloc_strdup(spec, k->name);
	spec->pool = talloc_strdup(spec, "pool");
	spec->payload = talloc_strdup(spec, "text");
	spec->step_count =
	    1 + (uint32_t)(rng_below(&s->rng, 100) < (k->steps - 1) * PERCENT);
	spec->step = talloc_zero_array(spec, struct jb_step, spec->step_count);
	spec->policy.priority = k->priority;
	spec->policy.max_attempts = 4;
	spec->policy.stretch_milli = k->stretch_milli;
	spec->policy.target_latency_ms = k->target_ms;
	spec->policy.advice_decide_us = k->decide_us;
	spec->policy.advice_period_us = k->period_us;
	spec->policy.advice_valid_ms = 2000;
	for (i = 0; i < spec->step_count; i++) {
		struct jb_step *step = &spec->step[i];
		int64_t longest_us = 0;

		step->count =
		    1 + (uint32_t)draw(&s->rng, k->width - 1, k->max_width);
		step->cpu_mcpu =
		    500 + (uint32_t)draw(&s->rng, k->cpu_mcpu, 3 * k->cpu_mcpu);
		step->mem_mb = (uint32_t)k->mem_mb;
		step->estimate_ms =
		    (uint32_t)(work_us(j, i, 0) / CLK_US_PER_MS);
		if (rng_below(&s->rng, 100) < k->saves * PERCENT)
			step->flags = JB_CHECKPOINTS;
		if (i > 0) {
			step->after = talloc_zero_array(spec, uint32_t, 1);
			step->after_count = 1;
			step->after[0] = i - 1;
		}
		for (t = 0; t < step->count; t++) {
			if (work_us(j, i, t) > longest_us)
				longest_us = work_us(j, i, t);
		}
		chain_us += longest_us + k->decide_us + 30 * k->period_us;
	}
	j->objective_us = s->now_us + chain_us * k->stretch_milli / 1000 +
	    k->target_ms * CLK_US_PER_MS;
	wp_add_job(s->pool, spec, NULL, true, 0, s->now_us);
}

static void
add_event(struct sim *s, struct sim_event *e)
{
	struct sim_event **at = &s->events;

	while (*at != NULL && (*at)->at_us <= e->at_us)
		at = &(*at)->next;
	e->next = *at;
	*at = e;
}

static struct sim_worker *
find_worker(struct sim *s, const char *id)
{
	return &s->worker[strtoul(id + 2, NULL, 10)];
}

static void
carry_out(struct sim *s, const struct wp_order *o)
{
	struct sim_worker *w = find_worker(s, o->worker);
	const struct sim_job *j = find_job(s, o->ref.job);
	uint32_t i;

	for (i = 0; i < w->runs; i++) {
		if (!jb_ref_equal(&w->run[i].ref, &o->ref))
			continue;
		if (o->kind == WP_ORDER_STOP) {
			w->run[i].stopping = true;
			w->run[i].ends_us = s->now_us + 50 * CLK_US_PER_MS;
		}
		return;
	}
	if (o->kind != WP_ORDER_START || w->runs == MAX_RUNS)
		return;
	w->run[w->runs].ref = o->ref;
	w->run[w->runs].run = o->run;
	w->run[w->runs].begun_us = s->now_us;
	w->run[w->runs].work_us = work_us(j, o->ref.step, o->ref.index);
	w->run[w->runs].ends_us = s->now_us + w->run[w->runs].work_us;
	w->run[w->runs].stopping = false;
	w->runs++;
}

static void
worker_step(struct sim *s, struct sim_worker *w)
{
	uint32_t i;

	for (i = 0; i < w->runs;) {
		struct sim_run *r = &w->run[i];

		if (s->now_us < r->ends_us || w->ends == MAX_RUNS) {
			i++;
			continue;
		}
		w->end[w->ends] = (struct wp_run_end){
		    .number = ++w->next_end,
		    .ref = r->ref,
		    .run = r->run,
		    .outcome = r->stopping ? WP_END_STOPPED : WP_END_DONE,
		};
		w->ends++;
		*r = w->run[--w->runs];
	}
}

static void
answer_hold(struct sim *s, struct sim_worker *w)
{
	struct wp_running_task running[MAX_RUNS];
	struct wp_renewal_reply reply = {.incarnation_ms = 1};
	uint32_t kept = 0;
	uint32_t i;

	memset(running, 0, sizeof(running));
	for (i = 0; i < w->ends; i++) {
		if (w->end[i].number > w->acked)
			w->end[kept++] = w->end[i];
	}
	w->ends = kept;
	for (i = 0; i < w->runs; i++) {
		running[i].ref = w->run[i].ref;
		running[i].run = w->run[i].run;
		running[i].percent =
		    (uint32_t)((s->now_us - w->run[i].begun_us) * PERCENT /
			(w->run[i].work_us + 1));
	}
	reply.clock_ms = s->now_us / CLK_US_PER_MS;
	reply.running = running;
	reply.running_count = w->runs;
	reply.end = w->end;
	reply.end_count = w->ends;
	w->held = false;
	wp_on_renewal(
	    s->pool, wp_find_worker(s->pool, w->id), &reply, s->now_us);
}

static void
send_holds(struct sim *s)
{
	struct wp_renewal hold;
	uint32_t i;

	for (i = 0; i < s->workers; i++) {
		struct sim_worker *w = &s->worker[i];
		struct wp_worker *pw = wp_find_worker(s->pool, w->id);

		if (!w->held && wp_renewal_due(s->pool, pw, s->now_us, &hold)) {
			w->held = true;
			w->acked = hold.acked_end;
			w->answer_at_us =
			    s->now_us + hold.wait_ms * CLK_US_PER_MS;
		}
		worker_step(s, w);
		if (w->held &&
		    (s->now_us >= w->answer_at_us || w->next_end > w->acked))
			answer_hold(s, w);
	}
}

static void
answer_ask(struct sim *s, const struct wp_advice_request *ask)
{
	const struct sim_job *j = find_job(s, ask->job);
	struct wp_approval good[WP_MAX_ADVICE_WORKERS];
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < ask->worker_count; i++) {
		uint32_t w =
		    (uint32_t)(find_worker(s, ask->worker[i]) - s->worker);

		if (mix(j->seed + ask->step, w) % 1000 < j->kind->good * 1000)
			good[n++] = (struct wp_approval){ask->worker[i], "t"};
	}
	wp_on_advice(s->pool, ask, true, good, n, s->now_us, s->now_us);
}

static void
send_all(struct sim *s)
{
	struct wp_advice_request ask;
	struct wp_order *o;

	while ((o = wp_next_order(s->pool)) != NULL) {
		struct sim_event *e = calloc(1, sizeof(*e));

		e->at_us = s->now_us + ORDER_US;
		e->order = o;
		add_event(s, e);
	}
	while (wp_next_advice_request(s->pool, s->now_us, &ask)) {
		struct sim_event *e = calloc(1, sizeof(*e));
		uint32_t best = 0;
		uint32_t i;

		for (i = 1; i < DOMAIN_VMS; i++) {
			if (s->desk_free_us[i] < s->desk_free_us[best])
				best = i;
		}
		if (s->desk_free_us[best] < s->now_us)
			s->desk_free_us[best] = s->now_us;
		s->desk_free_us[best] += ask.base_cost_us +
		    (int64_t)ask.worker_cost_us * ask.worker_count;
		e->at_us = s->desk_free_us[best] + ORDER_US;
		e->ask = ask;
		add_event(s, e);
	}
}

static void
handle_events(struct sim *s)
{
	while (s->events != NULL && s->events->at_us <= s->now_us) {
		struct sim_event *e = s->events;

		s->events = e->next;
		if (e->order != NULL) {
			carry_out(s, e->order);
			wp_on_order_result(s->pool, e->order, WP_ACCEPTED,
			    s->now_us / CLK_US_PER_MS, s->now_us);
			talloc_free(e->order);
		} else {
			answer_ask(s, &e->ask);
		}
		free(e);
	}
}

static void
commit(struct sim *s)
{
	struct jb_progress progress;
	struct wp_job *job;

	while ((job = wp_next_dirty(s->pool, s->pool, s->now_us, &progress)) !=
	    NULL) {
		struct sim_job *j = find_job(s, job->spec->id);

		talloc_free(progress.task);
		if (!jb_has_ended(job->state))
			continue;
		if (j->done_us == 0)
			j->done_us = s->now_us;
		wp_forget_job(s->pool, job, s->now_us);
	}
	wp_commit_begin(s->pool);
	wp_commit_end(s->pool, s->now_us);
}

static void
play_step(struct sim *s)
{
	uint64_t from_ns = cpu_now_ns();
	uint64_t took_ns;

	handle_events(s);
	send_holds(s);
	if (s->now_us % (60 * CLK_US_PER_MS) == 0)
		commit(s);
	if (s->now_us % TICK_US == 0)
		wp_tick(s->pool, s->now_us);
	else
		wp_schedule(s->pool, s->now_us);
	send_all(s);
	took_ns = cpu_now_ns() - from_ns;
	s->cpu_ns += took_ns;
	if (took_ns > s->worst_ns)
		s->worst_ns = took_ns;
}

static void
begin(struct sim *s, uint32_t workers)
{
	struct wp_settings settings = {0};
	uint32_t i;

	s->now_us = BEGIN_US;
	s->pool = wp_create(NULL, "pool", &settings);
	s->workers = workers;
	s->worker = calloc(workers, sizeof(*s->worker));
	s->job = calloc(MAX_JOBS, sizeof(*s->job));
	for (i = 0; i < workers; i++) {
		char rack[NAME_BYTES];
		struct wp_worker_info info = {.id = s->worker[i].id,
		    .address = "127.0.0.1:1",
		    .domain = "a",
		    .kind = "k",
		    .rack = rack,
		    .vm = ""};

		snprintf(s->worker[i].id, NAME_BYTES, "w-%u", i);
		snprintf(rack, sizeof(rack), "r%u", i / 12);
		info.capacity.cpu_mcpu = i % 4 == 0 ? 16000
		    : i % 4 == 1		    ? 64000
						    : 32000;
		info.capacity.mem_mb = info.capacity.cpu_mcpu * 4;
		wp_set_worker(s->pool, &info, s->now_us);
		wp_find_worker(s->pool, s->worker[i].id)->registered = true;
	}
}

static void
arrive(struct sim *s, double jobs_per_s, double burst)
{
	int64_t second = (s->now_us - BEGIN_US) / CLK_US_PER_S;
	double rate = jobs_per_s;
	size_t i;

	/* Four seconds in each fourteen are a burst of the urgent kind. */
	for (i = 0; i < KINDS; i++) {
		double kind_rate = rate * kinds[i].share;

		if (i == 0 && second % 14 >= 6 && second % 14 < 10)
			kind_rate *= burst;
		if ((double)rng_below(&s->rng, 1000000) <
		    kind_rate * (double)STEP_US)
			submit(s, &kinds[i]);
	}
}

static int
compare_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void
report(const struct sim *s, int64_t seconds)
{
	static int64_t took_us[MAX_JOBS];
	size_t k;
	uint32_t i;

	printf("kind jobs in_aim late failed p50_ms p95_ms\n");
	for (k = 0; k < KINDS; k++) {
		uint32_t n = 0;
		uint32_t in_aim = 0;
		uint32_t late = 0;
		uint32_t done = 0;

		for (i = 0; i < s->jobs; i++) {
			const struct sim_job *j = &s->job[i];
			int64_t aim_us = j->objective_us - j->sent_us;

			if (j->kind != &kinds[k])
				continue;
			n++;
			if (j->done_us == 0)
				continue;
			took_us[done++] = j->done_us - j->sent_us;
			if (j->done_us <= j->objective_us)
				in_aim++;
			else if (j->done_us - j->sent_us <= 3 * aim_us)
				late++;
		}
		qsort(took_us, done, sizeof(took_us[0]), compare_i64);
		printf("%s %u %.3f %.3f %.3f %" PRId64 " %" PRId64 "\n",
		    kinds[k].name, n, (double)in_aim / n, (double)late / n,
		    1 - (double)(in_aim + late) / n,
		    done > 0 ? took_us[done / 2] / CLK_US_PER_MS : 0,
		    done > 0 ? took_us[done * 95 / 100] / CLK_US_PER_MS : 0);
	}
	printf("cpu_ms_per_s %.1f worst_step_ms %.2f starts_per_s %.0f "
	       "asks_per_s %.0f displaced %" PRIu64 "\n",
	    (double)s->cpu_ns / 1e6 / (double)seconds,
	    (double)s->worst_ns / 1e6,
	    (double)s->pool->stats.starts / (double)seconds,
	    (double)s->pool->stats.advice_requests / (double)seconds,
	    s->pool->stats.displaced);
}

int
main(int argc, char **argv)
{
	static struct sim s;
	int64_t seconds;

	if (argc != 6) {
		fprintf(stderr,
		    "usage: bench_replay WORKERS JOBS_PER_S "
		    "SECONDS BURST SEED\n");
		return 64;
	}
	seconds = strtol(argv[3], NULL, 10);
	s.rng.state = strtoul(argv[5], NULL, 10);
	begin(&s, (uint32_t)strtoul(argv[1], NULL, 10));
	while (s.now_us < BEGIN_US + (seconds + 20) * CLK_US_PER_S) {
		if (s.now_us > BEGIN_US + CLK_US_PER_S &&
		    s.now_us < BEGIN_US + seconds * CLK_US_PER_S)
			arrive(
			    &s, strtod(argv[2], NULL), strtod(argv[4], NULL));
		play_step(&s);
		s.now_us += STEP_US;
	}
	report(&s, seconds);
	return 0;
}
