#include <stdlib.h>

#include "protocol/pack.h"

uint8_t *
pk_pack(TALLOC_CTX *ctx, const ProtobufCMessage *msg, size_t *bytes)
{
	uint8_t *value;

	*bytes = protobuf_c_message_get_packed_size(msg);
	value = talloc_size(ctx, *bytes + 1);
	if (value == NULL)
		abort();
	protobuf_c_message_pack(msg, value);
	return value;
}

char *
pk_text(const char *text)
{
	return (char *)(uintptr_t)text;
}
