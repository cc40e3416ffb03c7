#include <nettle/base64.h>
#include <string.h>

#include "common/base64.h"

char *
b64_encode(TALLOC_CTX *ctx, const uint8_t *data, size_t bytes)
{
	char *text =
	    talloc_array(ctx, char, BASE64_ENCODE_RAW_LENGTH(bytes) + 1);

	if (text == NULL)
		return NULL;
	base64_encode_raw(text, bytes, data);
	text[BASE64_ENCODE_RAW_LENGTH(bytes)] = '\0';
	return text;
}

uint8_t *
b64_decode(TALLOC_CTX *ctx, const char *text, size_t *bytes)
{
	struct base64_decode_ctx state;
	size_t n = strlen(text);
	uint8_t *data;

	data = talloc_array(ctx, uint8_t, BASE64_DECODE_LENGTH(n) + 1);
	if (data == NULL)
		return NULL;
	*bytes = BASE64_DECODE_LENGTH(n);
	base64_decode_init(&state);
	if (!base64_decode_update(&state, bytes, data, n, text) ||
	    !base64_decode_final(&state)) {
		talloc_free(data);
		return NULL;
	}
	data[*bytes] = 0;
	return data;
}
