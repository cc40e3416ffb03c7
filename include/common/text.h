#ifndef COMMON_TEXT_H
#define COMMON_TEXT_H

#include <talloc.h>

/**
 * tx_dup() - copy a text
 * @ctx: talloc parent of the copy
 * @text: the text; NULL counts as empty
 *
 * Return: the copy. The process ends when there is no memory for it.
 */
char *tx_dup(TALLOC_CTX *ctx, const char *text);

/**
 * tx_set() - replace a text that its holder owns
 * @holder: talloc parent of the text
 * @field: receives a copy; the text that it had is freed, unless it is NULL
 * @text: the text; NULL counts as empty
 */
void tx_set(TALLOC_CTX *holder, char **field, const char *text);

#endif
