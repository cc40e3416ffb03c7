#include <stdio.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/members_internal.h"
#include "protocol/json_fields.h"
#include "protocol/vm_json.h"

static void
me_apply_vm_list(struct members *me, const struct vj_vm_list *list)
{
	struct daemon *d = me->d;
	struct mb_vm_entry *entry;
	uint32_t n = 0;
	uint32_t i;

	entry = talloc_array(list, struct mb_vm_entry, list->count + 1);
	d->leaving_vm_count = 0;
	for (i = 0; i < list->count; i++) {
		const struct vj_vm *vm = &list->vm[i];

		if (vm->leaving && d->leaving_vm_count < DM_MAX_LEAVING_VMS)
			snprintf(d->leaving_vm[d->leaving_vm_count++],
			    MB_NAME_BYTES, "%s", vm->id);
		if (vm->role != VJ_DAEMON)
			continue;
		entry[n].vm = vm->id;
		entry[n].domain = vm->domain;
		entry[n].address = vm->address;
		entry[n++].leaving = vm->leaving;
	}
	pthread_mutex_lock(&d->members_lock);
	mb_on_vm_list(d->view, entry, n, clk_now_us());
	pthread_mutex_unlock(&d->members_lock);
}

static void
me_on_vm_list(const struct hc_response *resp, void *arg)
{
	struct members *me = arg;
	char error[JF_ERROR_BYTES];
	struct vj_vm_list *list;

	me->vm_list_in_flight = false;
	if (resp->error != HC_OK || resp->status != 200)
		return;
	list = vj_parse(me, resp->body, resp->body_bytes, error);
	if (list == NULL) {
		lg_event(
		    LG_WARN, "members", "bad_vm_list", "reason", error, NULL);
		return;
	}
	me_apply_vm_list(me, list);
	talloc_free(list);
}

void
me_on_vm_list_due(void *arg)
{
	struct members *me = arg;
	struct hc_request req = {0};
	char url[128];

	if (me->vm_list_in_flight)
		return;
	snprintf(url, sizeof(url), "http://%s/v1/vms",
	    me->d->settings->vm_list_address);
	req.method = "GET";
	req.url = url;
	req.deadline_us = clk_now_us() + me->d->settings->store_timeout_us;
	req.repeatable = true;
	me->vm_list_in_flight = true;
	hc_send(me->d->control_http, &req, me_on_vm_list, me);
}
