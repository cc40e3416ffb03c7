/*
 * Stand-in for the platform's list of VMs. PUT /_vms replaces the list; it
 * is seen after a lag, given in milliseconds as first argument.
 */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "standin.h"

struct vm_list {
	json_t *visible;
	json_t *next;
	int64_t visible_at_us;
	int64_t lag_us;
	bool down;
};

static void
on_request(struct hs_request *req, void *arg)
{
	struct vm_list *vl = arg;
	json_t *body;

	if (vl->next != NULL && clk_now_us() >= vl->visible_at_us) {
		json_decref(vl->visible);
		vl->visible = vl->next;
		vl->next = NULL;
	}
	if (strcmp(req->path, "/_down") == 0) {
		vl->down = standin_query_i64(req, "on", 1) != 0;
		standin_reply(req, 200, "ok");
	} else if (strcmp(req->path, "/_vms") == 0) {
		body = standin_body(req);
		if (body == NULL)
			return;
		json_decref(vl->next);
		vl->next = body;
		vl->visible_at_us = clk_now_us() + vl->lag_us;
		standin_reply(req, 200, "ok");
	} else if (vl->down) {
		standin_reply(req, 503, "down");
	} else if (strcmp(req->path, "/v1/vms") == 0) {
		standin_reply_json(req, 200, json_incref(vl->visible));
	} else {
		standin_reply(req, 404, "no such path");
	}
}

int
main(int argc, char **argv)
{
	struct vm_list vl = {0};
	struct loop *l = loop_create(NULL);
	char address[64];

	vl.visible = json_pack("{s:[]}", "vms");
	vl.lag_us = CLK_US_PER_MS * (argc > 1 ? strtoll(argv[1], NULL, 10) : 0);
	standin_serve(l, address, on_request, &vl);
	standin_run(l, address);
	return 0;
}
