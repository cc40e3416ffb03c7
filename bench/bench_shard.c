/*
 * One shard's decisions at a given size, with workers that answer at once:
 * processor time per start and per tick, bytes of log per start, memory per
 * task. Usage: bench_shard WORKERS TASKS STARTS_PER_S SECONDS
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/shard.h"

#define GB INT64_C(1000000000)
#define TICK_US (20 * CLK_US_PER_MS)
#define TEAMS 74

struct bench {
	struct sh_shard *sh;
	int64_t now_us;
	uint64_t syncs;
	uint64_t log_bytes;
	uint64_t records;
	uint64_t commits;
	uint32_t next_job;
	struct rng rng;
	int64_t urgent_worst_us;
};

static double
cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
setup(struct bench *b, uint32_t workers)
{
	struct sh_settings s = {10 * CLK_US_PER_S, 3 * CLK_US_PER_S,
	    200 * CLK_US_PER_MS, 100 * CLK_US_PER_S, (size_t)24 << 20};
	struct sh_worker_spec *spec = calloc(workers, sizeof(*spec));
	struct sh_sync_reply r = {0};
	struct sh_sync sync;
	uint32_t w;

	b->sh = sh_create(NULL, "s", &s, po_get(PO_ORDINARY, PO_WAITING), 1);
	for (w = 0; w < workers; w++) {
		char id[16];
		char rack[16];

		snprintf(id, sizeof(id), "w%u", w);
		snprintf(rack, sizeof(rack), "r%u", w / 5);
		spec[w].id = strdup(id);
		spec[w].rack = strdup(rack);
		spec[w].address = "127.0.0.1:1";
		spec[w].capacity.cpu_mcpu = 32000;
		spec[w].capacity.mem_bytes = 128 * GB;
		spec[w].capacity.accel = w % 4 == 0 ? 8 : 0;
	}
	sh_set_workers(b->sh, spec, workers);
	sh_activate(b->sh, 1, b->now_us);
	for (w = 0; w < workers; w++) {
		sh_sync_build(b->sh, w, b->now_us, &sync);
		r.clock_us = b->now_us;
		r.lease_generation = 1;
		r.has_inventory = true;
		sh_sync_reply(b->sh, w, &r, b->now_us);
	}
}

static void
submit(struct bench *b, enum st_kind kind, enum st_class c, uint32_t count,
    int64_t run_us)
{
	struct st_job_spec spec = {0};
	struct sh_job *job;
	const char *why;
	char id[32];
	char team[16];

	snprintf(id, sizeof(id), "s.%024u", b->next_job++);
	snprintf(team, sizeof(team), "team%llu",
	    (unsigned long long)rng_below(&b->rng, TEAMS));
	spec.id = id;
	spec.key = id;
	spec.team = team;
	spec.name = "kind";
	spec.kind = kind;
	spec.job_class = c;
	spec.count = count;
	spec.per_task.cpu_mcpu = 500 + (int64_t)rng_below(&b->rng, 4) * 500;
	spec.per_task.mem_bytes = (1 + (int64_t)rng_below(&b->rng, 4)) * GB;
	spec.run_us = run_us;
	spec.idempotent = true;
	sh_submit(b->sh, &spec, b->now_us, &job, &why);
}

/* The worker takes starts, ends what has run its time, and obeys stops. */
static void
answer(struct bench *b, uint32_t w)
{
	struct sh_ref started[SH_SYNC_MAX];
	struct sh_ended ended[2 * SH_SYNC_MAX];
	struct sh_sync_reply r = {0};
	struct sh_sync sync;
	struct sh_task *task;
	uint32_t i;

	sh_sync_build(b->sh, w, b->now_us, &sync);
	r.clock_us = b->now_us;
	r.lease_generation = 1;
	r.started = started;
	r.ended = ended;
	for (i = 0; i < sync.start_count; i++)
		started[r.started_count++] = sync.start[i].ref;
	for (i = 0; i < sync.stop_count; i++) {
		ended[r.ended_count].ref = sync.stop[i].ref;
		ended[r.ended_count++].result = ST_RESULT_CANCELLED;
	}
	DL_FOREACH(b->sh->worker[w].tasks, task) {
		if (task->state != SH_RUNNING || task->stop ||
		    task->job->spec->run_us == 0 ||
		    r.ended_count >= SH_SYNC_MAX ||
		    b->now_us - task->started_us < task->job->spec->run_us)
			continue;
		ended[r.ended_count].ref.job = task->job->spec->id;
		ended[r.ended_count].ref.index = task->index;
		ended[r.ended_count].ref.attempt = task->attempt;
		ended[r.ended_count++].result = ST_RESULT_DONE;
	}
	b->syncs++;
	sh_sync_reply(b->sh, w, &r, b->now_us);
}

static void
commit(struct bench *b)
{
	const struct sh_pending_record *p;
	uint64_t to = 0;

	for (p = sh_pending_records(b->sh); p != NULL; p = p->next) {
		b->log_bytes += rc_estimate_bytes(p->record);
		b->records++;
		to = p->number;
	}
	if (to == 0)
		return;
	b->commits++;
	sh_committed(b->sh, to);
}

static void
step(struct bench *b, uint32_t tick)
{
	uint32_t w;

	b->now_us += TICK_US;
	/* Runs end at their time: the worker says so. */
	for (w = 0; w < b->sh->worker_count; w++) {
		if ((tick + w) % 25 == 0)
			sh_request_sync(b->sh, w);
		if (sh_sync_due(b->sh, w, b->now_us))
			answer(b, w);
	}
	sh_tick(b->sh, b->now_us);
	if (tick % 8 == 0)
		commit(b);
}

static void
note_urgent(struct bench *b)
{
	struct sh_job *job;

	for (job = b->sh->jobs; job != NULL; job = job->hh.next) {
		int64_t waited_us = b->now_us - job->accepted_us;

		if (job->spec->job_class == ST_URGENT && job->waiting > 0 &&
		    waited_us > b->urgent_worst_us)
			b->urgent_worst_us = waited_us;
	}
}

int
main(int argc, char **argv)
{
	uint32_t workers = argc > 1 ? (uint32_t)atoi(argv[1]) : 320;
	uint32_t tasks = argc > 2 ? (uint32_t)atoi(argv[2]) : 4400;
	uint32_t rate = argc > 3 ? (uint32_t)atoi(argv[3]) : 70;
	uint32_t seconds = argc > 4 ? (uint32_t)atoi(argv[4]) : 60;
	struct bench b = {.now_us = CLK_US_PER_S, .rng = {3}};
	uint64_t starts;
	uint64_t pending = 0;
	size_t count;
	size_t memory;
	double begin;
	double spent;
	uint32_t tick;
	uint32_t i;
	struct rc_record **snapshot;
	size_t snapshot_bytes = 0;

	setup(&b, workers);
	for (i = 0; i < tasks / 5 / 10; i++)
		submit(&b, ST_SERVICE, ST_NORMAL, 10, 0);
	for (i = 0; i < tasks * 4 / 5 / 10; i++)
		submit(&b, ST_BATCH, ST_HEAVY, 10,
		    (int64_t)(tasks * 4 / 5 / rate) * CLK_US_PER_S);
	for (tick = 0; tick < 500; tick++)
		step(&b, tick);
	memory = mallinfo2().uordblks;
	starts = b.sh->starts;
	b.log_bytes = b.records = b.commits = b.syncs = 0;
	begin = cpu_s();
	for (tick = 0; tick < seconds * 50; tick++) {
		pending += rate;
		while (pending >= 50) {
			pending -= 50;
			submit(&b, ST_BATCH,
			    rng_below(&b.rng, 10) == 0 ? ST_URGENT : ST_NORMAL,
			    1, 5 * CLK_US_PER_S);
		}
		step(&b, tick);
		if (tick % 10 == 0)
			note_urgent(&b);
	}
	spent = cpu_s() - begin;
	commit(&b);
	snapshot = sh_snapshot(b.sh, NULL, &count, b.now_us, 0);
	for (i = 0; i < count; i++)
		snapshot_bytes += rc_estimate_bytes(snapshot[i]);
	starts = b.sh->starts - starts;
	printf("%7u %7u %6u %9.1f %9.2f%% %9.1f %9.1f %9.2f %9zu %9zu "
	       "%10.2f\n",
	    workers, tasks, rate, (double)starts / seconds,
	    spent / seconds * 100, spent / (double)starts * 1e6,
	    (double)b.log_bytes / seconds / 1e3, (double)b.commits / seconds,
	    memory >> 10, snapshot_bytes >> 10,
	    (double)b.urgent_worst_us / CLK_US_PER_S);
	return 0;
}
