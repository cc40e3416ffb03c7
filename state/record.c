#include <string.h>

#include "state/record.h"

#define RC_FIXED_BYTES 64

struct st_job_spec *
rc_dup_spec(TALLOC_CTX *ctx, const struct st_job_spec *from)
{
	struct st_job_spec *to;

	to = talloc_memdup(ctx, from, sizeof(*from));
	if (to == NULL)
		return NULL;
	talloc_set_name_const(to, "struct st_job_spec");
	to->id = talloc_strdup(to, from->id);
	to->key = talloc_strdup(to, from->key != NULL ? from->key : "");
	to->team = talloc_strdup(to, from->team);
	to->name = talloc_strdup(to, from->name);
	return to;
}

static size_t
rc_text_bytes(const char *s)
{
	return s != NULL ? strlen(s) + 4 : 0;
}

size_t
rc_estimate_bytes(const struct rc_record *r)
{
	size_t n = RC_FIXED_BYTES + r->response_bytes;

	if (r->spec != NULL)
		n += RC_FIXED_BYTES + rc_text_bytes(r->spec->id) +
		    rc_text_bytes(r->spec->key) + rc_text_bytes(r->spec->team) +
		    rc_text_bytes(r->spec->name);
	n += rc_text_bytes(r->job) + rc_text_bytes(r->worker) +
	    rc_text_bytes(r->key);
	return n;
}
