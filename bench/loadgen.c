/*
 * Open-loop load on one service through one or more daemons. Usage:
 * loadgen RATE SECONDS DEADLINE_MS SERVICE ADDRESS...
 * Prints, for each class, offered, done, not run, unknown, and latencies.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/rng.h"
#include "state/types.h"
#include "transport/http_client.h"

#define TICK_US (CLK_US_PER_MS)
#define MAX_FLIGHT 6000

struct tally {
	uint64_t offered;
	uint64_t done;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t broken;
	struct ct_histogram latency;
};

struct load {
	struct loop *loop;
	struct http_client *hc;
	struct tally tally[ST_CLASS_COUNT];
	char **address;
	int address_count;
	const char *service;
	int64_t deadline_us;
	int64_t begin_us;
	int64_t end_us;
	double rate;
	uint64_t sent;
	uint32_t flight;
	struct rng rng;
};

struct shot {
	struct load *load;
	enum st_class request_class;
	int64_t begin_us;
};

static void
on_done(const struct hc_response *resp, void *arg)
{
	struct shot *s = arg;
	struct tally *t = &s->load->tally[s->request_class];
	char outcome[16] = "";

	s->load->flight--;
	hc_header_value(resp, "X-Outcome", outcome, sizeof(outcome));
	if (resp->error != HC_OK) {
		t->broken++;
	} else if (strcmp(outcome, "done") == 0) {
		t->done++;
		ct_hist_record(&t->latency, clk_now_us() - s->begin_us);
	} else if (strcmp(outcome, "not_run") == 0) {
		t->not_run++;
	} else {
		t->unknown++;
	}
	free(s);
}

static void
fire(struct load *l)
{
	uint64_t draw = rng_below(&l->rng, 10);
	struct hc_request req = {0};
	struct shot *s = calloc(1, sizeof(*s));
	char url[200];
	char ms[24];
	struct hc_header headers[3] = {
	    {"X-Idempotent", "true"}, {"X-Deadline-Ms", ms}, {"X-Class", NULL}};

	s->load = l;
	/* Two urgent, six normal and two heavy in ten. */
	s->request_class = draw < 2 ? ST_URGENT
	    : draw < 8		    ? ST_NORMAL
				    : ST_HEAVY;
	s->begin_us = clk_now_us();
	l->tally[s->request_class].offered++;
	snprintf(ms, sizeof(ms), "%lld",
	    (long long)(l->deadline_us / CLK_US_PER_MS));
	headers[2].value = st_class_name(s->request_class);
	snprintf(url, sizeof(url), "http://%s/v1/services/%s/requests",
	    l->address[l->sent % (uint64_t)l->address_count], l->service);
	req.method = "POST";
	req.url = url;
	req.headers = headers;
	req.header_count = 3;
	req.body = "lookup";
	req.body_bytes = 6;
	req.deadline_us = s->begin_us + l->deadline_us + CLK_US_PER_S;
	l->flight++;
	hc_send(l->hc, &req, on_done, s);
}

static void
on_tick(void *arg)
{
	struct load *l = arg;
	int64_t now_us = clk_now_us();
	uint64_t due;

	if (now_us >= l->end_us) {
		if (l->flight == 0 ||
		    now_us >= l->end_us + l->deadline_us + 2 * CLK_US_PER_S)
			loop_stop(l->loop);
		return;
	}
	due = (uint64_t)(l->rate * (double)(now_us - l->begin_us) / 1e6);
	while (l->sent < due && l->flight < MAX_FLIGHT) {
		fire(l);
		l->sent++;
	}
	/* A generator that cannot keep up must not hide it. */
	if (l->sent < due && l->flight >= MAX_FLIGHT)
		l->sent = due;
}

static void
report(const struct load *l)
{
	double seconds = (double)(l->end_us - l->begin_us) / 1e6;
	int c;

	for (c = 0; c < ST_CLASS_COUNT; c++) {
		const struct tally *t = &l->tally[c];

		printf("%s %.1f %.1f %.1f %.1f %.1f %.2f %.2f %.2f\n",
		    st_class_name((enum st_class)c),
		    (double)t->offered / seconds, (double)t->done / seconds,
		    (double)t->not_run / seconds, (double)t->unknown / seconds,
		    (double)t->broken / seconds,
		    (double)ct_hist_quantile(&t->latency, 0.5) / 1e3,
		    (double)ct_hist_quantile(&t->latency, 0.99) / 1e3,
		    (double)ct_hist_quantile(&t->latency, 0.999) / 1e3);
	}
}

int
main(int argc, char **argv)
{
	static struct load l;

	if (argc < 6) {
		fprintf(stderr,
		    "usage: loadgen RATE SECONDS DEADLINE_MS SERVICE "
		    "ADDRESS...\n");
		return 64;
	}
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	l.loop = loop_create(NULL);
	l.hc = hc_create(l.loop, l.loop, 0);
	l.rate = strtod(argv[1], NULL);
	l.deadline_us = strtoll(argv[3], NULL, 10) * CLK_US_PER_MS;
	l.service = argv[4];
	l.address = argv + 5;
	l.address_count = argc - 5;
	l.rng.state = 1;
	l.begin_us = clk_now_us();
	l.end_us = l.begin_us +
	    (int64_t)(strtod(argv[2], NULL) * (double)CLK_US_PER_S);
	loop_every(l.loop, TICK_US, on_tick, &l);
	loop_run(l.loop);
	report(&l);
	return 0;
}
