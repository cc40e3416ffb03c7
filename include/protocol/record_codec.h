#ifndef PROTOCOL_RECORD_CODEC_H
#define PROTOCOL_RECORD_CODEC_H

#include <talloc.h>

#include "coordination/ownership.h"
#include "protocol/curranttack.pb-c.h"
#include "state/record.h"

/** struct rk_batch - one value of a shard's log or snapshot */
struct rk_batch {
	uint64_t writer;
	uint64_t nonce;
	uint64_t epoch;
	struct rc_record **record;
	size_t count;
};

/**
 * rk_pack_batch() - encode a batch
 * @ctx: talloc parent of the result
 * @b: batch
 * @bytes: size of the result
 */
uint8_t *rk_pack_batch(
    TALLOC_CTX *ctx, const struct rk_batch *b, size_t *bytes);

/**
 * rk_unpack_batch() - decode a batch
 * @ctx: talloc parent of the result
 * @buf: value
 * @len: its size
 *
 * Return: batch, or NULL when it cannot be decoded.
 */
struct rk_batch *rk_unpack_batch(
    TALLOC_CTX *ctx, const uint8_t *buf, size_t len);

/** rk_pack_head() - encode a shard's head */
uint8_t *rk_pack_head(TALLOC_CTX *ctx, const struct ow_head *h, size_t *bytes);
/** rk_unpack_head() - decode a shard's head; false when it cannot be */
bool rk_unpack_head(const uint8_t *buf, size_t len, struct ow_head *h);

/** rk_pack_lease() - encode the value of a shard's lease key */
uint8_t *rk_pack_lease(
    TALLOC_CTX *ctx, const char *owner, uint64_t writer, size_t *bytes);
/** rk_unpack_lease() - writer in a lease key's value; false if broken */
bool rk_unpack_lease(const uint8_t *buf, size_t len, uint64_t *writer);

/** rk_spec_to_message() - fill a message that points into @spec */
void rk_spec_to_message(const struct st_job_spec *spec, Currant__JobSpec *msg);
/** rk_spec_from_message() - copy a message; NULL when out of range */
struct st_job_spec *rk_spec_from_message(
    TALLOC_CTX *ctx, const Currant__JobSpec *msg);

#endif
