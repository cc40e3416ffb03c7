#include <stdlib.h>
#include <string.h>

#include "common/text.h"

char *
tx_dup(TALLOC_CTX *ctx, const char *text)
{
	char *copy = talloc_strdup(ctx, text != NULL ? text : "");

	if (copy == NULL)
		abort();
	return copy;
}

void
tx_set(TALLOC_CTX *holder, char **field, const char *text)
{
	char *old = *field;

	if (text == NULL)
		text = "";
	if (old != NULL && strcmp(old, text) == 0)
		return;
	*field = tx_dup(holder, text);
	talloc_free(old);
}
