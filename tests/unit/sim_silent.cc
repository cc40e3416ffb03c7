#include "sim_internal.h"

/* Idle ones that a client keeps for each host, beside those in use. */
static constexpr size_t kIdle = 1;

void
SimWorld::sever(size_t index, SimWay way)
{
	SimDaemon &d = *daemons[index];

	if (!d.up)
		return;
	d.silences_there += way != SimWay::kBack;
	d.silences_back += way != SimWay::kThere;
	for (const std::string &host : d.called)
		d.silent[host].assign(kIdle, way);
	sim_sever_links(d.life, 100, way);
	d.trouble_us = std::max(d.trouble_us, now);
	cancelled.on_disruption(0);
}

void
SimWorld::sever_links(uint32_t percent, SimWay way)
{
	sim_sever_links(0, percent, way);
	cancelled.on_disruption(0);
}

SimConnection
sim_connect(SimDaemon &d, const std::string &host)
{
	std::vector<SimWay> &kept = d.silent[host];
	SimConnection c;

	d.called.insert(host);
	c.there = d.silences_there;
	c.back = d.silences_back;
	if (kept.empty())
		return c;
	/* Closed when the call times out. */
	c.silent_there = kept.back() != SimWay::kBack;
	c.silent_back = kept.back() != SimWay::kThere;
	kept.pop_back();
	return c;
}

bool
sim_loses_call(const SimDaemon &d, const SimConnection &c)
{
	return c.silent_there || c.there != d.silences_there;
}

bool
sim_loses_answer(const SimDaemon &d, const SimConnection &c)
{
	return c.silent_back || c.back != d.silences_back;
}
