#include <string.h>
#include <xxhash.h>

#include "coordination/config.h"

static const char *const cf_area_names[CF_AREA_COUNT] = {
    [CF_PRESET] = "preset",
    [CF_TEAMS] = "teams",
    [CF_SERVICES] = "services",
    [CF_SHARDS] = "shards",
    [CF_OBJECTIVES] = "objectives",
};

const char *
cf_area_name(enum cf_area area)
{
	return cf_area_names[area];
}

bool
cf_area_parse(const char *name, enum cf_area *area)
{
	unsigned int i;

	for (i = 0; i < CF_AREA_COUNT; i++) {
		if (strcmp(name, cf_area_names[i]) == 0) {
			*area = (enum cf_area)i;
			return true;
		}
	}
	return false;
}

struct cf_config *
cf_create(TALLOC_CTX *ctx)
{
	struct cf_config *c;

	c = talloc_zero(ctx, struct cf_config);
	if (c == NULL)
		return NULL;
	c->shards = talloc_zero(c, struct cf_shards);
	c->services = talloc_zero(c, struct cf_services);
	c->teams = talloc_zero(c, struct cf_teams);
	c->objectives = talloc_zero(c, struct cf_objectives);
	return c;
}

enum cf_error
cf_apply(struct cf_config *c, cf_parse_fn parse, enum cf_area area,
    uint64_t revision, const uint8_t *body, size_t body_bytes, char *error)
{
	struct cf_doc *doc = &c->doc[area];
	uint8_t *copy;

	if (revision <= doc->revision)
		return CF_STALE;
	copy = talloc_memdup(c, body, body_bytes);
	if (copy == NULL || !parse(c, area, body, body_bytes, error)) {
		talloc_free(copy);
		return CF_INVALID;
	}
	talloc_free(doc->body);
	doc->body = copy;
	doc->body_bytes = body_bytes;
	doc->revision = revision;
	if (revision > c->revision)
		c->revision = revision;
	return CF_OK;
}

static uint64_t
cf_hash_weight(const char *shard, const char *key)
{
	XXH64_hash_t seed = XXH3_64bits(shard, strlen(shard));

	return XXH3_64bits_withSeed(key, strlen(key), seed);
}

const struct cf_shard *
cf_home_shard(const struct cf_shards *shards, const char *key,
    bool (*fits)(const struct cf_shard *s, const void *arg), const void *arg)
{
	const struct cf_shard *best = NULL;
	uint64_t best_weight = 0;
	uint32_t i;

	for (i = 0; i < shards->count; i++) {
		const struct cf_shard *s = &shards->shard[i];
		uint64_t weight = cf_hash_weight(s->id, key);

		if (best != NULL && weight <= best_weight)
			continue;
		if (fits != NULL && !fits(s, arg))
			continue;
		best = s;
		best_weight = weight;
	}
	return best;
}

uint64_t
cf_shard_task_capacity(const struct cf_shard *s, const struct st_res *need)
{
	uint64_t total = 0;
	uint32_t w;

	for (w = 0; w < s->worker_count; w++)
		total += st_res_count(&s->worker[w].capacity, need);
	return total;
}

static int64_t
cf_proportion(int64_t quota, int64_t capacity, int64_t total)
{
	if (total <= 0)
		return 0;
	return (int64_t)((__int128)quota * capacity / total);
}

struct st_res
cf_quota_share(const struct cf_shards *shards, const struct cf_shard *s,
    const struct st_res *quota)
{
	struct st_res total = {0};
	struct st_res share;
	uint32_t i;

	for (i = 0; i < shards->count; i++)
		st_res_add(&total, &shards->shard[i].capacity);
	share.cpu_mcpu = cf_proportion(
	    quota->cpu_mcpu, s->capacity.cpu_mcpu, total.cpu_mcpu);
	share.mem_bytes = cf_proportion(
	    quota->mem_bytes, s->capacity.mem_bytes, total.mem_bytes);
	share.accel = (int32_t)cf_proportion(
	    quota->accel, s->capacity.accel, total.accel);
	return share;
}
