#ifndef PROTOCOL_RECORD_CODEC_H
#define PROTOCOL_RECORD_CODEC_H

#include <talloc.h>

#include "coordination/ownership.h"
#include "protocol/curranttack.pb-c.h"
#include "state/record.h"

/**
 * struct rk_batch - a value of a shard's log or snapshot
 * @writer: random id of the process that wrote it
 * @nonce: identifies the write among those of @writer; 0 in a snapshot
 * @epoch: epoch that wrote it
 * @record: records in order, @count of them
 */
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
 * @bytes: receives the size of the result
 *
 * Return: encoded batch, or NULL when out of memory.
 */
uint8_t *rk_pack_batch(
    TALLOC_CTX *ctx, const struct rk_batch *b, size_t *bytes);

/**
 * rk_unpack_batch() - decode a batch
 * @ctx: talloc parent of the result
 * @buf: encoded batch
 * @len: size of @buf
 *
 * Return: batch, or NULL when it is malformed.
 */
struct rk_batch *rk_unpack_batch(
    TALLOC_CTX *ctx, const uint8_t *buf, size_t len);

/** rk_pack_head() - encode a shard's head; NULL when out of memory */
uint8_t *rk_pack_head(TALLOC_CTX *ctx, const struct ow_head *h, size_t *bytes);
/** rk_unpack_head() - decode a shard's head; false when it is malformed */
bool rk_unpack_head(const uint8_t *buf, size_t len, struct ow_head *h);

/** rk_pack_lease() - encode a lease key's value; NULL when out of memory */
uint8_t *rk_pack_lease(
    TALLOC_CTX *ctx, const char *owner, uint64_t writer, size_t *bytes);
/** rk_unpack_lease() - decode a lease key's writer; false when malformed */
bool rk_unpack_lease(const uint8_t *buf, size_t len, uint64_t *writer);

/** rk_spec_to_message() - fill in a message; it borrows the strings of @spec */
void rk_spec_to_message(const struct st_job_spec *spec, Currant__JobSpec *msg);
/** rk_spec_from_message() - decode a job description; NULL when invalid */
struct st_job_spec *rk_spec_from_message(
    TALLOC_CTX *ctx, const Currant__JobSpec *msg);

#endif
