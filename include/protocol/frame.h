#ifndef PROTOCOL_FRAME_H
#define PROTOCOL_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/curranttack.pb-c.h"

/**
 * DOC: Frames between daemons.
 *
 * Header of FR_HEADER_BYTES: magic "CT", version, a zero byte, and the
 * payload's length in network order; then a packed Frame message.
 */

#define FR_HEADER_BYTES 8
#define FR_VERSION 1
#define FR_MAX_PAYLOAD_BYTES ((uint32_t)2 << 20)

enum fr_error {
	FR_OK,
	FR_INCOMPLETE, /* not a whole frame yet */
	FR_BAD_MAGIC,  /* not our protocol */
	FR_TOO_LARGE,
	FR_BAD_PAYLOAD,
};

/**
 * fr_pack() - encode a frame
 * @frame: message
 * @bytes: size of the result
 *
 * Return: buffer to be released with free(), or NULL when too large.
 */
uint8_t *fr_pack(const Currant__Frame *frame, size_t *bytes);

/**
 * fr_unpack() - decode the first frame of a buffer
 * @buf: received bytes
 * @len: how many
 * @used: bytes that the frame took
 * @frame: message; release with currant__frame__free_unpacked()
 */
enum fr_error fr_unpack(
    const uint8_t *buf, size_t len, size_t *used, Currant__Frame **frame);

/** fr_error_text() - an error for logs */
const char *fr_error_text(enum fr_error e);

#endif
