#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/frame.h"

#define FR_MAGIC_0 'C'
#define FR_MAGIC_1 'T'

bool
fr_fits(const Currant__Frame *frame)
{
	return currant__frame__get_packed_size(frame) <= FR_MAX_PAYLOAD_BYTES;
}

uint8_t *
fr_pack(const Currant__Frame *frame, size_t *bytes)
{
	size_t n = currant__frame__get_packed_size(frame);
	uint32_t len = htonl((uint32_t)n);
	uint8_t *buf;

	if (n > FR_MAX_PAYLOAD_BYTES)
		return NULL;
	buf = malloc(FR_HEADER_BYTES + n);
	if (buf == NULL)
		return NULL;
	buf[0] = FR_MAGIC_0;
	buf[1] = FR_MAGIC_1;
	buf[2] = FR_VERSION;
	buf[3] = 0;
	memcpy(buf + 4, &len, sizeof(len));
	currant__frame__pack(frame, buf + FR_HEADER_BYTES);
	*bytes = FR_HEADER_BYTES + n;
	return buf;
}

enum fr_error
fr_unpack(const uint8_t *buf, size_t len, size_t *used, Currant__Frame **frame)
{
	uint32_t n;

	*used = 0;
	*frame = NULL;
	if ((len > 0 && buf[0] != FR_MAGIC_0) ||
	    (len > 1 && buf[1] != FR_MAGIC_1))
		return FR_BAD_MAGIC;
	if (len > 2 && buf[2] != FR_VERSION)
		return FR_BAD_VERSION;
	if (len < FR_HEADER_BYTES)
		return FR_INCOMPLETE;
	memcpy(&n, buf + 4, sizeof(n));
	n = ntohl(n);
	if (n > FR_MAX_PAYLOAD_BYTES)
		return FR_TOO_LARGE;
	if (len < FR_HEADER_BYTES + (size_t)n)
		return FR_INCOMPLETE;
	*frame = currant__frame__unpack(NULL, n, buf + FR_HEADER_BYTES);
	if (*frame == NULL)
		return FR_BAD_PAYLOAD;
	*used = FR_HEADER_BYTES + n;
	return FR_OK;
}

const char *
fr_error_text(enum fr_error e)
{
	static const char *const text[] = {
	    [FR_OK] = "ok",
	    [FR_INCOMPLETE] = "incomplete frame",
	    [FR_BAD_MAGIC] = "not a frame of this protocol",
	    [FR_BAD_VERSION] = "frame of an unsupported version",
	    [FR_TOO_LARGE] = "frame too large",
	    [FR_BAD_PAYLOAD] = "payload cannot be decoded",
	};

	return text[e];
}
