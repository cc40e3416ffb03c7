#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/replica_internal.h"

/* Reports a row that is not used, once for each of its revisions. */
void
rp_leave_out(struct replica *r, const struct ks_item *item, const char *module,
    const char *event, const char *reason)
{
	size_t bytes = strlen(item->key) + 1;
	struct rp_left_out *row;

	if (item->deleted)
		return;
	HASH_FIND_STR(r->left_out, item->key, row);
	if (row == NULL) {
		row = talloc_zero_size(r, sizeof(*row) + bytes);
		if (row == NULL)
			abort();
		memcpy(row->key, item->key, bytes);
		HASH_ADD_KEYPTR(hh, r->left_out, row->key, bytes - 1, row);
	}
	if (item->revision <= row->revision)
		return;
	row->revision = item->revision;
	ct_add(CT_LEFT_OUT, 1);
	lg_event(LG_WARN, module, event, "key", item->key, "revision",
	    lg_i64((int64_t)item->revision), "reason", reason, NULL);
}

void
rp_forget_left_out(struct replica *r, const struct ks_item *item)
{
	struct rp_left_out *row;

	HASH_FIND_STR(r->left_out, item->key, row);
	if (row == NULL || item->revision <= row->revision)
		return;
	HASH_DEL(r->left_out, row);
	talloc_free(row);
}
