#include "sim_internal.h"

#include <cstring>

extern "C" {
#include "curranttackd/cell_calls_internal.h"
}

struct SimRequest {
	struct hs_request r = {};
	uint64_t life = 0;
	std::string method;
	std::string path;
	std::string body;
	std::string wait_ms;
	SimReply reply;
	bool answered = false;
};

static std::map<struct hs_request *, std::shared_ptr<SimRequest>> sim_requests;

extern "C" int
hs_listen(const char *address, char *bound, size_t bound_bytes)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	d->listening = address;
	snprintf(bound, bound_bytes, "%s", d->vm.c_str());
	return 0;
}

extern "C" struct http_server *
hs_create(TALLOC_CTX *ctx, struct loop *, int, const struct hs_limits *,
    hs_handler_fn handler, void *arg)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	if (d->listening == "callers") {
		d->handler = handler;
		d->handler_arg = arg;
		d->cell = ((struct cc_frontend *)arg)->c;
	}
	return (struct http_server *)talloc_zero_size(ctx, 1);
}

extern "C" void
hs_add_counts(const struct http_server *, struct hs_counts *)
{
}

extern "C" void
hs_begin_drain(struct http_server *)
{
}

extern "C" void
hs_stop_accepting(struct http_server *)
{
}

extern "C" void
hs_run(struct http_server *)
{
}

extern "C" void
hs_answer_overdue(struct http_server *)
{
}

extern "C" void
hs_stop(struct http_server *)
{
}

extern "C" const char *
hs_header(struct hs_request *req, const char *name)
{
	auto found = sim_requests.find(req);

	if (found == sim_requests.end())
		return nullptr;
	if (strcmp(name, "Host") == 0)
		return "host";
	return found->second->wait_ms.c_str();
}

extern "C" const char *
hs_query(struct hs_request *, const char *)
{
	return nullptr;
}

extern "C" bool
hs_caller_has_left(struct hs_request *req)
{
	auto found = sim_requests.find(req);

	return found == sim_requests.end() || found->second->answered;
}

extern "C" void
hs_respond(struct hs_request *req, int status, const char *, const void *body,
    size_t body_bytes, const struct hs_header *, size_t)
{
	auto found = sim_requests.find(req);
	std::string text((const char *)body, body_bytes);
	std::shared_ptr<SimRequest> r;

	if (found == sim_requests.end())
		return;
	r = found->second;
	sim_requests.erase(found);
	sim_world->after(kLatency, [=] {
		if (r->answered)
			return;
		r->answered = true;
		r->reply(status, text);
	});
}

void
SimWorld::call(size_t index, const std::string &method, const std::string &path,
    const std::string &body, int64_t wait_us, SimReply reply)
{
	auto r = std::make_shared<SimRequest>();
	SimDaemon *d = daemons[index].get();

	r->life = d->life;
	r->method = method;
	r->path = path;
	r->body = body;
	r->wait_ms = std::to_string(wait_us / kSimMs);
	r->reply = [this, method, path, reply = std::move(reply)](
		       int status, const std::string &text) {
		if (method == "DELETE")
			cancelled.on_answer(path, status);
		reply(status, text);
	};
	r->r.method = r->method.c_str();
	r->r.path = r->path.c_str();
	r->r.body = r->body.c_str();
	r->r.body_bytes = r->body.size();
	after(wait_us, [r] {
		if (r->answered)
			return;
		r->answered = true;
		r->reply(0, "");
	});
	if (!d->up)
		return;
	after_in(d->life, kLatency, [d, r] {
		sim_requests[&r->r] = r;
		d->handler(&r->r, d->handler_arg);
	});
}

void
sim_drop_requests(uint64_t life)
{
	for (auto r = sim_requests.begin(); r != sim_requests.end();)
		r = r->second->life == life ? sim_requests.erase(r)
					    : std::next(r);
}

void
sim_clear_requests()
{
	sim_requests.clear();
}
