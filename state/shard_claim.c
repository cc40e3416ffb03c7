#include "state/shard_internal.h"

#define SH_CLAIM_BUDGET 256U

enum cl_take_result
sh_claim_take(struct sh_shard *sh, const char *key, uint64_t body_hash,
    int64_t unknown_wall_us, int64_t expires_wall_us, int64_t now_wall_us,
    struct cl_claim **claim)
{
	enum cl_take_result verdict;
	struct rc_record *r;

	cl_expire(sh->claims, now_wall_us, SH_CLAIM_BUDGET);
	if (!sh->store_ok && cl_find(sh->claims, key) == NULL) {
		*claim = NULL;
		return CL_FULL;
	}
	verdict = cl_take(sh->claims, key, body_hash, unknown_wall_us,
	    expires_wall_us, now_wall_us, claim);
	if (verdict != CL_GRANTED)
		return verdict;
	r = talloc_zero(sh, struct rc_record);
	r->kind = RC_CLAIM_TAKEN;
	r->key = talloc_strdup(r, key);
	r->body_hash = body_hash;
	r->attempt = (uint64_t)unknown_wall_us;
	r->deadline_wall_us = expires_wall_us;
	(*claim)->record_number = sh_append_record(sh, r);
	return verdict;
}

void
sh_claim_end(struct sh_shard *sh, const char *key, enum st_result result,
    uint32_t status, const uint8_t *response, size_t response_bytes)
{
	struct cl_claim *c = cl_find(sh->claims, key);
	struct rc_record *r;

	if (c == NULL || c->state == CL_ENDED)
		return;
	r = talloc_zero(sh, struct rc_record);
	r->kind = RC_CLAIM_ENDED;
	r->key = talloc_strdup(r, key);
	r->result = result;
	r->status = status;
	if (result == ST_RESULT_NONE) {
		cl_remove(sh->claims, c);
		sh_append_record(sh, r);
		return;
	}
	cl_end(sh->claims, c, result, status, response, response_bytes);
	r->index = c->response_kept ? 1 : 0;
	if (c->response_bytes > 0) {
		r->response = talloc_memdup(r, c->response, c->response_bytes);
		r->response_bytes = c->response_bytes;
	}
	c->record_number = sh_append_record(sh, r);
}
