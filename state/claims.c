#include <string.h>

#include "state/claims.h"

#define CL_FIXED_BYTES (sizeof(struct cl_claim) + 128)

struct cl_table *
cl_create(TALLOC_CTX *ctx, size_t max_bytes)
{
	struct cl_table *t;

	t = talloc_zero(ctx, struct cl_table);
	if (t != NULL)
		t->max_bytes = max_bytes;
	return t;
}

struct cl_claim *
cl_find(struct cl_table *t, const char *key)
{
	struct cl_claim *c;

	HASH_FIND_STR(t->by_key, key, c);
	return c;
}

static size_t
cl_bytes(const struct cl_claim *c)
{
	return CL_FIXED_BYTES + strlen(c->key) + c->response_bytes;
}

static enum cl_take_result
cl_existing_result(
    const struct cl_claim *c, uint64_t body_hash, int64_t now_wall_us)
{
	if (c->body_hash != body_hash)
		return CL_KEY_REUSED;
	if (c->state == CL_ENDED)
		return c->result == ST_RESULT_DONE ? CL_RESPONDED
						   : CL_OUTCOME_UNKNOWN;
	return now_wall_us >= c->unknown_wall_us ? CL_OUTCOME_UNKNOWN
						 : CL_IN_PROGRESS;
}

enum cl_take_result
cl_take(struct cl_table *t, const char *key, uint64_t body_hash,
    int64_t unknown_wall_us, int64_t expires_wall_us, int64_t now_wall_us,
    struct cl_claim **claim)
{
	struct cl_claim *c;

	*claim = NULL;
	c = cl_find(t, key);
	if (c != NULL && now_wall_us >= c->expires_wall_us) {
		cl_remove(t, c);
		c = NULL;
	}
	if (c != NULL) {
		*claim = c;
		return cl_existing_result(c, body_hash, now_wall_us);
	}
	if (t->bytes + CL_FIXED_BYTES + strlen(key) > t->max_bytes)
		return CL_FULL;
	c = talloc_zero(t, struct cl_claim);
	if (c == NULL)
		return CL_FULL;
	c->key = talloc_strdup(c, key);
	c->body_hash = body_hash;
	c->unknown_wall_us = unknown_wall_us;
	c->expires_wall_us = expires_wall_us;
	t->bytes += cl_bytes(c);
	HASH_ADD_KEYPTR(hh, t->by_key, c->key, strlen(c->key), c);
	*claim = c;
	return CL_GRANTED;
}

void
cl_end(struct cl_table *t, struct cl_claim *c, enum st_result result,
    uint32_t status, const uint8_t *response, size_t response_bytes)
{
	t->bytes -= cl_bytes(c);
	TALLOC_FREE(c->response);
	c->response_bytes = 0;
	c->state = CL_ENDED;
	c->result = result;
	c->status = status;
	c->response_kept = response_bytes <= CL_MAX_RESPONSE_BYTES;
	if (c->response_kept && response_bytes > 0) {
		c->response = talloc_memdup(c, response, response_bytes);
		c->response_bytes = response_bytes;
	}
	t->bytes += cl_bytes(c);
}

void
cl_remove(struct cl_table *t, struct cl_claim *c)
{
	t->bytes -= cl_bytes(c);
	HASH_DEL(t->by_key, c);
	talloc_free(c);
}

void
cl_expire(struct cl_table *t, int64_t now_wall_us, uint32_t budget)
{
	struct cl_claim *c;
	struct cl_claim *next;
	uint32_t seen = 0;

	/* Insertion order is close to expiry order. */
	HASH_ITER(hh, t->by_key, c, next) {
		if (seen++ >= budget || now_wall_us < c->expires_wall_us)
			return;
		cl_remove(t, c);
	}
}
