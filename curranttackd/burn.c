#include <string.h>

#include "common/clock.h"
#include "curranttackd/burn.h"

#define BU_MAX_OBJECTIVES 16

/** struct burn_minute - responses within one minute */
struct burn_minute {
	uint32_t good;
	uint32_t bad;
};

/**
 * struct burn_objective - an objective and its counts
 * @name: name in reports
 * @service: service name
 * @request_class: class of the requests
 * @target_us: responses count as good up to this latency
 * @good_ppm: promised share of good responses, in millionths
 * @minute: ring buffer of BU_HISTORY_MINUTES, indexed by the minute
 */
struct burn_objective {
	char *name;
	char *service;
	enum st_class request_class;
	int64_t target_us;
	uint32_t good_ppm;
	struct burn_minute *minute;
};

/**
 * struct burn_counters - the objectives of one service
 * @objective: objectives, @count long
 * @minute: current minute, counted from the start of the monotonic clock
 */
struct burn_counters {
	struct burn_objective objective[BU_MAX_OBJECTIVES];
	uint32_t count;
	int64_t minute;
};

static const uint32_t bu_window_minutes[] = {5, 60, 360, 4320};

struct burn_counters *
bu_create(TALLOC_CTX *ctx)
{
	return talloc_zero(ctx, struct burn_counters);
}

static struct burn_objective *
bu_find_or_add(struct burn_counters *b, const char *name)
{
	struct burn_objective *o;
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		if (strcmp(b->objective[i].name, name) == 0)
			return &b->objective[i];
	}
	if (b->count == BU_MAX_OBJECTIVES)
		return NULL;
	o = &b->objective[b->count];
	o->minute =
	    talloc_zero_array(b, struct burn_minute, BU_HISTORY_MINUTES);
	o->name = talloc_strdup(b, name);
	if (o->minute == NULL || o->name == NULL)
		return NULL;
	b->count++;
	return o;
}

void
bu_set_objectives(struct burn_counters *b, const struct cf_objectives *all,
    const char *service)
{
	struct burn_objective *o;
	uint32_t i;

	for (i = 0; i < all->count; i++) {
		const struct cf_objective *configured = &all->objective[i];

		if (strcmp(configured->service, service) != 0)
			continue;
		o = bu_find_or_add(b, configured->name);
		if (o == NULL)
			return;
		if (o->service == NULL)
			o->service = talloc_strdup(b, service);
		o->request_class = configured->request_class;
		o->target_us = configured->target_us;
		o->good_ppm = configured->good_ppm;
	}
}

void
bu_advance(struct burn_counters *b, int64_t now_us)
{
	int64_t minute = now_us / (60 * CLK_US_PER_S);
	uint32_t i;

	if (b->minute == 0 || minute - b->minute > BU_HISTORY_MINUTES)
		b->minute = minute - 1;
	while (b->minute < minute) {
		b->minute++;
		for (i = 0; i < b->count; i++)
			memset(&b->objective[i]
				    .minute[b->minute % BU_HISTORY_MINUTES],
			    0, sizeof(struct burn_minute));
	}
}

void
bu_record(
    struct burn_counters *b, enum st_class c, bool done, int64_t latency_us)
{
	uint32_t i;

	for (i = 0; i < b->count; i++) {
		struct burn_objective *o = &b->objective[i];
		struct burn_minute *m =
		    &o->minute[b->minute % BU_HISTORY_MINUTES];

		if (o->request_class != c)
			continue;
		if (done && latency_us <= o->target_us)
			m->good++;
		else
			m->bad++;
	}
}

static json_t *
bu_window_json(const struct burn_counters *b, const struct burn_objective *o,
    uint32_t minutes)
{
	uint64_t good = 0;
	uint64_t bad = 0;
	uint32_t i;

	for (i = 0; i < minutes && (int64_t)i <= b->minute; i++) {
		const struct burn_minute *m =
		    &o->minute[(b->minute - i) % BU_HISTORY_MINUTES];

		good += m->good;
		bad += m->bad;
	}
	return json_pack("{s:i, s:I, s:I}", "minutes", (int)minutes, "good",
	    (json_int_t)good, "bad", (json_int_t)bad);
}

void
bu_append_json(const struct burn_counters *b, json_t *list)
{
	uint32_t i;
	size_t k;

	for (i = 0; i < b->count; i++) {
		const struct burn_objective *o = &b->objective[i];
		json_t *windows = json_array();

		for (k = 0; k <
		     sizeof(bu_window_minutes) / sizeof(bu_window_minutes[0]);
		     k++)
			json_array_append_new(windows,
			    bu_window_json(b, o, bu_window_minutes[k]));
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:I, s:i, s:o}", "objective",
			o->name, "service", o->service, "class",
			st_class_name(o->request_class), "target_us",
			(json_int_t)o->target_us, "good_ppm", (int)o->good_ppm,
			"windows", windows));
	}
}
