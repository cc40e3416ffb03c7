#ifndef COMMON_BASE64_H
#define COMMON_BASE64_H

#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * b64_encode() - standard base64 with padding
 * @ctx: talloc parent
 * @data: bytes, @bytes of them
 *
 * Return: text.
 */
char *b64_encode(TALLOC_CTX *ctx, const uint8_t *data, size_t bytes);

/**
 * b64_decode() - decode standard base64 with padding
 * @ctx: talloc parent
 * @text: text
 * @bytes: size of the result
 *
 * Return: bytes with a NUL behind them, or NULL when @text is no base64.
 */
uint8_t *b64_decode(TALLOC_CTX *ctx, const char *text, size_t *bytes);

#endif
