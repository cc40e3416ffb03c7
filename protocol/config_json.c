#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "protocol/config_json.h"
#include "protocol/json_fields.h"

#define CJ_MAX_SHARDS 256
#define CJ_MAX_WORKERS 20000
#define CJ_MAX_SLOTS 4096
#define CJ_MAX_ACCEL 64
#define CJ_HOUR_US (3600 * CLK_US_PER_S)
#define CJ_PPM 1000000

static bool
cj_parse_preset(struct cf_config *c, struct jf_reader *r)
{
	const char *name = jf_string(r, "preset", true);
	enum po_preset preset = PO_ORDINARY;

	if (name != NULL && !po_preset_parse(name, &preset))
		jf_fail(r, "preset",
		    "must be \"ordinary\", \"peaks\" or \"maintenance\"");
	if (!jf_end(r))
		return false;
	c->preset = preset;
	return true;
}

static void
cj_read_resources(struct jf_reader *r, struct st_res *res)
{
	res->cpu_mcpu = jf_cpu_mcpu(r, "cpu");
	res->mem_bytes = jf_memory_bytes(r, "memory");
	res->accel =
	    (int32_t)jf_integer(r, "accelerators", 0, 0, CJ_MAX_ACCEL * 10000);
}

static bool
cj_parse_teams(struct cf_config *c, struct jf_reader *r)
{
	json_t *list = jf_array(r, "teams", true);
	struct cf_teams *teams = talloc_zero(c, struct cf_teams);
	size_t n = json_array_size(list);
	size_t i;

	teams->team = talloc_zero_array(teams, struct cf_team, (unsigned)n);
	for (i = 0; i < n; i++) {
		struct cf_team *t = &teams->team[i];
		struct jf_reader child;

		jf_child(&child, r, json_array_get(list, i), "teams", (int)i);
		t->name = talloc_strdup(teams, jf_name(&child, "name", true));
		/* A team's quota may exceed the limits of one VM's resources. */
		t->quota.cpu_mcpu =
		    1000 * jf_integer(&child, "cpu", -1, 0, INT32_MAX);
		if (t->quota.cpu_mcpu < 0)
			jf_fail(&child, "cpu", "is missing");
		t->quota.mem_bytes = jf_memory_bytes(&child, "memory");
		t->quota.accel = (int32_t)jf_integer(
		    &child, "accelerators", 0, 0, INT32_MAX);
		if (!jf_end(&child))
			break;
	}
	teams->count = (uint32_t)n;
	if (!jf_end(r)) {
		talloc_free(teams);
		return false;
	}
	talloc_free(c->teams);
	c->teams = teams;
	return true;
}

static void
cj_read_endpoint(struct jf_reader *r, TALLOC_CTX *ctx, struct cf_endpoint *e)
{
	e->id = talloc_strdup(ctx, jf_name(r, "id", true));
	e->address = talloc_strdup(ctx, jf_address(r, "address", true));
	e->domain = talloc_strdup(ctx, jf_name(r, "domain", true));
	e->slots = (uint32_t)jf_integer(r, "slots", 8, 1, CJ_MAX_SLOTS);
	e->connections =
	    (uint32_t)jf_integer(r, "connections", 64, 1, CJ_MAX_SLOTS);
	jf_end(r);
}

static void
cj_read_service(struct jf_reader *r, TALLOC_CTX *ctx, struct cf_service *s)
{
	json_t *list;
	size_t n;
	size_t i;

	s->name = talloc_strdup(ctx, jf_name(r, "name", true));
	list = jf_array(r, "endpoints", true);
	n = json_array_size(list);
	s->endpoint = talloc_zero_array(ctx, struct cf_endpoint, (unsigned)n);
	s->endpoint_count = (uint32_t)n;
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(
		    &child, r, json_array_get(list, i), "endpoints", (int)i);
		cj_read_endpoint(&child, ctx, &s->endpoint[i]);
	}
	jf_end(r);
}

static bool
cj_parse_services(struct cf_config *c, struct jf_reader *r)
{
	json_t *list = jf_array(r, "services", true);
	struct cf_services *services = talloc_zero(c, struct cf_services);
	size_t n = json_array_size(list);
	size_t i;

	services->service =
	    talloc_zero_array(services, struct cf_service, (unsigned)n);
	services->count = (uint32_t)n;
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(
		    &child, r, json_array_get(list, i), "services", (int)i);
		cj_read_service(&child, services, &services->service[i]);
	}
	if (!jf_end(r)) {
		talloc_free(services);
		return false;
	}
	talloc_free(c->services);
	c->services = services;
	return true;
}

static void
cj_read_worker(struct jf_reader *r, TALLOC_CTX *ctx, struct cf_worker *w)
{
	w->id = talloc_strdup(ctx, jf_name(r, "id", true));
	w->address = talloc_strdup(ctx, jf_address(r, "address", true));
	w->rack = talloc_strdup(ctx, jf_name(r, "rack", true));
	cj_read_resources(r, &w->capacity);
	jf_end(r);
}

static void
cj_read_shard(struct jf_reader *r, TALLOC_CTX *ctx, struct cf_shard *s)
{
	json_t *list;
	size_t n;
	size_t i;

	s->id = talloc_strdup(ctx, jf_name(r, "id", true));
	s->domain = talloc_strdup(ctx, jf_name(r, "domain", true));
	list = jf_array(r, "workers", true);
	n = json_array_size(list);
	if (n > CJ_MAX_WORKERS)
		jf_fail(r, "workers", "has too many entries");
	s->worker = talloc_zero_array(ctx, struct cf_worker, (unsigned)n);
	s->worker_count = (uint32_t)n;
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(&child, r, json_array_get(list, i), "workers", (int)i);
		cj_read_worker(&child, ctx, &s->worker[i]);
		if (!jf_failed(r))
			st_res_add(&s->capacity, &s->worker[i].capacity);
	}
	jf_end(r);
}

/* A worker has one owner, so its id may appear in one shard only. */
static void
cj_check_shards(struct jf_reader *r, const struct cf_shards *shards)
{
	json_t *seen = json_object();
	uint32_t i;
	uint32_t w;

	for (i = 0; i < shards->count && !jf_failed(r); i++) {
		const struct cf_shard *s = &shards->shard[i];
		char field[96];

		snprintf(field, sizeof(field), "shards[%u]", i);
		if (strchr(s->id, '.') != NULL)
			jf_fail(r, field, "id must not hold a dot");
		if (json_object_get(seen, s->id) != NULL)
			jf_fail(r, field, "id is used twice");
		json_object_set_new(seen, s->id, json_true());
		for (w = 0; w < s->worker_count; w++) {
			char key[160];

			snprintf(
			    key, sizeof(key), "worker %s", s->worker[w].id);
			if (json_object_get(seen, key) != NULL) {
				snprintf(field, sizeof(field),
				    "shards[%u].workers[%u]", i, w);
				jf_fail(r, field, "id is used twice");
			}
			json_object_set_new(seen, key, json_true());
		}
	}
	json_decref(seen);
}

static bool
cj_parse_shards(struct cf_config *c, struct jf_reader *r)
{
	const char *goal = jf_string(r, "goal", true);
	json_t *list = jf_array(r, "shards", true);
	struct cf_shards *shards = talloc_zero(c, struct cf_shards);
	size_t n = json_array_size(list);
	size_t i;

	if (goal != NULL && !po_goal_parse(goal, &shards->goal))
		jf_fail(r, "goal", "must be \"packing\" or \"waiting\"");
	if (n > CJ_MAX_SHARDS)
		jf_fail(r, "shards", "has too many entries");
	shards->shard = talloc_zero_array(shards, struct cf_shard, (unsigned)n);
	shards->count = (uint32_t)n;
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(&child, r, json_array_get(list, i), "shards", (int)i);
		cj_read_shard(&child, shards, &shards->shard[i]);
	}
	if (!jf_failed(r))
		cj_check_shards(r, shards);
	if (!jf_end(r)) {
		talloc_free(shards);
		return false;
	}
	talloc_free(c->shards);
	c->shards = shards;
	return true;
}

static void
cj_read_objective(struct jf_reader *r, TALLOC_CTX *ctx, struct cf_objective *o)
{
	const char *class_name;

	o->name = talloc_strdup(ctx, jf_name(r, "name", true));
	o->service = talloc_strdup(ctx, jf_name(r, "service", true));
	class_name = jf_string(r, "class", true);
	if (class_name != NULL &&
	    !st_class_parse(class_name, &o->request_class))
		jf_fail(r, "class", "must be urgent, normal or heavy");
	o->target_us =
	    jf_duration_us(r, "target", -1, CLK_US_PER_MS, CJ_HOUR_US);
	o->good_ppm = (uint32_t)jf_integer(r, "good_ppm", 0, 1, CJ_PPM - 1);
	if (o->good_ppm == 0)
		jf_fail(r, "good_ppm", "is missing");
	jf_end(r);
}

static bool
cj_parse_objectives(struct cf_config *c, struct jf_reader *r)
{
	json_t *list = jf_array(r, "objectives", true);
	struct cf_objectives *objectives = talloc_zero(c, struct cf_objectives);
	size_t n = json_array_size(list);
	size_t i;

	objectives->objective =
	    talloc_zero_array(objectives, struct cf_objective, (unsigned)n);
	objectives->count = (uint32_t)n;
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(
		    &child, r, json_array_get(list, i), "objectives", (int)i);
		cj_read_objective(
		    &child, objectives, &objectives->objective[i]);
	}
	if (!jf_end(r)) {
		talloc_free(objectives);
		return false;
	}
	talloc_free(c->objectives);
	c->objectives = objectives;
	return true;
}

bool
cj_parse(struct cf_config *c, enum cf_area area, const uint8_t *body,
    size_t body_bytes, char *error)
{
	static bool (*const parse[CF_AREA_COUNT])(
	    struct cf_config * c, struct jf_reader * r) = {
	    [CF_PRESET] = cj_parse_preset,
	    [CF_TEAMS] = cj_parse_teams,
	    [CF_SERVICES] = cj_parse_services,
	    [CF_SHARDS] = cj_parse_shards,
	    [CF_OBJECTIVES] = cj_parse_objectives,
	};
	struct jf_reader r;
	json_t *value;
	bool ok;

	value = jf_parse(body, body_bytes, error);
	if (value == NULL)
		return false;
	jf_begin(&r, value, error);
	ok = !jf_failed(&r) && parse[area](c, &r);
	json_decref(value);
	return ok;
}
