#ifndef PROTOCOL_PACK_H
#define PROTOCOL_PACK_H

#include <protobuf-c/protobuf-c.h>
#include <talloc.h>

/**
 * pk_pack() - encode a message
 * @ctx: talloc parent
 * @msg: the message's base
 * @bytes: size of the result
 *
 * Return: encoded message, never NULL, also when it is empty.
 */
uint8_t *pk_pack(TALLOC_CTX *ctx, const ProtobufCMessage *msg, size_t *bytes);

#endif
