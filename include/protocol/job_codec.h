#ifndef PROTOCOL_JOB_CODEC_H
#define PROTOCOL_JOB_CODEC_H

#include <stddef.h>
#include <stdint.h>

#include "state/job.h"

/**
 * DOC: Encoding of jobs and their progress as values of the key space.
 *
 * Results are talloc children of @ctx. Packing aborts when out of memory.
 */

/** jc_pack_job() - encode an accepted job; @bytes gets the size */
uint8_t *jc_pack_job(
    TALLOC_CTX *ctx, const struct jb_spec *spec, size_t *bytes);

/** jc_unpack_job() - decode an accepted job; NULL when it is invalid */
struct jb_spec *jc_unpack_job(
    TALLOC_CTX *ctx, const uint8_t *value, size_t bytes);

/** jc_pack_progress() - encode a job's progress; @bytes gets the size */
uint8_t *jc_pack_progress(
    TALLOC_CTX *ctx, const struct jb_progress *progress, size_t *bytes);

/**
 * jc_unpack_state() - decode the state of a job from its progress, but no task
 * @value: encoded progress, @bytes long
 * @state: receives the job's state
 * @started: receives whether a task has been started
 *
 * Return: false when @value is malformed; its tasks are not checked.
 */
bool jc_unpack_state(
    const uint8_t *value, size_t bytes, enum jb_state *state, bool *started);

/** jc_unpack_progress() - decode a job's progress; NULL when it is malformed */
struct jb_progress *jc_unpack_progress(
    TALLOC_CTX *ctx, const uint8_t *value, size_t bytes);

#endif
