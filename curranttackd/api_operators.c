#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "common/clock.h"
#include "common/counters.h"
#include "curranttackd/burn.h"
#include "curranttackd/api.h"
#include "protocol/json_fields.h"

#define AO_METRIC_PREFIX "currant_"

void
api_ready(struct frontend *f, struct hs_request *req, const char *suffix)
{
	bool ready;

	(void)suffix;
	pthread_mutex_lock(&f->d->config_lock);
	ready =
	    f->d->config->revision > 0 && !atomic_load(&f->d->shutting_down);
	pthread_mutex_unlock(&f->d->config_lock);
	fr_respond_json(
	    req, ready ? 200 : 503, json_pack("{s:b}", "ready", ready));
}

static json_t *
ao_shards_json(struct daemon *d)
{
	char name[DM_MAX_SHARDS][MB_NAME_BYTES];
	json_t *list = json_array();
	struct mb_member *owner;
	uint64_t epoch;
	uint32_t n = 0;
	uint32_t i;

	pthread_mutex_lock(&d->config_lock);
	for (i = 0; i < d->config->shards->count && n < DM_MAX_SHARDS; i++)
		strncpy(
		    name[n++], d->config->shards->shard[i].id, MB_NAME_BYTES);
	pthread_mutex_unlock(&d->config_lock);
	pthread_mutex_lock(&d->members_lock);
	for (i = 0; i < n; i++) {
		owner = mb_shard_owner(d->view, name[i], clk_now_us(), &epoch);
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:I}", "shard", name[i], "owner",
			owner != NULL ? owner->report.vm : "none", "epoch",
			(json_int_t)epoch));
	}
	pthread_mutex_unlock(&d->members_lock);
	return list;
}

static json_t *
ao_services_json(struct daemon *d)
{
	json_t *list = json_array();
	uint32_t n;
	uint32_t i;
	int c;

	pthread_mutex_lock(&d->config_lock);
	n = d->service_count;
	pthread_mutex_unlock(&d->config_lock);
	for (i = 0; i < n; i++) {
		struct dm_service *s = d->service[i];
		int queued = 0;

		pthread_mutex_lock(&s->lock);
		for (c = 0; c < ST_CLASS_COUNT; c++)
			queued += (int)s->routing->queued[c];
		json_array_append_new(list,
		    json_pack("{s:s, s:i, s:i, s:i}", "service", s->name,
			"endpoints", (int)s->routing->endpoint_count,
			"free_slots",
			(int)rt_free_slots(s->routing, clk_now_us()), "queued",
			queued));
		pthread_mutex_unlock(&s->lock);
	}
	return list;
}

void
api_status(struct frontend *f, struct hs_request *req, const char *suffix)
{
	struct daemon *d = f->d;
	json_t *o;

	(void)suffix;
	pthread_mutex_lock(&d->config_lock);
	o = json_pack("{s:s, s:s, s:s, s:I, s:I, s:b}", "vm", d->settings->vm,
	    "domain", d->settings->domain, "preset",
	    po_preset_name(d->config->preset), "revision",
	    (json_int_t)d->config->revision, "uptime_s",
	    (json_int_t)((clk_now_us() - d->started_us) / CLK_US_PER_S),
	    "leaving", atomic_load(&d->shutting_down));
	pthread_mutex_unlock(&d->config_lock);
	json_object_set_new(o, "shards", ao_shards_json(d));
	json_object_set_new(o, "services", ao_services_json(d));
	json_object_set_new(o, "store_errors",
	    json_integer((json_int_t)ct_get(CT_STORE_ERRORS)));
	fr_respond_json(req, 200, o);
}

static const char *
ao_member_state(const struct mb_member *m, int64_t now_us)
{
	if (m->gone_at_us != 0)
		return "gone";
	if (m->report.leaving || m->listed == MB_LISTED_LEAVING)
		return "leaving";
	return mb_alive(m, now_us) ? "alive" : "silent";
}

void
api_members(struct frontend *f, struct hs_request *req, const char *suffix)
{
	json_t *list = json_array();
	int64_t now_us = clk_now_us();
	uint32_t i;

	(void)suffix;
	pthread_mutex_lock(&f->d->members_lock);
	for (i = 0; i < f->d->view->count; i++) {
		const struct mb_member *m = &f->d->view->member[i];

		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:I, s:s}", "vm",
			m->report.vm, "domain", m->report.domain, "address",
			m->report.address, "state", ao_member_state(m, now_us),
			"revision", (json_int_t)m->report.config_revision,
			"preset", m->report.preset));
	}
	pthread_mutex_unlock(&f->d->members_lock);
	fr_respond_json(req, 200, json_pack("{s:o}", "members", list));
}

void
api_workers(struct frontend *f, struct hs_request *req, const char *suffix)
{
	(void)suffix;
	gather_from_shards(f, req, "workers");
}

void
api_placements(struct frontend *f, struct hs_request *req, const char *suffix)
{
	(void)suffix;
	gather_from_shards(f, req, "placements");
}

void
api_burn(struct frontend *f, struct hs_request *req, const char *suffix)
{
	(void)suffix;
	gather_from_daemons(f, req, "burn");
}

json_t *
ao_burn_json(struct daemon *d)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < d->service_count; i++) {
		struct dm_service *s = d->service[i];

		pthread_mutex_lock(&s->lock);
		bu_append_json(s->burn, list);
		pthread_mutex_unlock(&s->lock);
	}
	return list;
}

static void
ao_print_latency_metrics(FILE *out, struct dm_service *s)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
	size_t q;
	int c;

	pthread_mutex_lock(&s->lock);
	for (c = 0; c < ST_CLASS_COUNT; c++) {
		const struct ct_histogram *h = &s->routing->latency[c];
		const char *name = st_class_name((enum st_class)c);

		for (q = 0; q < sizeof(quantiles) / sizeof(quantiles[0]); q++)
			fprintf(out,
			    AO_METRIC_PREFIX
			    "request_latency_us{service=\"%s\","
			    "class=\"%s\",quantile=\"%g\"} "
			    "%" PRId64 "\n",
			    s->name, name, quantiles[q],
			    ct_hist_quantile(h, quantiles[q]));
		fprintf(out,
		    AO_METRIC_PREFIX "request_latency_us_count{service=\"%s\","
				     "class=\"%s\"} %" PRIu64 "\n",
		    s->name, name, h->count);
		fprintf(out,
		    AO_METRIC_PREFIX "request_latency_us_sum{service=\"%s\","
				     "class=\"%s\"} %" PRIu64 "\n",
		    s->name, name, h->sum_us);
	}
	pthread_mutex_unlock(&s->lock);
}

static void
ao_print_process_metrics(FILE *out, struct daemon *d)
{
	struct rusage ru;

	getrusage(RUSAGE_SELF, &ru);
	fprintf(out, AO_METRIC_PREFIX "process_cpu_us_total %" PRId64 "\n",
	    ((int64_t)ru.ru_utime.tv_sec + ru.ru_stime.tv_sec) * CLK_US_PER_S +
		ru.ru_utime.tv_usec + ru.ru_stime.tv_usec);
	fprintf(out, AO_METRIC_PREFIX "process_max_resident_kb %ld\n",
	    ru.ru_maxrss);
	fprintf(out, AO_METRIC_PREFIX "control_cpu_us_total %" PRId64 "\n",
	    (int64_t)atomic_load(&d->control_cpu_us));
	fprintf(out, AO_METRIC_PREFIX "requests_in_flight %d\n",
	    atomic_load(&d->requests_in_flight));
}

void
api_metrics(struct frontend *f, struct hs_request *req, const char *suffix)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	uint32_t n;
	uint32_t i;

	(void)suffix;
	for (i = 0; i < CT_COUNT; i++)
		fprintf(out,
		    "# TYPE " AO_METRIC_PREFIX
		    "%s_total counter\n" AO_METRIC_PREFIX "%s_total %" PRIu64
		    "\n",
		    ct_name((enum ct_counter)i), ct_name((enum ct_counter)i),
		    ct_get((enum ct_counter)i));
	pthread_mutex_lock(&f->d->config_lock);
	n = f->d->service_count;
	fprintf(out, AO_METRIC_PREFIX "config_revision %" PRIu64 "\n",
	    f->d->config->revision);
	pthread_mutex_unlock(&f->d->config_lock);
	for (i = 0; i < n; i++)
		ao_print_latency_metrics(out, f->d->service[i]);
	ao_print_process_metrics(out, f->d);
	fclose(out);
	hs_respond(req, 200, "text/plain; version=0.0.4", text, len, NULL, 0);
	free(text);
}
