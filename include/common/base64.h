#ifndef COMMON_BASE64_H
#define COMMON_BASE64_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * b64_encode() - encode as standard base64 with padding
 * @ctx: talloc parent
 * @data: bytes, @bytes of them
 *
 * Return: NUL-terminated text, or NULL when out of memory.
 */
char *b64_encode(TALLOC_CTX *ctx, const uint8_t *data, size_t bytes);

/**
 * b64_decode() - decode standard base64 with padding
 * @ctx: talloc parent
 * @text: text
 * @bytes: size of the result
 *
 * Return: the bytes, followed by a NUL, or NULL when @text is not valid base64 or
 * when out of memory.
 */
uint8_t *b64_decode(TALLOC_CTX *ctx, const char *text, size_t *bytes);

#endif
