#ifndef PROTOCOL_PACK_H
#define PROTOCOL_PACK_H

#include <protobuf-c/protobuf-c.h>
#include <talloc.h>

/**
 * pk_pack() - encode a message
 * @ctx: talloc parent of the result
 * @msg: base of the message
 * @bytes: receives the size of the result
 *
 * Return: encoded message; not NULL even when it is empty. Aborts when out of
 * memory.
 */
uint8_t *pk_pack(TALLOC_CTX *ctx, const ProtobufCMessage *msg, size_t *bytes);

/**
 * pk_text() - lend a text to a message that is only packed
 * @text: the text, or NULL
 *
 * The generated structs have char * fields, but packing writes to none.
 */
char *pk_text(const char *text);

#endif
