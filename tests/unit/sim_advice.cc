#include "sim_internal.h"

#include <algorithm>

/* Of ten workers, others for each step. */
static constexpr uint64_t kApprovedOfTen = 3;

static bool
is_approved(const struct wp_advice_request *req, const char *worker)
{
	uint64_t number = strtoull(worker + 1, nullptr, 10);
	uint64_t first = strtoull(req->job, nullptr, 16) * 3 + req->step;

	return (number + first) % 10 < kApprovedOfTen;
}

static std::string
make_ticket(const std::string &worker)
{
	return std::to_string(sim_world->now + kTicket) + " " + worker;
}

bool
sim_is_valid_ticket(const std::string &ticket, const SimWorker &w)
{
	long long until_us = 0;
	char worker[64] = "";

	return sscanf(ticket.c_str(), "%lld %63s", &until_us, worker) == 2 &&
	    w.id == worker && sim_world->now <= until_us;
}

static void
deliver(const std::vector<std::string> &good, fl_advice_fn done, void *arg)
{
	std::vector<std::string> tickets;
	std::vector<struct wp_approval> rows;

	for (const std::string &worker : good)
		tickets.push_back(make_ticket(worker));
	for (size_t i = 0; i < good.size(); i++)
		rows.push_back({good[i].c_str(), tickets[i].c_str()});
	done(true, rows.data(), (uint32_t)rows.size(), arg);
}

/* One request at a time for each daemon; it goes on with overdue ones. */
static void
sim_advise(void *fleet, const struct wp_advice_request *req,
    int64_t deadline_us, fl_advice_fn done, void *arg)
{
	SimDaemon *d = (SimDaemon *)fleet;
	uint64_t life = d->life;
	SimConnection c = sim_connect(*d, "advice");
	SimWorld *w = sim_world;
	std::vector<std::string> good;

	auto fail = [=] {
		w->after_in(life, std::max<int64_t>(deadline_us - w->now, 0),
		    [=] { done(false, nullptr, 0, arg); });
	};
	if (sim_loses_call(*d, c) || !w->reaches_store(d->domain)) {
		fail();
		return;
	}
	d->advice_until_us = std::max(d->advice_until_us, w->now) +
	    req->base_cost_us +
	    (int64_t)req->worker_cost_us * req->worker_count;
	if (d->advice_until_us > deadline_us) {
		fail();
		return;
	}
	for (uint32_t i = 0; i < req->worker_count; i++) {
		if (is_approved(req, req->worker[i]))
			good.push_back(req->worker[i]);
	}
	w->after_in(life, d->advice_until_us - w->now, [=] {
		if (sim_loses_answer(*d, c))
			fail();
		else
			deliver(good, done, arg);
	});
}

const struct fl_advice_ops sim_advice_ops = {sim_advise};
