/*
 * Placement: decisions a second, latency, and packing of the shipped way
 * against first fit and random fit, in one run. Usage:
 * bench_placement WORKERS TASKS DECISIONS
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"
#include "common/counters.h"
#include "state/placement.h"

#define GB INT64_C(1000000000)
#define PLAIN_OF_11 8

struct placed {
	struct st_res need;
	uint32_t worker;
};

struct outcome {
	double cpu_packing;
	double accel_packing;
	double stranded_accel;
	uint32_t used_workers;
	uint32_t refused;
};

static uint64_t
now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000U + (uint64_t)ts.tv_nsec;
}

static struct pl_table *
make_table(uint32_t workers)
{
	struct pl_table *t = pl_create(NULL, workers);
	uint32_t w;

	for (w = 0; w < workers; w++) {
		struct st_res plain = {32000, 128 * GB, 0};
		struct st_res accel = {64000, 256 * GB, 8};
		bool is_plain = w % 11 < PLAIN_OF_11;

		pl_set_worker(t, w, is_plain ? &plain : &accel, w / 5);
	}
	return t;
}

static void
draw(struct rng *rng, struct st_res *need)
{
	uint64_t kind = rng_below(rng, 100);

	memset(need, 0, sizeof(*need));
	if (kind < 20) {
		need->cpu_mcpu = 1000 + (int64_t)rng_below(rng, 3) * 1000;
		need->mem_bytes = (2 + (int64_t)rng_below(rng, 6)) * GB;
	} else if (kind < 95) {
		need->cpu_mcpu = 500 + (int64_t)rng_below(rng, 8) * 500;
		need->mem_bytes = (1 + (int64_t)rng_below(rng, 14)) * GB;
	} else {
		need->cpu_mcpu = 2000 + (int64_t)rng_below(rng, 3) * 2000;
		need->mem_bytes = (8 + (int64_t)rng_below(rng, 24)) * GB;
		need->accel = 1 << rng_below(rng, 4);
	}
}

static void
measure(const struct pl_table *t, struct outcome *o)
{
	struct st_res used = {0};
	struct st_res of_used = {0};
	int64_t stranded = 0;
	int64_t accel_total = 0;
	uint32_t w;

	memset(o, 0, sizeof(*o));
	for (w = 0; w < t->count; w++) {
		const struct pl_worker *row = &t->worker[w];
		struct st_res here = row->capacity;

		st_res_sub(&here, &row->free);
		accel_total += row->capacity.accel;
		/* Free accelerators that no free core or memory can feed. */
		if (row->free.accel > 0 &&
		    (row->free.cpu_mcpu < 2000 || row->free.mem_bytes < 8 * GB))
			stranded += row->free.accel;
		if (here.cpu_mcpu == 0 && here.mem_bytes == 0)
			continue;
		o->used_workers++;
		st_res_add(&used, &here);
		st_res_add(&of_used, &row->capacity);
	}
	o->cpu_packing = (double)used.cpu_mcpu / (double)of_used.cpu_mcpu;
	if (of_used.accel > 0)
		o->accel_packing = (double)used.accel / (double)of_used.accel;
	if (accel_total > 0)
		o->stranded_accel = (double)stranded / (double)accel_total;
}

static void
run(const char *name, pl_pick_fn pick, enum po_goal goal, uint32_t workers,
    uint32_t tasks, uint32_t decisions)
{
	static struct ct_histogram ns;
	struct pl_table *t = make_table(workers);
	struct placed *p = calloc(tasks, sizeof(*p));
	const struct po_policy *policy = po_get(PO_ORDINARY, goal);
	struct rng rng = {42};
	struct rng choice = {7};
	struct outcome o;
	uint32_t refused = 0;
	uint64_t begin;
	uint64_t total;
	uint32_t i;

	memset(&ns, 0, sizeof(ns));
	for (i = 0; i < tasks; i++) {
		struct pl_request req = {.ends_us = INT64_MAX};

		draw(&rng, &req.need);
		p[i].need = req.need;
		p[i].worker = pick(t, &req, policy, &choice);
		if (p[i].worker == PL_NONE)
			refused++;
		else
			pl_reserve(t, p[i].worker, &req.need);
	}
	begin = now_ns();
	for (i = 0; i < decisions; i++) {
		struct pl_request req = {.ends_us = INT64_MAX};
		uint32_t k = (uint32_t)rng_below(&rng, tasks);
		uint64_t at;

		if (p[k].worker != PL_NONE)
			pl_release(t, p[k].worker, &p[k].need);
		draw(&rng, &req.need);
		p[k].need = req.need;
		at = now_ns();
		p[k].worker = pick(t, &req, policy, &choice);
		if (p[k].worker == PL_NONE)
			refused++;
		else
			pl_reserve(t, p[k].worker, &req.need);
		ct_hist_record(&ns, (int64_t)(now_ns() - at));
	}
	total = now_ns() - begin;
	measure(t, &o);
	printf("%-22s %6u %6u %10.0f %8.1f %8.1f %8.1f %7.1f%% %7.1f%% "
	       "%7.1f%% %6u %7u\n",
	    name, workers, tasks, decisions / ((double)total / 1e9),
	    (double)ct_hist_quantile(&ns, 0.5) / 1e3,
	    (double)ct_hist_quantile(&ns, 0.99) / 1e3,
	    (double)ct_hist_quantile(&ns, 0.999) / 1e3, o.cpu_packing * 100,
	    o.accel_packing * 100, o.stranded_accel * 100, o.used_workers,
	    refused);
	free(p);
	talloc_free(t);
}

int
main(int argc, char **argv)
{
	uint32_t workers = argc > 1 ? (uint32_t)atoi(argv[1]) : 3800;
	uint32_t tasks = argc > 2 ? (uint32_t)atoi(argv[2]) : 52000;
	uint32_t decisions = argc > 3 ? (uint32_t)atoi(argv[3]) : 60000;

	printf("%-22s %6s %6s %10s %8s %8s %8s %8s %8s %8s %6s %7s\n", "way",
	    "VMs", "tasks", "per s", "p50 us", "p99 us", "p99.9", "cpu pk",
	    "acc pk", "stranded", "used", "refused");
	run("score, packing", pl_pick_score, PO_PACKING, workers, tasks,
	    decisions);
	run("score, waiting", pl_pick_score, PO_WAITING, workers, tasks,
	    decisions);
	run("first fit", pl_pick_first, PO_PACKING, workers, tasks, decisions);
	run("random fit", pl_pick_random, PO_PACKING, workers, tasks,
	    decisions);
	return 0;
}
