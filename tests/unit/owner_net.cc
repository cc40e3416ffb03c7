#include "owner_net.h"

OwnerNet *owner_net;

OwnerNet::OwnerNet(const char *vm)
{
	owner_net = this;
	cell = talloc_zero(nullptr, struct cell);
	cell->settings = talloc_zero(cell, struct cell_settings);
	cell->settings->vm = talloc_strdup(cell, vm);
	cell->replica = talloc_zero(cell, struct replica);
	cell->fleet = &fleet;
}

OwnerNet::~OwnerNet()
{
	HASH_CLEAR(hh, cell->replica->members);
	talloc_free(cell);
	for (auto &l : links)
		delete l.second;
	for (auto *l : closed)
		delete l;
	owner_net = nullptr;
}

void
OwnerNet::add_daemon(const std::string &vm, const std::string &domain)
{
	struct rp_member *m = talloc_zero(cell->replica, struct rp_member);

	snprintf(m->vm, sizeof(m->vm), "%s", vm.c_str());
	tx_set(m, &m->domain, domain.c_str());
	tx_set(m, &m->address, "");
	m->present = true;
	HASH_ADD_STR(cell->replica->members, vm, m);
	if (vm != cell->settings->vm)
		connect(vm);
}

void
OwnerNet::connect(const std::string &vm)
{
	links[vm] = new peer_link{vm, ++last_serial, now};
}

struct peer_link *
OwnerNet::disconnect(const std::string &vm)
{
	struct peer_link *link = links.at(vm);

	links.erase(vm);
	closed.push_back(link);
	return link;
}

extern "C" int64_t
clk_now_us(void)
{
	return owner_net->now;
}

extern "C" int64_t
clk_wall_us(void)
{
	return owner_net->now;
}

extern "C" struct peer_link *
pn_link(struct pn_links *n, const char *vm)
{
	auto it = owner_net->links.find(vm);

	(void)n;
	return it != owner_net->links.end() ? it->second : nullptr;
}

extern "C" struct peer_link *
peer_find(struct peer_net *n, uint64_t serial)
{
	(void)n;
	for (auto &l : owner_net->links) {
		if (l.second->serial == serial)
			return l.second;
	}
	return nullptr;
}

extern "C" uint64_t
peer_serial(const struct peer_link *link)
{
	return link->serial;
}

extern "C" int64_t
peer_heard_us(const struct peer_link *link)
{
	return link->heard_us;
}
