#ifndef PROTOCOL_FRAME_H
#define PROTOCOL_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/curranttack.pb-c.h"

/**
 * DOC: Frames between daemons.
 *
 * A header of FR_HEADER_BYTES (magic "CT", version, a zero byte, and the
 * payload's length in network byte order), followed by a packed Frame message.
 */

#define FR_HEADER_BYTES 8
#define FR_VERSION 1
#define FR_MAX_PAYLOAD_BYTES ((uint32_t)2 << 20)

/** enum fr_error - result of decoding a frame */
enum fr_error {
	FR_OK,
	FR_INCOMPLETE, /* more bytes are needed */
	FR_BAD_MAGIC,  /* not a frame of this protocol */
	FR_BAD_VERSION,
	FR_TOO_LARGE,
	FR_BAD_PAYLOAD,
};

/**
 * fr_pack() - encode a frame
 * @frame: message
 * @bytes: receives the size of the result
 *
 * Return: buffer to be released with free(), or NULL when the frame is too
 * large or memory has run out.
 */
uint8_t *fr_pack(const Currant__Frame *frame, size_t *bytes);

/** fr_fits() - whether a frame is small enough to be sent */
bool fr_fits(const Currant__Frame *frame);

/**
 * fr_unpack() - decode the first frame of a buffer
 * @buf: received bytes
 * @len: size of @buf
 * @used: receives the size of the frame; 0 unless FR_OK is returned
 * @frame: receives the message, to be released with
 *	currant__frame__free_unpacked(); NULL unless FR_OK is returned
 */
enum fr_error fr_unpack(
    const uint8_t *buf, size_t len, size_t *used, Currant__Frame **frame);

/** fr_error_text() - describe an error, for logs */
const char *fr_error_text(enum fr_error e);

#endif
